//! Simulates workers that restart under their ids, and checks that acknowledged ends of runs are final.

use std::collections::BTreeMap;

use kitetrail_core::{
    Time,
    jobs::{Incarnation, JobId, RunResult, TaskName, WorkerEntry},
};

use super::{CLOCK_ZERO_UNIX_MS, FakeWorker, SimulatedFleet, queue};

/// The lead of a worker's clock over the owner's before any restart, in milliseconds.
const FIRST_CLOCK_AHEAD_MS: u64 = 500_000_000;
/// The step between the clocks of restarted workers, in milliseconds.
const CLOCK_STEP_MS: u64 = 7_654_321;
/// The number of clock settings after a restart, half of them behind the first clock and half ahead of it.
const CLOCK_VARIANTS: u64 = 40;

/// The ends of runs that the owner acknowledged to workers as stored, by task.
#[derive(Debug, Default)]
pub struct AcknowledgedEnds {
    /// When the last completed run of a task ended.
    done: BTreeMap<TaskName, Time>,
    /// When failed runs of a task ended, in order.
    failed: BTreeMap<TaskName, Vec<Time>>,
    /// The number of starts that have been checked.
    checked_starts: usize,
}

impl AcknowledgedEnds {
    /// Removes a job, since a later job under its id is a different one.
    pub(super) fn remove_job(&mut self, job: JobId) {
        self.done.retain(|name, _| name.job != job);
        self.failed.retain(|name, _| name.job != job);
    }
}

impl SimulatedFleet {
    /// Restarts a worker at once under its id and address, as after a crash. Returns its previous entry.
    pub fn restart(&mut self, id: &str) -> WorkerEntry {
        let incarnation = Incarnation(CLOCK_ZERO_UNIX_MS + self.now.as_ms());
        let address = self.worker(id).entry.address.clone();
        self.restart_as(id, incarnation, address)
    }

    /// Like [`Self::restart`], with a given incarnation and address.
    pub fn restart_as(
        &mut self,
        id: &str,
        incarnation: Incarnation,
        address: String,
    ) -> WorkerEntry {
        let previous = self.workers.remove(id).expect("the fleet has this worker");
        self.interrupted_polls
            .extend(previous.current_poll.into_iter().chain(previous.earlier_polls));
        self.restarts += 1;
        let entry =
            WorkerEntry { incarnation: Some(incarnation), address, ..previous.entry.clone() };
        let mut worker = FakeWorker::with_entry(entry);
        worker.clock_ahead_ms = clock_ahead_ms(self.restarts);
        worker.answers_contain_incarnation = previous.answers_contain_incarnation;
        self.workers.insert(id.to_owned(), worker);
        previous.entry
    }

    /// Makes all workers report when they started.
    pub fn report_incarnations(&mut self) {
        for worker in self.workers.values_mut() {
            worker.entry.incarnation = Some(Incarnation(CLOCK_ZERO_UNIX_MS));
            worker.clock_ahead_ms = FIRST_CLOCK_AHEAD_MS;
        }
        self.report_all_listed();
    }

    /// Panics if a task is started after acknowledged ends that are final: one completed run, or as many failed runs as the
    /// queue allows. Ends that are acknowledged after the start count as well.
    pub(super) fn check_acknowledged_ends(&mut self) {
        let acknowledged =
            self.workers.values_mut().flat_map(|worker| worker.acknowledged_ends.drain(..));
        for (at, end) in acknowledged.collect::<Vec<_>>() {
            match end.how {
                RunResult::Done => self.record_done(end.task, at),
                RunResult::Failed => self.record_failed(end.task, at),
                RunResult::Stopped | RunResult::Lapsed | RunResult::Broken | RunResult::Alone => {}
            }
        }
        for index in self.acknowledged_ends.checked_starts..self.starts.len() {
            let (started, name, ..) = &self.starts[index];
            let is_done = self.acknowledged_ends.done.get(name).is_some_and(|done| done < started);
            assert!(
                !is_done || self.may_repeat(*name),
                "{name} is started after an acknowledged end"
            );
            let failed = self
                .acknowledged_ends
                .failed
                .get(name)
                .map_or(0, |at| at.iter().filter(|at| *at < started).count());
            let max_failures = queue().max_attempts as usize;
            assert!(
                failed < max_failures || self.may_repeat(*name),
                "{name} is started after {failed} failures"
            );
        }
        self.acknowledged_ends.checked_starts = self.starts.len();
    }

    /// Records a completed run.
    fn record_done(&mut self, name: TaskName, at: Time) {
        let restarted =
            self.starts.iter().any(|(started, task, ..)| *task == name && *started > at);
        assert!(
            !restarted || self.may_repeat(name),
            "{name} was started again after an acknowledged end"
        );
        self.acknowledged_ends.done.insert(name, at);
    }

    /// Records a failed run.
    fn record_failed(&mut self, name: TaskName, at: Time) {
        let failed = self.acknowledged_ends.failed.entry(name).or_default();
        failed.push(at);
        // Ends of several workers are acknowledged in another order than they occurred.
        failed.sort_unstable();
        let max_failures = queue().max_attempts as usize;
        let Some(last) = failed.get(max_failures - 1) else { return };
        let restarted =
            self.starts.iter().any(|(started, task, ..)| *task == name && started > last);
        assert!(
            !restarted || self.may_repeat(name),
            "{name} was started after {max_failures} failures"
        );
    }

    /// Returns whether a task may be started again after an end, since it is long-running or copies are allowed.
    fn may_repeat(&self, name: TaskName) -> bool {
        let spec = self.specs.get(&name.job).and_then(|spec| spec.steps.get(name.step as usize));
        spec.is_none_or(|step| step.long_running || step.copies_allowed)
    }
}

/// Returns the lead of a restarted worker's clock, which may be behind or ahead of its previous clock.
fn clock_ahead_ms(restarts: u64) -> u64 {
    let shift_ms = restarts % CLOCK_VARIANTS * CLOCK_STEP_MS;
    match restarts % 2 {
        0 => FIRST_CLOCK_AHEAD_MS + shift_ms,
        _ => FIRST_CLOCK_AHEAD_MS - shift_ms,
    }
}
