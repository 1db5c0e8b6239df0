//! What jobs, their tasks, queues and workers' lives are called.

use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

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
        let shaped = s.len() == 16 && s.bytes().all(lower_hex);
        let number = if shaped { u64::from_str_radix(s, 16).ok() } else { None };
        number.map(Self).ok_or_else(|| InvalidName {
            text: s.chars().take(40).collect(),
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
            text: s.chars().take(80).collect(),
            expected: "a task's name: write job.occurrence.step.index",
        };
        let mut parts = s.split('.');
        let job = parts.next().ok_or_else(invalid)?.parse().map_err(|_| invalid())?;
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or_else(invalid);
        Ok(Self { job, occurrence: number()?, step: number()?, index: number()? })
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
    /// The id of one life of a worker: it changes when the worker starts anew.
    LifeId
}
