//! Takes callers' requests and sees each to its final answer.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
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
    calls::ClaimAnswer,
    routing::{Arrival, EndpointId, Exchange, Outcome, RequestNumber, Verdict},
};
use kitetrail_platform::{HttpTable, headers};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::{Notify, oneshot},
};

use super::{
    SharedRouter, answer,
    body::{AnswerBody, AnswerStream, RequestBody},
    call::Call,
    claims::{Claim, Claims},
    exchange::{Exchanged, MAX_WHOLE_BYTES, Outgoing, exchange},
    in_flight::InFlight,
    pool::Pool,
};
use crate::{clock::Clock, metrics::Metrics, settings::Settings};

/// How often requests that waited too long are answered.
const EXPIRY_TICK: Duration = Duration::from_millis(5);
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
}

/// A request with all that is needed to send it, perhaps more than once.
struct Sending {
    head: Parts,
    id: String,
    whole: Option<Bytes>,
    stream: Option<Incoming>,
    deadline: Time,
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

    /// Waits until no request is in progress.
    pub async fn drain(&self) {
        while self.in_progress.get() > 0 {
            let idle = self.idle.notified();
            if self.in_progress.get() == 0 {
                return;
            }
            idle.await;
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
        if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
            log::debug!("route: a caller's connection broke off: {error}");
        }
        self.connections.set(self.connections.get() - 1);
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
        let (mut response, told) =
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

    async fn serve_call(
        self: Rc<Self>,
        number: RequestNumber,
        call: &Call,
        id: String,
        head: Parts,
        incoming: Incoming,
        arrived: Time,
    ) -> (Response<AnswerBody>, Told) {
        let deadline = arrived + call.timeout;
        let mut sending = Sending { head, id, whole: None, stream: None, deadline };
        if let Err(told) = self.take_body(call, incoming, &mut sending).await {
            return told;
        }
        let mut claim = match &call.key {
            None => None,
            Some(key) => {
                let claim = self.claims.claim(key.clone());
                let left = deadline.since(self.now());
                match tokio::time::timeout(left, claim).await {
                    Ok(Ok(claim)) => Some(claim),
                    Ok(Err(answer)) => return claim_refused(answer),
                    Err(_) => return claim_refused(ClaimAnswer::NoTable),
                }
            }
        };
        let arrival = Arrival {
            number,
            service: call.service.clone(),
            repeatable: call.repeatable,
            rank: RANK,
            deadline,
        };
        let verdict = self.router().borrow_mut().offer(arrival, self.now());
        let in_flight = InFlight::new(Rc::clone(&self), number);
        self.follow(verdict, in_flight, &mut sending, &mut claim).await
    }

    /// Reads a short body whole, so that it can be sent again; a long one is passed on.
    async fn take_body(
        &self,
        call: &Call,
        incoming: Incoming,
        sending: &mut Sending,
    ) -> Result<(), (Response<AnswerBody>, Told)> {
        if call.body_len.is_none_or(|length| length > MAX_WHOLE_BYTES) && !is_empty(&incoming) {
            sending.stream = Some(incoming);
            return Ok(());
        }
        let left = sending.deadline.since(self.now());
        let body = Limited::new(incoming, MAX_WHOLE_BYTES as usize).collect();
        match tokio::time::timeout(left, body).await {
            Ok(Ok(body)) => {
                sending.whole = Some(body.to_bytes());
                Ok(())
            }
            Ok(Err(_)) | Err(_) => {
                let reason = "the body did not come".to_owned();
                let body = format!("not-run: {reason}\n");
                let response = answer::own(StatusCode::REQUEST_TIMEOUT, Outcome::NotRun, body);
                Err((response, Told { outcome: Outcome::NotRun, reason, endpoint: None }))
            }
        }
    }

    /// Does what the router says until there is a final answer.
    async fn follow(
        &self,
        mut verdict: Verdict,
        mut in_flight: InFlight,
        sending: &mut Sending,
        claim: &mut Option<Claim>,
    ) -> (Response<AnswerBody>, Told) {
        let mut endpoint = None;
        loop {
            verdict = match verdict {
                Verdict::Send(id) => {
                    endpoint = Some(self.router().borrow().endpoint(id).address);
                    match self.send(id, in_flight, sending, claim).await {
                        Sent::Final(response, told) => return (response, told),
                        Sent::Again(verdict, same) => {
                            in_flight = same;
                            verdict
                        }
                    }
                }
                Verdict::Wait => match in_flight.wait().await {
                    Some(verdict) => verdict,
                    None => Verdict::Deliver,
                },
                Verdict::GiveUp(given_up) => {
                    in_flight.give_up();
                    let told = Told {
                        outcome: given_up.outcome,
                        reason: given_up.reason.to_string(),
                        endpoint,
                    };
                    return (answer::given_up(given_up), told);
                }
                Verdict::Deliver => {
                    let reason = "nothing to deliver".to_owned();
                    let body = "unknown: the answer was lost\n";
                    let response = answer::own(StatusCode::BAD_GATEWAY, Outcome::Unknown, body);
                    return (response, Told { outcome: Outcome::Unknown, reason, endpoint });
                }
            };
        }
    }

    /// Sends a request to an endpoint and passes on or judges what comes back.
    async fn send(
        &self,
        id: EndpointId,
        mut in_flight: InFlight,
        sending: &mut Sending,
        claim: &mut Option<Claim>,
    ) -> Sent {
        in_flight.sending_to(id);
        let address = self.router().borrow().endpoint(id).address;
        let share = self.router().borrow().connection_share();
        let left = sending.deadline.since(self.now());
        let streamed = sending.whole.is_none();
        let Some(body) = self.body_of(sending) else {
            // A body that was passed on is gone; it can't be sent a second time.
            in_flight.finish_exchange(Exchange::NotSent);
            return lost_stream(address);
        };
        let sent = Cell::new(false);
        let Sending { head, id, .. } = &*sending;
        let outgoing = Outgoing { address, head, id, left, body, share };
        let exchanged = exchange(&self.pool, outgoing, &sent);
        let exchanged = tokio::time::timeout(left, exchanged).await;
        let sent = sent.get();
        if sent && let Some(claim) = claim {
            claim.keep();
        }
        match exchanged {
            Ok(Exchanged::Whole(parts, body, connection)) => {
                if let Some(claim) = claim.take() {
                    claim.finish(parts.status.as_u16(), &body);
                }
                in_flight.complete(connection, parts.status.is_server_error());
                Sent::done(Response::from_parts(parts, AnswerBody::Whole(Full::new(body))), address)
            }
            Ok(Exchanged::Head(parts, incoming, connection)) => {
                if let Some(claim) = claim.take() {
                    claim.finish(parts.status.as_u16(), &[b' '; 0xffff]);
                }
                let failed = parts.status.is_server_error();
                let stream = AnswerStream::new(incoming, connection, in_flight, failed);
                let body = AnswerBody::Stream(Box::new(stream));
                Sent::done(Response::from_parts(parts, body), address)
            }
            Ok(Exchanged::Refused) => Sent::again(in_flight, Exchange::Refused),
            Ok(Exchanged::NotSent) if streamed && sent => Sent::again(in_flight, Exchange::Lost),
            Ok(Exchanged::NotSent) => Sent::again(in_flight, Exchange::NotSent),
            Ok(Exchanged::Lost(cause)) => {
                log::debug!("route: {} to {address} broke off: {cause}", sending.id);
                Sent::again(in_flight, Exchange::Lost)
            }
            Err(_) if sent => Sent::timed_out(in_flight, address),
            Err(_) => Sent::again(in_flight, Exchange::NotSent),
        }
    }

    fn body_of(&self, sending: &mut Sending) -> Option<RequestBody> {
        match &sending.whole {
            Some(whole) => Some(RequestBody::Whole(Full::new(whole.clone()))),
            None => {
                let limit = self.parts.settings.requests.max_body_bytes as usize;
                let stream = sending.stream.take()?;
                Some(RequestBody::Stream(Limited::new(stream, limit)))
            }
        }
    }
}

/// What came of sending a request once.
enum Sent {
    Final(Response<AnswerBody>, Told),
    Again(Verdict, InFlight),
}

impl Sent {
    fn done(mut response: Response<AnswerBody>, address: SocketAddr) -> Self {
        let outcome = Outcome::Done;
        answer::set(&mut response, HeaderName::from_static(headers::OUTCOME), "done");
        let reason = format!("answered {}", response.status().as_u16());
        Self::Final(response, Told { outcome, reason, endpoint: Some(address) })
    }

    fn again(mut in_flight: InFlight, exchange: Exchange) -> Self {
        let verdict = in_flight.finish_exchange(exchange);
        Self::Again(verdict, in_flight)
    }

    fn timed_out(in_flight: InFlight, address: SocketAddr) -> Self {
        let reason = "deadline passed at the endpoint".to_owned();
        let told = Told { outcome: Outcome::Unknown, reason, endpoint: Some(address) };
        match in_flight.time_out() {
            Some(given_up) => Self::Final(answer::given_up(given_up), told),
            None => {
                let body = "unknown: deadline passed\n";
                let status = StatusCode::GATEWAY_TIMEOUT;
                Self::Final(answer::own(status, Outcome::Unknown, body), told)
            }
        }
    }
}

/// The answer when a body that was passed on would have to be sent again.
fn lost_stream(address: SocketAddr) -> Sent {
    let reason = "a long body can't be sent again".to_owned();
    let body = format!("unknown: {reason}\n");
    let response = answer::own(StatusCode::BAD_GATEWAY, Outcome::Unknown, body);
    Sent::Final(response, Told { outcome: Outcome::Unknown, reason, endpoint: Some(address) })
}

fn claim_refused(answer: ClaimAnswer) -> (Response<AnswerBody>, Told) {
    let told = |outcome, reason: &str| Told { outcome, reason: reason.to_owned(), endpoint: None };
    match answer {
        ClaimAnswer::Ran { status, body } => {
            let outcome = if body.is_some() { Outcome::Done } else { Outcome::Unknown };
            (answer::replay(status, body), told(outcome, "ran before"))
        }
        ClaimAnswer::Held => (answer::held(), told(Outcome::Unknown, "key held")),
        ClaimAnswer::NoTable | ClaimAnswer::Granted => {
            (answer::no_table(), told(Outcome::NotRun, "table silent"))
        }
    }
}

fn is_empty(incoming: &Incoming) -> bool {
    use hyper::body::Body;
    incoming.is_end_stream()
}

/// Answers a connection beyond the limit.
async fn turn_away(mut stream: TcpStream) {
    let write = stream.write_all(TOO_MANY_CONNECTIONS);
    let _ = tokio::time::timeout(Duration::from_secs(1), write).await;
}
