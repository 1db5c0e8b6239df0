//! The rows of worker instances that wait to be written or removed.

use std::{
    collections::{BTreeMap, BTreeSet},
    iter,
};

use super::super::{instance::InstanceNo, names::InstanceKey};

/// The rows of worker instances that wait to be written or removed, with one change for each row.
///
/// A worker whose instance ended may be listed again under the same key and gets a new instance
/// then. The row must not be removed after it was written for that one, so a write replaces the
/// removal that waits. Batches are persisted in turn, so changes in flight come first.
#[derive(Debug, Default)]
pub(super) struct InstanceRows {
    writes: BTreeMap<InstanceNo, Write>,
    removals: BTreeSet<InstanceKey>,
}

/// A row that waits to be written.
#[derive(Debug, Default)]
struct Write {
    /// Whether it replaces a removal, so that the store may hold a row of an earlier instance.
    replaces_removal: bool,
}

impl InstanceRows {
    /// Adds the row of a new instance.
    pub(super) fn add(&mut self, instance_no: InstanceNo, key: &InstanceKey) {
        let replaces_removal = self.removals.remove(key);
        self.writes.entry(instance_no).or_default().replaces_removal |= replaces_removal;
    }

    /// Writes the row of a known instance again.
    pub(super) fn rewrite(&mut self, instance_no: InstanceNo) {
        self.writes.entry(instance_no).or_default();
    }

    /// Removes the row of an instance that ended. `is_persisted` is whether the store is known to
    /// hold it.
    pub(super) fn remove(&mut self, instance_no: InstanceNo, key: InstanceKey, is_persisted: bool) {
        let unsent = self.writes.remove(&instance_no);
        let was_never_written =
            !is_persisted && unsent.is_some_and(|write| !write.replaces_removal);
        if !was_never_written {
            self.removals.insert(key);
        }
    }

    /// Takes at most `limit` rows to write, those of the earliest instances first.
    pub(super) fn take_writes(&mut self, limit: usize) -> Vec<InstanceNo> {
        let taken = iter::from_fn(|| self.writes.pop_first()).take(limit);
        taken.map(|(instance_no, _)| instance_no).collect()
    }

    /// Takes at most `limit` rows to remove.
    pub(super) fn take_removals(&mut self, limit: usize) -> Vec<InstanceKey> {
        iter::from_fn(|| self.removals.pop_first()).take(limit).collect()
    }

    pub(super) fn len(&self) -> usize {
        self.writes.len() + self.removals.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.removals.is_empty()
    }
}
