//! What a fleet of workers that lease their tasks needs of its platform.

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

/// The name of a row: tables hold parts, parts hold keys.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowName {
    /// The table.
    pub table: &'static str,
    /// The part of it. A transaction touches one part, of any tables.
    pub part: String,
    /// The key in the part.
    pub key: String,
}

/// A row as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// Its key.
    pub key: String,
    /// Its part.
    pub part: String,
    /// What it holds.
    pub value: Vec<u8>,
    /// The transaction that wrote it.
    pub version: u64,
}

/// Changes that happen together or not at all.
#[derive(Debug, Clone, Default)]
pub struct RowTransaction {
    /// Versions that rows must have; 0: the row must be absent.
    pub expected: Vec<(RowName, u64)>,
    /// Rows to write.
    pub puts: Vec<(RowName, Vec<u8>)>,
    /// Rows to remove.
    pub removes: Vec<RowName>,
}

/// What came back to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionAnswer {
    /// It is done; its rows have this version now.
    Done {
        /// The version.
        version: u64,
    },
    /// Some row had another version. It is not done.
    Conflict {
        /// The rows of the condition as they are, absent ones left out.
        rows: Vec<StoredRow>,
    },
}

/// Some rows of a part of a table, in the order of their keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowPage {
    /// The rows.
    pub rows: Vec<StoredRow>,
    /// Where the next page begins; `None` after the last one.
    pub next: Option<String>,
}

/// What changed in a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableChanges {
    /// The rows that changed, in order; `None` for the value of one that is gone.
    Changed {
        /// The rows.
        rows: Vec<(String, Option<Vec<u8>>)>,
        /// Where to go on.
        version: u64,
    },
    /// The store no longer knows what changed since: read the table anew.
    HistoryGone,
}

/// The store of what must outlast every box.
pub trait RowStore {
    /// One row, `None` if it is absent.
    fn read(
        &self,
        name: &RowName,
    ) -> impl Future<Output = Result<Option<StoredRow>, PlatformError>>;

    /// The rows of a part of a table from a key on, `limit` at most.
    fn page(
        &self,
        table: &'static str,
        part: &str,
        from: &str,
        limit: usize,
    ) -> impl Future<Output = Result<RowPage, PlatformError>>;

    /// Does all of a transaction or nothing.
    ///
    /// A lost answer ([`PlatformError::AnswerLost`]) leaves open whether it was done, or will be.
    fn transact(
        &self,
        transaction: &RowTransaction,
    ) -> impl Future<Output = Result<TransactionAnswer, PlatformError>>;

    /// What changed in a table after a version; waits until there is something, or `wait` is over.
    fn watch(
        &self,
        table: &'static str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<TableChanges, PlatformError>>;
}

/// An entry in the list of workers that names no worker to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnusableEntry {
    /// Under whose id it stands.
    pub id: WorkerName,
    /// What is wrong with it.
    pub fault: EntryFault,
}

/// What is wrong with an entry in the list of workers.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EntryFault {
    /// Its bytes can't be read.
    #[error("it can't be read: {0}")]
    Unreadable(String),
    /// A field is missing or holds something else than it should.
    #[error("it has not the fields of a worker: {0}")]
    Fields(String),
    /// Its state is none that workers have.
    #[error("its state is unknown: {0:?}")]
    State(String),
    /// Its address is none at which a worker can answer.
    #[error("it names no address of a worker: {0:?}")]
    Address(String),
    /// A field is empty that workers fill.
    #[error("its {0} is empty")]
    Empty(&'static str),
    /// Its capacity is none, or more than any machine has.
    #[error("its capacity is none that a machine has: {0}")]
    Capacity(Resources),
}

impl EntryFault {
    /// What is wrong, in a word for counters.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Unreadable(_) => "unreadable",
            Self::Fields(_) => "fields",
            Self::State(_) => "state",
            Self::Address(_) => "address",
            Self::Empty(_) => "empty",
            Self::Capacity(_) => "capacity",
        }
    }
}

/// The list of workers as it was read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListedWorkers {
    /// The entries of workers.
    pub entries: Vec<WorkerEntry>,
    /// Entries that name no worker to use.
    pub unusable: Vec<UnusableEntry>,
    /// Where to go on for changes.
    pub version: u64,
}

/// A change in the list of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerChanges {
    /// What changed: entries that are new or differ, and ids that are gone.
    Changed {
        /// The entries.
        listed: Vec<WorkerEntry>,
        /// Entries that name no worker to use.
        unusable: Vec<UnusableEntry>,
        /// The ids.
        gone: Vec<WorkerName>,
        /// Where to go on.
        version: u64,
    },
    /// The platform no longer knows what changed since: list anew.
    HistoryGone,
}

/// The list of workers that live.
pub trait WorkerList {
    /// All workers, and where to go on for changes.
    fn workers(&self) -> impl Future<Output = Result<ListedWorkers, PlatformError>>;

    /// What changed after a version; waits until there is something, or `wait` is over.
    fn worker_changes(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<WorkerChanges, PlatformError>>;
}

/// What operators ask for: all of it, or what changed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OperatorRows {
    /// The configuration; `None` if there is none, it did not change or it can't be read.
    pub config: Option<FleetConfig>,
    /// Requests to evacuate availability zones, and their withdrawals, in order.
    pub evacuations: Vec<EvacuationChange>,
    /// The version of the store up to which this holds, and where to go on for changes.
    pub version: u64,
}

/// Where operators put what they ask for.
pub trait OperatorSource {
    /// All that operators ask for now.
    fn operator_rows(&self) -> impl Future<Output = Result<OperatorRows, PlatformError>>;

    /// The requests to evacuate zones that are in force, and the version up to which that holds.
    fn evacuations(
        &self,
    ) -> impl Future<Output = Result<(Vec<EvacuationChange>, u64), PlatformError>>;

    /// What changed after a version; waits until there is something, or `wait` is over.
    ///
    /// `None` asks to read all anew: what changed since is no longer known.
    fn operator_changes(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<OperatorRows>, PlatformError>>;
}

/// Orders to workers.
pub trait WorkerControl {
    /// Tells a worker to do something.
    fn order(
        &self,
        worker: &WorkerEntry,
        token: u64,
        lease_until_ms: u64,
        order: &Order,
    ) -> impl Future<Output = OrderAnswer>;

    /// Asks a worker what it runs and lets it go on. The answer may take as long as given.
    fn poll(
        &self,
        worker: &WorkerEntry,
        poll: &Poll,
        limits: CallLimits,
    ) -> impl Future<Output = Result<Report, PollFailure>>;
}

/// How callers write jobs and read answers.
pub trait JobCodec {
    /// The job in a request's body; the error says what is wrong with it.
    fn read_job(&self, body: &[u8]) -> Result<JobSpec, String>;

    /// The answer that tells a job's state.
    fn write_state(&self, state: JobState) -> Bytes;

    /// The answer that tells how many jobs of a queue wait.
    fn write_pending(&self, pending: u64) -> Bytes;

    /// The header by which a caller says how long it waits, in milliseconds.
    fn time_left_header(&self) -> &'static str;
}
