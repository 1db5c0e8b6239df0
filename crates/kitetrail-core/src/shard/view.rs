//! A shard as status pages show it.

use serde::Serialize;

use crate::{Epoch, ShardId};

/// A summary of a shard for status pages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ShardView {
    /// The shard.
    pub shard: ShardId,
    /// Whether this box owns it.
    pub owned: bool,
    /// The reign, as far as this box knows.
    pub epoch: Epoch,
    /// Its tasks that wait.
    pub queued: usize,
    /// Its tasks that are placed.
    pub placed: usize,
    /// Whether the table is silent.
    pub detached: bool,
}
