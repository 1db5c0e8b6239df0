//! Workers whose entries went from the list: which of them left, and which the store only lost.

use std::time::Duration;

use super::{
    super::{
        life::{Life, LifeNo},
        names::{LifeId, TaskName},
    },
    Scheduler,
};
use crate::Time;

/// How long after the store's return the entry of a worker that lives may still be missing: the
/// platform's two seconds, and 400 ms for the pauses between our readings of the list.
const RELISTED_WITHIN: Duration = Duration::from_millis(2_400);
/// A task that lasts is at work at this percent, as the platform defines it.
const AT_WORK_PERCENT: u32 = 100;

impl Scheduler {
    /// Takes note that the store was in trouble until a moment.
    ///
    /// Workers whose entries went during it, or within [`RELISTED_WITHIN`] of its end, may live.
    pub(super) fn note_store_trouble(&mut self, until: Time) {
        self.store_trouble_until = self.store_trouble_until.max(Some(until));
        let (now, gone_at) = (self.now, until + RELISTED_WITHIN);
        for life in self.lives.values_mut() {
            let in_doubt = life.gone_at.filter(|&at| at > now);
            life.gone_at = in_doubt.map(|at| at.max(gone_at)).or(life.gone_at);
        }
    }

    /// The entry of a worker went from the list.
    pub(super) fn unlisted(&mut self, id: &LifeId) {
        if let Some(&no) = self.life_by_id.get(id) {
            self.unlist(no);
        }
    }

    /// All workers that stand in the list were told of: the others, which earlier owners used, do
    /// not stand there.
    pub(super) fn unlist_untold(&mut self) {
        let untold = |life: &Life| !life.listed && life.gone_at.is_none();
        let untold = self.lives.iter().filter(|(_, life)| untold(life)).map(|(&no, _)| no);
        for no in untold.collect::<Vec<_>>() {
            self.unlist(no);
        }
    }

    /// Whether a run may be stopped to go on elsewhere as its worker leaves.
    ///
    /// A worker that says `draining` may be emptied at once. One that is only missing from the list
    /// may be sound, so no more tasks of a step may be away than its caller allows.
    pub(super) fn may_leave(&self, no: LifeNo, task: TaskName) -> bool {
        let draining = self.lives.get(&no).is_some_and(|life| life.entry.draining);
        let may_miss = self.step_spec(task).and_then(|spec| spec.may_miss);
        draining || may_miss.is_none_or(|may_miss| self.others_away(task) < may_miss as usize)
    }

    fn unlist(&mut self, no: LifeNo) {
        let doubtful_until = self.store_trouble_until.map(|until| until + RELISTED_WITHIN);
        let Some(life) = self.lives.get_mut(&no) else { return };
        life.listed = false;
        life.gone_at = Some(self.now).max(doubtful_until);
        self.note_belief(no, "not listed");
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
            let life = self.lives.get(&placed.life).filter(|life| life.silent == 0);
            let run = life.and_then(|life| life.runs().get(&name));
            run.is_some_and(|run| {
                run.is_running() && !run.stopping && run.percent >= AT_WORK_PERCENT
            })
        })
    }
}
