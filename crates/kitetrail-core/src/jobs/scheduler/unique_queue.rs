//! A queue without duplicates.

use std::{
    collections::{HashMap, VecDeque, hash_map::Entry},
    hash::Hash,
};

/// A first-in, first-out queue without duplicates: adding an item again does not change its place.
///
/// Each item is added with a sequence number, which never decreases from one addition to the next.
#[derive(Debug)]
pub(super) struct UniqueQueue<T> {
    /// The items in the order of their addition, including some that were removed since.
    order: VecDeque<(T, u64)>,
    /// The waiting items, each with the sequence number of its addition.
    present: HashMap<T, u64>,
}

impl<T> Default for UniqueQueue<T> {
    fn default() -> Self {
        Self { order: VecDeque::new(), present: HashMap::new() }
    }
}

impl<T: Copy + Eq + Hash> UniqueQueue<T> {
    pub(super) fn is_empty(&self) -> bool {
        self.present.is_empty()
    }

    /// Returns the number of waiting items.
    pub(super) fn len(&self) -> usize {
        self.present.len()
    }

    /// Returns the sequence number of the item that has waited longest, if there is one.
    pub(super) fn oldest(&mut self) -> Option<u64> {
        while let Some((item, seq)) = self.order.front() {
            if self.present.get(item) == Some(seq) {
                return Some(*seq);
            }
            self.order.pop_front();
        }
        None
    }

    /// Returns the waiting items in the order of their addition.
    pub(super) fn iter(&self) -> impl Iterator<Item = T> {
        let is_present = |(item, seq): &&(T, u64)| self.present.get(item) == Some(seq);
        self.order.iter().filter(is_present).map(|(item, _)| *item)
    }

    /// Adds an item at the end, unless it is waiting already.
    pub(super) fn push(&mut self, item: T, seq: u64) {
        if let Entry::Vacant(vacant) = self.present.entry(item) {
            vacant.insert(seq);
            self.order.push_back((item, seq));
        }
    }

    /// Removes and returns the item that has waited longest.
    pub(super) fn pop(&mut self) -> Option<T> {
        self.oldest()?;
        let (first, _) = self.order.pop_front()?;
        self.present.remove(&first);
        Some(first)
    }

    /// Removes an item. Returns whether it was waiting.
    pub(super) fn remove(&mut self, item: &T) -> bool {
        self.present.remove(item).is_some()
    }
}

#[cfg(test)]
mod tests;
