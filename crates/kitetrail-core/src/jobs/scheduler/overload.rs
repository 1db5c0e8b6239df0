//! What is left out while an owner has less processor time than its fleet asks for.
//!
//! The one measure is the *lag*: how much later than due the owner got to look at the clock. All that it
//! reads and sends waits as long. Work is left out in this order, each with a threshold of its own: moves and
//! copies, frequent holds, new starts, new jobs. Never left out: ends, renewals of leases, cancels, states.
//! See `docs/design/overload.md`.

use std::time::Duration;

use crate::Time;

/// Over how long the measured lag fades. Long enough to bridge the pauses between bursts of events, short
/// beside the leases, 4 s.
const FADES_OVER: Duration = Duration::from_millis(1_000);
/// From this lag on no run is moved or copied. Each search weighs every worker, and what is known of
/// progress is older than the 1.3 s after which a run counts as standing still by then.
const MOVES_END_AT: Duration = Duration::from_millis(100);
/// From this lag on nothing is started: each start brings four more events, and an owner this late keeps its
/// other promises with a reserve of a few hundred milliseconds only. Other boxes doubt it at 0.25 s.
const STARTS_END_AT: Duration = Duration::from_millis(300);
/// Starts go on below this lag: half, so that they don't begin and end with each burst.
const STARTS_GO_ON_AT: Duration = Duration::from_millis(150);
/// From this lag on a worker that did not answer in time proves nothing by it: its answer may be here, unread.
/// Calls are given three times the time that their timers fired late; this is a third of the least such time.
const SILENCE_PROVES_BELOW: Duration = Duration::from_millis(150);
/// How many tasks are started in one pass at first, once starts go on: of 890 workers some 28 are started on
/// in each pass, every 20 ms, at full load.
const FIRST_STARTS: u32 = 8;
/// By which part of it that number grows in each pass that finds little lag: what waited for 2 s is started
/// within half a second more. All of it in one pass would make the owner late again.
const MORE_STARTS_PART: u32 = 4;
/// So little lag that more may be started in the next pass.
const STARTS_GROW_BELOW: Duration = Duration::from_millis(100);
/// No bound on the starts of a pass.
const ANY_STARTS: u32 = u32::MAX;
/// From this lag on new jobs are refused: their answers would come after the 0.9 s that boxes wait, so
/// that callers could only be told that their job is in doubt.
const JOBS_END_AT: Duration = Duration::from_millis(700);
/// Jobs are taken again below this lag.
const JOBS_GO_ON_AT: Duration = Duration::from_millis(350);
/// By how many times the lag the pause before the next hold of a worker grows, so that fewer holds are asked
/// for until those that are come in time.
const PAUSES_PER_LAG: u32 = 4;
/// But no more than this: with the time that a worker may wait, leases of 4 s are renewed once a second and
/// a half at least.
const LONGEST_PAUSE: Duration = Duration::from_millis(900);

/// How far the owner lags, and what it leaves out.
#[derive(Debug)]
pub(super) struct Overload {
    lag: Duration,
    noted_at: Time,
    /// How many tasks may be started in a pass.
    starts_per_pass: u32,
    jobs_end: bool,
}

impl Default for Overload {
    fn default() -> Self {
        Self {
            lag: Duration::ZERO,
            noted_at: Time::ZERO,
            starts_per_pass: ANY_STARTS,
            jobs_end: false,
        }
    }
}

impl Overload {
    /// The lag of late: the longest, fading.
    pub(super) fn lag(&self) -> Duration {
        self.lag
    }

    /// Whether runs may be moved and copied.
    pub(super) fn moves(&self) -> bool {
        self.lag < MOVES_END_AT
    }

    /// How many tasks may be started in a pass.
    pub(super) fn starts_per_pass(&self) -> u32 {
        self.starts_per_pass
    }

    /// Whether a worker that did not answer in time is silent, and not the owner late.
    pub(super) fn silence_proves(&self) -> bool {
        self.lag < SILENCE_PROVES_BELOW
    }

    /// Whether new jobs are taken.
    pub(super) fn takes_jobs(&self) -> bool {
        !self.jobs_end
    }

    /// How much longer than usual a worker that runs something is left alone between two holds.
    pub(super) fn hold_pause(&self) -> Duration {
        (self.lag * PAUSES_PER_LAG).min(LONGEST_PAUSE)
    }

    /// Takes note of how late the owner is now. Returns whether it takes jobs, if that changed.
    pub(super) fn note_lag(&mut self, lag: Duration, now: Time) -> Option<bool> {
        let gap_s = now.since(self.noted_at).as_secs_f64();
        self.noted_at = now;
        let faded = self.lag.mul_f64((-gap_s / FADES_OVER.as_secs_f64()).exp());
        self.lag = lag.max(faded);
        self.starts_per_pass = match self.starts_per_pass {
            _ if self.lag >= STARTS_END_AT => 0,
            0 if self.lag < STARTS_GO_ON_AT => FIRST_STARTS,
            starts if self.lag < STARTS_GROW_BELOW => {
                starts.saturating_add(starts / MORE_STARTS_PART)
            }
            starts => starts,
        };
        let took_jobs = self.takes_jobs();
        self.jobs_end = self.lag >= if self.jobs_end { JOBS_GO_ON_AT } else { JOBS_END_AT };
        (took_jobs != self.takes_jobs()).then_some(self.takes_jobs())
    }
}

#[cfg(test)]
mod tests;
