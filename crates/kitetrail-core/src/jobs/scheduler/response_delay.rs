//! Measures how long answers of workers wait in the owner's process.

use std::time::Duration;

use super::overload::MAX_POLL_PAUSE;

/// The number of answers that are remembered: those of some tens of milliseconds under load.
const REMEMBERED_ANSWERS: usize = 128;
/// The multiple of the delay that is added to the pause between polls. At a delay of 60 ms, which a
/// short job bears several times, polls are as rare as leases allow.
const POLL_PAUSE_FACTOR: u32 = 15;

/// The delay of answers beyond the time that they take on an owner that has nothing else to do.
///
/// It is the lag as answers see it. The lag of the clock is that of one look at it, while an answer
/// passes several tasks of the process in turn, each of which waits as long.
#[derive(Debug, Default)]
pub(super) struct ResponseDelay {
    /// The last round trips, in a ring.
    recent: Vec<Duration>,
    next: usize,
    /// The shortest median of as many round trips.
    shortest: Option<Duration>,
    delay: Duration,
}

impl ResponseDelay {
    /// Returns the time added to the usual pause between two polls of a worker that runs no short
    /// task: then more ends share an answer, and fewer polls report none.
    pub(super) fn poll_pause(&self) -> Duration {
        (self.delay * POLL_PAUSE_FACTOR).min(MAX_POLL_PAUSE)
    }

    /// Records the round trip of an order, which a worker answers at once.
    pub(super) fn record(&mut self, round_trip: Duration) {
        match self.recent.get_mut(self.next) {
            Some(oldest) => *oldest = round_trip,
            None => self.recent.push(round_trip),
        }
        self.next = (self.next + 1) % REMEMBERED_ANSWERS;
    }

    /// Updates the delay from the last answers. The median leaves out workers that answer late by
    /// themselves.
    pub(super) fn update(&mut self) {
        if self.recent.len() < REMEMBERED_ANSWERS {
            return;
        }
        let mut sorted = self.recent.clone();
        let (_, median, _) = sorted.select_nth_unstable(REMEMBERED_ANSWERS / 2);
        let shortest = self.shortest.map_or(*median, |shortest| shortest.min(*median));
        self.shortest = Some(shortest);
        self.delay = *median - shortest;
    }
}

#[cfg(test)]
mod tests;
