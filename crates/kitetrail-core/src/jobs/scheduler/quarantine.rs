//! Quarantines workers, so that they get no new work for a while.

use std::time::Duration;

use super::{super::instance::InstanceNo, Scheduler};

/// How long a worker that reports itself unhealthy gets no new work.
const UNHEALTHY_DURATION: Duration = Duration::from_millis(1_000);
/// How long a worker whose runs make no progress gets no new work before it is tried again.
const STALLED_DURATION: Duration = Duration::from_millis(3_000);
/// The number of consecutive failed runs after which a worker is quarantined. One in 20 tasks fails
/// through its own fault, so three in a row are rare on a healthy worker.
const CONSECUTIVE_FAILURE_LIMIT: u32 = 3;
/// The initial duration; it doubles each time.
const QUARANTINE_DURATION: Duration = Duration::from_millis(2_000);
/// The maximum duration. A recovered worker must be found soon: the platform counts a long-running
/// task as lost if it waits about 9 s while there is room for it.
const MAX_QUARANTINE_DURATION: Duration = Duration::from_millis(4_000);
/// The most doublings to compute: more than [`MAX_QUARANTINE_DURATION`] allows, and few enough that
/// the product does not overflow.
const MAX_DOUBLINGS: u32 = 8;

impl Scheduler {
    /// Quarantines a worker that reports itself unhealthy.
    pub(super) fn quarantine_unhealthy(&mut self, instance_no: InstanceNo) {
        if let Some(instance) = self.instances.get_mut(instance_no) {
            instance.quarantined_until =
                instance.quarantined_until.max(Some(self.now + UNHEALTHY_DURATION));
        }
    }

    /// Quarantines a worker whose runs make no progress.
    pub(super) fn quarantine_stalled(&mut self, instance_no: InstanceNo) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let already_quarantined = instance.quarantined_until.is_some_and(|until| until > now);
        instance.quarantined_until = instance.quarantined_until.max(Some(now + STALLED_DURATION));
        if !already_quarantined {
            self.log_worker_state(instance_no, "quarantined: its runs make no progress");
        }
    }

    /// Counts a failed run against its worker, and quarantines the worker after too many in a
    /// row.
    ///
    /// Further failures don't extend the time for which a worker is quarantined, since they belong
    /// to runs that were started before.
    pub(super) fn record_run_failure(&mut self, instance_no: InstanceNo) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        instance.failures += 1;
        let is_quarantined = instance.quarantined_until.is_some_and(|until| until > now);
        if instance.failures < CONSECUTIVE_FAILURE_LIMIT || is_quarantined {
            return;
        }
        let doublings = instance.quarantine_count.min(MAX_DOUBLINGS);
        let pause = (QUARANTINE_DURATION * 2_u32.pow(doublings)).min(MAX_QUARANTINE_DURATION);
        instance.quarantine_count = doublings + 1;
        // After the pause, a single failure quarantines the worker again.
        instance.failures = CONSECUTIVE_FAILURE_LIMIT - 1;
        instance.quarantined_until = Some(now + pause);
        self.log_worker_state(instance_no, "quarantined: its runs fail");
    }
}
