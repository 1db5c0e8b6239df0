//! A stand-in for the platform's store: tables of rows, transactions and the feed of changes.

use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, Server},
    json::Json,
};

/// The time that a transaction takes, as `tx_ms` in the settings.
const TRANSACTION: Duration = Duration::from_millis(5);
/// The time that another call takes.
const CALL: Duration = Duration::from_millis(4);
const MAX_ROWS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;
const MAX_ENTRIES: usize = 100;
const MAX_ROW_BYTES: usize = 65_536;

/// The table, the part and the key of a row.
type Name = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Name, (String, u64)>,
    changes: Vec<(u64, Name)>,
}

/// The store.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    /// Held by a transaction: those of one part take their turns.
    turn: Mutex<()>,
    started: Instant,
}

impl Store {
    /// Starts the store and returns it with its server.
    pub fn start() -> (Arc<Self>, Arc<Server>) {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            turn: Mutex::default(),
            started: Instant::now(),
        });
        let served = Arc::clone(&store);
        let server = Server::start(Arc::new(move |request| Some(served.answer(request))));
        (store, server)
    }

    /// Writes a row with a JSON value, as an operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let name = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows.lock().expect("lock");
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert(name.clone(), (encode(value.write().as_bytes()), version));
        rows.changes.push((version, name));
        self.changed.notify_all();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let name = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows.lock().expect("lock");
        if rows.rows.remove(&name).is_some() {
            rows.version += 1;
            let version = rows.version;
            rows.changes.push((version, name));
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> (u16, Json) {
        match request.path.as_str() {
            "/v1/rows-tx" => {
                let _turn = self.turn.lock().expect("lock");
                thread::sleep(TRANSACTION);
                let (status, mut body) = self.transact(&request.body);
                self.add_clock(&mut body);
                (status, body)
            }
            "/v1/rows-get" => {
                thread::sleep(CALL);
                let mut body = self.get(request);
                self.add_clock(&mut body);
                (200, body)
            }
            "/v1/rows-feed" => {
                let mut body = self.feed(request);
                thread::sleep(CALL);
                self.add_clock(&mut body);
                (200, body)
            }
            _ => (404, Json::Null),
        }
    }

    fn add_clock(&self, body: &mut Json) {
        if let Json::Object(fields) = body {
            let now_ms = Json::number(self.started.elapsed().as_millis() as u64);
            fields.insert("now_ms".to_owned(), now_ms);
        }
    }

    fn transact(&self, body: &Json) -> (u16, Json) {
        let mut rows = self.rows.lock().expect("lock");
        let (expected, puts) = (body.get("expected_rev").as_list(), body.get("put").as_list());
        let removes = body.get("remove").as_list();
        let too_large = |put: &Json| put.get("value").as_str().len() * 3 / 4 > MAX_ROW_BYTES;
        if puts.len() + removes.len() > MAX_ENTRIES || puts.iter().any(too_large) {
            return (400, Json::Null);
        }
        let version_of =
            |rows: &Rows, name: &Name| rows.rows.get(name).map_or(0, |(_, version)| *version);
        if expected.iter().any(|entry| version_of(&rows, &name(entry)) != entry.get("ver").as_u64())
        {
            let found = expected.iter().map(|entry| row(&rows, &name(entry))).collect();
            return (
                412,
                Json::object(vec![
                    ("rows", Json::List(found)),
                    ("ver", Json::number(rows.version)),
                ]),
            );
        }
        rows.version += 1;
        let version = rows.version;
        for put in puts {
            let value = put.get("value").as_str().to_owned();
            rows.rows.insert(name(put), (value, version));
            rows.changes.push((version, name(put)));
        }
        for removed in removes {
            if rows.rows.remove(&name(removed)).is_some() {
                rows.changes.push((version, name(removed)));
            }
        }
        self.changed.notify_all();
        (200, Json::object(vec![("ver", Json::number(version))]))
    }

    fn get(&self, request: &Request) -> Json {
        let rows = self.rows.lock().expect("lock");
        let (table, part) = (request.query("table"), request.query("part"));
        let (from, to) = (request.query("from"), request.query("target_version"));
        let limit = request.query("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        let mut page = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (name, (value, _)) in rows.rows.range(first..) {
            let in_range =
                name.0 == table && name.1 == part && (to.is_empty() || name.2.as_str() < to);
            if !in_range {
                break;
            }
            bytes += value.len();
            if page.len() == limit || bytes > MAX_PAGE_BYTES && !page.is_empty() {
                more = true;
                break;
            }
            page.push(row(&rows, name));
        }
        Json::object(vec![
            ("rows", Json::List(page)),
            ("more", Json::Bool(more)),
            ("ver", Json::number(rows.version)),
        ])
    }

    fn feed(&self, request: &Request) -> Json {
        let after = request.query("depends_on").parse::<u64>().unwrap_or(0);
        let wait = request.query("wait_ms").parse().map_or(Duration::ZERO, Duration::from_millis);
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().expect("lock");
        loop {
            let start = rows.changes.partition_point(|(version, _)| *version <= after);
            let changed =
                rows.changes[start..].iter().filter(|(_, name)| name.0 == request.query("table"));
            let changed = changed.map(|(_, name)| row(&rows, name)).collect::<Vec<_>>();
            let now = Instant::now();
            if !changed.is_empty() || now >= until {
                return Json::object(vec![
                    ("rows", Json::List(changed)),
                    ("ver", Json::number(rows.version)),
                ]);
            }
            rows = self.changed.wait_timeout(rows, until - now).expect("lock").0;
        }
    }
}

fn name(entry: &Json) -> Name {
    let text = |field: &str| entry.get(field).as_str().to_owned();
    (text("table"), text("part"), text("tls_key"))
}

fn row(rows: &Rows, name: &Name) -> Json {
    let (table, part, key) = name;
    let mut fields = vec![
        ("table", Json::text(table)),
        ("part", Json::text(part)),
        ("tls_key", Json::text(key)),
    ];
    match rows.rows.get(name) {
        Some((value, version)) => {
            fields.push(("value", Json::text(value)));
            fields.push(("ver", Json::number(*version)));
        }
        None => fields.push(("gone", Json::Bool(true))),
    }
    Json::object(fields)
}

/// Encodes bytes as base64.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for digit in 0..4 {
            if digit <= chunk.len() {
                out.push(DIGITS[(group >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
