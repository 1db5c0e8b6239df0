//! On which workers the owner gives leases, as it keeps for the next one.
//!
//! A new owner has to outwait the one before at each worker that it can't reach, and all inherited jobs wait for that. Of a worker
//! that fell silent the owner keeps that it gives no lease there any more, and gives none until the opposite is kept: there the next
//! owner waits for the leases alone that were given before.
//!
//! Only an owner that has heard the worker may say so: with its fencing token there, no earlier owner gives any either.

use std::time::Duration;

use super::{
    super::life::{Leasing, LifeNo},
    Scheduler,
};

/// A worker that is silent for so long is taken to be lost. Shorter silences are common where calls are lost; a longer wait leaves
/// more of them to be outwaited if the owner is lost as well.
const LEASES_END_AFTER: Duration = Duration::from_millis(1_200);

impl Scheduler {
    /// Gives no more leases on a worker that is silent for long, and has that kept.
    pub(super) fn end_leasing_if_silent(&mut self, no: LifeNo) {
        let now = self.now;
        let Some(life) = self.lives.get_mut(no) else { return };
        let is_long = life.silent_since.is_some_and(|at| now.since(at) >= LEASES_END_AFTER);
        let is_ours = life.known && life.recorded && !life.contested;
        if is_long && is_ours && life.leasing == Leasing::Allowed {
            life.leasing = Leasing::Ended;
            self.pending.rewrite_life(no);
        }
    }

    /// A worker answered: leases are given again once that is kept.
    pub(super) fn resume_leasing(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get_mut(no) else { return };
        if life.leasing == Leasing::Ended {
            life.leasing = Leasing::Resumed;
            self.pending.add_life(no);
        }
    }

    /// Rows of lives leave for the store.
    pub(super) fn note_lives_sent(&mut self, lives: &[LifeNo]) {
        for &no in lives {
            if let Some(life) = self.lives.get_mut(no) {
                life.sent_not_leased = life.leasing == Leasing::Ended;
            }
        }
    }

    /// The row of a life is kept.
    pub(super) fn note_life_kept(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get_mut(no) else { return };
        life.recorded = true;
        if !life.sent_not_leased && life.leasing == Leasing::Resumed {
            life.leasing = Leasing::Allowed;
            self.hold_soon(no, Duration::ZERO);
            self.hold_if_due(no);
            self.send_next_order(no);
            self.replan = true;
        }
    }
}
