//! Sends changed rows to the table, many to a transaction.

use super::{CommitContent, Owner};
use crate::{
    Time, Version,
    shard::ShardSettings,
    table::{Condition, Key, Record, Write},
    task::TaskRow,
};

impl Owner {
    /// Whether a transaction should be sent now.
    pub(in crate::shard) fn is_commit_due(&self, settings: &ShardSettings, now: Time) -> bool {
        let waited = now.since(self.last_commit);
        let has_news = !self.dirty.is_empty() || !self.inbox.taken.is_empty();
        waited >= settings.commit_interval && has_news || waited >= settings.lease_refresh
    }

    /// Whether the last transaction held every change.
    pub(in crate::shard) fn is_all_sent(&self) -> bool {
        self.dirty.is_empty()
    }

    /// The contents of the next transaction.
    pub(in crate::shard) fn next_commit(
        &mut self,
        settings: &ShardSettings,
        now: Time,
    ) -> CommitContent {
        self.last_commit = now;
        let mut content = CommitContent::default();
        for _ in 0..settings.max_commit_rows {
            let Some(task) = self.dirty.pop_first() else { break };
            let key = Key::task(&self.shard, &task);
            let record = self.rows.get(&task).cloned().map(Record::Task);
            content.writes.push(Write { key, record });
            self.committing.insert(task);
        }
        if self.dirty.is_empty() {
            self.delete_taken(&mut content);
        }
        content
    }

    /// Deletes the messages acted on, now that all they led to is in the transaction.
    pub(super) fn delete_taken(&mut self, content: &mut CommitContent) {
        for (key, version) in &self.inbox.taken {
            content.conditions.push(Condition { key: key.clone(), version: *version });
            content.writes.push(Write { key: key.clone(), record: None });
            self.inbox.deleting.push(key.clone());
        }
    }

    /// Takes in that the last transaction, sent at `sent`, took effect.
    pub(in crate::shard) fn on_committed(&mut self, version: Version, sent: Time, now: Time) {
        self.version = version;
        self.confirmed = sent;
        for key in self.inbox.deleting.drain(..) {
            self.inbox.taken.remove(&key);
        }
        for task in std::mem::take(&mut self.committing) {
            let worker = self.rows.get(&task).and_then(TaskRow::worker);
            if let Some(state) = worker.and_then(|worker| self.workers.get_mut(worker)) {
                state.due = now;
            }
        }
    }
}
