//! The events that a shard handles and the actions that it returns.

use std::{
    fmt::{self, Display, Formatter},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use crate::{
    Attempt, Epoch, ShardId, SpecName, TaskId, Version, WorkerId, ZoneId,
    fleet::WorkerInfo,
    table::{CommitOutcome, RowKey, Transaction},
    task::{InboxItem, TaskEnding, TaskRow},
    worker::{SyncReply, SyncRequest},
};

/// An input of the shard's state machine.
///
/// Each action that requests something is answered by exactly one event, which may report
/// that no answer arrived.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The time of day, in milliseconds since 1970. No safety property depends on it.
    UnixTime(u64),
    /// The rank of this box among the boxes that may own the shard changed. Zero is the
    /// first choice; `None` means that this box may not own the shard.
    RankChanged(Option<usize>),
    /// The box list was read and holds these workers of the shard.
    FleetUpdated(Vec<WorkerInfo>),
    /// The shard's lease row was read. `None` means that the row does not exist.
    LeaseRead(Option<(Version, crate::OpId, super::LeaseRow)>),
    /// The shard's lease row could not be read.
    LeaseReadFailed,
    /// A transaction was answered, or its answer was lost.
    CommitAnswered(CommitOutcome),
    /// The shard's tasks were read.
    TasksRead(Vec<TaskRow>),
    /// The shard's tasks could not be read.
    TasksReadFailed,
    /// The inbox was read.
    InboxRead(Vec<(RowKey, Version, InboxItem)>),
    /// The inbox could not be read.
    InboxReadFailed,
    /// A worker replied to a sync request.
    WorkerReplied(WorkerId, SyncReply),
    /// A worker did not reply to a sync request.
    WorkerDidNotReply(WorkerId),
    /// A message was added to the inbox.
    InboxChanged,
    /// This box is about to stop and has to release the shard.
    Stop,
}

/// An output of the shard's state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the shard's lease row.
    ReadLease,
    /// Read the shard's tasks.
    ReadTasks,
    /// Read the shard's inbox.
    ReadInbox,
    /// Send a transaction to the table.
    Commit(Transaction),
    /// Send a sync request to a worker.
    Sync(WorkerInfo, SyncRequest),
    /// Publish the endpoints of the shard's services to all boxes.
    Publish(EndpointSet),
    /// Log a decision.
    Log(Decision),
}

/// A replica of a service that accepts requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedEndpoint {
    /// The service.
    pub service: SpecName,
    /// The worker that the replica runs on.
    pub worker: WorkerId,
    /// The availability zone of the worker.
    pub zone: ZoneId,
    /// The address that the replica accepts requests on.
    pub address: SocketAddr,
    /// Whether the replica is about to stop and accepts no new requests.
    pub leaving: bool,
}

/// The endpoints of the services of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSet {
    /// The shard.
    pub shard: ShardId,
    /// The epoch of the owner that published the set.
    pub epoch: Epoch,
    /// The sequence number of the set within the epoch.
    pub sequence: u64,
    /// The endpoints.
    pub endpoints: Vec<PlacedEndpoint>,
}

/// A decision that is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The shard was taken over.
    TookOver(Epoch),
    /// The shard was released.
    Released(Epoch),
    /// The ownership was lost to another box.
    SteppedDown(Epoch),
    /// A task was placed on a worker.
    Placed {
        /// The task.
        task: TaskId,
        /// The run.
        attempt: Attempt,
        /// The worker.
        worker: WorkerId,
        /// The reason for choosing this worker.
        reason: String,
    },
    /// A task was returned to the queue.
    Requeued {
        /// The task.
        task: TaskId,
        /// The number of the next run.
        attempt: Attempt,
        /// Why.
        reason: RequeueReason,
    },
    /// A task is to be throttled, run at full speed again, or evicted.
    WantChanged {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
        /// The state that is requested of the worker.
        want: crate::worker::DesiredState,
        /// Why.
        reason: String,
    },
    /// A task ended.
    Ended {
        /// The task.
        task: TaskId,
        /// How the task ended.
        ending: TaskEnding,
    },
    /// A worker receives no new tasks for a while because tasks failed on it.
    Quarantined {
        /// The worker.
        worker: WorkerId,
        /// The duration of the quarantine, in milliseconds.
        duration_ms: u64,
    },
    /// The table does not answer. Running work is kept; nothing new is placed.
    TableUnreachable,
    /// The table is reachable again.
    TableReachable,
}

/// The reason for returning a task to the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequeueReason {
    /// The task was stopped to free resources or to reduce interference with other tasks.
    Evicted,
    /// The run failed.
    Failed,
    /// The worker restarted.
    WorkerRestarted,
    /// The worker does not reply and the lease has certainly expired.
    LeaseExpired,
    /// The worker does not reply; a replacement of the replica is started elsewhere.
    WorkerUnresponsive,
    /// The worker did not start the task, or stopped it without an order.
    NotRunning,
    /// The run completed, and tasks of this kind are started again.
    Restarted,
}

impl Display for RequeueReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RequeueReason::Evicted => "evicted",
            RequeueReason::Failed => "run failed",
            RequeueReason::WorkerRestarted => "worker restarted",
            RequeueReason::LeaseExpired => "lease expired",
            RequeueReason::WorkerUnresponsive => "worker does not reply",
            RequeueReason::NotRunning => "worker does not run it",
            RequeueReason::Restarted => "kept running",
        })
    }
}

impl Display for Decision {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Decision::TookOver(epoch) => write!(f, "took over, epoch {epoch}"),
            Decision::Released(epoch) => write!(f, "released, epoch {epoch}"),
            Decision::SteppedDown(epoch) => write!(f, "stepped down, epoch {epoch}"),
            Decision::Placed { task, attempt, worker, reason } => {
                write!(f, "placed {task} attempt {attempt} on {worker}: {reason}")
            }
            Decision::Requeued { task, attempt, reason } => {
                write!(f, "requeued {task} as attempt {attempt}: {reason}")
            }
            Decision::WantChanged { task, worker, want, reason } => {
                write!(f, "asked {worker} to {want} {task}: {reason}")
            }
            Decision::Ended { task, ending } => write!(f, "ended {task}: {ending}"),
            Decision::Quarantined { worker, duration_ms } => {
                write!(
                    f,
                    "quarantined {worker} for {duration_ms} ms: tasks of several specs failed on it"
                )
            }
            Decision::TableUnreachable => {
                f.write_str("table unreachable: keeping running tasks, placing none")
            }
            Decision::TableReachable => f.write_str("table reachable again"),
        }
    }
}
