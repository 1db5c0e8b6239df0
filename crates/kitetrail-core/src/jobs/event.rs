//! What the scheduler is told, and what it wants done.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    life::LifeNo,
    names::{Incarnation, JobId, LifeId},
    note::Note,
    order::{Order, OrderAnswer},
    record::Record,
    report::{Hold, HoldFailure, Report, RunEnd},
    spec::{JobSpec, QueueTerms},
    worker_entry::WorkerEntry,
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
    /// The availability zones that are being evacuated, all of them, as now in force.
    Evacuated(BTreeSet<String>),
    /// The list of workers changed.
    Discovered(Vec<Discovery>),
    /// No owner before this one renewed leases after a moment, which was not known as this one took over.
    EarlierOwnersStopped {
        /// The moment.
        at: Time,
    },
    /// The store did not answer, or turned us away, until this moment.
    StoreTrouble {
        /// When it answered again; the present while it does not.
        until: Time,
    },
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
    /// A hold that was taken for unanswered brought an answer after all. What it says has ended has
    /// ended for good; the rest is out of date.
    LateEnds {
        /// The worker.
        life: LifeNo,
        /// Which of the worker's starts tells it, if the platform tells.
        incarnation: Option<Incarnation>,
        /// The runs that ended, in the order of their numbers.
        ended: Vec<RunEnd>,
    },
    /// The batch of records with this number is kept for good.
    Committed(u64),
    /// The owner looked at the clock so much later than it was due: all that it reads and sends waits as long.
    Lagged(Duration),
    /// Time passed.
    Tick,
}

/// A change in the list of workers.
#[derive(Debug, Clone)]
pub enum Discovery {
    /// A worker stands in the list, as given.
    Listed(Box<WorkerEntry>),
    /// A worker no longer stands in the list.
    Gone {
        /// The worker.
        id: LifeId,
        /// How long its entry had shown no heartbeat, if that is known.
        silent_for: Option<Duration>,
    },
    /// The entry of a worker can't be what a worker writes: it names none to use until it is put right.
    Unusable(LifeId),
    /// The list was read as a whole, and all workers that stand there were told of.
    Whole,
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
    Unknown(JobId),
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
