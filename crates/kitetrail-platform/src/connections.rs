//! Connections to hosts, replaced together once one of them went silent.

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

/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How many hosts may have a pool of their own. Beyond that all hosts begin anew in one pool, which
/// costs each a new connection. More than the workers of the largest site.
const MOST_POOLS: usize = 1_024;

/// How often connections were found silent and replaced, by what they lead to.
#[derive(Debug, Clone, Default)]
pub struct SilenceCounts(Arc<Mutex<BTreeMap<&'static str, u64>>>);

impl SilenceCounts {
    /// Counts a replacement.
    pub fn note(&self, service: &'static str) {
        *lock(&self.0).entry(service).or_default() += 1;
    }

    /// The counts so far.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        lock(&self.0).clone()
    }
}

/// A pool of connections, and which of the pools that its host had it is.
#[derive(Debug, Clone)]
pub(crate) struct Pool {
    pub(crate) client: Client<HttpConnector, Full<Bytes>>,
    generation: u64,
}

/// The pools of connections to all hosts of one kind.
#[derive(Debug, Clone)]
pub(crate) struct Connections {
    connect_timeout: Duration,
    pools: Arc<Mutex<Pools>>,
}

#[derive(Debug)]
struct Pools {
    /// For hosts none of whose connections went silent.
    common: Pool,
    /// For hosts with connections that did.
    renewed: HashMap<Authority, Pool>,
    /// How many pools there were.
    generations: u64,
}

impl Connections {
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        let common = Pool { client: client(connect_timeout), generation: 0 };
        let pools = Pools { common, renewed: HashMap::new(), generations: 1 };
        Self { connect_timeout, pools: Arc::new(Mutex::new(pools)) }
    }

    /// The connections to a host.
    pub(crate) fn to(&self, host: &Authority) -> Pool {
        let pools = lock(&self.pools);
        pools.renewed.get(host).unwrap_or(&pools.common).clone()
    }

    /// Lets later calls to a host use none of the connections of a pool, unless they don't already.
    ///
    /// Calls in progress on them go on. Returns whether anything changed.
    pub(crate) fn distrust(&self, host: &Authority, suspect: &Pool) -> bool {
        let mut pools = lock(&self.pools);
        let present = pools.renewed.get(host).unwrap_or(&pools.common);
        if present.generation != suspect.generation {
            return false;
        }
        let pool = Pool { client: client(self.connect_timeout), generation: pools.generations };
        pools.generations += 1;
        if pools.renewed.len() >= MOST_POOLS {
            pools.renewed.clear();
            pools.common = pool;
        } else {
            pools.renewed.insert(host.clone(), pool);
        }
        true
    }
}

fn client(connect_timeout: Duration) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// What a lock guards. It is held for single steps that don't panic, so what it guards is whole.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
