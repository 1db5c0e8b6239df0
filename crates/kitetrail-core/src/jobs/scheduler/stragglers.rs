//! Detects runs that are stalled or much slower than others of their step, and copies or moves
//! them.

use std::time::Duration;

use super::{
    super::{
        instance::{InstanceNo, WorkerInstance},
        load_parts::LoadPart,
        names::TaskName,
        run::{Phase, PlacedRun},
        steps::Task,
    },
    Scheduler,
    run_pace::RunVerdict,
};
use crate::Time;

/// The time without progress after which a run counts as stalled. Runs take a second or two, and
/// reports are up to 1.5 s apart.
const STALLED_AFTER: Duration = Duration::from_millis(1_300);
/// The pace in percent below which a best-effort run may seem stalled.
const LOW_PACE_PERCENT: u8 = 40;
/// The number of stalled runs on one worker, with none that progresses, from which the worker
/// counts as hung.
const HUNG_WORKER_STALLED_RUNS: usize = 2;
/// A run is slow only if it is predicted to take this many times as long as others of its step.
const SLOW_FACTOR: f64 = 2.0;
/// A run is slow only if the time it has left exceeds the duration of a whole other run by this
/// factor, so that a restart pays off.
const RESTART_FACTOR: f64 = 1.2;
/// A run is slow only if it has already run for this many times as long as others, since
/// predictions from little progress are inaccurate.
const OVERDUE_FACTOR: f64 = 1.4;
/// The least number of completed tasks of a step, which must also be half of all, before others
/// count as slow.
const MIN_TIMED_TASKS: u32 = 2;
/// The number of workers on which a task was slow after which it is no longer moved: it takes long
/// on any worker, and another move would only waste its work.
const MAX_SLOW_MOVES: u32 = 2;
/// The least progress from which the speed of a run can be predicted, in percentage points.
const MIN_PROGRESS: u32 = 4;

/// What is wrong with a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Problem {
    Stalled,
    Slow,
}

/// The runs of a worker whose progress is meaningful, after a report.
#[derive(Debug, Default)]
struct ProgressCheck {
    /// The stalled runs.
    stalled: Vec<TaskName>,
    /// All other runs.
    others: Vec<TaskName>,
    /// The number of runs that progressed since the last report.
    progressing: usize,
}

impl Scheduler {
    /// Checks the progress of all runs of a worker after a report.
    pub(super) fn check_progress(&mut self, instance_no: InstanceNo) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let ProgressCheck { stalled, others, progressing } = measure_progress(instance, now);
        if stalled.len() >= HUNG_WORKER_STALLED_RUNS && progressing == 0 {
            self.quarantine_stalled(instance_no);
        }
        for task in stalled {
            self.copy_or_move(instance_no, task, Problem::Stalled);
        }
        for task in others {
            if self.is_slow(instance_no, task) {
                self.copy_or_move(instance_no, task, Problem::Slow);
            }
        }
    }

    /// Starts copies of the runs on a silent worker that may be copied.
    pub(super) fn copy_runs_of_silent_worker(&mut self, instance_no: InstanceNo) {
        let Some(instance) = self.instances.get(instance_no) else { return };
        for task in instance.runs().keys().copied().collect::<Vec<_>>() {
            if self.step_spec(task).is_some_and(|step| step.copies_allowed) {
                self.start_copy(instance_no, task);
            }
        }
    }

    /// Returns whether a run will take much longer than others of its step, and longer than a
    /// restart.
    fn is_slow(&self, instance_no: InstanceNo, task: TaskName) -> bool {
        let run = self.instances.get(instance_no).and_then(|instance| instance.runs().get(&task));
        let expected_ms = self.expected_ms(instance_no, task);
        let Some(run) = run else { return false };
        if self.is_slow_worker(instance_no)
            && run.pace.verdict() == Some(RunVerdict::Slow)
            && let Some(expected) = self.expected_run(task, run)
        {
            // Several runs are slow, so that none has to be overdue first.
            return run.pace.remaining_ms() > expected.in_step_ms * RESTART_FACTOR;
        }
        let Some(expected_ms) = expected_ms else { return false };
        let Some(total_ms) = predicted_total_ms(run, self.now) else { return false };
        let elapsed_ms = elapsed_ms(run, self.now).unwrap_or(0.0);
        let remaining_ms = remaining_ms(run, self.now).unwrap_or(0.0);
        elapsed_ms > expected_ms * OVERDUE_FACTOR
            && total_ms > expected_ms * SLOW_FACTOR
            && remaining_ms > expected_ms * RESTART_FACTOR
    }

    /// Returns the expected duration of a task, in milliseconds: the average of the completed ones
    /// of its step, or what was learned from other jobs if these are too few.
    fn expected_ms(&self, instance_no: InstanceNo, task: TaskName) -> Option<f64> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task.step_name())?;
        // The first tasks to end are the shortest.
        let is_representative = step.completed_runs >= MIN_TIMED_TASKS
            && step.completed_runs as usize * 2 >= step.tasks.len();
        match is_representative {
            true => Some(step.completed_runs_ms as f64 / f64::from(step.completed_runs)),
            // Where several runs are compared, a run that is slow alone is a long task.
            false if self.judges_workers() && self.is_sound(instance_no) => None,
            false => self.learned_slow_from_ms(task),
        }
    }

    /// Returns the duration with which a task of a step without completed ones is compared, in
    /// milliseconds. A few tasks take many times as long as others wherever they run, so only those
    /// count as slow that also exceed the high quantile.
    fn learned_slow_from_ms(&self, task: TaskName) -> Option<f64> {
        let learned = self.settings.parts.has(LoadPart::RunLengths);
        let length = self.learned_length(task).filter(|_| learned)?;
        Some(length.expected_ms.max(length.high_ms / SLOW_FACTOR))
    }

    /// Starts a copy of a stalled or slow run, or moves it, if that pays off.
    fn copy_or_move(&mut self, instance_no: InstanceNo, task: TaskName, problem: Problem) {
        if !self.overload.may_move() {
            return;
        }
        let Some(spec) = self.step_spec(task).cloned() else { return };
        if spec.gang {
            return;
        }
        if spec.copies_allowed {
            return self.start_copy(instance_no, task);
        }
        // A paced run is slow because the scheduler slowed it.
        if spec.best_effort && problem == Problem::Slow {
            return;
        }
        let was_moved_enough = |task: &mut Task| task.moves_for_slowness >= MAX_SLOW_MOVES;
        if problem == Problem::Slow && self.task_mut(task).is_some_and(was_moved_enough) {
            return;
        }
        let other_worker = self.choose_sound_worker(task, &spec, instance_no);
        let run = self
            .instances
            .get(instance_no)
            .and_then(|instance| instance.runs().get(&task))
            .map(|run| run.run);
        let (Some(_), Some(run)) = (other_worker, run) else { return };
        self.avoid(task, instance_no);
        let why = match problem {
            Problem::Stalled => "moved: it makes no progress",
            Problem::Slow => "moved: it is slower than other tasks of its step",
        };
        if let Some(task) = self.task_mut(task).filter(|_| problem == Problem::Slow) {
            task.moves_for_slowness += 1;
        }
        self.move_run(instance_no, task, run, why);
    }

    /// Starts a second run of a task beside its only run. A task that may crash its worker is not
    /// copied, since that could cost two workers.
    fn start_copy(&mut self, instance_no: InstanceNo, name: TaskName) {
        let Some(spec) = self.step_spec(name).cloned() else { return };
        let Some(job) = self.jobs.get(&name.job).filter(|job| job.is_open()) else { return };
        let task = job.task(name);
        if task.is_none_or(|task| task.done || task.placed.len() != 1 || task.persists_starts) {
            return;
        }
        self.avoid(name, instance_no);
        if let Some(other_worker) = self.choose_sound_worker(name, &spec, instance_no) {
            self.start(name, other_worker, &spec, None);
        }
    }
}

fn measure_progress(instance: &mut WorkerInstance, now: Time) -> ProgressCheck {
    let mut check = ProgressCheck::default();
    for (task, run) in instance.runs_mut().filter(|(_, run)| has_meaningful_percent(run)) {
        if run.percent > run.progress.percent {
            run.progress.percent = run.percent;
            run.progress.rose_at = now;
        }
        match now.since(run.progress.rose_at) >= STALLED_AFTER {
            true => check.stalled.push(task),
            false => {
                check.progressing += usize::from(run.progress.rose_at == now);
                check.others.push(task);
            }
        }
    }
    check
}

/// Returns whether the reported percent of a run tells how much of its work is done.
fn has_meaningful_percent(run: &PlacedRun) -> bool {
    let is_slowed_down = run.is_best_effort && run.paced_percent < LOW_PACE_PERCENT;
    run.is_running() && !run.stopping && !run.is_long_running && !is_slowed_down
}

/// Returns the predicted duration of a run at its present speed, in milliseconds.
fn predicted_total_ms(run: &PlacedRun, now: Time) -> Option<f64> {
    let elapsed_ms = elapsed_ms(run, now)?;
    let gained_percent = run.percent.saturating_sub(run.progress.from_percent);
    (gained_percent >= MIN_PROGRESS).then(|| elapsed_ms * 100.0 / f64::from(gained_percent))
}

/// Returns how long a run will still take at its present speed, in milliseconds.
pub(super) fn remaining_ms(run: &PlacedRun, now: Time) -> Option<f64> {
    let total_ms = predicted_total_ms(run, now)?;
    Some(total_ms * f64::from(100 - run.percent.min(100)) / 100.0)
}

fn elapsed_ms(run: &PlacedRun, now: Time) -> Option<f64> {
    let Phase::Running(since) = run.phase else { return None };
    Some(now.since(since).as_secs_f64() * 1_000.0)
}
