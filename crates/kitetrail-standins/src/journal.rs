//! The journals of the stand-ins, which the judge checks.

use std::{
    fs::File,
    io::Write,
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};

use kitetrail_core::{Attempt, Resources, TaskId};
use serde::{Deserialize, Serialize};

use crate::server::StandinError;

/// An event in the journal of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum WorkerEvent {
    /// The worker started.
    Boot {
        /// The capacity of the worker.
        capacity: Resources,
    },
    /// A task started.
    Start {
        /// The task.
        task: TaskId,
        /// The run.
        attempt: Attempt,
        /// Whether running a second copy at the same time would break a promise.
        exclusive: bool,
        /// The resources that the task uses.
        size: Resources,
        /// The progress from which the task resumed, in milliseconds of work.
        resume_ms: u64,
    },
    /// A task stopped.
    Stop {
        /// The task.
        task: TaskId,
        /// The run.
        attempt: Attempt,
        /// Whether the task completed.
        done: bool,
        /// The progress saved in the last checkpoint, in milliseconds of work.
        checkpoint_ms: u64,
        /// The unsaved progress that was lost, in milliseconds of work.
        lost_ms: u64,
    },
    /// The worker was killed. The process that killed it writes this event.
    Killed,
    /// A request started to run.
    Execute {
        /// The request's id.
        request: String,
    },
}

/// An event with its time on the system clock, which all stand-ins of a machine share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// The time of the event, in milliseconds.
    pub at_ms: u64,
    /// The event itself.
    #[serde(flatten)]
    pub event: WorkerEvent,
}

/// A request from the point of view of its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerEntry {
    /// The request's id.
    pub request: String,
    /// Whether the request must not run more than once.
    pub once: bool,
    /// The outcome of the answer: `done`, `not-run` or `unknown`, or `none` without an answer.
    pub outcome: String,
    /// The HTTP status, or 0 without an answer.
    pub status: u16,
    /// The reason why there is no answer, if there is none.
    #[serde(default)]
    pub error: Option<String>,
    /// The error in the answer, if any.
    pub fault: Option<String>,
    /// The time after which the answer allows another attempt, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// The latency from the scheduled time of sending, in microseconds.
    pub latency_us: u64,
}

/// A file to which entries are appended.
#[derive(Debug)]
pub struct Journal {
    file: File,
}

impl Journal {
    /// Opens or creates a journal file. New entries are appended to existing ones.
    pub fn open(path: &Path) -> Result<Self, StandinError> {
        let operation = format!("can't open {}", path.display());
        let file = File::options().create(true).append(true).open(path);
        Ok(Self { file: file.map_err(|cause| StandinError::Io { operation, cause })? })
    }

    /// Appends an entry in a single write, so that a killed process leaves no partial line.
    pub fn add(&mut self, entry: &impl Serialize) {
        let mut line = serde_json::to_vec(entry).unwrap_or_default();
        line.push(b'\n');
        if let Err(error) = self.file.write_all(&line) {
            eprintln!("error: the journal can't be written: {error}");
        }
    }
}

/// Returns the time on the system clock, which all stand-ins of a machine share, in milliseconds.
pub fn shared_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
