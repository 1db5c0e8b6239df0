//! What jobs, their tasks, queues and workers' lives are called.

use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// How much of a malformed job's id an error shows, in characters: more than twice a right one.
const SHOWN_OF_JOB_ID: usize = 40;
/// The same for a task's name, whose numbers may be long.
const SHOWN_OF_TASK_NAME: usize = 80;
/// The same for the incarnation of a worker, a number of 20 digits at most.
const SHOWN_OF_INCARNATION: usize = 40;
/// The length of a job's id in hexadecimal digits, of a 64-bit number.
const JOB_ID_DIGITS: usize = 16;

/// A name that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{text}` is not {expected}")]
pub struct InvalidName {
    /// What was given.
    pub text: String,
    /// What would have been right.
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
        let shaped = s.len() == JOB_ID_DIGITS && s.bytes().all(lower_hex);
        let number = if shaped { u64::from_str_radix(s, 16).ok() } else { None };
        number.map(Self).ok_or_else(|| InvalidName {
            text: s.chars().take(SHOWN_OF_JOB_ID).collect(),
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

/// One task: a job, which time of its schedule, which step, and its number in the step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// Which time of the schedule, 0 without one.
    pub occurrence: u32,
    /// The step's number.
    pub step: u32,
    /// The task's number in the step.
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
            text: s.chars().take(SHOWN_OF_TASK_NAME).collect(),
            expected: "a task's name: write job.occurrence.step.index",
        };
        let mut parts = s.split('.');
        let job = parts.next().ok_or_else(invalid)?.parse().map_err(|_| invalid())?;
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or_else(invalid);
        Ok(Self { job, occurrence: number()?, step: number()?, index: number()? })
    }
}

impl TaskName {
    /// The step that the task belongs to.
    pub(super) fn step_name(self) -> StepName {
        StepName { job: self.job, occurrence: self.occurrence, step: self.step }
    }
}

/// One step at one time of its job's schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StepName {
    pub(super) job: JobId,
    pub(super) occurrence: u32,
    pub(super) step: u32,
}

impl StepName {
    /// The task with a number in the step.
    pub(super) fn task(self, index: u32) -> TaskName {
        TaskName { job: self.job, occurrence: self.occurrence, step: self.step, index }
    }
}

/// Declares a newtype over shared text.
macro_rules! text_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
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

text_type! {
    /// The name of a queue that takes jobs.
    QueueName
}
text_type! {
    /// The id of a worker. One that starts anew has another id, or the same one and another [`Incarnation`].
    LifeId
}

/// Which start of a worker under its id: the moment of it, in milliseconds since 1970.
///
/// It tells two incarnations of a worker apart, no more: the time of day may have been put back between them, so which of
/// two is the later one only answers show.
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
            text: s.chars().take(SHOWN_OF_INCARNATION).collect(),
            expected: "an incarnation: write milliseconds since 1970 as a whole number",
        })
    }
}

/// One incarnation of a worker: what runs in it ends with it, and its numbers and clock mean nothing to the next one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LifeKey {
    /// The worker.
    pub id: LifeId,
    /// Which of its starts, if the platform tells.
    pub incarnation: Option<Incarnation>,
}

impl Display for LifeKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.incarnation {
            Some(incarnation) => write!(f, "{}@{incarnation}", self.id),
            None => self.id.fmt(f),
        }
    }
}
