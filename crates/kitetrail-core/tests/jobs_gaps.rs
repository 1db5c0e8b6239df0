//! Room that short tasks need beside long-running ones: the gaps that they can use, and room that they use by turns.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use fleet::{FakeWorker, SimulatedFleet, job, step, task};
use kitetrail_core::{Resources, jobs::StepSpec};

/// Returns a fleet of workers of 16 cores.
fn fleet_of(workers: u32) -> SimulatedFleet {
    SimulatedFleet::with_workers((0..workers).map(|no| {
        let mut worker = FakeWorker::new(no);
        worker.entry.capacity = Resources::new(16_000, 64_000, 0);
        worker
    }))
}

/// Returns a step of long-running tasks that serve users.
fn service(image: &str, millis: u32, count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        tail_target_ms: Some(50),
        image: Some(image.to_owned()),
        size: Resources::new(millis, 512, 0),
        ..step(count)
    }
}

/// Guards against a service that opens the last empty worker, so that no large short task finds room.
#[test]
fn long_running_task_takes_a_gap_that_short_tasks_cannot_use() {
    let mut fleet = fleet_of(10);
    fleet.submit(1, job(vec![service("a", 12_000, 9)]));
    fleet.advance_ms(500);
    fleet.submit(2, job(vec![service("b", 3_000, 3)]));
    fleet.advance_ms(500);
    fleet.submit(3, job(vec![StepSpec { size: Resources::new(16_000, 512, 0), ..step(1) }]));
    fleet.advance_ms(500);
    assert_eq!(fleet.workers_running(task(3, 0, 0)).len(), 1, "the large task waits");
}

/// Guards against room that is free for a moment and then held by a long-running task from then on.
#[test]
fn long_running_task_does_not_take_room_between_two_short_jobs() {
    let mut fleet = fleet_of(4);
    let short = StepSpec { size: Resources::new(8_000, 512, 0), estimate_ms: 800, ..step(8) };
    for id in 0..12 {
        fleet.submit(100 + id, job(vec![short.clone()]));
        fleet.advance_ms(900);
    }
    fleet.submit(1, job(vec![service("a", 4_000, 4)]));
    for id in 12..18 {
        fleet.submit(100 + id, job(vec![short.clone()]));
        fleet.advance_ms(900);
    }
    let held = fleet.workers.values().flat_map(|worker| worker.running.values());
    assert_eq!(
        held.filter(|run| run.is_long_running).count(),
        0,
        "room was never there for longer than 0.1 s"
    );
    fleet.advance_ms(3_500);
    assert_eq!(
        fleet.workers_running(task(1, 0, 3)).len(),
        1,
        "it waits beside room that stays free"
    );
}
