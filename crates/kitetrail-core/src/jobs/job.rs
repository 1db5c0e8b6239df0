//! An accepted job: its specification and its progress.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    crashes::{PersistedStart, UnresolvedLoss},
    event::{JobRequestId, JobState},
    names::{JobId, StepName, TaskName},
    progress_key::ProgressKey,
    progress_parts::ProgressParts,
    record::{JobRecord, OccurrenceProgress, Outcome, ProgressRecord},
    scheduler::tails::ImageNo,
    spec::{JobSpec, QueueTerms, StepSpec},
    steps::{Occurrence, Step, Task},
};
use crate::Time;

/// The most bytes that the crashes of a part's tasks take. With the other progress of its tasks they
/// fit into a row of the store.
const MAX_CRASH_BYTES: usize = 12 * 1_024;

/// The memory that a task takes beside its own size, in bytes: its placement and its checkpoint.
const TASK_HEAP_BYTES: usize = 96;

/// An accepted job.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: JobId,
    pub(super) queue: QueueTerms,
    pub(super) spec: JobSpec,
    pub(super) payload: Arc<str>,
    /// The approximate memory that the job takes, in bytes.
    pub(super) memory_bytes: usize,
    /// The image of each step.
    pub(super) images: Vec<ImageNo>,
    pub(super) accepted_unix_ms: u64,
    pub(super) accepted_at: Time,
    /// The outcome as decided. If the job has ended, the outcome is not persisted yet.
    pub(super) outcome: Outcome,
    pub(super) ended_unix_ms: Option<u64>,
    /// The division of its progress into rows.
    pub(super) parts: ProgressParts,
    /// The parts of its progress that the store may hold.
    pub(super) stored_parts: BTreeSet<u32>,
    /// Whether the first part of its progress, as it was stored, holds more than its share: an
    /// earlier release wrote it undivided.
    pub(super) is_stored_undivided: bool,
    /// Whether the job is persisted.
    pub(super) is_persisted: bool,
    pub(super) has_started: bool,
    /// Whether some of its tasks may wait for a worker. Most jobs have none most of the time, and
    /// placement skips these jobs.
    pub(super) may_have_waiting_tasks: bool,
    /// The first occurrence that is not done. The occurrences before it are removed.
    done_before: u32,
    pub(super) occurrences: BTreeMap<u32, Occurrence>,
    /// The time by which the job should have ended, for the order within the queue.
    pub(super) due_at: Time,
    pub(super) submit_waiters: Vec<JobRequestId>,
    /// The latest time at which the answer to a submission is of use, if known.
    pub(super) answer_by: Option<Time>,
    pub(super) cancel_waiters: Vec<JobRequestId>,
    /// Whether an earlier owner may have started some of its tasks.
    pub(super) inherited: bool,
}

impl Job {
    pub(super) fn new(
        id: JobId,
        queue: QueueTerms,
        spec: JobSpec,
        now: Time,
        unix_ms: u64,
    ) -> Self {
        let spec = spec.with_bounded_estimates();
        let parts = ProgressParts::new(&spec, queue.max_attempts);
        let mut job = Self {
            id,
            payload: spec.payload.as_str().into(),
            memory_bytes: Self::memory_bytes_of(&spec),
            images: Vec::new(),
            queue,
            spec,
            accepted_unix_ms: unix_ms,
            accepted_at: now,
            outcome: Outcome::Open,
            ended_unix_ms: None,
            parts,
            stored_parts: BTreeSet::new(),
            is_stored_undivided: false,
            is_persisted: false,
            has_started: false,
            may_have_waiting_tasks: true,
            done_before: 0,
            occurrences: BTreeMap::new(),
            due_at: now,
            submit_waiters: Vec::new(),
            answer_by: None,
            cancel_waiters: Vec::new(),
            inherited: false,
        };
        job.due_at = now + Duration::from_millis(job.objective_ms());
        if job.spec.schedule.is_none() {
            job.begin(0);
        }
        job
    }

    /// Returns the approximate memory that a job takes when all of its occurrences have begun, in bytes.
    pub(super) fn memory_bytes_of(spec: &JobSpec) -> usize {
        let tasks = spec.steps.iter().map(|step| step.count as usize).sum::<usize>();
        let occurrence_bytes =
            spec.steps.len() * size_of::<Step>() + tasks * (size_of::<Task>() + TASK_HEAP_BYTES);
        size_of::<Self>()
            + spec.memory_bytes()
            + spec.payload.len()
            + spec.occurrences() as usize * occurrence_bytes
    }

    /// Restores a job from its rows in the store. Its next runs get numbers above `run_floor`.
    pub(super) fn restore(
        record: JobRecord,
        progress: Vec<ProgressRecord>,
        run_floor: u32,
        now: Time,
        unix_ms: u64,
    ) -> Self {
        let JobRecord { id, queue, spec, accepted_unix_ms } = record;
        let age = Duration::from_millis(unix_ms.saturating_sub(accepted_unix_ms));
        let mut job = Self::new(id, queue, spec, now, accepted_unix_ms);
        job.accepted_at = now - age;
        job.due_at = job.accepted_at + Duration::from_millis(job.objective_ms());
        job.is_persisted = true;
        job.inherited = true;
        job.restore_progress(progress);
        for step in job.occurrences.values_mut().flat_map(|occurrence| &mut occurrence.steps) {
            for task in &mut step.tasks {
                task.last_run = task.last_run.max(run_floor);
                task.maybe_started_before = !task.done;
                task.is_unaccounted = !task.done;
            }
        }
        job
    }

    /// Returns the time that the queue promises, in milliseconds from acceptance.
    pub(super) fn objective_ms(&self) -> u64 {
        let path_ms = self.spec.critical_path_ms() as f64;
        ((self.queue.stretch * path_ms) as u64).saturating_add(self.queue.target_latency_ms)
    }

    /// Returns the state shown to callers until the end of the job is persisted.
    pub(super) fn state(&self) -> JobState {
        if self.has_started { JobState::Running } else { JobState::Queued }
    }

    /// Returns the estimated critical path of the steps that are not done, in milliseconds.
    ///
    /// For a job with a schedule the whole critical path counts, since its occurrences overlap.
    pub(super) fn remaining_critical_path_ms(&self) -> u64 {
        let occurrence = self.occurrences.values().next().filter(|_| self.spec.schedule.is_none());
        let is_done = |step: usize| occurrence.is_some_and(|current| current.steps[step].is_done());
        let left_ms = |number, step: &StepSpec| if is_done(number) { 0 } else { step.estimate_ms };
        self.spec.critical_path_by(left_ms)
    }

    /// Returns whether the job ends in time by its caller's estimates if the remaining steps start
    /// now.
    pub(super) fn can_be_in_time(&self, now: Time) -> bool {
        let no_deadline = self.is_long_running() || self.spec.schedule.is_some();
        no_deadline || now + Duration::from_millis(self.remaining_critical_path_ms()) <= self.due_at
    }

    /// Returns whether some of its tasks run until the job is cancelled.
    pub(super) fn is_long_running(&self) -> bool {
        self.spec.steps.iter().any(|step| step.long_running)
    }

    /// Returns whether some of its tasks are best-effort.
    pub(super) fn has_best_effort_tasks(&self) -> bool {
        self.spec.steps.iter().any(|step| step.best_effort)
    }

    pub(super) fn is_open(&self) -> bool {
        self.outcome == Outcome::Open
    }

    pub(super) fn step(&self, name: StepName) -> Option<&Step> {
        self.occurrences.get(&name.occurrence)?.steps.get(name.step as usize)
    }

    pub(super) fn step_mut(&mut self, name: StepName) -> Option<&mut Step> {
        self.occurrences.get_mut(&name.occurrence)?.steps.get_mut(name.step as usize)
    }

    pub(super) fn task(&self, name: TaskName) -> Option<&Task> {
        self.step(name.step_name())?.tasks.get(name.index as usize)
    }

    pub(super) fn task_mut(&mut self, name: TaskName) -> Option<&mut Task> {
        self.step_mut(name.step_name())?.tasks.get_mut(name.index as usize)
    }

    /// Returns the specification of a step.
    pub(super) fn step_spec(&self, step: u32) -> Option<&StepSpec> {
        self.spec.steps.get(step as usize)
    }

    /// Returns the steps whose dependencies are done and that have tasks which may be placed, given
    /// whether workers of the previous owner have not reported yet.
    pub(super) fn due_steps(&mut self, now: Time, awaits_workers: bool) -> Vec<StepName> {
        let mut due = Vec::new();
        self.may_have_waiting_tasks = false;
        for (&number, occurrence) in &self.occurrences {
            for (index, spec) in (0_u32..).zip(&self.spec.steps) {
                let step = &occurrence.steps[index as usize];
                if step.is_done() || !occurrence.is_due(spec) || !step.has_unplaced_tasks() {
                    continue;
                }
                // A task that has just failed waits for its retry delay, so the step may not be due
                // yet.
                self.may_have_waiting_tasks = true;
                if step.tasks.iter().any(|task| task.may_start(now, awaits_workers)) {
                    due.push(StepName { job: self.id, occurrence: number, step: index });
                }
            }
        }
        due
    }

    /// Returns whether a step whose dependencies are done has a task that is neither done nor
    /// placed.
    pub(super) fn has_due_unplaced(&self) -> bool {
        let due = |occurrence: &Occurrence, index: usize, spec: &StepSpec| {
            occurrence.is_due(spec) && occurrence.steps[index].has_unplaced_tasks()
        };
        self.occurrences.values().any(|occurrence| {
            self.spec.steps.iter().enumerate().any(|(index, spec)| due(occurrence, index, spec))
        })
    }

    /// Returns the number of distinct failed runs over all members of a gang.
    pub(super) fn failed_runs_of_gang(&self, name: StepName) -> u32 {
        let tasks = self.step(name).into_iter().flat_map(|step| &step.tasks);
        tasks.flat_map(|task| &task.failed_runs).collect::<BTreeSet<_>>().len() as u32
    }

    /// Makes a task start without its checkpoint. For a gang this applies to all members, which
    /// share one checkpoint.
    pub(super) fn drop_checkpoint(&mut self, name: TaskName) {
        let gang = self.step_spec(name.step).is_some_and(|spec| spec.gang);
        let Some(step) = self.step_mut(name.step_name()) else { return };
        for (index, task) in (0..).zip(&mut step.tasks) {
            if gang || index == name.index {
                task.checkpoint = None;
            }
        }
    }

    /// Returns the tasks that may have crashed workers of an earlier owner, with the losses that it
    /// stored.
    pub(super) fn unresolved_losses(&self) -> Vec<(TaskName, UnresolvedLoss)> {
        self.open_tasks()
            .flat_map(|(name, task)| {
                task.crashes.unresolved.iter().map(move |loss| (name, loss.clone()))
            })
            .collect()
    }

    /// Returns the tasks that an earlier owner was about to start, with the run and worker that it
    /// stored.
    pub(super) fn begun_tasks(&self) -> Vec<(TaskName, PersistedStart)> {
        self.open_tasks()
            .filter_map(|(name, task)| Some((name, task.crashes.begun.clone()?)))
            .collect()
    }

    /// Takes back that the previous owner may have missed crashes. Returns the tasks for which that
    /// changed anything.
    pub(super) fn dismiss_missed_crashes(&mut self) -> Vec<TaskName> {
        let mut dismissed = Vec::new();
        for (&occurrence, state) in &mut self.occurrences {
            for (step, tasks) in (0..).zip(&mut state.steps) {
                for (index, task) in (0..).zip(&mut tasks.tasks).filter(|(_, task)| !task.done) {
                    if task.dismiss_missed_crash() {
                        dismissed.push(TaskName { job: self.id, occurrence, step, index });
                    }
                }
            }
        }
        dismissed
    }

    /// Returns the tasks that are not done, of the occurrences that have begun.
    fn open_tasks(&self) -> impl Iterator<Item = (TaskName, &Task)> {
        let steps = self.occurrences.iter().flat_map(|(&occurrence, state)| {
            (0..).zip(&state.steps).map(move |(step, tasks)| (occurrence, step, tasks))
        });
        let tasks = steps.flat_map(move |(occurrence, step, tasks)| {
            let name = move |index| TaskName { job: self.id, occurrence, step, index };
            (0..).zip(&tasks.tasks).map(move |(index, task)| (name(index), task))
        });
        tasks.filter(|(_, task)| !task.done)
    }

    pub(super) fn begin(&mut self, occurrence: u32) {
        if !self.occurrences.contains_key(&occurrence) {
            let mut begun = Occurrence::new(&self.spec);
            // An earlier owner may have begun it, which is not stored before one of its tasks ends.
            for task in begun.steps.iter_mut().flat_map(|step| &mut step.tasks) {
                task.is_unaccounted = self.inherited;
            }
            self.occurrences.insert(occurrence, begun);
            self.may_have_waiting_tasks = true;
        }
    }

    /// Returns the next occurrence to begin and the time at which it is due, in milliseconds since
    /// 1970.
    pub(super) fn next_due_unix_ms(&self) -> Option<(u32, u64)> {
        let schedule = self.spec.schedule?;
        let next = self.occurrences.keys().next_back().map_or(self.done_before, |last| last + 1);
        let after_start_ms = u64::from(next).saturating_mul(schedule.interval_ms);
        let due_ms = schedule.start_at_unix_ms.saturating_add(after_start_ms);
        (next < schedule.count.max(1)).then_some((next, due_ms))
    }

    pub(super) fn all_done(&self) -> bool {
        self.done_before as usize + self.occurrences.len() == self.spec.occurrences() as usize
            && self.occurrences.values().all(Occurrence::is_done)
    }

    /// Removes the occurrences that are done, up to the first one that is not.
    pub(super) fn remove_done_occurrences(&mut self) {
        while let Some(first) = self.occurrences.first_entry()
            && *first.key() == self.done_before
            && first.get().is_done()
        {
            first.remove();
            self.done_before += 1;
        }
    }

    pub(super) fn record(&self) -> JobRecord {
        JobRecord {
            id: self.id,
            queue: self.queue.clone(),
            spec: self.spec.clone(),
            accepted_unix_ms: self.accepted_unix_ms,
        }
    }

    /// Returns the key of the progress of a task.
    pub(super) fn progress_key(&self, name: TaskName) -> ProgressKey {
        ProgressKey { job: self.id, part: self.parts.part_of(name) }
    }

    /// Returns the keys of the progress of all tasks of a step.
    pub(super) fn progress_keys_of_step(
        &self,
        name: StepName,
    ) -> impl Iterator<Item = ProgressKey> + use<> {
        let job = self.id;
        self.parts.parts_of_step(name).map(move |part| ProgressKey { job, part })
    }

    /// Returns a part of the progress, to be stored.
    pub(super) fn progress(&self, part: u32) -> ProgressRecord {
        let pack = |(&number, occurrence): (&u32, &Occurrence)| {
            let ranges = self.parts.steps_in(part, number);
            let steps = occurrence.steps.iter().zip(ranges);
            let steps = steps.map(|(step, tasks)| step.progress(tasks)).collect();
            (number, OccurrenceProgress { steps })
        };
        let mut occurrences = match self.outcome {
            Outcome::Open => {
                self.occurrences.range(self.parts.occurrences_in(part)).map(pack).collect()
            }
            _ => BTreeMap::new(),
        };
        limit_stored_crashes(&mut occurrences);
        ProgressRecord {
            id: self.id,
            part,
            accepted_unix_ms: (part > 0).then_some(self.accepted_unix_ms),
            outcome: self.outcome,
            ended_unix_ms: self.ended_unix_ms,
            done_before: self.done_before,
            occurrences,
        }
    }

    fn restore_progress(&mut self, parts: Vec<ProgressRecord>) {
        self.stored_parts = parts.iter().map(|progress| progress.part).collect();
        self.done_before = parts.iter().map(|progress| progress.done_before).max().unwrap_or(0);
        self.has_started |= self.done_before > 0;
        self.occurrences.retain(|&number, _| number >= self.done_before);
        let first = parts.iter().find(|progress| progress.part == 0 && self.parts.count() > 1);
        let first = first.map(|first| first.occurrences.clone());
        // Occurrences begin in order, but not each of them has a task that is stored.
        let last_begun =
            parts.iter().filter_map(|progress| progress.occurrences.keys().next_back());
        if let Some(&last_begun) = last_begun.max() {
            (self.done_before..=last_begun).for_each(|number| self.begin(number));
        }
        for (number, occurrence) in parts.into_iter().flat_map(|progress| progress.occurrences) {
            self.restore_occurrence(number, &occurrence);
        }
        self.restore_gangs();
        self.is_stored_undivided = first.is_some_and(|first| first != self.progress(0).occurrences);
    }

    fn restore_occurrence(&mut self, number: u32, progress: &OccurrenceProgress) {
        let Some(occurrence) = self.occurrences.get_mut(&number) else { return };
        for (step, stored) in occurrence.steps.iter_mut().zip(&progress.steps) {
            self.has_started |= step.restore(stored);
        }
    }

    /// Completes the gangs that are done by some of their stored parts only: one end stands for all
    /// members, but its parts may be written one after the other.
    fn restore_gangs(&mut self) {
        for occurrence in self.occurrences.values_mut() {
            let steps = occurrence.steps.iter_mut().zip(&self.spec.steps);
            steps
                .filter(|(step, spec)| spec.gang && step.done > 0)
                .for_each(|(step, _)| step.mark_all_done());
        }
    }
}

/// Limits the crashes to [`MAX_CRASH_BYTES`], dropping those with the lowest weight first.
fn limit_stored_crashes(occurrences: &mut BTreeMap<u32, OccurrenceProgress>) {
    let mut stored = Vec::new();
    for (&number, occurrence) in &*occurrences {
        for (step, progress) in occurrence.steps.iter().enumerate() {
            let crashes = progress.crashes.iter();
            let crashes = crashes.map(|(&index, crashes)| {
                (Reverse(crashes.possible_weight()), number, step, index, crashes.stored_bytes())
            });
            stored.extend(crashes);
        }
    }
    stored.sort_unstable();
    let mut bytes = 0_usize;
    for (_, number, step, index, task_bytes) in stored {
        bytes = bytes.saturating_add(task_bytes);
        if bytes > MAX_CRASH_BYTES
            && let Some(occurrence) = occurrences.get_mut(&number)
        {
            occurrence.steps[step].crashes.remove(&index);
        }
    }
}
