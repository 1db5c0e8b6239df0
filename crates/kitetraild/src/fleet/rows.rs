//! The rows that boxes keep in the store: their names and what they hold.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};

use kitetrail_core::{
    jobs::{JobRecord, ProgressRecord, Record},
    succession::BoxStrength,
};
use kitetrail_platform::{
    PlatformError,
    fleet::{RowName, RowStore, RowTransaction, StoredRow},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{Platform, shared::Shared};

/// The part of every table that holds the fleet's rows: one owner, one part, one transaction.
pub(super) const PART: &str = "fleet-0";
/// Who owns the fleet. Changes with the owner alone, so that watching it is cheap.
pub(super) const OWNERS: &str = "kt-owner";
/// The number of the owner's last write. Every write of the owner depends on it.
pub(super) const HEADS: &str = "kt-head";
/// Accepted jobs.
pub(super) const JOBS: &str = "kt-jobs";
/// How far they are.
pub(super) const PROGRESS: &str = "kt-progress";
/// Workers' lives on which tasks may run.
pub(super) const LIVES: &str = "kt-lives";
/// What was learned of how images disturb each other.
pub(super) const EFFECTS: &str = "kt-effects";

/// Who owns the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OwnerRow {
    pub(super) epoch: u64,
    pub(super) box_name: String,
    pub(super) incarnation: u64,
    /// Where the owner answers other boxes.
    pub(super) address: SocketAddr,
    /// It gave the fleet up in order: nothing of it is on its way any more.
    pub(super) released: bool,
    /// The box that it left the fleet to, if it did.
    #[serde(default)]
    pub(super) successor: Option<SocketAddr>,
    /// The greatest strength of any owner so far.
    #[serde(default)]
    pub(super) strongest: BoxStrength,
}

/// The last write of an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct HeadRow {
    pub(super) epoch: u64,
    pub(super) write: u64,
    /// How long owners before this one may go on to renew leases, as of this write. Absent in rows of earlier releases.
    #[serde(default)]
    pub(super) earlier_renew_for_ms: Option<u64>,
}

pub(super) fn owner_row() -> RowName {
    row(OWNERS, "owner")
}

pub(super) fn head_row() -> RowName {
    row(HEADS, "head")
}

pub(super) fn effects_row() -> RowName {
    row(EFFECTS, "effects")
}

pub(super) fn job_row(job: &str) -> RowName {
    row(JOBS, job)
}

pub(super) fn progress_row(job: &str) -> RowName {
    row(PROGRESS, job)
}

/// Adds a record to a transaction.
pub(super) fn add(
    transaction: &mut RowTransaction,
    record: &Record,
) -> Result<(), serde_json::Error> {
    match record {
        Record::Job(JobRecord { id, .. }) => put(transaction, job_row(&id.to_string()), record),
        Record::Progress(ProgressRecord { id, .. }) => {
            put(transaction, progress_row(&id.to_string()), record)
        }
        Record::DropJob(id) => {
            transaction.removes.push(job_row(&id.to_string()));
            Ok(())
        }
        Record::LifeUsed(life) => put(transaction, row(LIVES, &life.key().to_string()), record),
        Record::Effects(_) => put(transaction, effects_row(), record),
        Record::LifeOver(life) => {
            transaction.removes.push(row(LIVES, &life.to_string()));
            Ok(())
        }
        Record::Forget(id) => {
            transaction.removes.push(progress_row(&id.to_string()));
            Ok(())
        }
    }
}

/// Reads what a row holds.
pub(super) fn decode<T: DeserializeOwned>(row: &StoredRow) -> Result<T, serde_json::Error> {
    serde_json::from_slice(&row.value)
}

/// Reads what rows hold, by their keys. Those that can't be read are left out.
pub(super) fn decode_all<T: DeserializeOwned>(rows: &[StoredRow]) -> BTreeMap<String, T> {
    let decode = |row: &StoredRow| {
        let decoded = decode(row).map(|value| (row.key.clone(), value));
        let key = row.key.as_str();
        decoded
            .inspect_err(|error| log::error!(key = key; "store: a row can't be read: {error}"))
            .ok()
    };
    rows.iter().filter_map(decode).collect()
}

/// Reads a row from the store, with its version; `None` if it is absent.
pub(super) async fn read<P: Platform, T: DeserializeOwned>(
    shared: &Rc<Shared<P>>,
    name: &RowName,
) -> Result<Option<(T, u64)>, PlatformError> {
    let row = shared.services.store.read(name).await;
    shared.note_store(&row);
    let Some(row) = row? else { return Ok(None) };
    let value = decode(&row).map_err(malformed)?;
    Ok(Some((value, row.version)))
}

/// Who owns the fleet as the store says, with the version of that row; `None` if nobody ever did.
pub(super) async fn read_owner<P: Platform>(
    shared: &Rc<Shared<P>>,
) -> Result<Option<(OwnerRow, u64)>, PlatformError> {
    read(shared, &owner_row()).await
}

/// The owner's last write, with the version of its row; `None` if nothing was ever written.
pub(super) async fn read_head<P: Platform>(
    shared: &Rc<Shared<P>>,
) -> Result<Option<(HeadRow, u64)>, PlatformError> {
    read(shared, &head_row()).await
}

/// A value as a row holds it.
pub(super) fn encode(value: &impl Serialize) -> Result<Vec<u8>, PlatformError> {
    serde_json::to_vec(value).map_err(malformed)
}

fn malformed(error: serde_json::Error) -> PlatformError {
    PlatformError::Malformed { service: "store", cause: error.to_string() }
}

fn put(
    transaction: &mut RowTransaction,
    name: RowName,
    record: &Record,
) -> Result<(), serde_json::Error> {
    let value = match record {
        Record::Job(job) => serde_json::to_vec(job)?,
        Record::Progress(progress) => serde_json::to_vec(progress)?,
        Record::LifeUsed(life) => serde_json::to_vec(life)?,
        Record::Effects(effects) => serde_json::to_vec(effects)?,
        Record::DropJob(_) | Record::LifeOver(_) | Record::Forget(_) => return Ok(()),
    };
    transaction.puts.push((name, value));
    Ok(())
}

fn row(table: &'static str, key: &str) -> RowName {
    RowName { table, part: PART.to_owned(), key: key.to_owned() }
}
