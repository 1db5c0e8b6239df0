//! Speaks to other daemons.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

use kitetrail_proto::peer::{
    EndpointSet, FetchRequest, Knowledge, Revision, View, WakeRequest, peer_client::PeerClient,
};
use tonic::{
    Status,
    transport::{Channel, Endpoint},
};

/// How long a peer may take to answer.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Connections to other daemons, made when first needed.
#[derive(Debug, Default)]
pub struct PeerClients {
    channels: RefCell<HashMap<SocketAddr, Channel>>,
}

impl PeerClients {
    /// Swaps heartbeats with a peer.
    pub async fn exchange(&self, peer: SocketAddr, view: View) -> Result<View, Status> {
        self.client(peer)?.exchange(view).await.map(|response| response.into_inner())
    }

    /// Tells a peer where a shard's services answer.
    pub async fn publish(&self, peer: SocketAddr, set: EndpointSet) -> Result<(), Status> {
        self.client(peer)?.publish(set).await.map(|_| ())
    }

    /// Tells a peer that a shard's inbox holds something.
    pub async fn wake(&self, peer: SocketAddr, shard: String) -> Result<(), Status> {
        self.client(peer)?.wake(WakeRequest { shard }).await.map(|_| ())
    }

    /// Tells a peer a configuration revision.
    pub async fn announce(&self, peer: SocketAddr, revision: Revision) -> Result<(), Status> {
        self.client(peer)?.announce(revision).await.map(|_| ())
    }

    /// Asks a peer for all that a new box needs to know.
    pub async fn fetch(&self, peer: SocketAddr) -> Result<Knowledge, Status> {
        self.client(peer)?.fetch(FetchRequest {}).await.map(|response| response.into_inner())
    }

    fn client(&self, peer: SocketAddr) -> Result<PeerClient<Channel>, Status> {
        let mut channels = self.channels.borrow_mut();
        if let Some(channel) = channels.get(&peer) {
            return Ok(PeerClient::new(channel.clone()));
        }
        let endpoint = Endpoint::from_shared(format!("http://{peer}"))
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let channel = endpoint.timeout(TIMEOUT).connect_timeout(TIMEOUT).connect_lazy();
        channels.insert(peer, channel.clone());
        Ok(PeerClient::new(channel))
    }
}
