//! One accepted job: what was asked for, and how far it is.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    crashes::BegunRun,
    event::{JobState, RequestNo},
    names::{JobId, StepName, TaskName},
    record::{JobRecord, OccurrenceProgress, Outcome, ProgressRecord},
    scheduler::tails::ImageNo,
    spec::{JobSpec, QueueTerms, StepSpec},
    steps::{Occurrence, Step, Task},
};
use crate::Time;

/// The most tasks of a job whose crashes are kept: 150 bytes each, so that the row stays under the 64 KiB that the store takes. Of
/// 2,000 tasks that were lost at once it had 200 KB, and the store's refusal costs an owner the fleet.
const MOST_KEPT_CRASHES: usize = 128;

/// An accepted job.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: JobId,
    pub(super) queue: QueueTerms,
    pub(super) spec: JobSpec,
    pub(super) payload: Arc<str>,
    /// The image of each step.
    pub(super) images: Vec<ImageNo>,
    pub(super) accepted_unix_ms: u64,
    pub(super) accepted_at: Time,
    /// What is decided, and not kept for good yet unless it is open.
    pub(super) outcome: Outcome,
    pub(super) ended_unix_ms: Option<u64>,
    /// It is kept for good.
    pub(super) kept: bool,
    pub(super) begun: bool,
    /// Some of its tasks may wait for a worker. Most jobs have none for most of their time, so they are
    /// not looked at when workers are sought.
    pub(super) may_wait: bool,
    /// The times of its schedule before this one are done and forgotten.
    done_before: u32,
    pub(super) occurrences: BTreeMap<u32, Occurrence>,
    /// When the job should have ended, for the order of the queue.
    pub(super) due_at: Time,
    pub(super) submit_waiters: Vec<RequestNo>,
    pub(super) cancel_waiters: Vec<RequestNo>,
    /// An earlier owner may have started some of its tasks.
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
        let mut job = Self {
            id,
            payload: spec.payload.as_str().into(),
            images: Vec::new(),
            queue,
            spec,
            accepted_unix_ms: unix_ms,
            accepted_at: now,
            outcome: Outcome::Open,
            ended_unix_ms: None,
            kept: false,
            begun: false,
            may_wait: true,
            done_before: 0,
            occurrences: BTreeMap::new(),
            due_at: now,
            submit_waiters: Vec::new(),
            cancel_waiters: Vec::new(),
            inherited: false,
        };
        job.due_at = now + Duration::from_millis(job.objective_ms());
        if job.spec.schedule.is_none() {
            job.begin(0);
        }
        job
    }

    /// A job as the store keeps it. Its next runs get numbers above `run_floor`.
    pub(super) fn restore(
        record: JobRecord,
        progress: Option<ProgressRecord>,
        run_floor: u32,
        now: Time,
        unix_ms: u64,
    ) -> Self {
        let JobRecord { id, queue, spec, accepted_unix_ms } = record;
        let age = Duration::from_millis(unix_ms.saturating_sub(accepted_unix_ms));
        let mut job = Self::new(id, queue, spec, now, accepted_unix_ms);
        job.accepted_at = now - age;
        job.due_at = job.accepted_at + Duration::from_millis(job.objective_ms());
        job.kept = true;
        job.inherited = true;
        if let Some(progress) = progress {
            job.restore_progress(progress);
        }
        for step in job.occurrences.values_mut().flat_map(|occurrence| &mut occurrence.steps) {
            for task in &mut step.tasks {
                task.last_run = task.last_run.max(run_floor);
                task.unaccounted = !task.done;
            }
        }
        job
    }

    /// The time that its queue promises, in milliseconds from its acceptance.
    pub(super) fn objective_ms(&self) -> u64 {
        let chain_ms = self.spec.longest_chain_ms() as f64;
        (self.queue.stretch * chain_ms) as u64 + self.queue.target_latency_ms
    }

    /// What callers are told until its end is kept for good.
    pub(super) fn state(&self) -> JobState {
        if self.begun { JobState::Running } else { JobState::Queued }
    }

    /// The estimated time of the longest chain of steps that are not done, in milliseconds.
    ///
    /// Of a schedule the whole chain counts: its times overlap.
    pub(super) fn chain_left_ms(&self) -> u64 {
        let occurrence = self.occurrences.values().next().filter(|_| self.spec.schedule.is_none());
        let is_done = |step: usize| occurrence.is_some_and(|there| there.steps[step].is_done());
        let left_ms = |number, step: &StepSpec| if is_done(number) { 0 } else { step.estimate_ms };
        self.spec.longest_chain_by(left_ms)
    }

    /// Whether it ends in time if what is left of it begins now, by what its caller estimated.
    pub(super) fn can_be_in_time(&self, now: Time) -> bool {
        let untimed = self.lasts() || self.spec.schedule.is_some();
        untimed || now + Duration::from_millis(self.chain_left_ms()) <= self.due_at
    }

    /// Whether some of its tasks run until the job is cancelled.
    pub(super) fn lasts(&self) -> bool {
        self.spec.steps.iter().any(|step| step.lasts)
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

    /// What was asked for of a step.
    pub(super) fn step_spec(&self, step: u32) -> Option<&StepSpec> {
        self.spec.steps.get(step as usize)
    }

    /// The steps whose turn has come and that have tasks waiting.
    pub(super) fn due_steps(&mut self, now: Time) -> Vec<StepName> {
        let mut due = Vec::new();
        self.may_wait = false;
        for (&number, occurrence) in &self.occurrences {
            for (at, spec) in (0_u32..).zip(&self.spec.steps) {
                let step = &occurrence.steps[at as usize];
                if step.is_done() || !occurrence.is_due(spec) || !step.has_unplaced() {
                    continue;
                }
                // Those that failed a moment ago wait a little longer.
                self.may_wait = true;
                if step.tasks.iter().any(|task| task.waits(now)) {
                    due.push(StepName { job: self.id, occurrence: number, step: at });
                }
            }
        }
        due
    }

    /// Whether a step whose turn has come has a task that is neither done nor placed.
    pub(super) fn has_due_unplaced(&self) -> bool {
        let due = |occurrence: &Occurrence, at: usize, spec: &StepSpec| {
            occurrence.is_due(spec) && occurrence.steps[at].has_unplaced()
        };
        self.occurrences.values().any(|occurrence| {
            self.spec.steps.iter().enumerate().any(|(at, spec)| due(occurrence, at, spec))
        })
    }

    /// The numbers of all failed runs of a gang's members, each counted once.
    pub(super) fn failed_runs_of_gang(&self, name: StepName) -> u32 {
        let tasks = self.step(name).into_iter().flat_map(|step| &step.tasks);
        tasks.flat_map(|task| &task.failed_runs).collect::<BTreeSet<_>>().len() as u32
    }

    /// Makes a task start without its checkpoint: a gang as a whole, as its members bring the same one.
    pub(super) fn drop_checkpoint(&mut self, name: TaskName) {
        let gang = self.step_spec(name.step).is_some_and(|spec| spec.gang);
        let Some(step) = self.step_mut(name.step_name()) else { return };
        for (index, task) in (0..).zip(&mut step.tasks) {
            if gang || index == name.index {
                task.checkpoint = None;
            }
        }
    }

    /// The tasks that an earlier owner was about to start, as it kept, and on which worker.
    pub(super) fn begun_tasks(&self) -> Vec<(TaskName, BegunRun)> {
        let mut begun = Vec::new();
        for (&occurrence, there) in &self.occurrences {
            for (step, tasks) in (0_u32..).zip(&there.steps) {
                for (index, task) in (0_u32..).zip(&tasks.tasks).filter(|(_, task)| !task.done) {
                    let name = TaskName { job: self.id, occurrence, step, index };
                    begun.extend(task.crashes.begun.clone().map(|run| (name, run)));
                }
            }
        }
        begun
    }

    pub(super) fn begin(&mut self, occurrence: u32) {
        if !self.occurrences.contains_key(&occurrence) {
            self.occurrences.insert(occurrence, Occurrence::new(&self.spec));
            self.may_wait = true;
        }
    }

    /// When the next time of the schedule that is not begun falls due, since 1970.
    pub(super) fn next_due_unix_ms(&self) -> Option<(u32, u64)> {
        let schedule = self.spec.schedule?;
        let next = self.occurrences.keys().next_back().map_or(self.done_before, |last| last + 1);
        let due_ms = schedule.start_at_unix_ms + u64::from(next) * schedule.interval_ms;
        (next < schedule.count.max(1)).then_some((next, due_ms))
    }

    pub(super) fn all_done(&self) -> bool {
        self.done_before as usize + self.occurrences.len() == self.spec.occurrences() as usize
            && self.occurrences.values().all(Occurrence::is_done)
    }

    /// Forgets the times of the schedule that are done, up to the first one that is not.
    pub(super) fn forget_done_occurrences(&mut self) {
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

    pub(super) fn progress(&self) -> ProgressRecord {
        let pack = |(&number, occurrence): (&u32, &Occurrence)| {
            let steps = occurrence.steps.iter().map(Step::progress).collect();
            (number, OccurrenceProgress { steps })
        };
        let mut occurrences = match self.outcome {
            Outcome::Open => self.occurrences.iter().map(pack).collect(),
            _ => BTreeMap::new(),
        };
        keep_heaviest_crashes(&mut occurrences);
        ProgressRecord {
            id: self.id,
            outcome: self.outcome,
            ended_unix_ms: self.ended_unix_ms,
            done_before: self.done_before,
            occurrences,
        }
    }

    fn restore_progress(&mut self, progress: ProgressRecord) {
        self.done_before = progress.done_before;
        self.begun |= self.done_before > 0;
        self.occurrences.retain(|&number, _| number >= progress.done_before);
        for (number, occurrence) in progress.occurrences {
            self.begin(number);
            self.restore_occurrence(number, &occurrence);
        }
    }

    fn restore_occurrence(&mut self, number: u32, progress: &OccurrenceProgress) {
        let Some(occurrence) = self.occurrences.get_mut(&number) else { return };
        for (step, kept) in occurrence.steps.iter_mut().zip(&progress.steps) {
            self.begun |= step.restore(kept);
        }
    }
}

/// Leaves out crashes of tasks beyond [`MOST_KEPT_CRASHES`], those that weigh least first.
fn keep_heaviest_crashes(occurrences: &mut BTreeMap<u32, OccurrenceProgress>) {
    let steps = occurrences.values().flat_map(|occurrence| &occurrence.steps);
    let mut weights =
        steps.flat_map(|step| &step.crashes).map(|(_, it)| it.weight).collect::<Vec<_>>();
    if weights.len() <= MOST_KEPT_CRASHES {
        return;
    }
    weights.sort_unstable_by(|a, b| b.cmp(a));
    let least = weights[MOST_KEPT_CRASHES - 1];
    let heavier = weights.iter().filter(|&&weight| weight > least).count();
    // Of those that weigh the same some are left out.
    let mut left = MOST_KEPT_CRASHES - heavier;
    for step in occurrences.values_mut().flat_map(|occurrence| &mut occurrence.steps) {
        step.crashes.retain(|_, crashes| {
            let as_heavy = crashes.weight == least && left > 0;
            left -= usize::from(as_heavy);
            crashes.weight > least || as_heavy
        });
    }
}
