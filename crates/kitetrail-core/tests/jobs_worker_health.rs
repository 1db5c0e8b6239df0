//! Tests of workers that are slower, or fail more often, than their peers.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::{collections::BTreeSet, time::Duration};

use fleet::{
    Behaviour, Processor, job,
    steady_load::{SteadyLoad, TASK_MS, WORKERS},
    step,
};
use kitetrail_core::{
    Resources, Time,
    jobs::{JobId, JobState, LoadPart, LoadParts, LogEntry, StepSpec, TaskName},
};

/// The time within which a worker that has recovered gets regular work again: the longest pause
/// between probes, one task and its report.
const MAX_RECOVERY_MS: u64 = 3_000 + TASK_MS + 1_500;

fn parts() -> LoadParts {
    [LoadPart::WorkerHealth, LoadPart::RunLengths].into_iter().collect()
}

/// Runs the load while a tenth of the workers misbehave for 14 s. Returns the share of late jobs.
fn late_with_tenth(parts: LoadParts, behaviour: Behaviour) -> f64 {
    let mut load = SteadyLoad::learned(parts);
    load.set_tenth(behaviour);
    let since = load.fleet.now;
    load.run_for(14_000);
    load.fleet.advance_ms(4_000);
    load.late_share(since)
}

#[test]
fn few_jobs_are_late_while_a_tenth_of_the_workers_is_slow() {
    let behaviour = Behaviour::Slow { factor: 8 };
    let late = late_with_tenth(parts(), behaviour);
    assert!(late <= 0.1, "{late} of the jobs are late");
}

#[test]
fn few_jobs_are_late_while_runs_on_a_tenth_of_the_workers_stand_still() {
    let late = late_with_tenth(parts(), Behaviour::Hanging);
    assert!(late <= 0.1, "{late} of the jobs are late");
}

#[test]
fn slow_workers_get_single_tasks_as_probes() {
    let mut load = SteadyLoad::learned(parts());
    let slow = load.set_tenth(Behaviour::Slow { factor: 8 });
    load.run_for(4_000);
    let since = load.fleet.now;
    load.run_for(9_000);
    // One probe for each of the four workers every 3 s, and one more at the edge of the interval.
    assert!(load.starts_on(&slow, since) <= 4 * 4, "{} starts", load.starts_on(&slow, since));
    assert_eq!(load.ejected(), slow, "exactly the slow workers were suspected");
}

#[test]
fn recovered_worker_is_used_again() {
    let mut load = SteadyLoad::learned(parts());
    let slow = load.set_tenth(Behaviour::Slow { factor: 8 });
    load.run_for(6_000);
    assert!(!load.put_in_state("probation").is_empty());
    load.set_tenth(Behaviour::Healthy);
    load.run_for(MAX_RECOVERY_MS);
    let since = load.fleet.now;
    load.run_for(2_000);
    for id in slow {
        let starts = load.starts_on(&BTreeSet::from([id.clone()]), since);
        // Its share is one start every second.
        assert!(starts >= 1, "{id} got {starts} tasks in 2 s");
    }
}

#[test]
fn nobody_is_suspected_when_all_workers_are_slow_at_once() {
    for factor in [4, 8] {
        let mut load = SteadyLoad::learned(parts());
        load.fleet.set_behaviours(Behaviour::Slow { factor });
        load.run_for(4_000);
        assert_eq!(load.ejected(), BTreeSet::new(), "factor {factor}");
    }
}

#[test]
fn nobody_is_suspected_when_all_tasks_turn_long() {
    let mut load = SteadyLoad::learned(parts());
    load.fleet.task_duration_ms = Some(7 * TASK_MS);
    load.run_for(8_000);
    assert_eq!(load.ejected(), BTreeSet::new());
}

#[test]
fn nobody_is_suspected_while_the_owner_is_late() {
    let mut load = SteadyLoad::learned(parts());
    let mut processor = Processor::new(Duration::from_micros(100), load.fleet.now);
    processor.reports_lag = true;
    load.fleet.processor = Some(processor);
    // The owner stands still again and again, so that it handles starts and ends up to a second late.
    for standstill_ms in [3, 6, 12, 3, 6, 12] {
        load.fleet.processor.as_mut().unwrap().event_cost = Duration::from_millis(standstill_ms);
        load.run_for(1_000);
        load.fleet.processor.as_mut().unwrap().event_cost = Duration::from_micros(100);
        load.run_for(1_500);
    }
    assert_eq!(load.ejected(), BTreeSet::new());
}

#[test]
fn one_long_task_puts_no_worker_on_probation() {
    let mut load = SteadyLoad::learned(parts());
    load.fleet.submit(9_000, job(vec![StepSpec { estimate_ms: 7 * TASK_MS, ..step(1) }]));
    load.run_for(8_000);
    assert_eq!(load.put_in_state("probation"), Vec::<String>::new());
}

#[test]
fn job_whose_tasks_fail_everywhere_ejects_nobody() {
    let mut load = SteadyLoad::learned(parts());
    let since = load.fleet.now;
    load.fleet.failing_jobs.insert(JobId(9_000));
    load.fleet.submit(9_000, job(vec![step(WORKERS * 3)]));
    load.fleet.advance_ms(3_000);
    assert_eq!(load.fleet.final_state(9_000), Some(JobState::Failed));
    assert_eq!(load.put_in_state("probation"), Vec::<String>::new());
    let quarantined = load.fleet.log_entries.iter().filter(|(at, entry)| {
        let is_quarantine =
            matches!(entry, LogEntry::Worker { state: "quarantined: its runs fail", .. });
        *at >= since && is_quarantine
    });
    assert_eq!(quarantined.count(), 0, "workers quarantined for the fault of a job");
}

#[test]
fn workers_that_fail_everything_are_quarantined_although_wide_jobs_meet_several() {
    let mut load = SteadyLoad::learned(parts());
    let failing = load.set_tenth(Behaviour::Failing);
    let since = load.fleet.now;
    for id in 9_000..9_006 {
        load.fleet.submit(id, job(vec![step(WORKERS)]));
        load.fleet.advance_ms(500);
    }
    let quarantined = load.fleet.log_entries.iter().filter_map(|(at, entry)| match entry {
        LogEntry::Worker { worker, state: "quarantined: its runs fail", .. } if *at >= since => {
            Some(worker.to_string())
        }
        _ => None,
    });
    assert_eq!(quarantined.collect::<BTreeSet<_>>(), failing);
}

#[test]
fn new_owner_finds_slow_workers_itself() {
    let mut load = SteadyLoad::learned(parts());
    let slow = load.set_tenth(Behaviour::Slow { factor: 8 });
    load.run_for(3_000);
    load.fleet.take_over(2, true);
    let taken_over = load.fleet.now;
    // Lengths are learned from eight completed runs, then runs on slow workers show.
    load.run_for(6_000);
    let on_probation = load.fleet.log_entries.iter().filter_map(|(at, entry)| match entry {
        LogEntry::WorkerHealth { worker, state: "probation", .. } if *at > taken_over => {
            Some(worker.to_string())
        }
        _ => None,
    });
    let on_probation = on_probation.collect::<BTreeSet<_>>();
    assert!(on_probation.is_subset(&slow) && !on_probation.is_empty(), "{on_probation:?}");
    load.fleet.advance_ms(20_000);
    for (id, _) in &load.submitted {
        assert_eq!(load.fleet.state(*id), Some(JobState::Completed), "job {id}");
    }
}

#[test]
fn copy_of_a_straggler_goes_to_no_slow_worker() {
    let mut load = SteadyLoad::learned(parts());
    let slow = load.set_tenth(Behaviour::Slow { factor: 8 });
    load.run_for(4_000);
    load.fleet.advance_ms(2_000);
    // Only the slow workers have room left.
    let whole_worker = Resources::new(4_000, 512, 0);
    let sound_workers = WORKERS - slow.len() as u32;
    let long_running = StepSpec { long_running: true, size: whole_worker, ..step(sound_workers) };
    load.fleet.submit(9_000, job(vec![long_running]));
    load.fleet.advance_ms(500);
    load.fleet.submit(9_001, job(vec![StepSpec { copies_allowed: true, ..step(2) }]));
    load.fleet.advance_ms(6_000);
    let starts = load.fleet.starts.iter().filter(|(_, name, ..)| name.job == JobId(9_001));
    let starts = starts.collect::<Vec<_>>();
    let mut started = BTreeSet::<TaskName>::new();
    assert!(!starts.is_empty(), "a task runs on a slow worker");
    for (at, name, _, worker) in starts {
        assert!(slow.contains(worker), "{name} on {worker}");
        assert!(started.insert(*name), "{name} was copied to {worker} at {at}");
    }
}

/// Returns the starts under a load of which no worker is slow.
fn starts_of_sound_fleet(parts: LoadParts) -> Vec<(Time, TaskName, u32, String)> {
    let mut load = SteadyLoad::new(parts);
    load.run_for(8_000);
    load.fleet.submit(9_000, job(vec![StepSpec { long_running: true, ..step(20) }]));
    let size = Resources::new(500, 256, 0);
    load.fleet.submit(9_001, job(vec![StepSpec { best_effort: true, size, ..step(20) }]));
    load.run_for(4_000);
    load.fleet.starts
}

#[test]
fn sound_workers_get_the_same_tasks_with_and_without_the_parts() {
    assert_eq!(starts_of_sound_fleet(parts()), starts_of_sound_fleet(LoadParts::default()));
}

#[test]
fn nothing_is_judged_without_the_part() {
    let mut load = SteadyLoad::learned(LoadParts::default());
    load.set_tenth(Behaviour::Slow { factor: 8 });
    load.run_for(6_000);
    assert_eq!(load.ejected(), BTreeSet::new());
    assert_eq!(load.put_in_state("sound"), Vec::<String>::new());
}
