//! Defines the operators' versioned configuration of queues and of limits on callers.

use serde::{Deserialize, Serialize};

use crate::jobs::QueueTerms;

/// The default limit on the size of a request's headers, in bytes. It equals the default in the
/// daemon's request settings.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1_024;
/// The default limit on the size of a request's body, in bytes. The largest job that is accepted
/// fits.
const DEFAULT_MAX_BODY_BYTES: usize = 256 * 1_024;
/// The default timeout for receiving a request's headers or its body, in milliseconds.
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 3_000;
/// The default idle timeout of a connection, in milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

/// A queue and the host and path prefix at which callers reach it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueRoute {
    /// The host name in the requests of callers.
    pub host: String,
    /// The prefix of the request path.
    pub path_prefix: String,
    /// The timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// The settings of the queue.
    pub queue: QueueTerms,
}

/// The limits on one connection of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CallerLimits {
    /// The limit on the size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// The limit on the size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// The timeout for receiving a request's headers or its body, in milliseconds.
    pub header_timeout_ms: u64,
    /// The idle timeout of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: DEFAULT_MAX_HEADER_BYTES,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            header_timeout_ms: DEFAULT_HEADER_TIMEOUT_MS,
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
        }
    }
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// The number of the version. Numbers increase, but not always by one.
    pub version: u64,
    /// The queues.
    pub routes: Vec<QueueRoute>,
    /// The limits on the connections of callers.
    pub limits: CallerLimits,
}

impl FleetConfig {
    /// Returns the queue with the longest path prefix that matches a host and path, and the rest of the
    /// path.
    pub fn find_route<'a, 'p>(
        &'a self,
        host: &str,
        path: &'p str,
    ) -> Option<(&'a QueueRoute, &'p str)> {
        let matching = self.routes.iter().filter_map(|route| {
            let rest = path.strip_prefix(&route.path_prefix)?;
            route.host.eq_ignore_ascii_case(host).then_some((route, rest))
        });
        matching.max_by_key(|(route, _)| route.path_prefix.len())
    }

    /// Returns the configuration with its version in the terms of each queue. A box of an earlier
    /// release leaves it out of those that it sends.
    pub fn with_versioned_terms(mut self) -> Self {
        for route in &mut self.routes {
            route.queue.config_version = self.version;
        }
        self
    }

    /// Returns the settings of all queues.
    pub fn queues(&self) -> Vec<QueueTerms> {
        self.routes.iter().map(|route| route.queue.clone()).collect()
    }
}
