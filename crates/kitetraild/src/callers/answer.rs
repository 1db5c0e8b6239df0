//! The answers that kitetrail itself gives to callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};
use kitetrail_core::routing::{GivenUp, Outcome, Reason};
use kitetrail_platform::headers;

use super::body::AnswerBody;

/// When to come back, more exactly than whole seconds.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("x-retry-after-ms");
/// Set on the answer to a repeat of a call that ran before.
const REPLAYED: HeaderName = HeaderName::from_static("x-replayed");

/// An answer of kitetrail's own.
pub fn own(status: StatusCode, outcome: Outcome, body: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(Full::new(body.into())));
    *response.status_mut() = status;
    set(&mut response, HeaderName::from_static(headers::OUTCOME), &outcome.to_string());
    response
}

/// The final answer to a request that was given up.
pub fn given_up(given_up: GivenUp) -> Response<AnswerBody> {
    let status = match (given_up.outcome, given_up.reason) {
        (Outcome::NotRun, Reason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Reason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        (_, _) => StatusCode::BAD_GATEWAY,
    };
    let body = format!("{}: {}\n", given_up.outcome, given_up.reason);
    let mut response = own(status, given_up.outcome, body);
    come_back(&mut response, given_up.retry_after);
    response
}

/// The answer to a call whose key another exchange holds.
pub fn held() -> Response<AnswerBody> {
    let body = "unknown: a call with this key is running, or its box died while it ran\n";
    let mut response = own(StatusCode::CONFLICT, Outcome::Unknown, body);
    come_back(&mut response, Duration::from_secs(1));
    response
}

/// The answer to a call that must not run twice while the table can't say if it has.
pub fn no_table() -> Response<AnswerBody> {
    let body = "not-run: the table that guards this call's key does not answer\n";
    let mut response = own(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, body);
    come_back(&mut response, Duration::from_secs(1));
    response
}

/// The answer to a repeat of a call that ran before.
pub fn replay(status: u16, body: Option<String>) -> Response<AnswerBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let mut response = match body {
        Some(body) => own(status, Outcome::Done, body),
        None => {
            let body =
                format!("the call ran and was answered {status}, too long an answer to keep\n");
            own(StatusCode::CONFLICT, Outcome::Unknown, body)
        }
    };
    set(&mut response, REPLAYED, "true");
    response
}

/// Sets a header, if its value is fit for one.
pub fn set(response: &mut Response<AnswerBody>, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

fn come_back(response: &mut Response<AnswerBody>, after: Duration) {
    let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
    set(response, RETRY_AFTER, &seconds.to_string());
    set(response, RETRY_AFTER_MS, &after.as_millis().to_string());
}
