//! Runs that stand still or are much slower than others of their step, and what is done about them.

use std::time::Duration;

use super::{
    super::{
        life::{Life, LifeNo},
        names::TaskName,
        run::{Phase, RunThere},
        steps::Task,
    },
    Scheduler,
};
use crate::Time;

/// A run whose percent has not risen for so long stands still. Runs take a second or two, and
/// reports are up to 1.5 s apart.
const STANDS_STILL_AFTER: Duration = Duration::from_millis(1_300);
/// Paced below this, in percent, a run that fills may seem to stand still.
const PACED_LOW_PERCENT: u8 = 40;
/// So many runs that stand still on one worker, with none that moves, tell that the worker hangs.
const STILL_RUNS_OF_A_HANG: usize = 2;
/// A run is slow if it will take so many times as long as others of its step.
const SLOW_FACTOR: f64 = 2.0;
/// And if what is left of it is longer than a whole other run, times this: starting anew must pay.
const WORTH_STARTING_ANEW: f64 = 1.2;
/// And if it runs for so many times as long already: predictions from few percent are rough.
const OVERDUE_FACTOR: f64 = 1.4;
/// So many tasks of the step must be done, and half of them, before others are called slow.
const LEAST_TIMED: u32 = 2;
/// A task that was slow on so many workers is long, whoever runs it: to move it again would throw its work away for ever.
const MOST_SLOW_MOVES: u32 = 2;
/// Progress below this many percentage points tells too little of a run's speed.
const LEAST_PROGRESS: u32 = 4;

/// What is wrong with a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    StandsStill,
    Slow,
}

/// The runs of a worker whose progress can be told, after a report.
#[derive(Debug, Default)]
struct Measured {
    /// Those that stand still.
    still: Vec<TaskName>,
    /// All others.
    rest: Vec<TaskName>,
    /// How many of them made progress since the report before.
    moving: usize,
}

impl Scheduler {
    /// Looks at the progress of all runs of a worker after a report.
    pub(super) fn check_progress(&mut self, no: LifeNo) {
        let now = self.now;
        let Some(life) = self.lives.get_mut(no) else { return };
        let Measured { still, rest, moving } = measure(life, now);
        if still.len() >= STILL_RUNS_OF_A_HANG && moving == 0 {
            self.set_aside_hanging(no);
        }
        for task in still {
            self.relieve(no, task, Trouble::StandsStill);
        }
        for task in rest {
            if self.is_slow(no, task) {
                self.relieve(no, task, Trouble::Slow);
            }
        }
    }

    /// Starts copies of what may have copies and runs on a worker that has fallen silent.
    pub(super) fn copy_from_silent(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get(no) else { return };
        for task in life.runs().keys().copied().collect::<Vec<_>>() {
            if self.step_spec(task).is_some_and(|step| step.copies_allowed) {
                self.copy(no, task);
            }
        }
    }

    /// Whether the run will take much longer than others of its step, and than starting anew.
    fn is_slow(&self, no: LifeNo, task: TaskName) -> bool {
        let run = self.lives.get(no).and_then(|life| life.runs().get(&task));
        let expected_ms = self.expected_ms(task);
        let (Some(run), Some(expected_ms)) = (run, expected_ms) else { return false };
        let Some(total_ms) = predicted_ms(run, self.now) else { return false };
        let elapsed_ms = elapsed_ms(run, self.now).unwrap_or(0.0);
        let left_ms = left_ms(run, self.now).unwrap_or(0.0);
        elapsed_ms > expected_ms * OVERDUE_FACTOR
            && total_ms > expected_ms * SLOW_FACTOR
            && left_ms > expected_ms * WORTH_STARTING_ANEW
    }

    /// How long a task of the step takes, by those that are done, in milliseconds.
    fn expected_ms(&self, task: TaskName) -> Option<f64> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task.step_name())?;
        // The first ones to end are the shortest ones.
        let enough = step.timed >= LEAST_TIMED && step.timed as usize * 2 >= step.tasks.len();
        enough.then(|| step.timed_ms as f64 / f64::from(step.timed))
    }

    /// Starts a copy of a run that is in trouble, or moves it, if that pays.
    fn relieve(&mut self, no: LifeNo, task: TaskName, trouble: Trouble) {
        if !self.overload.may_move() {
            return;
        }
        let Some(spec) = self.step_spec(task).cloned() else { return };
        if spec.gang {
            return;
        }
        if spec.copies_allowed {
            return self.copy(no, task);
        }
        // A paced run is slow by our own doing.
        if spec.fills && trouble == Trouble::Slow {
            return;
        }
        let is_long = |task: &mut Task| task.slow_moves >= MOST_SLOW_MOVES;
        if trouble == Trouble::Slow && self.task_mut(task).is_some_and(is_long) {
            return;
        }
        let other = self.choose(task, &spec, &[]).filter(|&other| other != no);
        let run = self.lives.get(no).and_then(|life| life.runs().get(&task)).map(|run| run.run);
        let (Some(_), Some(run)) = (other, run) else { return };
        self.avoid(task, no);
        let why = match trouble {
            Trouble::StandsStill => "moved: it stands still",
            Trouble::Slow => "moved: it is slow",
        };
        if let Some(task) = self.task_mut(task).filter(|_| trouble == Trouble::Slow) {
            task.slow_moves += 1;
        }
        self.move_run(no, task, run, why);
    }

    /// Starts a second run of a task beside the one there is; not of one that may crash its worker, which would cost two.
    fn copy(&mut self, no: LifeNo, name: TaskName) {
        let Some(spec) = self.step_spec(name).cloned() else { return };
        let Some(job) = self.jobs.get(&name.job).filter(|job| job.is_open()) else { return };
        let task = job.task(name);
        if task.is_none_or(|task| task.done || task.placed.len() != 1 || task.watched) {
            return;
        }
        self.avoid(name, no);
        if let Some(other) = self.choose(name, &spec, &[]).filter(|&other| other != no) {
            self.start(name, other, &spec, None);
        }
    }
}

fn measure(life: &mut Life, now: Time) -> Measured {
    let mut measured = Measured::default();
    for (task, run) in life.runs_mut().filter(|(_, run)| is_measured(run)) {
        if run.percent > run.progress.percent {
            run.progress.percent = run.percent;
            run.progress.rose_at = now;
        }
        match now.since(run.progress.rose_at) >= STANDS_STILL_AFTER {
            true => measured.still.push(task),
            false => {
                measured.moving += usize::from(run.progress.rose_at == now);
                measured.rest.push(task);
            }
        }
    }
    measured
}

/// Whether the percent of a run tells how much of its work is done.
fn is_measured(run: &RunThere) -> bool {
    let paced = run.fills && run.paced_percent < PACED_LOW_PERCENT;
    run.is_running() && !run.stopping && !run.lasts && !paced
}

/// How long a run takes as a whole at its present speed, in milliseconds.
fn predicted_ms(run: &RunThere, now: Time) -> Option<f64> {
    let elapsed_ms = elapsed_ms(run, now)?;
    let done = run.percent.saturating_sub(run.progress.from_percent);
    (done >= LEAST_PROGRESS).then(|| elapsed_ms * 100.0 / f64::from(done))
}

/// How long a run goes on at its present speed, in milliseconds.
pub(super) fn left_ms(run: &RunThere, now: Time) -> Option<f64> {
    let total_ms = predicted_ms(run, now)?;
    Some(total_ms * f64::from(100 - run.percent.min(100)) / 100.0)
}

fn elapsed_ms(run: &RunThere, now: Time) -> Option<f64> {
    let Phase::Running(since) = run.phase else { return None };
    Some(now.since(since).as_secs_f64() * 1_000.0)
}
