//! Interfaces to the platform of a fleet whose workers lease their tasks.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use kitetrail_core::{
    Resources,
    evacuation::EvacuationChange,
    fleet_config::FleetConfig,
    jobs::{
        JobSpec, JobState, Order, OrderAnswer, Poll, PollFailure, Report, WorkerEntry, WorkerName,
    },
};

use thiserror::Error;

use crate::{CallLimits, PlatformError};

/// The name of a row. A table consists of parts, and a part of rows with unique keys.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowName {
    /// The table.
    pub table: &'static str,
    /// The part of the table. A transaction is limited to one part, in any number of tables.
    pub part: String,
    /// The key within the part.
    pub key: String,
}

/// A row as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// The key of the row.
    pub key: String,
    /// The part of the table that contains the row.
    pub part: String,
    /// The contents of the row.
    pub value: Vec<u8>,
    /// The version of the transaction that wrote the row.
    pub version: u64,
}

/// A set of changes that are applied atomically.
#[derive(Debug, Clone, Default)]
pub struct RowTransaction {
    /// The versions that rows must have. Version 0 requires that the row does not exist.
    pub expected: Vec<(RowName, u64)>,
    /// The rows to write.
    pub puts: Vec<(RowName, Vec<u8>)>,
    /// The rows to remove.
    pub removes: Vec<RowName>,
}

/// The result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionAnswer {
    /// The transaction was committed, and the rows it wrote have a new version.
    Done {
        /// The new version.
        version: u64,
    },
    /// At least one row did not have the expected version, so nothing was changed.
    Conflict {
        /// The current state of the rows with expected versions, without those that do not exist.
        rows: Vec<StoredRow>,
    },
}

/// A page of rows of one part of a table, in the order of their keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowPage {
    /// The rows.
    pub rows: Vec<StoredRow>,
    /// The key after which the next page starts, or `None` for the last page.
    pub next: Option<String>,
    /// The latest version of the store when the page was read.
    pub version: u64,
}

/// The changes of a part of a table since a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableChanges {
    /// The rows that changed, in the order of the changes.
    Changed {
        /// The keys and new values of the rows; the value is `None` if the row was removed.
        rows: Vec<(String, Option<Vec<u8>>)>,
        /// The version from which to watch for further changes.
        version: u64,
    },
    /// The store has discarded the history since that version. The table must be read again.
    HistoryGone,
}

/// A store for state that must survive the loss of any box.
pub trait RowStore {
    /// Reads a row. Returns `None` if the row does not exist.
    fn read(
        &self,
        name: &RowName,
    ) -> impl Future<Output = Result<Option<StoredRow>, PlatformError>>;

    /// Reads at most `limit` rows of a part of a table, at least 2, from the first one or from the one with the next
    /// higher key than `after`.
    fn page(
        &self,
        table: &'static str,
        part: &str,
        after: Option<&str>,
        limit: usize,
    ) -> impl Future<Output = Result<RowPage, PlatformError>>;

    /// Commits a transaction atomically.
    ///
    /// After a lost response ([`PlatformError::AnswerLost`]), the transaction may have been committed or
    /// may still be committed later.
    fn transact(
        &self,
        transaction: &RowTransaction,
    ) -> impl Future<Output = Result<TransactionAnswer, PlatformError>>;

    /// Returns the changes of a part of a table after a version. Waits up to `wait` for the first change of the table.
    fn watch(
        &self,
        table: &'static str,
        part: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<TableChanges, PlatformError>>;
}

/// An entry in the list of workers that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnusableEntry {
    /// The id under which the entry is listed.
    pub id: WorkerName,
    /// The reason why the entry can't be used.
    pub fault: EntryFault,
}

/// The reason why an entry in the list of workers can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EntryFault {
    /// The id is not one that a worker can be addressed by.
    #[error("the worker id is invalid: {0:?}")]
    Id(String),
    /// The entry can't be parsed.
    #[error("the entry can't be parsed: {0}")]
    Unreadable(String),
    /// A field is missing or has an invalid value.
    #[error("a field of the entry is missing or invalid: {0}")]
    Fields(String),
    /// The state of the worker is unknown.
    #[error("the worker state is unknown: {0:?}")]
    State(String),
    /// The address is not a valid address of a worker.
    #[error("the worker address is invalid: {0:?}")]
    Address(String),
    /// A required field is empty.
    #[error("the field {0} is empty")]
    Empty(&'static str),
    /// The capacity is zero, or larger than that of any machine.
    #[error("the capacity is not plausible for a machine: {0}")]
    Capacity(Resources),
}

impl EntryFault {
    /// Returns the reason as one word, for metric labels.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Id(_) => "id",
            Self::Unreadable(_) => "unreadable",
            Self::Fields(_) => "fields",
            Self::State(_) => "state",
            Self::Address(_) => "address",
            Self::Empty(_) => "empty",
            Self::Capacity(_) => "capacity",
        }
    }
}

/// The list of workers at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListedWorkers {
    /// The usable entries.
    pub entries: Vec<WorkerEntry>,
    /// The entries that can't be used.
    pub unusable: Vec<UnusableEntry>,
    /// The version from which to watch for changes.
    pub version: u64,
}

/// The changes in the list of workers since a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerChanges {
    /// The entries that were added, changed or removed.
    Changed {
        /// The usable entries that were added or changed.
        listed: Vec<WorkerEntry>,
        /// The entries that were added or changed and can't be used.
        unusable: Vec<UnusableEntry>,
        /// The ids of the removed entries.
        gone: Vec<WorkerName>,
        /// The version from which to watch for further changes.
        version: u64,
    },
    /// The platform has discarded the history since that version. The list must be read again.
    HistoryGone,
}

/// The list of live workers.
pub trait WorkerList {
    /// Reads the whole list of workers.
    fn workers(&self) -> impl Future<Output = Result<ListedWorkers, PlatformError>>;

    /// Returns the changes of the list after a version. Waits up to `wait` for the first change.
    fn worker_changes(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<WorkerChanges, PlatformError>>;
}

/// The rows written by operators: all of them, or those that changed since a version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OperatorRows {
    /// The configuration, or `None` if it does not exist, did not change or can't be parsed.
    pub config: Option<FleetConfig>,
    /// The requests to evacuate availability zones, and their withdrawals, in order.
    pub evacuations: Vec<EvacuationChange>,
    /// The version of the store at which the rows were read, and from which to watch for changes.
    pub version: u64,
}

/// The source of the configuration and the requests of operators.
pub trait OperatorSource {
    /// Reads all rows written by operators.
    fn operator_rows(&self) -> impl Future<Output = Result<OperatorRows, PlatformError>>;

    /// Reads the active requests to evacuate zones, and the version of the store at that time.
    fn evacuations(
        &self,
    ) -> impl Future<Output = Result<(Vec<EvacuationChange>, u64), PlatformError>>;

    /// Returns the changes after a version. Waits up to `wait` for the first change.
    ///
    /// Returns `None` if the history since that version was discarded, so that everything must be read
    /// again.
    fn operator_changes(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<OperatorRows>, PlatformError>>;
}

/// The control interface of workers.
pub trait WorkerControl {
    /// Sends an order to a worker.
    fn order(
        &self,
        worker: &WorkerEntry,
        token: u64,
        lease_until_ms: u64,
        order: &Order,
    ) -> impl Future<Output = OrderAnswer>;

    /// Renews the leases of a worker and requests a report of its tasks.
    ///
    /// `limits` applies to the whole call.
    fn poll(
        &self,
        worker: &WorkerEntry,
        poll: &Poll,
        limits: CallLimits,
    ) -> impl Future<Output = Result<Report, PollFailure>>;
}

/// The format of requests and responses of callers that submit jobs.
pub trait JobCodec {
    /// Parses the job in a request body. The error is a message for the caller.
    fn read_job(&self, body: &[u8]) -> Result<JobSpec, String>;

    /// Returns the response body that contains the state of a job.
    fn write_state(&self, state: JobState) -> Bytes;

    /// Returns the response body that contains the number of waiting jobs of a queue.
    fn write_pending(&self, pending: u64) -> Bytes;

    /// Returns the name of the header that contains the caller's remaining time, in milliseconds.
    fn time_left_header(&self) -> &'static str;
}
