//! The control loop, which makes all decisions except routing.

mod operations;
mod placer;
mod requests;
mod shard_io;
mod state;

pub use requests::{Author, NewConfiguration, OperatorError, OperatorRequest};
pub use state::{Control, ControlParts};

use kitetrail_core::{ShardId, fleet::Fleet, shard::Event};
use kitetrail_proto::peer::{EndpointSet, Knowledge, Revision, View};
use tokio::sync::oneshot;

/// A message to the control loop.
#[derive(Debug)]
pub enum ControlMessage {
    /// An event for a shard.
    Shard(ShardId, Event),
    /// The box list was read.
    Fleet(Fleet),
    /// The configuration was read from the table; `None` if there is none yet.
    Configuration(Option<kitetrail_core::config::Revision>),
    /// A peer sent a message.
    Peer(PeerMessage),
    /// A peer answered a heartbeat exchange with its view.
    PeerView(std::net::SocketAddr, View),
    /// A peer answered a fetch with its knowledge.
    PeerKnowledge(Knowledge),
    /// An operator sent a request.
    Operator(OperatorRequest),
    /// The daemon shuts down gracefully.
    Drain,
}

/// A message from a peer.
#[derive(Debug)]
pub enum PeerMessage {
    /// Exchanges heartbeats.
    Exchange(View, oneshot::Sender<View>),
    /// Publishes the endpoints of a shard's services.
    Publish(EndpointSet),
    /// Reports that a shard's inbox holds new items.
    Wake(String),
    /// Announces a configuration revision.
    Announce(Revision),
    /// Asks for everything that a new box needs to know.
    Fetch(oneshot::Sender<Knowledge>),
}
