//! Workers that get no new work for a while.

use std::time::Duration;

use super::{super::life::LifeNo, Scheduler};

/// How long a worker that says it is not well gets no new work.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(1_000);
/// How long a worker that hangs gets no new work. Then it is tried again.
const HANG_PAUSE: Duration = Duration::from_millis(3_000);
/// After so many failed runs in a row a worker gets no new work for a while. One in 20 tasks fails
/// by its own fault, so three in a row on a sound worker are rare.
const FAILURES_TO_SET_ASIDE: u32 = 3;
/// For how long, at first; it doubles each time.
const SET_ASIDE: Duration = Duration::from_millis(2_000);
/// At most. A worker that is well again must be found soon: the platform counts a task that lasts as
/// lost when it waits for some 9 s beside room for it.
const SET_ASIDE_MAX: Duration = Duration::from_millis(4_000);
/// The most doublings that are worked out: more than [`SET_ASIDE_MAX`] allows, and few enough that
/// the product does not overflow.
const MOST_DOUBLINGS: u32 = 8;

impl Scheduler {
    /// Sets a worker aside that says it is not well.
    pub(super) fn set_aside_unhealthy(&mut self, no: LifeNo) {
        if let Some(life) = self.lives.get_mut(no) {
            life.set_aside_until = life.set_aside_until.max(Some(self.now + UNHEALTHY_PAUSE));
        }
    }

    /// Sets a worker aside whose runs stand still.
    pub(super) fn set_aside_hanging(&mut self, no: LifeNo) {
        let now = self.now;
        let Some(life) = self.lives.get_mut(no) else { return };
        let set_aside = life.set_aside_until.is_some_and(|until| until > now);
        life.set_aside_until = life.set_aside_until.max(Some(now + HANG_PAUSE));
        if !set_aside {
            self.note_belief(no, "set aside: its runs stand still");
        }
    }

    /// Counts a failed run against its worker, and gives it no new work after too many.
    ///
    /// Of a worker that is set aside already, more failures tell nothing new: they are of runs that
    /// were started before.
    pub(super) fn blame(&mut self, no: LifeNo) {
        let now = self.now;
        let Some(life) = self.lives.get_mut(no) else { return };
        life.failures += 1;
        let is_set_aside = life.set_aside_until.is_some_and(|until| until > now);
        if life.failures < FAILURES_TO_SET_ASIDE || is_set_aside {
            return;
        }
        let times = life.set_aside_times.min(MOST_DOUBLINGS);
        let pause = (SET_ASIDE * 2_u32.pow(times)).min(SET_ASIDE_MAX);
        life.set_aside_times = times + 1;
        // One more failure after the pause is enough to set it aside again.
        life.failures = FAILURES_TO_SET_ASIDE - 1;
        life.set_aside_until = Some(now + pause);
        self.note_belief(no, "set aside: its runs fail");
    }
}
