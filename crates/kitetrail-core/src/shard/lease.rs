//! The durable row that says who owns a shard.

use serde::{Deserialize, Serialize};

use crate::{BoxId, Epoch};

/// Who owns a shard.
///
/// Every transaction of the owner rewrites this row on condition of its version, so
/// a write of an owner that was replaced can't take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The owner, or `None` after a hand-back.
    pub owner: Option<BoxId>,
    /// The reign of the latest owner.
    pub epoch: Epoch,
}
