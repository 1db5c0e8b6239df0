//! What can go wrong when the platform is asked.

use thiserror::Error;

/// What can go wrong when the platform is asked.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// No connection could be made, so nothing was asked.
    #[error("the platform's {service} can't be reached: {cause}")]
    Unreachable {
        /// The service.
        service: &'static str,
        /// What the connection said.
        cause: String,
    },
    /// The question went out, but no whole answer came back.
    #[error("the answer of the platform's {service} was lost: {cause}")]
    AnswerLost {
        /// The service.
        service: &'static str,
        /// What happened to it.
        cause: String,
    },
    /// The service refused to answer.
    #[error("the platform's {service} answered {status}: {body}")]
    Refused {
        /// The service.
        service: &'static str,
        /// The HTTP status.
        status: u16,
        /// What it said.
        body: String,
    },
    /// The answer can't be read.
    #[error("the answer of the platform's {service} can't be read: {cause}")]
    Malformed {
        /// The service.
        service: &'static str,
        /// What is wrong with it.
        cause: String,
    },
}
