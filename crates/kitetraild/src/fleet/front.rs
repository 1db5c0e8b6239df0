//! The HTTP server for callers.

use std::{
    cell::Cell,
    convert::Infallible,
    rc::Rc,
    time::{Duration, Instant},
};

use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, header::HOST, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use kitetrail_core::{
    fleet_config::{CallerLimits, FleetConfig, QueueRoute},
    jobs::{JobId, JobSpec, JobState, LoadPart},
};
use kitetrail_platform::fleet::JobCodec;
use tokio::{
    net::{TcpListener, TcpStream},
    task, time,
};

use super::{
    Platform,
    call_times::{CallTimes, MAX_WAIT},
    calls::{self, Answer, Call},
    responses::{
        Body, closing, empty_response, error_response, json_response, refused_job_response,
        retry_response,
    },
    shared::Shared,
};
use crate::admission::{BodyError, Connection, ReceivedBody};

/// The part of the caller's timeout that is reserved for sending the response.
const RESPONSE_RESERVE: Duration = Duration::from_millis(60);
/// The delay after a connection could not be accepted. The usual cause is a lack of file handles, some
/// of which become free as calls end.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The smallest buffer size that the HTTP library allows.
const MIN_BUFFER_BYTES: usize = 8_192;

/// The interval at which connections are checked for callers that don't read.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// The time beyond the idle timeout after which a connection is closed that the HTTP server did not close.
const STALL_MARGIN: Duration = Duration::from_millis(1_000);
/// The size up to which a body is decoded without waiting for a turn, in bytes. It takes a fraction of a millisecond.
const SHORT_BODY_BYTES: usize = 16 * 1_024;
/// The number of copies of a job that may be in memory until it is answered: decoded, and encoded for the owner.
const COPIES_OF_SPEC: usize = 2;

/// Accepts connections until the process ends.
pub(super) async fn accept<P: Platform>(shared: Rc<Shared<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if shared.connections.make_room() => {
                let connection = shared.connections.insert();
                task::spawn_local(serve_connection(Rc::clone(&shared), stream, connection));
                if shared.connections.is_over_limit() {
                    // The tasks of the closed connections end before more are accepted.
                    task::yield_now().await;
                }
            }
            Ok((_, caller)) => log::info!(
                caller = caller.to_string(), open = shared.connections.open();
                "front: a connection is refused, all others are being answered"
            ),
            Err(error) => {
                log::warn!("front: can't accept a connection: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Closes the connections whose callers don't read their responses, until the process ends.
pub(super) async fn close_stalled<P: Platform>(shared: Rc<Shared<P>>) {
    loop {
        time::sleep(STALL_CHECK_INTERVAL).await;
        let limits = shared.config().map(|config| config.limits).unwrap_or_default();
        let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
        shared.connections.close_idle(idle_timeout + STALL_MARGIN);
    }
}

/// Serves the requests of one connection.
async fn serve_connection<P: Platform>(
    shared: Rc<Shared<P>>,
    stream: TcpStream,
    connection: Rc<Connection>,
) {
    let limits = shared.config().map(|config| config.limits).unwrap_or_default();
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("front: can't set TCP_NODELAY on a connection: {error}");
    }
    let closed = Rc::clone(&connection);
    let service = service_fn(move |request| {
        let shared = Rc::clone(&shared);
        let caller = Caller { limits, connection: Rc::clone(&connection) };
        async move {
            let _in_progress = InProgressGuard::begin(&shared.requests_in_progress);
            let _request = caller.connection.begin_request();
            let response = handle_request(&shared, request, &caller).await;
            Ok::<_, Infallible>(if shared.draining.get() { closing(response) } else { response })
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms.max(1)))
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        served = served => {
            if let Err(error) = served {
                log::debug!("front: a connection ended with an error: {error}");
            }
        }
        () = closed.closed() => log::info!("front: an idle or stalled connection is closed"),
    }
}

/// The caller at the other end of a connection.
struct Caller {
    limits: CallerLimits,
    connection: Rc<Connection>,
}

/// Counts a request as in progress until it is answered or its caller disconnects.
struct InProgressGuard<'a>(&'a Cell<usize>);

impl<'a> InProgressGuard<'a> {
    fn begin(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for InProgressGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Answers a request and records it in the metrics.
async fn handle_request<P: Platform>(
    shared: &Rc<Shared<P>>,
    request: Request<Incoming>,
    caller: &Caller,
) -> Response<Body> {
    let started = Instant::now();
    let Some(config) = shared.config() else {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration is known yet");
    };
    let (operation, response) = dispatch(shared, &config, request, caller, started).await;
    let latency_ms = started.elapsed().as_secs_f64() * 1_000.0;
    shared.metrics.record_request(response.status().as_str(), operation, latency_ms);
    response
}

/// Routes a request. Returns the name of the operation, for the metrics, and the response.
async fn dispatch<P: Platform>(
    shared: &Rc<Shared<P>>,
    config: &FleetConfig,
    request: Request<Incoming>,
    caller: &Caller,
    started: Instant,
) -> (&'static str, Response<Body>) {
    let host = request.headers().get(HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
    let host = host.split(':').next().unwrap_or("");
    let path = request.uri().path().to_owned();
    let Some((route, job_text)) = config.find_route(host, &path) else {
        log::info!(
            host = host, path = path, config = config.version;
            "front: no queue matches the request"
        );
        return ("no-queue", error_response(StatusCode::NOT_FOUND, "no queue answers here"));
    };
    if job_text.is_empty() {
        return match *request.method() {
            Method::GET => ("pending", pending(shared, route)),
            _ => {
                ("bad", error_response(StatusCode::METHOD_NOT_ALLOWED, "a queue can only be read"))
            }
        };
    }
    let Ok(job) = job_text.parse::<JobId>() else {
        return (
            "bad",
            error_response(StatusCode::BAD_REQUEST, "a job's id has 16 hexadecimal digits"),
        );
    };
    let caller_wait = caller_wait(shared, route, &request);
    let times = fixed_times(started, caller_wait);
    match *request.method() {
        Method::POST => {
            let submission = Submission { job, started, caller_wait };
            ("submit", submit(shared, route, submission, request, caller).await)
        }
        Method::GET => {
            caller.connection.record_received();
            ("state", state(shared, job, times).await)
        }
        Method::DELETE => {
            caller.connection.record_received();
            ("cancel", cancel(shared, job, times).await)
        }
        _ => ("bad", error_response(StatusCode::METHOD_NOT_ALLOWED, "use POST, GET or DELETE")),
    }
}

/// Returns how long the caller waits for the owner's answer, from the request's header and the route,
/// if either gives a limit.
fn caller_wait<P: Platform>(
    shared: &Shared<P>,
    route: &QueueRoute,
    request: &Request<Incoming>,
) -> Option<Duration> {
    let header = request.headers().get(shared.services.codec.time_left_header());
    let remaining_ms =
        header.and_then(|text| text.to_str().ok()).and_then(|text| text.parse::<u64>().ok());
    let route_ms = Some(route.timeout_ms).filter(|&timeout_ms| timeout_ms > 0);
    let limits = [remaining_ms, route_ms].into_iter().flatten().map(Duration::from_millis);
    limits.min().map(|limit| limit.saturating_sub(RESPONSE_RESERVE))
}

/// Returns the time limits of a call that waits for a fixed time, unless its caller has less left.
fn fixed_times(started: Instant, caller_wait: Option<Duration>) -> CallTimes {
    CallTimes::fixed(started, caller_wait.unwrap_or(MAX_WAIT - RESPONSE_RESERVE))
}

/// Answers with the number of waiting jobs of a queue.
fn pending<P: Platform>(shared: &Shared<P>, route: &QueueRoute) -> Response<Body> {
    match shared.pending_jobs_of(route.queue.name.as_str()) {
        Some(pending) => {
            json_response(StatusCode::OK, shared.services.codec.write_pending(pending))
        }
        None => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "nobody told of late how many jobs wait",
        ),
    }
}

/// A caller's submission.
struct Submission {
    job: JobId,
    /// When its head arrived.
    started: Instant,
    /// How long its caller waits from then on, if known.
    caller_wait: Option<Duration>,
}

impl Submission {
    /// Returns the time limits of the call to the owner, now that the body has arrived, and the latest time of the
    /// owner's answer if the owner may use the caller's time.
    ///
    /// The time that the body took counts against the caller's time only.
    fn call_times(&self, waits_as_caller: bool) -> (CallTimes, Option<Instant>) {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(self.started);
        let caller_wait = self.caller_wait.map(|wait| wait.saturating_sub(elapsed));
        match caller_wait {
            Some(wait) if waits_as_caller => {
                let times = CallTimes::of_caller(now, wait);
                (times, Some(times.deadline()))
            }
            _ => (fixed_times(now, caller_wait), None),
        }
    }
}

/// Submits a job.
async fn submit<P: Platform>(
    shared: &Rc<Shared<P>>,
    route: &QueueRoute,
    submission: Submission,
    request: Request<Incoming>,
    caller: &Caller,
) -> Response<Body> {
    let job = submission.job;
    let timeout = Duration::from_millis(caller.limits.header_timeout_ms.max(1));
    let max_bytes = caller.limits.max_body_bytes;
    let received = shared.bodies.receive(request.into_body(), max_bytes, timeout).await;
    let ReceivedBody { contents, mut reservation } = match received {
        Ok(received) => received,
        Err(error) => return body_error_response(shared, job, &error),
    };
    caller.connection.record_received();
    let decoded = match contents.len() <= SHORT_BODY_BYTES {
        true => read_job(shared, &contents),
        false => read_long_job(shared, &contents).await,
    };
    let spec = match decoded {
        Ok(spec) => Rc::new(spec),
        Err(error) => {
            log::info!(job = job.to_string(), why = error.as_str(); "front: a job is malformed");
            return error_response(StatusCode::BAD_REQUEST, &error);
        }
    };
    drop(contents);
    if !shared.bodies.resize(&mut reservation, spec.memory_bytes() * COPIES_OF_SPEC) {
        return body_error_response(shared, job, &BodyError::NoMemory);
    }
    let waits_as_caller = shared.settings.parts.has(LoadPart::HandIn);
    let (times, answer_by) = submission.call_times(waits_as_caller);
    let call = Call::Submit { job, queue: route.queue.clone(), spec, answer_by };
    match calls::call_owner(shared, call, times).await {
        Answer::Accepted => empty_response(StatusCode::OK),
        Answer::NotRun if answer_by.is_some() => {
            let delay = times.retry_after(Instant::now(), job);
            log::warn!(
                job = job.to_string(), retry_after_s = delay.as_secs();
                "front: no owner received a job"
            );
            retry_response(delay, "it was not done: ask again later")
        }
        answer => failed_call_response("submit", job, answer),
    }
}

/// Decodes a job whose text is long, in turn with others.
async fn read_long_job<P: Platform>(
    shared: &Shared<P>,
    contents: &[u8],
) -> Result<JobSpec, String> {
    // The semaphore is never closed.
    let _turn = shared.decode_turn.acquire().await;
    let decoded = read_job(shared, contents);
    task::yield_now().await;
    decoded
}

fn read_job<P: Platform>(shared: &Shared<P>, body: &[u8]) -> Result<JobSpec, String> {
    let spec = shared.services.codec.read_job(body)?;
    spec.check().map(|()| spec).map_err(|error| error.to_string())
}

/// Answers with a job's state.
async fn state<P: Platform>(
    shared: &Rc<Shared<P>>,
    job: JobId,
    times: CallTimes,
) -> Response<Body> {
    match calls::call_owner(shared, Call::State { job }, times).await {
        Answer::State(state) => {
            json_response(StatusCode::OK, shared.services.codec.write_state(state))
        }
        Answer::UnknownJob => error_response(StatusCode::GONE, "there is no such job"),
        answer => failed_call_response("state", job, answer),
    }
}

/// Cancels a job.
async fn cancel<P: Platform>(
    shared: &Rc<Shared<P>>,
    job: JobId,
    times: CallTimes,
) -> Response<Body> {
    match calls::call_owner(shared, Call::Cancel { job }, times).await {
        Answer::Cancelled => {
            json_response(StatusCode::OK, shared.services.codec.write_state(JobState::Cancelled))
        }
        Answer::UnknownJob => error_response(StatusCode::GONE, "there is no such job"),
        answer => failed_call_response("cancel", job, answer),
    }
}

/// Returns the response to a call that failed.
fn failed_call_response(operation: &str, job: JobId, answer: Answer) -> Response<Body> {
    log::warn!(job = job.to_string(), call = operation, answer:? = answer; "front: a call failed");
    match answer {
        Answer::InDoubt => error_response(
            StatusCode::GATEWAY_TIMEOUT,
            "it may have been done: ask again with the same id",
        ),
        Answer::Refused(retry_after) => {
            refused_job_response(job, retry_after, "it was not taken: hand it in again later")
        }
        _ => error_response(StatusCode::SERVICE_UNAVAILABLE, "it was not done: ask again later"),
    }
}

/// Returns the response to a request whose body was not received or whose job can't be held in memory. Nothing of it was
/// passed on, so it certainly did not run.
fn body_error_response<P: Platform>(
    shared: &Shared<P>,
    job: JobId,
    error: &BodyError,
) -> Response<Body> {
    let budget = shared.bodies.budget();
    log::info!(
        job = job.to_string(), why = error.to_string(), reserved_bytes = budget.reserved().0,
        capacity_bytes = budget.capacity().0;
        "front: a job was not received"
    );
    closing(match error {
        BodyError::TooLong(_) => {
            error_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")
        }
        BodyError::TooSlow(_) => {
            error_response(StatusCode::REQUEST_TIMEOUT, "the body came too slowly")
        }
        BodyError::Unreadable(_) => {
            error_response(StatusCode::BAD_REQUEST, "the body can't be read")
        }
        BodyError::NoMemory => refused_job_response(
            job,
            None,
            "it was not taken: too many requests are being received",
        ),
    })
}
