//! Defines the rows that kitetrail stores in the platform's table service, and transactions on them.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::{
    OpId, ShardId, SpecName, TaskId, Version,
    audit::AuditEntry,
    calls::CallRow,
    config::Revision,
    shard::LeaseRow,
    task::{InboxItem, SpecRow, TaskRow},
};

/// The key of a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowKey(String);

impl RowKey {
    /// Returns the key of a shard's lease.
    pub fn lease(shard: &ShardId) -> Self {
        Self(format!("lease/{shard}"))
    }

    /// Returns the key of a task.
    pub fn task(shard: &ShardId, task: &TaskId) -> Self {
        Self(format!("task/{shard}/{task}"))
    }

    /// Returns the key of a message to a shard's owner, which contains the id of the write that added
    /// the message.
    pub fn inbox(shard: &ShardId, op: &OpId) -> Self {
        Self(format!("inbox/{shard}/{op}"))
    }

    /// Returns the key of a service, job or watcher.
    pub fn spec(name: &SpecName) -> Self {
        Self(format!("spec/{name}"))
    }

    /// Returns the key of the row with the number of the configuration revision in force.
    pub fn config_head() -> Self {
        Self("config/head".to_owned())
    }

    /// Returns the key of a configuration revision.
    pub fn config_revision(number: u64) -> Self {
        Self(format!("config/revision/{number:012}"))
    }

    /// Returns the key of an audit entry. Keys sort by time.
    pub fn audit(at_unix_ms: u64, change: &str) -> Self {
        Self(format!("audit/{at_unix_ms:015}/{change}"))
    }

    /// Returns the key of a call that must run at most once.
    pub fn call(service: &SpecName, call: &str) -> Self {
        Self(format!("call/{service}/{call}"))
    }

    /// Returns the key for a name received from outside the process.
    pub fn from_name(name: &str) -> Self {
        Self(name.to_owned())
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for RowKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The prefix shared by the keys of a range of rows.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyPrefix(String);

impl KeyPrefix {
    /// Returns the prefix of all tasks of a shard.
    pub fn tasks(shard: &ShardId) -> Self {
        Self(format!("task/{shard}/"))
    }

    /// Returns the prefix of the tasks of one spec in a shard.
    pub fn spec_tasks(shard: &ShardId, spec: &SpecName) -> Self {
        Self(format!("task/{shard}/{spec}:"))
    }

    /// Returns the prefix of the messages to a shard's owner.
    pub fn inbox(shard: &ShardId) -> Self {
        Self(format!("inbox/{shard}/"))
    }

    /// Returns the prefix of all specs.
    pub fn specs() -> Self {
        Self("spec/".to_owned())
    }

    /// Returns the prefix of all shard leases.
    pub fn leases() -> Self {
        Self("lease/".to_owned())
    }

    /// Returns the prefix of all audit entries, which sort from oldest to newest.
    pub fn audit() -> Self {
        Self("audit/".to_owned())
    }

    /// Returns the prefix of all configuration revisions.
    pub fn config_revisions() -> Self {
        Self("config/revision/".to_owned())
    }

    /// Returns the prefix as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The contents of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum Record {
    /// The lease of a shard.
    Lease(LeaseRow),
    /// A task.
    Task(TaskRow),
    /// A message to a shard's owner.
    Inbox {
        /// The message.
        item: InboxItem,
    },
    /// A service, job or watcher.
    Spec(SpecRow),
    /// The number of the configuration revision in force.
    ConfigHead {
        /// The number of the revision.
        revision: u64,
    },
    /// A configuration revision.
    ConfigRevision(Revision),
    /// An audit entry.
    Audit(AuditEntry),
    /// A call that must run at most once.
    Call(CallRow),
}

/// A row as read from the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key of the row.
    pub key: RowKey,
    /// The version of the row when it was read.
    pub version: Version,
    /// The write that produced this version.
    pub op: OpId,
    /// The contents of the row.
    pub record: Record,
}

/// A precondition on the version of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key of the row.
    pub key: RowKey,
    /// The version that the row must have. Zero requires that it is absent.
    pub version: Version,
}

/// A change to one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key of the row.
    pub key: RowKey,
    /// The new contents of the row, or `None` to delete it.
    pub record: Option<Record>,
}

/// A set of writes that are applied atomically if every condition holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The id of the transaction, stored in every row that it writes.
    pub op: OpId,
    /// The conditions that must hold.
    pub conditions: Vec<Condition>,
    /// The writes to apply.
    pub writes: Vec<Write>,
}

/// The known outcome of a transaction that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommitOutcome {
    /// The transaction took effect and gave its rows this version.
    Committed(Version),
    /// A condition did not hold when the table answered.
    Conflict,
    /// No answer was received: the transaction may have taken effect, or may still do so.
    Unknown,
}
