//! The names of jobs, tasks, queues and worker instances.

use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The maximum number of characters of a malformed job id that an error shows: more than twice the
/// valid length.
const MAX_SHOWN_JOB_ID_CHARS: usize = 40;
/// The same for a task name, whose numbers may be long.
const MAX_SHOWN_TASK_NAME_CHARS: usize = 80;
/// The same for a worker's incarnation, a number of at most 20 digits.
const MAX_SHOWN_INCARNATION_CHARS: usize = 40;
/// The length of a job id: the hexadecimal digits of a 64-bit number.
const JOB_ID_DIGITS: usize = 16;

/// A name that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{text}` is not {expected}")]
pub struct InvalidName {
    /// The given text, shortened.
    pub text: String,
    /// The expected form.
    pub expected: &'static str,
}

/// The id of a job, chosen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobId(pub u64);

impl Display for JobId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = InvalidName;

    fn from_str(s: &str) -> Result<Self, InvalidName> {
        let lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        let is_well_formed = s.len() == JOB_ID_DIGITS && s.bytes().all(lower_hex);
        let number = if is_well_formed { u64::from_str_radix(s, 16).ok() } else { None };
        number.map(Self).ok_or_else(|| InvalidName {
            text: s.chars().take(MAX_SHOWN_JOB_ID_CHARS).collect(),
            expected: "a job's id: write 16 lower-case hexadecimal digits",
        })
    }
}

impl TryFrom<String> for JobId {
    type Error = InvalidName;

    fn try_from(s: String) -> Result<Self, InvalidName> {
        s.parse()
    }
}

impl From<JobId> for String {
    fn from(id: JobId) -> String {
        id.to_string()
    }
}

/// The name of a task: its job, the occurrence in the schedule, the step, and the task's number in
/// the step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// The occurrence in the job's schedule, 0 without a schedule.
    pub occurrence: u32,
    /// The number of the step.
    pub step: u32,
    /// The number of the task in the step.
    pub index: u32,
}

impl Display for TaskName {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskName {
    type Err = InvalidName;

    fn from_str(s: &str) -> Result<Self, InvalidName> {
        let invalid = || InvalidName {
            text: s.chars().take(MAX_SHOWN_TASK_NAME_CHARS).collect(),
            expected: "a task's name: write job.occurrence.step.index",
        };
        let mut parts = s.split('.');
        let job = parts.next().ok_or_else(invalid)?.parse().map_err(|_| invalid())?;
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or_else(invalid);
        Ok(Self { job, occurrence: number()?, step: number()?, index: number()? })
    }
}

impl TaskName {
    /// Returns the name of the step that the task belongs to.
    pub(super) fn step_name(self) -> StepName {
        StepName { job: self.job, occurrence: self.occurrence, step: self.step }
    }
}

/// The name of a step in one occurrence of its job's schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct StepName {
    pub(super) job: JobId,
    pub(super) occurrence: u32,
    pub(super) step: u32,
}

impl StepName {
    /// Returns the name of the task with this number in the step.
    pub(super) fn task(self, index: u32) -> TaskName {
        TaskName { job: self.job, occurrence: self.occurrence, step: self.step, index }
    }
}

/// Declares a newtype over a shared string.
macro_rules! string_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<String> for $name {
            fn from(s: String) -> Self {
                Self(s.into())
            }
        }

        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                Self(s.into())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    };
}

string_newtype! {
    /// The name of a queue for jobs.
    QueueName
}
string_newtype! {
    /// The id of a worker. A worker that restarts has another id, or the same id and another
    /// [`Incarnation`].
    WorkerName
}

/// The incarnation of a worker under its id: the time of its start, in milliseconds since 1970.
///
/// Incarnations can be compared for equality only. The wall clock may have been set back between
/// two starts, so only the workers' answers show which of two incarnations is the later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Display for Incarnation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = InvalidName;

    fn from_str(s: &str) -> Result<Self, InvalidName> {
        s.parse().map(Self).map_err(|_| InvalidName {
            text: s.chars().take(MAX_SHOWN_INCARNATION_CHARS).collect(),
            expected: "an incarnation: write milliseconds since 1970 as a whole number",
        })
    }
}

/// The key of a worker instance. Its runs end with it, and its run numbers and clock are
/// meaningless to the next one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceKey {
    /// The worker.
    pub id: WorkerName,
    /// The incarnation, if the platform reports it.
    pub incarnation: Option<Incarnation>,
}

impl Display for InstanceKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.incarnation {
            Some(incarnation) => write!(f, "{}@{incarnation}", self.id),
            None => self.id.fmt(f),
        }
    }
}
