//! The specification of jobs and steps by callers, and the terms of queues.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::names::QueueName;
use crate::Resources;

/// The maximum number of steps of a job. Known callers use a dozen at most.
pub const MAX_STEPS: usize = 256;
/// The maximum number of tasks of a job, over all its steps. It bounds the memory that one job
/// takes.
pub const MAX_TASKS: u64 = 10_000;
/// The maximum length of a payload, in bytes, as documented in the callers' interface.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// The maximum number of occurrences of a schedule: the same as the maximum number of tasks of a
/// job.
pub const MAX_OCCURRENCES: u32 = 10_000;
/// The maximum number of tasks over all occurrences of a schedule, which may all be due at once. It
/// bounds the memory that one job takes to about 10 MB.
pub const MAX_SCHEDULED_TASKS: u64 = 100_000;
/// The maximum size of a stored job specification, in bytes. A row of the store holds 64 KiB, and
/// the terms of the queue are stored in the same row.
pub const MAX_JOB_BYTES: usize = 56 * 1_024;

/// The longest estimate of a task's run time that is used, in milliseconds: a year. Sums over the steps of a job fit into
/// all types of times.
const MAX_ESTIMATE_MS: u64 = 365 * 24 * 60 * 60 * 1_000;

/// Why a job is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidJob {
    /// The job has no steps.
    #[error("a job needs at least one step")]
    NoSteps,
    /// The job has too many steps.
    #[error("a job has at most {MAX_STEPS} steps, this one has {0}")]
    TooManySteps(usize),
    /// A step has no tasks.
    #[error("step {0} has no tasks: give a count of 1 or more")]
    EmptyStep(usize),
    /// The job has too many tasks.
    #[error("a job has at most {MAX_TASKS} tasks, this one has {0}")]
    TooManyTasks(u64),
    /// The payload is too long.
    #[error("the payload has {0} bytes, at most {MAX_PAYLOAD_BYTES} are kept")]
    PayloadTooLong(usize),
    /// A step depends on a step that does not exist.
    #[error("step {step} depends on step {dependency}, which does not exist")]
    UnknownDependency {
        /// The dependent step.
        step: usize,
        /// The missing step.
        dependency: u32,
    },
    /// The dependencies of the steps form a cycle.
    #[error("step {0} waits for itself, over its dependencies")]
    DependencyCycle(usize),
    /// The schedule has too many tasks over all its occurrences.
    #[error("a schedule has at most {MAX_SCHEDULED_TASKS} tasks over all its times, not {0}")]
    TooManyScheduledTasks(u64),
    /// The stored job would be too large.
    #[error("a job takes at most {MAX_JOB_BYTES} bytes as it is kept, this one {0}: split it")]
    TooLong(usize),
    /// The schedule has too many occurrences.
    #[error("a schedule has at most {MAX_OCCURRENCES} times, this one has {0}")]
    TooManyOccurrences(u32),
}

/// A step of a job: tasks that may run in parallel.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task takes.
    pub size: Resources,
    /// The caller's estimate of the run time of a task, in milliseconds. It is often far off.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// The steps whose tasks must all be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<u32>,
    /// Whether a stopped task can continue from a checkpoint.
    #[serde(skip_serializing_if = "is_default")]
    pub keeps_progress: bool,
    /// Whether the tasks work only together: all members of the gang start together or none does.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks are slower when they are spread over several racks.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// The label that a worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
    /// The rack that holds the data; the tasks are slower elsewhere.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub near_rack: Option<String>,
    /// The maximum number of tasks of the step on one worker.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_per_worker: Option<u32>,
    /// Whether several copies of one task may run at the same time.
    #[serde(skip_serializing_if = "is_default")]
    pub copies_allowed: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasts", skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// The image that the tasks run. Tasks of one image behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// The target of the tail latency, in milliseconds, if the tasks serve users.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tail_target_ms: Option<u64>,
    /// Whether the tasks are best-effort: they use the processor time that others leave and have no
    /// reservation of it.
    #[serde(rename = "fills", skip_serializing_if = "is_default")]
    pub best_effort: bool,
    /// The maximum number of tasks that may be unavailable at the same time because of the
    /// scheduler's decisions.
    #[serde(rename = "may_miss", skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns the kind of work that the tasks are.
    pub fn kind(&self) -> WorkKind {
        match (self.long_running, self.best_effort) {
            (true, _) => WorkKind::LongRunning,
            (false, true) => WorkKind::BestEffort,
            (false, false) => WorkKind::Short,
        }
    }
}

/// The kind of work that a task is. Each kind needs other free resources of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// The task reserves processor time and ends by itself.
    Short,
    /// The task uses the processor time that others leave, and ends by itself.
    BestEffort,
    /// The task runs until its job is cancelled.
    LongRunning,
}

impl WorkKind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Short, Self::BestEffort, Self::LongRunning];
}

impl Display for WorkKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "short",
            Self::BestEffort => "best-effort",
            Self::LongRunning => "lasting",
        })
    }
}

/// Returns whether a field has its default value, so that it is not stored.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// The schedule of a job that repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The time at which the first occurrence is due, in milliseconds since 1970.
    pub start_at_unix_ms: u64,
    /// The time from one occurrence to the next, in milliseconds.
    pub interval_ms: u64,
    /// The number of occurrences.
    pub count: u32,
}

/// A job as submitted by its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The payload that is passed to each task. Only the caller interprets it.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// The schedule, if the steps repeat.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

impl JobSpec {
    /// Checks the limits and the dependencies of the job.
    pub fn check(&self) -> Result<(), InvalidJob> {
        match self.steps.len() {
            0 => return Err(InvalidJob::NoSteps),
            count if count > MAX_STEPS => return Err(InvalidJob::TooManySteps(count)),
            _ => {}
        }
        if let Some(step) = self.steps.iter().position(|step| step.count == 0) {
            return Err(InvalidJob::EmptyStep(step));
        }
        let tasks = self.steps.iter().map(|step| u64::from(step.count)).sum::<u64>();
        if tasks > MAX_TASKS {
            return Err(InvalidJob::TooManyTasks(tasks));
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(InvalidJob::PayloadTooLong(self.payload.len()));
        }
        if let Some(schedule) = self.schedule.filter(|schedule| schedule.count > MAX_OCCURRENCES) {
            return Err(InvalidJob::TooManyOccurrences(schedule.count));
        }
        let scheduled = tasks * u64::from(self.occurrences());
        if scheduled > MAX_SCHEDULED_TASKS {
            return Err(InvalidJob::TooManyScheduledTasks(scheduled));
        }
        self.check_dependencies()?;
        match self.stored_bytes() {
            bytes if bytes > MAX_JOB_BYTES => Err(InvalidJob::TooLong(bytes)),
            _ => Ok(()),
        }
    }

    /// Limits the estimates to what is used of them. Callers may state any number.
    pub(super) fn with_bounded_estimates(mut self) -> Self {
        for step in &mut self.steps {
            step.estimate_ms = step.estimate_ms.min(MAX_ESTIMATE_MS);
        }
        self
    }

    /// Returns the size of the stored job specification, in bytes.
    pub fn stored_bytes(&self) -> usize {
        // The specification contains only strings and numbers, so serialisation can't fail.
        serde_json::to_vec(self).map_or(usize::MAX, |json| json.len())
    }

    /// Returns the approximate memory that the specification takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let step_bytes = |step: &StepSpec| {
            let texts = [&step.label, &step.near_rack, &step.image];
            let texts = texts.into_iter().flatten().map(String::len).sum::<usize>();
            size_of::<StepSpec>() + texts + step.depends_on.len() * size_of::<u32>()
        };
        size_of::<Self>() + self.payload.len() + self.steps.iter().map(step_bytes).sum::<usize>()
    }

    /// Returns the number of times that the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// Returns the estimated length of the critical path, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        self.critical_path_by(|_, step| step.estimate_ms)
    }

    /// Returns the length of the critical path through the steps, in milliseconds, for given times
    /// of the steps.
    pub(super) fn critical_path_by(&self, step_ms: impl Fn(usize, &StepSpec) -> u64) -> u64 {
        let mut finish_ms = vec![0_u64; self.steps.len()];
        // A step may depend on a later one, so it takes up to one round per step until the lengths
        // are final.
        for _ in 0..self.steps.len() {
            for (number, step) in self.steps.iter().enumerate() {
                let start_ms =
                    step.depends_on.iter().map(|&dependency| finish_ms[dependency as usize]).max();
                finish_ms[number] = start_ms.unwrap_or(0) + step_ms(number, step);
            }
        }
        finish_ms.into_iter().max().unwrap_or(0)
    }

    fn check_dependencies(&self) -> Result<(), InvalidJob> {
        for (step, spec) in self.steps.iter().enumerate() {
            let unknown =
                spec.depends_on.iter().find(|&&dependency| dependency as usize >= self.steps.len());
            if let Some(&dependency) = unknown {
                return Err(InvalidJob::UnknownDependency { step, dependency });
            }
        }
        self.first_unresolvable_step().map_or(Ok(()), |step| Err(InvalidJob::DependencyCycle(step)))
    }

    /// Returns the first step whose dependencies contain a cycle. All dependencies must exist.
    fn first_unresolvable_step(&self) -> Option<usize> {
        let mut resolved = vec![false; self.steps.len()];
        loop {
            let is_resolvable = |number: &usize| {
                let step = &self.steps[*number];
                !resolved[*number]
                    && step.depends_on.iter().all(|&dependency| resolved[dependency as usize])
            };
            match (0..self.steps.len()).find(is_resolvable) {
                Some(number) => resolved[number] = true,
                None => return resolved.iter().position(|resolved| !resolved),
            }
        }
    }
}

/// The terms that operators set for the jobs of a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueTerms {
    /// The name of the queue.
    pub name: QueueName,
    /// The version of the configuration that sets these terms. Zero in rows and calls of earlier
    /// releases.
    #[serde(default)]
    pub config_version: u64,
    /// The service whose workers run the tasks.
    pub service: String,
    /// The priority: queues with a lower number go first.
    pub priority: u32,
    /// The number of failed runs of a task at which its job fails.
    pub max_attempts: u32,
    /// The factor by which the critical path of a job is multiplied for its time objective.
    pub stretch: f64,
    /// The time that is added to this product, in milliseconds.
    pub target_latency_ms: u64,
}
