//! Limits how many workers are polled for the first time in each tick.
//!
//! An owner that takes over polls every worker, each over a new connection. Sent all at once to
//! thousands of workers, these polls would delay everything else for seconds: renewals of leases,
//! callers' requests and starts.

use std::time::Duration;

/// The number of first polls in the first tick. On a whole core they take half of its time.
const INITIAL_POLLS_PER_TICK: u32 = 50;
/// The smallest number, for owners with little processor time.
const MIN_POLLS_PER_TICK: u32 = 4;
/// The largest number.
const MAX_POLLS_PER_TICK: u32 = 500;
/// The lag of a tick up to which more polls are sent in the next one: half of the interval between
/// ticks.
const LOW_LAG: Duration = Duration::from_millis(10);
/// The lag of a tick above which fewer polls are sent in the next one.
const HIGH_LAG: Duration = Duration::from_millis(30);

/// The limit of first polls per tick, which follows from the owner's lag.
#[derive(Debug)]
pub(super) struct FirstPolls {
    per_tick: u32,
    left: u32,
}

impl Default for FirstPolls {
    fn default() -> Self {
        Self { per_tick: INITIAL_POLLS_PER_TICK, left: INITIAL_POLLS_PER_TICK }
    }
}

impl FirstPolls {
    /// Begins the next tick, which came late by `lag`.
    pub(super) fn begin_tick(&mut self, lag: Duration) {
        let limited = self.left == 0;
        self.per_tick = match lag {
            _ if lag > HIGH_LAG => (self.per_tick / 2).max(MIN_POLLS_PER_TICK),
            _ if lag <= LOW_LAG && limited => (self.per_tick * 5 / 4).min(MAX_POLLS_PER_TICK),
            _ => self.per_tick,
        };
        self.left = self.per_tick;
    }

    /// Returns whether another first poll may be sent in this tick, and counts it.
    pub(super) fn take(&mut self) -> bool {
        let may_send = self.left > 0;
        self.left = self.left.saturating_sub(1);
        may_send
    }
}
