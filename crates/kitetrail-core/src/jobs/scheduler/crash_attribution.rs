//! Attributes worker crashes to tasks and fails the jobs of tasks that keep crashing workers.
//!
//! Some tasks crash every worker that starts them. A crash ends all runs on the worker without any
//! report, so such a task would be restarted forever. The cause is identified from which runs had
//! just started, from how long runs had lasted before each crash, and by running suspects in
//! isolation.

use std::{sync::Arc, time::Duration};

use super::{
    super::{
        crashes::{CrashEvidence, RunTimeBounds},
        end_cause::EndCause,
        event::Action,
        instance::{InstanceEnd, InstanceNo, Listing, WorkerInstance},
        log_entry::LogEntry,
        names::{InstanceKey, TaskName, WorkerName},
        run::{Phase, PlacedRun},
    },
    Scheduler,
};
use crate::Time;

/// A run not confirmed to have lasted longer than this may have crashed its worker on starting.
/// Answers that confirm a successful start arrive 100 ms after it, or later if the owner lags.
const RECENT_START_WINDOW: Duration = Duration::from_millis(500);
/// A worker that falls silent this soon after a start may have been crashed by that start. For a
/// worker that crashes on its own every 30 s, one start in a hundred falls into this window.
const IMMEDIATE_CRASH_WINDOW: Duration = Duration::from_millis(300);
/// How long a suspect must have run before other runs may be placed beside it again.
const ISOLATION_PERIOD: Duration = Duration::from_millis(1_000);
/// The pause before the next start after the first crash; it doubles with each further crash. It is
/// short because crashes are detected after 3 s, and jobs that wait 3 s while there is room for
/// them count as lost.
const CRASH_BACKOFF: Duration = Duration::from_millis(200);
/// Workers that fall silent within this time of each other are considered lost together.
const SIMULTANEOUS_LOSS_WINDOW: Duration = Duration::from_millis(1_000);
/// The most other workers that may be lost together with one before a rack, zone or fleet-wide
/// failure is suspected instead of a task.
const MAX_INDEPENDENT_LOSSES: usize = 2;
/// How long a lost worker is remembered. It exceeds the downtime of workers that repeatedly fail
/// and recover.
const LOST_WORKER_RETENTION: Duration = Duration::from_millis(20_000);

/// A run that may have crashed its worker.
#[derive(Debug, Clone)]
pub(super) struct CrashSuspect {
    pub(super) task: TaskName,
    pub(super) evidence: CrashEvidence,
    /// The duration of the run; unknown if an earlier owner started it.
    pub(super) ran: Option<RunTimeBounds>,
}

impl CrashSuspect {
    /// Creates suspects for the tasks that an earlier owner recorded as about to start on a worker.
    /// The starts may not have been ordered.
    pub(super) fn from_recorded_starts(tasks: &[TaskName]) -> Vec<Self> {
        let evidence = match tasks.len() {
            1 => CrashEvidence::JustStarted,
            _ => CrashEvidence::Unconfirmed,
        };
        tasks.iter().map(|&task| Self { task, evidence, ran: None }).collect()
    }
}

/// A worker that became silent and whose instance has ended.
#[derive(Debug)]
pub(super) struct LostWorker {
    lost_at: Time,
    worker: WorkerName,
    address: String,
    /// The highest fencing token sent, or about to be sent, to the worker.
    token: u64,
}

/// The times at which the workers that are silent became so.
///
/// They are collected once for each time of the scheduler's clock: the leases of many workers may
/// expire at once.
#[derive(Debug, Default)]
pub(super) struct Silences {
    counted_at: Option<Time>,
    /// In order.
    since: Vec<Time>,
}

impl Silences {
    fn new(since: impl Iterator<Item = Time>, now: Time) -> Self {
        let mut since = since.collect::<Vec<_>>();
        since.sort_unstable();
        Self { counted_at: Some(now), since }
    }

    /// Returns the number of workers that became silent at about this time.
    fn count_around(&self, time: Time) -> usize {
        let is_earlier = |since: &Time| *since < time && !is_simultaneous(*since, time);
        let is_not_later = |since: &Time| *since < time || is_simultaneous(*since, time);
        self.since.partition_point(is_not_later) - self.since.partition_point(is_earlier)
    }
}

/// Returns whether two workers that became silent at these times are considered lost together.
fn is_simultaneous(a: Time, b: Time) -> bool {
    a.since(b) < SIMULTANEOUS_LOSS_WINDOW && b.since(a) < SIMULTANEOUS_LOSS_WINDOW
}

impl Scheduler {
    /// Returns the runs that may have crashed a worker; empty if it can't have crashed. `end` is how
    /// its instance ended, if it is known to have.
    pub(super) fn crash_suspects(
        &mut self,
        instance_no: InstanceNo,
        end: Option<InstanceEnd>,
    ) -> Vec<CrashSuspect> {
        let Some(instance) =
            self.instances.get(instance_no).filter(|instance| !instance.entry.draining)
        else {
            return Vec::new();
        };
        let mut suspects = CrashSuspect::from_recorded_starts(&instance.inherited_starts);
        suspects.extend(suspects_among(instance, self.now));
        if suspects.is_empty() {
            return suspects;
        }
        let with_others = self.lost_with_others(instance_no);
        let Some(instance) = self.instances.get(instance_no) else { return Vec::new() };
        // If the worker left, is only unreachable, or was lost together with others, runs that had
        // lasted a while are not implicated.
        let implicates_all = end != Some(InstanceEnd::Gone)
            && !matches!(instance.listing, Listing::Removed { .. })
            && !instance.is_closed_to_starts()
            && !with_others;
        suspects
            .retain(|suspect| implicates_all || suspect.evidence != CrashEvidence::AfterLongRun);
        for suspect in &mut suspects {
            if with_others && suspect.evidence == CrashEvidence::Immediate {
                suspect.evidence = CrashEvidence::WithOthers;
            }
        }
        suspects
    }

    /// Drops the runs of a silent worker whose lease has expired. Whether it crashed is not known.
    pub(super) fn drop_runs_of_silent_worker(&mut self, instance_no: InstanceNo) {
        let suspects = self.crash_suspects(instance_no, None);
        let never_answered = self.unconfirmed_instances.remove(&instance_no);
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        instance.inherited_starts.clear();
        let entry = Arc::clone(&instance.entry);
        self.drop_all_runs(instance_no, "its worker is silent and its lease has expired");
        self.unreported_workers.record_silent(&entry.key(), never_answered);
        self.record_losses(&entry, suspects);
    }

    /// Counts a crash against the tasks that may have caused it. Must be called after the runs of
    /// that instance were dropped.
    pub(super) fn record_crash(
        &mut self,
        worker: &InstanceKey,
        suspects: Vec<CrashSuspect>,
        why: &'static str,
    ) {
        for suspect in suspects {
            self.count_crash(worker, &suspect, why);
        }
    }

    fn count_crash(&mut self, worker: &InstanceKey, suspect: &CrashSuspect, why: &'static str) {
        let now = self.now;
        let name = suspect.task;
        let Some(job) = self.jobs.get_mut(&name.job).filter(|job| job.is_open()) else { return };
        let Some(task) = job.task_mut(name).filter(|task| !task.done) else { return };
        task.crashes.record_crash(worker, suspect.evidence, suspect.ran);
        task.persists_starts = true;
        let crashes = task.crashes.workers.len() as u32;
        if task.crashes.runs_alone() {
            task.not_before = Some(now + CRASH_BACKOFF * 2_u32.pow(crashes - 1));
        }
        let is_blamed = task.crashes.is_blamed();
        if task.crashes.drops_checkpoint() {
            job.drop_checkpoint(name);
        }
        self.actions.push(Action::Log(LogEntry::CrashCounted {
            task: name,
            worker: worker.id.clone(),
            evidence: suspect.evidence,
            why,
            ran: suspect.ran,
            crashes,
        }));
        self.record_task_progress(name);
        if is_blamed {
            self.fail_crashing_job(name);
        }
    }

    /// Fails a job because one of its tasks crashes workers.
    fn fail_crashing_job(&mut self, name: TaskName) {
        let task = self.task_mut(name);
        let workers = task.map(|task| task.crashes.workers.clone()).unwrap_or_default();
        self.actions.push(Action::Log(LogEntry::CrashingTaskFailed { task: name, workers }));
        self.end_job(name.job, EndCause::CrashesWorkers { task: name });
    }

    /// Checks the suspects that a worker reports as running. After a while others may run beside
    /// them, and later they are cleared.
    pub(super) fn check_suspects(&mut self, instance_no: InstanceNo) {
        let Some(instance) = self.instances.get(instance_no) else { return };
        let suspects = instance.runs().iter().filter(|(_, run)| run.suspected);
        let confirmed = suspects
            .filter_map(|(&task, run)| Some((task, run.run, instance.confirmed_run_time(run)?)));
        for (task, run, ran) in confirmed.collect::<Vec<_>>() {
            let cleared = self.clear_suspect(task, ran);
            let Some(instance) = self.instances.get_mut(instance_no) else { return };
            let Some(reported_run) = instance.run_mut(task, run) else { continue };
            reported_run.suspected &= !cleared;
            reported_run.alone &= ran < ISOLATION_PERIOD && !cleared;
            instance.free_capacity = None;
            self.placement_needed = true;
        }
    }

    /// Clears the crashes of a task that has run long enough, and returns whether it did.
    fn clear_suspect(&mut self, name: TaskName, ran: Duration) -> bool {
        let Some(task) = self.task_mut(name) else { return false };
        if !task.crashes.is_cleared_by(ran.as_millis() as u64) {
            return false;
        }
        task.crashes.clear();
        self.actions.push(Action::Log(LogEntry::SuspicionCleared { task: name }));
        self.record_task_progress(name);
        true
    }

    /// Returns whether several other workers became silent at about the same time as this one.
    fn lost_with_others(&mut self, instance_no: InstanceNo) -> bool {
        let now = self.now;
        if self.silences.counted_at != Some(now) {
            let times = self.instances.values().filter_map(|other| other.unanswered_since);
            self.silences = Silences::new(times, now);
        }
        let instance = self.instances.get(instance_no);
        let own_silence = instance.and_then(|instance| instance.unanswered_since);
        let lost_at = own_silence.unwrap_or(now);
        let silent = self.silences.count_around(lost_at);
        let silent = silent.saturating_sub(usize::from(own_silence.is_some()));
        let ended = self.lost_workers.iter().filter(|lost| is_simultaneous(lost.lost_at, lost_at));
        silent + ended.count() > MAX_INDEPENDENT_LOSSES
    }

    /// Records a lost worker, to detect simultaneous losses and for its later instances.
    pub(super) fn record_lost_worker(&mut self, instance: &WorkerInstance) {
        let now = self.now;
        self.lost_workers.retain(|lost| now.since(lost.lost_at) < LOST_WORKER_RETENTION);
        let lost_at = instance.unanswered_since.unwrap_or(now);
        let (worker, address) = (instance.id().clone(), instance.entry.address.clone());
        self.lost_workers.push(LostWorker { lost_at, worker, address, token: instance.token });
    }

    /// Returns the highest fencing token of a worker's recently ended instances.
    pub(super) fn lost_worker_token(&self, worker: &WorkerName) -> Option<u64> {
        let instances = self.lost_workers.iter().filter(|lost| lost.worker == *worker);
        instances.map(|lost| lost.token).max()
    }

    /// Returns whether a worker was recently lost at an address.
    pub(super) fn has_lost_worker_at(&self, address: &str) -> bool {
        self.lost_workers.iter().any(|lost| lost.address == address)
    }
}

/// Returns the runs that may have made a worker fall silent: recently started ones, or else all.
pub(super) fn suspects_among(instance: &WorkerInstance, now: Time) -> Vec<CrashSuspect> {
    let ordered = instance.runs().iter().filter(|&(&task, run)| instance.was_sent(task, run));
    let ordered = ordered.collect::<Vec<_>>();
    let any_started = ordered.iter().any(|(_, run)| is_recently_started(instance, run));
    let suspects =
        ordered.into_iter().filter(|(_, run)| !any_started || is_recently_started(instance, run));
    let suspect = |(&task, run): (&TaskName, &PlacedRun)| {
        let ran = run_duration_bounds(instance, run, now);
        let evidence = match any_started {
            false => CrashEvidence::AfterLongRun,
            true if !run.is_running() => CrashEvidence::Unconfirmed,
            true if u128::from(ran.most_ms) <= IMMEDIATE_CRASH_WINDOW.as_millis() => {
                CrashEvidence::Immediate
            }
            true => CrashEvidence::JustStarted,
        };
        CrashSuspect { task, evidence, ran: Some(ran) }
    };
    suspects.map(suspect).collect()
}

/// Returns whether a run may have started just before its worker became silent.
fn is_recently_started(instance: &WorkerInstance, run: &PlacedRun) -> bool {
    !run.started_by_predecessor
        && instance.confirmed_run_time(run).is_none_or(|ran| ran < RECENT_START_WINDOW)
}

/// Returns how long a run had lasted when its worker became silent.
fn run_duration_bounds(instance: &WorkerInstance, run: &PlacedRun, now: Time) -> RunTimeBounds {
    let Phase::Running(since) = run.phase else { return RunTimeBounds::UNKNOWN };
    let least_ran = instance.confirmed_run_time(run).unwrap_or_default();
    let most_ran = instance.unanswered_since.unwrap_or(now).since(since).max(least_ran);
    RunTimeBounds { least_ms: least_ran.as_millis() as u64, most_ms: most_ran.as_millis() as u64 }
}
