//! Connections to other boxes, which are replaced when they become silent.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_platform::SilenceCounts;
use kitetrail_proto::jobs::jobs_client::JobsClient;
use tokio::sync::{Notify, futures::Notified};
use tonic::{
    Status,
    transport::{Channel, Endpoint},
};

use super::CALL_TIMEOUT;

/// The timeout for opening a connection to a box.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The service name of these connections in metrics and log lines.
const SERVICE: &str = "box";

/// A connection to another box.
#[derive(Debug)]
pub(super) struct PeerChannel {
    peer: SocketAddr,
    channel: Channel,
    /// When the last response was received, or the connection was created.
    last_received_at: Cell<Instant>,
    /// Notified when the connection is discarded.
    discarded: Notify,
}

impl PeerChannel {
    fn open(peer: SocketAddr) -> Result<Self, Status> {
        let endpoint = Endpoint::from_shared(format!("http://{peer}"))
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT);
        let channel = endpoint.tcp_nodelay(true).connect_lazy();
        let last_received_at = Cell::new(Instant::now());
        Ok(Self { peer, channel, last_received_at, discarded: Notify::new() })
    }

    /// Returns a client that uses this connection.
    pub(super) fn client(&self) -> JobsClient<Channel> {
        JobsClient::new(self.channel.clone())
    }

    /// Records that a response was received.
    pub(super) fn record_response(&self) {
        self.last_received_at.set(Instant::now());
    }

    /// Returns a future that completes when the connection is discarded after this call.
    pub(super) fn discarded(&self) -> Notified<'_> {
        self.discarded.notified()
    }
}

/// The connections to other boxes, opened on first use.
#[derive(Debug)]
pub(super) struct PeerChannels {
    /// A connection that received nothing for longer is replaced before its next use.
    max_idle: Duration,
    silences: SilenceCounts,
    channels: RefCell<HashMap<SocketAddr, Rc<PeerChannel>>>,
}

impl PeerChannels {
    pub(super) fn new(max_idle: Duration, silences: SilenceCounts) -> Self {
        Self { max_idle, silences, channels: RefCell::default() }
    }

    /// Returns the connection to a box, and opens one if there is none or if it was idle too long.
    pub(super) fn get_or_open(&self, peer: SocketAddr) -> Result<Rc<PeerChannel>, Status> {
        let mut channels = self.channels.borrow_mut();
        let is_fresh =
            |channel: &&Rc<PeerChannel>| channel.last_received_at.get().elapsed() <= self.max_idle;
        if let Some(channel) = channels.get(&peer).filter(is_fresh) {
            return Ok(Rc::clone(channel));
        }
        let channel = Rc::new(PeerChannel::open(peer)?);
        channels.insert(peer, Rc::clone(&channel));
        Ok(channel)
    }

    /// Discards a connection that received nothing within a timeout.
    ///
    /// Later calls use a new connection, and calls that wait on this one are notified.
    pub(super) fn discard(&self, silent: &Rc<PeerChannel>, timeout: Duration) {
        let mut channels = self.channels.borrow_mut();
        if !channels.get(&silent.peer).is_some_and(|current| Rc::ptr_eq(current, silent)) {
            return;
        }
        channels.remove(&silent.peer);
        silent.discarded.notify_waiters();
        self.silences.note(SERVICE);
        log::info!(
            service = SERVICE, host = silent.peer.to_string(),
            after_ms = timeout.as_millis() as u64;
            "connections: silent, replaced for later calls"
        );
    }
}

#[cfg(test)]
mod tests;
