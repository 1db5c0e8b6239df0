//! The key of a row of progress.

use std::fmt::{self, Display, Formatter};

use super::names::JobId;

/// One part of the progress of a job, which has a row of its own in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProgressKey {
    /// The job.
    pub job: JobId,
    /// The number of the part, from 0. The first part also holds the outcome of the job.
    pub part: u32,
}

impl ProgressKey {
    /// Returns the key of the first part of a job's progress.
    pub fn first(job: JobId) -> Self {
        Self { job, part: 0 }
    }
}

impl Display for ProgressKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.part {
            0 => write!(f, "{}", self.job),
            part => write!(f, "{}.{part}", self.job),
        }
    }
}
