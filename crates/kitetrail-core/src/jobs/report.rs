//! Polls and the workers' reports.

use serde::{Deserialize, Serialize};

use super::names::{Incarnation, TaskName};

/// A status poll: it renews the leases of a worker and asks for a report, which the worker may
/// delay (long polling).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Poll {
    /// The fencing token. A higher token invalidates all orders with lower tokens.
    pub token: u64,
    /// The new end of all leases, on the worker's clock in milliseconds; `None` leaves the leases
    /// unchanged.
    pub lease_until_ms: Option<u64>,
    /// The number up to which run ends are acknowledged: they are persisted and need not be
    /// reported again.
    pub acknowledged_end: u64,
    /// The maximum time that the worker may wait for the end of a run before it answers, in
    /// milliseconds.
    pub wait_ms: u32,
}

/// Why there is no report for a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollFailure {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// This worker instance is over.
    InstanceOver,
    /// The worker answered that it is unhealthy.
    Unhealthy,
    /// No answer arrived.
    Unanswered,
}

/// A worker's report about its runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The incarnation that reports, if the platform says so.
    pub incarnation: Option<Incarnation>,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// The running tasks.
    pub running: Vec<RunningTask>,
    /// The ended runs that are not acknowledged, in order.
    pub ended: Vec<RunEnd>,
    /// Whether `ended` holds all of them. A worker lists a limited number at once, the earliest
    /// ones, so that a run may be in neither list although it has ended.
    pub lists_all_ends: bool,
}

/// A running task in a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: u32,
    /// The checkpoint that the task could continue from, if any.
    pub checkpoint: Option<String>,
    /// The share of work that is done, in percent; 100 for a long-running task that is ready.
    pub percent: u32,
    /// The tail latency in milliseconds if the task is serving, else the processor time in
    /// thousandths of a core; measured over the last half second.
    pub gauge: Option<u32>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunResult {
    /// The work is done.
    Done,
    /// The run failed, because of the task or the worker.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

/// The end of a run in a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// The number of the end, counted from 1 by each worker instance.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: u32,
    /// How the run ended.
    pub how: RunResult,
    /// The checkpoint that the task could continue from, if any.
    pub checkpoint: Option<String>,
}
