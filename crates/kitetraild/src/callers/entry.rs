//! Accepts callers' requests and returns a final answer to each.

mod serving;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    convert::Infallible,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderName},
    http::request::Parts,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use kitetrail_core::{
    Time,
    routing::{Outcome, RequestId, RoutingDecision},
};
use kitetrail_platform::{HttpTable, headers};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::{Notify, oneshot, watch},
};

use super::{SharedRouter, answer, body::ResponseBody, call::Call, claims::Claims, pool::Pool};
use crate::{
    admission::{BodyReceiver, MemoryBudget, Reservation},
    clock::Clock,
    metrics::Metrics,
    settings::Settings,
};

/// The interval at which requests that waited too long are answered.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(5);
/// The interval at which a graceful shutdown checks whether all requests and connections ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which idle connections are checked.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The rank of all requests, since policies don't rank services yet.
const DEFAULT_RANK: u8 = 100;
/// The response to a connection above the limit.
const TOO_MANY_CONNECTIONS_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nx-outcome: not-run\r\n\
retry-after: 1\r\nconnection: close\r\ncontent-length: 33\r\n\r\nnot-run: too many connections...\n";

/// The parts from which a [`CallerServer`] is created.
pub struct CallerServerParts {
    /// The settings.
    pub settings: Rc<Settings>,
    /// The clock.
    pub clock: Clock,
    /// The incarnation of this box.
    pub incarnation: u64,
    /// The router, shared with the control loop.
    pub router: SharedRouter,
    /// The metrics.
    pub metrics: Metrics,
    /// Whether this box is ready to receive requests.
    pub ready: Rc<Cell<bool>>,
}

/// The server that accepts callers' requests and returns a final answer to each.
pub struct CallerServer {
    parts: CallerServerParts,
    pool: Pool,
    /// The bodies that are received before they are sent on.
    bodies: BodyReceiver,
    claims: Rc<Claims>,
    waiting_requests: RefCell<HashMap<RequestId, oneshot::Sender<RoutingDecision>>>,
    next_number: Cell<u64>,
    requests_in_progress: Cell<usize>,
    open_connections: Cell<usize>,
    drain_progress: Notify,
    stopping: watch::Sender<bool>,
}

/// A request with all data that is needed to send it, and to send it again if its body is buffered.
struct PreparedRequest {
    head: Parts,
    id: String,
    buffered_body: Option<Bytes>,
    /// The memory of the buffered body, until the request is answered.
    reservation: Option<Reservation>,
    streamed_body: Option<Incoming>,
    deadline: Time,
}

/// The final response to a request, and its summary.
struct FinalResponse {
    response: Response<ResponseBody>,
    summary: RequestSummary,
}

/// The summary of an answered request, which is logged.
struct RequestSummary {
    outcome: Outcome,
    reason: String,
    endpoint: Option<SocketAddr>,
}

impl CallerServer {
    /// Creates the server and starts its timers.
    pub fn new(parts: CallerServerParts) -> Rc<Self> {
        let platform = &parts.settings.platform;
        let table = HttpTable::new(platform.table, platform.table_timeout_ms.get());
        let retention = parts.settings.requests.call_retention_ms.get();
        let box_id = parts.settings.box_id.clone();
        let claims = Claims::new(table, box_id, parts.incarnation, retention);
        tokio::task::spawn_local(Rc::clone(&claims).run());
        let budget = MemoryBudget::new(parts.settings.requests.max_buffered_memory_bytes);
        let server = Rc::new(Self {
            parts,
            pool: Pool::default(),
            bodies: BodyReceiver::new(budget),
            claims,
            waiting_requests: RefCell::default(),
            next_number: Cell::new(0),
            requests_in_progress: Cell::new(0),
            open_connections: Cell::new(0),
            drain_progress: Notify::new(),
            stopping: watch::Sender::new(false),
        });
        tokio::task::spawn_local(Rc::clone(&server).expire());
        tokio::task::spawn_local(Rc::clone(&server).sweep_idle_connections());
        server
    }

    /// Returns the number of requests in progress.
    pub fn requests_in_progress(&self) -> usize {
        self.requests_in_progress.get()
    }

    /// Returns the current time.
    pub(super) fn now(&self) -> Time {
        self.parts.clock.now()
    }

    /// Returns the router.
    pub(super) fn router(&self) -> &SharedRouter {
        &self.parts.router
    }

    /// Returns the pool of connections to endpoints.
    pub(super) fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Counts a request as in progress.
    pub(super) fn request_started(&self) {
        self.requests_in_progress.set(self.requests_in_progress.get() + 1);
    }

    /// Stops counting a request as in progress.
    pub(super) fn request_ended(&self) {
        self.requests_in_progress.set(self.requests_in_progress.get().saturating_sub(1));
        self.drain_progress.notify_waiters();
    }

    /// Returns a receiver for the decision on a request that waits for an endpoint.
    pub(super) fn register_waiter(&self, number: RequestId) -> oneshot::Receiver<RoutingDecision> {
        let (sender, receiver) = oneshot::channel();
        self.waiting_requests.borrow_mut().insert(number, sender);
        receiver
    }

    /// Removes a request that no longer waits for a decision.
    pub(super) fn remove_waiter(&self, number: RequestId) {
        self.waiting_requests.borrow_mut().remove(&number);
    }

    /// Sends a decision to each waiting request that now has an endpoint.
    pub(super) fn dispatch_ready(&self) {
        let ready = self.router().borrow_mut().take_ready(self.now());
        for (number, endpoint) in ready {
            self.send_decision(number, RoutingDecision::Send(endpoint));
        }
    }

    fn send_decision(&self, number: RequestId, decision: RoutingDecision) {
        if let Some(sender) = self.waiting_requests.borrow_mut().remove(&number) {
            let _ = sender.send(decision);
        }
    }

    /// Closes each connection after its request in progress, and waits until all are closed.
    pub async fn drain(&self) {
        self.stopping.send_replace(true);
        while self.requests_in_progress.get() > 0 || self.open_connections.get() > 0 {
            // The end of a request or connection wakes this loop. The timeout covers a notification
            // that arrives between the check and the wait.
            let _ =
                tokio::time::timeout(DRAIN_CHECK_INTERVAL, self.drain_progress.notified()).await;
        }
    }

    async fn expire(self: Rc<Self>) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            let expired = self.router().borrow_mut().reject_expired(self.now());
            for (number, rejection) in expired {
                self.send_decision(number, RoutingDecision::Reject(rejection));
            }
            self.dispatch_ready();
        }
    }

    async fn sweep_idle_connections(self: Rc<Self>) {
        loop {
            tokio::time::sleep(IDLE_SWEEP_INTERVAL).await;
            self.pool.close_expired();
        }
    }

    /// Accepts connections until the task is aborted.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            if self.open_connections.get() >= self.parts.settings.requests.max_connections {
                tokio::task::spawn_local(refuse_connection(stream));
                continue;
            }
            tokio::task::spawn_local(Rc::clone(&self).serve_connection(stream));
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        self.open_connections.set(self.open_connections.get() + 1);
        let _ = stream.set_nodelay(true);
        let limits = &self.parts.settings.requests;
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout_ms.get())
            .max_buf_size(limits.max_header_bytes);
        let server = Rc::clone(&self);
        let service = service_fn(move |request| {
            let server = Rc::clone(&server);
            async move { Ok::<_, Infallible>(server.handle_request(request).await) }
        });
        let mut stopping = self.stopping.subscribe();
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        let result = tokio::select! {
            result = connection.as_mut() => result,
            _ = stopping.wait_for(|stopping| *stopping) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = result {
            log::debug!("route: a caller's connection failed: {error}");
        }
        self.open_connections.set(self.open_connections.get() - 1);
        self.drain_progress.notify_waiters();
    }

    /// Handles one request and returns its final response.
    async fn handle_request(self: Rc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let arrived_at = self.now();
        let (head, incoming) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/healthz") => {
                return answer::local_response(StatusCode::OK, Outcome::Done, "up\n");
            }
            (&Method::GET, "/readyz") => return self.readiness_response(),
            _ => {}
        }
        let call = match Call::parse(&head, &self.parts.settings.requests) {
            Ok(call) => call,
            Err(error) => {
                log::info!("route: refused a request: {error}");
                self.parts.metrics.record_request("not-run", "bad request", 0.0);
                return answer::local_response(
                    error.status(),
                    Outcome::NotRun,
                    format!("not-run: {error}\n"),
                );
            }
        };
        let number = RequestId(self.next_number.get());
        self.next_number.set(number.0 + 1);
        let id = call.id.clone().unwrap_or_else(|| self.new_request_id(number));
        let FinalResponse { mut response, summary } = Rc::clone(&self)
            .handle_call(number, &call, id.clone(), head, incoming, arrived_at)
            .await;
        self.record_request(&id, &call, &summary, arrived_at);
        answer::set_header(&mut response, HeaderName::from_static(headers::REQUEST_ID), &id);
        if !self.parts.ready.get() {
            answer::set_header(&mut response, CONNECTION, "close");
        }
        response
    }

    fn readiness_response(&self) -> Response<ResponseBody> {
        match self.parts.ready.get() {
            true => answer::local_response(StatusCode::OK, Outcome::Done, "ready\n"),
            false => answer::local_response(
                StatusCode::SERVICE_UNAVAILABLE,
                Outcome::NotRun,
                "not ready\n",
            ),
        }
    }

    fn new_request_id(&self, number: RequestId) -> String {
        let Settings { box_id, .. } = &*self.parts.settings;
        format!("{box_id}-{:x}-{}", self.parts.incarnation, number.0)
    }

    fn record_request(&self, id: &str, call: &Call, summary: &RequestSummary, arrived_at: Time) {
        let took_ms = self.now().since(arrived_at).as_secs_f64() * 1_000.0;
        let RequestSummary { outcome, reason, endpoint } = summary;
        let destination =
            endpoint.map_or_else(|| "nowhere".to_owned(), |address| address.to_string());
        log::info!(
            "route: {id} {} to {destination}: {outcome}, {reason}, {took_ms:.1} ms",
            call.service
        );
        self.parts.metrics.record_request(&outcome.to_string(), reason, took_ms);
    }
}

/// Responds to a connection above the limit and closes it.
async fn refuse_connection(mut stream: TcpStream) {
    let write = stream.write_all(TOO_MANY_CONNECTIONS_RESPONSE);
    let _ = tokio::time::timeout(Duration::from_secs(1), write).await;
}
