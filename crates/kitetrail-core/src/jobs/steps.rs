//! The state of a job's steps and tasks: placements and progress.

use std::{collections::BTreeSet, mem, ops::Range};

use super::{
    crashes::{TaskCrashes, UnresolvedLoss},
    instance::InstanceNo,
    names::TaskName,
    record::{StepProgress, TASKS_PER_DIGIT},
    scheduler::step_length::StepLength,
    spec::{JobSpec, StepSpec},
};
use crate::Time;

/// The placement of a run on a worker instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Placement {
    pub(super) instance: InstanceNo,
    pub(super) run: u32,
}

/// One task of a step.
#[derive(Debug, Clone, Default)]
pub(super) struct Task {
    pub(super) done: bool,
    pub(super) failed_runs: BTreeSet<u32>,
    pub(super) last_run: u32,
    /// The current placements: more than one only if copies are allowed.
    pub(super) placed: Vec<Placement>,
    pub(super) checkpoint: Option<String>,
    /// The time before which the task is not placed again, after a failure.
    pub(super) not_before: Option<Time>,
    /// The worker instance of the last failed run.
    pub(super) avoided_instance: Option<InstanceNo>,
    /// The number of times that the task was moved because it was slow.
    pub(super) moves_for_slowness: u32,
    /// The crashes of workers that ran the task.
    pub(super) crashes: TaskCrashes,
    /// The time before which the task is not placed again, unless it becomes known what became of
    /// its workers.
    pub(super) proof_due_at: Option<Time>,
    /// Whether each start of the task is stored before it is ordered.
    pub(super) persists_starts: bool,
    /// Whether `may_miss_some` holds only because workers of the previous owner have not answered
    /// this one.
    pub(super) presumes_missed_crash: bool,
    /// Whether the previous owner may have started the task, while this one has neither started it
    /// nor received a report of a run.
    pub(super) maybe_started_before: bool,
    /// Whether a run of the previous owner may be, or may yet be started, on a worker that this one
    /// has no report of.
    pub(super) is_unaccounted: bool,
}

impl Task {
    /// Records that the task is started. `owner_lost` is whether the previous owner was lost and
    /// may have started the task on a worker that crashed or is silent, without counting the loss.
    pub(super) fn record_start(&mut self, owner_lost: bool) {
        self.is_unaccounted = false;
        self.proof_due_at = None;
        if mem::take(&mut self.maybe_started_before) && owner_lost {
            self.persists_starts = true;
            self.presumes_missed_crash = !self.crashes.may_miss_some;
            self.crashes.may_miss_some = true;
        }
    }

    /// Takes back that the previous owner may have missed a crash. Returns whether that changed
    /// anything.
    pub(super) fn dismiss_missed_crash(&mut self) -> bool {
        let presumed = mem::take(&mut self.presumes_missed_crash);
        if presumed {
            self.crashes.may_miss_some = false;
            self.review_suspicion();
        }
        presumed
    }

    /// Updates what follows from the losses of the task, after some of them were resolved.
    pub(super) fn review_suspicion(&mut self) {
        self.proof_due_at = self.proof_due_at.filter(|_| self.crashes.proof_timeout().is_some());
        self.persists_starts = self.crashes.needs_stored_starts();
    }

    /// Records that a worker became silent with a run of the task.
    pub(super) fn record_loss(&mut self, loss: UnresolvedLoss, now: Time) {
        self.crashes.record_loss(loss);
        self.begin_proof_wait(now);
    }

    /// Lets the task wait for proof of what became of its workers, if it must.
    pub(super) fn begin_proof_wait(&mut self, now: Time) {
        self.proof_due_at = self.crashes.proof_timeout().map(|timeout| now + timeout);
    }

    /// Returns whether the task waits for a worker and may be placed now.
    pub(super) fn waits(&self, now: Time) -> bool {
        let is_due = |time: Option<Time>| time.is_none_or(|time| time <= now);
        !self.done && self.placed.is_empty() && is_due(self.not_before) && is_due(self.proof_due_at)
    }

    /// Returns whether the task waits for a worker and may be placed now, given whether workers of
    /// the previous owner have not reported yet.
    pub(super) fn may_start(&self, now: Time, awaits_workers: bool) -> bool {
        self.waits(now) && !(awaits_workers && self.is_unaccounted)
    }
}

/// The tasks of one step in one occurrence of the schedule.
#[derive(Debug, Clone, Default)]
pub(super) struct Step {
    pub(super) tasks: Vec<Task>,
    /// The number of tasks that are done.
    pub(super) done: u32,
    /// The number of runs that did all the work of a task, and their total run time.
    pub(super) completed_runs: u32,
    pub(super) completed_runs_ms: u64,
    /// The lengths of its runs, also of those that have not ended.
    pub(super) length: StepLength,
    /// Since when there has been room for two of its tasks while one was held back.
    pub(super) room_since: Option<Time>,
}

impl Step {
    fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![Task::default(); spec.count as usize],
            done: 0,
            completed_runs: 0,
            completed_runs_ms: 0,
            length: StepLength::default(),
            room_since: None,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Returns whether a task is neither done nor placed.
    pub(super) fn has_unplaced_tasks(&self) -> bool {
        self.tasks.iter().any(|task| !task.done && task.placed.is_empty())
    }

    /// Returns the number of tasks that are neither done nor placed.
    pub(super) fn unplaced(&self) -> u32 {
        self.tasks.iter().filter(|task| !task.done && task.placed.is_empty()).count() as u32
    }

    /// Marks a task as done, or all members of a gang. Returns the placements that these tasks
    /// still have.
    pub(super) fn mark_done(&mut self, name: TaskName, gang: bool) -> Vec<Placement> {
        let mut placed = Vec::new();
        for (index, task) in (0..).zip(&mut self.tasks) {
            if (gang || index == name.index) && !task.done {
                task.done = true;
                self.done += 1;
                placed.extend(&task.placed);
            }
        }
        placed
    }

    pub(super) fn mark_all_done(&mut self) {
        self.tasks.iter_mut().for_each(|task| task.done = true);
        self.done = self.tasks.len() as u32;
    }

    /// Returns the progress of some tasks, to be stored.
    pub(super) fn progress(&self, range: Range<usize>) -> StepProgress {
        let first = range.start as u32;
        let tasks = &self.tasks[range];
        let failed = |(index, task): (u32, &Task)| {
            let counts = !task.done && !task.failed_runs.is_empty();
            counts.then(|| (index, task.failed_runs.iter().copied().collect()))
        };
        let crashes = |(index, task): (u32, &Task)| {
            let counts = !task.done && task.persists_starts && !task.crashes.is_empty();
            counts.then(|| (index, task.crashes.clone()))
        };
        let done = StepProgress::pack_done(tasks.iter().map(|task| task.done));
        StepProgress {
            done_from: if done.is_empty() { 0 } else { first },
            done,
            failed_runs: (first..).zip(tasks).filter_map(failed).collect(),
            crashes: (first..).zip(tasks).filter_map(crashes).collect(),
        }
    }

    /// Restores a part of the stored progress. Returns whether any of its tasks had begun.
    pub(super) fn restore(&mut self, stored: &StepProgress) -> bool {
        let done_to = stored.done_from as usize + stored.done.len() * TASKS_PER_DIGIT as usize;
        let in_done = stored.done_from as usize..done_to.min(self.tasks.len());
        for index in in_done.filter(|&index| stored.is_done(index as u32)) {
            let was_done = mem::replace(&mut self.tasks[index].done, true);
            self.done += u32::from(!was_done);
        }
        for (&index, failed) in &stored.failed_runs {
            let Some(task) = self.tasks.get_mut(index as usize) else { continue };
            task.failed_runs.extend(failed);
            task.last_run = task.failed_runs.last().copied().unwrap_or(0);
        }
        for (&index, crashes) in &stored.crashes {
            let Some(task) = self.tasks.get_mut(index as usize) else { continue };
            task.crashes = crashes.clone();
            task.persists_starts = !task.crashes.is_empty();
        }
        *stored != StepProgress::default()
    }
}

/// One occurrence of the schedule.
#[derive(Debug, Clone, Default)]
pub(super) struct Occurrence {
    pub(super) steps: Vec<Step>,
}

impl Occurrence {
    pub(super) fn new(spec: &JobSpec) -> Self {
        Self { steps: spec.steps.iter().map(Step::new).collect() }
    }

    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    /// Returns whether all steps that `step` depends on are done.
    pub(super) fn is_due(&self, step: &StepSpec) -> bool {
        step.depends_on.iter().all(|&dependency| self.steps[dependency as usize].is_done())
    }
}
