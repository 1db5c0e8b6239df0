//! The queue of requests that wait for an endpoint, ordered by importance.

use std::{cmp::Reverse, collections::BTreeMap};

use super::RequestId;
use crate::Time;

/// A queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct QueuedRequest {
    /// The request.
    pub number: RequestId,
    /// The time until which the request may wait.
    pub wait_deadline: Time,
}

/// A queue ordered by rank, then by arrival. Its users bound its length.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: BTreeMap<Position, QueuedRequest>,
    arrivals: u64,
}

type Position = (Reverse<u8>, u64);

impl Queue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of requests that are served before a new one of the given rank.
    pub fn ahead_of(&self, rank: u8) -> usize {
        match self.waiting.last_key_value() {
            Some(((Reverse(lowest), _), _)) if *lowest < rank => {
                self.waiting.range(..(Reverse(rank), u64::MAX)).count()
            }
            _ => self.waiting.len(),
        }
    }

    /// Adds a request behind all others of its rank.
    pub fn push(&mut self, rank: u8, waiting: QueuedRequest) {
        self.arrivals += 1;
        self.waiting.insert((Reverse(rank), self.arrivals), waiting);
    }

    /// Removes and returns the most important request.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        self.waiting.pop_first().map(|(_, waiting)| waiting)
    }

    /// Removes and returns the least important request if its rank is below `rank`.
    pub fn pop_below(&mut self, rank: u8) -> Option<QueuedRequest> {
        let entry = self.waiting.last_entry()?;
        let Reverse(lowest) = entry.key().0;
        (lowest < rank).then(|| entry.remove())
    }

    /// Removes and returns every request whose wait is over.
    pub fn expire(&mut self, now: Time) -> Vec<QueuedRequest> {
        let expired: Vec<Position> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.wait_deadline <= now)
            .map(|(position, _)| *position)
            .collect();
        expired.iter().filter_map(|position| self.waiting.remove(position)).collect()
    }

    /// Removes a request.
    pub fn remove(&mut self, number: RequestId) {
        self.waiting.retain(|_, waiting| waiting.number != number);
    }
}
