//! A queue in which nothing stands twice.

use std::{
    collections::{HashSet, VecDeque},
    hash::Hash,
};

/// A queue in which nothing stands twice: what waits longest leaves first, however often it is added.
#[derive(Debug)]
pub(super) struct UniqueQueue<T> {
    /// In the order in which they were added, with some that were removed since.
    order: VecDeque<T>,
    present: HashSet<T>,
}

impl<T> Default for UniqueQueue<T> {
    fn default() -> Self {
        Self { order: VecDeque::new(), present: HashSet::new() }
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

    /// Adds an item behind all others, unless it waits already.
    pub(super) fn push(&mut self, item: T) {
        if self.present.insert(item) {
            self.order.push_back(item);
        }
    }

    /// The item that waits longest, which leaves.
    pub(super) fn pop(&mut self) -> Option<T> {
        loop {
            let first = self.order.pop_front()?;
            if self.present.remove(&first) {
                return Some(first);
            }
        }
    }

    /// Removes an item. Returns whether it waited.
    pub(super) fn remove(&mut self, item: &T) -> bool {
        self.present.remove(item)
    }
}

#[cfg(test)]
mod tests;
