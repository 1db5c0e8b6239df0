//! Idle connections by host. When a connection to a host goes silent, later calls use new ones.

mod connection;

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, http::uri::Authority};

use self::connection::Connection;
pub(crate) use self::connection::{ConnectError, ExchangeError, Response};

/// The time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The interval at which idle connections are checked for that.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The number of times that silent connections were replaced, by service.
#[derive(Debug, Clone, Default)]
pub struct SilenceCounts(Arc<Mutex<BTreeMap<&'static str, u64>>>);

impl SilenceCounts {
    /// Counts a replacement of the connections to a service.
    pub fn note(&self, service: &'static str) {
        *lock(&self.0).entry(service).or_default() += 1;
    }

    /// Returns the counts so far, by service.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        lock(&self.0).clone()
    }
}

/// Tells the successive sets of connections to a host apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Generation(u64);

/// The connections to all hosts of one service.
#[derive(Debug, Clone)]
pub(crate) struct Connections {
    connect_timeout: Duration,
    hosts: Arc<Mutex<Hosts>>,
}

#[derive(Debug)]
struct Hosts {
    by_authority: HashMap<Authority, Host>,
    /// The generation of the next new or replaced set of connections.
    next_generation: u64,
    swept_at: Instant,
}

#[derive(Debug)]
struct Host {
    generation: Generation,
    /// The idle connections, the one that was used last at the end.
    idle: Vec<Connection>,
    used_at: Instant,
}

impl Connections {
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        let hosts =
            Hosts { by_authority: HashMap::new(), next_generation: 0, swept_at: Instant::now() };
        Self { connect_timeout, hosts: Arc::new(Mutex::new(hosts)) }
    }

    /// Returns the generation of the connections that a call to a host uses now.
    pub(crate) fn generation_for(&self, host: &Authority) -> Generation {
        lock(&self.hosts).host(host).generation
    }

    /// Stops using the connections to a host if `suspect` is still their generation.
    ///
    /// Later calls use new connections; calls in progress continue on the old ones. Returns whether
    /// the connections were replaced.
    pub(crate) fn replace(&self, host: &Authority, suspect: Generation) -> bool {
        let mut hosts = lock(&self.hosts);
        if hosts.host(host).generation != suspect {
            return false;
        }
        hosts.by_authority.remove(host);
        true
    }

    /// Sends a request to a host over an idle connection, or over a new one if none is idle, and
    /// returns the complete response.
    pub(crate) async fn exchange(
        &self,
        host: &Authority,
        generation: Generation,
        request: Request<Full<Bytes>>,
    ) -> Result<Result<Response, ExchangeError>, ConnectError> {
        let mut connection = match self.take_idle(host, generation).await {
            Some(connection) => connection,
            None => Connection::open(host, self.connect_timeout).await?,
        };
        let response = connection.exchange(request).await;
        if response.is_ok() && connection.is_usable().await {
            self.put_back(host, generation, connection);
        }
        Ok(response)
    }

    async fn take_idle(&self, host: &Authority, generation: Generation) -> Option<Connection> {
        loop {
            let mut connection = lock(&self.hosts).pop_idle(host, generation)?;
            if connection.is_usable().await {
                return Some(connection);
            }
        }
    }

    fn put_back(&self, host: &Authority, generation: Generation, mut connection: Connection) {
        let mut hosts = lock(&self.hosts);
        let known = hosts.host(host);
        if known.generation == generation {
            connection.idle_since = Instant::now();
            known.idle.push(connection);
        }
        hosts.sweep_if_due();
    }
}

impl Hosts {
    /// Returns what is known of a host, which is used now.
    fn host(&mut self, host: &Authority) -> &mut Host {
        let (now, next) = (Instant::now(), &mut self.next_generation);
        let known = self.by_authority.entry(host.clone()).or_insert_with(|| {
            // A generation of its own for each entry: calls in progress may outlast an entry.
            *next += 1;
            Host { generation: Generation(*next), idle: Vec::new(), used_at: now }
        });
        known.used_at = now;
        known
    }

    fn pop_idle(&mut self, host: &Authority, generation: Generation) -> Option<Connection> {
        let known = self.by_authority.get_mut(host)?;
        match known.generation == generation {
            true => known.idle.pop(),
            false => None,
        }
    }

    /// Closes connections that were idle for too long, and forgets hosts that are not called any
    /// more.
    fn sweep_if_due(&mut self) {
        let now = Instant::now();
        if now.duration_since(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        let is_recent = |since: Instant| now.duration_since(since) < IDLE_TIMEOUT;
        self.by_authority.retain(|_, known| {
            known.idle.retain(|connection| is_recent(connection.idle_since));
            !known.idle.is_empty() || is_recent(known.used_at)
        });
    }
}

/// Locks a mutex. A poisoned lock is safe to use, since no code that holds it can panic half way.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
