//! Sheds work while the owner has less processor time than its fleet needs.
//!
//! Load is measured by the *lag* alone: how much later than due the owner read the clock. All that
//! it receives and sends is delayed as much. Work is shed in this order, each kind at a threshold
//! of its own: moves and copies, frequent polls, new starts, new jobs. Never shed are ends, lease
//! renewals, cancellations and state queries. See `docs/design/overload.md`.

use std::time::Duration;

use crate::Time;

/// The time constant of the decay of the measured lag. It is long enough to bridge the pauses
/// between bursts of events, and short beside the leases of 4 s.
const LAG_DECAY_TIME: Duration = Duration::from_millis(1_000);
/// The lag from which no run is moved or copied. Each search scores every worker, and at this lag
/// the known progress is older than the 1.3 s after which a run counts as stalled.
const MOVES_STOP_LAG: Duration = Duration::from_millis(100);
/// The lag from which no task is started. Each start causes four more events, and an owner this
/// late keeps its other promises with a reserve of only a few hundred milliseconds. Other boxes
/// suspect it at 0.25 s.
const STARTS_STOP_LAG: Duration = Duration::from_millis(300);
/// The lag below which starts resume. Half of the threshold above, so that starts don't stop and
/// resume with each burst of events.
const STARTS_RESUME_LAG: Duration = Duration::from_millis(150);
/// The lag from which a worker that did not answer in time is not considered silent: its answer may
/// have arrived without being read. Calls are given three times the delay with which their timers
/// fired; this is a third of the shortest such time.
const SILENCE_UNCERTAIN_LAG: Duration = Duration::from_millis(150);
/// The number of tasks started in the first pass after starts resume. At full load some 28 tasks
/// are started on 890 workers in each pass, every 20 ms.
const RESUMED_STARTS_PER_PASS: u32 = 8;
/// The divisor of the growth of that number in each pass with little lag: tasks that waited for 2 s
/// are started within another half second. Starting all of them in one pass would make the owner
/// late again.
const STARTS_GROWTH_DIVISOR: u32 = 4;
/// The lag below which the number of starts per pass grows.
const STARTS_GROW_LAG: Duration = Duration::from_millis(100);
/// The number of starts per pass without a limit.
const UNLIMITED_STARTS: u32 = u32::MAX;
/// The lag from which new jobs are refused. Answers would arrive after the 0.9 s that boxes wait,
/// so callers would only learn that their job is in doubt.
const JOBS_REFUSE_LAG: Duration = Duration::from_millis(700);
/// The lag below which jobs are accepted again.
const JOBS_RESUME_LAG: Duration = Duration::from_millis(350);
/// The multiple of the lag that is added to the pause before the next poll of a worker, so that
/// fewer polls are requested until the pending ones are answered in time.
const POLL_PAUSE_FACTOR: u32 = 4;
/// The lag up to which workers that run short tasks are polled as usual. Their room is reserved, and
/// is given to the next task only once an end is known.
const SHORT_TASKS_POLL_LAG: Duration = Duration::from_millis(100);
/// The longest added pause. With the time that a worker may delay its answer, leases of 4 s are
/// still renewed at least every 1.5 s.
pub(super) const MAX_POLL_PAUSE: Duration = Duration::from_millis(900);

/// The lag of the owner, and the work it sheds.
#[derive(Debug)]
pub(super) struct Overload {
    lag: Duration,
    measured_at: Time,
    /// The most tasks that may be started in one pass.
    starts_per_pass: u32,
    refuses_jobs: bool,
}

impl Default for Overload {
    fn default() -> Self {
        Self {
            lag: Duration::ZERO,
            measured_at: Time::ZERO,
            starts_per_pass: UNLIMITED_STARTS,
            refuses_jobs: false,
        }
    }
}

impl Overload {
    /// Returns the highest recent lag, which decays over time.
    pub(super) fn lag(&self) -> Duration {
        self.lag
    }

    /// Returns whether runs may be moved and copied.
    pub(super) fn may_move(&self) -> bool {
        self.lag < MOVES_STOP_LAG
    }

    /// Returns the most tasks that may be started in one pass.
    pub(super) fn starts_per_pass(&self) -> u32 {
        self.starts_per_pass
    }

    /// Returns whether a worker that did not answer in time is silent, rather than the owner late.
    pub(super) fn silence_is_conclusive(&self) -> bool {
        self.lag < SILENCE_UNCERTAIN_LAG
    }

    /// Returns whether new jobs are accepted.
    pub(super) fn accepts_jobs(&self) -> bool {
        !self.refuses_jobs
    }

    /// Returns the time added to the usual pause between two polls of a worker with runs.
    pub(super) fn poll_pause(&self) -> Duration {
        (self.lag * POLL_PAUSE_FACTOR).min(MAX_POLL_PAUSE)
    }

    /// Returns the same for a worker that runs short tasks, whose room waits for the poll.
    pub(super) fn poll_pause_of_short_tasks(&self) -> Duration {
        let excess = self.lag.saturating_sub(SHORT_TASKS_POLL_LAG);
        (excess * POLL_PAUSE_FACTOR).min(MAX_POLL_PAUSE)
    }

    /// Records the current lag. Returns whether jobs are accepted, if that changed.
    pub(super) fn record_lag(&mut self, lag: Duration, now: Time) -> Option<bool> {
        let gap_s = now.since(self.measured_at).as_secs_f64();
        self.measured_at = now;
        let decayed = self.lag.mul_f64((-gap_s / LAG_DECAY_TIME.as_secs_f64()).exp());
        self.lag = lag.max(decayed);
        self.starts_per_pass = match self.starts_per_pass {
            _ if self.lag >= STARTS_STOP_LAG => 0,
            0 if self.lag < STARTS_RESUME_LAG => RESUMED_STARTS_PER_PASS,
            starts if self.lag < STARTS_GROW_LAG => {
                starts.saturating_add(starts / STARTS_GROWTH_DIVISOR)
            }
            starts => starts,
        };
        let accepted_jobs_before = self.accepts_jobs();
        self.refuses_jobs =
            self.lag >= if self.refuses_jobs { JOBS_RESUME_LAG } else { JOBS_REFUSE_LAG };
        (accepted_jobs_before != self.accepts_jobs()).then_some(self.accepts_jobs())
    }
}

#[cfg(test)]
mod tests;
