//! Reads, watches and writes the operators' rows in the store.

use std::{rc::Rc, time::Duration};

use kitetrail_core::jobs::{Event, LoadPart, OperatorRows};
use kitetrail_platform::{
    PlatformError,
    fleet::{RowPage, RowStore, RowTransaction, StoredRow, TableChanges},
};
use serde::Serialize;
use serde_json::Value;
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use super::{Platform, owner::OwnerMessage, rows, shared::Shared};

/// The largest number of rows per page, as accepted by the store. Rows take some 50 bytes each.
const PAGE_ROWS: usize = 500;
/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// The capacity of the queue of operators' requests.
const QUEUE_CAPACITY: usize = 16;

/// Why an operator's request failed. The names of the kinds are those that the command-line tool knows.
#[derive(Debug, Serialize)]
#[serde(tag = "error", rename_all = "kebab-case")]
pub(super) enum RequestError {
    /// The key or the contents are invalid.
    Invalid { message: String },
    /// There is no such row.
    NotFound { message: String },
    /// The store did not take the change, so nothing was changed.
    Unavailable { message: String },
    /// The store's answer was lost, so the change may have been made.
    Unknown { message: String },
}

/// A row as shown to operators.
#[derive(Debug, Serialize)]
pub(super) struct ShownRow {
    key: String,
    row: Value,
    version: u64,
}

/// An operator's request.
#[derive(Debug)]
pub(super) enum OperatorRequest {
    /// Lists all rows.
    List(oneshot::Sender<Result<Vec<ShownRow>, RequestError>>),
    /// Writes a row, or removes it if the contents are `None`.
    Write {
        /// The key of the row.
        key: String,
        /// The new contents.
        contents: Option<Vec<u8>>,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<(), RequestError>>,
    },
}

/// Serves operators' requests until the process ends. Returns the queue of requests.
pub(super) fn serve<P: Platform>(shared: &Rc<Shared<P>>) -> mpsc::Sender<OperatorRequest> {
    let (sender, mut requests) = mpsc::channel(QUEUE_CAPACITY);
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        while let Some(request) = requests.recv().await {
            match request {
                OperatorRequest::List(reply) => drop(reply.send(list(&shared).await)),
                OperatorRequest::Write { key, contents, reply } => {
                    drop(reply.send(write(&shared, key, contents).await));
                }
            }
        }
    });
    sender
}

/// Reads all rows for a new owner. Returns none if the part is not in use.
pub(super) async fn load<P: Platform>(
    shared: &Rc<Shared<P>>,
) -> Result<OperatorRows, PlatformError> {
    match shared.settings.parts.has(LoadPart::OperatorRows) {
        true => Ok(decode(&read_all(shared).await?.0)),
        false => Ok(OperatorRows::default()),
    }
}

/// Sends changes of the rows to the owner until it stops.
pub(super) async fn watch<P: Platform>(shared: Rc<Shared<P>>, owner: mpsc::Sender<OwnerMessage>) {
    if !shared.settings.parts.has(LoadPart::OperatorRows) {
        return;
    }
    let (mut rows, mut version) = (OperatorRows::default(), None);
    while !owner.is_closed() {
        let changes = match version {
            None => read_all(&shared).await.map(|(all, version)| Some((decode(&all), version))),
            Some(version) => read_changes(&shared, &rows, version).await,
        };
        let changed = match changes {
            Ok(Some((changed, next))) => {
                version = Some(next);
                changed
            }
            Ok(None) => {
                version = None;
                continue;
            }
            Err(error) => {
                log::debug!("operators: their rows can't be read: {error}");
                time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        if changed != rows {
            log::info!(rows = changed.count(); "operators: other rows are in force");
            shared.metrics.record_operator_rows(changed.count() as u64);
            rows = changed.clone();
            let event = Event::OperatorRowsChanged(changed);
            if owner.send(OwnerMessage::Event(event)).await.is_err() {
                return;
            }
        }
    }
}

/// Waits for changes after a version. Returns `None` if all rows must be read again.
async fn read_changes<P: Platform>(
    shared: &Rc<Shared<P>>,
    known: &OperatorRows,
    version: u64,
) -> Result<Option<(OperatorRows, u64)>, PlatformError> {
    let wait = shared.settings.limits.config_watch_wait;
    let (store, table) = (&shared.services.store, rows::OPERATORS_TABLE);
    let changes = store.watch(table, rows::PARTITION, version, wait).await;
    shared.record_store_result(&changes);
    match changes? {
        TableChanges::HistoryGone => Ok(None),
        TableChanges::Changed { rows: changed, version } => {
            let mut all = known.clone();
            for (key, contents) in changed {
                apply(&mut all, &key, contents.as_deref());
            }
            Ok(Some((all, version)))
        }
    }
}

/// Reads all rows, and the version of the store at the first page.
async fn read_all<P: Platform>(
    shared: &Rc<Shared<P>>,
) -> Result<(Vec<StoredRow>, u64), PlatformError> {
    let (mut all, mut after, mut first_version) = (Vec::new(), None::<String>, None);
    loop {
        let store = &shared.services.store;
        let page =
            store.page(rows::OPERATORS_TABLE, rows::PARTITION, after.as_deref(), PAGE_ROWS).await;
        shared.record_store_result(&page);
        let RowPage { rows, next, version } = page?;
        let version = *first_version.get_or_insert(version);
        all.extend(rows);
        match next {
            Some(next) => after = Some(next),
            None => return Ok((all, version)),
        }
    }
}

fn decode(rows: &[StoredRow]) -> OperatorRows {
    let mut all = OperatorRows::default();
    rows.iter().for_each(|row| apply(&mut all, &row.key, Some(&row.value)));
    all
}

/// Applies a row. One that can't be used is logged and changes nothing.
fn apply(rows: &mut OperatorRows, key: &str, contents: Option<&[u8]>) {
    if let Err(error) = rows.apply(key, contents) {
        log::error!(key = key; "operators: a row is ignored: {error}");
    }
}

async fn list<P: Platform>(shared: &Rc<Shared<P>>) -> Result<Vec<ShownRow>, RequestError> {
    let (rows, _) = read_all(shared).await.map_err(|error| RequestError::Unavailable {
        message: format!("the store can't be read: {error}; try again"),
    })?;
    let show = |row: StoredRow| {
        let text = serde_json::from_slice(&row.value).unwrap_or(Value::Null);
        ShownRow { key: row.key, row: text, version: row.version }
    };
    Ok(rows.into_iter().map(show).collect())
}

async fn write<P: Platform>(
    shared: &Rc<Shared<P>>,
    key: String,
    contents: Option<Vec<u8>>,
) -> Result<(), RequestError> {
    let check = match &contents {
        Some(contents) => OperatorRows::check(&key, contents),
        None => OperatorRows::default().apply(&key, None).map(|_| ()),
    };
    check.map_err(|error| RequestError::Invalid { message: error.to_string() })?;
    let name = rows::operator_row_name(&key);
    if contents.is_none() && read_version(shared, &key).await? == 0 {
        return Err(RequestError::NotFound { message: format!("there is no row `{key}`") });
    }
    let mut transaction = RowTransaction::default();
    let removes = contents.is_none();
    match contents {
        Some(contents) => transaction.puts.push((name, contents)),
        None => transaction.removes.push(name),
    }
    let written = shared.services.store.transact(&transaction).await;
    shared.record_store_result(&written);
    log::info!(
        key = key.as_str(), removes = removes, done = written.is_ok();
        "operators: a row is written"
    );
    match written {
        Ok(_) => Ok(()),
        Err(error @ PlatformError::AnswerLost { .. }) => Err(RequestError::Unknown {
            message: format!("the change may have been made: {error}; repeat the command"),
        }),
        Err(error) => Err(RequestError::Unavailable {
            message: format!("nothing was changed: {error}; repeat the command"),
        }),
    }
}

async fn read_version<P: Platform>(shared: &Rc<Shared<P>>, key: &str) -> Result<u64, RequestError> {
    let read = shared.services.store.read(&rows::operator_row_name(key)).await;
    shared.record_store_result(&read);
    let row = read.map_err(|error| RequestError::Unavailable {
        message: format!("nothing was changed: {error}; repeat the command"),
    })?;
    Ok(row.map_or(0, |row| row.version))
}
