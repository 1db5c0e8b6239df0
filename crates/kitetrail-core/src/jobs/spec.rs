//! What a caller asks for: jobs, their steps, and the terms of the queue that takes them.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::names::QueueName;
use crate::Resources;

/// The most steps of a job. No caller we know of has more than a dozen.
pub const MAX_STEPS: usize = 256;
/// The most tasks of a job, over all its steps. Bounds the memory that one job takes.
pub const MAX_TASKS: u64 = 10_000;
/// The longest payload, in bytes, as the interface for callers promises.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// The most times a schedule repeats: as many as a job has tasks at most.
pub const MAX_OCCURRENCES: u32 = 10_000;
/// The most tasks over all times of a schedule, which may all be due at once. Bounds the memory that
/// one job takes to some 10 MB.
pub const MAX_SCHEDULED_TASKS: u64 = 100_000;
/// The longest job, in bytes as it is kept: rows of the store hold 64 KiB, and the terms of its
/// queue are kept with it.
pub const MAX_JOB_BYTES: usize = 56 * 1_024;

/// What is wrong with a job.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidJob {
    /// No steps at all.
    #[error("a job needs at least one step")]
    NoSteps,
    /// Too many steps.
    #[error("a job has at most {MAX_STEPS} steps, this one has {0}")]
    TooManySteps(usize),
    /// A step without tasks.
    #[error("step {0} has no tasks: give a count of 1 or more")]
    EmptyStep(usize),
    /// Too many tasks.
    #[error("a job has at most {MAX_TASKS} tasks, this one has {0}")]
    TooManyTasks(u64),
    /// A payload too long to keep.
    #[error("the payload has {0} bytes, at most {MAX_PAYLOAD_BYTES} are kept")]
    LongPayload(usize),
    /// A step depends on one that does not exist.
    #[error("step {step} depends on step {on}, which does not exist")]
    UnknownStep {
        /// The step.
        step: usize,
        /// What it names.
        on: u32,
    },
    /// Steps wait for each other.
    #[error("step {0} waits for itself, over its dependencies")]
    Circle(usize),
    /// Too many tasks over all times of the schedule.
    #[error("a schedule has at most {MAX_SCHEDULED_TASKS} tasks over all its times, not {0}")]
    TooManyScheduledTasks(u64),
    /// Too long to keep.
    #[error("a job takes at most {MAX_JOB_BYTES} bytes as it is kept, this one {0}: split it")]
    TooLong(usize),
    /// A schedule that repeats too often.
    #[error("a schedule has at most {MAX_OCCURRENCES} times, this one has {0}")]
    TooManyTimes(u32),
}

/// A number of tasks that may run beside each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// How many tasks.
    pub count: u32,
    /// What each task takes.
    pub size: Resources,
    /// The caller's guess of how long a task takes, in milliseconds. Often far off.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<u32>,
    /// A stopped task can go on from where it was.
    #[serde(skip_serializing_if = "is_default")]
    pub keeps_progress: bool,
    /// The tasks work only together.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// The tasks work slower when spread over racks.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// A label that the worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
    /// The rack that holds the data; the task is slower elsewhere.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub near_rack: Option<String>,
    /// The most tasks of the step on one worker.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_per_worker: Option<u32>,
    /// Several copies of one task may run beside each other.
    #[serde(skip_serializing_if = "is_default")]
    pub copies_allowed: bool,
    /// The tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub lasts: bool,
    /// What the tasks run: tasks of one image behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// The tasks serve users; the tail of their answers' times should stay below, in ms.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tail_target_ms: Option<u64>,
    /// The tasks use the processor time that others leave; their share of it is not reserved.
    #[serde(skip_serializing_if = "is_default")]
    pub fills: bool,
    /// How many tasks may be away at once by our doing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub may_miss: Option<u32>,
}

impl StepSpec {
    /// What its tasks ask of workers.
    pub fn kind(&self) -> WorkKind {
        match (self.lasts, self.fills) {
            (true, _) => WorkKind::Lasting,
            (false, true) => WorkKind::BestEffort,
            (false, false) => WorkKind::Short,
        }
    }
}

/// What a task asks of workers. Each kind waits for room of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// It reserves processor time and ends by itself.
    Short,
    /// It uses the processor time that others leave, and ends by itself.
    BestEffort,
    /// It runs until its job is cancelled.
    Lasting,
}

impl WorkKind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Short, Self::BestEffort, Self::Lasting];
}

impl Display for WorkKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "short",
            Self::BestEffort => "best-effort",
            Self::Lasting => "lasting",
        })
    }
}

/// Whether a field says nothing, so that it need not be kept.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// When a job repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first time is due, in milliseconds since 1970.
    pub start_at_unix_ms: u64,
    /// From one time to the next, in milliseconds.
    pub interval_ms: u64,
    /// How many times.
    pub count: u32,
}

/// A job as its caller handed it in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// What each task is told. Its meaning is the caller's.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When the steps repeat, if they do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

impl JobSpec {
    /// Checks sizes and dependencies.
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
            return Err(InvalidJob::LongPayload(self.payload.len()));
        }
        if let Some(schedule) = self.schedule.filter(|it| it.count > MAX_OCCURRENCES) {
            return Err(InvalidJob::TooManyTimes(schedule.count));
        }
        let in_all = tasks * u64::from(self.occurrences());
        if in_all > MAX_SCHEDULED_TASKS {
            return Err(InvalidJob::TooManyScheduledTasks(in_all));
        }
        self.check_dependencies()?;
        match self.kept_bytes() {
            bytes if bytes > MAX_JOB_BYTES => Err(InvalidJob::TooLong(bytes)),
            _ => Ok(()),
        }
    }

    /// How many bytes the job takes as it is kept.
    pub fn kept_bytes(&self) -> usize {
        // It holds texts and numbers alone, so it always serialises.
        serde_json::to_vec(self).map_or(usize::MAX, |json| json.len())
    }

    /// How many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// The estimated time of the longest chain of steps, in milliseconds.
    pub fn longest_chain_ms(&self) -> u64 {
        self.longest_chain_by(|_, step| step.estimate_ms)
    }

    /// The time of the longest chain of steps, each of which takes a given time, in milliseconds.
    pub(super) fn longest_chain_by(&self, step_ms: impl Fn(usize, &StepSpec) -> u64) -> u64 {
        let mut until_ms = vec![0_u64; self.steps.len()];
        // Dependencies may point forward, so lengths are settled in as many rounds as steps.
        for _ in 0..self.steps.len() {
            for (number, step) in self.steps.iter().enumerate() {
                let before = step.depends_on.iter().map(|&on| until_ms[on as usize]).max();
                until_ms[number] = before.unwrap_or(0) + step_ms(number, step);
            }
        }
        until_ms.into_iter().max().unwrap_or(0)
    }

    fn check_dependencies(&self) -> Result<(), InvalidJob> {
        for (step, spec) in self.steps.iter().enumerate() {
            let unknown = spec.depends_on.iter().find(|&&on| on as usize >= self.steps.len());
            if let Some(&on) = unknown {
                return Err(InvalidJob::UnknownStep { step, on });
            }
        }
        self.first_in_a_circle().map_or(Ok(()), |step| Err(InvalidJob::Circle(step)))
    }

    /// The first step that waits for itself. All dependencies must exist.
    fn first_in_a_circle(&self) -> Option<usize> {
        let mut settled = vec![false; self.steps.len()];
        loop {
            let can_settle = |number: &usize| {
                let step = &self.steps[*number];
                !settled[*number] && step.depends_on.iter().all(|&on| settled[on as usize])
            };
            match (0..self.steps.len()).find(can_settle) {
                Some(number) => settled[number] = true,
                None => return settled.iter().position(|settled| !settled),
            }
        }
    }
}

/// What operators set for the jobs of a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueTerms {
    /// The queue.
    pub name: QueueName,
    /// The service whose workers run its tasks.
    pub service: String,
    /// Lower goes first.
    pub priority: u32,
    /// How often a task may fail before its job does.
    pub max_attempts: u32,
    /// A job should take at most so many times its longest chain of work.
    pub stretch: f64,
    /// And so many milliseconds more.
    pub target_latency_ms: u64,
}
