//! Answers to other boxes.

use std::{
    net::SocketAddr,
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use kitetrail_core::succession::{BoxStrength, Candidate};
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
    },
    CALL_LIMIT,
    codec::{decode_call, encode_answer, encode_config, take_config},
    status::BoxStatus,
};

/// How many messages from other boxes may wait.
const QUEUE: usize = 1_024;
/// How long a box that was asked to own the fleet may take before it answers. It takes some 100 ms.
const TAKE_OVER_LIMIT: Duration = Duration::from_millis(800);

/// A message from another box. The server's threads may be others than the one of the shared state.
enum PeerMessage {
    Call(CallRequest, oneshot::Sender<CallAnswer>),
    /// A box asked how this one stands, and was answered.
    Pinged(PingRequest),
    FetchConfig(oneshot::Sender<Config>),
    OfferConfig(Config),
    ReachStore(oneshot::Sender<ReachStoreAnswer>),
    TakeOver(TakeOverRequest, oneshot::Sender<TakeOverAnswer>),
}

/// Answers other boxes until the process ends, on a thread of its own: see [`BoxStatus`].
pub(in crate::fleet) async fn serve<P: Platform>(shared: Rc<Shared<P>>) {
    let (sender, mut messages) = mpsc::channel(QUEUE);
    let address = shared.settings.listen.peers;
    let idle_check = shared.settings.limits.peer_idle_check;
    let server = Server::builder()
        .http2_keepalive_interval(Some(idle_check))
        .http2_keepalive_timeout(Some(idle_check))
        .add_service(JobsServer::new(Handler { sender, status: shared.status.clone() }))
        .serve(address);
    let answered = thread::Builder::new().name("peers".to_owned()).spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        let served = runtime.map(|runtime| runtime.block_on(server));
        if !matches!(served, Ok(Ok(()))) {
            log::error!("peer: can't answer on {address}: {served:?}");
        }
    });
    if let Err(error) = answered {
        log::error!("peer: can't answer on {address}: {error}");
    }
    while let Some(message) = messages.recv().await {
        take(&shared, message);
    }
}

/// Does what a message asks for; what takes time goes on beside the next messages.
fn take<P: Platform>(shared: &Rc<Shared<P>>, message: PeerMessage) {
    match message {
        PeerMessage::Call(request, reply) => {
            task::spawn_local(answer_call(Rc::clone(shared), request, reply));
        }
        PeerMessage::Pinged(request) => {
            shared.note_told_owner(request.epoch, &request.owner_address);
            note_candidate(shared, &request);
        }
        PeerMessage::FetchConfig(reply) => {
            let _ = reply.send(encode_config(shared));
        }
        PeerMessage::OfferConfig(config) => take_config(shared, &config),
        PeerMessage::ReachStore(reply) => {
            task::spawn_local(reach_store(Rc::clone(shared), reply));
        }
        PeerMessage::TakeOver(request, reply) => {
            task::spawn_local(take_over(Rc::clone(shared), request.epoch, reply));
        }
    }
}

/// Does what a caller of another box asks for, if this one owns the fleet.
async fn answer_call<P: Platform>(
    shared: Rc<Shared<P>>,
    request: CallRequest,
    reply: oneshot::Sender<CallAnswer>,
) {
    let owner = shared.local_owner.borrow().clone();
    let answer = match (owner, decode_call(request)) {
        (Some(owner), Some(call)) => calls::ask_local(owner, call, CALL_LIMIT).await,
        (None, _) => Answer::NotOwner,
        (_, None) => Answer::NotRun,
    };
    let outcome = encode_answer(answer).into();
    let view = shared.owner();
    let owner_address = view.address_text();
    let _ = reply.send(CallAnswer { outcome, epoch: view.epoch, owner_address });
}

/// Asks the store for the smallest thing there is.
async fn reach_store<P: Platform>(shared: Rc<Shared<P>>, reply: oneshot::Sender<ReachStoreAnswer>) {
    let read = rows::read_owner(&shared).await;
    let _ = reply.send(ReachStoreAnswer { reached: read.is_ok() });
}

/// Lets this box follow an owner that has stopped, and tells who owns the fleet then.
async fn take_over<P: Platform>(
    shared: Rc<Shared<P>>,
    epoch: u64,
    reply: oneshot::Sender<TakeOverAnswer>,
) {
    log::info!(epoch = epoch; "owner: asked to follow an owner that has stopped");
    shared.asked_to_follow.set(epoch);
    shared.follow_asked.notify_one();
    let followed = async {
        while shared.owner().epoch <= epoch {
            shared.owner_changed.notified().await;
        }
    };
    let _ = time::timeout(TAKE_OVER_LIMIT, followed).await;
    let view = shared.owner();
    let owner_address = view.address_text();
    let _ = reply.send(TakeOverAnswer { epoch: view.epoch, owner_address });
}

/// Takes note of a box that could own the fleet after this one.
fn note_candidate<P: Platform>(shared: &Shared<P>, request: &PingRequest) {
    let Ok(address) = request.address.parse::<SocketAddr>() else { return };
    let mut candidates = shared.candidates.borrow_mut();
    if request.stopping {
        return candidates.remove(address);
    }
    let now = shared.clock.now();
    let started_at = now - Duration::from_millis(request.up_ms);
    let strength = BoxStrength(request.strength_workers);
    candidates.note(address, Candidate { strength, started_at, heard_at: now });
}

/// Hands each message to the thread of the shared state.
struct Handler {
    sender: mpsc::Sender<PeerMessage>,
    status: BoxStatus,
}

impl Handler {
    async fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> PeerMessage,
    ) -> Result<Response<T>, Status> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(message(reply)).await.map_err(|_| stopping())?;
        answer.await.map(Response::new).map_err(|_| stopping())
    }
}

#[async_trait]
impl Jobs for Handler {
    async fn call(&self, request: Request<CallRequest>) -> Result<Response<CallAnswer>, Status> {
        self.ask(|reply| PeerMessage::Call(request.into_inner(), reply)).await
    }

    async fn ping(&self, request: Request<PingRequest>) -> Result<Response<PingAnswer>, Status> {
        // What the asker says of itself may wait, and may be left out when too much waits.
        if self.sender.try_send(PeerMessage::Pinged(request.into_inner())).is_err() {
            log::debug!("peer: too much waits, what a box said of itself is left out");
        }
        Ok(Response::new(self.status.answer(Instant::now())))
    }

    async fn fetch_config(
        &self,
        _: Request<FetchConfigRequest>,
    ) -> Result<Response<Config>, Status> {
        self.ask(PeerMessage::FetchConfig).await
    }

    async fn offer_config(
        &self,
        request: Request<Config>,
    ) -> Result<Response<OfferConfigAnswer>, Status> {
        let message = PeerMessage::OfferConfig(request.into_inner());
        let sent = self.sender.send(message).await;
        sent.map_err(|_| stopping())?;
        Ok(Response::new(OfferConfigAnswer {}))
    }

    async fn reach_store(
        &self,
        _: Request<ReachStoreRequest>,
    ) -> Result<Response<ReachStoreAnswer>, Status> {
        self.ask(PeerMessage::ReachStore).await
    }

    async fn take_over(
        &self,
        request: Request<TakeOverRequest>,
    ) -> Result<Response<TakeOverAnswer>, Status> {
        self.ask(|reply| PeerMessage::TakeOver(request.into_inner(), reply)).await
    }
}

/// What is answered when nobody takes messages any more.
fn stopping() -> Status {
    Status::unavailable("the box is stopping")
}
