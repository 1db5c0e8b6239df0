//! When the lease of a silent worker is over for all owners, not by the grants of this one alone.
//!
//! An owner that was succeeded and does not know would give up runs that its successor renewed or heard the end of, and start them
//! again. So the end of a lease counts once the store has confirmed a batch that left after it: then nobody else owned the
//! fleet until the lease was over, and there was nothing left that a successor could renew. While the store is
//! away such runs wait, and all other work goes on.

use std::mem;

use super::{super::life::LifeNo, Scheduler};

impl Scheduler {
    /// Whether a worker is silent and its lease is over, whoever renewed it.
    pub(super) fn silent_lease_is_over(&mut self, no: LifeNo) -> bool {
        let now = self.now;
        let Some(life) = self.lives.get_mut(no) else { return false };
        if life.silent == 0 || life.lapses_at > now {
            return false;
        }
        let lapsed_at = life.lapses_at;
        if self.pending.is_confirmed_since(lapsed_at) {
            life.lapse_unconfirmed = false;
            return true;
        }
        let is_news = !mem::replace(&mut life.lapse_unconfirmed, true);
        self.pending.want_confirmation_since(lapsed_at);
        if is_news {
            self.note_belief(no, "silent past its lease, unless the store has another owner");
        }
        false
    }
}
