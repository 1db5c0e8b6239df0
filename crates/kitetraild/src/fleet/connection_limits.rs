//! How long connections may be silent before they are taken for dead.
//!
//! All limits follow from what the users are promised: see `docs/design/connections.md`.

use std::time::Duration;

/// The times within which the users are promised something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promises {
    /// So long after trouble ended, silent connections included, all other promises hold again.
    pub contact: Duration,
    /// So long after a worker said that it leaves it may be given work.
    pub drain: Duration,
    /// So long after operators wrote a configuration it is in force.
    pub config_in_force: Duration,
    /// So long after a job was cancelled its tasks are told to stop.
    pub cancel: Duration,
    /// So soon callers are told that a job is cancelled.
    pub acknowledge: Duration,
}

/// How long connections may be silent before they are taken for dead.
///
/// The figures in the comments hold where contact is promised within 3 s.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// How long a call to the store may take. A slow store takes 0.3 s.
    pub store_timeout: Duration,
    /// How long the store may be silent before later calls go on new connections.
    pub store_suspect_after: Duration,
    /// How long a call waits for changes in the list of workers.
    pub workers_wait: Duration,
    /// How long a call waits for changes of the configuration.
    pub config_wait: Duration,
    /// How much longer than it waits such a call may take. Twice what a slow store takes.
    pub watch_slack: Duration,
    /// How long a worker may take to answer an order. It answers within a millisecond or two, a box
    /// that is slowed five times hears it in ten. A wrong doubt costs a report; a late one holds all
    /// orders up.
    pub order_timeout: Duration,
    /// How much longer than it may wait a worker may take to answer a hold before it counts as silent.
    pub hold_slack: Duration,
    /// How long the owner may take to say how it stands. A wrong doubt costs a few reads of the store.
    pub ping_timeout: Duration,
    /// How long another box may take over a question that asks no store. The connection may have to
    /// be made first.
    pub peer_timeout: Duration,
    /// A connection to another box that brought nothing for so long is made anew before it is used:
    /// longer than the owner is left without a ping.
    pub peer_trusted_for: Duration,
    /// How long other boxes are left connected that say nothing. It frees file handles, no more.
    pub peer_idle_check: Duration,
}

impl ConnectionLimits {
    /// The limits that keep these promises.
    pub fn of(promises: &Promises) -> Self {
        // What hears a change must hear it before contact is promised, after a silent call and one
        // more on a new connection; callers must be told of their cancelled job, after a ping and a
        // call on a new connection.
        let contact = promises.contact;
        let config = contact.min(promises.config_in_force.saturating_mul(3) / 2);
        let answer = contact.min(promises.cancel).min(promises.acknowledge);
        Self {
            store_timeout: contact / 3,
            store_suspect_after: contact / 8,
            workers_wait: contact.min(promises.drain.saturating_mul(3) / 2) / 4,
            config_wait: config / 2,
            watch_slack: contact / 5,
            order_timeout: answer / 10,
            hold_slack: answer / 10,
            ping_timeout: answer / 12,
            peer_timeout: answer / 6,
            peer_trusted_for: contact / 4,
            peer_idle_check: contact.saturating_mul(4),
        }
    }
}

#[cfg(test)]
mod tests;
