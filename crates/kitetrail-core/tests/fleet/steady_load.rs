//! A steady load of short jobs on a fleet of which some workers misbehave.

use std::{collections::BTreeSet, time::Duration};

use kitetrail_core::{
    Time,
    jobs::{LoadParts, LogEntry, StepSpec},
};

use super::{Behaviour, FakeWorker, SimulatedFleet, job, step};

/// The number of workers: each runs about one task at a time under the load below.
pub const WORKERS: u32 = 40;
/// The interval between two jobs of `TASKS_PER_JOB` tasks each.
pub const SUBMIT_INTERVAL_MS: u64 = 100;
pub const TASKS_PER_JOB: u32 = 4;
/// The work of a task.
pub const TASK_MS: u64 = 1_000;
/// The time that callers allow a job: twice its critical path and half a second.
pub const OBJECTIVE: Duration = Duration::from_millis(2 * TASK_MS + 500);
/// The time for which run lengths are learned before anything goes wrong.
pub const LEARNING_MS: u64 = 4_000;
/// A load of short jobs in steady intervals.
pub struct SteadyLoad {
    pub fleet: SimulatedFleet,
    next_id: u64,
    pub submitted: Vec<(u64, Time)>,
    /// The step of each job.
    pub spec: StepSpec,
}

impl SteadyLoad {
    pub fn new(parts: LoadParts) -> Self {
        let fleet = SimulatedFleet::with_parts((0..WORKERS).map(FakeWorker::new), parts);
        let spec = StepSpec { estimate_ms: TASK_MS, ..step(TASKS_PER_JOB) };
        Self { fleet, next_id: 1, submitted: Vec::new(), spec }
    }

    /// Creates a load whose run lengths are learned.
    pub fn learned(parts: LoadParts) -> Self {
        let mut load = Self::new(parts);
        load.run_for(LEARNING_MS);
        load
    }

    pub fn run_for(&mut self, ms: u64) {
        for _ in 0..ms / SUBMIT_INTERVAL_MS {
            self.fleet.submit(self.next_id, job(vec![self.spec.clone()]));
            self.submitted.push((self.next_id, self.fleet.now));
            self.next_id += 1;
            self.fleet.advance_ms(SUBMIT_INTERVAL_MS);
        }
    }

    /// Makes every tenth worker behave in some way. Returns their ids.
    pub fn set_tenth(&mut self, behaviour: Behaviour) -> BTreeSet<String> {
        let ids = (0..WORKERS).step_by(10).map(|no| format!("w{no}")).collect::<BTreeSet<_>>();
        ids.iter().for_each(|id| self.fleet.worker(id).behaviour = behaviour);
        ids
    }

    /// Returns the share of the jobs submitted since a moment that were not completed in time.
    pub fn late_share(&self, since: Time) -> f64 {
        let recent = self.submitted.iter().filter(|(_, at)| *at >= since).collect::<Vec<_>>();
        let is_late = |(id, at): &&&(u64, Time)| {
            self.fleet.completed_after(*id, *at).is_none_or(|after| after > OBJECTIVE)
        };
        recent.iter().filter(is_late).count() as f64 / recent.len() as f64
    }

    /// Returns the number of starts since a moment on some workers.
    pub fn starts_on(&self, ids: &BTreeSet<String>, since: Time) -> usize {
        let recent = self.fleet.starts.iter().filter(|(at, ..)| *at >= since);
        recent.filter(|(.., worker)| ids.contains(worker)).count()
    }

    /// Returns the workers that were put in a state, in order.
    pub fn put_in_state(&self, wanted: &str) -> Vec<String> {
        let entries = self.fleet.log_entries.iter().filter_map(|(_, entry)| match entry {
            LogEntry::WorkerHealth { worker, state, .. } if *state == wanted => {
                Some(worker.to_string())
            }
            _ => None,
        });
        entries.collect()
    }

    /// Returns the workers that were ever not taken for sound.
    pub fn ejected(&self) -> BTreeSet<String> {
        let suspected = self.put_in_state("suspected").into_iter();
        suspected.chain(self.put_in_state("probation")).collect()
    }
}
