//! What boxes say to each other.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use kitetrail_core::{fleet_config::FleetConfig, jobs::JobState};
use kitetrail_proto::jobs::{
    CallAnswer, CallRequest, Cancel, Config, FetchConfigRequest, OfferConfigAnswer, PingAnswer,
    PingRequest, State, Submit,
    call_answer::Outcome,
    call_request,
    jobs_client::JobsClient,
    jobs_server::{Jobs, JobsServer},
};
use tokio::sync::{mpsc, oneshot};
use tonic::{
    Request, Response, Status,
    transport::{Channel, Endpoint, Server},
};

use super::{
    Platform,
    calls::{self, Answer, Call},
    shared::{OwnerView, Shared},
};

/// How long a connection to a box may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the owner may take over a call from another box. Callers have given up by then.
const CALL_LIMIT: Duration = Duration::from_millis(2_000);
/// How many messages from other boxes may wait.
const QUEUE: usize = 1_024;

/// Connections to other boxes, made when first needed.
#[derive(Debug, Default)]
pub(super) struct PeerClients {
    channels: RefCell<HashMap<SocketAddr, Channel>>,
}

impl PeerClients {
    /// Brings a caller's request to the owner.
    pub(super) async fn call(&self, peer: SocketAddr, call: &Call, within: Duration) -> Answer {
        let (Some(request), Ok(mut client)) = (call_request(call), self.client(peer)) else {
            return Answer::NotRun;
        };
        match tokio::time::timeout(within, client.call(request)).await {
            Ok(Ok(answer)) => decode_answer(answer.into_inner().outcome()),
            Ok(Err(status)) => {
                log::debug!(peer = peer.to_string(); "peer: a call failed: {status}");
                Answer::InDoubt
            }
            Err(_) => Answer::InDoubt,
        }
    }

    /// Asks a box how it stands.
    pub(super) async fn ping(
        &self,
        peer: SocketAddr,
        request: PingRequest,
        within: Duration,
    ) -> Result<PingAnswer, Status> {
        let mut client = self.client(peer)?;
        match tokio::time::timeout(within, client.ping(request)).await {
            Ok(answer) => answer.map(Response::into_inner),
            Err(_) => Err(Status::deadline_exceeded("nothing came in time")),
        }
    }

    /// Asks a box for its configuration.
    pub(super) async fn fetch_config(&self, peer: SocketAddr) -> Result<Config, Status> {
        self.client(peer)?.fetch_config(FetchConfigRequest {}).await.map(Response::into_inner)
    }

    /// Tells a box a configuration.
    pub(super) async fn offer_config(
        &self,
        peer: SocketAddr,
        config: Config,
    ) -> Result<(), Status> {
        self.client(peer)?.offer_config(config).await.map(|_| ())
    }

    fn client(&self, peer: SocketAddr) -> Result<JobsClient<Channel>, Status> {
        let mut channels = self.channels.borrow_mut();
        if let Some(channel) = channels.get(&peer) {
            return Ok(JobsClient::new(channel.clone()));
        }
        let endpoint = Endpoint::from_shared(format!("http://{peer}"))
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_LIMIT);
        let channel = endpoint.tcp_nodelay(true).connect_lazy();
        channels.insert(peer, channel.clone());
        Ok(JobsClient::new(channel))
    }
}

/// A message from another box. The server's threads may be others than the one of the shared state.
enum PeerMessage {
    Call(CallRequest, oneshot::Sender<CallAnswer>),
    Ping(PingRequest, oneshot::Sender<PingAnswer>),
    FetchConfig(oneshot::Sender<Config>),
    OfferConfig(Config),
}

/// Answers other boxes until the process ends.
pub(super) async fn serve<P: Platform>(shared: Rc<Shared<P>>) {
    let (sender, mut messages) = mpsc::channel(QUEUE);
    let address = shared.settings.listen.peers;
    let server = Server::builder().add_service(JobsServer::new(Handler { sender })).serve(address);
    tokio::task::spawn_local(async move {
        if let Err(error) = server.await {
            log::error!("peer: can't answer on {address}: {error}");
        }
    });
    while let Some(message) = messages.recv().await {
        match message {
            PeerMessage::Call(request, reply) => {
                tokio::task::spawn_local(answer_call(Rc::clone(&shared), request, reply));
            }
            PeerMessage::Ping(request, reply) => {
                let _ = reply.send(ping_answer(&shared, &request));
            }
            PeerMessage::FetchConfig(reply) => {
                let _ = reply.send(encode_config(&shared));
            }
            PeerMessage::OfferConfig(config) => take_config(&shared, &config),
        }
    }
}

/// The configuration in force, for another box.
pub(super) fn encode_config<P: Platform>(shared: &Shared<P>) -> Config {
    let config = shared.config().map(|config| serde_json::to_vec(&*config));
    match config.transpose() {
        Ok(config_json) => Config { config_json: config_json.unwrap_or_default() },
        Err(error) => {
            log::error!("config: can't be encoded: {error}");
            Config::default()
        }
    }
}

/// Takes a configuration from another box.
pub(super) fn take_config<P: Platform>(shared: &Shared<P>, config: &Config) {
    if config.config_json.is_empty() {
        return;
    }
    match serde_json::from_slice::<FleetConfig>(&config.config_json) {
        Ok(config) => shared.offer_config(config, "peer"),
        Err(error) => log::warn!("config: a peer's can't be read: {error}"),
    }
}

async fn answer_call<P: Platform>(
    shared: Rc<Shared<P>>,
    request: CallRequest,
    reply: oneshot::Sender<CallAnswer>,
) {
    let owner = shared.local_owner.borrow().clone();
    let answer = match (owner, decode_call(request)) {
        (Some((_, owner)), Some(call)) => calls::ask_local(owner, call, CALL_LIMIT).await,
        (None, _) => Answer::NotOwner,
        (_, None) => Answer::NotRun,
    };
    let outcome = encode_answer(answer).into();
    let _ = reply.send(CallAnswer { outcome });
}

fn ping_answer<P: Platform>(shared: &Shared<P>, request: &PingRequest) -> PingAnswer {
    let told = OwnerView { epoch: request.epoch, address: request.owner_address.parse().ok() };
    if told.epoch > shared.owner().epoch && told.address.is_some() {
        shared.offer_owner(told, "peer");
    }
    let owner = shared.owner();
    let owns_epoch = shared.claimed_epoch.get();
    PingAnswer {
        incarnation: shared.incarnation,
        owns_epoch,
        epoch: owner.epoch,
        owner_address: owner.address.map(|address| address.to_string()).unwrap_or_default(),
        store_silent_ms: shared.store_silent_ms(),
        config_version: shared.config_version(),
        pending: match owns_epoch {
            0 => HashMap::new(),
            _ => shared.pending.borrow().clone().into_iter().collect(),
        },
    }
}

/// Hands each message to the thread of the shared state.
struct Handler {
    sender: mpsc::Sender<PeerMessage>,
}

impl Handler {
    async fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> PeerMessage,
    ) -> Result<Response<T>, Status> {
        let stopping = || Status::unavailable("the box is stopping");
        let (reply, answer) = oneshot::channel();
        self.sender.send(message(reply)).await.map_err(|_| stopping())?;
        answer.await.map(Response::new).map_err(|_| stopping())
    }
}

#[tonic::async_trait]
impl Jobs for Handler {
    async fn call(&self, request: Request<CallRequest>) -> Result<Response<CallAnswer>, Status> {
        self.ask(|reply| PeerMessage::Call(request.into_inner(), reply)).await
    }

    async fn ping(&self, request: Request<PingRequest>) -> Result<Response<PingAnswer>, Status> {
        self.ask(|reply| PeerMessage::Ping(request.into_inner(), reply)).await
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
        sent.map_err(|_| Status::unavailable("the box is stopping"))?;
        Ok(Response::new(OfferConfigAnswer {}))
    }
}

fn call_request(call: &Call) -> Option<CallRequest> {
    let call = match call {
        Call::Submit { job, queue, spec } => call_request::Call::Submit(Submit {
            job: job.to_string(),
            queue_json: encode(queue)?,
            spec_json: encode(&**spec)?,
        }),
        Call::Cancel { job } => call_request::Call::Cancel(Cancel { job: job.to_string() }),
        Call::State { job } => call_request::Call::State(State { job: job.to_string() }),
    };
    Some(CallRequest { call: Some(call) })
}

fn encode(value: &impl serde::Serialize) -> Option<Vec<u8>> {
    let encoded = serde_json::to_vec(value);
    encoded.inspect_err(|error| log::error!("peer: a call can't be encoded: {error}")).ok()
}

fn decode_call(request: CallRequest) -> Option<Call> {
    let decoded = match request.call? {
        call_request::Call::Submit(submit) => decode_submit(&submit),
        call_request::Call::Cancel(cancel) => {
            cancel.job.parse().map(|job| Call::Cancel { job }).map_err(|error| error.to_string())
        }
        call_request::Call::State(state) => {
            state.job.parse().map(|job| Call::State { job }).map_err(|error| error.to_string())
        }
    };
    decoded.inspect_err(|error| log::warn!("peer: a call can't be read: {error}")).ok()
}

fn decode_submit(submit: &Submit) -> Result<Call, String> {
    let job = submit.job.parse().map_err(|error| format!("{error}"))?;
    let queue = serde_json::from_slice(&submit.queue_json).map_err(|error| error.to_string())?;
    let spec = serde_json::from_slice(&submit.spec_json).map_err(|error| error.to_string())?;
    Ok(Call::Submit { job, queue, spec: Rc::new(spec) })
}

fn encode_answer(answer: Answer) -> Outcome {
    match answer {
        Answer::Accepted => Outcome::Accepted,
        Answer::Cancelled => Outcome::Cancelled,
        Answer::UnknownJob => Outcome::UnknownJob,
        Answer::State(JobState::Queued) => Outcome::Queued,
        Answer::State(JobState::Running) => Outcome::Running,
        Answer::State(JobState::Completed) => Outcome::Completed,
        Answer::State(JobState::Failed) => Outcome::Failed,
        Answer::State(JobState::Cancelled) => Outcome::JobCancelled,
        Answer::Refused => Outcome::Refused,
        Answer::NotOwner | Answer::NotRun => Outcome::NotOwner,
        Answer::InDoubt => Outcome::InDoubt,
    }
}

fn decode_answer(outcome: Outcome) -> Answer {
    match outcome {
        Outcome::Accepted => Answer::Accepted,
        Outcome::Cancelled => Answer::Cancelled,
        Outcome::UnknownJob => Answer::UnknownJob,
        Outcome::Queued => Answer::State(JobState::Queued),
        Outcome::Running => Answer::State(JobState::Running),
        Outcome::Completed => Answer::State(JobState::Completed),
        Outcome::Failed => Answer::State(JobState::Failed),
        Outcome::JobCancelled => Answer::State(JobState::Cancelled),
        Outcome::Refused => Answer::Refused,
        Outcome::NotOwner => Answer::NotOwner,
        Outcome::InDoubt | Outcome::Unspecified => Answer::InDoubt,
    }
}
