//! What of a job must outlast every box.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    crashes::TaskCrashes,
    names::{Incarnation, JobId, LifeId, LifeKey},
    spec::{JobSpec, QueueTerms},
};

/// How many tasks' bits one hexadecimal digit holds.
const TASKS_PER_DIGIT: u32 = 4;

/// How a job stands for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Not ended.
    #[default]
    Open,
    /// All its tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// A row of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// An accepted job. Written once.
    Job(JobRecord),
    /// How far a job is. Written at each change that must be kept.
    Progress(ProgressRecord),
    /// What was asked for goes: the job ended, and nobody needs it any more.
    DropJob(JobId),
    /// A job that ended and whose time of being remembered is over: its progress goes.
    Forget(JobId),
    /// A worker's life that tasks may be started on. Written before the first of them.
    LifeUsed(LifeRecord),
    /// A worker's life on which certainly nothing runs any more.
    LifeOver(LifeKey),
    /// What was learned of how images disturb each other.
    Effects(EffectsRecord),
}

/// What was learned of how images disturb each other, so that a new owner need not learn it anew.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EffectsRecord {
    /// What is known of each image that serves.
    pub serving: Vec<ServingEffects>,
}

/// What is known of an image that serves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServingEffects {
    /// The image.
    pub image: String,
    /// Its lowest tail, in milliseconds.
    pub lowest_tail_ms: f64,
    /// How much stress each image that fills adds to it, when it uses all processors.
    pub effects: Vec<(String, f64)>,
}

/// A worker's life that tasks may be started on.
///
/// A new owner must hear each of them, or outwait its lease, before it starts anew what nobody
/// reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LifeRecord {
    /// The worker.
    pub id: LifeId,
    /// Which of its starts. `None` also in rows that were written before incarnations were told apart.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// Where it answers.
    pub address: String,
    /// The service whose tasks it runs.
    pub service: String,
    /// It was silent, and gets no lease before this is written anew.
    #[serde(default)]
    pub not_leased: bool,
}

impl LifeRecord {
    /// The incarnation that it is of.
    pub fn key(&self) -> LifeKey {
        LifeKey { id: self.id.clone(), incarnation: self.incarnation }
    }
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Its id.
    pub id: JobId,
    /// The queue that took it, with its terms at that moment.
    pub queue: QueueTerms,
    /// What was asked for.
    pub spec: JobSpec,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
}

/// How far a job is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// Its id.
    pub id: JobId,
    /// How it stands.
    #[serde(default)]
    pub outcome: Outcome,
    /// When it ended, in milliseconds since 1970.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_unix_ms: Option<u64>,
    /// The times of its schedule before this one are done.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub done_before: u32,
    /// The other times of its schedule that were begun.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub occurrences: BTreeMap<u32, OccurrenceProgress>,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// How far one time of a job's schedule is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    /// Its steps, in order.
    pub steps: Vec<StepProgress>,
}

/// How far a step is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// The tasks that are done, as bits of hexadecimal digits, the first task first.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub done: String,
    /// The runs of each task that failed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub failed_runs: BTreeMap<u32, Vec<u32>>,
    /// The workers that crashed under each task.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub crashes: BTreeMap<u32, TaskCrashes>,
}

impl StepProgress {
    /// Packs the tasks that are done.
    pub fn pack_done(done: impl Iterator<Item = bool>) -> String {
        let bits = done.collect::<Vec<_>>();
        let digit = |tasks: &[bool]| {
            let value = tasks.iter().enumerate().map(|(at, &bit)| u32::from(bit) << at).sum();
            char::from_digit(value, 16).unwrap_or('0')
        };
        if bits.iter().any(|&bit| bit) {
            bits.chunks(TASKS_PER_DIGIT as usize).map(digit).collect()
        } else {
            String::new()
        }
    }

    /// Whether a task is done.
    pub fn is_done(&self, index: u32) -> bool {
        let digit = self.done.as_bytes().get((index / TASKS_PER_DIGIT) as usize);
        let value = digit.and_then(|&digit| char::from(digit).to_digit(16)).unwrap_or(0);
        value >> (index % TASKS_PER_DIGIT) & 1 == 1
    }
}
