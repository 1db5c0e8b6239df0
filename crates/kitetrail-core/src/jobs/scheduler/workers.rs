//! Maintains the list of workers and their incarnations.

use std::{sync::Arc, time::Duration};

use super::{
    super::{
        event::Discovery,
        life::{Life, LifeEnd, LifeNo, Listing},
        report::Report,
        run::RunThere,
        worker_entry::WorkerEntry,
    },
    Scheduler,
};
use crate::Time;

/// A run with at least this much progress, in percent, stays on a worker that is about to leave. The
/// worker remains for at least two seconds.
const MAX_PERCENT_TO_MOVE: u32 = 70;
/// How long after a lease has expired a lagging owner still waits for answers that it may not have
/// read. Work that waits longer is better restarted elsewhere.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(2_500);
/// The interval at which other placements are sought for the runs of a worker that is about to
/// leave. It remains for at least two seconds, and each search scores every worker.
const EVACUATION_INTERVAL: Duration = Duration::from_millis(250);

impl Scheduler {
    /// Handles changes in the list of workers.
    pub(super) fn handle_discovery(&mut self, changes: Vec<Discovery>) {
        for change in changes {
            match change {
                Discovery::Listed(entry) if self.has_unused_service(&entry) => {
                    self.handle_unused_service(*entry)
                }
                Discovery::Listed(entry) => self.handle_listed_entry(*entry),
                Discovery::Unusable(id) => self.handle_unusable_entry(&id),
                Discovery::Gone { id, silent_for } => {
                    self.unused_service_entries.remove(&id);
                    self.handle_unlisted(&id, silent_for);
                }
                Discovery::Whole => self.mark_unread_unlisted(),
            }
        }
        self.placement_needed = true;
    }

    /// Ends earlier incarnations at the place of one that answered a hold sent at a given time.
    pub(super) fn end_earlier_lives(&mut self, life_no: LifeNo, sent_at: Time, report: &Report) {
        let Some(life) = self.lives.get(life_no) else { return };
        let entry = Arc::clone(&life.entry);
        let earlier = self
            .lives
            .iter()
            .filter(|(_, other)| other.shares_place(&entry) && other.precedes(sent_at))
            .map(|(life_no, other)| (life_no, other.id() == &entry.id));
        for (earlier, same_id) in earlier.collect::<Vec<_>>() {
            if same_id {
                self.transfer_runs(earlier, life_no, report);
                self.log_worker_restart(earlier, life_no);
            }
            let end = if same_id { LifeEnd::StartedAgain } else { LifeEnd::LaterAnswers };
            self.end_life(earlier, end);
        }
    }

    /// Ends a worker incarnation and drops all of its runs for good.
    ///
    /// A crashed worker reports no ends, so the cause of the crash is derived here: a run lost with
    /// its worker may have caused the loss.
    pub(super) fn end_life(&mut self, life_no: LifeNo, end: LifeEnd) {
        self.log_worker_state(life_no, end.why());
        let suspects = self.crash_suspects(life_no, end);
        self.drop_all_runs(life_no, end.why());
        let Some(life) = self.lives.remove(life_no) else { return };
        self.inherited_crashed |= self.unheard.remove(&life_no);
        self.record_lost_worker(&life);
        self.record_crash(&life.entry.key(), suspects);
        self.pending.end_life(life_no, life.entry.key(), life.recorded);
        self.resolve_contest(life.id());
        self.placement_needed = true;
    }

    /// Applies time-based changes to an incarnation: expired leases and due holds.
    pub(super) fn check_life(&mut self, life_no: LifeNo) {
        self.stop_leasing_if_silent(life_no);
        let lease_has_expired = self.silent_lease_has_expired(life_no);
        let Some(life) = self.lives.get_mut(life_no) else { return };
        let grace_is_over = self.now.since(life.lapses_at) >= LATE_ANSWER_GRACE;
        match lease_has_expired {
            true if life.is_missing() => {
                return self.end_life(life_no, LifeEnd::Gone);
            }
            // The ends of its runs may be in answers that were received but not read, so a lagging
            // owner polls again.
            true if life.silent_for_sure || grace_is_over => {
                self.inherited_crashed |= self.unheard.remove(&life_no);
                self.drop_runs_of_silent_worker(life_no);
            }
            _ => {}
        }
        self.send_hold_if_due(life_no);
        self.evacuate_worker(life_no);
    }

    /// Moves the runs that would be lost with a leaving worker, as capacity elsewhere allows.
    fn evacuate_worker(&mut self, life_no: LifeNo) {
        let now = self.now;
        let Some(life) = self.lives.get_mut(life_no).filter(|life| life.is_leaving(now)) else {
            return;
        };
        if life.evacuated_at.is_some_and(|time| now.since(time) < EVACUATION_INTERVAL) {
            return;
        }
        life.evacuated_at = Some(now);
        let must_move = |run: &RunThere| {
            let saved = run.keeps_progress && run.percent < MAX_PERCENT_TO_MOVE;
            !run.stopping && run.is_running() && (run.lasts || saved)
        };
        let runs = life.runs().iter().filter(|(_, run)| must_move(run));
        for (task, run) in runs.map(|(&task, run)| (task, run.run)).collect::<Vec<_>>() {
            let Some(spec) = self.step_spec(task).cloned() else { continue };
            if self.may_move_run(life_no, task) && self.choose(task, &spec, &[]).is_some() {
                self.move_run(life_no, task, run, "moved: its worker is leaving");
            }
        }
    }

    pub(super) fn handle_listed_entry(&mut self, entry: WorkerEntry) {
        self.unused_service_entries.remove(&entry.id);
        match self.find_life_for_entry(&entry) {
            Some(life_no) => self.update_listed_life(life_no, entry),
            None => self.add_listed_life(entry),
        }
    }

    /// Updates a known incarnation from its list entry, which may have changed.
    ///
    /// A draining incarnation never returns to service: an entry that says otherwise was written
    /// earlier and arrived late.
    fn update_listed_life(&mut self, life_no: LifeNo, mut entry: WorkerEntry) {
        let Some(life) = self.lives.get_mut(life_no) else { return };
        entry.draining |= life.entry.draining;
        entry.incarnation = life.entry.incarnation;
        let was_listed = life.listing == Listing::Listed;
        let belief = match (entry.draining && !life.entry.draining, was_listed) {
            (true, _) => Some("draining"),
            (false, false) => Some("listed again"),
            (false, true) => None,
        };
        let shrank = !life.entry.capacity.fits_in(&entry.capacity);
        life.listing = Listing::Listed;
        life.entry = Arc::new(entry);
        life.room = None;
        self.lives.note_listed(life_no);
        self.update_zone_status(life_no);
        if shrank {
            self.take_back_unfit(life_no);
        }
        if let Some(belief) = belief {
            self.log_worker_state(life_no, belief);
        }
    }

    /// Adds a new incarnation from its list entry.
    ///
    /// The entry does not prove that other incarnations at its place are over: entries of an ended
    /// incarnation may arrive after those of its successor. Answers to holds show which of them are
    /// alive.
    fn add_listed_life(&mut self, entry: WorkerEntry) {
        // No other owner has leased on a worker that is new to the list, or the worker's record
        // would say so.
        let fell_of_late = self.has_lost_worker_at(&entry.address);
        let life_no = self.insert_life(entry, self.now);
        if let Some(life) = self.lives.get_mut(life_no) {
            life.fell_of_late = fell_of_late;
        }
        self.pending.add_life(life_no);
        self.log_worker_state(life_no, "listed");
        self.mark_contested(life_no);
        self.send_hold_if_due(life_no);
    }

    pub(super) fn insert_life(&mut self, entry: WorkerEntry, lapses_at: Time) -> LifeNo {
        let lost_token = self.lost_worker_token(&entry.id);
        let token = lost_token.map_or(self.initial_token(), |token| token + 1);
        let life_no = self.lives.push(Life::new(entry, token, lapses_at, self.now));
        self.update_zone_status(life_no);
        life_no
    }
}
