//! How much harm a task that fills may add to services where it is started.
//!
//! Answers batch work beside services whose load swings. While its job has time left, a task waits for a place where it does little;
//! the less time is left, the more it may do. So a fleet with little to do spares its services, and one where work queues up
//! uses the places that it has, without a figure for how loaded it is.

use super::{super::job::Job, lateness::Lateness};
use crate::Time;

/// The most harm ([`Headroom::added_harm`](super::headroom::Headroom::added_harm)) that a task may add whose job has all its time left.
const LEAST_LIMIT: f64 = 0.4;
/// The same once no time is left.
const MOST_LIMIT: f64 = 0.8;
/// The same for a job that is hopeless: it must not wait for ever where services are busy all the time. What
/// serves is still kept at its target by slowing the task.
const HOPELESS_LIMIT: f64 = 4.0;

/// The most harm that a task which fills may add where it is started.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(super) struct HarmLimit(f64);

impl HarmLimit {
    pub(super) fn of(job: &Job, now: Time) -> Self {
        match Lateness::of(job, now) {
            Lateness::InTime => {
                let left = job.slack_left(now);
                Self(MOST_LIMIT + (LEAST_LIMIT - MOST_LIMIT) * left)
            }
            Lateness::Late => Self(MOST_LIMIT),
            Lateness::Hopeless => Self(HOPELESS_LIMIT),
        }
    }

    /// Whether a task may add so much harm.
    pub(super) fn allows(self, harm: f64) -> bool {
        harm <= self.0
    }
}
