//! Divides the progress of a job into parts, each of which fits into a row of the store.

use std::ops::{Range, RangeInclusive};

use super::{
    names::{StepName, TaskName},
    record::BYTES_PER_FAILED_RUN,
    spec::JobSpec,
};

/// The most bytes that the progress of the tasks in one part takes. A row of the store holds 64 KiB,
/// which may count the value as base64, that is 48 KiB of JSON.
const MAX_TASK_BYTES: usize = 34 * 1_024;
/// The most bytes of a task without failed runs: its own occurrence and step, and its bit.
const BYTES_PER_TASK: usize = 52;
/// The least number of attempts that a part has space for. Operators may raise the limit of attempts
/// while a job is open, but its parts stay as they are.
const MIN_ATTEMPTS: u32 = 8;

/// The division of a job's tasks into parts: consecutive tasks, over all steps and occurrences.
///
/// It depends only on the job as accepted, so that all owners divide it alike.
#[derive(Debug)]
pub(super) struct ProgressParts {
    tasks_per_part: u64,
    /// The number of tasks of each occurrence before each step, and of all its tasks.
    offsets: Vec<u64>,
    occurrences: u64,
}

impl ProgressParts {
    /// Divides a job, given the number of failed runs of a task at which the job fails.
    pub(super) fn new(spec: &JobSpec, max_attempts: u32) -> Self {
        let mut offsets = vec![0];
        offsets.extend(spec.steps.iter().scan(0, |tasks, step| {
            *tasks += u64::from(step.count);
            Some(*tasks)
        }));
        let failed_runs = max_attempts.max(MIN_ATTEMPTS) as usize - 1;
        let bytes_per_task = BYTES_PER_TASK + BYTES_PER_FAILED_RUN.saturating_mul(failed_runs);
        Self {
            tasks_per_part: (MAX_TASK_BYTES / bytes_per_task).max(1) as u64,
            offsets,
            occurrences: u64::from(spec.occurrences()),
        }
    }

    /// Returns the number of parts.
    pub(super) fn count(&self) -> u32 {
        let tasks = self.tasks_per_occurrence() * self.occurrences;
        tasks.div_ceil(self.tasks_per_part) as u32
    }

    /// Returns the part that holds a task.
    pub(super) fn part_of(&self, name: TaskName) -> u32 {
        let first = u64::from(name.occurrence) * self.tasks_per_occurrence();
        let task = first + self.offsets[name.step as usize] + u64::from(name.index);
        (task / self.tasks_per_part) as u32
    }

    /// Returns the parts that hold the tasks of a step.
    pub(super) fn parts_of_step(&self, name: StepName) -> RangeInclusive<u32> {
        let StepName { job, occurrence, step } = name;
        let tasks = self.offsets[step as usize + 1] - self.offsets[step as usize];
        let task = |index| TaskName { job, occurrence, step, index };
        self.part_of(task(0))..=self.part_of(task(tasks.saturating_sub(1) as u32))
    }

    /// Returns the occurrences with tasks in a part.
    pub(super) fn occurrences_in(&self, part: u32) -> RangeInclusive<u32> {
        let Range { start, end } = self.tasks_in(part);
        let occurrence_of = |task| (task / self.tasks_per_occurrence().max(1)) as u32;
        occurrence_of(start)..=occurrence_of(end - 1)
    }

    /// Returns the tasks of each step of an occurrence that are in a part, up to the last step with
    /// such tasks.
    pub(super) fn steps_in(&self, part: u32, occurrence: u32) -> Vec<Range<usize>> {
        let Range { start, end } = self.tasks_in(part);
        let first = u64::from(occurrence) * self.tasks_per_occurrence();
        let steps = self.offsets.windows(2).map(|bounds| {
            let (step_start, step_end) = (first + bounds[0], first + bounds[1]);
            let in_step = |task: u64| (task.clamp(step_start, step_end) - step_start) as usize;
            in_step(start)..in_step(end)
        });
        let mut steps = steps.collect::<Vec<_>>();
        let used = steps.iter().rposition(|tasks| !tasks.is_empty()).map_or(0, |last| last + 1);
        steps.truncate(used);
        steps
    }

    /// Returns the tasks of a part, counted over all occurrences.
    fn tasks_in(&self, part: u32) -> Range<u64> {
        let start = u64::from(part) * self.tasks_per_part;
        start..start + self.tasks_per_part
    }

    fn tasks_per_occurrence(&self) -> u64 {
        self.offsets.last().copied().unwrap_or(0)
    }
}
