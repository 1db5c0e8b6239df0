//! Clients of other daemons.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

use kitetrail_proto::peer::{
    EndpointSet, FetchRequest, Knowledge, Revision, View, WakeRequest, peer_client::PeerClient,
};
use tonic::{
    Status,
    transport::{Channel, Endpoint},
};

/// The timeout of a call to a peer, and of connecting to it.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Connections to other daemons, which are established on first use.
#[derive(Debug, Default)]
pub struct PeerClients {
    channels: RefCell<HashMap<SocketAddr, Channel>>,
}

impl PeerClients {
    /// Exchanges heartbeats with a peer.
    pub async fn exchange(&self, peer: SocketAddr, view: View) -> Result<View, Status> {
        self.client(peer)?.exchange(view).await.map(|response| response.into_inner())
    }

    /// Sends the endpoints of a shard's services to a peer.
    pub async fn publish(&self, peer: SocketAddr, set: EndpointSet) -> Result<(), Status> {
        self.client(peer)?.publish(set).await.map(|_| ())
    }

    /// Notifies a peer that a shard's inbox holds new items.
    pub async fn wake(&self, peer: SocketAddr, shard: String) -> Result<(), Status> {
        self.client(peer)?.wake(WakeRequest { shard }).await.map(|_| ())
    }

    /// Sends a configuration revision to a peer.
    pub async fn announce(&self, peer: SocketAddr, revision: Revision) -> Result<(), Status> {
        self.client(peer)?.announce(revision).await.map(|_| ())
    }

    /// Fetches everything that a new box needs to know from a peer.
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
        let channel = endpoint.timeout(CALL_TIMEOUT).connect_timeout(CALL_TIMEOUT).connect_lazy();
        channels.insert(peer, channel.clone());
        Ok(PeerClient::new(channel))
    }
}
