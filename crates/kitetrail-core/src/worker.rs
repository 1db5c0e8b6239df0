//! Defines the protocol between the owner of a shard and a worker.
//!
//! Leases expire at moments on the *worker's* clock, which the owner computes from the
//! last clock value that the worker reported. A delayed order therefore never grants
//! more time than the owner already accounts for.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::{Attempt, Epoch, Resources, ShardId, TaskClass, TaskId, task::SpecKind};

/// The state of a task that the owner requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DesiredState {
    /// Run the task at full speed.
    Run,
    /// Run the task at reduced speed, to relieve the other tasks on the worker.
    Throttle,
    /// Save the task's progress, then stop it.
    Checkpoint,
    /// Stop the task.
    Stop,
}

impl Display for DesiredState {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DesiredState::Run => "run",
            DesiredState::Throttle => "throttle",
            DesiredState::Checkpoint => "checkpoint",
            DesiredState::Stop => "stop",
        })
    }
}

/// An order from the owner to a worker about one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOrder {
    /// The task.
    pub task: TaskId,
    /// The run of the task.
    pub attempt: Attempt,
    /// The requested state.
    pub want: DesiredState,
    /// The kind of work.
    pub kind: SpecKind,
    /// The class of the task.
    pub class: TaskClass,
    /// The resources that the task may use.
    pub size: Resources,
    /// The progress to resume from, in milliseconds of work.
    pub resume_ms: u64,
    /// The total work of the task, in milliseconds. A task with zero runs until it is stopped.
    pub work_ms: u64,
    /// The moment on the worker's clock until which the task may run, in milliseconds.
    pub lease_until_ms: u64,
}

/// The part of a sync request about the worker's tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerOrders {
    /// The owner only requests a report, before it sends its first list of orders.
    Listen,
    /// The complete list of orders. The worker stops tasks of this shard that are not listed.
    Orders {
        /// The number of this list within one epoch.
        list: u64,
        /// The orders, one for each task.
        orders: Vec<TaskOrder>,
    },
    /// Extends all leases of the list of orders that the worker follows.
    Renew {
        /// The number of the list. A worker that follows another list ignores the renewal.
        list: u64,
        /// The moment on the worker's clock until which its tasks may run, in
        /// milliseconds.
        lease_until_ms: u64,
    },
}

/// A request from the owner of a shard to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The shard of the owner.
    pub shard: ShardId,
    /// The epoch of the owner. A worker refuses a lower epoch than one it has seen.
    pub epoch: Epoch,
    /// The boot number of the worker that the request is for, or zero on first contact.
    pub boot: u64,
    /// The sequence number of the request within one epoch. A worker ignores a lower number than one
    /// it has seen.
    pub sequence: u64,
    /// The sequence number of the request whose reply was the latest that the owner processed, or zero.
    pub seen: u64,
    /// The orders for the worker's tasks.
    pub wants: WorkerOrders,
    /// The reports that the owner has stored durably and the worker can drop.
    pub settled: Vec<(TaskId, Attempt)>,
}

/// The state of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// The task is running.
    Running,
    /// The task ran to completion.
    Done,
    /// The task failed.
    Failed,
    /// The task was stopped or never started, and is not running.
    Stopped,
}

/// A worker's report of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The run of the task.
    pub attempt: Attempt,
    /// The state of the task.
    pub phase: TaskPhase,
    /// The kind of work.
    pub kind: SpecKind,
    /// The class of the task.
    pub class: TaskClass,
    /// The resources reserved for the task.
    pub size: Resources,
    /// The saved progress, in milliseconds of work.
    pub checkpoint_ms: u64,
    /// The progress reached, in milliseconds of work.
    pub progress_ms: u64,
}

/// A measurement of a task and the tasks that ran beside it, possibly outdated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageSample {
    /// The time of the measurement on the worker's clock, in milliseconds.
    pub taken_ms: u64,
    /// The measured task.
    pub task: TaskId,
    /// The class of the task.
    pub class: TaskClass,
    /// The resources that the task actually used.
    pub used: Resources,
    /// The slowdown compared with running alone; 1.0 means undisturbed.
    pub slowdown: f64,
    /// The classes of the other tasks that ran on the worker at that time.
    pub beside: Vec<TaskClass>,
}

/// A worker's reply to a sync request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncReply {
    /// The boot number of the worker, which changes with each restart.
    pub boot: u64,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// The highest epoch that the worker has seen for this shard.
    pub epoch: Epoch,
    /// The sequence number of the request that this reply answers.
    pub sequence: u64,
    /// The number of the list of orders that the worker follows, or zero.
    pub list: u64,
    /// The tasks that the worker runs for this shard and those whose end is not settled yet.
    /// `None` if they are unchanged since the reply that the owner processed last.
    pub tasks: Option<Vec<TaskReport>>,
    /// The measurements that are due.
    pub usage: Vec<UsageSample>,
}
