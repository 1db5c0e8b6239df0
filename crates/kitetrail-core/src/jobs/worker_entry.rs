//! An entry in the list of workers.

use super::names::{Incarnation, InstanceKey, WorkerName};
use crate::Resources;

/// An entry in the list of workers, as written by the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEntry {
    /// The id of the worker.
    pub id: WorkerName,
    /// The incarnation that wrote the entry, if the platform reports it.
    pub incarnation: Option<Incarnation>,
    /// The machine that the worker runs on, if given.
    pub machine: Option<String>,
    /// The service whose tasks the worker runs.
    pub service: String,
    /// The address of the worker, as host and port.
    pub address: String,
    /// The availability zone of the worker.
    pub zone: String,
    /// The rack of the worker, empty if not given.
    pub rack: String,
    /// Whether the worker is about to leave.
    pub draining: bool,
    /// The minimum time until a draining worker leaves, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// The capacity of the worker.
    pub capacity: Resources,
    /// The labels that steps may require.
    pub labels: Vec<String>,
}

impl WorkerEntry {
    /// Returns the key of the worker instance that wrote the entry.
    pub fn key(&self) -> InstanceKey {
        InstanceKey { id: self.id.clone(), incarnation: self.incarnation }
    }
}
