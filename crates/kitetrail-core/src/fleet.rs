//! Defines the contents of the box list: workers and kitetrail's own boxes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{BoxId, Resources, ShardId, WorkerId, ZoneId};

/// The state of a box according to the box list, possibly outdated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// The box is up.
    Live,
    /// The box is up but about to leave; it takes no new work.
    Leaving,
    /// The box is gone.
    Dead,
}

/// A worker in the box list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// The worker's name.
    pub id: WorkerId,
    /// The address of its control interface.
    pub control: SocketAddr,
    /// The address at which its endpoint serves requests.
    pub endpoint: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The number of its rack within the zone.
    pub rack: u16,
    /// The resources of the worker.
    pub capacity: Resources,
    /// The state of the worker.
    pub state: Liveness,
}

impl WorkerInfo {
    /// Returns the shard to which the worker belongs.
    ///
    /// The shard depends only on the worker's rack, so all daemons agree on it.
    pub fn shard(&self, racks_per_shard: u16) -> ShardId {
        ShardId { zone: self.zone.clone(), index: self.rack / racks_per_shard.max(1) }
    }
}

/// One of kitetrail's own boxes in the box list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxInfo {
    /// The box's name.
    pub id: BoxId,
    /// The address at which its daemon serves its peers.
    pub peer: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The state of the box.
    pub state: Liveness,
}

/// The whole box list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The workers.
    pub workers: Vec<WorkerInfo>,
    /// The boxes of kitetrail itself.
    pub boxes: Vec<BoxInfo>,
}
