//! The server for calls from other boxes.

use std::{
    net::SocketAddr,
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use kitetrail_core::{
    owner_relief::{BoxSpeed, ReliefPause, WorkTime},
    succession::{BoxStrength, Candidate},
};
use kitetrail_proto::jobs::{
    CallAnswer, CallRequest, Config, FetchConfigRequest, OfferConfigAnswer, PingAnswer,
    PingRequest, ReachStoreAnswer, ReachStoreRequest, TakeOverAnswer, TakeOverRequest,
    jobs_server::{Jobs, JobsServer},
};
use tokio::{
    runtime,
    sync::{mpsc, oneshot},
    task, time,
};
use tonic::{Request, Response, Status, async_trait, transport::Server};

use super::{
    super::{
        Platform,
        calls::{self, Answer},
        rows,
        shared::Shared,
        speed_probe,
    },
    CALL_TIMEOUT,
    codec::{
        apply_config, call_bytes, decode_call, encode_answer, encode_config, encode_retry_after,
    },
    status::PublishedStatus,
};
use crate::admission::{MemoryBudget, Reservation};

/// The capacity of the queue of messages from other boxes.
const QUEUE_CAPACITY: usize = 1_024;
/// The longest wait for a takeover before the request for it is answered. A takeover takes about 100 ms.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_millis(800);

/// The bytes of one call that another box may send before they are read: those of the largest job.
const STREAM_WINDOW_BYTES: u32 = 64 * 1_024;
/// The bytes of all calls that another box may send before they are read.
const CONNECTION_WINDOW_BYTES: u32 = 128 * 1_024;
/// The number of copies of a call that may be in memory until it is answered: encoded, decoded, and in the owner's inbox.
const COPIES_OF_CALL: usize = 3;

/// A message from another box, passed from the server's thread to the thread of the shared state.
enum PeerMessage {
    /// A call, with the memory that is reserved for it until it is answered.
    Call(CallRequest, Reservation, oneshot::Sender<CallAnswer>),
    /// A ping that has already been answered.
    Pinged(PingRequest),
    FetchConfig(oneshot::Sender<Config>),
    OfferConfig(Config),
    ReachStore(oneshot::Sender<ReachStoreAnswer>),
    TakeOver(TakeOverRequest, oneshot::Sender<TakeOverAnswer>),
}

/// Serves other boxes until the process ends, on a separate thread: see [`PublishedStatus`].
pub(in crate::fleet) async fn serve<P: Platform>(shared: Rc<Shared<P>>) {
    let (sender, mut messages) = mpsc::channel(QUEUE_CAPACITY);
    let address = shared.settings.listen.peers;
    let keepalive_interval = shared.settings.limits.peer_keepalive_interval;
    let server = Server::builder()
        .http2_keepalive_interval(Some(keepalive_interval))
        .http2_keepalive_timeout(Some(keepalive_interval))
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .add_service(JobsServer::new(Handler {
            sender,
            status: shared.status.clone(),
            budget: shared.bodies.budget().clone(),
        }))
        .serve(address);
    let started = thread::Builder::new().name("peers".to_owned()).spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        let served = runtime.map(|runtime| runtime.block_on(server));
        if !matches!(served, Ok(Ok(()))) {
            log::error!("peer: can't serve on {address}: {served:?}");
        }
    });
    if let Err(error) = started {
        log::error!("peer: can't start the server thread for {address}: {error}");
    }
    while let Some(message) = messages.recv().await {
        handle_message(&shared, message);
    }
}

/// Handles a message. Slow operations run in their own tasks, so that they don't delay later messages.
fn handle_message<P: Platform>(shared: &Rc<Shared<P>>, message: PeerMessage) {
    match message {
        PeerMessage::Call(request, reservation, reply) => {
            task::spawn_local(answer_call(Rc::clone(shared), request, reservation, reply));
        }
        PeerMessage::Pinged(request) => {
            shared.record_reported_owner(request.epoch, &request.owner_address);
            record_candidate(shared, &request);
        }
        PeerMessage::FetchConfig(reply) => {
            let _ = reply.send(encode_config(shared));
        }
        PeerMessage::OfferConfig(config) => apply_config(shared, &config),
        PeerMessage::ReachStore(reply) => {
            task::spawn_local(reach_store(Rc::clone(shared), reply));
        }
        PeerMessage::TakeOver(request, reply) => {
            task::spawn_local(take_over(Rc::clone(shared), request, reply));
        }
    }
}

/// Answers a call that another box forwarded, if this box owns the fleet.
async fn answer_call<P: Platform>(
    shared: Rc<Shared<P>>,
    request: CallRequest,
    _reservation: Reservation,
    reply: oneshot::Sender<CallAnswer>,
) {
    let owner = shared.owner_inbox.borrow().clone();
    let answer = match (owner, decode_call(request)) {
        (Some(owner), Some(call)) => {
            let timeout = call.time_left().unwrap_or(CALL_TIMEOUT);
            calls::call_local_owner(owner, call, timeout).await
        }
        (None, _) => Answer::NotOwner,
        (_, None) => Answer::NotRun,
    };
    let outcome = encode_answer(answer).into();
    let retry_after_s = encode_retry_after(answer);
    let view = shared.owner();
    let owner_address = view.address_text();
    let _ = reply.send(CallAnswer { outcome, epoch: view.epoch, owner_address, retry_after_s });
}

/// Checks whether this box reaches the store, with the smallest read of the store.
async fn reach_store<P: Platform>(shared: Rc<Shared<P>>, reply: oneshot::Sender<ReachStoreAnswer>) {
    let began_at = Instant::now();
    let read = rows::read_owner(&shared).await;
    let read_ms = u32::try_from(began_at.elapsed().as_millis()).ok();
    let measures_speed = shared.own_work_time.get().is_some();
    let work_time_us = measures_speed.then(|| speed_probe::measure_now().as_us());
    let _ = reply.send(ReachStoreAnswer { reached: read.is_ok(), read_ms, work_time_us });
}

/// Requests that this box take over from a stopped owner, and replies with the owner after that.
async fn take_over<P: Platform>(
    shared: Rc<Shared<P>>,
    TakeOverRequest { epoch, relief_pause_ms }: TakeOverRequest,
    reply: oneshot::Sender<TakeOverAnswer>,
) {
    log::info!(epoch = epoch; "owner: asked to take over from an owner that has stopped");
    let relief = relief_pause_ms.map(|pause_ms| (epoch, ReliefPause::from_ms(pause_ms)));
    shared.relief_requested.set(relief);
    shared.takeover_requested_epoch.set(epoch);
    shared.takeover_requested.notify_one();
    let succeeded = async {
        while shared.owner().epoch <= epoch {
            shared.owner_changed.notified().await;
        }
    };
    let _ = time::timeout(TAKE_OVER_TIMEOUT, succeeded).await;
    let view = shared.owner();
    let owner_address = view.address_text();
    let _ = reply.send(TakeOverAnswer { epoch: view.epoch, owner_address });
}

/// Records a box that could own the fleet after this one.
fn record_candidate<P: Platform>(shared: &Shared<P>, request: &PingRequest) {
    let Ok(address) = request.address.parse::<SocketAddr>() else { return };
    let mut candidates = shared.candidates.borrow_mut();
    let mut speeds = shared.box_speeds.borrow_mut();
    if request.stopping {
        speeds.record(address, None);
        return candidates.remove(address);
    }
    let now = shared.clock.now();
    let started_at = now - Duration::from_millis(request.up_ms);
    let strength = BoxStrength(request.strength_workers);
    let speed =
        |time_us| BoxSpeed { strength, work_time: WorkTime::from_us(time_us), reported_at: now };
    speeds.record(address, request.work_time_us.map(speed));
    candidates.insert(address, Candidate { strength, started_at, last_request_at: now });
}

/// The gRPC service. It passes each message to the thread of the shared state.
struct Handler {
    sender: mpsc::Sender<PeerMessage>,
    status: PublishedStatus,
    /// The memory for calls, the same as for callers' requests.
    budget: MemoryBudget,
}

impl Handler {
    async fn request_reply<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> PeerMessage,
    ) -> Result<Response<T>, Status> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(message(reply)).await.map_err(|_| shutting_down())?;
        answer.await.map(Response::new).map_err(|_| shutting_down())
    }
}

#[async_trait]
impl Jobs for Handler {
    async fn call(&self, request: Request<CallRequest>) -> Result<Response<CallAnswer>, Status> {
        let request = request.into_inner();
        match self.budget.try_reserve(call_bytes(&request) * COPIES_OF_CALL) {
            Some(reservation) => {
                self.request_reply(|reply| PeerMessage::Call(request, reservation, reply)).await
            }
            None => {
                log::info!(
                    bytes = call_bytes(&request), reserved_bytes = self.budget.reserved().0,
                    capacity_bytes = self.budget.capacity().0;
                    "peer: a call is refused, the memory for requests is used up"
                );
                let outcome = encode_answer(Answer::Refused(None)).into();
                Ok(Response::new(CallAnswer { outcome, ..CallAnswer::default() }))
            }
        }
    }

    async fn ping(&self, request: Request<PingRequest>) -> Result<Response<PingAnswer>, Status> {
        // The sender's status is only used later, and may be dropped when the queue is full.
        if self.sender.try_send(PeerMessage::Pinged(request.into_inner())).is_err() {
            log::debug!("peer: the message queue is full, the status of a box is dropped");
        }
        Ok(Response::new(self.status.ping_answer(Instant::now())))
    }

    async fn fetch_config(
        &self,
        _: Request<FetchConfigRequest>,
    ) -> Result<Response<Config>, Status> {
        self.request_reply(PeerMessage::FetchConfig).await
    }

    async fn offer_config(
        &self,
        request: Request<Config>,
    ) -> Result<Response<OfferConfigAnswer>, Status> {
        let message = PeerMessage::OfferConfig(request.into_inner());
        let sent = self.sender.send(message).await;
        sent.map_err(|_| shutting_down())?;
        Ok(Response::new(OfferConfigAnswer {}))
    }

    async fn reach_store(
        &self,
        _: Request<ReachStoreRequest>,
    ) -> Result<Response<ReachStoreAnswer>, Status> {
        self.request_reply(PeerMessage::ReachStore).await
    }

    async fn take_over(
        &self,
        request: Request<TakeOverRequest>,
    ) -> Result<Response<TakeOverAnswer>, Status> {
        self.request_reply(|reply| PeerMessage::TakeOver(request.into_inner(), reply)).await
    }
}

/// Returns the error for calls after the message queue was closed.
fn shutting_down() -> Status {
    Status::unavailable("the box is stopping")
}
