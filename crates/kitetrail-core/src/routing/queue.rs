//! Requests that wait, the ones that matter most first.

use std::{cmp::Reverse, collections::BTreeMap};

use super::RequestNumber;
use crate::Time;

/// A request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Waiting {
    /// The request.
    pub number: RequestNumber,
    /// Until when it may wait.
    pub until: Time,
}

/// A bounded queue ordered by rank, then by arrival.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: BTreeMap<Position, Waiting>,
    arrivals: u64,
}

type Position = (Reverse<u8>, u64);

impl Queue {
    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How many requests are served before a new one of the given rank.
    pub fn ahead_of(&self, rank: u8) -> usize {
        match self.waiting.last_key_value() {
            Some(((Reverse(lowest), _), _)) if *lowest < rank => {
                self.waiting.range(..(Reverse(rank), u64::MAX)).count()
            }
            _ => self.waiting.len(),
        }
    }

    /// Adds a request behind all of its rank.
    pub fn push(&mut self, rank: u8, waiting: Waiting) {
        self.arrivals += 1;
        self.waiting.insert((Reverse(rank), self.arrivals), waiting);
    }

    /// Takes out the request that matters most.
    pub fn pop(&mut self) -> Option<Waiting> {
        self.waiting.pop_first().map(|(_, waiting)| waiting)
    }

    /// Takes out the request that matters least if it matters less than `rank`.
    pub fn pop_less_than(&mut self, rank: u8) -> Option<Waiting> {
        let entry = self.waiting.last_entry()?;
        let Reverse(lowest) = entry.key().0;
        (lowest < rank).then(|| entry.remove())
    }

    /// Takes out every request that may not wait any longer.
    pub fn expire(&mut self, now: Time) -> Vec<Waiting> {
        let expired: Vec<Position> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.until <= now)
            .map(|(position, _)| *position)
            .collect();
        expired.iter().filter_map(|position| self.waiting.remove(position)).collect()
    }

    /// Takes out one request.
    pub fn remove(&mut self, number: RequestNumber) {
        self.waiting.retain(|_, waiting| waiting.number != number);
    }
}
