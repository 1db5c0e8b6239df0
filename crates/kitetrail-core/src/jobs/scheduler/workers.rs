//! The list of workers and their lives.

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

/// What is done so far is not moved off a worker that is about to leave, in percent: it has two
/// seconds at least.
const STAYS_ABOVE_PERCENT: u32 = 70;
/// How long after the end of a lease an owner that is late itself still waits for an answer that it may not have
/// read. What waits longer is worth more elsewhere.
const LATE_ANSWERS_WITHIN: Duration = Duration::from_millis(2_500);
/// How often room is looked for elsewhere for what runs on a worker that is about to leave. It has two
/// seconds at least, and each look scores every worker.
const EVACUATE_EVERY: Duration = Duration::from_millis(250);

impl Scheduler {
    /// Takes note of changes in the list of workers.
    pub(super) fn discover(&mut self, changes: Vec<Discovery>) {
        for change in changes {
            match change {
                Discovery::Listed(entry) if self.serves_nobody(&entry) => {
                    self.note_unused_service(*entry)
                }
                Discovery::Listed(entry) => self.listed(*entry),
                Discovery::Unusable(id) => self.note_unusable(&id),
                Discovery::Gone { id, silent_for } => {
                    self.of_unused_services.remove(&id);
                    self.unlisted(&id, silent_for);
                }
                Discovery::Whole => self.unlist_untold(),
            }
        }
        self.replan = true;
    }

    /// A life answered a hold sent at a moment: lives at its place from before that are over.
    pub(super) fn end_earlier_lives(&mut self, no: LifeNo, sent_at: Time, report: &Report) {
        let Some(life) = self.lives.get(no) else { return };
        let entry = Arc::clone(&life.entry);
        let earlier = self
            .lives
            .iter()
            .filter(|(_, other)| other.shares_place(&entry) && other.precedes(sent_at))
            .map(|(no, other)| (no, other.id() == &entry.id));
        for (earlier, same_id) in earlier.collect::<Vec<_>>() {
            if same_id {
                self.take_over_runs(earlier, no, report);
                self.note_restarted(earlier, no);
            }
            let end = if same_id { LifeEnd::StartedAgain } else { LifeEnd::LaterAnswers };
            self.end_life(earlier, end);
        }
    }

    /// Everything that ran in this life is over for good.
    ///
    /// Of a worker that crashed no end is reported, so what crashed it is worked out here: a run that is lost with its
    /// worker may be what its worker was lost by.
    pub(super) fn end_life(&mut self, no: LifeNo, end: LifeEnd) {
        self.note_belief(no, end.why());
        let suspects = self.crash_suspects(no, end);
        self.give_up_runs(no, end.why());
        let Some(life) = self.lives.remove(no) else { return };
        self.inherited_crashed |= self.unheard.remove(&no);
        self.note_fallen(&life);
        self.note_crash(&life.entry.key(), suspects);
        self.pending.end_life(no, life.entry.key(), life.recorded);
        self.settle_contest(life.id());
        self.replan = true;
    }

    /// What time alone changes in a life: leases that ran out, holds that are due.
    pub(super) fn check_life(&mut self, no: LifeNo) {
        self.end_leasing_if_silent(no);
        let is_over = self.silent_lease_is_over(no);
        let Some(life) = self.lives.get_mut(no) else { return };
        let outwaited = self.now.since(life.lapses_at) >= LATE_ANSWERS_WITHIN;
        match is_over {
            true if life.is_missing() => {
                return self.end_life(no, LifeEnd::Gone);
            }
            // What its runs came to may be told in answers that are here, unread: a late owner asks again.
            true if life.silent_for_sure || outwaited => {
                self.inherited_crashed |= self.unheard.remove(&no);
                self.give_up_silent(no);
            }
            _ => {}
        }
        self.hold_if_due(no);
        self.evacuate(no);
    }

    /// Moves what would be lost with a worker that is about to leave, where there is room for it.
    fn evacuate(&mut self, no: LifeNo) {
        let now = self.now;
        let Some(life) = self.lives.get_mut(no).filter(|life| life.is_leaving(now)) else {
            return;
        };
        if life.evacuated_at.is_some_and(|at| now.since(at) < EVACUATE_EVERY) {
            return;
        }
        life.evacuated_at = Some(now);
        let leaves = |run: &RunThere| {
            let saved = run.keeps_progress && run.percent < STAYS_ABOVE_PERCENT;
            !run.stopping && run.is_running() && (run.lasts || saved)
        };
        let runs = life.runs().iter().filter(|(_, run)| leaves(run));
        for (task, run) in runs.map(|(&task, run)| (task, run.run)).collect::<Vec<_>>() {
            let Some(spec) = self.step_spec(task).cloned() else { continue };
            if self.may_leave(no, task) && self.choose(task, &spec, &[]).is_some() {
                self.move_run(no, task, run, "moved: its worker is about to leave");
            }
        }
    }

    pub(super) fn listed(&mut self, entry: WorkerEntry) {
        self.of_unused_services.remove(&entry.id);
        match self.life_of_entry(&entry) {
            Some(no) => self.listed_known(no, entry),
            None => self.listed_new(entry),
        }
    }

    /// A life that is known stands in the list, perhaps with another entry.
    ///
    /// A life that leaves does not come back: an entry that says otherwise was written before and came
    /// late.
    fn listed_known(&mut self, no: LifeNo, mut entry: WorkerEntry) {
        let Some(life) = self.lives.get_mut(no) else { return };
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
        self.lives.note_listed(no);
        self.note_zone(no);
        if shrank {
            self.take_back_unfit(no);
        }
        if let Some(belief) = belief {
            self.note_belief(no, belief);
        }
    }

    /// A life that is new stands in the list.
    ///
    /// That proves nothing of other lives at its place: entries of a life that is over may come after
    /// those of the one that followed it. Which of them lives, answers to holds tell.
    fn listed_new(&mut self, entry: WorkerEntry) {
        // A worker that is new to the list has been leased by nobody else, or its record says so.
        let fell_of_late = self.has_fallen(&entry.address);
        let no = self.insert_life(entry, self.now);
        if let Some(life) = self.lives.get_mut(no) {
            life.fell_of_late = fell_of_late;
        }
        self.pending.add_life(no);
        self.note_belief(no, "listed");
        self.contest(no);
        self.hold_if_due(no);
    }

    pub(super) fn insert_life(&mut self, entry: WorkerEntry, lapses_at: Time) -> LifeNo {
        let before = self.token_of_fallen(&entry.id);
        let token = before.map_or(self.first_token(), |token| token + 1);
        let no = self.lives.push(Life::new(entry, token, lapses_at, self.now));
        self.note_zone(no);
        no
    }
}
