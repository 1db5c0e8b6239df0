//! The handling of the shard's inbox.

use super::{Owner, queue_key};
use crate::{
    SpecName, TaskId, Time, Version,
    placement::Placer,
    shard::{Action, Decision, ShardSettings},
    table::RowKey,
    task::{InboxItem, TaskEnding, TaskRow, TaskStage},
    worker::DesiredState,
};

impl Owner {
    /// Makes the inbox due to be read at the next step.
    pub(in crate::shard) fn wake(&mut self) {
        self.inbox.last_read = None;
    }

    /// Records that the inbox could not be read.
    pub(in crate::shard) fn on_inbox_read_failed(&mut self) {
        self.inbox.in_flight = false;
    }

    /// Handles the messages that were read from the inbox.
    pub(in crate::shard) fn on_inbox<P: Placer>(
        &mut self,
        items: Vec<(RowKey, Version, InboxItem)>,
        placer: &P,
        actions: &mut Vec<Action>,
    ) {
        self.inbox.in_flight = false;
        for (key, version, item) in items {
            if self.inbox.handled.insert(key, version).is_some() {
                continue;
            }
            match item {
                InboxItem::Submit { spec, first, count } => {
                    for index in first..first + count {
                        self.submit(TaskRow::queued(&spec, index), placer);
                    }
                }
                InboxItem::Cancel { spec } => self.cancel(&spec, placer, actions),
            }
        }
    }

    pub(super) fn submit<P: Placer>(&mut self, row: TaskRow, placer: &P) {
        if self.rows.contains_key(&row.id) {
            return;
        }
        self.queue.insert(queue_key(&row, placer));
        self.dirty.insert(row.id.clone());
        self.rows.insert(row.id.clone(), row);
    }

    pub(super) fn cancel<P: Placer>(
        &mut self,
        spec: &SpecName,
        placer: &P,
        actions: &mut Vec<Action>,
    ) {
        let first = TaskId { spec: spec.clone(), index: 0 };
        let ids: Vec<TaskId> = self
            .rows
            .range(first..)
            .take_while(|(id, _)| id.spec == *spec)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.cancel_task(&id, placer, actions);
        }
    }

    pub(super) fn cancel_task<P: Placer>(
        &mut self,
        id: &TaskId,
        placer: &P,
        actions: &mut Vec<Action>,
    ) {
        let Some(row) = self.rows.get_mut(id) else { return };
        match &row.stage {
            TaskStage::Ended(_) => return,
            TaskStage::Queued => {
                self.queue.remove(&queue_key(row, placer));
                row.stage = TaskStage::Ended(TaskEnding::Cancelled);
                row.ended_unix_ms = self.unix_ms;
                self.ended_tasks.insert((self.unix_ms, id.clone()));
                let ending = TaskEnding::Cancelled;
                actions.push(Action::Log(Decision::Ended { task: id.clone(), ending }));
            }
            TaskStage::Placed { worker, .. } => {
                row.cancelled = true;
                if let Some(state) = self.workers.get_mut(worker) {
                    state.next_sync = Time::ZERO;
                    if let Some(grant) = state.ledger.get_mut(id, row.attempt) {
                        grant.want = DesiredState::Stop;
                    }
                }
            }
        }
        self.dirty.insert(id.clone());
    }

    pub(super) fn read_inbox(
        &mut self,
        settings: &ShardSettings,
        releasing: bool,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let due = self.inbox.last_read.is_none_or(|at| now.since(at) >= settings.poll_interval);
        if due && !self.inbox.in_flight && !releasing {
            self.inbox.last_read = Some(now);
            self.inbox.in_flight = true;
            actions.push(Action::ReadInbox);
        }
    }
}
