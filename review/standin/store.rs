//! A stand-in for the platform's store, as PROTOCOL.md tells it.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Request,
    json::{Json, base64, base64_bytes, parse, quoted},
};

/// How long a transaction takes: `tx_ms`.
const TX_TIME: Duration = Duration::from_millis(5);
/// The most bytes of a value: `row_bytes`.
pub const ROW_BYTES: usize = 65_536;
/// The most entries and bytes of a transaction.
const TX_ENTRIES: usize = 100;
const TX_BYTES: usize = 1_000_000;
/// The most rows and bytes of a page.
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// The table, part and key of a row.
type Name = (String, String, String);

#[derive(Default)]
struct Rows {
    /// The values, in base64, with the versions.
    rows: BTreeMap<Name, (String, u64)>,
    changes: Vec<(u64, Name)>,
    version: u64,
    /// Writes that were refused as too large: the key and the bytes.
    too_large: Vec<(String, usize)>,
}

#[derive(Default)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    /// Transactions of one part are done in turn.
    turn: Mutex<()>,
    /// Whether the store answers every call with 503, having done nothing.
    pub is_down: AtomicBool,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Writes a row as operators and workers do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.set((table.into(), String::new(), key.into()), Some(base64(value.as_bytes())), version);
        self.changed.notify_all();
    }

    /// Returns how many writes were refused as too large, and the key and the bytes of the last.
    pub fn too_large(&self) -> (usize, Option<(String, usize)>) {
        let rows = self.rows.lock().unwrap();
        (rows.too_large.len(), rows.too_large.last().cloned())
    }

    pub fn handle(&self, request: &Request) -> Option<(u16, String)> {
        if self.is_down.load(Ordering::Relaxed) {
            return Some((503, "{}".into()));
        }
        match request.path.as_str() {
            "/v1/rows-tx" => Some(self.transact(&request.body)),
            "/v1/rows-get" => Some(self.rows.lock().unwrap().get(request)),
            "/v1/rows-feed" => self.feed(request),
            _ => Some((404, "{}".into())),
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body_json) = parse(body) else { return (400, "{}".into()) };
        let _turn = self.turn.lock().unwrap();
        thread::sleep(TX_TIME);
        let mut rows = self.rows.lock().unwrap();
        let expected = body_json.get("expected_rev").arr();
        let (puts, removes) = (body_json.get("put").arr(), body_json.get("remove").arr());
        let too_long = puts.iter().find(|put| base64_bytes(put.get("value").str()) > ROW_BYTES);
        if let Some(put) = too_long {
            let bytes = base64_bytes(put.get("value").str());
            rows.too_large.push((name_of(put).2, bytes));
            return (400, format!("{{\"error\":\"a value has {bytes} bytes, at most {ROW_BYTES} are kept\"}}"));
        }
        let entries = expected.len() + puts.len() + removes.len();
        if entries > TX_ENTRIES || body.len() > TX_BYTES {
            rows.too_large.push((format!("{entries} entries"), body.len()));
            return (400, "{\"error\":\"the transaction is too large\"}".into());
        }
        let version_of = |name: &Name| rows.rows.get(name).map_or(0, |(_, version)| *version);
        let holds = |entry: &Json| entry.get("ver").int() as u64 == version_of(&name_of(entry));
        if !expected.iter().all(holds) {
            let found = expected.iter().map(|entry| rows.row(&name_of(entry))).collect::<Vec<_>>();
            return (412, format!("{{\"rows\":[{}],\"ver\":{}}}", found.join(","), rows.version));
        }
        rows.version += 1;
        let version = rows.version;
        for put in puts {
            rows.set(name_of(put), Some(put.get("value").str().to_owned()), version);
        }
        for remove in removes {
            rows.set(name_of(remove), None, version);
        }
        self.changed.notify_all();
        (200, format!("{{\"ver\":{version}}}"))
    }

    fn feed(&self, request: &Request) -> Option<(u16, String)> {
        let after = request.query("depends_on").parse::<u64>().unwrap_or(0);
        let wait = Duration::from_millis(request.query("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let found = rows.changed_since(after, request.query("table"));
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                return Some((200, format!("{{\"rows\":[{}],\"ver\":{}}}", found.join(","), rows.version)));
            }
            if self.is_down.load(Ordering::Relaxed) {
                return Some((503, "{}".into()));
            }
            rows = self.changed.wait_timeout(rows, left.min(Duration::from_millis(100))).unwrap().0;
        }
    }
}

impl Rows {
    fn set(&mut self, name: Name, value: Option<String>, version: u64) {
        match value {
            Some(value) => drop(self.rows.insert(name.clone(), (value, version))),
            None if self.rows.remove(&name).is_none() => return,
            None => {}
        }
        self.changes.push((version, name));
    }

    fn row(&self, name: &Name) -> String {
        let (table, part, key) = name;
        let head = format!("\"table\":{},\"part\":{},\"tls_key\":{}", quoted(table), quoted(part), quoted(key));
        match self.rows.get(name) {
            Some((value, version)) => format!("{{{head},\"value\":\"{value}\",\"ver\":{version}}}"),
            None => format!("{{{head},\"gone\":true}}"),
        }
    }

    fn get(&self, request: &Request) -> (u16, String) {
        let (table, part) = (request.query("table"), request.query("part"));
        let (from, to) = (request.query("from"), request.query("target_version"));
        let limit = request.query("limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let start = (table.to_owned(), part.to_owned(), from.to_owned());
        let in_range = |name: &&Name| name.0 == table && name.1 == part && (to.is_empty() || name.2.as_str() < to);
        let (mut found, mut bytes, mut more) = (Vec::new(), 0, false);
        for (name, _) in self.rows.range(start..).take_while(|(name, _)| in_range(name)) {
            if found.len() >= limit || bytes >= PAGE_BYTES {
                more = true;
                break;
            }
            let row = self.row(name);
            bytes += row.len();
            found.push(row);
        }
        (200, format!("{{\"rows\":[{}],\"more\":{more},\"ver\":{}}}", found.join(","), self.version))
    }

    fn changed_since(&self, after: u64, table: &str) -> Vec<String> {
        let first = self.changes.partition_point(|(version, _)| *version <= after);
        let changes = self.changes[first..].iter().filter(|(_, name)| name.0 == table);
        changes.map(|(_, name)| self.row(name)).collect()
    }
}

fn name_of(entry: &Json) -> Name {
    let text = |field: &str| entry.get(field).str().to_owned();
    (text("table"), text("part"), text("tls_key"))
}
