//! Orders to workers, and their answers.

use std::sync::Arc;

use super::{
    names::{Incarnation, TaskName},
    spec::WorkKind,
};

/// An order to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u32,
    /// The kind of work that the task is.
    pub kind: WorkKind,
    /// The payload for the task.
    pub payload: Arc<str>,
    /// The checkpoint to continue from.
    pub checkpoint: Option<String>,
    /// The proof that an adviser allows this worker, if the queue requires one.
    pub ticket: Option<String>,
}

/// An order to a worker. A worker gets one order at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Starts a task.
    Start(StartOrder),
    /// Stops a run.
    Stop {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
    },
    /// Limits a run to a share of its full speed.
    Pace {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The share, in percent.
        percent: u8,
    },
}

impl Order {
    /// Returns the task and run that the order is for.
    pub fn run(&self) -> (TaskName, u32) {
        match self {
            Order::Start(start) => (start.task, start.run),
            Order::Stop { task, run } | Order::Pace { task, run, .. } => (*task, *run),
        }
    }
}

/// Why a worker refused an order. A refused order has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderRefusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker knows a later run of the task, or this run has ended.
    Old,
    /// The lease had already expired.
    Late,
    /// The worker has too few free resources.
    Room,
    /// The adviser's proof is missing or no longer valid.
    Ticket,
    /// The worker can't parse the order.
    Malformed,
    /// The worker is unhealthy.
    Unhealthy,
}

/// The result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The worker carried out the order.
    Done {
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
        /// The incarnation that answered, if the answer says so.
        incarnation: Option<Incarnation>,
    },
    /// The worker refused the order.
    Refused(OrderRefusal),
    /// This worker instance is over.
    LifeOver,
    /// No answer arrived. The order may have been carried out, or may still be.
    Unanswered,
}
