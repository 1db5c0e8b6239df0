//! Workers whose entries went from the list: which of them left, and which the store only lost.
//!
//! A worker that leaves withdraws its entry between two heartbeats. An entry that goes after three
//! heartbeats of silence lapsed: its worker crashed, does not reach the store, or the store was in
//! trouble. Of these only the last are taken for gone once the store is well again: a worker that
//! does not reach the store serves on, and answers us.

use std::time::Duration;

use super::{
    super::{
        life::{LifeNo, Listing},
        names::{LifeId, TaskName},
        run::RunThere,
    },
    Scheduler,
};
use crate::Time;

/// How long after the store's return the entry of a worker that lives may still be missing: the
/// platform's two seconds, and 400 ms for the pauses between our readings of the list.
const RELISTED_WITHIN: Duration = Duration::from_millis(2_400);
/// An entry that goes after so many heartbeats were left out lapsed; one that its worker withdrew goes
/// sooner. Entries lapse after three, and heartbeats are read up to 0.2 s late.
const LAPSES_AFTER_HEARTBEATS: u32 = 2;

impl Scheduler {
    /// Takes note that the store was in trouble until a moment.
    ///
    /// Workers whose entries went during it, or within [`RELISTED_WITHIN`] of its end, may live.
    pub(super) fn note_store_trouble(&mut self, until: Time) {
        self.store_trouble_until = self.store_trouble_until.max(Some(until));
        let (now, returns_by) = (self.now, until + RELISTED_WITHIN);
        for life in self.lives.values_mut() {
            match &mut life.listing {
                Listing::Gone { certain_at } if *certain_at > now => {
                    *certain_at = returns_by.max(*certain_at);
                }
                _ => {}
            }
        }
    }

    /// The entry of a worker went from the list, after some time without a heartbeat.
    pub(super) fn unlisted(&mut self, id: &LifeId, silent_for: Option<Duration>) {
        for no in self.lives.of_worker(id).to_vec() {
            self.unlist(no, self.why_unlisted(silent_for));
        }
    }

    /// All workers that stand in the list were told of: the others, which earlier owners used, do
    /// not stand there.
    pub(super) fn unlist_untold(&mut self) {
        let untold = self.lives.iter().filter(|(_, life)| life.listing == Listing::Unread);
        for no in untold.map(|(no, _)| no).collect::<Vec<_>>() {
            self.unlist(no, self.why_unlisted(None));
        }
    }

    /// Whether a run may be stopped to go on elsewhere as its worker leaves.
    ///
    /// A worker that says `draining` may be emptied at once. One that is only missing from the list
    /// may be sound, so no more tasks of a step may be away than its caller allows.
    pub(super) fn may_leave(&self, no: LifeNo, task: TaskName) -> bool {
        let draining = self.lives.get(no).is_some_and(|life| life.entry.draining);
        let may_miss = self.step_spec(task).and_then(|spec| spec.may_miss);
        draining || may_miss.is_none_or(|may_miss| self.others_away(task) < may_miss as usize)
    }

    /// What it means that an entry goes now.
    fn why_unlisted(&self, silent_for: Option<Duration>) -> Listing {
        let now = self.now;
        let trouble_until = self.store_trouble_until;
        let lapses_after = self.settings.worker_heartbeat * LAPSES_AFTER_HEARTBEATS;
        let lapsed = silent_for.filter(|&silent_for| silent_for >= lapses_after);
        let well = |silent_for| trouble_until.is_none_or(|until| now.since(until) > silent_for);
        match lapsed {
            Some(silent_for) if well(silent_for) => Listing::Lapsed,
            _ => {
                let returns_by = trouble_until.map(|until| until + RELISTED_WITHIN);
                Listing::Gone { certain_at: returns_by.map_or(now, |at| at.max(now)) }
            }
        }
    }

    fn unlist(&mut self, no: LifeNo, listing: Listing) {
        let Some(life) = self.lives.get_mut(no) else { return };
        life.listing = listing;
        let belief = match listing {
            Listing::Lapsed => "not listed, its heartbeats ended",
            _ => "not listed",
        };
        self.note_belief(no, belief);
        self.hold_soon(no, Duration::ZERO);
    }

    /// How many other tasks of the step are not known to be at work.
    fn others_away(&self, task: TaskName) -> usize {
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task.step_name()));
        let count = step.map_or(0, |step| step.tasks.len()) as u32;
        let others = (0..count).filter(|&index| index != task.index);
        others.filter(|&index| !self.is_at_work(TaskName { index, ..task })).count()
    }

    /// Whether a task is at work, as its worker said last, and was not told to stop.
    fn is_at_work(&self, name: TaskName) -> bool {
        let placed = self.jobs.get(&name.job).and_then(|job| job.task(name)).map(|it| &it.placed);
        placed.into_iter().flatten().any(|placed| {
            let life = self.lives.get(placed.life).filter(|life| life.silent == 0);
            life.and_then(|life| life.runs().get(&name)).is_some_and(RunThere::is_at_work)
        })
    }
}
