//! Builds HTTP responses to callers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use kitetrail_core::jobs::{JobId, RetryDelay};

/// The `Retry-After` of requests that were not run, in seconds.
const RETRY_AFTER_S: &str = "1";

/// The number of seconds over which retries of refused jobs are spread, so that they don't arrive at the
/// same time. An overloaded owner accepts jobs again within this time.
const RETRY_SPREAD_S: u64 = 3;

/// The body of a response.
pub(super) type Body = Full<Bytes>;

/// Returns the response with a header that closes the connection after it.
pub(super) fn closing(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Returns an error response, with the reason in its JSON body.
pub(super) fn error_response(status: StatusCode, reason: &str) -> Response<Body> {
    let body = serde_json::json!({ "error": reason }).to_string();
    let mut response = json_response(status, Bytes::from(body));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    }
    response
}

/// Returns the response to a refused job. Without a delay from the owner, its `Retry-After` is derived from
/// the job's id.
pub(super) fn refused_job_response(
    job: JobId,
    retry_after: Option<RetryDelay>,
    reason: &str,
) -> Response<Body> {
    let by_id = RetryDelay::from_secs(1 + job.0 % RETRY_SPREAD_S);
    retry_response(retry_after.unwrap_or(by_id), reason)
}

/// Returns the response to a request that was not run, whose caller is asked to return after a delay.
pub(super) fn retry_response(delay: RetryDelay, reason: &str) -> Response<Body> {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(delay.as_secs()));
    response
}

/// Returns a response with a JSON body.
pub(super) fn json_response(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns a response without a body.
pub(super) fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
