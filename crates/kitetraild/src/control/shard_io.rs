//! Carries out what shards want done, and tells them what came of it.

use std::rc::Rc;

use kitetrail_core::{
    OpId, ShardId, Version,
    shard::{Action, Decision, Event, LeaseRow},
    table::{CommitAnswer, Key, Prefix, Record, Row},
    task::{InboxItem, TaskRow},
};
use kitetrail_platform::{HttpTable, HttpWorkers, PlatformError, TableService, Worker};
use tokio::sync::mpsc;

use super::Message;
use crate::metrics::Metrics;

/// The connections that shards need.
#[derive(Debug)]
pub struct ShardIo {
    /// The table service.
    pub table: HttpTable,
    /// The workers.
    pub workers: HttpWorkers,
    /// The way back to the control loop.
    pub control: mpsc::Sender<Message>,
    /// The counters.
    pub metrics: Metrics,
}

impl ShardIo {
    /// Starts an action that asks for something. Its answer goes to the control loop.
    pub fn start(self: &Rc<Self>, shard: ShardId, action: Action) {
        let io = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let event = io.carry_out(&shard, action).await;
            let _ = io.control.send(Message::Shard(shard, event)).await;
        });
    }

    /// Logs and counts a decision.
    pub fn note(&self, shard: &ShardId, decision: &Decision) {
        log::info!("place: shard {shard}: {decision}");
        self.metrics.note_decision(match decision {
            Decision::TookOver(_) => "took-over",
            Decision::HandedBack(_) => "handed-back",
            Decision::SteppedDown(_) => "stepped-down",
            Decision::Placed { .. } => "placed",
            Decision::Requeued { .. } => "requeued",
            Decision::Relieved { .. } => "relieved",
            Decision::Ended { .. } => "ended",
            Decision::Quarantined { .. } => "quarantined",
            Decision::Detached => "detached",
            Decision::Attached => "attached",
        });
    }

    async fn carry_out(&self, shard: &ShardId, action: Action) -> Event {
        match action {
            Action::ReadLease => match self.table.read(&Key::lease(shard)).await {
                Ok(row) => Event::LeaseRead(row.and_then(lease_of)),
                Err(error) => {
                    failed(shard, "the lease can't be read", error, Event::LeaseReadFailed)
                }
            },
            Action::Load => match self.table.scan(&Prefix::tasks(shard)).await {
                Ok(rows) => Event::Loaded(rows.into_iter().filter_map(task_of).collect()),
                Err(error) => failed(shard, "the tasks can't be read", error, Event::LoadFailed),
            },
            Action::ReadInbox => match self.table.scan(&Prefix::inbox(shard)).await {
                Ok(rows) => Event::InboxRead(rows.into_iter().filter_map(inbox_item_of).collect()),
                Err(error) => {
                    failed(shard, "the inbox can't be read", error, Event::InboxReadFailed)
                }
            },
            Action::Commit(transaction) => {
                let answer = self.table.commit(&transaction).await;
                self.metrics.note_commit(match answer {
                    CommitAnswer::Committed(_) => "committed",
                    CommitAnswer::Conflict => "conflict",
                    CommitAnswer::Unknown => "unknown",
                });
                Event::CommitAnswered(answer)
            }
            Action::Sync(worker, request) => match self.workers.sync(&worker, &request).await {
                Ok(reply) => Event::WorkerReplied(worker.id, reply),
                Err(error) => {
                    let event = Event::WorkerSilent(worker.id.clone());
                    failed(shard, &format!("worker {} is silent", worker.id), error, event)
                }
            },
            Action::Publish(_) | Action::Log(_) => Event::Tick,
        }
    }
}

fn failed(shard: &ShardId, what: &str, error: PlatformError, event: Event) -> Event {
    log::debug!("place: shard {shard}: {what}: {error}");
    event
}

fn lease_of(row: Row) -> Option<(Version, OpId, LeaseRow)> {
    match row.record {
        Record::Lease(lease) => Some((row.version, row.op, lease)),
        _ => None,
    }
}

fn task_of(row: Row) -> Option<TaskRow> {
    match row.record {
        Record::Task(task) => Some(task),
        _ => None,
    }
}

fn inbox_item_of(row: Row) -> Option<(Key, Version, InboxItem)> {
    match row.record {
        Record::Inbox { item } => Some((row.key, row.version, item)),
        _ => None,
    }
}
