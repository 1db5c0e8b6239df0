//! Decides on which workers the owner grants leases, and for how long while the store is silent.
//!
//! A new owner must wait until the leases of its predecessor have expired on each worker that it
//! can't reach, and all inherited jobs wait for that. For a worker that falls silent, the owner
//! therefore persists that it grants no more leases there, and grants none until the opposite is
//! persisted. The next owner then waits only for leases granted before.
//!
//! Only an owner that has heard from the worker may record this: the worker then holds its fencing
//! token, so no earlier owner grants leases either.
//!
//! For all other workers, the next owner counts from its claim, which follows the last write of its
//! predecessor. Leases granted long after that write are therefore cut short.

use std::time::Duration;

use super::{
    super::instance::{InstanceNo, Leasing},
    Scheduler,
};

/// A worker that is silent for this long is presumed lost. Shorter silences are common where
/// requests get lost; a longer delay leaves more leases to wait for if the owner is lost too.
const STOP_LEASING_AFTER: Duration = Duration::from_millis(1_200);

/// How long after its last persisted write an owner grants leases of full length. Later ones end no
/// later than one granted at that time, so that a successor waits this long and one lease. In an
/// outage of the store of 5 s, the longest that is common, the leases of a small fleet still last 2 s.
pub const MAX_RENEWAL_WITHOUT_STORE: Duration = Duration::from_millis(3_000);

impl Scheduler {
    /// Returns the length of a lease granted now, or `None` if none may be granted.
    pub(super) fn grantable_lease(&self) -> Option<Duration> {
        let confirmed_ago = self.pending.confirmed_ago(self.now)?;
        let cut = confirmed_ago.saturating_sub(MAX_RENEWAL_WITHOUT_STORE);
        self.lease.checked_sub(cut).filter(|lease| !lease.is_zero())
    }

    /// Stops granting leases on a worker that has been silent for a while, and persists that.
    pub(super) fn stop_leasing_if_silent(&mut self, instance_no: InstanceNo) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let silent_too_long =
            instance.unanswered_since.is_some_and(|time| now.since(time) >= STOP_LEASING_AFTER);
        let may_record = instance.has_reported() && instance.is_persisted && !instance.contested;
        if silent_too_long && may_record && instance.leasing == Leasing::Allowed {
            instance.leasing = Leasing::Ended;
            self.pending.rewrite_instance(instance_no);
        }
    }

    /// Removes the record of a worker that has drained, so that the next owner need not wait for it.
    ///
    /// Nothing is started on a draining worker, and it refuses the orders of earlier owners since its
    /// first report to this one.
    pub(super) fn retire_if_drained(&mut self, instance_no: InstanceNo) {
        let is_confirmed = !self.unconfirmed_instances.contains(&instance_no);
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let may_retire = is_confirmed && instance.is_persisted && instance.has_drained();
        if may_retire && instance.leasing == Leasing::Allowed {
            instance.leasing = Leasing::Retired;
            instance.is_persisted = false;
            let key = instance.entry.key();
            self.pending.remove_instance(instance_no, key, true);
            self.log_worker_state(instance_no, "retired: it drained and runs nothing");
        }
    }

    /// Resumes granting leases on a worker that answered, once that is persisted.
    pub(super) fn resume_leasing(&mut self, instance_no: InstanceNo) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        if instance.leasing == Leasing::Ended {
            instance.leasing = Leasing::Resumed;
            self.pending.add_instance(instance_no, &instance.entry.key());
        }
    }

    /// Records which leasing state was sent to the store for each instance.
    pub(super) fn mark_instances_sent(&mut self, instances: &[InstanceNo]) {
        for &instance_no in instances {
            if let Some(instance) = self.instances.get_mut(instance_no) {
                instance.sent_not_leased = instance.leasing == Leasing::Ended;
            }
        }
    }

    /// Handles the confirmation that the row of an instance is persisted.
    pub(super) fn mark_instance_persisted(&mut self, instance_no: InstanceNo) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        instance.is_persisted = true;
        if !instance.sent_not_leased && instance.leasing == Leasing::Resumed {
            instance.leasing = Leasing::Allowed;
            self.schedule_poll_within(instance_no, Duration::ZERO);
            self.send_poll_if_due(instance_no);
            self.send_next_order(instance_no);
            self.placement_needed = true;
        }
    }
}
