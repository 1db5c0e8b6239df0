//! What a worker is told to do, and what comes back.

use std::sync::Arc;

use super::names::{Incarnation, TaskName};

/// A task to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskName,
    /// Which of its runs.
    pub run: u32,
    /// What the task is told.
    pub payload: Arc<str>,
    /// Where it goes on from.
    pub checkpoint: Option<String>,
    /// The proof that an adviser allows this worker, if the queue needs one.
    pub ticket: Option<String>,
}

/// What a worker is told to do, one at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Run a task.
    Start(StartOrder),
    /// Stop a run.
    Stop {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
    },
    /// Let a run work at a share of its speed.
    Pace {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// Its share, in percent.
        percent: u8,
    },
}

impl Order {
    /// The run that is meant.
    pub fn run(&self) -> (TaskName, u32) {
        match self {
            Order::Start(start) => (start.task, start.run),
            Order::Stop { task, run } | Order::Pace { task, run, .. } => (*task, *run),
        }
    }
}

/// Why a worker refused an order. It has done nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// It knows a later run, or that this one ended.
    Old,
    /// The lease had passed already.
    Late,
    /// It has no room.
    Room,
    /// The proof of the adviser is missing or no longer valid.
    Ticket,
    /// It can't read the order.
    Malformed,
    /// It is not well.
    Unhealthy,
}

/// What came back to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is done.
    Done {
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
        /// Which start of the worker under its id has done it, if the answer tells.
        incarnation: Option<Incarnation>,
    },
    /// It is not done.
    Refused(Refusal),
    /// This life of the worker is over.
    LifeOver,
    /// Nothing came back. It may have been done, or be done later.
    Unanswered,
}
