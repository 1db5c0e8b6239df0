//! A caller's call, parsed from the head of its HTTP request.

use std::time::Duration;

use hyper::{HeaderMap, Method, StatusCode, http::request::Parts};
use kitetrail_core::{SpecName, calls::CallKey};
use kitetrail_platform::headers;
use thiserror::Error;

use crate::settings::Requests;

/// The path prefix of all calls.
const PATH_PREFIX: &str = "/services/";
/// The maximum length of a request id and of an idempotency key.
const MAX_ID_LEN: usize = 128;

/// The reason why a request is not a valid call. The request was not run.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// The path does not name a service.
    #[error("the path must be /services/NAME/..., but is {0}")]
    Path(String),
    /// A header is malformed.
    #[error("the header {name} must be {expected}")]
    Header {
        /// The name of the header.
        name: &'static str,
        /// A description of valid values.
        expected: &'static str,
    },
    /// The body is larger than allowed.
    #[error("the body has {length} bytes, but at most {limit} are taken")]
    TooLarge {
        /// The `content-length` of the request.
        length: u64,
        /// The maximum body size.
        limit: u64,
    },
}

impl CallError {
    /// Returns the HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            CallError::Path(_) => StatusCode::NOT_FOUND,
            CallError::Header { .. } => StatusCode::BAD_REQUEST,
            CallError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}

/// A call to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The called service.
    pub service: SpecName,
    /// The request id, if the caller gave one.
    pub id: Option<String>,
    /// The timeout of the call.
    pub timeout: Duration,
    /// Whether the call may safely run more than once.
    pub repeatable: bool,
    /// The idempotency key under which the call must run at most once, whichever box receives it.
    pub key: Option<CallKey>,
    /// The `content-length` of the request, if it has one.
    pub body_len: Option<u64>,
}

impl Call {
    /// Parses a call from the head of a request.
    pub fn parse(parts: &Parts, limits: &Requests) -> Result<Self, CallError> {
        let path = parts.uri.path();
        let service = service_from_path(path).ok_or_else(|| CallError::Path(path.to_owned()))?;
        let id = id_header(&parts.headers, headers::REQUEST_ID)?.map(str::to_owned);
        let key = id_header(&parts.headers, headers::IDEMPOTENCY_KEY)?;
        let body_len = integer_header(&parts.headers, "content-length")?;
        let limit = limits.max_body_bytes;
        if let Some(length) = body_len.filter(|length| *length > limit) {
            return Err(CallError::TooLarge { length, limit });
        }
        let timeout = match integer_header(&parts.headers, headers::TIMEOUT_MS)? {
            Some(ms) => Duration::from_millis(ms).min(limits.max_timeout_ms.get()),
            None => limits.default_timeout_ms.get(),
        };
        let declared_repeatable = parts.headers.get(headers::REPEATABLE);
        let declared_repeatable =
            declared_repeatable.is_some_and(|value| value.as_bytes() == b"true");
        Ok(Self {
            key: key.map(|key| CallKey { service: service.clone(), key: key.to_owned() }),
            repeatable: key.is_none() && (declared_repeatable || is_idempotent(&parts.method)),
            service,
            id,
            timeout,
            body_len,
        })
    }
}

fn service_from_path(path: &str) -> Option<SpecName> {
    let rest = path.strip_prefix(PATH_PREFIX)?;
    let name = rest.split('/').next()?;
    name.parse().ok()
}

/// Returns whether HTTP defines a method as idempotent.
fn is_idempotent(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS | Method::PUT | Method::DELETE)
}

fn id_header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, CallError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-._:".contains(c);
    match value.to_str() {
        Ok(text) if (1..=MAX_ID_LEN).contains(&text.len()) && text.chars().all(allowed) => {
            Ok(Some(text))
        }
        _ => {
            let expected = "1 to 128 letters, digits, dots, dashes, colons and underscores";
            Err(CallError::Header { name, expected })
        }
    }
}

fn integer_header(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, CallError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number.map(Some).ok_or(CallError::Header { name, expected: "a whole number" })
}
