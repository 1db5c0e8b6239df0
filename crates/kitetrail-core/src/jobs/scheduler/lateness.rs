//! Classifies how far a job is behind the target time of its queue.

use super::super::job::Job;
use crate::Time;

/// The multiple of the queue's target time after which a job is hopeless: the caller then
/// has little use for its result.
const HOPELESS_FACTOR: u32 = 3;

/// The highest penalty ([`Headroom::added_penalty`](super::headroom::Headroom::added_penalty)) that a
/// best-effort task may add to serving tasks on the worker where it starts; above it the task waits
/// for a better worker. Best-effort tasks can wait, serving tasks cannot.
const MAX_ADDED_PENALTY: f64 = 0.8;
/// The same for a task of a hopeless job, which must not wait forever where services are always
/// busy. Serving tasks are still kept at their target by slowing the best-effort task.
const MAX_ADDED_PENALTY_HOPELESS: f64 = 4.0;

/// How far a job is behind the target time of its queue. Jobs that can still complete in time go
/// first: they are worth most, and under overload the late jobs would make all others late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lateness {
    InTime,
    Late,
    /// Later than [`HOPELESS_FACTOR`] times the target time.
    Hopeless,
}

impl Lateness {
    pub(super) fn of(job: &Job, now: Time) -> Self {
        let target = job.due_at.since(job.accepted_at);
        match now.since(job.accepted_at) {
            _ if job.is_long_running() || job.spec.schedule.is_some() => Self::InTime,
            waited if waited <= target => Self::InTime,
            waited if waited <= target * HOPELESS_FACTOR => Self::Late,
            _ => Self::Hopeless,
        }
    }

    /// Returns the highest penalty that a best-effort task may add on the worker where it starts.
    pub(super) fn max_added_penalty(self) -> f64 {
        match self {
            Self::InTime | Self::Late => MAX_ADDED_PENALTY,
            Self::Hopeless => MAX_ADDED_PENALTY_HOPELESS,
        }
    }
}

/// The order in which jobs of the same priority are placed, first variant first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PlacementRank {
    /// Jobs that can complete in time, and long-running jobs that ran before. How long best-effort
    /// tasks take depends on what they are left, so their jobs count as such until they are late.
    InTime,
    /// Long-running jobs that never ran. They occupy their room for long, so jobs that can complete
    /// in time go first.
    NewLongRunning,
    /// Jobs whose result is worth little by now. Long-running jobs go before them: on a fleet that
    /// lost many of its workers, late jobs would otherwise keep long-running jobs waiting without
    /// end.
    Late,
    /// Jobs whose result is worth even less.
    Hopeless,
}

impl PlacementRank {
    pub(super) fn of(job: &Job, now: Time) -> Self {
        match Lateness::of(job, now) {
            _ if job.is_long_running() && !job.has_started && !job.inherited => {
                Self::NewLongRunning
            }
            Lateness::InTime if job.has_best_effort_tasks() || job.can_be_in_time(now) => {
                Self::InTime
            }
            Lateness::InTime | Lateness::Late => Self::Late,
            Lateness::Hopeless => Self::Hopeless,
        }
    }
}
