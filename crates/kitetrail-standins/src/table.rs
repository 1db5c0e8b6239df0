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
    server::{Answer, StandinError, json, query, read_json, serve, text},
};

/// A row with contents that the table does not look into.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OpaqueRow {
    /// Its name.
    pub key: RowKey,
    /// Its version.
    pub version: Version,
    /// The write that gave it this version.
    pub op: OpId,
    /// Its contents.
    pub record: Value,
}

/// A transaction with contents that the table does not look into.
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

/// The rows and how they change.
#[derive(Debug, Default)]
pub struct TableModel {
    rows: BTreeMap<RowKey, OpaqueRow>,
    version: Version,
    /// How many reads were asked.
    pub reads: u64,
    /// How many transactions took effect.
    pub commits: u64,
    /// How many rows those changed.
    pub rows_written: u64,
}

impl TableModel {
    /// The row of a name.
    pub fn read(&mut self, key: &str) -> Option<&OpaqueRow> {
        self.reads += 1;
        self.rows.get(&RowKey::from_name(key))
    }

    /// All rows whose names start alike.
    pub fn scan(&mut self, prefix: &str) -> Vec<OpaqueRow> {
        self.reads += 1;
        let rows = self.rows.values().filter(|row| row.key.as_str().starts_with(prefix));
        rows.cloned().collect()
    }

    /// Carries a transaction out if all its conditions hold.
    pub fn commit(&mut self, transaction: OpaqueTransaction) -> CommitOutcome {
        let holds = |condition: &Condition| {
            let version = self.rows.get(&condition.key).map(|row| row.version);
            version.unwrap_or_default() == condition.version
        };
        if !transaction.conditions.iter().all(holds) {
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

/// How the service misbehaves.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuse everything.
    pub down: bool,
    /// How long each answer takes, in milliseconds.
    pub slow_ms: u64,
    /// How many answers of a hundred transactions are lost after they took effect.
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

/// Runs the stand-in.
pub async fn run(args: TableArgs) -> Result<(), StandinError> {
    let state = Rc::new(RefCell::new(State {
        table: TableModel::default(),
        objects: HashMap::new(),
        faults: Faults::default(),
        rng: ChaCha8Rng::seed_from_u64(7),
    }));
    serve(args.listen, move |request| answer(Rc::clone(&state), request)).await
}

async fn answer(state: Rc<RefCell<State>>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    if path == "/v1/faults" {
        return set_faults(&state, request).await;
    }
    let Faults { down, slow_ms, .. } = state.borrow().faults.clone();
    if down {
        return text(StatusCode::SERVICE_UNAVAILABLE, "the service is down");
    }
    if slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    }
    match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/row") => match query(&request, "key") {
            Some(key) => match state.borrow_mut().table.read(key) {
                Some(row) => json(row),
                None => text(StatusCode::NOT_FOUND, "no such row"),
            },
            None => text(StatusCode::BAD_REQUEST, "`key` is missing"),
        },
        (&Method::GET, "/v1/rows") => {
            let prefix = query(&request, "prefix").unwrap_or_default();
            let rows = state.borrow_mut().table.scan(prefix);
            json(&serde_json::json!({ "rows": rows }))
        }
        (&Method::GET, "/v1/stats") => {
            let table = &state.borrow().table;
            let (reads, commits) = (table.reads, table.commits);
            json(&Stats { reads, commits, rows_written: table.rows_written })
        }
        (&Method::POST, "/v1/transactions") => commit(&state, request).await,
        (method, path) if path.starts_with("/v1/objects/") => {
            let (method, path) = (method.clone(), path.to_owned());
            object(&state, &method, path, request).await
        }
        _ => text(StatusCode::NOT_FOUND, "no such resource"),
    }
}

async fn set_faults(state: &RefCell<State>, request: Request<Incoming>) -> Answer {
    match read_json(request).await {
        Ok(faults) => {
            state.borrow_mut().faults = faults;
            text(StatusCode::OK, "")
        }
        Err(answer) => answer,
    }
}

async fn commit(state: &RefCell<State>, request: Request<Incoming>) -> Answer {
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
        CommitOutcome::Committed(version) => json(&serde_json::json!({ "version": version })),
        CommitOutcome::Conflict | CommitOutcome::Unknown => {
            text(StatusCode::CONFLICT, "a condition does not hold")
        }
    }
}

async fn object(
    state: &RefCell<State>,
    method: &Method,
    path: String,
    request: Request<Incoming>,
) -> Answer {
    match *method {
        Method::GET => match state.borrow().objects.get(&path) {
            Some(contents) => text(StatusCode::OK, contents.clone()),
            None => text(StatusCode::NOT_FOUND, "no such object"),
        },
        Method::PUT => {
            let contents = request.into_body().collect().await.ok()?.to_bytes();
            state.borrow_mut().objects.insert(path, contents);
            text(StatusCode::OK, "")
        }
        _ => text(StatusCode::METHOD_NOT_ALLOWED, "use GET or PUT"),
    }
}
