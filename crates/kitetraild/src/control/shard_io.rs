//! Performs the actions of shards and reports the results to them as events.

use std::rc::Rc;

use kitetrail_core::{
    OpId, ShardId, Version,
    shard::{Action, Decision, Event, LeaseRow},
    table::{CommitOutcome, KeyPrefix, Record, Row, RowKey},
    task::{InboxItem, TaskRow},
};
use kitetrail_platform::{HttpTable, HttpWorkers, PlatformError, TableService, Worker};
use tokio::sync::mpsc;

use super::ControlMessage;
use crate::metrics::Metrics;

/// The services that shards use.
#[derive(Debug)]
pub struct ShardIo {
    /// The client of the table service.
    pub table: HttpTable,
    /// The client of the workers.
    pub workers: HttpWorkers,
    /// The sender of messages to the control loop.
    pub control: mpsc::Sender<ControlMessage>,
    /// The metrics.
    pub metrics: Metrics,
}

impl ShardIo {
    /// Starts an action that sends a request. Its result is sent to the control loop.
    pub fn start_action(self: &Rc<Self>, shard: ShardId, action: Action) {
        let io = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let event = io.perform(&shard, action).await;
            let _ = io.control.send(ControlMessage::Shard(shard, event)).await;
        });
    }

    /// Logs and counts a decision.
    pub fn record_decision(&self, shard: &ShardId, decision: &Decision) {
        log::info!("place: shard {shard}: {decision}");
        self.metrics.record_decision(match decision {
            Decision::TookOver(_) => "took-over",
            Decision::Released(_) => "handed-back",
            Decision::SteppedDown(_) => "stepped-down",
            Decision::Placed { .. } => "placed",
            Decision::Requeued { .. } => "requeued",
            Decision::WantChanged { .. } => "relieved",
            Decision::Ended { .. } => "ended",
            Decision::Quarantined { .. } => "quarantined",
            Decision::TableUnreachable => "detached",
            Decision::TableReachable => "attached",
        });
    }

    async fn perform(&self, shard: &ShardId, action: Action) -> Event {
        match action {
            Action::ReadLease => match self.table.read(&RowKey::lease(shard)).await {
                Ok(row) => Event::LeaseRead(row.and_then(lease_from_row)),
                Err(error) => {
                    log_failure(shard, "the lease can't be read", error, Event::LeaseReadFailed)
                }
            },
            Action::ReadTasks => match self.table.scan(&KeyPrefix::tasks(shard)).await {
                Ok(rows) => Event::TasksRead(rows.into_iter().filter_map(task_from_row).collect()),
                Err(error) => {
                    log_failure(shard, "the tasks can't be read", error, Event::TasksReadFailed)
                }
            },
            Action::ReadInbox => match self.table.scan(&KeyPrefix::inbox(shard)).await {
                Ok(rows) => {
                    Event::InboxRead(rows.into_iter().filter_map(inbox_item_from_row).collect())
                }
                Err(error) => {
                    log_failure(shard, "the inbox can't be read", error, Event::InboxReadFailed)
                }
            },
            Action::Commit(transaction) => {
                let answer = self.table.commit(&transaction).await;
                self.metrics.record_commit(match answer {
                    CommitOutcome::Committed(_) => "committed",
                    CommitOutcome::Conflict => "conflict",
                    CommitOutcome::Unknown => "unknown",
                });
                Event::CommitAnswered(answer)
            }
            Action::Sync(worker, request) => match self.workers.sync(&worker, &request).await {
                Ok(reply) => Event::WorkerReplied(worker.id, reply),
                Err(error) => {
                    let event = Event::WorkerDidNotReply(worker.id.clone());
                    log_failure(
                        shard,
                        &format!("worker {} does not answer", worker.id),
                        error,
                        event,
                    )
                }
            },
            Action::Publish(_) | Action::Log(_) => Event::Tick,
        }
    }
}

fn log_failure(shard: &ShardId, problem: &str, error: PlatformError, event: Event) -> Event {
    log::debug!("place: shard {shard}: {problem}: {error}");
    event
}

fn lease_from_row(row: Row) -> Option<(Version, OpId, LeaseRow)> {
    match row.record {
        Record::Lease(lease) => Some((row.version, row.op, lease)),
        _ => None,
    }
}

fn task_from_row(row: Row) -> Option<TaskRow> {
    match row.record {
        Record::Task(task) => Some(task),
        _ => None,
    }
}

fn inbox_item_from_row(row: Row) -> Option<(RowKey, Version, InboxItem)> {
    match row.record {
        Record::Inbox { item } => Some((row.key, row.version, item)),
        _ => None,
    }
}
