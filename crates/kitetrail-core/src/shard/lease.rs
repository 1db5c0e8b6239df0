//! The durable row that records the owner of a shard.

use serde::{Deserialize, Serialize};

use crate::{BoxId, Epoch};

/// The ownership of a shard.
///
/// Every transaction of the owner rewrites this row on condition of its version, so
/// a write of a replaced owner can't take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The owner, or `None` after the owner released the shard.
    pub owner: Option<BoxId>,
    /// The epoch of the latest owner.
    pub epoch: Epoch,
}
