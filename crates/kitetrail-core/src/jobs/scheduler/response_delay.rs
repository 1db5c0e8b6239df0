//! Measures how long answers of workers wait in the owner's process.

use std::{collections::VecDeque, time::Duration};

use super::overload::MAX_POLL_PAUSE;
use crate::Time;

/// The most answers that are remembered: those of some tens of milliseconds under load.
const MAX_ANSWERS: usize = 128;
/// The fewest answers that show a delay.
const MIN_ANSWERS: usize = 16;
/// The time for which an answer is remembered, so that a delay is not taken for one of now.
const MAX_AGE: Duration = Duration::from_millis(1_000);
/// The multiple of the delay that is added to the pause between polls. At a delay of 60 ms, which a
/// short job bears several times, polls are as rare as leases allow.
const POLL_PAUSE_FACTOR: u32 = 15;

/// The delay of answers beyond the time that they take on an owner that has nothing else to do.
///
/// It is the lag as answers see it. The lag of the clock is that of one look at it, while an answer
/// passes several tasks of the process in turn, each of which waits as long.
#[derive(Debug, Default)]
pub(super) struct ResponseDelay {
    /// The last round trips, and when they ended.
    recent: VecDeque<(Time, Duration)>,
    /// The shortest median of the remembered round trips.
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
    pub(super) fn record(&mut self, round_trip: Duration, now: Time) {
        if self.recent.len() == MAX_ANSWERS {
            self.recent.pop_front();
        }
        self.recent.push_back((now, round_trip));
    }

    /// Updates the delay from the last answers. The median leaves out workers that answer late by
    /// themselves.
    pub(super) fn update(&mut self, now: Time) {
        while self.recent.pop_front_if(|(at, _)| now.since(*at) > MAX_AGE).is_some() {}
        if self.recent.len() < MIN_ANSWERS {
            self.delay = Duration::ZERO;
            return;
        }
        let mut sorted = self.recent.iter().map(|(_, trip)| *trip).collect::<Vec<_>>();
        let middle = sorted.len() / 2;
        let (_, median, _) = sorted.select_nth_unstable(middle);
        let shortest = self.shortest.map_or(*median, |shortest| shortest.min(*median));
        self.shortest = Some(shortest);
        self.delay = *median - shortest;
    }
}

#[cfg(test)]
mod tests;
