//! What a worker is asked in a hold, and what it reports.

use serde::{Deserialize, Serialize};

use super::names::{Incarnation, TaskName};

/// Asks a worker what it runs, and lets it go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// The fencing token. Raising it voids orders with lower ones.
    pub token: u64,
    /// Until when all runs are leased, on the worker's clock; `None` leaves leases alone.
    pub lease_until_ms: Option<u64>,
    /// Ends up to this number are kept for good and need not be sent again.
    pub ends_kept: u64,
    /// How long the worker may wait for an end before it answers, in milliseconds.
    pub wait_ms: u32,
}

/// Why a hold brought no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldFailure {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// This life of the worker is over.
    LifeOver,
    /// It answered that it is not well.
    Unhealthy,
    /// Nothing came back.
    Unanswered,
}

/// What a worker says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Which start of the worker under its id tells it, if the platform tells.
    pub incarnation: Option<Incarnation>,
    /// Its clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs there.
    pub running: Vec<RunningTask>,
    /// What ended there and was not said to be kept, in order.
    pub ended: Vec<RunEnd>,
}

/// A run that a worker reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: u32,
    /// Where it could go on from, if anywhere.
    pub checkpoint: Option<String>,
    /// How much of its work is done, in percent; 100 for a task that lasts and is at work.
    pub percent: u32,
    /// The tail of its answers' times in milliseconds if it serves, else the processor time it
    /// uses in thousandths of a core; over the last half second.
    pub gauge: Option<u32>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HowEnded {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

/// An end that a worker reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// Its number, counted from 1 in each life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: u32,
    /// How it ended.
    pub how: HowEnded,
    /// Where it could go on from, if anywhere.
    pub checkpoint: Option<String>,
}
