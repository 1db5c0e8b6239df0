//! Workers that start again under their id: which of their lives is over, and what is known of it.
//!
//! A worker that starts again holds nothing of before and counts its ends and its clock from anew. So each of its starts is a life of
//! its own here, with its own numbers, runs and leases; what is dated by one start never counts for another.
//!
//! Neither an entry nor the time of a start tells which of two lives is over: entries come late, and the time of day may
//! have been put back. An answer does: a life that answers a question which left after the other was heard last came
//! after it. Until then the lives contest each other. Nothing is ordered, no hold tells that ends are kept, and both are asked
//! under a token above all that were sent before, so that orders on their way are refused by whichever lives.

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

/// Whose report an answer to a hold is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ToldBy {
    /// That of the life that was asked.
    ThisLife,
    /// Another start of the same worker answered.
    Another(Incarnation),
    /// An earlier start answered, and the life that was asked was heard since the question left.
    Earlier,
    /// It does not tell, and more than one life is known.
    Unknown,
}

/// Who has done an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DoneBy {
    /// The life that it was sent to.
    ThisLife,
    /// Another start of the same worker.
    Another(Incarnation),
    /// The answer does not tell, and its clock is another one, or more than one life is known.
    Unknown,
}

impl Scheduler {
    /// The life that an entry is of, if it is known.
    ///
    /// An entry that does not tell its start is taken for one of the life that stood in the list last.
    pub(super) fn life_of_entry(&self, entry: &WorkerEntry) -> Option<LifeNo> {
        let lives = self.lives.of_worker(&entry.id);
        match entry.incarnation {
            Some(_) => self.life_of(&entry.id, entry.incarnation),
            None => lives.last().copied(),
        }
    }

    fn life_of(&self, id: &LifeId, incarnation: Option<Incarnation>) -> Option<LifeNo> {
        let is_it = |no: LifeNo| {
            self.lives.get(no).is_some_and(|life| life.entry.incarnation == incarnation)
        };
        self.lives.of_worker(id).iter().copied().find(|&no| is_it(no))
    }

    /// Whose report an answer is to a hold that was sent to a life at a moment.
    pub(super) fn told_by(&self, no: LifeNo, sent_at: Time, report: &Report) -> ToldBy {
        let Some(life) = self.lives.get(no) else { return ToldBy::Unknown };
        let is_last = self.lives.of_worker(life.id()).last() == Some(&no);
        let heard_since = life.heard_at.is_some_and(|heard_at| heard_at >= sent_at);
        match report.incarnation {
            None if life.contested && !is_last => ToldBy::Unknown,
            None => ToldBy::ThisLife,
            told if told == life.entry.incarnation => ToldBy::ThisLife,
            Some(_) if heard_since => ToldBy::Earlier,
            Some(incarnation) => ToldBy::Another(incarnation),
        }
    }

    /// Who has done an order that was sent to a life at a moment. Takes note that the life answered, if it did.
    ///
    /// An answer that does not tell its start shows a clock, which each start counts from anew.
    pub(super) fn done_by(
        &mut self,
        no: LifeNo,
        clock_ms: u64,
        incarnation: Option<Incarnation>,
        sent_at: Time,
    ) -> DoneBy {
        let now = self.now;
        let Some(life) = self.lives.get_mut(no) else { return DoneBy::Unknown };
        let agrees = !life.contested && life.clock_agrees(clock_ms, sent_at, now);
        match incarnation {
            Some(told) if Some(told) != life.entry.incarnation => return DoneBy::Another(told),
            None if !agrees => {
                // The question on its way may tell the later life that ends are kept which nobody heard. One with a higher
                // token, sent now, goes before it if anything can.
                life.hold_sent = false;
                self.note_belief(no, "asked anew: its clock is another one");
                return DoneBy::Unknown;
            }
            Some(_) | None => {}
        }
        life.note_heard(clock_ms, sent_at, now);
        self.resume_leasing(no);
        DoneBy::ThisLife
    }

    /// Another start of a worker answered where a life was asked at a moment.
    pub(super) fn heard_another(&mut self, no: LifeNo, incarnation: Incarnation, sent_at: Time) {
        let Some(life) = self.lives.get(no) else { return };
        // Where it answers is all that is known of it. It may offer something else than before, and does not leave because the
        // one before did: it gets nothing until its own entry is read.
        let entry = WorkerEntry {
            incarnation: Some(incarnation),
            draining: false,
            remaining_ms: None,
            ..(*life.entry).clone()
        };
        let precedes = life.precedes(sent_at);
        match self.life_of_entry(&entry) {
            Some(other) if precedes && self.lives.get(other).is_some_and(|other| other.known) => {
                self.note_restarted(no, other);
                self.end_life(no, LifeEnd::StartedAgain);
            }
            Some(other) => self.ask_now(other),
            None => {
                let other = self.insert_life(entry, self.now);
                if let Some(life) = self.lives.get_mut(other) {
                    life.listing = Listing::Unread;
                }
                self.pending.add_life(other);
                self.contest(other);
            }
        }
    }

    /// A life is new: if others are known under its id, answers have to show which of them is over.
    pub(super) fn contest(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get(no) else { return };
        let lives = self.lives.of_worker(&life.id().clone()).to_vec();
        if lives.len() < 2 {
            return;
        }
        self.raise_shared_token(no);
        // An order or a hold with a time of the old clock may have reached the new one: what that leased lasts for the
        // longest time that workers grant.
        let leased_until = self.now + self.lapse_after_longest();
        if let Some(life) = self.lives.get_mut(no) {
            life.lapses_at = life.lapses_at.max(leased_until);
        }
        for life in lives {
            if let Some(life) = self.lives.get_mut(life) {
                life.contested = true;
            }
            self.note_belief(life, "contested: another start under its id is told");
            self.ask_now(life);
        }
    }

    /// Asks a worker now, unless a question is on its way or it is silent.
    fn ask_now(&mut self, no: LifeNo) {
        if self.lives.get(no).is_some_and(|life| life.silent == 0) {
            self.hold_soon(no, Duration::ZERO);
            self.hold_if_due(no);
        }
    }

    /// Ends the contest of a worker's lives if one is left.
    pub(super) fn settle_contest(&mut self, id: &LifeId) {
        let [no] = *self.lives.of_worker(id) else { return };
        let Some(life) = self.lives.get_mut(no).filter(|life| life.contested) else { return };
        life.contested = false;
        self.replan = true;
        self.send_next_order(no);
    }

    /// Gives all lives under a worker's id a token above every one that was sent there: whichever lives refuses what was
    /// sent before.
    pub(super) fn raise_shared_token(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get(no) else { return };
        let lives = self.lives.of_worker(&life.id().clone()).to_vec();
        let tokens = lives.iter().filter_map(|&no| self.lives.get(no)).map(|life| life.token);
        let Some(highest) = tokens.max() else { return };
        for no in lives {
            if let Some(life) = self.lives.get_mut(no) {
                life.token = highest + 1;
            }
        }
    }

    /// Runs that were ordered of a life and are told by the one after it: the order reached that one. The others were lost
    /// with the life before.
    pub(super) fn take_over_runs(&mut self, before: LifeNo, after: LifeNo, report: &Report) {
        let now = self.now;
        let running = report.running.iter().map(|it| (it.task, it.run));
        let ended = report.ended.iter().map(|it| (it.task, it.run));
        for (task, run) in running.chain(ended) {
            let life = self.lives.get_mut(before);
            let Some(mut there) = life.and_then(|life| life.remove_run(task, run)) else {
                continue;
            };
            there.phase = Phase::Running(now);
            if let Some(life) = self.lives.get_mut(after) {
                life.insert_run(task, there);
            }
            let placed = self.task_mut(task).into_iter().flat_map(|task| &mut task.placed);
            for placement in placed.filter(|it| **it == Placement { life: before, run }) {
                placement.life = after;
            }
        }
        if let Some(life) = self.lives.get_mut(after) {
            life.fell_of_late = true;
        }
    }

    /// Writes to the log that a worker has started again under its id.
    pub(super) fn note_restarted(&mut self, before: LifeNo, after: LifeNo) {
        let Some(life) = self.lives.get(before) else { return };
        if !life.known && !self.unheard.contains(&before) {
            // It came from an entry that was late.
            return;
        }
        let now = self.lives.get(after).and_then(|life| life.entry.incarnation);
        let (worker, ends_seen) = (life.id().clone(), life.ends_seen);
        let (before, runs) = (life.entry.incarnation, life.runs().len() as u32);
        let note = Note::WorkerRestarted { worker, before, now, ends_seen, runs };
        self.out.push(Action::Note(note));
    }
}
