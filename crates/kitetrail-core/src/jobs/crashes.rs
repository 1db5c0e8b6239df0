//! Crashes of the workers that ran a task, and the evidence that the task caused them.

use std::{mem, time::Duration};

use serde::{Deserialize, Serialize};

use super::names::{Incarnation, InstanceKey, WorkerName};

/// The weight of a crash right after the task had started on the worker.
const IMMEDIATE_CRASH_WEIGHT: u32 = 20;
/// The weight of a crash that came later, or together with crashes of other workers.
const CRASH_WEIGHT: u32 = 15;
/// The weight of a crash if the start of the task was not confirmed. The worker may have crashed
/// before the start.
const UNCONFIRMED_START_WEIGHT: u32 = 12;
/// The total weight at which the task counts as the cause and is not started again: three immediate
/// crashes, four others, or five after unconfirmed starts. The platform tolerates five crashes, two
/// of them after the third.
const WEIGHT_LIMIT: u32 = 60;
/// The same limit after the loss of an owner that may have known of one more crash, or of two if it
/// had started a copy.
const WEIGHT_LIMIT_AFTER_OWNER_LOSS: u32 = 45;
/// The number of consecutive losses, proven crashes or not, after which a task waits until it is
/// known what became of its workers: the crashes that the platform tolerates.
const MAX_LOSSES_BEFORE_PROOF: usize = 5;
/// The number of crashes that the loss of an owner may hide: one, or two if it had started a copy.
const MAX_MISSED_CRASHES: usize = 2;
/// How long such a task waits; the time doubles with each further loss. Crashed workers return
/// sooner, and those that never return prove nothing.
const PROOF_TIMEOUT: Duration = Duration::from_secs(60);
/// The number of crashes in a row, one of them immediate, after which the task starts without its
/// checkpoint, since the checkpoint may be the cause. One or two attempts are left then.
const CRASHES_TO_DROP_CHECKPOINT: usize = 2;
/// The number of crashes in a row after which the task runs alone, even if it had run for a while
/// each time.
const CRASHES_TO_RUN_ALONE: usize = 2;
/// The largest difference between the run times of two crashes that the same task may have caused,
/// in milliseconds. The times of starts and crashes are known to about 100 ms, and less precisely
/// if the owner lags.
const MAX_RUN_TIME_DIFFERENCE_MS: u64 = 300;
/// How much longer than its last lost run a task must run until it is no longer a suspect, in
/// milliseconds.
const CLEARED_AFTER_MS: u64 = 1_000;
/// The assumed upper bound of a run time, in milliseconds, if only the start of the run is stored.
const UNKNOWN_RUN_TIME_MS: u64 = 500;

/// How strongly a crash suggests that a task on the worker caused it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CrashEvidence {
    /// The worker stopped answering right after the task had started on it.
    Immediate,
    /// The same, but other workers crashed at that moment too.
    WithOthers,
    /// The task is not known to have run there for long.
    JustStarted,
    /// The start of the task was not confirmed: the worker may have crashed before it.
    Unconfirmed,
    /// The task had run there for a while, and no other task had just been started.
    AfterLongRun,
}

impl CrashEvidence {
    /// Returns the value in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Immediate => "fell-at-once",
            Self::WithOthers => "others-fell",
            Self::JustStarted => "just-started",
            Self::Unconfirmed => "unconfirmed",
            Self::AfterLongRun => "ran-there",
        }
    }

    fn weight(self) -> u32 {
        match self {
            Self::Immediate => IMMEDIATE_CRASH_WEIGHT,
            Self::WithOthers | Self::JustStarted | Self::AfterLongRun => CRASH_WEIGHT,
            Self::Unconfirmed => UNCONFIRMED_START_WEIGHT,
        }
    }
}

/// The bounds of the time that a run had run for when its worker crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTimeBounds {
    /// The lower bound, in milliseconds.
    pub least_ms: u64,
    /// The upper bound, in milliseconds.
    pub most_ms: u64,
}

impl RunTimeBounds {
    /// The bounds for a run of which only the stored start is known.
    pub const UNKNOWN: Self = Self { least_ms: 0, most_ms: UNKNOWN_RUN_TIME_MS };

    /// Returns whether both runs may have run equally long, within [`MAX_RUN_TIME_DIFFERENCE_MS`].
    fn is_similar(self, other: Self) -> bool {
        self.least_ms <= other.most_ms + MAX_RUN_TIME_DIFFERENCE_MS
            && other.least_ms <= self.most_ms + MAX_RUN_TIME_DIFFERENCE_MS
    }
}

/// A run whose start was stored before it was ordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedStart {
    /// The number of the run.
    pub run: u32,
    /// The worker that was to run it.
    pub worker: WorkerName,
    /// The incarnation of the worker, if the platform reports it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
}

impl PersistedStart {
    /// Creates the entry of a run that is about to be started on a worker instance.
    pub fn new(run: u32, InstanceKey { id, incarnation }: InstanceKey) -> Self {
        Self { run, worker: id, incarnation }
    }

    /// Returns the worker instance that was to run it.
    pub fn instance(&self) -> InstanceKey {
        InstanceKey { id: self.worker.clone(), incarnation: self.incarnation }
    }
}

/// A worker that became silent with a run of the task, and of which it is not known whether it
/// crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnresolvedLoss {
    /// The worker.
    pub worker: WorkerName,
    /// The incarnation of the worker, if the platform reports it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// The address of the worker. An answer of another instance there proves the crash.
    pub address: String,
    /// How strongly the loss suggests that the task caused it, if the worker crashed.
    pub evidence: CrashEvidence,
    /// The run time, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ran: Option<RunTimeBounds>,
}

impl UnresolvedLoss {
    /// Returns the worker instance that became silent.
    pub fn instance(&self) -> InstanceKey {
        InstanceKey { id: self.worker.clone(), incarnation: self.incarnation }
    }
}

/// The crashes of the workers that ran a task, in consecutive runs of about the same length.
///
/// A task that crashes its workers does so at the same point of its work, whereas crashes with
/// other causes hit a task at any point. The crashes are stored with the job, so that a new owner
/// continues the count.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// The workers that are known to have crashed, in order. A worker that restarted under its id and crashed again
    /// is listed twice.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workers: Vec<WorkerName>,
    /// The total weight of these crashes.
    #[serde(default)]
    pub weight: u32,
    /// Whether one of the workers crashed right after the start, and no other worker at that
    /// moment.
    #[serde(default)]
    pub fell_at_once: bool,
    /// Whether an owner was lost that may have known of further crashes.
    #[serde(default)]
    pub may_miss_some: bool,
    /// The run time of the last of these runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ran: Option<RunTimeBounds>,
    /// The run that may crash its worker next. A new owner that finds this entry and the worker
    /// crashed counts the crash.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub begun: Option<PersistedStart>,
    /// The losses that may have been crashes, in order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unresolved: Vec<UnresolvedLoss>,
}

impl TaskCrashes {
    /// Returns whether there are neither crashes nor losses that may have been, nor a stored start.
    pub fn is_empty(&self) -> bool {
        !self.is_suspected() && self.begun.is_none()
    }

    /// Returns whether starts of the task must be stored, so that the next owner knows of a crash
    /// that this one does not notice.
    pub fn needs_stored_starts(&self) -> bool {
        let suggests_task = |loss: &UnresolvedLoss| loss.evidence != CrashEvidence::AfterLongRun;
        !self.workers.is_empty() || self.unresolved.iter().any(suggests_task) || self.may_miss_some
    }

    /// Returns whether the task may have crashed a worker.
    pub fn is_suspected(&self) -> bool {
        !self.workers.is_empty() || !self.unresolved.is_empty()
    }

    /// Returns the size of the stored crashes, in bytes.
    pub(super) fn stored_bytes(&self) -> usize {
        // The crashes contain only strings and numbers, so serialisation can't fail.
        serde_json::to_vec(self).map_or(usize::MAX, |json| json.len())
    }

    /// Returns the total weight if all unresolved losses were crashes.
    pub(super) fn possible_weight(&self) -> u32 {
        self.weight + self.unresolved.iter().map(|loss| loss.evidence.weight()).sum::<u32>()
    }

    /// Returns whether the task must run alone on its worker.
    pub fn runs_alone(&self) -> bool {
        let is_immediate = |loss: &UnresolvedLoss| loss.evidence == CrashEvidence::Immediate;
        self.fell_at_once
            || self.workers.len() >= CRASHES_TO_RUN_ALONE
            || self.unresolved.iter().any(is_immediate)
    }

    /// Returns whether the task starts without its checkpoint.
    pub fn drops_checkpoint(&self) -> bool {
        self.fell_at_once && self.workers.len() >= CRASHES_TO_DROP_CHECKPOINT
    }

    /// Returns whether the task counts as the cause of the crashes, so that it is not started
    /// again.
    pub fn is_blamed(&self) -> bool {
        let max_weight =
            if self.may_miss_some { WEIGHT_LIMIT_AFTER_OWNER_LOSS } else { WEIGHT_LIMIT };
        self.weight >= max_weight
    }

    /// Returns whether a run of this length shows that the task does not crash its workers.
    pub fn is_cleared_by(&self, ran_ms: u64) -> bool {
        let lost_runs = self.unresolved.iter().filter_map(|loss| loss.ran).chain(self.ran);
        let longest_ms = lost_runs.map(|ran| ran.most_ms).max().unwrap_or(0);
        self.is_suspected() && ran_ms >= longest_ms + CLEARED_AFTER_MS
    }

    /// Returns for how long the task must wait for proof of what became of its workers, `None` if
    /// it may start. It would cost too many workers if it had crashed all of them.
    pub fn proof_timeout(&self) -> Option<Duration> {
        let missed = if self.may_miss_some { MAX_MISSED_CRASHES } else { 0 };
        let losses = self.workers.len() + self.unresolved.len() + missed;
        let excess = losses.checked_sub(MAX_LOSSES_BEFORE_PROOF)?;
        (!self.unresolved.is_empty())
            .then(|| PROOF_TIMEOUT.saturating_mul(2_u32.saturating_pow(excess as u32)))
    }

    /// Records that a worker became silent with a run of the task. Losses after runs of another
    /// length have another cause.
    pub fn record_loss(&mut self, loss: UnresolvedLoss) {
        let has_same_cause = |known: &UnresolvedLoss| {
            known.ran.zip(loss.ran).is_none_or(|(known, ran)| known.is_similar(ran))
        };
        self.unresolved
            .retain(|known| known.instance() != loss.instance() && has_same_cause(known));
        // The loss stands for the stored start.
        self.begun.take_if(|begun| begun.instance() == loss.instance());
        self.unresolved.push(loss);
    }

    /// Removes and returns the loss of a worker instance, now that it is known what became of it.
    pub fn take_loss(&mut self, instance: &InstanceKey) -> Option<UnresolvedLoss> {
        let index = self.unresolved.iter().position(|loss| loss.instance() == *instance)?;
        Some(self.unresolved.remove(index))
    }

    /// Counts a crash. If the run time differs from that of the crashes before, the count
    /// restarts.
    pub fn record_crash(
        &mut self,
        instance: &InstanceKey,
        evidence: CrashEvidence,
        ran: Option<RunTimeBounds>,
    ) {
        let differs = |(last, ran): (RunTimeBounds, RunTimeBounds)| !last.is_similar(ran);
        if self.ran.zip(ran).is_some_and(differs) {
            let unresolved = mem::take(&mut self.unresolved);
            self.clear();
            self.unresolved = unresolved;
        }
        // A stored start may belong to a later run on another worker: that entry stays.
        self.begun.take_if(|begun| begun.instance() == *instance);
        self.workers.push(instance.id.clone());
        self.ran = ran.or(self.ran).or(Some(RunTimeBounds::UNKNOWN));
        self.fell_at_once |= evidence == CrashEvidence::Immediate;
        self.weight += evidence.weight();
    }

    /// Removes all crashes and losses. A stored start stays.
    pub fn clear(&mut self) {
        let begun = self.begun.take();
        *self = Self { begun, ..Self::default() };
    }
}
