//! Tells slow workers from slowdowns that all workers share.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    super::{instance::InstanceNo, names::JobId},
    run_pace::{RunVerdict, verdict_of},
};
use crate::Time;

/// The largest share of the workers that may be suspected at a time. Beyond it, the loss of room
/// costs callers more than slow runs, and the cause is hardly the workers.
const MAX_SUSPECT_SHARE: f64 = 0.3;
/// The share of slow runs in the fleet from which the workers are not the cause.
const MAX_SLOW_SHARE: f64 = 0.4;
/// The time over which verdicts are forgotten, so that a shared slowdown is noticed before any
/// worker is suspected.
const MEMORY: Duration = Duration::from_millis(400);
/// The highest slowdown that is averaged, so that runs which stand still do not hide how fast others
/// are.
const MAX_SLOWDOWN: f64 = 10.0;
/// The mean slowdown of all runs from which the workers are not the cause. It is 1.5 while a fifth of
/// them stand still.
const MAX_MEAN_SLOWDOWN: f64 = 1.8;
/// The owner's lag from which reports say little: starts and ends are read late.
const MAX_LAG: Duration = Duration::from_millis(250);
/// The number of jobs whose failed runs are remembered, and for how long.
const MAX_FAILING_JOBS: usize = 64;
const FAILURE_AGE: Duration = Duration::from_millis(5_000);
/// The number of workers that are remembered for each of these jobs: enough to tell that a job fails
/// on more than a few.
const MAX_FAILING_WORKERS: usize = 4;

/// The failed runs of one job on one worker.
#[derive(Debug)]
struct FailuresOnWorker {
    instance_no: InstanceNo,
    count: usize,
    /// When the last of them ended.
    last_at: Time,
}

/// What the runs of all workers did recently; older verdicts decay.
#[derive(Debug, Default)]
struct RecentRuns {
    slow: f64,
    judged: f64,
    /// The sum of the logarithms of their slowdowns.
    slowdown_ln: f64,
    updated_at: Option<Time>,
}

impl RecentRuns {
    /// Returns whether the share of slow runs is too large for their workers to be the cause.
    fn is_slowdown_shared(&self) -> bool {
        self.slow > MAX_SLOW_SHARE * self.judged || self.mean_slowdown() > MAX_MEAN_SLOWDOWN
    }

    /// Returns the geometric mean of the slowdowns.
    fn mean_slowdown(&self) -> f64 {
        (self.slowdown_ln / self.judged.max(1.0)).exp()
    }

    fn record(&mut self, is_slow: bool, slowdown: f64, now: Time) {
        let age = self.updated_at.map_or(Duration::ZERO, |at| now.since(at));
        let remaining = (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.slow = self.slow * remaining + f64::from(u8::from(is_slow));
        self.judged = self.judged * remaining + 1.0;
        self.slowdown_ln = self.slowdown_ln * remaining + slowdown.clamp(1.0, MAX_SLOWDOWN).ln();
        self.updated_at = Some(now);
    }
}

/// The state of all workers together: a fault of jobs or of the owner must not be taken for one of
/// the workers.
#[derive(Debug, Default)]
pub(in crate::jobs) struct FleetHealth {
    /// The runs judged by their progress.
    by_progress: RecentRuns,
    /// The serving runs judged by their tail latencies.
    by_tail: RecentRuns,
    workers: usize,
    /// The number of workers that are not sound.
    suspects: usize,
    lag: Duration,
    /// The recent failed runs of each job, on the workers where they failed last.
    failures: BTreeMap<JobId, Vec<FailuresOnWorker>>,
}

impl FleetHealth {
    /// Returns the number of workers that are not sound.
    pub(in crate::jobs) fn suspects(&self) -> usize {
        self.suspects
    }

    /// Returns whether a worker is to blame for its slow runs. `is_new` is whether it would be one
    /// more suspect.
    pub(in crate::jobs) fn blames_worker(&self, is_new: bool) -> bool {
        let suspects = self.suspects + usize::from(is_new);
        let max_suspects = (MAX_SUSPECT_SHARE * self.workers as f64).floor().max(1.0);
        let is_shared = self.by_progress.is_slowdown_shared() || self.by_tail.is_slowdown_shared();
        suspects as f64 <= max_suspects && !is_shared && self.lag < MAX_LAG
    }

    /// Sets the number of workers, how many of them are not sound, and the owner's lag.
    pub(in crate::jobs) fn set_totals(&mut self, workers: usize, suspects: usize, lag: Duration) {
        (self.workers, self.suspects, self.lag) = (workers, suspects, lag);
    }

    /// Records that a worker became suspected, or sound again.
    pub(in crate::jobs) fn record_change(&mut self, was_sound: bool, is_sound: bool) {
        match (was_sound, is_sound) {
            (true, false) => self.suspects += 1,
            (false, true) => self.suspects = self.suspects.saturating_sub(1),
            _ => {}
        }
    }

    /// Records how much slower a run of any worker advances than others of its kind.
    pub(in crate::jobs) fn record_slowdown(&mut self, slowdown: f64, now: Time) {
        let is_slow = verdict_of(slowdown) == Some(RunVerdict::Slow);
        self.by_progress.record(is_slow, slowdown, now);
    }

    /// Records a verdict on a serving run of any worker.
    pub(in crate::jobs) fn record_tail(&mut self, verdict: RunVerdict, now: Time) {
        self.by_tail.record(verdict == RunVerdict::Slow, 1.0, now);
    }

    /// Records a failed run. Returns whether it counts against its worker: each job counts once, since
    /// it may be the cause itself.
    pub(in crate::jobs) fn record_failure(
        &mut self,
        job: JobId,
        instance_no: InstanceNo,
        now: Time,
    ) -> bool {
        self.failures.retain(|_, workers| {
            workers.retain(|failures| now.since(failures.last_at) <= FAILURE_AGE);
            !workers.is_empty()
        });
        let failed_before = self.failures.contains_key(&job);
        if !failed_before && self.failures.len() >= MAX_FAILING_JOBS {
            self.forget_oldest_job();
        }
        let workers = self.failures.entry(job).or_default();
        match workers.iter_mut().find(|failures| failures.instance_no == instance_no) {
            Some(failures) => {
                failures.count += 1;
                failures.last_at = now;
            }
            None => {
                // They are in the order in which their workers joined.
                if workers.len() >= MAX_FAILING_WORKERS {
                    workers.remove(0);
                }
                workers.push(FailuresOnWorker { instance_no, count: 1, last_at: now });
            }
        }
        !failed_before
    }

    /// Forgets the job whose last failed run is the oldest.
    fn forget_oldest_job(&mut self) {
        let last_at =
            |workers: &[FailuresOnWorker]| workers.iter().map(|failures| failures.last_at).max();
        let oldest = self.failures.iter().min_by_key(|(_, workers)| last_at(workers));
        if let Some(job) = oldest.map(|(&job, _)| job) {
            self.failures.remove(&job);
        }
    }

    /// Returns the number of workers on which runs of a job failed recently, with the given one.
    pub(in crate::jobs) fn failing_workers(&self, job: JobId, instance_no: InstanceNo) -> usize {
        let workers = self.failures.get(&job).into_iter().flatten();
        let workers = workers.map(|failures| failures.instance_no).chain([instance_no]);
        workers.collect::<BTreeSet<_>>().len()
    }

    /// Returns the number of runs of a job that failed recently on a worker.
    pub(in crate::jobs) fn failures_on(&self, job: JobId, instance_no: InstanceNo) -> usize {
        let mut workers = self.failures.get(&job).into_iter().flatten();
        let here = workers.find(|failures| failures.instance_no == instance_no);
        here.map_or(0, |failures| failures.count)
    }
}
