//! Connection pools. When a connection to a host goes silent, the host gets a new pool.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::uri::Authority;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

/// The time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum number of hosts with a pool of their own.
///
/// At this limit all hosts move to a new common pool, at the cost of one new connection per host. The
/// limit exceeds the number of workers of the largest site.
const MAX_HOST_POOLS: usize = 1_024;

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

/// A connection pool with its generation, which tells the successive pools of a host apart.
#[derive(Debug, Clone)]
pub(crate) struct Pool {
    pub(crate) client: Client<HttpConnector, Full<Bytes>>,
    generation: u64,
}

/// The connection pools for all hosts of one service.
#[derive(Debug, Clone)]
pub(crate) struct Connections {
    connect_timeout: Duration,
    pools: Arc<Mutex<Pools>>,
}

#[derive(Debug)]
struct Pools {
    /// The pool for hosts without a pool of their own.
    common: Pool,
    /// The pools of hosts that had a silent connection.
    per_host: HashMap<Authority, Pool>,
    /// The generation of the next pool.
    next_generation: u64,
}

impl Connections {
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        let common = Pool { client: build_client(connect_timeout), generation: 0 };
        let pools = Pools { common, per_host: HashMap::new(), next_generation: 1 };
        Self { connect_timeout, pools: Arc::new(Mutex::new(pools)) }
    }

    /// Returns the current pool for a host.
    pub(crate) fn pool_for(&self, host: &Authority) -> Pool {
        let pools = lock(&self.pools);
        pools.per_host.get(host).unwrap_or(&pools.common).clone()
    }

    /// Replaces the pool of a host if `suspect` is still its current pool.
    ///
    /// Later calls use new connections; calls in progress continue on the old ones. Returns whether the
    /// pool was replaced.
    pub(crate) fn replace_pool(&self, host: &Authority, suspect: &Pool) -> bool {
        let mut pools = lock(&self.pools);
        let current = pools.per_host.get(host).unwrap_or(&pools.common);
        if current.generation != suspect.generation {
            return false;
        }
        let pool =
            Pool { client: build_client(self.connect_timeout), generation: pools.next_generation };
        pools.next_generation += 1;
        if pools.per_host.len() >= MAX_HOST_POOLS {
            pools.per_host.clear();
            pools.common = pool;
        } else {
            pools.per_host.insert(host.clone(), pool);
        }
        true
    }
}

fn build_client(connect_timeout: Duration) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// Locks a mutex. A poisoned lock is safe to use, since no code that holds it can panic half way.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
