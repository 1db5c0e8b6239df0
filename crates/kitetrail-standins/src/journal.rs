//! What stand-ins write down, for the judge to read.

use std::{
    fs::File,
    io::Write,
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};

use kitetrail_core::{Attempt, Resources, TaskId};
use serde::{Deserialize, Serialize};

use crate::server::StandinError;

/// One thing a worker did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum WorkerEvent {
    /// The worker started.
    Boot {
        /// What it has.
        capacity: Resources,
    },
    /// A task started.
    Start {
        /// The task.
        task: TaskId,
        /// The run.
        attempt: Attempt,
        /// Whether a second copy would break a promise.
        exclusive: bool,
        /// What it takes.
        size: Resources,
        /// The progress it resumed from, in milliseconds of work.
        resume_ms: u64,
    },
    /// A task stopped.
    Stop {
        /// The task.
        task: TaskId,
        /// The run.
        attempt: Attempt,
        /// Whether it ran to its end.
        done: bool,
        /// The progress it saved, in milliseconds of work.
        checkpoint_ms: u64,
        /// The progress it made and did not save, in milliseconds of work.
        lost_ms: u64,
    },
    /// The worker was killed. Whoever killed it writes this.
    Killed,
    /// A request began to run.
    Execute {
        /// The request's id.
        request: String,
    },
}

/// An event with its time on the clock all stand-ins of one machine share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// The event.
    #[serde(flatten)]
    pub event: WorkerEvent,
}

/// One request as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerEntry {
    /// The request's id.
    pub request: String,
    /// Whether it must not run more than once.
    pub once: bool,
    /// What the caller was told: `done`, `not-run`, `unknown`, or `none` without answer.
    pub outcome: String,
    /// The HTTP status, zero without answer.
    pub status: u16,
    /// Why there is no answer, if there is none.
    #[serde(default)]
    pub error: Option<String>,
    /// What was wrong with the answer, if anything.
    pub fault: Option<String>,
    /// When to come back, if the answer said so, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// How long it took from the intended moment of sending, in microseconds.
    pub latency_us: u64,
}

/// A file to which entries are added one by one.
#[derive(Debug)]
pub struct Journal {
    file: File,
}

impl Journal {
    /// Opens a file and adds to what it holds.
    pub fn open(path: &Path) -> Result<Self, StandinError> {
        let what = format!("can't open {}", path.display());
        let file = File::options().create(true).append(true).open(path);
        Ok(Self { file: file.map_err(|cause| StandinError::Io { what, cause })? })
    }

    /// Adds an entry in one write, so that a kill leaves no half line behind.
    pub fn add(&mut self, entry: &impl Serialize) {
        let mut line = serde_json::to_vec(entry).unwrap_or_default();
        line.push(b'\n');
        if let Err(error) = self.file.write_all(&line) {
            eprintln!("error: the journal can't be written: {error}");
        }
    }
}

/// The time on the clock all stand-ins of one machine share, in milliseconds.
pub fn shared_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
