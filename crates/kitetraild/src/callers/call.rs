//! What a caller asks for, read from the head of its request.

use std::time::Duration;

use hyper::{HeaderMap, Method, StatusCode, http::request::Parts};
use kitetrail_core::{SpecName, calls::CallKey};
use kitetrail_platform::headers;
use thiserror::Error;

use crate::settings::Requests;

/// The start of the path of every call.
const PREFIX: &str = "/services/";
/// The longest request id and the longest key.
const MAX_ID_LEN: usize = 128;

/// Why a request is no call. It was not run.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BadCall {
    /// The path names no service.
    #[error("the path must be /services/NAME/..., but is {0}")]
    Path(String),
    /// A header can't be read.
    #[error("the header {name} must be {expected}")]
    Header {
        /// The header.
        name: &'static str,
        /// What it must be.
        expected: &'static str,
    },
    /// The body is larger than allowed.
    #[error("the body has {length} bytes, but at most {limit} are taken")]
    TooLarge {
        /// What the caller announced.
        length: u64,
        /// The limit.
        limit: u64,
    },
}

impl BadCall {
    /// The HTTP status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            BadCall::Path(_) => StatusCode::NOT_FOUND,
            BadCall::Header { .. } => StatusCode::BAD_REQUEST,
            BadCall::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The service.
    pub service: SpecName,
    /// The request's id, if the caller gave one.
    pub id: Option<String>,
    /// How long it may take.
    pub timeout: Duration,
    /// Whether it may safely run more than once.
    pub repeatable: bool,
    /// The key under which it must run at most once, whichever box it enters.
    pub key: Option<CallKey>,
    /// The announced length of its body, if any.
    pub body_len: Option<u64>,
}

impl Call {
    /// Reads a call.
    pub fn read(parts: &Parts, limits: &Requests) -> Result<Self, BadCall> {
        let path = parts.uri.path();
        let service = service_of(path).ok_or_else(|| BadCall::Path(path.to_owned()))?;
        let id = text(&parts.headers, headers::REQUEST_ID)?.map(str::to_owned);
        let key = text(&parts.headers, headers::IDEMPOTENCY_KEY)?;
        let body_len = number(&parts.headers, "content-length")?;
        let limit = limits.max_body_bytes;
        if let Some(length) = body_len.filter(|length| *length > limit) {
            return Err(BadCall::TooLarge { length, limit });
        }
        let timeout = match number(&parts.headers, headers::TIMEOUT_MS)? {
            Some(ms) => Duration::from_millis(ms).min(limits.max_timeout_ms.get()),
            None => limits.default_timeout_ms.get(),
        };
        let declared = parts.headers.get(headers::REPEATABLE);
        let declared = declared.is_some_and(|value| value.as_bytes() == b"true");
        Ok(Self {
            key: key.map(|key| CallKey { service: service.clone(), key: key.to_owned() }),
            repeatable: key.is_none() && (declared || is_safe_to_repeat(&parts.method)),
            service,
            id,
            timeout,
            body_len,
        })
    }
}

fn service_of(path: &str) -> Option<SpecName> {
    let rest = path.strip_prefix(PREFIX)?;
    let name = rest.split('/').next()?;
    name.parse().ok()
}

/// Whether HTTP says that a method means the same when done twice.
fn is_safe_to_repeat(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS | Method::PUT | Method::DELETE)
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, BadCall> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-._:".contains(c);
    match value.to_str() {
        Ok(text) if (1..=MAX_ID_LEN).contains(&text.len()) && text.chars().all(allowed) => {
            Ok(Some(text))
        }
        _ => {
            let expected = "1 to 128 letters, digits, dots, dashes, colons and underscores";
            Err(BadCall::Header { name, expected })
        }
    }
}

fn number(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, BadCall> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number.map(Some).ok_or(BadCall::Header { name, expected: "a whole number" })
}
