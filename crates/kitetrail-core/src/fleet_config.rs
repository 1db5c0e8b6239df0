//! The operators' configuration of queues, as versions that are never stepped back.

use serde::{Deserialize, Serialize};

use crate::jobs::QueueTerms;

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
    /// What holds until operators say otherwise: room for the largest job we accept.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1_024,
            max_body_bytes: 256 * 1_024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
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
