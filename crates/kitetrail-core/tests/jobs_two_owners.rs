//! Two owners at once: one was succeeded and does not know.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::time::Duration;

use fleet::{InFlight, World, job, step, task};
use kitetrail_core::jobs::{JobState, StepSpec};

/// A fleet of six workers, of which the owner reaches the first three alone from now on and its successor the others.
///
/// The owner has been cut off for 2 s as the successor takes over.
fn cut_in_two(world: &mut World, in_flight: InFlight) {
    let (near, beyond) = (["w0", "w1", "w2"], ["w3", "w4", "w5"]);
    world.store_down = true;
    world.cut_from = beyond.map(str::to_owned).into();
    world.run_ms(2_000);
    world.store_down = false;
    world.cut_from = near.map(str::to_owned).into();
    world.take_over_beside(2, in_flight, &beyond);
}

/// The cut heals.
fn heal(world: &mut World) {
    world.cut_from.clear();
    if let Some(predecessor) = &mut world.predecessor {
        predecessor.cut_from.clear();
        predecessor.store_cut = false;
    }
    world.list_all();
}

#[test]
fn an_owner_that_was_succeeded_starts_nothing_that_its_successor_heard_end() {
    // The fleet panics if a task is started after an end that was taken note of.
    let mut world = World::new(6);
    world.work_ms = Some(4_000);
    world.submit(1, job(vec![step(18)]));
    world.run_until("all tasks run", |world| world.starts.len() == 18);
    cut_in_two(&mut world, InFlight::Lost);
    world.run_ms(5_500);
    heal(&mut world);
    world.run_until("it completes", |world| world.state(1) == Some(JobState::Completed));
    assert_eq!(world.starts.len(), 18, "each task ran once");
}

#[test]
fn an_owner_that_was_succeeded_starts_nothing_that_runs_on_under_its_successor() {
    // The fleet panics if a task runs twice at a time.
    let mut world = World::new(6);
    world.work_ms = Some(20_000);
    world.submit(1, job(vec![step(6), StepSpec { lasts: true, ..step(6) }]));
    world.run_until("all tasks run", |world| world.starts.len() == 12);
    cut_in_two(&mut world, InFlight::Lost);
    world.run_ms(5_500);
    heal(&mut world);
    world.run_ms(2_000);
    assert_eq!(world.starts.len(), 12, "each task was started once");
}

#[test]
fn a_write_that_left_before_a_lease_was_over_proves_nothing() {
    let mut world = World::new(6);
    world.work_ms = Some(4_000);
    world.submit(1, job(vec![step(18)]));
    world.run_until("all tasks run", |world| world.starts.len() == 18);
    // Something to keep is on its way as the owner is cut off, and its answer comes once leases are over.
    world.store_takes = Duration::from_millis(60_000);
    world.submit(2, job(vec![step(1)]));
    cut_in_two(&mut world, InFlight::Kept(Duration::from_millis(3_500)));
    world.store_takes = Duration::from_millis(10);
    world.run_ms(5_500);
    heal(&mut world);
    world.run_until("both complete", |world| {
        [1, 2].iter().all(|&id| world.state(id) == Some(JobState::Completed))
    });
    assert_eq!(world.starts.len(), 19, "each task ran once");
}

#[test]
fn an_owner_goes_on_with_what_a_lost_worker_ran_once_the_store_is_back() {
    let mut world = World::new(3);
    world.work_ms = Some(20_000);
    world.submit(1, job(vec![step(3)]));
    world.run_until("all tasks run", |world| world.starts.len() == 3);
    let lost = world.worker_of(task(1, 0, 0));
    let lost_runs = world.worker(&lost).running.len();
    world.store_down = true;
    world.worker(&lost).crash();
    world.run_ms(7_000);
    assert_eq!(world.starts.len(), 3, "a successor may have heard of what ran there");
    world.store_down = false;
    world.run_ms(200);
    assert_eq!(world.starts.len(), 3 + lost_runs, "the store has confirmed the owner since");
}
