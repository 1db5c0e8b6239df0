//! Connections to other boxes, replaced once they went silent.

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

use super::CALL_LIMIT;

/// How long a connection to a box may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// What connections to other boxes are counted as.
const SERVICE: &str = "box";

/// A connection to another box.
#[derive(Debug)]
pub(super) struct PeerChannel {
    peer: SocketAddr,
    channel: Channel,
    /// When it brought something, or was made.
    heard_at: Cell<Instant>,
    replaced: Notify,
}

impl PeerChannel {
    fn open(peer: SocketAddr) -> Result<Self, Status> {
        let endpoint = Endpoint::from_shared(format!("http://{peer}"))
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_LIMIT);
        let channel = endpoint.tcp_nodelay(true).connect_lazy();
        let heard_at = Cell::new(Instant::now());
        Ok(Self { peer, channel, heard_at, replaced: Notify::new() })
    }

    /// A client that speaks over it.
    pub(super) fn client(&self) -> JobsClient<Channel> {
        JobsClient::new(self.channel.clone())
    }

    /// Takes note that something came over it.
    pub(super) fn note_heard(&self) {
        self.heard_at.set(Instant::now());
    }

    /// Waits until it is taken for silent, from now on.
    pub(super) fn replaced(&self) -> Notified<'_> {
        self.replaced.notified()
    }
}

/// Connections to other boxes, made when first needed.
#[derive(Debug)]
pub(super) struct PeerChannels {
    /// A connection that brought nothing for so long is made anew before it is used.
    trusted_for: Duration,
    silences: SilenceCounts,
    channels: RefCell<HashMap<SocketAddr, Rc<PeerChannel>>>,
}

impl PeerChannels {
    pub(super) fn new(trusted_for: Duration, silences: SilenceCounts) -> Self {
        Self { trusted_for, silences, channels: RefCell::default() }
    }

    /// The connection to a box.
    pub(super) fn to(&self, peer: SocketAddr) -> Result<Rc<PeerChannel>, Status> {
        let mut channels = self.channels.borrow_mut();
        let trusted =
            |channel: &&Rc<PeerChannel>| channel.heard_at.get().elapsed() <= self.trusted_for;
        if let Some(channel) = channels.get(&peer).filter(trusted) {
            return Ok(Rc::clone(channel));
        }
        let channel = Rc::new(PeerChannel::open(peer)?);
        channels.insert(peer, Rc::clone(&channel));
        Ok(channel)
    }

    /// Takes a connection for silent, on which nothing came for a time: later calls go on a new one,
    /// and those that wait on it are told.
    pub(super) fn distrust(&self, silent: &Rc<PeerChannel>, after: Duration) {
        let mut channels = self.channels.borrow_mut();
        if !channels.get(&silent.peer).is_some_and(|present| Rc::ptr_eq(present, silent)) {
            return;
        }
        channels.remove(&silent.peer);
        silent.replaced.notify_waiters();
        self.silences.note(SERVICE);
        log::info!(
            service = SERVICE, host = silent.peer.to_string(), after_ms = after.as_millis() as u64;
            "connections: silent, later calls go on new ones"
        );
    }
}

#[cfg(test)]
mod tests;
