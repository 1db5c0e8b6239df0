//! Decides when the lease of a silent worker has expired for all owners, not only by this owner's
//! grants.
//!
//! An owner that has been replaced without noticing would drop runs that its successor renewed or
//! whose end its successor received, and start them again. The expiry of a lease therefore counts
//! only after the store has confirmed a batch sent after it. This proves that no other owner
//! existed before the lease expired, so a successor had nothing left to renew. While the store is
//! unavailable such runs wait; all other work continues.

use std::mem;

use super::{super::instance::InstanceNo, Scheduler};

impl Scheduler {
    /// Returns whether a worker is silent and its lease has expired, whichever owner renewed it.
    pub(super) fn silent_lease_has_expired(&mut self, instance_no: InstanceNo) -> bool {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(instance_no) else { return false };
        if instance.unanswered_polls == 0 || instance.leases_expire_by > now {
            return false;
        }
        let expired_at = instance.leases_expire_by;
        if self.pending.is_confirmed_since(expired_at) {
            instance.expiry_unconfirmed = false;
            return true;
        }
        let newly_unconfirmed = !mem::replace(&mut instance.expiry_unconfirmed, true);
        self.pending.want_confirmation_since(expired_at);
        if newly_unconfirmed {
            self.log_worker_state(
                instance_no,
                "silent, lease expired, ownership not confirmed by the store",
            );
        }
        false
    }
}
