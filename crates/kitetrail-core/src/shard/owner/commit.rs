//! Collects changed rows into transactions.

use super::{CommitContent, Owner};
use crate::{
    Time, Version,
    shard::ShardSettings,
    table::{Condition, Record, RowKey, Write},
    task::TaskRow,
};

impl Owner {
    /// Returns whether a transaction should be sent now.
    pub(in crate::shard) fn is_commit_due(&self, settings: &ShardSettings, now: Time) -> bool {
        let waited = now.since(self.last_commit);
        let has_changes = !self.dirty.is_empty() || !self.inbox.handled.is_empty();
        waited >= settings.commit_interval && has_changes || waited >= settings.lease_refresh
    }

    /// Returns whether every change is part of a transaction that was sent.
    pub(in crate::shard) fn has_sent_all_changes(&self) -> bool {
        self.dirty.is_empty()
    }

    /// Returns the contents of the next transaction.
    pub(in crate::shard) fn next_commit(
        &mut self,
        settings: &ShardSettings,
        now: Time,
    ) -> CommitContent {
        self.last_commit = now;
        let mut content = CommitContent::default();
        for _ in 0..settings.max_commit_rows {
            let Some(task) = self.dirty.pop_first() else { break };
            let key = RowKey::task(&self.shard, &task);
            let record = self.rows.get(&task).cloned().map(Record::Task);
            content.writes.push(Write { key, record });
            self.committing.insert(task);
        }
        if self.dirty.is_empty() {
            self.delete_handled_messages(&mut content);
        }
        content
    }

    /// Adds the deletion of the handled messages, whose effects are all part of this or an
    /// earlier transaction.
    pub(super) fn delete_handled_messages(&mut self, content: &mut CommitContent) {
        for (key, version) in &self.inbox.handled {
            content.conditions.push(Condition { key: key.clone(), version: *version });
            content.writes.push(Write { key: key.clone(), record: None });
            self.inbox.deleting.push(key.clone());
        }
    }

    /// Records that the latest transaction, sent at `sent_at`, took effect.
    pub(in crate::shard) fn on_committed(&mut self, version: Version, sent_at: Time, now: Time) {
        self.version = version;
        self.last_confirmed_commit = sent_at;
        for key in self.inbox.deleting.drain(..) {
            self.inbox.handled.remove(&key);
        }
        for task in std::mem::take(&mut self.committing) {
            let worker = self.rows.get(&task).and_then(TaskRow::worker);
            if let Some(state) = worker.and_then(|worker| self.workers.get_mut(worker)) {
                state.next_sync = now;
            }
        }
    }
}
