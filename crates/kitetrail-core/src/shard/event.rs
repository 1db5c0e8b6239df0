//! What happens to a shard and what it wants done.

use std::{
    fmt::{self, Display, Formatter},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use crate::{
    Attempt, Epoch, ShardId, SpecName, TaskId, Version, WorkerId, ZoneId,
    fleet::WorkerInfo,
    table::{CommitAnswer, Key, Transaction},
    task::{Ending, InboxItem, TaskRow},
    worker::{SyncReply, SyncRequest},
};

/// What happens to a shard.
///
/// Each action that asks for something is answered by exactly one event, which may be
/// the one that says no answer came.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The time of day, in milliseconds since 1970. Nothing that must hold rests on it.
    UnixTime(u64),
    /// Membership puts this box at the given place among those that may own the shard.
    /// Zero is the first choice, `None` means not at all.
    Ranked(Option<usize>),
    /// The box list names these workers of the shard.
    FleetSeen(Vec<WorkerInfo>),
    /// The shard's row was read. `None` means there is none.
    LeaseRead(Option<(Version, crate::OpId, super::LeaseRow)>),
    /// The shard's row could not be read.
    LeaseReadFailed,
    /// A transaction was answered, or not.
    CommitAnswered(CommitAnswer),
    /// The shard's tasks were read.
    Loaded(Vec<TaskRow>),
    /// The shard's tasks could not be read.
    LoadFailed,
    /// The inbox was read.
    InboxRead(Vec<(Key, Version, InboxItem)>),
    /// The inbox could not be read.
    InboxReadFailed,
    /// A worker answered.
    WorkerReplied(WorkerId, SyncReply),
    /// A worker did not answer.
    WorkerSilent(WorkerId),
    /// Someone put a message into the inbox.
    Woken,
    /// This box is about to stop: give the shard back.
    Drain,
}

/// What a shard wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the shard's row.
    ReadLease,
    /// Read the shard's tasks.
    Load,
    /// Read the shard's inbox.
    ReadInbox,
    /// Send a transaction to the table.
    Commit(Transaction),
    /// Speak to a worker.
    Sync(WorkerInfo, SyncRequest),
    /// Tell all boxes where the shard's services answer.
    Publish(EndpointSet),
    /// Log a decision.
    Log(Decision),
}

/// A replica of a service that answers requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedEndpoint {
    /// The service.
    pub service: SpecName,
    /// The worker it runs on.
    pub worker: WorkerId,
    /// The availability zone of the worker.
    pub zone: ZoneId,
    /// Where it answers.
    pub address: SocketAddr,
    /// Whether it is about to go and takes no new requests.
    pub leaving: bool,
}

/// Where the services of a shard answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSet {
    /// The shard.
    pub shard: ShardId,
    /// The reign of the owner that says so.
    pub epoch: Epoch,
    /// The order among the sets of one reign.
    pub sequence: u64,
    /// The endpoints.
    pub endpoints: Vec<PlacedEndpoint>,
}

/// A decision worth a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The shard was taken over.
    TookOver(Epoch),
    /// The shard was given back.
    HandedBack(Epoch),
    /// Another box owns the shard now.
    SteppedDown(Epoch),
    /// A task was given to a worker.
    Placed {
        /// The task.
        task: TaskId,
        /// The run.
        attempt: Attempt,
        /// The worker.
        worker: WorkerId,
        /// Why this worker.
        reason: String,
    },
    /// A task went back to the queue.
    Requeued {
        /// The task.
        task: TaskId,
        /// The run to come.
        attempt: Attempt,
        /// Why.
        reason: RequeueReason,
    },
    /// A task is to be throttled, run at full speed again, or stopped.
    Relieved {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
        /// What is wanted.
        want: crate::worker::Want,
        /// Why.
        reason: String,
    },
    /// A task came to rest.
    Ended {
        /// The task.
        task: TaskId,
        /// How.
        ending: Ending,
    },
    /// A worker rests after failures.
    Quarantined {
        /// The worker.
        worker: WorkerId,
        /// For how long.
        rest_ms: u64,
    },
    /// The table does not answer; running work is kept, nothing new is promised.
    Detached,
    /// The table answers again.
    Attached,
}

/// Why a task went back to the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequeueReason {
    /// It was stopped to make room or to relieve others.
    Evicted,
    /// Its run failed.
    Failed,
    /// Its worker restarted.
    WorkerRestarted,
    /// Its worker is silent and the lease has certainly lapsed.
    LeaseLapsed,
    /// Its worker is silent; another replica takes its place.
    WorkerSilent,
    /// Its worker did not start it, or stopped it on its own.
    NotRunning,
    /// It ran to its end and is kept running.
    Restarted,
}

impl Display for RequeueReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RequeueReason::Evicted => "evicted",
            RequeueReason::Failed => "run failed",
            RequeueReason::WorkerRestarted => "worker restarted",
            RequeueReason::LeaseLapsed => "lease lapsed",
            RequeueReason::WorkerSilent => "worker silent",
            RequeueReason::NotRunning => "worker does not run it",
            RequeueReason::Restarted => "kept running",
        })
    }
}

impl Display for Decision {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Decision::TookOver(epoch) => write!(f, "took over, epoch {epoch}"),
            Decision::HandedBack(epoch) => write!(f, "handed back, epoch {epoch}"),
            Decision::SteppedDown(epoch) => write!(f, "stepped down, epoch {epoch}"),
            Decision::Placed { task, attempt, worker, reason } => {
                write!(f, "placed {task} attempt {attempt} on {worker}: {reason}")
            }
            Decision::Requeued { task, attempt, reason } => {
                write!(f, "requeued {task} as attempt {attempt}: {reason}")
            }
            Decision::Relieved { task, worker, want, reason } => {
                write!(f, "asked {worker} to {want} {task}: {reason}")
            }
            Decision::Ended { task, ending } => write!(f, "ended {task}: {ending}"),
            Decision::Quarantined { worker, rest_ms } => {
                write!(f, "rests {worker} for {rest_ms} ms: it fails sound tasks")
            }
            Decision::Detached => f.write_str("table silent: keeping what runs, promising nothing"),
            Decision::Attached => f.write_str("table answers again"),
        }
    }
}
