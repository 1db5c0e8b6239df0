//! Workers that start again under their ids, and what must not happen then.

use std::collections::BTreeMap;

use kitetrail_core::{
    Time,
    jobs::{HowEnded, Incarnation, JobId, TaskName, WorkerEntry},
};

use super::{DAY_UNIX_MS, FakeWorker, World, queue};

/// What the clock of a worker's first start is ahead of the owner's, in milliseconds.
const FIRST_CLOCK_AHEAD_MS: u64 = 500_000_000;
/// How far apart the clocks of a worker's starts are, in milliseconds.
const CLOCKS_APART_MS: u64 = 7_654_321;
/// Clocks are set anew in so many ways, half of them before the first one and half after it.
const CLOCKS: u64 = 40;

/// What workers were told is kept, by task.
#[derive(Debug, Default)]
pub struct ToldKept {
    /// When the last run of a task ended as done.
    done: BTreeMap<TaskName, Time>,
    /// When runs of a task ended as failed, in order.
    failed: BTreeMap<TaskName, Vec<Time>>,
    /// How many starts were looked at.
    checked: usize,
}

impl ToldKept {
    /// Forgets a job: what is handed in under its id from now on is another one.
    pub(super) fn forget(&mut self, job: JobId) {
        self.done.retain(|name, _| name.job != job);
        self.failed.retain(|name, _| name.job != job);
    }
}

impl World {
    /// A worker crashes and starts again at once, under its id and at its address. Returns the entry of before.
    pub fn restart(&mut self, id: &str) -> WorkerEntry {
        let incarnation = Incarnation(DAY_UNIX_MS + self.now.as_ms());
        let address = self.worker(id).entry.address.clone();
        self.restart_as(id, incarnation, address)
    }

    /// The same with the start that it tells, and the address at which it answers from now on.
    pub fn restart_as(
        &mut self,
        id: &str,
        incarnation: Incarnation,
        address: String,
    ) -> WorkerEntry {
        let before = self.workers.remove(id).expect("the fleet has this worker");
        self.broken_holds.extend(before.held.into_iter().chain(before.held_before));
        self.restarts += 1;
        let entry = WorkerEntry { incarnation: Some(incarnation), address, ..before.entry.clone() };
        let mut worker = FakeWorker::with_entry(entry);
        worker.clock_ahead_ms = clock_ahead_ms(self.restarts);
        worker.answers_tell_start = before.answers_tell_start;
        self.workers.insert(id.to_owned(), worker);
        before.entry
    }

    /// Makes all workers tell when they started.
    pub fn tell_incarnations(&mut self) {
        for worker in self.workers.values_mut() {
            worker.entry.incarnation = Some(Incarnation(DAY_UNIX_MS));
            worker.clock_ahead_ms = FIRST_CLOCK_AHEAD_MS;
        }
        self.list_all();
    }

    /// Panics if a task is started after an end which its worker was told is kept: one as done, or as many as failed as it
    /// may have. Ends that were told later count as well.
    pub(super) fn check_told_kept(&mut self) {
        let told = self.workers.values_mut().flat_map(|worker| worker.told_kept.drain(..));
        for (at, end) in told.collect::<Vec<_>>() {
            match end.how {
                HowEnded::Done => self.note_done(end.task, at),
                HowEnded::Failed => self.note_failed(end.task, at),
                HowEnded::Stopped | HowEnded::Lapsed | HowEnded::Broken | HowEnded::Alone => {}
            }
        }
        for at in self.told_kept.checked..self.starts.len() {
            let (started, name, ..) = &self.starts[at];
            let is_over = self.told_kept.done.get(name).is_some_and(|done| done < started);
            assert!(!is_over || self.may_repeat(*name), "{name} is started, its end is kept");
            let failed = self
                .told_kept
                .failed
                .get(name)
                .map_or(0, |at| at.iter().filter(|at| *at < started).count());
            let most = queue().max_attempts as usize;
            assert!(
                failed < most || self.may_repeat(*name),
                "{name} is started after {failed} failures"
            );
        }
        self.told_kept.checked = self.starts.len();
    }

    fn note_done(&mut self, name: TaskName, at: Time) {
        let later = self.starts.iter().any(|(started, task, ..)| *task == name && *started > at);
        assert!(!later || self.may_repeat(name), "{name} was started again, its end is kept");
        self.told_kept.done.insert(name, at);
    }

    fn note_failed(&mut self, name: TaskName, at: Time) {
        let failed = self.told_kept.failed.entry(name).or_default();
        failed.push(at);
        let most = queue().max_attempts as usize;
        let Some(last) = failed.get(most - 1) else { return };
        let later = self.starts.iter().any(|(started, task, ..)| *task == name && started > last);
        assert!(!later || self.may_repeat(name), "{name} was started after {most} failures");
    }

    /// Whether a task may be started again after an end: it lasts, or copies of it are allowed.
    fn may_repeat(&self, name: TaskName) -> bool {
        let spec = self.specs.get(&name.job).and_then(|spec| spec.steps.get(name.step as usize));
        spec.is_none_or(|step| step.lasts || step.copies_allowed)
    }
}

/// What the clock of a worker shows that started again: counted from anew, it may be behind the one before or ahead of it.
fn clock_ahead_ms(restarts: u64) -> u64 {
    let apart_ms = restarts % CLOCKS * CLOCKS_APART_MS;
    match restarts % 2 {
        0 => FIRST_CLOCK_AHEAD_MS + apart_ms,
        _ => FIRST_CLOCK_AHEAD_MS - apart_ms,
    }
}
