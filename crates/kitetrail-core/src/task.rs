//! Defines the specs that operators submit, and the durable state of each task.

use std::fmt::{self, Display, Formatter};

use bon::Builder;
use serde::{Deserialize, Serialize};

use crate::{Attempt, Resources, ShardId, SpecName, TaskClass, TaskId, TeamId, WorkerId};

/// The kind of work that a spec describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SpecKind {
    /// Serves callers with a fixed number of replicas.
    Service,
    /// Runs to completion.
    Job,
    /// Runs continuously, in exactly one place.
    Watcher,
}

impl SpecKind {
    /// Returns whether a task must not run in two places at once.
    pub fn is_exclusive(self) -> bool {
        match self {
            SpecKind::Service => false,
            SpecKind::Job | SpecKind::Watcher => true,
        }
    }

    /// Returns whether a task that completed successfully is started again.
    pub fn is_restarted_when_done(self) -> bool {
        match self {
            SpecKind::Job => false,
            SpecKind::Service | SpecKind::Watcher => true,
        }
    }
}

impl Display for SpecKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SpecKind::Service => "service",
            SpecKind::Job => "job",
            SpecKind::Watcher => "watcher",
        })
    }
}

/// A service, batch job or watcher as specified by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// The name of the spec, unique across all kinds.
    pub name: SpecName,
    /// The kind of work.
    pub kind: SpecKind,
    /// The team that owns the spec.
    pub team: TeamId,
    /// The class of its tasks.
    pub class: TaskClass,
    /// The number of its tasks: replicas of a service, or parts of a job.
    #[builder(default = 1)]
    pub tasks: u32,
    /// The resources that each task needs.
    pub size: Resources,
    /// The expected run time of a task, in milliseconds. Zero if unknown.
    #[serde(default)]
    #[builder(default = 0)]
    pub expected_run_ms: u64,
    /// The priority. Higher values are placed first.
    #[serde(default)]
    #[builder(default = 0)]
    pub priority: u8,
}

/// The reason why a task ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskEnding {
    /// The task ran to completion.
    Done,
    /// The task failed on too many healthy workers, or crashed too many workers.
    Failed,
    /// The operator cancelled the task.
    Cancelled,
}

impl Display for TaskEnding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TaskEnding::Done => "done",
            TaskEnding::Failed => "failed",
            TaskEnding::Cancelled => "cancelled",
        })
    }
}

/// The stage of a task in its life cycle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskStage {
    /// The task waits for a worker.
    Queued,
    /// The task is assigned to a worker, which runs it or is about to.
    Placed {
        /// The worker.
        worker: WorkerId,
        /// The boot number of the worker. A restart of the worker voids the assignment.
        boot: u64,
    },
    /// The task ended and will not run again.
    Ended(TaskEnding),
}

/// The durable row of a task.
///
/// Only the owner of its shard writes a row. `attempt` identifies one run: it is
/// incremented in the transaction that returns the task to the queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow {
    /// The task.
    pub id: TaskId,
    /// The spec of the task.
    pub spec: Spec,
    /// The current run, or the next one while the task is queued.
    pub attempt: Attempt,
    /// The stage of the task.
    pub stage: TaskStage,
    /// The progress saved by the last checkpoint, in milliseconds of work.
    #[serde(default)]
    pub checkpoint_ms: u64,
    /// The workers on which a run failed.
    #[serde(default)]
    pub failed_on: Vec<WorkerId>,
    /// The workers that were lost shortly after the task started on them, in consecutive runs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashed_on: Vec<WorkerId>,
    /// Whether the operator cancelled the task while it was placed.
    #[serde(default)]
    pub cancelled: bool,
    /// The time when the task ended, in milliseconds since the Unix epoch. Zero if it has
    /// not ended, or if its owner did not know the time.
    #[serde(default)]
    pub ended_unix_ms: u64,
}

impl TaskRow {
    /// Returns the row of a newly submitted task.
    pub fn queued(spec: &Spec, index: u32) -> Self {
        Self {
            id: TaskId { spec: spec.name.clone(), index },
            spec: spec.clone(),
            attempt: Attempt(1),
            stage: TaskStage::Queued,
            checkpoint_ms: 0,
            failed_on: Vec::new(),
            crashed_on: Vec::new(),
            cancelled: false,
            ended_unix_ms: 0,
        }
    }

    /// Returns the worker to which the task is assigned, if any.
    pub fn worker(&self) -> Option<&WorkerId> {
        match &self.stage {
            TaskStage::Placed { worker, .. } => Some(worker),
            TaskStage::Queued | TaskStage::Ended(_) => None,
        }
    }

    /// Returns whether the task has ended.
    pub fn is_ended(&self) -> bool {
        matches!(self.stage, TaskStage::Ended(_))
    }
}

/// A message to the owner of a shard, stored in the table until the owner processes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InboxItem {
    /// Adds tasks to the shard.
    Submit {
        /// The spec of the tasks.
        spec: Spec,
        /// The index of the first task.
        first: u32,
        /// The number of tasks, starting at that index.
        count: u32,
    },
    /// Cancels all tasks of a spec.
    Cancel {
        /// The spec.
        spec: SpecName,
    },
}

/// The durable row of a spec, with the shards that hold its tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpecRow {
    /// The spec.
    pub spec: Spec,
    /// The shards that hold its tasks.
    pub shards: Vec<ShardId>,
    /// Whether the operator cancelled or deleted the spec.
    #[serde(default)]
    pub cancelled: bool,
}
