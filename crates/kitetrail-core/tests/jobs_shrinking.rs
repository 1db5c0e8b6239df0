//! Workers whose room shrinks and grows while they run.
//!
//! A worker says in its entry what it has; that may change while it lives. Some workers start whatever they are told, so
//! a start that was placed by the old room must not leave once the new one is known.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use fleet::{FakeWorker, Mood, World, job, step, task};
use kitetrail_core::{
    Resources,
    jobs::{JobState, StepSpec},
};

/// How many of a worker's four cores the tasks on it take, each one core.
fn cores_in_use(world: &World, id: &str) -> usize {
    world.workers[id].running.len()
}

#[test]
fn starts_that_wait_do_not_leave_for_a_room_that_shrank() {
    let mut world = World::new(1);
    world.work_ms = Some(5_000);
    // The first start is not answered, so the others wait until it is settled.
    world.worker("w0").mood = Mood::Late;
    world.submit(1, job(vec![step(4)]));
    world.run_ms(50);
    world.worker("w0").mood = Mood::Well;
    world.set_cores("w0", 1_000);
    world.run_ms(4_000);
    assert!(cores_in_use(&world, "w0") <= 1, "{} tasks on one core", cores_in_use(&world, "w0"));
    world.set_cores("w0", 4_000);
    world.run_until("it completes", |world| world.state(1) == Some(JobState::Completed));
}

#[test]
fn a_start_that_waits_to_be_kept_does_not_leave_for_a_room_that_shrank() {
    let mut world = World::new(2);
    let name = task(1, 0, 0);
    world.make_crashing(name);
    world.submit(1, job(vec![step(1)]));
    world.run_until("it has crashed a worker", |world| world.crashes_of(name) == 1);
    world.store_takes = Duration::from_millis(400);
    world.run_ms(3_300);
    // It is placed again, and the store takes its time to keep that.
    let before = world.starts.len();
    for id in world.workers.keys().cloned().collect::<Vec<_>>() {
        world.set_cores(&id, 500);
    }
    world.run_ms(2_000);
    assert_eq!(world.starts.len(), before, "it was started where it has no room");
}

#[test]
fn what_runs_above_a_room_that_shrank_stays_and_gets_nothing_beside_it() {
    let mut world = World::new(1);
    world.work_ms = Some(3_000);
    world.submit(1, job(vec![step(4)]));
    world.run_ms(100);
    world.set_cores("w0", 2_000);
    world.submit(2, job(vec![step(2)]));
    world.run_ms(1_000);
    assert_eq!(cores_in_use(&world, "w0"), 4, "what ran was stopped, or more was started");
    world.run_until("both complete", |world| world.state(2) == Some(JobState::Completed));
    assert_eq!(world.state(1), Some(JobState::Completed));
}

#[test]
fn room_that_grows_is_used_at_once() {
    let mut world = World::new(1);
    world.set_cores("w0", 1_000);
    world.run_ms(100);
    world.submit(1, job(vec![step(3)]));
    world.run_ms(200);
    assert_eq!(cores_in_use(&world, "w0"), 1);
    world.set_cores("w0", 4_000);
    world.run_ms(100);
    assert_eq!(cores_in_use(&world, "w0"), 3);
}

#[test]
fn no_start_brings_a_worker_over_a_room_that_swings() {
    // The world panics at a start that brings a worker over all that it has said to have for 4.1 s.
    for seed in 0..30 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::with_workers((0..6).map(FakeWorker::new));
        let lasting = StepSpec { lasts: true, size: Resources::new(500, 256, 0), ..step(4) };
        world.submit(500, job(vec![lasting]));
        for round in 0..60 {
            let id = format!("w{}", rng.random_range(0..6));
            match rng.random_range(0..4) {
                0 => world.worker(&id).mood = Mood::Late,
                1 => world.worker(&id).mood = Mood::Well,
                _ => world.set_cores(&id, rng.random_range(0..9) * 500),
            }
            if rng.random_bool(0.5) {
                let steps = vec![StepSpec { keeps_progress: true, ..step(rng.random_range(1..6)) }];
                world.submit(1 + round, job(steps));
            }
            if round % 20 == 19 {
                world.take_over(2 + round, false);
            }
            world.run_ms(rng.random_range(10..900));
        }
        world.set_moods(Mood::Well);
        for no in 0..6 {
            world.set_cores(&format!("w{no}"), 4_000);
        }
        world.run_ms(30_000);
        assert_eq!(world.state(500), Some(JobState::Running), "seed {seed}");
        let open = (1..61).filter(|&id| world.state(id) == Some(JobState::Queued));
        assert_eq!(open.collect::<Vec<_>>(), [0; 0], "jobs wait for ever, seed {seed}");
    }
}
