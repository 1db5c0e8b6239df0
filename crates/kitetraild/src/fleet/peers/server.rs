//! Answers to other boxes.

use std::{collections::HashMap, rc::Rc};

use kitetrail_proto::jobs::{
    CallAnswer, CallRequest, Config, FetchConfigRequest, OfferConfigAnswer, PingAnswer,
    PingRequest,
    jobs_server::{Jobs, JobsServer},
};
use tokio::{
    sync::{mpsc, oneshot},
    task,
};
use tonic::{Request, Response, Status, async_trait, transport::Server};

use super::{
    super::{
        Platform,
        calls::{self, Answer},
        shared::Shared,
    },
    CALL_LIMIT,
    codec::{decode_call, encode_answer, encode_config, take_config},
};

/// How many messages from other boxes may wait.
const QUEUE: usize = 1_024;

/// A message from another box. The server's threads may be others than the one of the shared state.
enum PeerMessage {
    Call(CallRequest, oneshot::Sender<CallAnswer>),
    Ping(PingRequest, oneshot::Sender<PingAnswer>),
    FetchConfig(oneshot::Sender<Config>),
    OfferConfig(Config),
}

/// Answers other boxes until the process ends.
pub(in crate::fleet) async fn serve<P: Platform>(shared: Rc<Shared<P>>) {
    let (sender, mut messages) = mpsc::channel(QUEUE);
    let address = shared.settings.listen.peers;
    let server = Server::builder().add_service(JobsServer::new(Handler { sender })).serve(address);
    task::spawn_local(async move {
        if let Err(error) = server.await {
            log::error!("peer: can't answer on {address}: {error}");
        }
    });
    while let Some(message) = messages.recv().await {
        match message {
            PeerMessage::Call(request, reply) => {
                task::spawn_local(answer_call(Rc::clone(&shared), request, reply));
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
    let _ = reply.send(CallAnswer { outcome });
}

fn ping_answer<P: Platform>(shared: &Shared<P>, request: &PingRequest) -> PingAnswer {
    shared.note_told_owner(request.epoch, &request.owner_address);
    let owner = shared.owner();
    let owns_epoch = shared.claimed_epoch.get();
    PingAnswer {
        incarnation: shared.incarnation,
        owns_epoch,
        epoch: owner.epoch,
        owner_address: owner.address_text(),
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
        sent.map_err(|_| stopping())?;
        Ok(Response::new(OfferConfigAnswer {}))
    }
}

fn stopping() -> Status {
    Status::unavailable("the box is stopping")
}
