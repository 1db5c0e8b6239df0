//! Takes callers' requests over HTTP.

use std::{
    cell::Cell,
    convert::Infallible,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, header::HOST, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use kitetrail_core::{
    fleet_config::{CallerLimits, FleetConfig, QueueRoute},
    jobs::{JobId, JobSpec, JobState},
};
use kitetrail_platform::fleet::JobCodec;
use tokio::{
    net::{TcpListener, TcpStream},
    task, time,
};

use super::{
    Platform,
    calls::{self, Answer, Call},
    responses::{Body, closing, empty, json, refuse, refuse_job},
    shared::Shared,
};

/// How long a call is held at most while no owner answers. Long enough for a hand-over in order
/// (some 100 ms) and most takeovers; short enough that the caller still has time to ask another box.
const HOLD_AT_MOST: Duration = Duration::from_millis(1_300);
/// Kept from the time that a caller waits, for the way back.
const WAY_BACK: Duration = Duration::from_millis(60);
/// Kept from the end of a box that stops, so that the last answers leave it: some ten times what an
/// answer takes on a box that is slowed eight times.
const LAST_ANSWERS: Duration = Duration::from_millis(300);
/// How long to wait after a connection that could not be taken. Most likely no file handle is
/// free; some come free as calls end.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// The smallest buffer that the HTTP library allows.
const LEAST_BUFFER_BYTES: usize = 8_192;

/// Takes connections until the process ends.
pub(super) async fn accept<P: Platform>(shared: Rc<Shared<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn_local(connection(Rc::clone(&shared), stream));
            }
            Err(error) => {
                log::warn!("front: a connection can't be taken: {error}");
                time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn connection<P: Platform>(shared: Rc<Shared<P>>, stream: TcpStream) {
    let limits = shared.config().map(|config| config.limits).unwrap_or_default();
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("front: a connection keeps its delay: {error}");
    }
    let service = service_fn(move |request| {
        let shared = Rc::clone(&shared);
        async move {
            let _in_progress = InProgress::begin(&shared.in_progress);
            let response = answer(&shared, request, limits).await;
            Ok::<_, Infallible>(if shared.draining.get() { closing(response) } else { response })
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms.max(1)))
        .max_buf_size(limits.max_header_bytes.max(LEAST_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("front: a connection ended: {error}");
    }
}

/// Counts a request until it is answered, or its caller hangs up.
struct InProgress<'a>(&'a Cell<usize>);

impl<'a> InProgress<'a> {
    fn begin(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Answers a request and counts it.
async fn answer<P: Platform>(
    shared: &Rc<Shared<P>>,
    request: Request<Incoming>,
    limits: CallerLimits,
) -> Response<Body> {
    let started = Instant::now();
    let Some(config) = shared.config() else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "no configuration is known yet");
    };
    let (what, response) = route(shared, &config, request, limits, started).await;
    let latency_ms = started.elapsed().as_secs_f64() * 1_000.0;
    shared.metrics.note_request(response.status().as_str(), what, latency_ms);
    response
}

/// Does what a request asks for. Returns what that was, for the counters, and the answer.
async fn route<P: Platform>(
    shared: &Rc<Shared<P>>,
    config: &FleetConfig,
    request: Request<Incoming>,
    limits: CallerLimits,
    started: Instant,
) -> (&'static str, Response<Body>) {
    let host = request.headers().get(HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
    let host = host.split(':').next().unwrap_or("");
    let path = request.uri().path().to_owned();
    let Some((route, rest)) = config.route(host, &path) else {
        log::info!(host = host, path = path, config = config.version; "front: no such queue");
        return ("no-queue", refuse(StatusCode::NOT_FOUND, "no queue answers here"));
    };
    if rest.is_empty() {
        return match *request.method() {
            Method::GET => ("pending", pending(shared, route)),
            _ => ("bad", refuse(StatusCode::METHOD_NOT_ALLOWED, "a queue can only be read")),
        };
    }
    let Ok(job) = rest.parse::<JobId>() else {
        return ("bad", refuse(StatusCode::BAD_REQUEST, "a job's id has 16 hexadecimal digits"));
    };
    let give_up_at = give_up_at(shared, started + patience(shared, route, &request));
    match *request.method() {
        Method::POST => ("submit", submit(shared, route, job, request, limits, give_up_at).await),
        Method::GET => ("state", state(shared, job, give_up_at).await),
        Method::DELETE => ("cancel", cancel(shared, job, give_up_at).await),
        _ => ("bad", refuse(StatusCode::METHOD_NOT_ALLOWED, "use POST, GET or DELETE")),
    }
}

/// When a call is given up that may take until a moment: before the box ends, so that its caller is
/// answered.
fn give_up_at<P: Platform>(shared: &Shared<P>, latest: Instant) -> Instant {
    let before_end = |ends_at: Instant| ends_at.checked_sub(LAST_ANSWERS).unwrap_or(ends_at);
    shared.ends_at.get().map(before_end).map_or(latest, |end| end.min(latest))
}

/// How long an answer may take.
fn patience<P: Platform>(
    shared: &Shared<P>,
    route: &QueueRoute,
    request: &Request<Incoming>,
) -> Duration {
    let header = request.headers().get(shared.services.codec.time_left_header());
    let left_ms =
        header.and_then(|text| text.to_str().ok()).and_then(|text| text.parse::<u64>().ok());
    let route_ms = Some(route.timeout_ms).filter(|&timeout_ms| timeout_ms > 0);
    let limits = [left_ms, route_ms].into_iter().flatten().map(Duration::from_millis);
    let limit = limits.min().unwrap_or(HOLD_AT_MOST);
    limit.saturating_sub(WAY_BACK).min(HOLD_AT_MOST)
}

fn pending<P: Platform>(shared: &Shared<P>, route: &QueueRoute) -> Response<Body> {
    match shared.pending_of(route.queue.name.as_str()) {
        Some(pending) => json(StatusCode::OK, shared.services.codec.write_pending(pending)),
        None => refuse(StatusCode::SERVICE_UNAVAILABLE, "nobody told of late how many jobs wait"),
    }
}

async fn submit<P: Platform>(
    shared: &Rc<Shared<P>>,
    route: &QueueRoute,
    job: JobId,
    request: Request<Incoming>,
    limits: CallerLimits,
    give_up_at: Instant,
) -> Response<Body> {
    let body = match read_body(request, limits).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let spec = match read_job(shared, &body) {
        Ok(spec) => Rc::new(spec),
        Err(error) => {
            log::info!(job = job.to_string(), why = error.as_str(); "front: a job is malformed");
            return refuse(StatusCode::BAD_REQUEST, &error);
        }
    };
    let call = Call::Submit { job, queue: route.queue.clone(), spec };
    match calls::call_owner(shared, call, give_up_at).await {
        Answer::Accepted => empty(StatusCode::OK),
        answer => give_up("submit", job, answer),
    }
}

fn read_job<P: Platform>(shared: &Shared<P>, body: &[u8]) -> Result<JobSpec, String> {
    let spec = shared.services.codec.read_job(body)?;
    spec.check().map(|()| spec).map_err(|error| error.to_string())
}

async fn state<P: Platform>(
    shared: &Rc<Shared<P>>,
    job: JobId,
    give_up_at: Instant,
) -> Response<Body> {
    match calls::call_owner(shared, Call::State { job }, give_up_at).await {
        Answer::State(state) => json(StatusCode::OK, shared.services.codec.write_state(state)),
        Answer::UnknownJob => refuse(StatusCode::GONE, "there is no such job"),
        answer => give_up("state", job, answer),
    }
}

async fn cancel<P: Platform>(
    shared: &Rc<Shared<P>>,
    job: JobId,
    give_up_at: Instant,
) -> Response<Body> {
    match calls::call_owner(shared, Call::Cancel { job }, give_up_at).await {
        Answer::Cancelled => {
            json(StatusCode::OK, shared.services.codec.write_state(JobState::Cancelled))
        }
        Answer::UnknownJob => refuse(StatusCode::GONE, "there is no such job"),
        answer => give_up("cancel", job, answer),
    }
}

/// The answer to a call that brought none in time.
fn give_up(what: &str, job: JobId, answer: Answer) -> Response<Body> {
    log::warn!(job = job.to_string(), call = what, answer:? = answer; "front: a call failed");
    match answer {
        Answer::InDoubt => {
            refuse(StatusCode::GATEWAY_TIMEOUT, "it may have been done: ask again with the same id")
        }
        Answer::Refused => refuse_job(job, "it was not taken: hand it in again later"),
        _ => refuse(StatusCode::SERVICE_UNAVAILABLE, "it was not done: ask again later"),
    }
}

async fn read_body(
    request: Request<Incoming>,
    limits: CallerLimits,
) -> Result<Bytes, Response<Body>> {
    let body = Limited::new(request.into_body(), limits.max_body_bytes).collect();
    let timeout = Duration::from_millis(limits.header_timeout_ms.max(1));
    match time::timeout(timeout, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(closing(refuse(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")))
        }
        Ok(Err(error)) => {
            log::debug!("front: a body can't be read: {error}");
            Err(closing(refuse(StatusCode::BAD_REQUEST, "the body can't be read")))
        }
        Err(_) => Err(closing(refuse(StatusCode::REQUEST_TIMEOUT, "the body came too slowly"))),
    }
}
