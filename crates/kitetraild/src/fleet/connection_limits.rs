//! Timeouts after which silent connections are considered dead.
//!
//! All limits are derived from the promises to users: see `docs/design/connections.md`.

use std::time::Duration;

/// The response times that users are promised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponsePromises {
    /// The time after the end of a fault, such as a silent connection, until all other promises hold again.
    pub recovery: Duration,
    /// The time after a worker reported that it drains during which it may still be given work.
    pub drain: Duration,
    /// The time from writing a configuration until it is in force.
    pub config_in_force: Duration,
    /// The time from cancelling a job until its tasks are ordered to stop.
    pub cancel: Duration,
    /// The time within which the cancellation of a job is acknowledged to its caller.
    pub acknowledge: Duration,
}

/// Timeouts after which silent connections are considered dead.
///
/// The figures in the comments apply to a promised recovery within 3 s.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The timeout of a call to the store. A slow store takes 0.3 s.
    pub store_timeout: Duration,
    /// The time without a response from the store after which later calls use new connections.
    pub store_suspect_after: Duration,
    /// The time that a watch call waits for changes in the list of workers.
    pub workers_watch_wait: Duration,
    /// The time that a watch call waits for changes of the configuration.
    pub config_watch_wait: Duration,
    /// The time that such a call may take beyond its wait. Twice the response time of a slow store.
    pub watch_margin: Duration,
    /// The timeout of an order to a worker. A worker answers within 1 or 2 ms, and a box slowed five
    /// times receives the answer within 10 ms. A timeout that is too short costs a report, one that is
    /// too long delays all orders.
    pub order_timeout: Duration,
    /// The time that a poll may take beyond its wait before the worker is considered silent.
    pub poll_margin: Duration,
    /// The timeout of a ping to the owner. A false alarm costs a few reads of the store.
    pub ping_timeout: Duration,
    /// The timeout of a request to another box that does not involve the store. It includes the time
    /// to open a connection.
    pub peer_timeout: Duration,
    /// The idle time after which a connection to another box is replaced before its next use. Longer
    /// than the interval between pings to the owner.
    pub peer_max_idle: Duration,
    /// The interval of keepalive checks on connections from other boxes. They only free file handles.
    pub peer_keepalive_interval: Duration,
}

impl ConnectionLimits {
    /// Derives the limits from the promises.
    pub fn from_promises(promises: &ResponsePromises) -> Self {
        // A watch must receive a change within the promised recovery time, even after one call on a
        // silent connection and another one on a new connection. A cancellation must be acknowledged
        // in time even after a ping and a call on a new connection.
        let recovery = promises.recovery;
        let config = recovery.min(promises.config_in_force.saturating_mul(3) / 2);
        let answer = recovery.min(promises.cancel).min(promises.acknowledge);
        Self {
            store_timeout: recovery / 3,
            store_suspect_after: recovery / 8,
            workers_watch_wait: recovery.min(promises.drain.saturating_mul(3) / 2) / 4,
            config_watch_wait: config / 2,
            watch_margin: recovery / 5,
            order_timeout: answer / 10,
            poll_margin: answer / 10,
            ping_timeout: answer / 12,
            peer_timeout: answer / 6,
            peer_max_idle: recovery / 4,
            peer_keepalive_interval: recovery.saturating_mul(4),
        }
    }
}

#[cfg(test)]
mod tests;
