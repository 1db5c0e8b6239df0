//! Tests of learned run lengths: a task without siblings that is slow is moved.

mod fleet;

use fleet::{
    Behaviour, job,
    steady_load::{SteadyLoad, TASK_MS},
    step, task,
};
use kitetrail_core::jobs::{JobState, LoadPart, LoadParts, LogEntry, StepSpec};

fn parts() -> LoadParts {
    [LoadPart::RunLengths].into_iter().collect()
}

/// Returns the jobs of which a task was moved.
fn moved_jobs(load: &SteadyLoad) -> Vec<u64> {
    let moved = load.fleet.log_entries.iter().filter_map(|(_, entry)| match entry {
        LogEntry::RunMoved { task, .. } => Some(task.job.0),
        _ => None,
    });
    moved.collect()
}

/// Creates a load of jobs with one task each, while a tenth of the workers is slow.
fn single_tasks_beside_slow_workers(parts: LoadParts) -> SteadyLoad {
    let mut load = SteadyLoad::new(parts);
    load.spec = StepSpec { estimate_ms: TASK_MS, ..step(1) };
    load.run_for(4_000);
    load.set_tenth(Behaviour::Slow { factor: 8 });
    load.run_for(6_000);
    load.fleet.advance_ms(6_000);
    load
}

#[test]
fn slow_task_without_siblings_is_moved() {
    let load = single_tasks_beside_slow_workers(parts());
    assert!(!moved_jobs(&load).is_empty());
    for (id, at) in &load.submitted {
        let after = load.fleet.completed_after(*id, *at).map(|after| after.as_millis() as u64);
        // It is noticed at the second report after it is overdue, and starts again elsewhere.
        assert!(after.is_some_and(|after| after <= 6 * TASK_MS), "job {id} after {after:?}");
    }
}

#[test]
fn tasks_without_siblings_are_not_judged_without_the_part() {
    let load = single_tasks_beside_slow_workers(LoadParts::default());
    assert_eq!(moved_jobs(&load), Vec::<u64>::new());
}

#[test]
fn tasks_of_usual_length_are_not_moved() {
    let mut load = SteadyLoad::new(parts());
    load.spec = StepSpec { estimate_ms: TASK_MS, ..step(1) };
    load.run_for(8_000);
    assert_eq!(moved_jobs(&load), Vec::<u64>::new());
}

#[test]
fn long_task_is_moved_at_most_twice() {
    let mut load = SteadyLoad::learned(parts());
    load.fleet.submit(9_000, job(vec![StepSpec { estimate_ms: 12 * TASK_MS, ..step(1) }]));
    load.run_for(24_000);
    assert_eq!(load.fleet.final_state(9_000), Some(JobState::Completed));
    let starts = load.fleet.starts.iter().filter(|(_, name, ..)| *name == task(9_000, 0, 0));
    assert!(starts.count() <= 3);
}

#[test]
fn new_owner_moves_nothing_before_it_has_learned() {
    let mut load = SteadyLoad::learned(parts());
    load.fleet.take_over(2, true);
    load.run_for(4_000);
    assert_eq!(moved_jobs(&load), Vec::<u64>::new());
}
