//! Two owners at the same time: one was replaced and has not yet detected it.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::{env, ops::Range, time::Duration};

use fleet::{Behaviour, InFlight, SimulatedFleet, job, step, task};
use kitetrail_core::jobs::{JobId, JobState, StepSpec};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Partitions a fleet of six workers: the owner reaches only the first three, and its successor only the others.
///
/// The owner has been cut off from the store for 2 s when the successor takes over.
fn partition(world: &mut SimulatedFleet, in_flight: InFlight) {
    let (owner_side, successor_side) = (["w0", "w1", "w2"], ["w3", "w4", "w5"]);
    world.store_down = true;
    world.unreachable_workers = successor_side.map(str::to_owned).into();
    world.advance_ms(2_000);
    world.store_down = false;
    world.unreachable_workers = owner_side.map(str::to_owned).into();
    world.take_over_beside_predecessor(2, in_flight, &successor_side);
}

/// Ends the partition.
fn end_partition(world: &mut SimulatedFleet) {
    world.unreachable_workers.clear();
    if let Some(predecessor) = &mut world.predecessor {
        predecessor.unreachable_workers.clear();
        predecessor.store_unreachable = false;
    }
    world.report_all_listed();
}

#[test]
fn a_replaced_owner_starts_no_task_whose_end_its_successor_recorded() {
    // The fleet panics if a task is started after its end was recorded.
    let mut world = SimulatedFleet::new(6);
    world.task_duration_ms = Some(4_000);
    world.submit(1, job(vec![step(18)]));
    world.advance_until("all tasks run", |world| world.starts.len() == 18);
    partition(&mut world, InFlight::Lost);
    world.advance_ms(5_500);
    end_partition(&mut world);
    world.advance_until("the job completes", |world| world.state(1) == Some(JobState::Completed));
    assert_eq!(world.starts.len(), 18, "each task ran once");
}

#[test]
fn a_replaced_owner_starts_no_task_that_still_runs_under_its_successor() {
    // The fleet panics if a task runs twice at the same time.
    let mut world = SimulatedFleet::new(6);
    world.task_duration_ms = Some(20_000);
    world.submit(1, job(vec![step(6), StepSpec { long_running: true, ..step(6) }]));
    world.advance_until("all tasks run", |world| world.starts.len() == 12);
    partition(&mut world, InFlight::Lost);
    world.advance_ms(5_500);
    end_partition(&mut world);
    world.advance_ms(2_000);
    assert_eq!(world.starts.len(), 12, "each task was started once");
}

#[test]
fn an_owner_after_a_short_lived_one_waits_for_the_earlier_owner() {
    // The fleet panics if a task runs twice at the same time.
    let mut world = SimulatedFleet::new(6);
    world.task_duration_ms = Some(20_000);
    world.submit(1, job(vec![step(6)]));
    world.advance_until("all tasks run", |world| world.starts.len() == 6);
    partition(&mut world, InFlight::Lost);
    world.advance_ms(3_500);
    // The successor has certainly stopped. That proves nothing about the previous owner, which continues in its partition.
    world.take_over(3, false);
    world.advance_ms(7_500);
    end_partition(&mut world);
    world.advance_ms(2_000);
    assert_eq!(world.starts.len(), 6, "each task was started once");
}

#[test]
fn a_write_sent_before_a_lease_expired_does_not_confirm_the_expiry() {
    let mut world = SimulatedFleet::new(6);
    world.task_duration_ms = Some(4_000);
    world.submit(1, job(vec![step(18)]));
    world.advance_until("all tasks run", |world| world.starts.len() == 18);
    // A write is in flight when the owner is cut off, and its answer arrives after the leases have expired.
    world.store_latency = Duration::from_millis(60_000);
    world.submit(2, job(vec![step(1)]));
    partition(&mut world, InFlight::Committed(Duration::from_millis(3_500)));
    world.store_latency = Duration::from_millis(10);
    world.advance_ms(5_500);
    end_partition(&mut world);
    world.advance_until("both jobs complete", |world| {
        [1, 2].iter().all(|&id| world.state(id) == Some(JobState::Completed))
    });
    assert_eq!(world.starts.len(), 19, "each task ran once");
}

#[test]
fn tasks_of_a_lost_worker_start_again_only_after_the_store_recovers() {
    let mut world = SimulatedFleet::new(3);
    world.task_duration_ms = Some(20_000);
    world.submit(1, job(vec![step(3)]));
    world.advance_until("all tasks run", |world| world.starts.len() == 3);
    let lost = world.worker_of(task(1, 0, 0));
    let lost_runs = world.worker(&lost).running.len();
    world.store_down = true;
    world.worker(&lost).crash();
    world.advance_ms(7_000);
    assert_eq!(world.starts.len(), 3, "a successor may have received the ends of these runs");
    world.store_down = false;
    world.advance_ms(200);
    assert_eq!(world.starts.len(), 3 + lost_runs, "the store has confirmed the owner since");
}

/// Returns the seeds given in `KITETRAIL_SEEDS`, or a default range.
fn seeds() -> Range<u64> {
    let requested = env::var("KITETRAIL_SEEDS").ok();
    let parse = |text: String| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    };
    requested.and_then(parse).unwrap_or(0..60)
}

/// Returns the workers that are cut off from the first and from the second owner. Each worker is cut off from neither, one
/// or both.
fn random_partition(world: &SimulatedFleet, rng: &mut ChaCha8Rng) -> (Vec<String>, Vec<String>) {
    let (mut from_first, mut from_second) = (Vec::new(), Vec::new());
    let one_way = rng.random_bool(0.3);
    for id in world.workers.keys() {
        let reaches_first = rng.random_bool(0.5);
        if !reaches_first {
            from_first.push(id.clone());
        }
        if reaches_first != (one_way && rng.random_bool(0.5)) {
            from_second.push(id.clone());
        }
    }
    (from_first, from_second)
}

/// Cuts the owner off from the store and some workers, and starts a successor that the owner does not detect for some time.
fn replace_undetected(world: &mut SimulatedFleet, rng: &mut ChaCha8Rng, epoch: &mut u64) {
    let (from_first, from_second) = random_partition(world, rng);
    world.unreachable_workers = from_first.iter().cloned().collect();
    world.store_down = true;
    world.advance_ms(rng.random_range(600..2_500));
    world.store_down = false;
    world.unreachable_workers = from_second.into_iter().collect();
    *epoch += 1;
    let in_flight = match rng.random_bool(0.5) {
        true => InFlight::Lost,
        false => InFlight::Committed(Duration::from_millis(rng.random_range(0..6_000))),
    };
    let from_first = from_first.iter().map(String::as_str).collect::<Vec<_>>();
    world.take_over_beside_predecessor(*epoch, in_flight, &from_first);
    if rng.random_bool(0.4) {
        let suspended = Duration::from_millis(rng.random_range(0..9_000));
        let until = world.now + suspended;
        world.predecessor.as_mut().unwrap().suspended_until = Some(until);
    }
}

/// Injects a random fault while two owners are active.
fn inject_fault(world: &mut SimulatedFleet, rng: &mut ChaCha8Rng) {
    let id = format!("w{}", rng.random_range(0..world.workers.len()));
    match rng.random_range(0..6) {
        0 => {
            world.restart(&id);
            world.advance_ms(rng.random_range(0..400));
            let entry = world.worker(&id).entry.clone();
            world.report_listed(entry);
        }
        1 => {
            let behaviour =
                [Behaviour::AnswersPollsLate, Behaviour::AnswersStartsLate, Behaviour::Partitioned]
                    [rng.random_range(0..3)];
            world.worker(&id).behaviour = behaviour;
            world.advance_ms(rng.random_range(0..2_000));
            world.worker(&id).behaviour = Behaviour::Healthy;
        }
        2 => {
            // The owner reaches some workers again before it learns of the successor from the store.
            if let Some(predecessor) = &mut world.predecessor {
                predecessor.unreachable_workers.remove(&id);
            }
        }
        3 => drop(world.unreachable_workers.remove(&id)),
        _ => {}
    }
}

#[test]
fn random_faults_with_two_owners_run_each_task_once_and_all_jobs_end() {
    // The fleet panics if a task runs twice at the same time, or is started after its end was recorded.
    for seed in seeds() {
        println!("seed {seed}");
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = SimulatedFleet::new(6);
        world.report_incarnations();
        world.task_duration_ms = Some(rng.random_range(50..5_000));
        world.order_answer_delay = Duration::from_millis(rng.random_range(0..3) * 150);
        let mut epoch = 1;
        let mut next_job = 1;
        for _ in 0..3 {
            for _ in 0..5 {
                let steps =
                    vec![step(rng.random_range(1..6)), StepSpec { depends_on: vec![0], ..step(2) }];
                world.submit(next_job, job(steps));
                next_job += 1;
                world.advance_ms(rng.random_range(0..700));
            }
            replace_undetected(&mut world, &mut rng, &mut epoch);
            for _ in 0..rng.random_range(1..6) {
                world.submit(next_job, job(vec![step(rng.random_range(1..4))]));
                next_job += 1;
                world.advance_ms(rng.random_range(0..1_500));
                inject_fault(&mut world, &mut rng);
            }
            end_partition(&mut world);
            world.advance_ms(rng.random_range(0..2_000));
        }
        world.report_all_listed();
        world.advance_ms(60_000);
        let accepted = (1..next_job).filter(|&id| world.jobs.contains_key(&JobId(id)));
        let open = accepted.filter(|&id| world.state(id) != Some(JobState::Completed));
        assert_eq!(open.collect::<Vec<_>>(), [0; 0], "jobs that did not end, seed {seed}");
        assert!(!world.deposed, "deposed, seed {seed}");
    }
}
