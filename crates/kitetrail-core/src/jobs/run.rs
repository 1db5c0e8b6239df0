//! A run on a worker, as far as the scheduler knows.

use std::time::Duration;

use super::{
    scheduler::{LoadForecast, filter::Estimate, run_pace::RunPace, tails::ImageNo},
    spec::{StepSpec, WorkKind},
};
use crate::{Resources, Time};

/// The pace of a run that is not throttled, in percent of full speed.
pub(super) const FULL_PACE_PERCENT: u8 = 100;
/// An unknown pace. It differs from every valid pace, so the scheduler sends the pace again.
pub(super) const UNKNOWN_PACE_PERCENT: u8 = u8::MAX;

/// The percent at which a long-running task is ready, as the platform defines.
const READY_PERCENT: u32 = 100;

/// The state of the order that starts a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The order is held back until the intent to send it is stored.
    Unpersisted,
    /// The order is queued or was sent.
    Ordered,
    /// The order was not answered: the run may have started, or may still start.
    StartUnanswered {
        /// A report for this fencing token or a higher one shows for certain whether it runs.
        settling_token: u64,
    },
    /// The run was confirmed at this time.
    Running(Time),
}

/// The progress of a run over time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Progress {
    /// The percent in the first report: above 0 if the run continued from a checkpoint.
    pub(super) from_percent: u32,
    /// The highest percent reported so far.
    pub(super) percent: u32,
    /// The time of the last increase, or of the start of the run.
    pub(super) rose_at: Time,
}

impl Progress {
    pub(super) fn new(now: Time) -> Self {
        Self { from_percent: 0, percent: 0, rose_at: now }
    }
}

/// A run on a worker, as far as the scheduler knows.
#[derive(Debug, Clone)]
pub(super) struct PlacedRun {
    pub(super) run: u32,
    pub(super) phase: Phase,
    /// When the run took its room.
    pub(super) placed_at: Time,
    /// How long its start order waited before it was sent, once it was confirmed.
    pub(super) queued: Option<Duration>,
    /// The worker's clock in the confirmation of its start, in milliseconds.
    pub(super) started_clock_ms: Option<u64>,
    pub(super) size: Resources,
    /// Whether the run is best-effort: it uses the processor time that other runs leave.
    pub(super) is_best_effort: bool,
    /// Whether the run is ordered to stop.
    pub(super) stopping: bool,
    /// Whether an earlier owner started the run, so that it began before its confirmation here.
    pub(super) started_by_predecessor: bool,
    /// Whether workers crashed while they ran this task.
    pub(super) suspected: bool,
    /// Whether no other run is started on the worker.
    pub(super) alone: bool,
    pub(super) keeps_progress: bool,
    pub(super) is_long_running: bool,
    /// The target of the tail latency, if the run is serving.
    pub(super) tail_target_ms: Option<u64>,
    pub(super) image: ImageNo,
    /// The share of work done in the last report, in percent.
    pub(super) percent: u32,
    pub(super) progress: Progress,
    /// Its progress compared with others of its kind.
    pub(super) pace: RunPace,
    /// The gauge in the last report: the tail latency in milliseconds if the run is
    /// serving, else the processor time in use, in thousandths of a core.
    pub(super) gauge: Option<u32>,
    /// The pace that was last ordered, in percent of full speed.
    pub(super) paced_percent: u8,
    /// The estimated stress from its own load, for a serving run.
    pub(super) own_stress: Estimate,
    /// The forecast of that stress, if there is one.
    pub(super) load_forecast: Option<LoadForecast>,
    /// The time at which its gauge was last used for learning.
    pub(super) learned_at: Option<Time>,
    /// The time since which every report has shown the tail latency above its target.
    pub(super) above_target_since: Option<Time>,
}

impl PlacedRun {
    /// Creates a run whose start order has not been sent yet.
    pub(super) fn new(run: u32, spec: &StepSpec, image: ImageNo, now: Time) -> Self {
        Self {
            run,
            phase: Phase::Ordered,
            placed_at: now,
            queued: None,
            started_clock_ms: None,
            size: spec.size,
            is_best_effort: spec.best_effort,
            stopping: false,
            started_by_predecessor: false,
            suspected: false,
            alone: false,
            keeps_progress: spec.keeps_progress,
            is_long_running: spec.long_running,
            tail_target_ms: spec.tail_target_ms,
            image,
            percent: 0,
            progress: Progress::new(now),
            pace: RunPace::default(),
            gauge: None,
            paced_percent: FULL_PACE_PERCENT,
            own_stress: Estimate::own_prior(),
            load_forecast: None,
            learned_at: None,
            above_target_since: None,
        }
    }

    /// Returns whether the run is serving (latency-critical).
    pub(super) fn is_serving(&self) -> bool {
        self.tail_target_ms.is_some()
    }

    pub(super) fn kind(&self) -> WorkKind {
        match (self.is_best_effort, self.is_long_running) {
            (true, _) => WorkKind::BestEffort,
            (false, true) => WorkKind::LongRunning,
            (false, false) => WorkKind::Short,
        }
    }

    pub(super) fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running(_))
    }

    /// Returns whether the run was ready in the worker's last report and is not ordered to stop.
    pub(super) fn reports_ready(&self) -> bool {
        let ready = !self.is_long_running || self.percent >= READY_PERCENT;
        self.is_running() && !self.stopping && ready
    }
}
