//! A run on a worker, as believed.

use super::{
    scheduler::{filter::Estimate, tails::ImageNo},
    spec::StepSpec,
};
use crate::{Resources, Time};

/// The pace of a run that was told none, in percent of its speed.
pub(super) const FULL_PACE_PERCENT: u8 = 100;
/// Stands for a pace that is not known. It differs from every pace, so the run is told anew.
pub(super) const UNKNOWN_PACE_PERCENT: u8 = u8::MAX;

/// A task that lasts is at work at this percent, as the platform defines it.
const AT_WORK_PERCENT: u32 = 100;

/// How far the order to start a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The order is held back until it is kept that it leaves.
    Unkept,
    /// The order waits or is on its way.
    Ordered,
    /// The order was not answered: it may run, now or later.
    Doubtful {
        /// A report under this token or a higher one tells for good.
        settled_by: u64,
    },
    /// It runs, confirmed at the given moment.
    Running(Time),
}

/// How the percent of a run has risen.
#[derive(Debug, Clone, Copy)]
pub(super) struct Progress {
    /// Its percent when it was first heard of: above 0 if it went on from a checkpoint.
    pub(super) from_percent: u32,
    /// The highest percent that was seen.
    pub(super) percent: u32,
    /// When it rose last, or the run began.
    pub(super) rose_at: Time,
}

impl Progress {
    pub(super) fn new(now: Time) -> Self {
        Self { from_percent: 0, percent: 0, rose_at: now }
    }
}

/// A run on a worker, as believed.
#[derive(Debug, Clone)]
pub(super) struct RunThere {
    pub(super) run: u32,
    pub(super) phase: Phase,
    pub(super) size: Resources,
    /// It uses the processor time that others leave.
    pub(super) fills: bool,
    /// It was told to stop.
    pub(super) stopping: bool,
    /// An earlier owner started it: it had begun by then.
    pub(super) adopted: bool,
    /// Workers crashed under its task.
    pub(super) suspected: bool,
    /// Nothing is started beside it.
    pub(super) alone: bool,
    pub(super) keeps_progress: bool,
    pub(super) lasts: bool,
    /// Given if it serves users.
    pub(super) tail_target_ms: Option<u64>,
    pub(super) image: ImageNo,
    /// How much of its work is done, as reported last, in percent.
    pub(super) percent: u32,
    pub(super) progress: Progress,
    /// As reported last: the tail in milliseconds if it serves, else the processor time in use in
    /// thousandths of a core.
    pub(super) gauge: Option<u32>,
    /// The share of its speed that it was last told, in percent.
    pub(super) paced_percent: u8,
    /// For a run that serves: the stress of its own load.
    pub(super) own_stress: Estimate,
    /// When its gauge was learned from.
    pub(super) learned_at: Option<Time>,
    /// Since when every report shows its tail above its target.
    pub(super) over_since: Option<Time>,
}

impl RunThere {
    /// A run whose order to start has not left yet.
    pub(super) fn new(run: u32, spec: &StepSpec, image: ImageNo, now: Time) -> Self {
        Self {
            run,
            phase: Phase::Ordered,
            size: spec.size,
            fills: spec.fills,
            stopping: false,
            adopted: false,
            suspected: false,
            alone: false,
            keeps_progress: spec.keeps_progress,
            lasts: spec.lasts,
            tail_target_ms: spec.tail_target_ms,
            image,
            percent: 0,
            progress: Progress::new(now),
            gauge: None,
            paced_percent: FULL_PACE_PERCENT,
            own_stress: Estimate::own(),
            learned_at: None,
            over_since: None,
        }
    }

    /// Whether it serves users, so that its tail counts.
    pub(super) fn serves(&self) -> bool {
        self.tail_target_ms.is_some()
    }

    pub(super) fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running(_))
    }

    /// Whether it is at work, as its worker said last, and was not told to stop.
    pub(super) fn is_at_work(&self) -> bool {
        let started = !self.lasts || self.percent >= AT_WORK_PERCENT;
        self.is_running() && !self.stopping && started
    }
}
