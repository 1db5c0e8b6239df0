//! Responses that kitetrail itself returns to callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};
use kitetrail_core::routing::{Outcome, Rejection, RejectionReason};
use kitetrail_platform::headers;

use super::body::ResponseBody;

/// The header with the delay before a retry, in milliseconds, since `retry-after` holds whole
/// seconds.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("x-retry-after-ms");
/// The header that marks the stored answer of a call that ran before.
const REPLAYED: HeaderName = HeaderName::from_static("x-replayed");

/// Creates a response that kitetrail returns itself.
pub fn local_response(
    status: StatusCode,
    outcome: Outcome,
    body: impl Into<Bytes>,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Buffered(Full::new(body.into())));
    *response.status_mut() = status;
    set_header(&mut response, HeaderName::from_static(headers::OUTCOME), &outcome.to_string());
    response
}

/// Returns the final response to a request that the router ended without an answer.
pub fn routing_failed(failure: Rejection) -> Response<ResponseBody> {
    let status = match (failure.outcome, failure.reason) {
        (Outcome::NotRun, RejectionReason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, RejectionReason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        (_, _) => StatusCode::BAD_GATEWAY,
    };
    let body = format!("{}: {}\n", failure.outcome, failure.reason);
    let mut response = local_response(status, failure.outcome, body);
    set_retry_after(&mut response, failure.retry_after);
    response
}

/// Returns the response to a call whose key is claimed by another exchange.
pub fn key_in_use() -> Response<ResponseBody> {
    let body = "unknown: a call with this key is running, or its box died while it ran\n";
    let mut response = local_response(StatusCode::CONFLICT, Outcome::Unknown, body);
    set_retry_after(&mut response, Duration::from_secs(1));
    response
}

/// Returns the response to a call that must run at most once while the table can't confirm whether
/// it ran.
pub fn table_unavailable() -> Response<ResponseBody> {
    let body = "not-run: the table that guards this call's key does not answer\n";
    let mut response = local_response(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, body);
    set_retry_after(&mut response, Duration::from_secs(1));
    response
}

/// Returns the stored answer to a repeat of a call that ran before.
pub fn replay(status: u16, body: Option<String>) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let mut response = match body {
        Some(body) => local_response(status, Outcome::Done, body),
        None => {
            let body =
                format!("the call ran and was answered {status}, too long an answer to keep\n");
            local_response(StatusCode::CONFLICT, Outcome::Unknown, body)
        }
    };
    set_header(&mut response, REPLAYED, "true");
    response
}

/// Sets a header, unless its value is not a valid header value.
pub fn set_header(response: &mut Response<ResponseBody>, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

fn set_retry_after(response: &mut Response<ResponseBody>, delay: Duration) {
    let seconds = delay.as_secs_f64().ceil().max(1.0) as u64;
    set_header(response, RETRY_AFTER, &seconds.to_string());
    set_header(response, RETRY_AFTER_MS, &delay.as_millis().to_string());
}
