//! Cancelled jobs, and starts of tasks that workers carry out late or that a removed owner sent.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::time::Duration;

use fleet::{Behaviour, SimulatedFleet, job, step, task};
use kitetrail_core::jobs::{JobState, StepSpec};

/// The time by which a task must have stopped after a cancellation, or after a later start, in
/// milliseconds.
const STOPPED_WITHIN_MS: u64 = 3_000;

/// Returns a step whose tasks run far longer than any test.
fn long_running_step(count: u32) -> StepSpec {
    StepSpec { long_running: true, ..step(count) }
}

/// Returns a fleet of one worker with a delayed start in transit. No other message reaches
/// the worker, so that no higher token invalidates the start.
fn fleet_with_delayed_start(late_ms: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(1);
    fleet.worker("w0").behaviour = Behaviour::PartitionedAfterStart;
    fleet.worker("w0").order_delay = Duration::from_millis(late_ms);
    fleet.submit(1, job(vec![long_running_step(1)]));
    fleet.advance_ms(50);
    fleet
}

#[test]
fn late_start_of_a_cancelled_job_is_stopped() {
    let mut fleet = fleet_with_delayed_start(1_500);
    fleet.cancel(1);
    fleet.advance_until("the late start is carried out", |fleet| !fleet.starts.is_empty());
    assert_eq!(fleet.state(1), Some(JobState::Cancelled));
    fleet.worker("w0").behaviour = Behaviour::Healthy;
    fleet.advance_ms(STOPPED_WITHIN_MS);
    assert!(fleet.workers_running(task(1, 0, 0)).is_empty(), "the task still runs");
}

#[test]
fn start_is_not_carried_out_after_the_token_was_raised() {
    let mut fleet = fleet_with_delayed_start(2_500);
    fleet.cancel(1);
    // The worker sees a higher token before it would carry out the start.
    fleet.worker("w0").behaviour = Behaviour::Healthy;
    fleet.advance_ms(6_000);
    assert!(fleet.starts.is_empty(), "the task was started although its job was cancelled");
}

#[test]
fn unanswered_stop_is_sent_again() {
    let mut fleet = fleet_with_delayed_start(1_500);
    fleet.cancel(1);
    fleet.advance_until("the late start is carried out", |fleet| !fleet.starts.is_empty());
    fleet.worker("w0").behaviour = Behaviour::IgnoresStops;
    fleet.advance_ms(1_000);
    assert_eq!(
        fleet.workers_running(task(1, 0, 0)),
        ["w0"],
        "the stop was carried out although stops are lost"
    );
    fleet.worker("w0").behaviour = Behaviour::Healthy;
    fleet.advance_ms(STOPPED_WITHIN_MS);
    assert!(fleet.workers_running(task(1, 0, 0)).is_empty(), "the task still runs");
}

#[test]
fn late_start_of_a_removed_owner_is_stopped_by_the_next_owner() {
    // The job is cancelled before the takeover, so that the next owner finds it ended in the store,
    // or after the takeover.
    for cancelled_first in [true, false] {
        let mut fleet = fleet_with_delayed_start(1_500);
        if cancelled_first {
            fleet.cancel(1);
            fleet.advance_ms(50);
        }
        fleet.take_over(2, true);
        if !cancelled_first {
            fleet.cancel(1);
        }
        fleet.advance_until("the late start is carried out", |fleet| !fleet.starts.is_empty());
        fleet.worker("w0").behaviour = Behaviour::Healthy;
        fleet.advance_ms(STOPPED_WITHIN_MS);
        let runs = fleet.workers_running(task(1, 0, 0));
        assert!(
            runs.is_empty(),
            "the task still runs, cancelled before the takeover: {cancelled_first}"
        );
        assert_eq!(fleet.state(1), Some(JobState::Cancelled));
    }
}

#[test]
fn late_start_of_a_removed_owner_is_void_after_the_worker_answered_the_next_owner() {
    let mut fleet = fleet_with_delayed_start(2_500);
    fleet.cancel(1);
    fleet.advance_ms(50);
    fleet.take_over(2, true);
    // The worker answers the next owner while it is idle. After that it gets a poll only every few
    // seconds.
    fleet.worker("w0").behaviour = Behaviour::Healthy;
    fleet.advance_ms(8_000);
    assert!(fleet.starts.is_empty(), "the start of a removed owner was carried out");
}

#[test]
fn running_task_of_an_ended_job_is_stopped_by_a_new_owner_even_if_stops_are_lost() {
    let mut fleet = SimulatedFleet::new(1);
    fleet.submit(1, job(vec![long_running_step(1)]));
    fleet.advance_until("the task runs", |fleet| !fleet.starts.is_empty());
    fleet.worker("w0").behaviour = Behaviour::Partitioned;
    fleet.cancel(1);
    fleet.advance_ms(50);
    fleet.take_over(2, true);
    fleet.worker("w0").behaviour = Behaviour::IgnoresStops;
    fleet.advance_ms(1_000);
    assert_eq!(
        fleet.workers_running(task(1, 0, 0)),
        ["w0"],
        "the stop was carried out although stops are lost"
    );
    fleet.worker("w0").behaviour = Behaviour::Healthy;
    fleet.advance_ms(STOPPED_WITHIN_MS);
    assert!(fleet.workers_running(task(1, 0, 0)).is_empty(), "the task still runs");
}

#[test]
fn late_start_does_not_run_a_done_task_again() {
    // The start is carried out within its lease, or after the lease. The simulated fleet panics if
    // two runs overlap.
    for late_ms in [2_500, 6_000] {
        let mut fleet = SimulatedFleet::new(2);
        fleet.task_duration_ms = Some(500);
        fleet.set_behaviours(Behaviour::AnswersStartsLate);
        for worker in fleet.workers.values_mut() {
            worker.order_delay = Duration::from_millis(late_ms);
        }
        fleet.submit(1, job(vec![step(1)]));
        fleet.advance_ms(50);
        fleet.set_behaviours(Behaviour::Healthy);
        fleet.advance_until("the job completes", |fleet| {
            fleet.state(1) == Some(JobState::Completed)
        });
        fleet.advance_ms(8_000);
        assert_eq!(fleet.starts.len(), 1, "start late by {late_ms} ms");
    }
}

#[test]
fn task_with_an_unanswered_start_waits_until_the_start_can_no_longer_be_carried_out() {
    // The start reaches its worker before its lease has expired, or after that.
    for (late_ms, starts) in [(3_000, 2), (8_000, 1)] {
        let mut fleet = SimulatedFleet::new(2);
        fleet.task_duration_ms = Some(500);
        fleet.set_behaviours(Behaviour::PartitionedAfterStart);
        for worker in fleet.workers.values_mut() {
            worker.order_delay = Duration::from_millis(late_ms);
        }
        fleet.submit(1, job(vec![step(1)]));
        fleet.advance_ms(50);
        // The worker with the late start stays cut off. The simulated fleet panics if two runs
        // overlap.
        let late_worker = fleet.workers.iter().find(|(_, worker)| worker.has_deferred_orders());
        let late_worker = late_worker.map(|(id, _)| id.clone()).unwrap();
        fleet.set_behaviours(Behaviour::Healthy);
        fleet.worker(&late_worker).behaviour = Behaviour::Partitioned;
        fleet.advance_until("the job completes", |fleet| {
            fleet.state(1) == Some(JobState::Completed)
        });
        let completed_at = fleet.now;
        fleet.advance_ms(10_000);
        assert_eq!(fleet.starts.len(), starts, "start late by {late_ms} ms");
        let last = fleet.starts.last().unwrap().0;
        assert!(last < completed_at, "the task ran again after its end was stored");
    }
}
