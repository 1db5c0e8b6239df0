//! The reasons for which jobs end.

use super::{event::JobState, names::TaskName, record::Outcome};

/// Why a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCause {
    /// All tasks are done.
    Completed,
    /// The caller cancelled the job.
    CancelledByCaller,
    /// A task, or the gang that it belongs to, reached the limit of failed runs.
    FailedRuns {
        /// The task whose run failed last.
        task: TaskName,
        /// The number of its failed runs, or of those of its gang.
        failed_runs: u32,
        /// The number at which the job fails.
        max_attempts: u32,
    },
    /// A task crashes the workers that run it.
    CrashesWorkers {
        /// The task.
        task: TaskName,
    },
    /// The store permanently refuses the progress of the job.
    RecordRefused,
}

impl EndCause {
    /// Returns the value in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::CancelledByCaller => "cancelled-by-caller",
            Self::FailedRuns { .. } => "failed-runs",
            Self::CrashesWorkers { .. } => "crashes-workers",
            Self::RecordRefused => "record-refused",
        }
    }

    /// Returns the outcome that is stored.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Completed => Outcome::Completed,
            Self::CancelledByCaller => Outcome::Cancelled,
            Self::FailedRuns { .. } | Self::CrashesWorkers { .. } | Self::RecordRefused => {
                Outcome::Failed
            }
        }
    }

    /// Returns the state that callers are shown.
    pub fn state(self) -> JobState {
        match self {
            Self::Completed => JobState::Completed,
            Self::CancelledByCaller => JobState::Cancelled,
            Self::FailedRuns { .. } | Self::CrashesWorkers { .. } | Self::RecordRefused => {
                JobState::Failed
            }
        }
    }
}
