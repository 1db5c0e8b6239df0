//! Tests of workers whose capacity shrinks and grows while they run.
//!
//! A worker reports its capacity in its entry, which may change while it runs. Some workers start
//! whatever they are ordered, so a start that was placed by the old capacity must not be sent once
//! the new one is known.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use fleet::{Behaviour, FakeWorker, SimulatedFleet, job, step, task};
use kitetrail_core::{
    Resources,
    jobs::{JobState, StepSpec},
};

/// Returns the number of cores in use of a worker with four: each task takes one.
fn cores_in_use(fleet: &SimulatedFleet, id: &str) -> usize {
    fleet.workers[id].running.len()
}

#[test]
fn waiting_starts_are_not_sent_to_a_worker_that_shrank() {
    let mut fleet = SimulatedFleet::new(1);
    fleet.task_duration_ms = Some(5_000);
    // The first start is not answered, so the others wait until its outcome is known.
    fleet.worker("w0").behaviour = Behaviour::AnswersStartsLate;
    fleet.submit(1, job(vec![step(4)]));
    fleet.advance_ms(50);
    fleet.worker("w0").behaviour = Behaviour::Healthy;
    fleet.set_cores("w0", 1_000);
    fleet.advance_ms(4_000);
    assert!(cores_in_use(&fleet, "w0") <= 1, "{} tasks on one core", cores_in_use(&fleet, "w0"));
    fleet.set_cores("w0", 4_000);
    fleet.advance_until("the job completes", |fleet| fleet.state(1) == Some(JobState::Completed));
}

#[test]
fn start_waiting_to_be_persisted_is_not_sent_to_a_worker_that_shrank() {
    let mut fleet = SimulatedFleet::new(2);
    let name = task(1, 0, 0);
    fleet.make_crashing(name);
    fleet.submit(1, job(vec![step(1)]));
    fleet.advance_until("the task has crashed a worker", |fleet| fleet.crashes_of(name) == 1);
    fleet.store_latency = Duration::from_millis(400);
    fleet.advance_ms(3_300);
    // The task is placed again, and the store is slow to persist that.
    let before = fleet.starts.len();
    for id in fleet.workers.keys().cloned().collect::<Vec<_>>() {
        fleet.set_cores(&id, 500);
    }
    fleet.advance_ms(2_000);
    assert_eq!(fleet.starts.len(), before, "the task was started on a worker without room for it");
}

#[test]
fn running_tasks_stay_on_a_worker_that_shrank_and_none_is_added() {
    let mut fleet = SimulatedFleet::new(1);
    fleet.task_duration_ms = Some(3_000);
    fleet.submit(1, job(vec![step(4)]));
    fleet.advance_ms(100);
    fleet.set_cores("w0", 2_000);
    fleet.submit(2, job(vec![step(2)]));
    fleet.advance_ms(1_000);
    assert_eq!(
        cores_in_use(&fleet, "w0"),
        4,
        "a running task was stopped, or another one was started"
    );
    fleet.advance_until("both jobs complete", |fleet| fleet.state(2) == Some(JobState::Completed));
    assert_eq!(fleet.state(1), Some(JobState::Completed));
}

#[test]
fn added_capacity_is_used_at_once() {
    let mut fleet = SimulatedFleet::new(1);
    fleet.set_cores("w0", 1_000);
    fleet.advance_ms(100);
    fleet.submit(1, job(vec![step(3)]));
    fleet.advance_ms(200);
    assert_eq!(cores_in_use(&fleet, "w0"), 1);
    fleet.set_cores("w0", 4_000);
    fleet.advance_ms(100);
    assert_eq!(cores_in_use(&fleet, "w0"), 3);
}

#[test]
fn starts_never_exceed_a_fluctuating_capacity() {
    // The simulated fleet panics at a start that exceeds all capacities that the worker has reported within
    // 4.1 s.
    for seed in 0..30 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = SimulatedFleet::with_workers((0..6).map(FakeWorker::new));
        let long_running =
            StepSpec { long_running: true, size: Resources::new(500, 256, 0), ..step(4) };
        fleet.submit(500, job(vec![long_running]));
        for round in 0..60 {
            let id = format!("w{}", rng.random_range(0..6));
            match rng.random_range(0..4) {
                0 => fleet.worker(&id).behaviour = Behaviour::AnswersStartsLate,
                1 => fleet.worker(&id).behaviour = Behaviour::Healthy,
                _ => fleet.set_cores(&id, rng.random_range(0..9) * 500),
            }
            if rng.random_bool(0.5) {
                let steps = vec![StepSpec { keeps_progress: true, ..step(rng.random_range(1..6)) }];
                fleet.submit(1 + round, job(steps));
            }
            if round % 20 == 19 {
                fleet.take_over(2 + round, false);
            }
            fleet.advance_ms(rng.random_range(10..900));
        }
        fleet.set_behaviours(Behaviour::Healthy);
        for worker_no in 0..6 {
            fleet.set_cores(&format!("w{worker_no}"), 4_000);
        }
        fleet.advance_ms(30_000);
        assert_eq!(fleet.state(500), Some(JobState::Running), "seed {seed}");
        let queued = (1..61).filter(|&id| fleet.state(id) == Some(JobState::Queued));
        assert_eq!(queued.collect::<Vec<_>>(), [0; 0], "jobs still wait, seed {seed}");
    }
}
