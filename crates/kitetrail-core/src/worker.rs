//! The exchange between a shard's owner and a worker.
//!
//! Leases are stated as moments on the *worker's* clock, worked out by the owner
//! from the last moment the worker reported. However late an order arrives, it can
//! only grant what the owner already counts on.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::{Attempt, Epoch, Resources, ShardId, TaskClass, TaskId, task::Kind};

/// What the owner wants of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Want {
    /// Run it at full speed.
    Run,
    /// Run it at a reduced speed, to relieve what shares the worker.
    Throttle,
    /// Save its progress, then stop it.
    Checkpoint,
    /// Stop it.
    Stop,
}

impl Display for Want {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Want::Run => "run",
            Want::Throttle => "throttle",
            Want::Checkpoint => "checkpoint",
            Want::Stop => "stop",
        })
    }
}

/// One task as the owner wants it on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub attempt: Attempt,
    /// What to do with it.
    pub want: Want,
    /// What kind of work it is.
    pub kind: Kind,
    /// The class it belongs to.
    pub class: TaskClass,
    /// What it may take.
    pub size: Resources,
    /// The progress to resume from, in milliseconds of work.
    pub resume_ms: u64,
    /// The work the task has in all, in milliseconds. Zero runs until stopped.
    pub work_ms: u64,
    /// The moment on the worker's clock up to which it may run, in milliseconds.
    pub lease_until_ms: u64,
}

/// What an owner wants of a worker's tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Wants {
    /// Nothing yet: the owner wants to hear first.
    Listen,
    /// These tasks. One that the worker runs for this shard and isn't named is stopped.
    Orders {
        /// The number of this list among those of one reign.
        list: u64,
        /// The tasks.
        orders: Vec<Order>,
    },
    /// What a list said that the worker goes by, with all its leases extended.
    Renew {
        /// The number of the list. A worker that goes by another one ignores this.
        list: u64,
        /// The moment on the worker's clock up to which its tasks may run, in
        /// milliseconds.
        lease_until_ms: u64,
    },
}

/// Everything the owner wants of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The shard that speaks.
    pub shard: ShardId,
    /// The reign of its owner. A worker refuses a lower one.
    pub epoch: Epoch,
    /// The worker's run this was worked out for, or zero for a first contact.
    pub boot: u64,
    /// The order of this request among those of one reign. A worker ignores a lower one.
    pub sequence: u64,
    /// The request whose answer is the latest that the owner took in, or zero.
    pub seen: u64,
    /// What is wanted of its tasks.
    pub wants: Wants,
    /// Reports that the owner has made durable, to be forgotten.
    pub settled: Vec<(TaskId, Attempt)>,
}

/// What became of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It runs.
    Running,
    /// It ran to its end.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, or never started, and does not run any more.
    Stopped,
}

/// A task as a worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub attempt: Attempt,
    /// What became of it.
    pub phase: Phase,
    /// What kind of work it is.
    pub kind: Kind,
    /// The class it belongs to.
    pub class: TaskClass,
    /// What it takes.
    pub size: Resources,
    /// The saved progress, in milliseconds of work.
    pub checkpoint_ms: u64,
    /// The progress reached, in milliseconds of work.
    pub progress_ms: u64,
}

/// A measurement of what ran together on a worker, possibly old.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageSample {
    /// When it was taken, on the worker's clock, in milliseconds.
    pub taken_ms: u64,
    /// The task it is about.
    pub task: TaskId,
    /// Its class.
    pub class: TaskClass,
    /// What it really took.
    pub used: Resources,
    /// How much slower it ran than alone: 1.0 is undisturbed.
    pub slowdown: f64,
    /// The classes of the other tasks that ran beside it at that moment.
    pub beside: Vec<TaskClass>,
}

/// A worker's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncReply {
    /// The worker's run, different after each restart.
    pub boot: u64,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// The highest reign the worker has seen for this shard.
    pub epoch: Epoch,
    /// The request this answers.
    pub sequence: u64,
    /// The list of orders it goes by, or zero.
    pub list: u64,
    /// The tasks it runs for this shard and those whose end isn't settled yet. `None` if
    /// that is what the answer said that the owner has seen.
    pub tasks: Option<Vec<TaskReport>>,
    /// Measurements that are due.
    pub usage: Vec<UsageSample>,
}
