//! Traits for the platform services that kitetrail needs.

use std::future::Future;

use bytes::Bytes;
use kitetrail_core::{
    fleet::{Fleet, WorkerInfo},
    table::{CommitOutcome, KeyPrefix, Row, RowKey, Transaction},
    worker::{SyncReply, SyncRequest},
};

use crate::PlatformError;

/// A transactional table.
pub trait TableService {
    /// Returns the row with a key, or `None` if it does not exist.
    fn read(&self, key: &RowKey) -> impl Future<Output = Result<Option<Row>, PlatformError>>;

    /// Returns all rows whose keys start with a prefix, in the order of the keys.
    fn scan(&self, prefix: &KeyPrefix) -> impl Future<Output = Result<Vec<Row>, PlatformError>>;

    /// Commits a transaction.
    ///
    /// Returns [`CommitAnswer::Unknown`] whenever it is uncertain whether the transaction took effect.
    fn commit(&self, transaction: &Transaction) -> impl Future<Output = CommitOutcome>;
}

/// A store of named objects.
pub trait ObjectStore {
    /// Returns the contents of an object, or `None` if it does not exist.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, PlatformError>>;

    /// Stores an object and replaces its previous contents.
    fn put(&self, name: &str, contents: Bytes) -> impl Future<Output = Result<(), PlatformError>>;
}

/// The list of boxes, which lags behind the actual state.
pub trait BoxList {
    /// Returns the current list, or `None` if it has not changed since the last call.
    fn changes(&self) -> impl Future<Output = Result<Option<Fleet>, PlatformError>>;
}

/// The control interface of workers.
pub trait Worker {
    /// Sends the complete desired state to a worker and returns its reported state.
    fn sync(
        &self,
        worker: &WorkerInfo,
        request: &SyncRequest,
    ) -> impl Future<Output = Result<SyncReply, PlatformError>>;
}
