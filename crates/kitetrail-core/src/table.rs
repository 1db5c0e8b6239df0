//! The rows kitetrail keeps in the platform's table service, and changes to them.

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

/// The name of a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(String);

impl Key {
    /// The row that says who owns a shard.
    pub fn lease(shard: &ShardId) -> Self {
        Self(format!("lease/{shard}"))
    }

    /// The row of a task.
    pub fn task(shard: &ShardId, task: &TaskId) -> Self {
        Self(format!("task/{shard}/{task}"))
    }

    /// The row of a message to a shard's owner, named by the write that put it there.
    pub fn inbox(shard: &ShardId, op: &OpId) -> Self {
        Self(format!("inbox/{shard}/{op}"))
    }

    /// The row of a service, job or watcher.
    pub fn spec(name: &SpecName) -> Self {
        Self(format!("spec/{name}"))
    }

    /// The row that names the configuration revision in force.
    pub fn config_head() -> Self {
        Self("config/head".to_owned())
    }

    /// The row of a configuration revision.
    pub fn config_revision(number: u64) -> Self {
        Self(format!("config/revision/{number:012}"))
    }

    /// The row that records a change. Names sort by time.
    pub fn audit(at_unix_ms: u64, change: &str) -> Self {
        Self(format!("audit/{at_unix_ms:015}/{change}"))
    }

    /// The row of a call that must not run twice.
    pub fn call(service: &SpecName, call: &str) -> Self {
        Self(format!("call/{service}/{call}"))
    }

    /// The row of a name that came from outside.
    pub fn from_name(name: &str) -> Self {
        Self(name.to_owned())
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for Key {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The start shared by the names of a range of rows.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Prefix(String);

impl Prefix {
    /// All tasks of a shard.
    pub fn tasks(shard: &ShardId) -> Self {
        Self(format!("task/{shard}/"))
    }

    /// The tasks of one spec in a shard.
    pub fn tasks_of(shard: &ShardId, spec: &SpecName) -> Self {
        Self(format!("task/{shard}/{spec}:"))
    }

    /// The messages to a shard's owner.
    pub fn inbox(shard: &ShardId) -> Self {
        Self(format!("inbox/{shard}/"))
    }

    /// All specs.
    pub fn specs() -> Self {
        Self("spec/".to_owned())
    }

    /// All shard leases.
    pub fn leases() -> Self {
        Self("lease/".to_owned())
    }

    /// All recorded changes, oldest first.
    pub fn audit() -> Self {
        Self("audit/".to_owned())
    }

    /// All configuration revisions.
    pub fn config_revisions() -> Self {
        Self("config/revision/".to_owned())
    }

    /// The start as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The contents of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum Record {
    /// Who owns a shard.
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
        /// The number.
        revision: u64,
    },
    /// A configuration revision.
    ConfigRevision(Revision),
    /// A recorded change.
    Audit(AuditEntry),
    /// A call that must not run twice.
    Call(CallRow),
}

/// A row as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its name.
    pub key: Key,
    /// Its version at the time of reading.
    pub version: Version,
    /// The write that gave it this version.
    pub op: OpId,
    /// Its contents.
    pub record: Record,
}

/// A demand on a row's version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row.
    pub key: Key,
    /// The version it must have; zero demands that it is absent.
    pub version: Version,
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row.
    pub key: Key,
    /// Its new contents, or `None` to delete it.
    pub record: Option<Record>,
}

/// Changes that happen together, if every condition holds, or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The id of this write, kept in every row it writes.
    pub op: OpId,
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What changes.
    pub writes: Vec<Write>,
}

/// What is known of a transaction that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommitAnswer {
    /// It took effect and gave its rows this version.
    Committed(Version),
    /// A condition did not hold when this answer was made.
    Conflict,
    /// No answer came: it may have taken effect, or may yet.
    Unknown,
}
