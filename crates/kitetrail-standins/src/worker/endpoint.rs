//! The endpoint of a worker, with a limited number of slots, a short backlog and verifiable answers.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, HeaderMap},
};
use kitetrail_core::SpecName;
use kitetrail_platform::headers;
use tokio::sync::Semaphore;

use super::control::Shared;
use crate::{
    args::{EndpointFault, WorkerArgs},
    server::{Answer, AnswerBody, StandinError, serve},
};

/// The additional delay of late answers, in milliseconds.
const LATE_RESPONSE_DELAY_MS: u64 = 3_000;

/// The state of the endpoint: requests in progress, and the injected fault.
struct Endpoint {
    shared: Rc<RefCell<Shared>>,
    slots: Semaphore,
    waiting: Cell<usize>,
    backlog: usize,
    work_us: u64,
    slowness: f64,
    fault: EndpointFault,
    fault_every: u64,
    request_count: Cell<u64>,
}

/// Runs the endpoint until the process ends.
pub(super) async fn run(
    args: &WorkerArgs,
    shared: Rc<RefCell<Shared>>,
) -> Result<(), StandinError> {
    let endpoint = Rc::new(Endpoint {
        shared,
        slots: Semaphore::new(args.slots),
        waiting: Cell::new(0),
        backlog: args.backlog,
        work_us: args.work_us,
        slowness: args.slowness,
        fault: args.fault,
        fault_every: args.fault_every.max(1),
        request_count: Cell::new(0),
    });
    serve(args.endpoint, move |request| {
        let endpoint = Rc::clone(&endpoint);
        async move { endpoint.handle_request(request).await }
    })
    .await
}

impl Endpoint {
    async fn handle_request(&self, request: Request<Incoming>) -> Answer {
        let (parts, body) = request.into_parts();
        let id = header_text(&parts.headers, headers::REQUEST_ID).unwrap_or("none").to_owned();
        let service = parts.uri.path().split('/').nth(2).and_then(|s| s.parse::<SpecName>().ok());
        let is_served_here = service.as_ref().is_some_and(|s| self.shared.borrow().model.serves(s));
        let (Some(service), true) = (service, is_served_here) else {
            return reject(&id, "no replica of this service runs on this worker");
        };
        if self.slots.available_permits() == 0 && self.waiting.get() >= self.backlog {
            return reject(&id, "all slots and the backlog are full");
        }
        let received = body.collect().await.ok()?.to_bytes();
        self.waiting.set(self.waiting.get() + 1);
        let slot = self.slots.acquire().await;
        self.waiting.set(self.waiting.get() - 1);
        let _slot = slot.ok()?;
        self.shared.borrow_mut().record_execution(&id);
        let is_faulty = self.count_request_and_check_fault();
        if is_faulty && self.fault == EndpointFault::FailFast {
            return response(&id, StatusCode::INTERNAL_SERVER_ERROR, "failed".into());
        }
        self.simulate_work(&service, &parts.headers).await;
        let size = header_number(&parts.headers, "x-answer-bytes").unwrap_or(200) as usize;
        let body = expected_body(&id, received.len(), size);
        match self.fault {
            EndpointFault::CloseAfterRun if is_faulty => None,
            EndpointFault::Truncate if is_faulty => truncated_response(&id, body),
            EndpointFault::Swap if is_faulty => {
                let other = format!("{id}-other");
                response(&other, StatusCode::OK, expected_body(&other, received.len(), size))
            }
            _ => response(&id, StatusCode::OK, body),
        }
    }

    fn count_request_and_check_fault(&self) -> bool {
        self.request_count.set(self.request_count.get() + 1);
        self.fault != EndpointFault::None
            && self.request_count.get().is_multiple_of(self.fault_every)
    }

    async fn simulate_work(&self, service: &SpecName, headers: &HeaderMap) {
        let work_us = header_number(headers, "x-work-us").unwrap_or(self.work_us);
        let slowdown = self.shared.borrow().model.slowdown_of(service);
        let late_us = match self.fault {
            EndpointFault::Late if self.request_count.get().is_multiple_of(self.fault_every) => {
                LATE_RESPONSE_DELAY_MS * 1_000
            }
            _ => 0,
        };
        let work_us = work_us as f64 * slowdown * self.slowness;
        tokio::time::sleep(Duration::from_micros(work_us as u64 + late_us)).await;
    }
}

/// Returns the body that a caller expects: the request id, the number of bytes received, and padding
/// that depends on the id.
pub fn expected_body(id: &str, received: usize, size: usize) -> Bytes {
    let head = format!("{id} received={received} ");
    let padding = id.as_bytes().iter().copied().cycle();
    head.bytes().chain(padding).take(size.max(head.len())).collect()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name).and_then(|value| value.parse().ok())
}

fn response(id: &str, status: StatusCode, body: Bytes) -> Answer {
    let response = Response::builder().status(status).header(headers::REQUEST_ID, id);
    response.body(body.into()).ok()
}

/// Returns a response whose body ends before its announced length.
fn truncated_response(id: &str, body: Bytes) -> Answer {
    let half = body.slice(0..body.len() / 2);
    let response = Response::builder().header(headers::REQUEST_ID, id);
    let response = response.header(CONTENT_LENGTH, body.len());
    response.body(AnswerBody::Truncated { bytes: Some(half), flushed: false }).ok()
}

fn reject(id: &str, why: &'static str) -> Answer {
    let response = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
    let response = response.header(headers::REQUEST_ID, id).header(headers::NOT_RUN, "true");
    response.body(Bytes::from_static(why.as_bytes()).into()).ok()
}
