//! Takes callers' requests and sees each to its final answer.

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
    routing::{Outcome, RequestNumber, Verdict},
};
use kitetrail_platform::{HttpTable, headers};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::{Notify, oneshot, watch},
};

use super::{SharedRouter, answer, body::AnswerBody, call::Call, claims::Claims, pool::Pool};
use crate::{clock::Clock, metrics::Metrics, settings::Settings};

/// How often requests that waited too long are answered.
const EXPIRY_TICK: Duration = Duration::from_millis(5);
/// How often a planned stop looks whether all is done.
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// How often unused connections are looked at.
const SWEEP_TICK: Duration = Duration::from_secs(1);
/// The rank of a request until policies rank services.
const RANK: u8 = 100;
/// The answer to a connection beyond the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nx-outcome: not-run\r\n\
retry-after: 1\r\nconnection: close\r\ncontent-length: 33\r\n\r\nnot-run: too many connections...\n";

/// What the callers' side is made of.
pub struct EntryParts {
    /// The settings.
    pub settings: Rc<Settings>,
    /// The clock.
    pub clock: Clock,
    /// The run of this box.
    pub incarnation: u64,
    /// The router, shared with the control loop.
    pub router: SharedRouter,
    /// The counters.
    pub metrics: Metrics,
    /// Whether this box may be sent requests.
    pub ready: Rc<Cell<bool>>,
}

/// Takes callers' requests and sees each to its final answer.
pub struct Entry {
    parts: EntryParts,
    pool: Pool,
    claims: Rc<Claims>,
    waiting: RefCell<HashMap<RequestNumber, oneshot::Sender<Verdict>>>,
    next_number: Cell<u64>,
    in_progress: Cell<usize>,
    connections: Cell<usize>,
    idle: Notify,
    stopping: watch::Sender<bool>,
}

/// A request with all that is needed to send it, perhaps more than once.
struct Sending {
    head: Parts,
    id: String,
    whole: Option<Bytes>,
    stream: Option<Incoming>,
    deadline: Time,
}

/// The final answer to a request.
struct Answered {
    response: Response<AnswerBody>,
    told: Told,
}

/// What is written to the log about an answered request.
struct Told {
    outcome: Outcome,
    reason: String,
    endpoint: Option<SocketAddr>,
}

impl Entry {
    /// The callers' side, with its timers running.
    pub fn new(parts: EntryParts) -> Rc<Self> {
        let platform = &parts.settings.platform;
        let table = HttpTable::new(platform.table, platform.table_timeout_ms.get());
        let retention = parts.settings.requests.call_retention_ms.get();
        let box_id = parts.settings.box_id.clone();
        let claims = Claims::new(table, box_id, parts.incarnation, retention);
        tokio::task::spawn_local(Rc::clone(&claims).run());
        let entry = Rc::new(Self {
            parts,
            pool: Pool::default(),
            claims,
            waiting: RefCell::default(),
            next_number: Cell::new(0),
            in_progress: Cell::new(0),
            connections: Cell::new(0),
            idle: Notify::new(),
            stopping: watch::Sender::new(false),
        });
        tokio::task::spawn_local(Rc::clone(&entry).expire());
        tokio::task::spawn_local(Rc::clone(&entry).sweep());
        entry
    }

    /// How many requests are in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.get()
    }

    /// The present moment.
    pub(super) fn now(&self) -> Time {
        self.parts.clock.now()
    }

    /// The router.
    pub(super) fn router(&self) -> &SharedRouter {
        &self.parts.router
    }

    /// The connections to endpoints.
    pub(super) fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Notes that a request began.
    pub(super) fn begin(&self) {
        self.in_progress.set(self.in_progress.get() + 1);
    }

    /// Notes that a request ended.
    pub(super) fn end(&self) {
        self.in_progress.set(self.in_progress.get().saturating_sub(1));
        self.idle.notify_waiters();
    }

    /// Will hear when a request that waits is to be sent or is given up.
    pub(super) fn wait_for(&self, number: RequestNumber) -> oneshot::Receiver<Verdict> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        receiver
    }

    /// Forgets a request that waited.
    pub(super) fn stop_waiting(&self, number: RequestNumber) {
        self.waiting.borrow_mut().remove(&number);
    }

    /// Wakes the requests that can be sent now.
    pub(super) fn dispatch_ready(&self) {
        let ready = self.router().borrow_mut().take_ready(self.now());
        for (number, endpoint) in ready {
            self.wake(number, Verdict::Send(endpoint));
        }
    }

    fn wake(&self, number: RequestNumber, verdict: Verdict) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&number) {
            let _ = sender.send(verdict);
        }
    }

    /// Closes each connection after the request in progress on it, and waits for that.
    pub async fn drain(&self) {
        self.stopping.send_replace(true);
        while self.in_progress.get() > 0 || self.connections.get() > 0 {
            // Woken by the end of a request or connection; the pause covers a wake-up
            // between the look and the wait.
            let _ = tokio::time::timeout(DRAIN_LOOK, self.idle.notified()).await;
        }
    }

    async fn expire(self: Rc<Self>) {
        loop {
            tokio::time::sleep(EXPIRY_TICK).await;
            let expired = self.router().borrow_mut().expire(self.now());
            for (number, given_up) in expired {
                self.wake(number, Verdict::GiveUp(given_up));
            }
            self.dispatch_ready();
        }
    }

    async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_TICK).await;
            self.pool.sweep();
        }
    }

    /// Takes connections until stopped.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            if self.connections.get() >= self.parts.settings.requests.max_connections {
                tokio::task::spawn_local(turn_away(stream));
                continue;
            }
            tokio::task::spawn_local(Rc::clone(&self).serve_connection(stream));
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        self.connections.set(self.connections.get() + 1);
        let _ = stream.set_nodelay(true);
        let limits = &self.parts.settings.requests;
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout_ms.get())
            .max_buf_size(limits.max_header_bytes);
        let entry = Rc::clone(&self);
        let service = service_fn(move |request| {
            let entry = Rc::clone(&entry);
            async move { Ok::<_, Infallible>(entry.serve(request).await) }
        });
        let mut stopping = self.stopping.subscribe();
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            _ = stopping.wait_for(|stopping| *stopping) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!("route: a caller's connection broke off: {error}");
        }
        self.connections.set(self.connections.get() - 1);
        self.idle.notify_waiters();
    }

    /// Sees one request to its answer.
    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let arrived = self.now();
        let (head, incoming) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/healthz") => {
                return answer::own(StatusCode::OK, Outcome::Done, "up\n");
            }
            (&Method::GET, "/readyz") => return self.readiness(),
            _ => {}
        }
        let call = match Call::read(&head, &self.parts.settings.requests) {
            Ok(call) => call,
            Err(bad) => {
                log::info!("route: refused a request: {bad}");
                self.parts.metrics.note_request("not-run", "bad request", 0.0);
                return answer::own(bad.status(), Outcome::NotRun, format!("not-run: {bad}\n"));
            }
        };
        let number = RequestNumber(self.next_number.get());
        self.next_number.set(number.0 + 1);
        let id = call.id.clone().unwrap_or_else(|| self.new_id(number));
        let Answered { mut response, told } =
            Rc::clone(&self).serve_call(number, &call, id.clone(), head, incoming, arrived).await;
        self.note(&id, &call, &told, arrived);
        answer::set(&mut response, HeaderName::from_static(headers::REQUEST_ID), &id);
        if !self.parts.ready.get() {
            answer::set(&mut response, CONNECTION, "close");
        }
        response
    }

    fn readiness(&self) -> Response<AnswerBody> {
        match self.parts.ready.get() {
            true => answer::own(StatusCode::OK, Outcome::Done, "ready\n"),
            false => answer::own(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, "not ready\n"),
        }
    }

    fn new_id(&self, number: RequestNumber) -> String {
        let Settings { box_id, .. } = &*self.parts.settings;
        format!("{box_id}-{:x}-{}", self.parts.incarnation, number.0)
    }

    fn note(&self, id: &str, call: &Call, told: &Told, arrived: Time) {
        let took_ms = self.now().since(arrived).as_secs_f64() * 1_000.0;
        let Told { outcome, reason, endpoint } = told;
        let to = endpoint.map_or_else(|| "nowhere".to_owned(), |address| address.to_string());
        log::info!("route: {id} {} to {to}: {outcome}, {reason}, {took_ms:.1} ms", call.service);
        self.parts.metrics.note_request(&outcome.to_string(), reason, took_ms);
    }
}

/// Answers a connection beyond the limit.
async fn turn_away(mut stream: TcpStream) {
    let write = stream.write_all(TOO_MANY_CONNECTIONS);
    let _ = tokio::time::timeout(Duration::from_secs(1), write).await;
}
