//! The time limits of calls to the owner.

use std::time::{Duration, Instant};

use kitetrail_core::jobs::{JobId, RetryDelay};

/// The longest time that a call waits unless its caller's time is known to the owner. Long enough
/// for a regular handover (about 100 ms) and most takeovers, short enough that the caller still has
/// time to call another box.
pub(super) const MAX_WAIT: Duration = Duration::from_millis(1_300);
/// The longest time that a submission waits, which bounds the memory for waiting jobs. Several times
/// as long as the store is usually silent.
pub(super) const MAX_SUBMISSION_WAIT: Duration = Duration::from_millis(15_000);
/// The timeout of one attempt of such a call. The owner answers within about 20 ms if the store
/// does.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(900);
/// The time that a returning caller needs to connect to another box, and that box to submit the job.
const TIME_AT_RETURN: Duration = Duration::from_millis(300);

/// The time limits of a call to the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallTimes {
    /// The latest time of the answer.
    deadline: Instant,
    /// The timeout of one attempt.
    attempt_timeout: Duration,
    /// The time from which a call that no owner received ends if its caller can return.
    search_until: Instant,
}

impl CallTimes {
    /// Creates the limits of a call that waits for a fixed time, unless its caller has less left.
    pub(super) fn fixed(started: Instant, caller_wait: Duration) -> Self {
        let deadline = started + caller_wait.min(MAX_WAIT);
        Self { deadline, attempt_timeout: ATTEMPT_TIMEOUT, search_until: deadline }
    }

    /// Creates the limits of a call that waits as long as its caller.
    pub(super) fn of_caller(started: Instant, caller_wait: Duration) -> Self {
        let caller_wait = caller_wait.min(MAX_SUBMISSION_WAIT);
        Self {
            deadline: started + caller_wait,
            attempt_timeout: MAX_SUBMISSION_WAIT,
            search_until: started + caller_wait.min(MAX_WAIT),
        }
    }

    /// Returns the limits with a deadline that is not after `end`.
    pub(super) fn ending_by(self, end: Instant) -> Self {
        Self { deadline: self.deadline.min(end), ..self }
    }

    /// Returns the latest time of the answer.
    pub(super) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the timeout of an attempt that starts now.
    pub(super) fn attempt_timeout(&self, now: Instant) -> Duration {
        self.time_left(now).min(self.attempt_timeout)
    }

    /// Returns the time until the deadline.
    pub(super) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns whether the search for an owner ends, as the caller had better return later.
    pub(super) fn gives_up_search(&self, now: Instant) -> bool {
        now >= self.search_until
            && self.time_left(now) >= RetryDelay::SHORTEST.duration() + TIME_AT_RETURN
    }

    /// Returns the time after which the caller is asked to return if no owner received its call.
    pub(super) fn retry_after(&self, now: Instant, job: JobId) -> RetryDelay {
        let latest = self.time_left(now).saturating_sub(TIME_AT_RETURN);
        RetryDelay::choose(Duration::ZERO, latest, job)
    }
}

#[cfg(test)]
mod tests;
