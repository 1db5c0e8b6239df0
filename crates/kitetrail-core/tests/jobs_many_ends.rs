//! Workers at which more ends wait than they list at once, on virtual time.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::time::Duration;

use fleet::{Behaviour, SimulatedFleet, job, step, task};
use kitetrail_core::{
    Resources,
    jobs::{Event, JobState, LogEntry, StepSpec},
};

/// The number of tasks: several times as many as four workers list in one report each.
const TASKS: u32 = 4_000;

/// Returns a fleet of four workers that runs a job of short tasks, after some of them are done.
fn fleet_with_short_tasks() -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(4);
    let short = StepSpec { size: Resources::new(50, 1, 0), estimate_ms: 100, ..step(TASKS) };
    fleet.submit(1, job(vec![short]));
    fleet.advance_until("some tasks are done", |fleet| completed(fleet) > 100);
    fleet
}

/// Returns the number of tasks that workers completed.
fn completed(fleet: &SimulatedFleet) -> usize {
    fleet.workers.values().map(|worker| worker.completed.len()).sum()
}

fn complete_with_one_start_per_task(fleet: &mut SimulatedFleet) {
    fleet.advance_until("the job is done", |fleet| fleet.state(1) == Some(JobState::Completed));
    assert_eq!(fleet.starts.len(), TASKS as usize, "each task is started once");
}

/// Guards against runs that were taken for lost because their ends were not among the first 500.
#[test]
fn tasks_whose_ends_are_not_listed_yet_do_not_run_again() {
    let mut fleet = fleet_with_short_tasks();
    fleet.store_down = true;
    fleet.advance_until("more ends wait than a worker lists", |fleet| {
        fleet.workers.values().all(|worker| worker.ended.len() > 520)
    });
    fleet.advance_ms(2_000);
    fleet.store_down = false;
    complete_with_one_start_per_task(&mut fleet);
}

#[test]
fn new_owner_waits_for_ends_that_are_not_listed_yet() {
    let mut fleet = fleet_with_short_tasks();
    fleet.store_down = true;
    fleet.advance_until("more ends wait than a worker lists", |fleet| {
        fleet.workers.values().all(|worker| worker.ended.len() > 520)
    });
    fleet.store_down = false;
    fleet.take_over(2, true);
    complete_with_one_start_per_task(&mut fleet);
}

#[test]
fn ends_that_are_not_listed_yet_outlast_several_owners() {
    let mut fleet = fleet_with_short_tasks();
    fleet.store_down = true;
    fleet.advance_until("more ends wait than a worker lists", |fleet| {
        fleet.workers.values().all(|worker| worker.ended.len() > 520)
    });
    fleet.store_down = false;
    for epoch in 2..8 {
        fleet.take_over(epoch, epoch % 2 == 0);
        fleet.advance_ms(150);
    }
    complete_with_one_start_per_task(&mut fleet);
}

/// Guards against pauses between polls that hold inherited jobs up for longer than 3 s, although their worker has room.
#[test]
fn new_owner_learns_of_thousands_of_ends_within_seconds() {
    let mut fleet = SimulatedFleet::new(1);
    fleet.order_answer_delay = Duration::from_millis(10);
    let small = StepSpec { size: Resources::new(1, 1, 0), estimate_ms: 60_000, ..step(TASKS) };
    fleet.submit(1, job(vec![small]));
    // All tasks end at the same time, in an outage that the owner's leases outlast.
    let end_at = fleet.now + Duration::from_secs(60);
    while fleet.starts.len() < TASKS as usize {
        fleet.task_duration_ms = Some(end_at.since(fleet.now).as_millis() as u64);
        fleet.advance_ms(10);
    }
    fleet.advance_ms(end_at.since(fleet.now).as_millis() as u64 - 1_000);
    fleet.store_down = true;
    fleet.advance_until("all tasks have ended", |fleet| completed(fleet) == TASKS as usize);
    fleet.store_down = false;
    fleet.take_over(2, true);
    let taken_over_at = fleet.now;
    fleet.advance_until("the job is done", |fleet| fleet.state(1) == Some(JobState::Completed));
    assert_eq!(fleet.starts.len(), TASKS as usize);
    let took = fleet.now.since(taken_over_at);
    assert!(took.as_millis() <= 3_000, "it took {took:?} to learn of {TASKS} ends");
}

#[test]
fn worker_with_ends_that_are_not_listed_is_not_taken_for_hung() {
    let mut fleet = fleet_with_short_tasks();
    fleet.store_down = true;
    fleet.advance_until("more ends wait than a worker lists", |fleet| {
        fleet.workers.values().all(|worker| worker.ended.len() > 520)
    });
    fleet.advance_ms(4_000);
    let is_quarantined = |entry: &LogEntry| matches!(entry, LogEntry::Worker { state, .. } if state.starts_with("quarantined"));
    assert!(!fleet.log_entries.iter().any(|(_, entry)| is_quarantined(entry)));
}

#[test]
fn lease_renewed_on_a_worker_with_unlisted_ends_outlasts_the_stop_of_earlier_owners() {
    // The fleet panics if the task runs twice at the same time.
    let mut fleet = SimulatedFleet::new(4);
    fleet.submit(2, job(vec![StepSpec { estimate_ms: 60_000, ..step(1) }]));
    let short = StepSpec { size: Resources::new(50, 1, 0), estimate_ms: 100, ..step(TASKS) };
    fleet.submit(1, job(vec![short]));
    fleet.advance_until("some tasks are done", |fleet| completed(fleet) > 100);
    fleet.store_down = true;
    fleet.advance_until("more ends wait than a worker lists", |fleet| {
        fleet.workers.values().all(|worker| worker.ended.len() > 520)
    });
    fleet.take_over(2, false);
    let taken_over_at = fleet.now;
    fleet.advance_ms(3_500);
    let long = task(2, 0, 0);
    let silent = fleet.worker_of(long);
    fleet.worker(&silent).behaviour = Behaviour::Partitioned;
    // The owner notices the silence, after it has renewed the lease.
    fleet.advance_ms(1_200);
    fleet.send_event(Event::EarlierOwnersStopped { at: taken_over_at });
    fleet.store_down = false;
    fleet.advance_ms(1_500);
    assert_eq!(fleet.workers_running(long), [silent.as_str()], "its lease was renewed");
    fleet.worker(&silent).behaviour = Behaviour::Healthy;
    fleet.advance_until("the short job is done", |fleet| {
        fleet.state(1) == Some(JobState::Completed)
    });
    assert_eq!(fleet.starts.len(), TASKS as usize + 1);
}
