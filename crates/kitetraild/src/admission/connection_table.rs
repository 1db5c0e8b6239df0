//! The connections of callers, of which the longest idle one is closed at the limit.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::Notify;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Activity {
    /// It waits for a request, or has received a part of its head.
    Idle,
    /// It receives the body of a request.
    Receiving,
    /// Its request is being answered. It is not closed before the response.
    Answering,
}

#[derive(Debug)]
struct Entry {
    activity: Activity,
    since: Instant,
    closed: Rc<Notify>,
}

/// The connections of callers, up to a limit.
#[derive(Debug)]
pub struct ConnectionTable {
    limit: usize,
    entries: RefCell<BTreeMap<u64, Entry>>,
    next_id: Cell<u64>,
    /// The connections whose tasks have not ended yet, including those that are to be closed.
    open: Cell<usize>,
    evictions: Cell<u64>,
}

impl ConnectionTable {
    /// Creates a table for at most `limit` connections.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit,
            entries: RefCell::default(),
            next_id: Cell::new(0),
            open: Cell::new(0),
            evictions: Cell::new(0),
        })
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns the number of connections closed so far.
    pub fn evictions(&self) -> u64 {
        self.evictions.get()
    }

    /// Returns whether more connections are open than the limit allows, as those that are to be closed have not ended.
    pub fn is_over_limit(&self) -> bool {
        self.open.get() > self.limit
    }

    /// Makes room for one more connection. At the limit, closes the one that was idle for longest, otherwise the one
    /// that has been receiving a body for longest. Returns whether there is room once the closed ones have ended.
    pub fn make_room(&self) -> bool {
        let mut entries = self.entries.borrow_mut();
        while entries.len() >= self.limit {
            let closable = entries.iter().filter(|(_, entry)| entry.activity < Activity::Answering);
            let victim = closable.min_by_key(|(_, entry)| (entry.activity, entry.since));
            let Some(victim) = victim.map(|(&id, _)| id).and_then(|id| entries.remove(&id)) else {
                return false;
            };
            self.evictions.set(self.evictions.get() + 1);
            victim.closed.notify_one();
        }
        true
    }

    /// Closes the connections that have been idle for longer than a time. Their callers don't read the last response, as
    /// the HTTP server itself closes those that send no request.
    pub fn close_idle(&self, max_idle: Duration) {
        let now = Instant::now();
        self.entries.borrow_mut().retain(|_, entry| {
            let idle = now.saturating_duration_since(entry.since);
            let is_stalled = entry.activity == Activity::Idle && idle > max_idle;
            if is_stalled {
                self.evictions.set(self.evictions.get() + 1);
                entry.closed.notify_one();
            }
            !is_stalled
        });
    }

    /// Adds a connection.
    pub fn insert(self: &Rc<Self>) -> Rc<Connection> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let closed = Rc::new(Notify::new());
        let entry =
            Entry { activity: Activity::Idle, since: Instant::now(), closed: Rc::clone(&closed) };
        self.entries.borrow_mut().insert(id, entry);
        self.open.set(self.open.get() + 1);
        Rc::new(Connection { table: Rc::clone(self), id, closed })
    }

    fn record(&self, id: u64, activity: Activity) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&id) {
            entry.activity = activity;
            entry.since = Instant::now();
        }
    }
}

/// A caller's connection in the table, which it leaves when this is dropped.
#[derive(Debug)]
pub struct Connection {
    table: Rc<ConnectionTable>,
    id: u64,
    closed: Rc<Notify>,
}

impl Connection {
    /// Records that a request arrives, until the returned guard is dropped.
    pub fn begin_request(&self) -> RequestGuard<'_> {
        self.table.record(self.id, Activity::Receiving);
        RequestGuard(self)
    }

    /// Records that the request has arrived and is being answered.
    pub fn record_received(&self) {
        self.table.record(self.id, Activity::Answering);
    }

    /// Waits until the table closes the connection.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.table.entries.borrow_mut().remove(&self.id);
        self.table.open.set(self.table.open.get() - 1);
    }
}

/// A request in progress on a connection.
#[derive(Debug)]
pub struct RequestGuard<'a>(&'a Connection);

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.0.table.record(self.0.id, Activity::Idle);
    }
}

#[cfg(test)]
mod tests;
