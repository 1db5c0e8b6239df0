//! Answers to callers, as HTTP.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use kitetrail_core::jobs::JobId;

/// When a caller whose request was not run should come back, in seconds.
const COME_BACK_S: &str = "1";

/// Over how many seconds more the callers of refused jobs are spread, so that they don't return at once: as
/// long as an overloaded owner needs to take jobs again.
const SPREAD_S: u64 = 3;

/// The body of an answer.
pub(super) type Body = Full<Bytes>;

/// The same answer, after which the connection ends.
pub(super) fn closing(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// An answer that says why something is not done.
pub(super) fn refuse(status: StatusCode, why: &str) -> Response<Body> {
    let body = serde_json::json!({ "error": why }).to_string();
    let mut response = json(status, Bytes::from(body));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(COME_BACK_S));
    }
    response
}

/// The answer to a job that was refused: when its caller should come back follows from the job's id.
pub(super) fn refuse_job(job: JobId, why: &str) -> Response<Body> {
    let mut response = refuse(StatusCode::SERVICE_UNAVAILABLE, why);
    let come_back_s = HeaderValue::from(1 + job.0 % SPREAD_S);
    response.headers_mut().insert(RETRY_AFTER, come_back_s);
    response
}

/// An answer with a body that is JSON.
pub(super) fn json(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// An answer without a body.
pub(super) fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
