//! Workers whose entries disappear from the list: workers that leave without notice, and entries
//! that expired during a store outage.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::time::Duration;

use fleet::{Behaviour, FakeWorker, SimulatedFleet, job, step, task};
use kitetrail_core::jobs::{Event, JobId, JobState, LogEntry, StepSpec, WorkerListChange};

/// The minimum time that a worker keeps running after its entry is gone, in milliseconds.
const DRAIN_MS: u64 = 2_000;

/// Returns a step of long-running tasks, one per worker.
fn long_running_step(count: u32) -> StepSpec {
    StepSpec { long_running: true, max_per_worker: Some(1), ..step(count) }
}

/// Creates a fleet on which a job of one step runs, and returns it with the worker of task 0.
fn fleet_running(workers: u32, step: StepSpec) -> (SimulatedFleet, String) {
    let mut fleet = SimulatedFleet::new(workers);
    fleet.task_duration_ms = Some(20_000);
    let count = step.count as usize;
    fleet.submit(1, job(vec![step]));
    fleet.advance_until("all tasks run", |fleet| fleet.starts.len() == count);
    // Long enough for the reports that the tasks are working.
    fleet.advance_ms(2_500);
    let worker_id = fleet.worker_of(task(1, 0, 0));
    (fleet, worker_id)
}

#[test]
fn long_running_tasks_move_off_a_worker_that_left_without_notice() {
    let (mut fleet, worker_id) = fleet_running(2, long_running_step(1));
    fleet.report_withdrawn(&worker_id);
    fleet.advance_ms(DRAIN_MS / 2);
    assert_ne!(
        fleet.workers_running(task(1, 0, 0)),
        [worker_id.as_str()],
        "the task would be lost with its worker"
    );
    assert_eq!(fleet.starts.len(), 2);
}

#[test]
fn tasks_that_save_progress_move_off_a_worker_that_left_without_notice() {
    let (mut fleet, worker_id) = fleet_running(2, StepSpec { keeps_progress: true, ..step(1) });
    fleet.report_withdrawn(&worker_id);
    fleet.advance_ms(DRAIN_MS / 2);
    assert_ne!(
        fleet.workers_running(task(1, 0, 0)),
        [worker_id.as_str()],
        "the task would be lost with its worker"
    );
}

#[test]
fn tasks_stay_while_the_entry_may_have_expired_in_a_store_outage() {
    let (mut fleet, worker_id) = fleet_running(2, long_running_step(1));
    fleet.report_store_outage();
    fleet.report_expired(&worker_id);
    // The store is unavailable for a while, then available for less than two seconds.
    for _ in 0..30 {
        fleet.advance_ms(100);
        fleet.report_store_outage();
    }
    fleet.advance_ms(1_900);
    fleet.report_relisted(&worker_id);
    fleet.advance_ms(10_000);
    assert_eq!(fleet.workers_running(task(1, 0, 0)), [worker_id.as_str()]);
    assert_eq!(fleet.starts.len(), 1, "the entry returned, so the task stays");
}

#[test]
fn tasks_stay_if_the_entry_disappears_shortly_after_a_store_outage() {
    let (mut fleet, worker_id) = fleet_running(2, long_running_step(1));
    fleet.report_store_outage();
    fleet.advance_ms(300);
    fleet.report_expired(&worker_id);
    fleet.advance_ms(1_500);
    assert_eq!(fleet.starts.len(), 1, "the worker may be alive");
}

#[test]
fn tasks_move_off_a_worker_still_missing_two_seconds_after_the_store_returns() {
    let (mut fleet, worker_id) = fleet_running(2, long_running_step(1));
    fleet.report_store_outage();
    fleet.report_expired(&worker_id);
    fleet.advance_ms(3_500);
    assert_ne!(fleet.workers_running(task(1, 0, 0)), [worker_id.as_str()]);
    assert_eq!(fleet.starts.len(), 2);
}

#[test]
fn a_store_outage_after_an_entry_disappeared_does_not_keep_tasks_in_place() {
    let (mut fleet, worker_id) = fleet_running(3, long_running_step(1));
    fleet.report_withdrawn(&worker_id);
    fleet.advance_ms(50);
    fleet.report_store_outage();
    fleet.advance_ms(DRAIN_MS / 2);
    assert_ne!(
        fleet.workers_running(task(1, 0, 0)),
        [worker_id.as_str()],
        "the entry disappeared while the store was available"
    );
}

#[test]
fn no_more_tasks_of_a_step_are_moved_at_once_than_may_be_missing() {
    for max_unavailable in [1, 2] {
        let (mut fleet, _) = fleet_running(
            8,
            StepSpec { max_unavailable: Some(max_unavailable), ..long_running_step(4) },
        );
        let worker_ids = (0..4).map(|index| fleet.worker_of(task(1, 0, index))).collect::<Vec<_>>();
        for worker in &worker_ids {
            fleet.report_withdrawn(worker);
        }
        for _ in 0..600 {
            fleet.advance_ms(10);
            let working = fleet.workers.values().flat_map(|worker| worker.running.values());
            let working = working.filter(|running| running.done_ms >= 300).count() as u32;
            assert!(
                working + max_unavailable >= 4,
                "{working} are working, {max_unavailable} may be missing"
            );
        }
        assert_eq!(fleet.starts.len(), 8, "all tasks are moved eventually");
    }
}

#[test]
fn no_task_is_moved_while_others_of_its_step_are_missing() {
    let (mut fleet, worker_id) =
        fleet_running(3, StepSpec { max_unavailable: Some(1), ..long_running_step(2) });
    let other = fleet.worker_of(task(1, 0, 1));
    fleet.worker(&other).behaviour = Behaviour::Partitioned;
    // By now the worker is silent, but its lease has not expired.
    fleet.advance_ms(2_000);
    fleet.report_withdrawn(&worker_id);
    fleet.advance_ms(1_000);
    assert_eq!(
        fleet.workers_running(task(1, 0, 0)),
        [worker_id.as_str()],
        "the other task is missing"
    );
    assert_eq!(fleet.starts.len(), 2);
}

#[test]
fn a_worker_that_is_listed_again_keeps_its_remaining_tasks() {
    let (mut fleet, worker_id) =
        fleet_running(1, StepSpec { max_per_worker: None, ..long_running_step(1) });
    // There is no room elsewhere, so nothing is moved before the entry returns.
    fleet.report_withdrawn(&worker_id);
    fleet.advance_ms(1_000);
    fleet.report_relisted(&worker_id);
    fleet.workers.insert("w9".to_owned(), FakeWorker::new(9));
    fleet.report_all_listed();
    fleet.advance_ms(3_000);
    assert_eq!(fleet.workers_running(task(1, 0, 0)), [worker_id.as_str()]);
    assert_eq!(fleet.starts.len(), 1);
}

#[test]
fn a_new_owner_moves_tasks_off_workers_missing_from_the_complete_list() {
    let (mut fleet, worker_id) = fleet_running(2, long_running_step(1));
    fleet.worker(&worker_id).unlisted = true;
    fleet.take_over(2, true);
    fleet.advance_ms(1_000);
    assert_eq!(
        fleet.workers_running(task(1, 0, 0)),
        [worker_id.as_str()],
        "the list was not read completely yet"
    );
    fleet.send_event(Event::WorkerListChanged(vec![WorkerListChange::Complete]));
    fleet.advance_ms(DRAIN_MS / 2);
    assert_ne!(fleet.workers_running(task(1, 0, 0)), [worker_id.as_str()]);
}

#[test]
fn a_new_owner_gives_workers_time_to_return_after_a_store_outage() {
    let (mut fleet, worker_id) = fleet_running(2, long_running_step(1));
    fleet.worker(&worker_id).unlisted = true;
    fleet.take_over(2, true);
    fleet.report_store_outage();
    fleet.send_event(Event::WorkerListChanged(vec![WorkerListChange::Complete]));
    fleet.advance_ms(1_900);
    fleet.report_relisted(&worker_id);
    fleet.advance_ms(5_000);
    assert_eq!(fleet.starts.len(), 1, "the entry returned, so the task stays");
}

#[test]
fn a_worker_that_answers_but_cannot_reach_the_store_keeps_its_tasks() {
    let (mut fleet, worker_id) = fleet_running(2, long_running_step(1));
    fleet.report_store_outage();
    // The store outage ended before the last heartbeat.
    fleet.advance_ms(5_000);
    fleet.report_expired(&worker_id);
    fleet.advance_ms(20_000);
    assert_eq!(fleet.starts.len(), 1, "the worker keeps running");
    fleet.submit(2, job(vec![step(4)]));
    fleet.advance_until("the other job completes", |fleet| {
        fleet.state(2) == Some(JobState::Completed)
    });
    let new = fleet.starts.iter().filter(|(_, task, ..)| task.job == JobId(2));
    assert!(new.into_iter().all(|(.., worker)| *worker != worker_id), "the worker gets new work");
    fleet.report_relisted(&worker_id);
    fleet.advance_ms(1_000);
    assert_eq!(fleet.workers_running(task(1, 0, 0)), [worker_id.as_str()]);
}

#[test]
fn tasks_stay_for_a_while_if_an_entry_is_withdrawn_during_a_store_outage() {
    let (mut fleet, worker_id) = fleet_running(2, long_running_step(1));
    fleet.report_store_outage();
    fleet.report_withdrawn(&worker_id);
    fleet.advance_ms(1_900);
    assert_eq!(fleet.starts.len(), 1);
    fleet.advance_ms(1_500);
    assert_eq!(fleet.starts.len(), 2, "the worker left");
}

/// Returns whether the scheduler has ended an instance of a worker.
fn has_ended(fleet: &SimulatedFleet, id: &str) -> bool {
    fleet.log_entries.iter().any(|(_, entry)| {
        matches!(entry, LogEntry::Worker { worker, state, .. }
            if worker.as_str() == id && state.starts_with("gone"))
    })
}

#[test]
fn a_worker_listed_again_right_after_its_instance_ended_keeps_its_row() {
    // The fleet panics if a worker in use has no row.
    for relisted_after_ms in (0..400).step_by(20) {
        let (mut fleet, id) = fleet_running(3, long_running_step(2));
        fleet.task_duration_ms = Some(100);
        fleet.store_latency = Duration::from_millis(150);
        fleet.worker(&id).behaviour = Behaviour::Partitioned;
        fleet.report_expired(&id);
        for job_id in 2.. {
            if has_ended(&fleet, &id) {
                break;
            }
            // A batch is always in flight, so that the removal of the row has to wait.
            fleet.submit(job_id, job(vec![step(1)]));
            fleet.advance_ms(20);
        }
        fleet.advance_ms(relisted_after_ms);
        fleet.worker(&id).behaviour = Behaviour::Healthy;
        fleet.report_relisted(&id);
        fleet.submit(1_000, job(vec![StepSpec { max_per_worker: Some(1), ..step(3) }]));
        fleet.advance_until("all workers are used", |fleet| {
            fleet.starts.iter().filter(|(_, task, ..)| task.job == JobId(1_000)).count() == 3
        });
        fleet.take_over(2, true);
        fleet.advance_ms(10_000);
    }
}
