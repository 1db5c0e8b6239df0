//! Tests of all parts of scheduling under load together: at three times the load, and with slow workers, each with a change
//! of the owner in the middle.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::{collections::BTreeMap, time::Duration};

use fleet::{Behaviour, FakeWorker, SimulatedFleet, job, queue, step};
use kitetrail_core::{
    Resources, Time,
    jobs::{JobId, JobState, LoadParts, LogEntry, QueueTerms, StepSpec, TaskName},
};

/// The number of workers, of four cores each.
const WORKERS: u32 = 20;
/// Two thirds of the cores that the service leaves, at 4 core-seconds a job.
const JOBS_PER_S: u64 = 10;
/// The ids of less urgent jobs start here.
const AUDIT_IDS: u64 = 100_000;
/// The time that callers allow an urgent job: twice its critical path and half a second.
const OBJECTIVE: Duration = Duration::from_millis(2_500);
/// The time within which a queue that went without its share gets room: it goes ahead after a second, and a task ends.
const FLOOR_WITHIN: Duration = Duration::from_millis(2_500);
/// The time after the end of the excess from which nine of ten new jobs are in time.
const RECOVERY_MS: u64 = 3_000;
/// The time for which a task that was stopped for another is not stopped again.
const STOP_AGAIN_AFTER: Duration = Duration::from_secs(10);
/// The most starts per task. A tenth of the tasks may be moved, stopped or restarted.
const MAX_STARTS_PER_TASK: f64 = 1.1;

/// A load of urgent jobs, less urgent ones that keep their progress, and one service.
struct Load {
    fleet: SimulatedFleet,
    urgent: Vec<(u64, Time)>,
    audits: u64,
}

impl Load {
    fn start() -> Self {
        let workers = (0..WORKERS).map(FakeWorker::new);
        let mut fleet = SimulatedFleet::with_parts(workers, LoadParts::all());
        let service = StepSpec {
            long_running: true,
            tail_target_ms: Some(50),
            image: Some("service".to_owned()),
            size: Resources::new(2_000, 512, 0),
            ..step(8)
        };
        fleet.submit(1, job(vec![service]));
        fleet.advance_ms(1_000);
        let mut load = Self { fleet, urgent: Vec::new(), audits: 0 };
        load.run(4_000, 1);
        load
    }

    /// Lets callers submit for some time, `factor` times as many as usual.
    fn run(&mut self, ms: u64, factor: u64) {
        let per_second = JOBS_PER_S * factor;
        for count in 0..ms * per_second / 1_000 {
            let id = 1_000 + self.urgent.len() as u64;
            self.fleet.submit_within(id, job(vec![step(4)]), Some(Duration::from_secs(3)));
            self.urgent.push((id, self.fleet.now));
            if count.is_multiple_of(5) {
                self.submit_audit();
            }
            self.fleet.advance_ms(1_000 / per_second);
        }
    }

    fn submit_audit(&mut self) {
        let queue = QueueTerms { name: "audits".into(), priority: 2, ..queue() };
        let spec = StepSpec { keeps_progress: true, ..step(2) };
        self.fleet.submit_to(queue, AUDIT_IDS + self.audits, job(vec![spec]));
        self.audits += 1;
    }

    /// Returns the share of the urgent jobs submitted from a moment on that were completed in time.
    fn in_time_since(&self, since: Time) -> f64 {
        let recent = self.urgent.iter().filter(|(_, at)| *at >= since).collect::<Vec<_>>();
        let in_time = recent.iter().filter(|(id, at)| {
            self.fleet.completed_after(*id, *at).is_some_and(|after| after <= OBJECTIVE)
        });
        in_time.count() as f64 / recent.len() as f64
    }

    /// Returns whether the less urgent queue started anything between two moments.
    fn audits_started(&self, from: Time, until: Time) -> bool {
        let mut starts = self.fleet.starts.iter();
        starts.any(|(at, task, ..)| task.job.0 >= AUDIT_IDS && *at >= from && *at < until)
    }

    fn check_stops_and_starts(&self) {
        let mut stopped = BTreeMap::<TaskName, Time>::new();
        for (at, entry) in &self.fleet.log_entries {
            if let LogEntry::Preempted { task, .. } = entry {
                let before = stopped.insert(*task, *at);
                let is_early = before.is_some_and(|before| at.since(before) < STOP_AGAIN_AFTER);
                assert!(!is_early, "{task} is stopped again at {at}");
            }
        }
        let ended = |id: JobId| self.fleet.final_state(id.0) == Some(JobState::Completed);
        let starts = self.fleet.starts.iter().filter(|(_, task, ..)| ended(task.job)).count();
        let tasks = self.urgent.iter().filter(|(id, _)| ended(JobId(*id))).count() * 4
            + (AUDIT_IDS..AUDIT_IDS + self.audits).filter(|id| ended(JobId(*id))).count() * 2;
        let per_task = starts as f64 / tasks as f64;
        assert!(per_task <= MAX_STARTS_PER_TASK, "{per_task:.2} starts per task");
    }

    /// Checks that every accepted job is completed once nothing is submitted any more.
    fn check_all_complete(&mut self) {
        self.fleet.advance_ms(60_000);
        let accepted = self.fleet.jobs.keys().filter(|id| id.0 != 1).count();
        assert_eq!(accepted, 0, "jobs are left that nobody completed");
    }
}

#[test]
fn three_times_the_load_starves_no_queue_and_is_over_soon_after_it_ends() {
    let mut load = Load::start();
    let excess_from = load.fleet.now;
    load.run(3_000, 3);
    assert!(load.audits_started(excess_from + FLOOR_WITHIN, load.fleet.now), "starved");
    load.fleet.take_over(2, true);
    load.run(3_000, 3);
    let second_half = load.fleet.now - FLOOR_WITHIN;
    assert!(load.audits_started(second_half, load.fleet.now), "starved by the next owner");
    load.run(RECOVERY_MS, 1);
    let recovered = load.fleet.now;
    load.run(4_000, 1);
    load.fleet.advance_ms(4_000);
    let in_time = load.in_time_since(recovered);
    assert!(in_time >= 0.9, "{in_time:.2} of the new jobs are in time");
    load.check_stops_and_starts();
    load.check_all_complete();
}

#[test]
fn slow_workers_delay_few_jobs_across_a_change_of_the_owner() {
    let mut load = Load::start();
    for number in (0..WORKERS).step_by(10) {
        load.fleet.worker(&format!("w{number}")).behaviour = Behaviour::Slow { factor: 8 };
    }
    load.run(3_000, 1);
    load.fleet.take_over(2, true);
    load.run(RECOVERY_MS, 1);
    let learned = load.fleet.now;
    load.run(6_000, 1);
    load.fleet.advance_ms(4_000);
    let in_time = load.in_time_since(learned);
    assert!(in_time >= 0.9, "{in_time:.2} of the jobs are in time beside slow workers");
    load.check_stops_and_starts();
    load.check_all_complete();
}
