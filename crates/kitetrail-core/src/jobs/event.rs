//! What the scheduler is told, and what it wants done.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{
    life::{LifeNo, WorkerEntry},
    names::{JobId, LifeId, QueueName, TaskName},
    record::Record,
    spec::{JobSpec, QueueTerms},
};
use crate::Time;

/// Names a caller's request until it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNo(pub u64);

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller hands a job in.
    Submit {
        /// Who waits for the answer.
        request: RequestNo,
        /// The id that the caller chose.
        job: JobId,
        /// The queue that was addressed.
        queue: QueueTerms,
        /// What is asked for.
        spec: Box<JobSpec>,
    },
    /// A caller cancels a job.
    Cancel {
        /// Who waits for the answer.
        request: RequestNo,
        /// The job.
        job: JobId,
    },
    /// The operators' queues, all of them, as now in force.
    Queues(Vec<QueueTerms>),
    /// The list of workers changed.
    Discovered(Vec<Discovery>),
    /// An order was answered, or certainly won't be.
    OrderAnswered {
        /// The worker.
        life: LifeNo,
        /// What was ordered.
        order: Order,
        /// What came back.
        answer: OrderAnswer,
    },
    /// A hold was answered, or certainly won't be.
    Held {
        /// The worker.
        life: LifeNo,
        /// What was sent.
        hold: Hold,
        /// When it was sent.
        sent_at: Time,
        /// What came back.
        answer: Result<Report, HoldFailure>,
    },
    /// The batch of records with this number is kept for good.
    Committed(u64),
    /// Time passed.
    Tick,
}

/// A change in the list of workers.
#[derive(Debug, Clone)]
pub enum Discovery {
    /// A worker stands in the list, as given.
    Listed(Box<WorkerEntry>),
    /// A worker no longer stands in the list.
    Gone(LifeId),
}

/// The whole list of workers, or what changed in it.
#[derive(Debug, Clone)]
pub struct Listing {
    /// All workers if `true`: those not named are gone.
    pub whole: bool,
    /// The workers, or the changes.
    pub changes: Vec<Discovery>,
}

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
    },
    /// It is not done.
    Refused(Refusal),
    /// This life of the worker is over.
    LifeOver,
    /// Nothing came back. It may have been done, or be done later.
    Unanswered,
}

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

/// The answer to a caller who hands a job in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitAnswer {
    /// The job is kept.
    Accepted,
    /// The job is not kept and never will be: the store does not answer.
    Refused,
}

/// The answer to a caller who cancels a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelAnswer {
    /// It is cancelled, or had ended.
    Done,
    /// There is no such job.
    Unknown,
}

/// What a caller is told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has begun.
    Queued,
    /// Some task has begun.
    Running,
    /// All tasks are done, for good.
    Completed,
    /// A task failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// Something to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an order. The next one to the same worker comes after its answer.
    Order {
        /// The worker.
        life: LifeNo,
        /// Where it answers.
        entry: Arc<WorkerEntry>,
        /// The fencing token.
        token: u64,
        /// Until when the run is leased, on the worker's clock.
        lease_until_ms: u64,
        /// What to do.
        order: Order,
    },
    /// Ask a worker what it runs.
    Hold {
        /// The worker.
        life: LifeNo,
        /// Where it answers.
        entry: Arc<WorkerEntry>,
        /// What to say.
        hold: Hold,
    },
    /// Keep records for good, all or none. The next batch comes after this one is kept.
    Commit {
        /// The batch's number.
        batch: u64,
        /// What to keep.
        records: Vec<Record>,
    },
    /// Answer a caller who handed a job in.
    AnswerSubmit(RequestNo, SubmitAnswer),
    /// Answer a caller who cancelled a job.
    AnswerCancel(RequestNo, CancelAnswer),
    /// Write a line about a decision.
    Note(Note),
    /// A worker has seen a higher fencing token: somebody else owns this fleet now.
    Deposed,
}

/// A decision, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// A job was taken, or found to be known.
    Submitted {
        /// The job.
        job: JobId,
        /// The queue.
        queue: QueueName,
        /// Tasks over all steps.
        tasks: u64,
        /// Whether its id was known already.
        known: bool,
    },
    /// A job ended.
    JobEnded {
        /// The job.
        job: JobId,
        /// How.
        state: JobState,
        /// The time since it was handed in, in milliseconds.
        after_ms: u64,
        /// The time that its queue promises, in milliseconds.
        objective_ms: u64,
    },
    /// A run was given to a worker.
    Placed {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: LifeId,
        /// What the worker had left before, as processor thousandths and megabytes.
        free: crate::Resources,
        /// How old our knowledge of the worker is, in milliseconds; `None`: never heard.
        heard_ago_ms: Option<u64>,
    },
    /// A run ended.
    RunEnded {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: LifeId,
        /// How.
        how: HowEnded,
    },
    /// A run was given up: where it was placed can't be running it any more.
    RunGivenUp {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: LifeId,
        /// Why.
        why: &'static str,
    },
    /// A run is stopped to go on elsewhere.
    RunMoved {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: LifeId,
        /// Why.
        why: &'static str,
    },
    /// An order was refused or not answered.
    OrderFailed {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: LifeId,
        /// What came back.
        answer: OrderAnswer,
    },
    /// What is believed of a worker changed.
    Worker {
        /// The worker.
        worker: LifeId,
        /// What is believed now.
        belief: &'static str,
        /// How long ago it was heard, in milliseconds; `None`: never.
        heard_ago_ms: Option<u64>,
    },
    /// The runs of a worker that fill were paced.
    Paced {
        /// The worker.
        worker: LifeId,
        /// Their share of their speed, in percent.
        percent: u8,
        /// The worst tail of what serves there, over its target, in percent.
        tail_of_target_percent: u32,
    },
}
