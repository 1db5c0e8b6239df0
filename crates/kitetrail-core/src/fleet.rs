//! What the box list says of workers and entry boxes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{BoxId, Resources, ShardId, WorkerId, ZoneId};

/// The state of a box as the box list gives it, possibly late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// The box is up.
    Live,
    /// The box is up and will go away; it takes no new work.
    Leaving,
    /// The box is gone.
    Dead,
}

/// A worker in the box list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// The worker's name.
    pub id: WorkerId,
    /// Where its control interface listens.
    pub control: SocketAddr,
    /// Where its endpoint answers requests.
    pub endpoint: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The number of its rack within the zone.
    pub rack: u16,
    /// What it has.
    pub capacity: Resources,
    /// Whether it is up.
    pub state: Liveness,
}

impl WorkerInfo {
    /// The shard the worker belongs to.
    ///
    /// It depends on the worker's rack alone, so every daemon agrees on it.
    pub fn shard(&self, racks_per_shard: u16) -> ShardId {
        ShardId { zone: self.zone.clone(), index: self.rack / racks_per_shard.max(1) }
    }
}

/// One of kitetrail's own boxes in the box list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxInfo {
    /// The box's name.
    pub id: BoxId,
    /// Where its daemon answers its peers.
    pub peer: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it is up.
    pub state: Liveness,
}

/// The whole box list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The workers, by name.
    pub workers: Vec<WorkerInfo>,
    /// Kitetrail's own boxes, by name.
    pub boxes: Vec<BoxInfo>,
}
