//! The names and contents of the rows that boxes keep in the store.

use std::{
    fmt::Display,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};

use kitetrail_core::{
    jobs::{JobRecord, MAX_RENEWAL_WITHOUT_STORE, Record},
    succession::BoxStrength,
};
use kitetrail_platform::{
    PlatformError,
    fleet::{RowName, RowStore, RowTransaction, StoredRow},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{Platform, shared::Shared};

/// The partition of every table that holds the fleet's rows. A single partition lets the owner write
/// them in one transaction.
pub(super) const PARTITION: &str = "fleet-0";
/// The table of the owner row. It changes only with the owner, so that watching it is cheap.
pub(super) const OWNER_TABLE: &str = "kt-owner";
/// The table of the head row, which holds the number of the owner's last write. Every write of the
/// owner depends on it.
pub(super) const HEAD_TABLE: &str = "kt-head";
/// The table of accepted jobs.
pub(super) const JOBS_TABLE: &str = "kt-jobs";
/// The table of the jobs' progress.
pub(super) const PROGRESS_TABLE: &str = "kt-progress";
/// The table of worker instances on which tasks may run.
pub(super) const INCARNATIONS_TABLE: &str = "kt-lives";
/// The table of the learned interference between images.
pub(super) const EFFECTS_TABLE: &str = "kt-effects";

/// The table of the operators' rows.
pub(super) const OPERATORS_TABLE: &str = "kt-operators";

/// The owner of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OwnerRow {
    pub(super) epoch: u64,
    pub(super) box_name: String,
    pub(super) incarnation: u64,
    /// The address where the owner answers other boxes.
    pub(super) address: SocketAddr,
    /// Whether it released the fleet in an orderly way, so that none of its writes or orders are in flight.
    pub(super) released: bool,
    /// The box that it released the fleet to, if any.
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
    /// How long earlier owners may continue to renew leases, as of this write. Absent in rows of earlier releases.
    #[serde(default)]
    pub(super) earlier_renew_for_ms: Option<u64>,
    /// How long after this write its owner grants leases of full length. Absent in rows of earlier releases, whose
    /// owners do so until they give up ownership.
    #[serde(default)]
    pub(super) renew_for_ms: Option<u64>,
}

impl OwnerRow {
    /// Returns a row of an owner of which only the epoch is known. Nobody answers at its address.
    pub(super) fn of_unknown_box(epoch: u64) -> Self {
        Self {
            epoch,
            box_name: String::new(),
            incarnation: 0,
            address: SocketAddr::new(Ipv4Addr::UNSPECIFIED.into(), 0),
            released: false,
            successor: None,
            strongest: BoxStrength::default(),
        }
    }
}

impl HeadRow {
    pub(super) fn new(epoch: u64, write: u64, earlier_renew_for_ms: u64) -> Self {
        Self {
            epoch,
            write,
            earlier_renew_for_ms: Some(earlier_renew_for_ms),
            renew_for_ms: Some(MAX_RENEWAL_WITHOUT_STORE.as_millis() as u64),
        }
    }
}

pub(super) fn owner_row_name() -> RowName {
    row_name(OWNER_TABLE, "owner")
}

pub(super) fn head_row_name() -> RowName {
    row_name(HEAD_TABLE, "head")
}

pub(super) fn effects_row_name() -> RowName {
    row_name(EFFECTS_TABLE, "effects")
}

/// The bound of the length of leases, beside the head row.
pub(super) fn lease_row_name() -> RowName {
    row_name(HEAD_TABLE, "lease")
}

pub(super) fn operator_row_name(key: &str) -> RowName {
    row_name(OPERATORS_TABLE, key)
}

pub(super) fn job_row_name(job: &str) -> RowName {
    row_name(JOBS_TABLE, job)
}

pub(super) fn progress_row_name(job: &str) -> RowName {
    row_name(PROGRESS_TABLE, job)
}

/// Adds a record to a transaction.
pub(super) fn add_record(
    transaction: &mut RowTransaction,
    record: &Record,
) -> Result<(), serde_json::Error> {
    match record {
        Record::Job(JobRecord { id, .. }) => {
            put_record(transaction, job_row_name(&id.to_string()), record)
        }
        Record::Progress(progress) => {
            put_record(transaction, progress_row_name(&progress.key().to_string()), record)
        }
        Record::RemoveJob(id) => {
            transaction.removes.push(job_row_name(&id.to_string()));
            Ok(())
        }
        Record::PutInstance(instance) => put_record(
            transaction,
            row_name(INCARNATIONS_TABLE, &instance.key().to_string()),
            record,
        ),
        Record::Effects(_) => put_record(transaction, effects_row_name(), record),
        Record::LongestLease(_) => put_record(transaction, lease_row_name(), record),
        Record::RemoveInstance(instance) => {
            transaction.removes.push(row_name(INCARNATIONS_TABLE, &instance.to_string()));
            Ok(())
        }
        Record::RemoveProgress(key) => {
            transaction.removes.push(progress_row_name(&key.to_string()));
            Ok(())
        }
    }
}

/// Decodes the value of a row.
pub(super) fn decode<T: DeserializeOwned>(row: &StoredRow) -> Result<T, serde_json::Error> {
    serde_json::from_slice(&row.value)
}

/// Decodes rows whose keys follow from their contents. A row that can't be decoded or has another key is logged and
/// skipped: a copy of a record would stand for a second one of the same job or worker instance.
pub(super) fn decode_all<T: DeserializeOwned, K: Display>(
    rows: &[StoredRow],
    key_of: impl Fn(&T) -> K,
) -> Vec<T> {
    let decode_one = |row: &StoredRow| {
        let fault = match decode::<T>(row) {
            Ok(record) if key_of(&record).to_string() == row.key => return Some(record),
            Ok(record) => format!("it is the record of {}", key_of(&record)),
            Err(error) => error.to_string(),
        };
        log::error!(key = row.key.as_str(); "store: failed to decode a row: {fault}");
        None
    };
    rows.iter().filter_map(decode_one).collect()
}

/// Reads a row from the store, with its version. Returns `None` if it is absent.
pub(super) async fn read_decoded<P: Platform, T: DeserializeOwned>(
    shared: &Rc<Shared<P>>,
    name: &RowName,
) -> Result<Option<(T, u64)>, PlatformError> {
    let row = shared.services.store.read(name).await;
    shared.record_store_result(&row);
    let Some(row) = row? else { return Ok(None) };
    let value = decode(&row).map_err(malformed)?;
    Ok(Some((value, row.version)))
}

/// Reads the owner row, with its version. Returns `None` if the fleet never had an owner.
///
/// A row that can't be decoded has no contents, also below: a takeover replaces it.
pub(super) async fn read_owner<P: Platform>(
    shared: &Rc<Shared<P>>,
) -> Result<Option<(Option<OwnerRow>, u64)>, PlatformError> {
    read_if_decodable(shared, &owner_row_name()).await
}

/// Reads the head row, with its version. Returns `None` if nothing was ever written.
pub(super) async fn read_head<P: Platform>(
    shared: &Rc<Shared<P>>,
) -> Result<Option<(Option<HeadRow>, u64)>, PlatformError> {
    read_if_decodable(shared, &head_row_name()).await
}

/// Reads a row with its version, which counts even if the contents can't be decoded.
async fn read_if_decodable<P: Platform, T: DeserializeOwned>(
    shared: &Rc<Shared<P>>,
    name: &RowName,
) -> Result<Option<(Option<T>, u64)>, PlatformError> {
    let row = shared.services.store.read(name).await;
    shared.record_store_result(&row);
    let decode_if_possible = |row: StoredRow| {
        let log_error = |error: &serde_json::Error| {
            log::error!(key = row.key.as_str(); "store: failed to decode a row: {error}");
        };
        (decode(&row).inspect_err(log_error).ok(), row.version)
    };
    Ok(row?.map(decode_if_possible))
}

/// Encodes a value of a row.
pub(super) fn encode(value: &impl Serialize) -> Result<Vec<u8>, PlatformError> {
    serde_json::to_vec(value).map_err(malformed)
}

fn malformed(error: serde_json::Error) -> PlatformError {
    PlatformError::Malformed { service: "store", cause: error.to_string() }
}

fn put_record(
    transaction: &mut RowTransaction,
    name: RowName,
    record: &Record,
) -> Result<(), serde_json::Error> {
    let value = match record {
        Record::Job(job) => serde_json::to_vec(job)?,
        Record::Progress(progress) => serde_json::to_vec(progress)?,
        Record::PutInstance(instance) => serde_json::to_vec(instance)?,
        Record::Effects(effects) => serde_json::to_vec(effects)?,
        Record::LongestLease(lease) => serde_json::to_vec(lease)?,
        Record::RemoveJob(_) | Record::RemoveInstance(_) | Record::RemoveProgress(_) => {
            return Ok(());
        }
    };
    transaction.puts.push((name, value));
    Ok(())
}

fn row_name(table: &'static str, key: &str) -> RowName {
    RowName { table, part: PARTITION.to_owned(), key: key.to_owned() }
}
