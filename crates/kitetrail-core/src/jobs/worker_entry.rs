//! What a worker says of itself in the list of workers.

use super::names::{Incarnation, LifeId, LifeKey};
use crate::Resources;

/// What a worker says of itself in the list of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEntry {
    /// This life of it.
    pub id: LifeId,
    /// Which of its starts under this id wrote it, if the platform tells.
    pub incarnation: Option<Incarnation>,
    /// The machine it lives on, if it names one.
    pub machine: Option<String>,
    /// The service whose tasks it runs.
    pub service: String,
    /// Where it answers, as host and port.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// The rack it stands in, empty if it names none.
    pub rack: String,
    /// It is about to leave.
    pub draining: bool,
    /// While it drains: how long it stays at least, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// What it has.
    pub capacity: Resources,
    /// What steps may ask for.
    pub labels: Vec<String>,
}

impl WorkerEntry {
    /// The incarnation of the worker that wrote it.
    pub fn key(&self) -> LifeKey {
        LifeKey { id: self.id.clone(), incarnation: self.incarnation }
    }
}
