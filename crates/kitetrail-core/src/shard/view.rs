//! The summary of a shard for status pages.

use serde::Serialize;

use crate::{Epoch, ShardId};

/// A summary of a shard for status pages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ShardView {
    /// The shard.
    pub shard: ShardId,
    /// Whether this box owns the shard.
    pub owned: bool,
    /// The epoch, as far as this box knows.
    pub epoch: Epoch,
    /// The number of queued tasks.
    pub queued: usize,
    /// The number of placed tasks.
    pub placed: usize,
    /// Whether the owner cannot reach the table.
    pub detached: bool,
}
