//! A queue in which nothing stands twice.

use std::{
    collections::{HashMap, VecDeque, hash_map::Entry},
    hash::Hash,
};

/// A queue in which nothing stands twice: what waits longest leaves first, however often it is added.
///
/// Each item is added with a sequence number, which never falls from one addition to the next.
#[derive(Debug)]
pub(super) struct UniqueQueue<T> {
    /// In the order in which they were added, with some that were removed since.
    order: VecDeque<(T, u64)>,
    /// What waits, and the number with which it was added.
    present: HashMap<T, u64>,
}

impl<T> Default for UniqueQueue<T> {
    fn default() -> Self {
        Self { order: VecDeque::new(), present: HashMap::new() }
    }
}

impl<T: Copy + Eq + Hash> UniqueQueue<T> {
    /// Whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.present.is_empty()
    }

    /// How many items wait.
    pub(super) fn len(&self) -> usize {
        self.present.len()
    }

    /// The number of the item that waits longest, if one waits.
    pub(super) fn oldest(&mut self) -> Option<u64> {
        while let Some((item, seq)) = self.order.front() {
            if self.present.get(item) == Some(seq) {
                return Some(*seq);
            }
            self.order.pop_front();
        }
        None
    }

    /// Adds an item behind all others, unless it waits already.
    pub(super) fn push(&mut self, item: T, seq: u64) {
        if let Entry::Vacant(vacant) = self.present.entry(item) {
            vacant.insert(seq);
            self.order.push_back((item, seq));
        }
    }

    /// The item that waits longest, which leaves.
    pub(super) fn pop(&mut self) -> Option<T> {
        self.oldest()?;
        let (first, _) = self.order.pop_front()?;
        self.present.remove(&first);
        Some(first)
    }

    /// Removes an item. Returns whether it waited.
    pub(super) fn remove(&mut self, item: &T) -> bool {
        self.present.remove(item).is_some()
    }
}

#[cfg(test)]
mod tests;
