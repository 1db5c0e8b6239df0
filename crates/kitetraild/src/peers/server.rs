//! The server for other daemons.

use std::net::SocketAddr;

use kitetrail_proto::peer::{
    Ack, EndpointSet, FetchRequest, Knowledge, Revision, View, WakeRequest,
    peer_server::{Peer, PeerServer},
};
use tokio::sync::{mpsc, oneshot};
use tonic::{Request, Response, Status, transport::Server};

use crate::control::{ControlMessage, PeerMessage};

/// A service that forwards each message to the control loop and returns the loop's answer.
struct PeerService {
    control: mpsc::Sender<ControlMessage>,
}

/// Serves other daemons until the process ends.
pub async fn serve(
    listen: SocketAddr,
    control: mpsc::Sender<ControlMessage>,
) -> Result<(), tonic::transport::Error> {
    Server::builder().add_service(PeerServer::new(PeerService { control })).serve(listen).await
}

impl PeerService {
    async fn forward(&self, message: PeerMessage) -> Result<(), Status> {
        let sent = self.control.send(ControlMessage::Peer(message)).await;
        sent.map_err(|_| Status::unavailable("the daemon is stopping"))
    }

    async fn forward_and_wait<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> PeerMessage,
    ) -> Result<Response<T>, Status> {
        let (reply, answer) = oneshot::channel();
        self.forward(message(reply)).await?;
        let answer = answer.await.map_err(|_| Status::unavailable("the daemon is stopping"))?;
        Ok(Response::new(answer))
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn exchange(&self, request: Request<View>) -> Result<Response<View>, Status> {
        self.forward_and_wait(|reply| PeerMessage::Exchange(request.into_inner(), reply)).await
    }

    async fn publish(&self, request: Request<EndpointSet>) -> Result<Response<Ack>, Status> {
        self.forward(PeerMessage::Publish(request.into_inner())).await?;
        Ok(Response::new(Ack {}))
    }

    async fn wake(&self, request: Request<WakeRequest>) -> Result<Response<Ack>, Status> {
        self.forward(PeerMessage::Wake(request.into_inner().shard)).await?;
        Ok(Response::new(Ack {}))
    }

    async fn announce(&self, request: Request<Revision>) -> Result<Response<Ack>, Status> {
        self.forward(PeerMessage::Announce(request.into_inner())).await?;
        Ok(Response::new(Ack {}))
    }

    async fn fetch(&self, _: Request<FetchRequest>) -> Result<Response<Knowledge>, Status> {
        self.forward_and_wait(PeerMessage::Fetch).await
    }
}
