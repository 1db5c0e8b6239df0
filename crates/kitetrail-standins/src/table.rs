//! The transactional table and the object store.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode, body::Incoming};
use kitetrail_core::{
    OpId, Version,
    table::{CommitOutcome, Condition, RowKey},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    args::TableArgs,
    server::{
        Answer, StandinError, json_response, query_parameter, read_json, serve, text_response,
    },
};

/// A row whose contents are opaque to the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OpaqueRow {
    /// The key of the row.
    pub key: RowKey,
    /// The version of the row.
    pub version: Version,
    /// The operation that wrote this version.
    pub op: OpId,
    /// The contents of the row.
    pub record: Value,
}

/// A transaction whose written contents are opaque to the table.
#[derive(Debug, Clone, Deserialize)]
pub struct OpaqueTransaction {
    op: OpId,
    conditions: Vec<Condition>,
    writes: Vec<OpaqueWrite>,
}

#[derive(Debug, Clone, Deserialize)]
struct OpaqueWrite {
    key: RowKey,
    record: Option<Value>,
}

/// The model of the transactional table.
#[derive(Debug, Default)]
pub struct TableModel {
    rows: BTreeMap<RowKey, OpaqueRow>,
    version: Version,
    /// The number of reads.
    pub reads: u64,
    /// The number of committed transactions.
    pub commits: u64,
    /// The number of rows that committed transactions wrote or removed.
    pub rows_written: u64,
}

impl TableModel {
    /// Returns the row with a key.
    pub fn read(&mut self, key: &str) -> Option<&OpaqueRow> {
        self.reads += 1;
        self.rows.get(&RowKey::from_name(key))
    }

    /// Returns all rows whose keys start with a prefix.
    pub fn scan(&mut self, prefix: &str) -> Vec<OpaqueRow> {
        self.reads += 1;
        let rows = self.rows.values().filter(|row| row.key.as_str().starts_with(prefix));
        rows.cloned().collect()
    }

    /// Commits a transaction if all its conditions are satisfied.
    pub fn commit(&mut self, transaction: OpaqueTransaction) -> CommitOutcome {
        let is_satisfied = |condition: &Condition| {
            let version = self.rows.get(&condition.key).map(|row| row.version);
            version.unwrap_or_default() == condition.version
        };
        if !transaction.conditions.iter().all(is_satisfied) {
            return CommitOutcome::Conflict;
        }
        self.version = self.version.next();
        self.commits += 1;
        self.rows_written += transaction.writes.len() as u64;
        for write in transaction.writes {
            let (key, version, op) = (write.key, self.version, transaction.op.clone());
            match write.record {
                Some(record) => {
                    self.rows.insert(key.clone(), OpaqueRow { key, version, op, record });
                }
                None => {
                    self.rows.remove(&key);
                }
            }
        }
        CommitOutcome::Committed(self.version)
    }
}

/// The injected faults of the service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the service rejects all requests.
    pub down: bool,
    /// The delay of each response, in milliseconds.
    pub slow_ms: u64,
    /// The percentage of transactions whose responses are lost after they were processed.
    pub lose_answers_percent: u32,
}

#[derive(Debug)]
struct State {
    table: TableModel,
    objects: HashMap<String, Bytes>,
    faults: Faults,
    rng: ChaCha8Rng,
}

#[derive(Serialize)]
struct Stats {
    reads: u64,
    commits: u64,
    rows_written: u64,
}

/// Runs the table and the object store until the process ends.
pub async fn run(args: TableArgs) -> Result<(), StandinError> {
    let state = Rc::new(RefCell::new(State {
        table: TableModel::default(),
        objects: HashMap::new(),
        faults: Faults::default(),
        rng: ChaCha8Rng::seed_from_u64(7),
    }));
    serve(args.listen, move |request| handle_request(Rc::clone(&state), request)).await
}

async fn handle_request(state: Rc<RefCell<State>>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    if path == "/v1/faults" {
        return set_faults(&state, request).await;
    }
    let Faults { down, slow_ms, .. } = state.borrow().faults.clone();
    if down {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "the service is down");
    }
    if slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    }
    match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/row") => match query_parameter(&request, "key") {
            Some(key) => match state.borrow_mut().table.read(key) {
                Some(row) => json_response(row),
                None => text_response(StatusCode::NOT_FOUND, "no such row"),
            },
            None => text_response(StatusCode::BAD_REQUEST, "`key` is missing"),
        },
        (&Method::GET, "/v1/rows") => {
            let prefix = query_parameter(&request, "prefix").unwrap_or_default();
            let rows = state.borrow_mut().table.scan(prefix);
            json_response(&serde_json::json!({ "rows": rows }))
        }
        (&Method::GET, "/v1/stats") => {
            let table = &state.borrow().table;
            let (reads, commits) = (table.reads, table.commits);
            json_response(&Stats { reads, commits, rows_written: table.rows_written })
        }
        (&Method::POST, "/v1/transactions") => handle_commit(&state, request).await,
        (method, path) if path.starts_with("/v1/objects/") => {
            let (method, path) = (method.clone(), path.to_owned());
            handle_object(&state, &method, path, request).await
        }
        _ => text_response(StatusCode::NOT_FOUND, "no such resource"),
    }
}

async fn set_faults(state: &RefCell<State>, request: Request<Incoming>) -> Answer {
    match read_json(request).await {
        Ok(faults) => {
            state.borrow_mut().faults = faults;
            text_response(StatusCode::OK, "")
        }
        Err(answer) => answer,
    }
}

async fn handle_commit(state: &RefCell<State>, request: Request<Incoming>) -> Answer {
    let transaction = match read_json(request).await {
        Ok(transaction) => transaction,
        Err(answer) => return answer,
    };
    let mut state = state.borrow_mut();
    if state.faults.down {
        return None;
    }
    let answer = state.table.commit(transaction);
    let percent = state.faults.lose_answers_percent;
    if state.rng.random_range(0..100) < percent {
        return None;
    }
    match answer {
        CommitOutcome::Committed(version) => {
            json_response(&serde_json::json!({ "version": version }))
        }
        CommitOutcome::Conflict | CommitOutcome::Unknown => {
            text_response(StatusCode::CONFLICT, "a condition is not satisfied")
        }
    }
}

async fn handle_object(
    state: &RefCell<State>,
    method: &Method,
    path: String,
    request: Request<Incoming>,
) -> Answer {
    match *method {
        Method::GET => match state.borrow().objects.get(&path) {
            Some(contents) => text_response(StatusCode::OK, contents.clone()),
            None => text_response(StatusCode::NOT_FOUND, "no such object"),
        },
        Method::PUT => {
            let contents = request.into_body().collect().await.ok()?.to_bytes();
            state.borrow_mut().objects.insert(path, contents);
            text_response(StatusCode::OK, "")
        }
        _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "use GET or PUT"),
    }
}
