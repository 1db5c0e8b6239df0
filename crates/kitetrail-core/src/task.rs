//! What operators ask for, and the durable life of each task.

use std::fmt::{self, Display, Formatter};

use bon::Builder;
use serde::{Deserialize, Serialize};

use crate::{Attempt, Resources, ShardId, SpecName, TaskClass, TaskId, TeamId, WorkerId};

/// What kind of work a spec describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Answers callers and is kept at a number of replicas.
    Service,
    /// Runs to completion.
    Job,
    /// Runs always, in exactly one place.
    Watcher,
}

impl Kind {
    /// Whether a second copy of a running task would break a promise.
    pub fn is_exclusive(self) -> bool {
        match self {
            Kind::Service => false,
            Kind::Job | Kind::Watcher => true,
        }
    }

    /// Whether a task that ended well is started again.
    pub fn runs_forever(self) -> bool {
        match self {
            Kind::Job => false,
            Kind::Service | Kind::Watcher => true,
        }
    }
}

impl Display for Kind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Service => "service",
            Kind::Job => "job",
            Kind::Watcher => "watcher",
        })
    }
}

/// A service, batch job or watcher as an operator states it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Its name, unique among all kinds.
    pub name: SpecName,
    /// What kind of work it is.
    pub kind: Kind,
    /// The team that owns it.
    pub team: TeamId,
    /// The class its tasks belong to.
    pub class: TaskClass,
    /// How many tasks it has: replicas of a service, parts of a job.
    #[builder(default = 1)]
    pub tasks: u32,
    /// What each task takes.
    pub size: Resources,
    /// How long a task is expected to run. Zero if not known.
    #[serde(default)]
    #[builder(default = 0)]
    pub expected_run_ms: u64,
    /// How much it matters. Higher goes first.
    #[serde(default)]
    #[builder(default = 0)]
    pub priority: u8,
}

/// Why a task came to rest for good.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// It ran to its end.
    Done,
    /// It failed on too many sound workers, or crashed too many.
    Failed,
    /// Its operator cancelled it.
    Cancelled,
}

impl Display for Ending {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ending::Done => "done",
            Ending::Failed => "failed",
            Ending::Cancelled => "cancelled",
        })
    }
}

/// Where a task stands in its life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Waits for a worker.
    Queued,
    /// Granted to a worker, which runs it or is about to.
    Placed {
        /// The worker.
        worker: WorkerId,
        /// The worker's run. After a restart of the worker the grant is void.
        boot: u64,
    },
    /// At rest for good.
    Ended(Ending),
}

/// The durable row of a task.
///
/// A row is written only by the owner of its shard. `attempt` names one run: it is
/// raised in the transaction that sends the task back to the queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow {
    /// The task.
    pub id: TaskId,
    /// What its operator asked for.
    pub spec: Spec,
    /// The present run, or the next one while queued.
    pub attempt: Attempt,
    /// Where it stands.
    pub stage: Stage,
    /// The progress saved by the last checkpoint, in milliseconds of work.
    #[serde(default)]
    pub checkpoint_ms: u64,
    /// The workers on which a run failed.
    #[serde(default)]
    pub failed_on: Vec<WorkerId>,
    /// The workers that were lost just as it had started there, one run after the other.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashed_on: Vec<WorkerId>,
    /// Whether its operator cancelled it while it was placed.
    #[serde(default)]
    pub cancelled: bool,
    /// The time of day when it came to rest, in milliseconds since 1970. Zero if it has
    /// not, or if its owner did not know the time.
    #[serde(default)]
    pub ended_unix_ms: u64,
}

impl TaskRow {
    /// The row of a task that was just submitted.
    pub fn queued(spec: &Spec, index: u32) -> Self {
        Self {
            id: TaskId { spec: spec.name.clone(), index },
            spec: spec.clone(),
            attempt: Attempt(1),
            stage: Stage::Queued,
            checkpoint_ms: 0,
            failed_on: Vec::new(),
            crashed_on: Vec::new(),
            cancelled: false,
            ended_unix_ms: 0,
        }
    }

    /// The worker the task is granted to.
    pub fn worker(&self) -> Option<&WorkerId> {
        match &self.stage {
            Stage::Placed { worker, .. } => Some(worker),
            Stage::Queued | Stage::Ended(_) => None,
        }
    }

    /// Whether the task is at rest for good.
    pub fn is_ended(&self) -> bool {
        matches!(self.stage, Stage::Ended(_))
    }
}

/// A message to the owner of a shard, kept in the table until the owner acts on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InboxItem {
    /// Take these tasks.
    Submit {
        /// What they belong to.
        spec: Spec,
        /// The first task's index.
        first: u32,
        /// How many tasks from there.
        count: u32,
    },
    /// Stop all tasks of a spec for good.
    Cancel {
        /// The spec.
        spec: SpecName,
    },
}

/// The durable row of a spec: what was asked and which shards hold its tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpecRow {
    /// What was asked.
    pub spec: Spec,
    /// The shards that hold its tasks.
    pub shards: Vec<ShardId>,
    /// Whether its operator cancelled or deleted it.
    #[serde(default)]
    pub cancelled: bool,
}
