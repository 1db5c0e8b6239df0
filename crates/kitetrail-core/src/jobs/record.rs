//! The rows that the scheduler keeps in the store, so that the next owner can continue from them.

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
};

use serde::{Deserialize, Serialize};

use super::{
    crashes::TaskCrashes,
    names::{Incarnation, InstanceKey, JobId, WorkerName},
    progress_key::ProgressKey,
    spec::{JobSpec, QueueTerms},
};

/// The number of tasks per hexadecimal digit, one bit each.
pub(super) const TASKS_PER_DIGIT: u32 = 4;

/// The most bytes of a part of the progress beside its occurrences.
const PROGRESS_HEADER_BYTES: usize = 256;
/// The most bytes of an occurrence beside its steps: its number and its braces.
const BYTES_PER_OCCURRENCE: usize = 32;
/// The most bytes of a step beside its tasks: the names of its fields.
const BYTES_PER_STEP: usize = 64;
/// The most bytes of a task's number with its punctuation.
const BYTES_PER_STORED_TASK: usize = 16;
/// The most bytes of a failed run: the digits of the largest number, and a comma.
pub(super) const BYTES_PER_FAILED_RUN: usize = 11;

/// The stored outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The job has not ended.
    #[default]
    Open,
    /// All tasks of the job are done.
    Completed,
    /// A task reached the limit of failed runs.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// A change of a row in the store.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// Writes an accepted job. This happens once per job.
    Job(JobRecord),
    /// Writes a part of the progress of a job, at each change that must be persisted.
    Progress(ProgressRecord),
    /// Removes the specification of a job that has ended and is no longer needed.
    RemoveJob(JobId),
    /// Removes a part of the progress of a job that has ended. The first part, which holds the
    /// outcome, goes last, after the retention time of the job.
    RemoveProgress(ProgressKey),
    /// Writes a worker instance that tasks may be started on, before the first of them is started.
    PutInstance(InstanceRecord),
    /// Removes a worker instance on which certainly nothing runs any more.
    RemoveInstance(InstanceKey),
    /// Writes the learned interference between images.
    Effects(EffectsRecord),
    /// Writes a bound of the length of leases, before longer ones are granted.
    LongestLease(LeaseRecord),
}

impl Record {
    /// Returns what the record is about.
    pub fn subject(&self) -> RecordSubject {
        match self {
            Self::Job(JobRecord { id, .. })
            | Self::Progress(ProgressRecord { id, .. })
            | Self::RemoveJob(id)
            | Self::RemoveProgress(ProgressKey { job: id, .. }) => RecordSubject::Job(*id),
            Self::PutInstance(instance) => RecordSubject::Instance(instance.key()),
            Self::RemoveInstance(key) => RecordSubject::Instance(key.clone()),
            Self::Effects(_) => RecordSubject::Effects,
            Self::LongestLease(_) => RecordSubject::LongestLease,
        }
    }
}

/// What a record is about. Records about different subjects may be written apart.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordSubject {
    /// A job.
    Job(JobId),
    /// A worker instance.
    Instance(InstanceKey),
    /// The learned interference between images.
    Effects,
    /// The bound of the length of leases.
    LongestLease,
}

impl Display for RecordSubject {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Job(id) => write!(f, "job {id}"),
            Self::Instance(key) => write!(f, "worker {key}"),
            Self::Effects => f.write_str("effects"),
            Self::LongestLease => f.write_str("longest lease"),
        }
    }
}

/// The bound of the length of the leases that owners have granted.
///
/// A new owner waits this long for leases on workers that it can't reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The longest lease, in milliseconds.
    pub max_ms: u64,
}

/// The learned interference between images, stored so that a new owner does not have to learn it
/// again.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EffectsRecord {
    /// The entries of all serving images.
    pub serving: Vec<ServingEffects>,
}

/// The learned interference with one serving image.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServingEffects {
    /// The image.
    pub image: String,
    /// The lowest tail latency of the image, in milliseconds.
    pub lowest_tail_ms: f64,
    /// The stress that each best-effort image adds to this image when it uses all processors.
    pub effects: Vec<(String, f64)>,
}

/// A worker instance that tasks may be started on.
///
/// Before a new owner starts a task again that no worker reports, it must have an answer of each of
/// these instances, or wait until its leases have expired.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The worker.
    pub id: WorkerName,
    /// The incarnation. Also `None` in rows written before incarnations were distinguished.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// The address of the worker.
    pub address: String,
    /// The service whose tasks it runs.
    pub service: String,
    /// Whether the instance stopped answering and gets no lease until this row is rewritten.
    #[serde(default)]
    pub not_leased: bool,
}

impl InstanceRecord {
    /// Returns the key of the instance.
    pub fn key(&self) -> InstanceKey {
        InstanceKey { id: self.id.clone(), incarnation: self.incarnation }
    }
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The id of the job.
    pub id: JobId,
    /// The queue that accepted the job, with its terms at that time.
    pub queue: QueueTerms,
    /// The job's specification.
    pub spec: JobSpec,
    /// The time of acceptance, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
}

/// A part of the progress of a job.
///
/// Most jobs have a single part. The tasks of a job that could outgrow a row of the store are divided
/// into several, each with a row of its own. The job's progress is what all of them say together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// The id of the job.
    pub id: JobId,
    /// The number of the part.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub part: u32,
    /// When the job was accepted, in milliseconds since 1970. It tells the parts of a job from what
    /// is left of an earlier one with its id. Absent in the first part.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted_unix_ms: Option<u64>,
    /// The outcome.
    #[serde(default)]
    pub outcome: Outcome,
    /// The time at which the job ended, in milliseconds since 1970.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_unix_ms: Option<u64>,
    /// The number of leading occurrences of the schedule that are done.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub done_before: u32,
    /// The progress of the later occurrences that have begun and have tasks in the part, by number.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub occurrences: BTreeMap<u32, OccurrenceProgress>,
}

impl ProgressRecord {
    /// Returns the key of the record.
    pub fn key(&self) -> ProgressKey {
        ProgressKey { job: self.id, part: self.part }
    }

    /// Returns an upper bound of the size of the stored record, in bytes.
    pub(super) fn max_stored_bytes(&self) -> usize {
        let steps = self.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        let bytes = PROGRESS_HEADER_BYTES + self.occurrences.len() * BYTES_PER_OCCURRENCE;
        steps.map(StepProgress::max_stored_bytes).fold(bytes, usize::saturating_add)
    }
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// The progress of one occurrence of a job's schedule.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    /// The progress of the steps, in order.
    pub steps: Vec<StepProgress>,
}

/// The progress of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// The tasks that are done, as a bit set in hexadecimal digits: four tasks per digit, the first
    /// task in the lowest bit of the first digit.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub done: String,
    /// The index of the first task in `done`.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub done_from: u32,
    /// The failed runs of each task that is not done.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub failed_runs: BTreeMap<u32, Vec<u32>>,
    /// The crashes of workers that ran each task.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub crashes: BTreeMap<u32, TaskCrashes>,
}

impl StepProgress {
    /// Returns an upper bound of the size of the stored progress, in bytes.
    fn max_stored_bytes(&self) -> usize {
        let failed = self.failed_runs.values();
        let failed = failed.map(|runs| BYTES_PER_STORED_TASK + BYTES_PER_FAILED_RUN * runs.len());
        let crashes = self.crashes.values();
        let crashes = crashes.map(|crashes| BYTES_PER_STORED_TASK + crashes.stored_bytes());
        let bytes = BYTES_PER_STEP + self.done.len();
        failed.chain(crashes).fold(bytes, usize::saturating_add)
    }

    /// Returns the tasks that are done as a string of hexadecimal digits, empty if there are none.
    pub fn pack_done(done: impl Iterator<Item = bool>) -> String {
        let bits = done.collect::<Vec<_>>();
        let digit = |tasks: &[bool]| {
            let value =
                tasks.iter().enumerate().map(|(position, &bit)| u32::from(bit) << position).sum();
            char::from_digit(value, 16).unwrap_or('0')
        };
        if bits.iter().any(|&bit| bit) {
            bits.chunks(TASKS_PER_DIGIT as usize).map(digit).collect()
        } else {
            String::new()
        }
    }

    /// Returns whether a task is done.
    pub fn is_done(&self, index: u32) -> bool {
        let Some(position) = index.checked_sub(self.done_from) else { return false };
        let digit = self.done.as_bytes().get((position / TASKS_PER_DIGIT) as usize);
        let value = digit.and_then(|&digit| char::from(digit).to_digit(16)).unwrap_or(0);
        value >> (position % TASKS_PER_DIGIT) & 1 == 1
    }
}
