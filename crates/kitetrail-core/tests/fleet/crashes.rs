//! Simulates workers that crash, because of a task or on their own, and return under the same id or another one.

use std::{collections::BTreeMap, mem, time::Duration};

use kitetrail_core::{
    Time,
    jobs::{Event, LogEntry, TaskName, WorkerListChange},
};

use super::{Behaviour, SimulatedFleet};

/// The default time until a crashed worker returns.
const DEFAULT_RETURN_DELAY: Duration = Duration::from_millis(3_000);
/// The time from a crash until the worker's entry expires.
const EXPIRY_DELAY: Duration = Duration::from_millis(3_300);

/// The tasks that crash their workers, and a record of the crashes.
#[derive(Debug)]
pub struct Crashes {
    /// The tasks that crash their workers, with the amount of work after which they do.
    pub tasks: BTreeMap<TaskName, Duration>,
    /// The time until a crashed worker returns.
    pub return_delay: Duration,
    /// Whether a crashed worker returns under its old id instead of a new one.
    pub keeps_name: bool,
    /// The crashes caused by tasks, in order: the time, the task and the worker.
    pub caused_by_tasks: Vec<(Time, TaskName, String)>,
    /// The number of runs of other tasks that were lost in these crashes.
    pub lost_other_runs: u32,
    /// The crashed workers, with the time of their return.
    returning: Vec<(Time, String)>,
    /// The entries of crashed workers, with the time at which they expire.
    expiring: Vec<(Time, String)>,
    /// The number of workers that have returned, for new ids.
    return_count: u32,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            tasks: BTreeMap::new(),
            return_delay: DEFAULT_RETURN_DELAY,
            keeps_name: false,
            caused_by_tasks: Vec::new(),
            lost_other_runs: 0,
            returning: Vec::new(),
            expiring: Vec::new(),
            return_count: 0,
        }
    }
}

impl SimulatedFleet {
    /// Makes a task crash each of its workers after 10 ms of work.
    pub fn make_crashing(&mut self, name: TaskName) {
        self.make_crashing_after(name, Duration::from_millis(10));
    }

    /// Makes a task crash each of its workers after an amount of work.
    pub fn make_crashing_after(&mut self, name: TaskName, after: Duration) {
        self.crashes.tasks.insert(name, after);
    }

    /// Crashes a worker, whatever it runs. It returns after `return_delay`.
    pub fn crash(&mut self, id: &str) {
        let (now, return_delay) = (self.now, self.crashes.return_delay);
        self.worker(id).crash();
        self.crashes.returning.push((now + return_delay, id.to_owned()));
        self.crashes.expiring.push((now + EXPIRY_DELAY, id.to_owned()));
    }

    /// Returns the number of crashes that a task caused.
    pub fn crashes_of(&self, name: TaskName) -> usize {
        self.crashes.caused_by_tasks.iter().filter(|(_, task, _)| *task == name).count()
    }

    /// Returns the number of starts of a task after its third crash.
    pub fn starts_after_third_crash(&self, name: TaskName) -> usize {
        let mut crashes = self.crashes.caused_by_tasks.iter().filter(|(_, task, _)| *task == name);
        let Some(third) = crashes.nth(2).map(|(at, ..)| *at) else { return 0 };
        self.starts.iter().filter(|(at, task, ..)| *task == name && *at > third).count()
    }

    /// Returns the number of crashes that the scheduler counted against tasks.
    pub fn counted_crashes(&self) -> usize {
        let is_crash = |entry: &LogEntry| matches!(entry, LogEntry::CrashCounted { .. });
        self.log_entries.iter().filter(|(_, entry)| is_crash(entry)).count()
    }

    /// Advances crashes, returns and expiries by one step of the clock.
    pub(super) fn step_crashes(&mut self) {
        self.crash_workers_of_tasks();
        let now = self.now;
        for id in take_due(&mut self.crashes.returning, now) {
            self.crashes.return_count += 1;
            let new_id = match self.crashes.keeps_name {
                true => id.clone(),
                false => format!("{id}+{}", self.crashes.return_count),
            };
            match self.crashes.keeps_name {
                true => drop(self.restart(&id)),
                false => drop(self.replace_instance(&id, &new_id)),
            }
            let entry = self.worker(&new_id).entry.clone();
            self.report_listed(entry);
        }
        for id in take_due(&mut self.crashes.expiring, now) {
            let has_returned =
                self.workers.get(&id).is_some_and(|worker| worker.behaviour != Behaviour::Crashed);
            if has_returned {
                continue;
            }
            let silent_for = Some(EXPIRY_DELAY);
            let removal = WorkerListChange::Removed { id: id.as_str().into(), silent_for };
            self.send_event(Event::WorkerListChanged(vec![removal]));
        }
    }

    /// Ends the other members of a gang after one of them was lost.
    fn break_gang(&mut self, name: TaskName) {
        let spec = self.specs.get(&name.job).and_then(|spec| spec.steps.get(name.step as usize));
        if !spec.is_some_and(|step| step.gang) {
            return;
        }
        let now = self.now;
        for worker in self.workers.values_mut() {
            worker.end_gang_members(now, name);
        }
    }

    /// Crashes the workers whose crashing tasks have done enough work.
    fn crash_workers_of_tasks(&mut self) {
        let mut crashed_workers = Vec::new();
        for (id, worker) in &self.workers {
            let mut crashing_tasks = worker.running.iter().filter_map(|(name, running)| {
                let after = self.crashes.tasks.get(name)?;
                (u128::from(running.done_ms) >= after.as_millis()).then_some(*name)
            });
            if let Some(name) = crashing_tasks.next() {
                crashed_workers.push((name, id.clone(), worker.running.len() as u32 - 1));
            }
        }
        for (name, id, other_runs) in crashed_workers {
            self.crashes.caused_by_tasks.push((self.now, name, id.clone()));
            self.crashes.lost_other_runs += other_runs;
            self.crash(&id);
            self.break_gang(name);
        }
    }
}

/// Removes the items that are due and returns them.
fn take_due(waiting: &mut Vec<(Time, String)>, now: Time) -> Vec<String> {
    let (due, later) = mem::take(waiting).into_iter().partition(|(at, _)| *at <= now);
    *waiting = later;
    let due: Vec<(Time, String)> = due;
    due.into_iter().map(|(_, id)| id).collect()
}
