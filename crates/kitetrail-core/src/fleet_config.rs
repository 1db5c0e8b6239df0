//! The operators' configuration of queues, as versions that are never stepped back.

use serde::{Deserialize, Serialize};

use crate::jobs::QueueTerms;

/// The longest head of a request, in bytes, until operators say otherwise: as in the settings of
/// the daemon for requests.
const MAX_HEADER_BYTES: usize = 16 * 1_024;
/// The longest body of a request, in bytes, until operators say otherwise: room for the largest job
/// that is accepted.
const MAX_BODY_BYTES: usize = 256 * 1_024;
/// How long a caller may take to send a head or a body, in milliseconds, until operators say
/// otherwise.
const HEADER_TIMEOUT_MS: u64 = 3_000;
/// How long a connection may stay unused, in milliseconds, until operators say otherwise.
const IDLE_TIMEOUT_MS: u64 = 15_000;

/// A queue and where callers reach it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueRoute {
    /// The host that callers name.
    pub host: String,
    /// How the path begins.
    pub path_prefix: String,
    /// How long a caller may wait for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// The queue's terms.
    pub queue: QueueTerms,
}

/// What one caller's connection may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CallerLimits {
    /// The longest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// The longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// How long a caller may take to send a head or a body, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a connection may stay unused, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: MAX_HEADER_BYTES,
            max_body_bytes: MAX_BODY_BYTES,
            header_timeout_ms: HEADER_TIMEOUT_MS,
            idle_timeout_ms: IDLE_TIMEOUT_MS,
        }
    }
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Its number. Numbers rise, in uneven steps.
    pub version: u64,
    /// The queues.
    pub routes: Vec<QueueRoute>,
    /// What connections may take.
    pub limits: CallerLimits,
}

impl FleetConfig {
    /// The queue that a host and path lead to, by the longest prefix, and the rest of the path.
    pub fn route<'a, 'p>(&'a self, host: &str, path: &'p str) -> Option<(&'a QueueRoute, &'p str)> {
        let matching = self.routes.iter().filter_map(|route| {
            let rest = path.strip_prefix(&route.path_prefix)?;
            route.host.eq_ignore_ascii_case(host).then_some((route, rest))
        });
        matching.max_by_key(|(route, _)| route.path_prefix.len())
    }

    /// The terms of all queues.
    pub fn queues(&self) -> Vec<QueueTerms> {
        self.routes.iter().map(|route| route.queue.clone()).collect()
    }
}
