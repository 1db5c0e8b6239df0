//! Tracks workers that restart under the same id: which incarnation is over, and what is known of
//! each.
//!
//! A restarted worker has lost all earlier state and restarts its end numbers and its clock. Each
//! start is therefore a separate incarnation here, with its own numbers, runs and leases;
//! timestamps and numbers of one incarnation never apply to another.
//!
//! Neither a list entry nor a start time shows which of two incarnations is over: entries arrive
//! late, and the wall clock may have been set back. An answer does: an incarnation that answers a
//! request sent after the other one was last heard from is the later one. Until then the
//! incarnations are contested. They get no orders and no acknowledgements of ends, and both are
//! polled under a fencing token above all tokens sent before, so that whichever is alive refuses
//! orders in flight.

use std::time::Duration;

use super::{
    super::{
        event::Action,
        life::{LifeEnd, LifeNo, Listing},
        names::{Incarnation, LifeId},
        note::Note,
        report::Report,
        run::Phase,
        steps::Placement,
        worker_entry::WorkerEntry,
    },
    Scheduler,
};
use crate::Time;

/// The source of the answer to a hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReportSource {
    /// The incarnation that was asked.
    ThisLife,
    /// Another incarnation of the same worker.
    Another(Incarnation),
    /// An earlier incarnation; the one that was asked has answered since the request was sent.
    Earlier,
    /// Unknown: the answer does not identify its incarnation, and more than one is known.
    Unknown,
}

/// The incarnation that executed an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Executor {
    /// The incarnation that the order was sent to.
    ThisLife,
    /// Another incarnation of the same worker.
    Another(Incarnation),
    /// Unknown: the answer does not identify its incarnation, and either its clock differs or more
    /// than one incarnation is known.
    Unknown,
}

impl Scheduler {
    /// Returns the known incarnation that a list entry belongs to.
    ///
    /// An entry that does not identify its incarnation is attributed to the one that was listed
    /// last.
    pub(super) fn find_life_for_entry(&self, entry: &WorkerEntry) -> Option<LifeNo> {
        let lives = self.lives.of_worker(&entry.id);
        match entry.incarnation {
            Some(_) => self.find_life(&entry.id, entry.incarnation),
            None => lives.last().copied(),
        }
    }

    fn find_life(&self, id: &LifeId, incarnation: Option<Incarnation>) -> Option<LifeNo> {
        let matches_incarnation = |life_no: LifeNo| {
            self.lives.get(life_no).is_some_and(|life| life.entry.incarnation == incarnation)
        };
        self.lives.of_worker(id).iter().copied().find(|&life_no| matches_incarnation(life_no))
    }

    /// Returns the source of the answer to a hold that was sent to an incarnation at a given time.
    pub(super) fn report_source(
        &self,
        life_no: LifeNo,
        sent_at: Time,
        report: &Report,
    ) -> ReportSource {
        let Some(life) = self.lives.get(life_no) else { return ReportSource::Unknown };
        let is_last = self.lives.of_worker(life.id()).last() == Some(&life_no);
        let answered_since = life.heard_at.is_some_and(|heard_at| heard_at >= sent_at);
        match report.incarnation {
            None if life.contested && !is_last => ReportSource::Unknown,
            None => ReportSource::ThisLife,
            reported if reported == life.entry.incarnation => ReportSource::ThisLife,
            Some(_) if answered_since => ReportSource::Earlier,
            Some(incarnation) => ReportSource::Another(incarnation),
        }
    }

    /// Returns which incarnation executed an order, and records the answer if it is the one that
    /// the order was sent to.
    ///
    /// An answer that does not identify its incarnation is matched by its clock, which restarts
    /// with each one.
    pub(super) fn executor_of(
        &mut self,
        life_no: LifeNo,
        clock_ms: u64,
        incarnation: Option<Incarnation>,
        sent_at: Time,
    ) -> Executor {
        let now = self.now;
        let Some(life) = self.lives.get_mut(life_no) else { return Executor::Unknown };
        let agrees = !life.contested && life.clock_agrees(clock_ms, sent_at, now);
        match incarnation {
            Some(other) if Some(other) != life.entry.incarnation => {
                return Executor::Another(other);
            }
            None if !agrees => {
                // The hold in flight may acknowledge ends to the later incarnation that were never
                // received. A hold with a higher token is sent now, to arrive first if possible.
                life.hold_sent = false;
                self.log_worker_state(life_no, "asked anew: its clock is another one");
                return Executor::Unknown;
            }
            Some(_) | None => {}
        }
        life.note_heard(clock_ms, sent_at, now);
        self.resume_leasing(life_no);
        Executor::ThisLife
    }

    /// Handles an answer from a different incarnation than the one that was asked.
    pub(super) fn handle_other_incarnation(
        &mut self,
        life_no: LifeNo,
        incarnation: Incarnation,
        sent_at: Time,
    ) {
        let Some(life) = self.lives.get(life_no) else { return };
        // Only its address is known. It may offer other resources than the previous incarnation,
        // and is not leaving just because that one was. It gets no work until its own entry is
        // read.
        let entry = WorkerEntry {
            incarnation: Some(incarnation),
            draining: false,
            remaining_ms: None,
            ..(*life.entry).clone()
        };
        let precedes = life.precedes(sent_at);
        match self.find_life_for_entry(&entry) {
            Some(other) if precedes && self.lives.get(other).is_some_and(|other| other.known) => {
                self.log_worker_restart(life_no, other);
                self.end_life(life_no, LifeEnd::StartedAgain);
            }
            Some(other) => self.send_hold_now(other),
            None => {
                let other = self.insert_life(entry, self.now);
                if let Some(life) = self.lives.get_mut(other) {
                    life.listing = Listing::Unread;
                }
                self.pending.add_life(other);
                self.mark_contested(other);
            }
        }
    }

    /// Marks the incarnations of a worker as contested if a new one joins others. Answers must show
    /// which of them are over.
    pub(super) fn mark_contested(&mut self, life_no: LifeNo) {
        let Some(life) = self.lives.get(life_no) else { return };
        let lives = self.lives.of_worker(&life.id().clone()).to_vec();
        if lives.len() < 2 {
            return;
        }
        self.raise_shared_token(life_no);
        // An order or hold with a lease time of the old clock may have reached the new incarnation.
        // Such a lease lasts at most as long as the longest lease that workers grant.
        let leased_until = self.now + self.longest_lease_expiry_delay();
        if let Some(life) = self.lives.get_mut(life_no) {
            life.lapses_at = life.lapses_at.max(leased_until);
        }
        for life in lives {
            if let Some(life) = self.lives.get_mut(life) {
                life.contested = true;
            }
            self.log_worker_state(life, "contested: another incarnation with its id was reported");
            self.send_hold_now(life);
        }
    }

    /// Sends a hold to a worker at once, unless one is in flight or the worker is silent.
    fn send_hold_now(&mut self, life_no: LifeNo) {
        if self.lives.get(life_no).is_some_and(|life| life.silent == 0) {
            self.schedule_hold_within(life_no, Duration::ZERO);
            self.send_hold_if_due(life_no);
        }
    }

    /// Ends the contested state of a worker once a single incarnation is left.
    pub(super) fn resolve_contest(&mut self, id: &LifeId) {
        let [life_no] = *self.lives.of_worker(id) else { return };
        let Some(life) = self.lives.get_mut(life_no).filter(|life| life.contested) else { return };
        life.contested = false;
        self.placement_needed = true;
        self.send_next_order(life_no);
    }

    /// Raises the fencing token of all incarnations of a worker above every token sent there.
    /// Whichever is alive refuses everything sent before.
    pub(super) fn raise_shared_token(&mut self, life_no: LifeNo) {
        let Some(life) = self.lives.get(life_no) else { return };
        let lives = self.lives.of_worker(&life.id().clone()).to_vec();
        let tokens =
            lives.iter().filter_map(|&life_no| self.lives.get(life_no)).map(|life| life.token);
        let Some(highest) = tokens.max() else { return };
        for life_no in lives {
            if let Some(life) = self.lives.get_mut(life_no) {
                life.token = highest + 1;
            }
        }
    }

    /// Transfers runs that were ordered from one incarnation and are reported by its successor,
    /// which received the order. All other runs were lost with the earlier incarnation.
    pub(super) fn transfer_runs(&mut self, before: LifeNo, after: LifeNo, report: &Report) {
        let now = self.now;
        let running = report.running.iter().map(|reported| (reported.task, reported.run));
        let ended = report.ended.iter().map(|reported| (reported.task, reported.run));
        for (task, run) in running.chain(ended) {
            let life = self.lives.get_mut(before);
            let Some(mut run_state) = life.and_then(|life| life.remove_run(task, run)) else {
                continue;
            };
            run_state.phase = Phase::Running(now);
            if let Some(life) = self.lives.get_mut(after) {
                life.insert_run(task, run_state);
            }
            let placed = self.task_mut(task).into_iter().flat_map(|task| &mut task.placed);
            for placement in
                placed.filter(|placed_run| **placed_run == Placement { life: before, run })
            {
                placement.life = after;
            }
        }
        if let Some(life) = self.lives.get_mut(after) {
            life.fell_of_late = true;
        }
    }

    /// Logs that a worker has restarted under the same id.
    pub(super) fn log_worker_restart(&mut self, before: LifeNo, after: LifeNo) {
        let Some(life) = self.lives.get(before) else { return };
        if !life.known && !self.unheard.contains(&before) {
            // The incarnation came from a late entry.
            return;
        }
        let now = self.lives.get(after).and_then(|life| life.entry.incarnation);
        let (worker, ends_seen) = (life.id().clone(), life.ends_seen);
        let (before, runs) = (life.entry.incarnation, life.runs().len() as u32);
        let note = Note::WorkerRestarted { worker, before, now, ends_seen, runs };
        self.out.push(Action::Note(note));
    }
}
