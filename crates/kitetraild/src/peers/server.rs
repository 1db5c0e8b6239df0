//! Answers other daemons.

use std::net::SocketAddr;

use kitetrail_proto::peer::{
    Ack, EndpointSet, FetchRequest, Knowledge, Revision, View, WakeRequest,
    peer_server::{Peer, PeerServer},
};
use tokio::sync::{mpsc, oneshot};
use tonic::{Request, Response, Status, transport::Server};

use crate::control::{Message, PeerMessage};

/// Hands each message to the control loop and answers with what it says.
struct Handler {
    control: mpsc::Sender<Message>,
}

/// Answers other daemons until the process ends.
pub async fn serve(
    listen: SocketAddr,
    control: mpsc::Sender<Message>,
) -> Result<(), tonic::transport::Error> {
    Server::builder().add_service(PeerServer::new(Handler { control })).serve(listen).await
}

impl Handler {
    async fn tell(&self, message: PeerMessage) -> Result<(), Status> {
        let sent = self.control.send(Message::Peer(message)).await;
        sent.map_err(|_| Status::unavailable("the daemon is stopping"))
    }

    async fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> PeerMessage,
    ) -> Result<Response<T>, Status> {
        let (reply, answer) = oneshot::channel();
        self.tell(message(reply)).await?;
        let answer = answer.await.map_err(|_| Status::unavailable("the daemon is stopping"))?;
        Ok(Response::new(answer))
    }
}

#[tonic::async_trait]
impl Peer for Handler {
    async fn exchange(&self, request: Request<View>) -> Result<Response<View>, Status> {
        self.ask(|reply| PeerMessage::Exchange(request.into_inner(), reply)).await
    }

    async fn publish(&self, request: Request<EndpointSet>) -> Result<Response<Ack>, Status> {
        self.tell(PeerMessage::Publish(request.into_inner())).await?;
        Ok(Response::new(Ack {}))
    }

    async fn wake(&self, request: Request<WakeRequest>) -> Result<Response<Ack>, Status> {
        self.tell(PeerMessage::Wake(request.into_inner().shard)).await?;
        Ok(Response::new(Ack {}))
    }

    async fn announce(&self, request: Request<Revision>) -> Result<Response<Ack>, Status> {
        self.tell(PeerMessage::Announce(request.into_inner())).await?;
        Ok(Response::new(Ack {}))
    }

    async fn fetch(&self, _: Request<FetchRequest>) -> Result<Response<Knowledge>, Status> {
        self.ask(PeerMessage::Fetch).await
    }
}
