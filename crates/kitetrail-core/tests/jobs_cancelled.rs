//! Jobs that are cancelled, and starts of their tasks that are carried out late or were sent by an
//! owner that was removed.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::time::Duration;

use fleet::{Mood, World, job, step, task};
use kitetrail_core::jobs::{JobState, StepSpec};

/// How long after a cancel, or a late start after one, a task may run on, in milliseconds.
const GONE_WITHIN_MS: u64 = 3_000;

/// A step of tasks that take far longer than any test.
fn long(count: u32) -> StepSpec {
    StepSpec { lasts: true, ..step(count) }
}

/// One worker on the way to which a start is, and which nothing else reaches: no higher token voids
/// the start.
fn start_under_way(late_ms: u64) -> World {
    let mut world = World::new(1);
    world.worker("w0").mood = Mood::Delayed;
    world.worker("w0").late_by = Duration::from_millis(late_ms);
    world.submit(1, job(vec![long(1)]));
    world.run_ms(50);
    world
}

#[test]
fn a_start_carried_out_after_its_job_was_cancelled_is_stopped() {
    let mut world = start_under_way(1_500);
    world.cancel(1);
    world.run_until("it starts late", |world| !world.starts.is_empty());
    assert_eq!(world.state(1), Some(JobState::Cancelled));
    world.worker("w0").mood = Mood::Well;
    world.run_ms(GONE_WITHIN_MS);
    assert!(world.where_runs(task(1, 0, 0)).is_empty(), "it runs on");
}

#[test]
fn a_start_that_is_voided_in_time_never_happens() {
    let mut world = start_under_way(2_500);
    world.cancel(1);
    // The worker is heard under a raised token before the start is carried out.
    world.worker("w0").mood = Mood::Well;
    world.run_ms(6_000);
    assert!(world.starts.is_empty(), "it was started though its job was cancelled");
}

#[test]
fn a_stop_that_is_not_answered_is_sent_again() {
    let mut world = start_under_way(1_500);
    world.cancel(1);
    world.run_until("it starts late", |world| !world.starts.is_empty());
    world.worker("w0").mood = Mood::Unstoppable;
    world.run_ms(1_000);
    assert_eq!(world.where_runs(task(1, 0, 0)), ["w0"], "the stops are lost");
    world.worker("w0").mood = Mood::Well;
    world.run_ms(GONE_WITHIN_MS);
    assert!(world.where_runs(task(1, 0, 0)).is_empty(), "it runs on");
}

#[test]
fn a_start_of_a_removed_owner_is_stopped_by_the_next_one() {
    // The job ends before the takeover, so the next owner knows of it that it ended; or after it.
    for cancelled_first in [true, false] {
        let mut world = start_under_way(1_500);
        if cancelled_first {
            world.cancel(1);
            world.run_ms(50);
        }
        world.take_over(2, true);
        if !cancelled_first {
            world.cancel(1);
        }
        world.run_until("it starts late", |world| !world.starts.is_empty());
        world.worker("w0").mood = Mood::Well;
        world.run_ms(GONE_WITHIN_MS);
        let runs = world.where_runs(task(1, 0, 0));
        assert!(runs.is_empty(), "it runs on, cancelled before the takeover: {cancelled_first}");
        assert_eq!(world.state(1), Some(JobState::Cancelled));
    }
}

#[test]
fn a_start_of_a_removed_owner_is_void_once_the_next_one_was_heard() {
    let mut world = start_under_way(2_500);
    world.cancel(1);
    world.run_ms(50);
    world.take_over(2, true);
    // It answers the next owner while it is idle, and is then asked only every few seconds.
    world.worker("w0").mood = Mood::Well;
    world.run_ms(8_000);
    assert!(world.starts.is_empty(), "a removed owner's start was carried out");
}

#[test]
fn a_task_of_an_ended_job_that_an_owner_finds_is_stopped_though_stops_are_lost() {
    let mut world = World::new(1);
    world.submit(1, job(vec![long(1)]));
    world.run_until("it runs", |world| !world.starts.is_empty());
    world.worker("w0").mood = Mood::Cut;
    world.cancel(1);
    world.run_ms(50);
    world.take_over(2, true);
    world.worker("w0").mood = Mood::Unstoppable;
    world.run_ms(1_000);
    assert_eq!(world.where_runs(task(1, 0, 0)), ["w0"], "the stops are lost");
    world.worker("w0").mood = Mood::Well;
    world.run_ms(GONE_WITHIN_MS);
    assert!(world.where_runs(task(1, 0, 0)).is_empty(), "it runs on");
}

#[test]
fn a_start_carried_out_late_does_not_run_a_task_that_is_done_again() {
    // Within the lease that the start brought, and after it. The world panics if it runs twice.
    for late_ms in [2_500, 6_000] {
        let mut world = World::new(2);
        world.work_ms = Some(500);
        world.set_moods(Mood::Late);
        for worker in world.workers.values_mut() {
            worker.late_by = Duration::from_millis(late_ms);
        }
        world.submit(1, job(vec![step(1)]));
        world.run_ms(50);
        world.set_moods(Mood::Well);
        world.run_until("it completes", |world| world.state(1) == Some(JobState::Completed));
        world.run_ms(8_000);
        assert_eq!(world.starts.len(), 1, "late by {late_ms} ms");
    }
}

#[test]
fn a_task_whose_start_was_not_answered_waits_until_the_start_would_come_too_late() {
    // The start reaches its worker before the lease that it brought is over, or after it.
    for (late_ms, starts) in [(3_000, 2), (8_000, 1)] {
        let mut world = World::new(2);
        world.work_ms = Some(500);
        world.set_moods(Mood::Delayed);
        for worker in world.workers.values_mut() {
            worker.late_by = Duration::from_millis(late_ms);
        }
        world.submit(1, job(vec![step(1)]));
        world.run_ms(50);
        // The worker that has the start stays cut off. The world panics if the task runs twice.
        let late = world.workers.iter().find(|(_, worker)| worker.has_late_orders());
        let late = late.map(|(id, _)| id.clone()).unwrap();
        world.set_moods(Mood::Well);
        world.worker(&late).mood = Mood::Cut;
        world.run_until("it completes", |world| world.state(1) == Some(JobState::Completed));
        let completed_at = world.now;
        world.run_ms(10_000);
        assert_eq!(world.starts.len(), starts, "late by {late_ms} ms");
        let last = world.starts.last().unwrap().0;
        assert!(last < completed_at, "it ran again after its end was kept");
    }
}
