//! How far a job is behind what its queue promises.

use super::super::job::Job;
use crate::Time;

/// A job that takes more than so many times what its queue promises is worth little to its caller.
const LATEST: u32 = 3;

/// How far a job is behind what its queue promises. What can still be in time goes first: it is
/// worth most, and under overload the late ones would make all others late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lateness {
    InTime,
    Late,
    /// Later than [`LATEST`] times what was promised.
    Hopeless,
}

impl Lateness {
    pub(super) fn of(job: &Job, now: Time) -> Self {
        let promised = job.due_at.since(job.accepted_at);
        let lasts = job.spec.steps.iter().any(|step| step.lasts);
        match now.since(job.accepted_at) {
            _ if lasts || job.spec.schedule.is_some() => Self::InTime,
            waited if waited <= promised => Self::InTime,
            waited if waited <= promised * LATEST => Self::Late,
            _ => Self::Hopeless,
        }
    }
}
