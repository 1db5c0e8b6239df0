//! Errors of calls to the platform.

use thiserror::Error;

/// The error of a call to the platform.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// No connection could be established, so the request was not sent.
    #[error("the platform's {service} can't be reached: {cause}")]
    Unreachable {
        /// The name of the service.
        service: &'static str,
        /// The error of the connection attempt.
        cause: String,
    },
    /// The request may have been sent, but no complete response was received.
    #[error("the answer of the platform's {service} was lost: {cause}")]
    AnswerLost {
        /// The name of the service.
        service: &'static str,
        /// The reason.
        cause: String,
    },
    /// The service responded with an unexpected status.
    #[error("the platform's {service} answered {status}: {body}")]
    Refused {
        /// The name of the service.
        service: &'static str,
        /// The HTTP status.
        status: u16,
        /// The beginning of the response body.
        body: String,
    },
    /// The JSON of a request or a response could not be written or parsed.
    #[error("the answer of the platform's {service} can't be read: {cause}")]
    Malformed {
        /// The name of the service.
        service: &'static str,
        /// The JSON error.
        cause: String,
    },
}
