//! Chooses the length of leases by the size of the fleet.
//!
//! A lease is renewed with each poll and must outlast the loss of its owner: at worst, the owner
//! is lost just before the next renewal, and the worker is the last one that the new owner reaches.
//! A new owner in turn has to wait for the longest lease that an earlier one may have granted, so
//! that length is stored before it is used.

use std::time::Duration;

use super::{Scheduler, polls};

/// The shortest length. It is short, because the tasks of a silent worker wait until its lease has
/// expired.
pub(super) const MIN_LEASE: Duration = Duration::from_millis(4_000);
/// The time from the loss of an owner until the next one has read the stored state.
const REPLACEMENT_TIME: Duration = Duration::from_millis(2_000);
/// The time in which a new owner polls one worker over a new connection and renews its leases.
const TAKEOVER_TIME_PER_WORKER: Duration = Duration::from_micros(250);
/// The step of the length. It keeps the length constant while the fleet changes slightly.
const STEP: Duration = Duration::from_millis(500);

/// Returns the length of leases in a fleet with this many workers.
fn lease_for(workers: usize) -> Duration {
    let takeover = REPLACEMENT_TIME + TAKEOVER_TIME_PER_WORKER * workers as u32;
    let needed = takeover + polls::longest_cycle(workers);
    STEP * needed.as_micros().div_ceil(STEP.as_micros()) as u32
}

impl Scheduler {
    /// Adapts the length of leases to the size of the fleet. A length that exceeds all earlier ones
    /// is used once it is stored.
    pub(super) fn update_lease(&mut self) {
        let limit = self.settings.max_lease;
        let lease = lease_for(self.instances.len()).max(MIN_LEASE).min(limit);
        if lease > self.longest_lease {
            self.pending.store_longest_lease(lease);
        }
        self.lease = lease.min(self.longest_lease);
    }

    /// Handles the confirmation that leases of this length may be granted.
    pub(super) fn record_longest_lease_persisted(&mut self, lease: Duration) {
        self.longest_lease = self.longest_lease.max(lease);
    }
}
