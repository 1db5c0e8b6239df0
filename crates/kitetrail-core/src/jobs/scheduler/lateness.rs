//! How far a job is behind what its queue promises.

use super::super::job::Job;
use crate::Time;

/// A job that takes more than so many times what its queue promises is worth little to its caller.
const LATEST: u32 = 3;

/// The most harm ([`Room::added_harm`](super::room::Room::added_harm)) that a task that fills may add
/// where it is started: it waits for a better place instead. Batch work has some slack; a service
/// that is harmed has none.
const MOST_HARM: f64 = 0.8;
/// The same for a job that waited for so long that it is hopeless: it must not wait for ever where
/// services are busy all the time. What serves is still kept at its target by slowing the task.
const MOST_HARM_HOPELESS: f64 = 4.0;

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
        match now.since(job.accepted_at) {
            _ if job.lasts() || job.spec.schedule.is_some() => Self::InTime,
            waited if waited <= promised => Self::InTime,
            waited if waited <= promised * LATEST => Self::Late,
            _ => Self::Hopeless,
        }
    }

    /// The most harm that a task that fills may add where it is started.
    pub(super) fn most_harm(self) -> f64 {
        match self {
            Self::InTime | Self::Late => MOST_HARM,
            Self::Hopeless => MOST_HARM_HOPELESS,
        }
    }
}

/// In which order jobs of one priority are served: the first ones first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Turn {
    /// It can be in time, or lasted before.
    InTime,
    /// It is to last, and never ran. It takes its room for long, so work that can be in time goes first.
    LastsAnew,
    /// It is worth little to its caller by now. What lasts goes before it: on a fleet that has lost many of its
    /// workers, such jobs would keep what lasts waiting for as long as they are there.
    Late,
    /// The same, and less.
    Hopeless,
}

impl Turn {
    pub(super) fn of(job: &Job, now: Time) -> Self {
        match Lateness::of(job, now) {
            _ if job.lasts() && !job.begun && !job.inherited => Self::LastsAnew,
            Lateness::InTime => Self::InTime,
            Lateness::Late => Self::Late,
            Lateness::Hopeless => Self::Hopeless,
        }
    }
}
