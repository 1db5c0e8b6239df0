//! Decides whether a new job waits for the store or is refused at once.
//!
//! The load is a store that is slow or silent, or an owner whose batches wait for processor time.
//! Callers need an answer within their own time, and after a refusal enough time to return. See
//! `docs/design/hard-load.md`.

use std::time::Duration;

use super::{names::JobId, retry_delay::RetryDelay};

/// The time after which a batch without an answer shows that the store may be silent. A caller with
/// 3 s, the usual time, can be refused this late and still return once.
const SILENT_AFTER: Duration = Duration::from_millis(1_000);
/// The multiple of the usual time for a batch after which the store may be silent: a slow store
/// varies by less.
const SILENT_BATCH_FACTOR: u32 = 2;
/// The time for an answer to pass from the owner to the caller's box, which may be slow itself.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// The time for a caller that returns to connect to a box, and for the box to call the owner.
const RETURN_TIME: Duration = Duration::from_millis(200);
/// The number of batches that a returning caller's job waits for: the one in flight and its own.
const BATCHES_AT_RETURN: u32 = 2;

/// What happens to a submitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandInDecision {
    /// It waits for its batch, which is expected in time.
    Wait,
    /// It waits although the store is silent, since its caller has no time to return.
    WaitLast,
    /// It is refused, and its caller is asked to return.
    Refuse(RetryDelay),
}

impl HandInDecision {
    /// Returns the decision as it is logged and counted.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::WaitLast => "wait-last",
            Self::Refuse(_) => "refuse",
        }
    }

    /// Returns the time after which the caller is asked to return.
    pub fn retry_after(self) -> Option<RetryDelay> {
        match self {
            Self::Wait | Self::WaitLast => None,
            Self::Refuse(delay) => Some(delay),
        }
    }
}

/// What is known about the time that a new job needs to be persisted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HandInForecast {
    /// How late the owner handles events.
    pub lag: Duration,
    /// The time that batches take, by the recent ones.
    pub batch_time: Duration,
    /// The time since the batch in flight was sent, if there is one.
    pub in_flight_for: Option<Duration>,
    /// The number of full batches before the one with the job.
    pub batches_before: u32,
    /// Whether callers that can't return are refused at once, too, while the store is silent.
    pub refuses_while_silent: bool,
}

impl HandInForecast {
    /// Returns whether the store has been without an answer for longer than a slow one would be.
    pub fn is_store_silent(&self) -> bool {
        let silent_after = SILENT_AFTER.max(self.batch_time * SILENT_BATCH_FACTOR);
        self.in_flight_for.is_some_and(|in_flight_for| in_flight_for >= silent_after)
    }

    /// Returns the expected time until the caller's box gets the answer, if the store answers.
    pub fn expected_time(&self) -> Duration {
        let in_flight_for = self.in_flight_for.unwrap_or_default();
        let batch_time = self.batch_time.max(in_flight_for);
        let wait_for_in_flight = match self.in_flight_for {
            Some(in_flight_for) => batch_time - in_flight_for,
            None => Duration::ZERO,
        };
        let batches = batch_time.saturating_mul(self.batches_before.saturating_add(1));
        self.lag + wait_for_in_flight + batches + ANSWER_TIME
    }

    /// Decides about a job that is submitted by a caller with this much time left.
    pub fn decide(&self, time_left: Duration, job: JobId) -> HandInDecision {
        match self.review(time_left, job) {
            HandInDecision::Wait if self.expected_time() > time_left => self.refuse(time_left, job),
            decision => decision,
        }
    }

    /// Decides again about a job that waits for its batch.
    ///
    /// While the store answers, the job keeps its place if it can be persisted in time at all: an
    /// estimate that varies from batch to batch must not refuse what was accepted.
    pub fn review(&self, time_left: Duration, job: JobId) -> HandInDecision {
        match self.is_store_silent() {
            _ if time_left < self.shortest_time() => self.refuse(time_left, job),
            false => HandInDecision::Wait,
            true if self.refuses_while_silent || self.can_return(time_left) => {
                self.refuse(time_left, job)
            }
            true => HandInDecision::WaitLast,
        }
    }

    /// Returns the refusal of a job whose caller has this much time left.
    pub fn refuse(&self, time_left: Duration, job: JobId) -> HandInDecision {
        let earliest = match self.in_flight_for {
            // Nothing is known about the end of a silence, so it is expected to last as long again.
            Some(silent_for) if self.is_store_silent() => silent_for,
            _ => self.lag + self.batch_time,
        };
        let latest = time_left.saturating_sub(self.time_at_return());
        HandInDecision::Refuse(RetryDelay::choose(earliest, latest, job))
    }

    /// Returns whether a caller with this much time left can return after the shortest delay.
    fn can_return(&self, time_left: Duration) -> bool {
        time_left >= RetryDelay::SHORTEST.duration() + self.time_at_return()
    }

    /// Returns the time that a returning caller needs once the store answers again.
    fn time_at_return(&self) -> Duration {
        RETURN_TIME + self.lag + self.batch_time * BATCHES_AT_RETURN
    }

    /// Returns the time until the answer if the batch in flight is answered now and the job is in
    /// the next one.
    fn shortest_time(&self) -> Duration {
        self.lag + self.batch_time + ANSWER_TIME
    }
}
