//! The platform's services as kitetrail needs them.

use std::future::Future;

use bytes::Bytes;
use kitetrail_core::{
    fleet::{Fleet, WorkerInfo},
    table::{CommitOutcome, KeyPrefix, Row, RowKey, Transaction},
    worker::{SyncReply, SyncRequest},
};

use crate::PlatformError;

/// The transactional table.
pub trait TableService {
    /// The row of a name, or `None` if there is none.
    fn read(&self, key: &RowKey) -> impl Future<Output = Result<Option<Row>, PlatformError>>;

    /// All rows whose names start alike, in order.
    fn scan(&self, prefix: &KeyPrefix) -> impl Future<Output = Result<Vec<Row>, PlatformError>>;

    /// Sends a transaction.
    ///
    /// Every doubt about its effect is [`CommitOutcome::Unknown`].
    fn commit(&self, transaction: &Transaction) -> impl Future<Output = CommitOutcome>;
}

/// The object store.
pub trait ObjectStore {
    /// The contents of an object, or `None` if there is none.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, PlatformError>>;

    /// Stores an object in place of what it held.
    fn put(&self, name: &str, contents: Bytes) -> impl Future<Output = Result<(), PlatformError>>;
}

/// The lagging list of boxes.
pub trait BoxList {
    /// The list as it is known now, or `None` if it is the one returned last.
    fn changes(&self) -> impl Future<Output = Result<Option<Fleet>, PlatformError>>;
}

/// The control interface of workers.
pub trait Worker {
    /// Tells a worker all that is wanted of it and hears what it does.
    fn sync(
        &self,
        worker: &WorkerInfo,
        request: &SyncRequest,
    ) -> impl Future<Output = Result<SyncReply, PlatformError>>;
}
