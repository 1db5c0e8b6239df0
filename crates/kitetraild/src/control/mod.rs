//! The control loop: the one place where all but routing is decided.

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

/// What the control loop is told.
#[derive(Debug)]
pub enum Message {
    /// Something happened to a shard.
    Shard(ShardId, Event),
    /// The box list was read.
    Fleet(Fleet),
    /// The configuration was read from the table; `None` if there is none yet.
    Configuration(Option<kitetrail_core::config::Revision>),
    /// A peer spoke.
    Peer(PeerMessage),
    /// A peer answered a round of heartbeats.
    Heard(std::net::SocketAddr, View),
    /// A peer told all it knows.
    Learned(Knowledge),
    /// An operator asked for something.
    Operator(OperatorRequest),
    /// The daemon is to stop.
    Drain,
}

/// What a peer says.
#[derive(Debug)]
pub enum PeerMessage {
    /// Swap heartbeats.
    Exchange(View, oneshot::Sender<View>),
    /// Where a shard's services answer.
    Publish(EndpointSet),
    /// A shard's inbox holds something.
    Wake(String),
    /// A configuration revision.
    Announce(Revision),
    /// Tell all that a new box needs to know.
    Fetch(oneshot::Sender<Knowledge>),
}
