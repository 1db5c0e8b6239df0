//! The scheduler's input ([`Event`]) and output ([`Action`]).

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    claimant_terms::ClaimantTerms,
    instance::InstanceNo,
    log_entry::LogEntry,
    names::{Incarnation, JobId, QueueName, WorkerName},
    operator_rows::OperatorRows,
    order::{Order, OrderAnswer},
    record::{Record, RecordSubject},
    report::{Poll, PollFailure, Report, RunEnd},
    retry_delay::RetryDelay,
    spec::{JobSpec, QueueTerms},
    worker_entry::WorkerEntry,
};
use crate::Time;

/// The number of a caller's request, valid until the request is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobRequestId(pub u64);

/// An input of the scheduler.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller submits a job.
    Submit {
        /// The request to answer.
        request: JobRequestId,
        /// The id that the caller chose.
        job: JobId,
        /// The queue that the job was submitted to.
        queue: QueueTerms,
        /// The job's specification.
        spec: Box<JobSpec>,
        /// The latest time at which the answer is of use to the caller, if known.
        answer_by: Option<Time>,
    },
    /// A caller cancels a job.
    Cancel {
        /// The request to answer.
        request: JobRequestId,
        /// The job.
        job: JobId,
    },
    /// The configured queues changed. Contains all queues now in force.
    QueuesChanged(Vec<QueueTerms>),
    /// The set of availability zones under evacuation changed. Contains all of them.
    EvacuatedZonesChanged(BTreeSet<String>),
    /// The operators' rows changed. Contains all of them.
    OperatorRowsChanged(OperatorRows),
    /// The list of workers changed.
    WorkerListChanged(Vec<WorkerListChange>),
    /// It became known that no earlier owner renewed leases after a moment. This was unknown at the
    /// takeover.
    EarlierOwnersStopped {
        /// The latest time at which an earlier owner may have renewed leases.
        at: Time,
    },
    /// The store has persisted a write of this owner, or its claim.
    OwnershipConfirmed {
        /// The time at which the write was sent.
        sent_at: Time,
    },
    /// The store did not answer, or refused requests, until this moment.
    StoreUnavailable {
        /// The time at which the store answered again; the current time while it does not answer.
        until: Time,
    },
    /// An order was answered, or counts as unanswered.
    OrderAnswered {
        /// The worker instance.
        instance: InstanceNo,
        /// The order.
        order: Order,
        /// The answer.
        answer: OrderAnswer,
    },
    /// A poll was answered, or counts as unanswered.
    PollAnswered {
        /// The worker instance.
        instance: InstanceNo,
        /// The poll.
        poll: Poll,
        /// The time at which it was sent.
        sent_at: Time,
        /// The worker's report, or why there is none.
        answer: Result<Report, PollFailure>,
    },
    /// A poll that counted as unanswered was answered late. The ended runs in it are final; the
    /// rest of the report is out of date.
    LateReport {
        /// The worker instance that the poll was sent to.
        instance: InstanceNo,
        /// The incarnation that answered, if the platform reports it.
        incarnation: Option<Incarnation>,
        /// The ended runs, in the order of their numbers.
        ended: Vec<RunEnd>,
    },
    /// The batch of records with this number is persisted.
    Committed(u64),
    /// The store permanently refuses to write the records about these subjects. The batch with them
    /// is committed without them: this event comes before [`Event::Committed`].
    RecordsRefused(Vec<RecordSubject>),
    /// The owner's event loop ran this much later than scheduled: everything it reads and sends is
    /// delayed as long.
    OwnerLagged(Duration),
    /// The periodic timer fired.
    Tick,
    /// The operators' terms for the division of scarce room changed. Contains all queues for which
    /// there are any; the others have the terms of their priority.
    ClaimantTermsChanged(BTreeMap<QueueName, ClaimantTerms>),
}

/// A change in the list of workers.
#[derive(Debug, Clone)]
pub enum WorkerListChange {
    /// A worker is listed with this entry.
    Listed(Box<WorkerEntry>),
    /// A worker is no longer listed.
    Removed {
        /// The worker.
        id: WorkerName,
        /// The time since the last heartbeat in the removed entry, if known.
        silent_for: Option<Duration>,
    },
    /// The entry of a worker is invalid: the worker can't be used until the entry is corrected.
    Unusable(WorkerName),
    /// The list was read completely, and all listed workers have been passed on.
    Complete,
}

/// The answer to a caller who submits a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitAnswer {
    /// The job is stored.
    Accepted,
    /// The job is not stored and this submission never will store it.
    Refused {
        /// The time after which the caller is asked to return, if it was derived from the caller's
        /// remaining time.
        retry_after: Option<RetryDelay>,
    },
}

/// The answer to a caller who cancels a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelAnswer {
    /// The job is cancelled, or had ended before.
    Done,
    /// No job has this id.
    Unknown(JobId),
}

/// The state of a job as shown to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done, and this is stored.
    Completed,
    /// A task reached the limit of failed runs.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

/// An output of the scheduler, to be carried out by its owner.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends an order to a worker. The scheduler sends the next order to the same worker after the
    /// answer to this one.
    Order {
        /// The worker instance.
        instance: InstanceNo,
        /// The worker's entry, with its address.
        entry: Arc<WorkerEntry>,
        /// The fencing token.
        token: u64,
        /// The end of the run's lease, on the worker's clock in milliseconds.
        lease_until_ms: u64,
        /// The order.
        order: Order,
    },
    /// Asks a worker what it runs, and renews its leases.
    Poll {
        /// The worker instance.
        instance: InstanceNo,
        /// The worker's entry, with its address.
        entry: Arc<WorkerEntry>,
        /// The poll.
        poll: Poll,
    },
    /// Stores records in one transaction. The next batch follows after this one is persisted.
    Commit {
        /// The number of the batch.
        batch: u64,
        /// The records to store.
        records: Vec<Record>,
    },
    /// Answers a caller who submitted a job.
    AnswerSubmit(JobRequestId, SubmitAnswer),
    /// Answers a caller who cancelled a job.
    AnswerCancel(JobRequestId, CancelAnswer),
    /// Logs a decision.
    Log(LogEntry),
    /// A worker has seen a higher fencing token: another owner has taken over the fleet.
    Deposed,
}
