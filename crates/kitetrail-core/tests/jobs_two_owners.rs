//! Two owners at the same time: one was replaced and has not yet detected it.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::{env, ops::Range, time::Duration};

use fleet::{
    Behaviour, CLOCK_ZERO_UNIX_MS, EARLIER_LEASES_EXPIRE_AFTER_MS, InFlight, SimulatedFleet, job,
    step, task,
};
use kitetrail_core::{
    Time,
    jobs::{JobId, JobSpec, JobState, Schedule, StepSpec, TaskName},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The time after [`partition`] for which the leases that the replaced owner grants still last.
const LEASES_LAST_AFTER_PARTITION_MS: u64 = 4_500;

/// Partitions a fleet of six workers: the owner reaches only the first three, and its successor only the others.
///
/// The owner has been cut off from the store for 2 s when the successor takes over.
fn partition(fleet: &mut SimulatedFleet, in_flight: InFlight) {
    partition_after(fleet, in_flight, 2_000);
}

/// The same, where the owner has been cut off from the store for this long when the successor takes over.
fn partition_after(fleet: &mut SimulatedFleet, in_flight: InFlight, without_store_ms: u64) {
    let (owner_side, successor_side) = (["w0", "w1", "w2"], ["w3", "w4", "w5"]);
    fleet.store_down = true;
    fleet.unreachable_workers = successor_side.map(str::to_owned).into();
    fleet.advance_ms(without_store_ms);
    fleet.store_down = false;
    fleet.unreachable_workers = owner_side.map(str::to_owned).into();
    fleet.take_over_beside_predecessor(2, in_flight, &successor_side);
}

/// Ends the partition.
fn end_partition(fleet: &mut SimulatedFleet) {
    fleet.unreachable_workers.clear();
    if let Some(predecessor) = &mut fleet.predecessor {
        predecessor.unreachable_workers.clear();
        predecessor.store_unreachable = false;
    }
    fleet.report_all_listed();
}

#[test]
fn a_replaced_owner_starts_no_task_whose_end_its_successor_recorded() {
    // The fleet panics if a task is started after its end was recorded.
    let mut fleet = SimulatedFleet::new(6);
    fleet.task_duration_ms = Some(4_000);
    fleet.submit(1, job(vec![step(18)]));
    fleet.advance_until("all tasks run", |fleet| fleet.starts.len() == 18);
    partition(&mut fleet, InFlight::Lost);
    fleet.advance_ms(5_500);
    end_partition(&mut fleet);
    fleet.advance_until("the job completes", |fleet| fleet.state(1) == Some(JobState::Completed));
    assert_eq!(fleet.starts.len(), 18, "each task ran once");
}

#[test]
fn a_replaced_owner_starts_no_task_that_still_runs_under_its_successor() {
    // The fleet panics if a task runs twice at the same time.
    let mut fleet = SimulatedFleet::new(6);
    fleet.task_duration_ms = Some(20_000);
    fleet.submit(1, job(vec![step(6), StepSpec { long_running: true, ..step(6) }]));
    fleet.advance_until("all tasks run", |fleet| fleet.starts.len() == 12);
    partition(&mut fleet, InFlight::Lost);
    fleet.advance_ms(LEASES_LAST_AFTER_PARTITION_MS);
    end_partition(&mut fleet);
    fleet.advance_ms(2_000);
    assert_eq!(fleet.starts.len(), 12, "each task was started once");
}

/// Guards against inherited tasks that a new owner stopped on leaving workers and left waiting for a worker that never
/// answered, although they had been reported to it as running.
#[test]
fn task_reported_to_a_new_owner_moves_while_another_worker_is_silent() {
    let mut fleet = SimulatedFleet::new(6);
    let spread = StepSpec { long_running: true, max_per_worker: Some(1), ..step(4) };
    fleet.submit(1, job(vec![spread]));
    fleet.advance_until("all tasks run", |fleet| fleet.starts.len() == 4);
    // A worker is lost together with the owner, whose box never answers again.
    let lost = fleet.worker_of(task(1, 0, 0));
    fleet.worker(&lost).crash();
    fleet.worker(&lost).unlisted = true;
    fleet.take_over(2, false);
    fleet.advance_ms(1_500);
    let moved = task(1, 0, 1);
    let leaving = fleet.worker_of(moved);
    fleet.worker(&leaving).entry.draining = true;
    fleet.report_all_listed();
    // The previous owner may have polls at the worker that wait for 2 s, and its drain takes longer.
    fleet.advance_ms(3500);
    assert_ne!(fleet.worker_of(moved), leaving, "the task runs elsewhere");
    assert_eq!(fleet.starts.len(), 5, "the task of the silent worker waits for its lease");
    fleet.advance_until("the task of the silent worker runs", |fleet| fleet.starts.len() == 6);
}

#[test]
fn task_whose_failed_run_is_reported_to_a_new_owner_waits_for_a_silent_worker() {
    // The fleet panics if the task runs twice at the same time.
    let mut fleet = SimulatedFleet::new(2);
    fleet.task_duration_ms = Some(30_000);
    fleet.submit(1, job(vec![step(1)]));
    fleet.advance_until("the task runs", |fleet| fleet.starts.len() == 1);
    // The owner learns of the failed run and starts the next one elsewhere, but stores nothing of it.
    fleet.store_down = true;
    let failing = fleet.worker_of(task(1, 0, 0));
    fleet.worker(&failing).behaviour = Behaviour::Failing;
    fleet.advance_until("the task runs elsewhere", |fleet| fleet.starts.len() == 2);
    fleet.worker(&failing).behaviour = Behaviour::Healthy;
    let silent = fleet.worker_of(task(1, 0, 0));
    fleet.worker(&silent).behaviour = Behaviour::Partitioned;
    fleet.store_down = false;
    fleet.take_over(2, false);
    fleet.advance_ms(EARLIER_LEASES_EXPIRE_AFTER_MS - 10);
    assert_eq!(fleet.starts.len(), 2, "started while the previous owner may renew the lease");
    fleet.advance_until("the task runs again", |fleet| fleet.starts.len() == 3);
}

/// Guards against an occurrence that the previous owner had begun without storing it, and whose tasks a new owner took for
/// never started.
#[test]
fn occurrence_that_is_not_stored_waits_for_a_silent_worker() {
    // The fleet panics if a task runs twice at the same time.
    let mut fleet = SimulatedFleet::new(3);
    fleet.task_duration_ms = Some(30_000);
    let start_at_unix_ms = CLOCK_ZERO_UNIX_MS + fleet.now.as_ms() + 1_000;
    let schedule = Schedule { start_at_unix_ms, interval_ms: 1_000, count: 3 };
    fleet.submit(1, JobSpec { schedule: Some(schedule), ..job(vec![step(1)]) });
    fleet.advance_until("two occurrences run", |fleet| fleet.starts.len() == 2);
    let second = TaskName { occurrence: 1, ..task(1, 0, 0) };
    let silent = fleet.worker_of(second);
    fleet.worker(&silent).behaviour = Behaviour::Partitioned;
    let started = fleet.starts.iter().filter(|(.., id)| *id == silent).count();
    fleet.take_over(2, false);
    fleet.advance_ms(EARLIER_LEASES_EXPIRE_AFTER_MS - 10);
    assert_eq!(fleet.starts.len(), 2, "started while the previous owner may renew the lease");
    fleet.advance_until("the lost tasks and the last one run", |fleet| {
        fleet.starts.len() == 3 + started
    });
}

#[test]
fn task_whose_end_the_previous_owner_may_receive_too_waits_for_a_silent_worker() {
    // The fleet panics if the task runs twice at the same time.
    for fails_after_ms in [50, 300, 800, 1_500, 2_500, 4_000] {
        let mut fleet = SimulatedFleet::new(3);
        fleet.task_duration_ms = Some(30_000);
        fleet.submit(1, job(vec![step(1)]));
        fleet.advance_until("the task runs", |fleet| fleet.starts.len() == 1);
        fleet.advance_ms(500);
        let failing = fleet.worker_of(task(1, 0, 0));
        let others = fleet.workers.keys().filter(|id| **id != failing).cloned().collect::<Vec<_>>();
        // Both owners reach the worker of the task, and each of them one other worker.
        fleet.unreachable_workers = [others[0].clone()].into();
        fleet.take_over_beside_predecessor(2, InFlight::Lost, &[&others[1]]);
        fleet.advance_ms(fails_after_ms);
        fleet.worker(&failing).behaviour = Behaviour::Failing;
        fleet.advance_ms(200);
        fleet.worker(&failing).behaviour = Behaviour::Healthy;
        fleet.advance_ms(6_000);
        end_partition(&mut fleet);
        fleet.advance_ms(20_000);
        assert_eq!(fleet.workers_running(task(1, 0, 0)).len(), 1, "it runs again");
    }
}

#[test]
fn an_owner_after_a_short_lived_one_waits_for_the_earlier_owner() {
    // The fleet panics if a task runs twice at the same time.
    let mut fleet = SimulatedFleet::new(6);
    fleet.task_duration_ms = Some(20_000);
    fleet.submit(1, job(vec![step(6)]));
    fleet.advance_until("all tasks run", |fleet| fleet.starts.len() == 6);
    partition_after(&mut fleet, InFlight::Lost, 0);
    fleet.refuses_unreachable_polls = true;
    // Long enough for the successor to find these workers silent.
    fleet.advance_ms(2_000);
    // The successor has certainly stopped. That proves nothing about the previous owner, which continues in its partition.
    fleet.take_over(3, false);
    fleet.advance_ms(4_900);
    assert_eq!(fleet.starts.len(), 6, "started while the first owner grants leases");
    assert_eq!(fleet.workers.values().map(|worker| worker.expired_runs).sum::<u32>(), 0);
    end_partition(&mut fleet);
    fleet.advance_ms(5_000);
    let running = (0..6).map(|index| fleet.workers_running(task(1, 0, index)).len());
    assert_eq!(running.collect::<Vec<_>>(), [1; 6], "each task runs");
}

#[test]
fn tasks_of_a_worker_lost_with_its_owner_start_again_once_the_last_lease_has_expired() {
    // The fleet panics if a task runs twice at the same time.
    let mut fleet = SimulatedFleet::new(6);
    fleet.task_duration_ms = Some(30_000);
    fleet.submit(1, job(vec![step(6), StepSpec { long_running: true, ..step(6) }]));
    fleet.advance_until("all tasks run", |fleet| fleet.starts.len() == 12);
    // The owner grants leases on its side for as long as it goes on, and the successor reaches none of these workers.
    partition_after(&mut fleet, InFlight::Lost, 0);
    let on_its_side = fleet.unreachable_workers.iter().map(|id| fleet.workers[id].running.len());
    let lost = on_its_side.sum::<usize>();
    assert!(lost > 0);
    fleet.advance_ms(6_500);
    assert_eq!(fleet.starts.len(), 12, "started while the previous owner grants leases");
    assert!(fleet.predecessor.is_some(), "the previous owner goes on");
    let running = fleet.workers.values().map(|worker| worker.running.len()).sum::<usize>();
    assert_eq!(running, 12, "no lease expired");
    fleet.advance_ms(EARLIER_LEASES_EXPIRE_AFTER_MS - 6_500 + 100);
    assert_eq!(fleet.starts.len(), 12 + lost, "all tasks of the unreachable workers run elsewhere");
    assert!(fleet.predecessor.is_some(), "the previous owner goes on");
}

/// Guards against a new owner that waits for workers that drained and left under its lost predecessor.
#[test]
fn tasks_do_not_wait_for_a_worker_that_drained_before_its_owner_was_lost() {
    let mut fleet = SimulatedFleet::new(6);
    let spread = StepSpec { long_running: true, max_per_worker: Some(1), ..step(4) };
    fleet.submit(1, job(vec![spread]));
    fleet.advance_until("all tasks run", |fleet| fleet.starts.len() == 4);
    let drained = fleet.worker_of(task(1, 0, 0));
    fleet.worker(&drained).entry.draining = true;
    fleet.report_all_listed();
    fleet.advance_until("its task runs elsewhere", |fleet| fleet.starts.len() == 5);
    fleet.advance_ms(1_500);
    // The worker leaves, and another one crashes so that its task has to start again.
    fleet.worker(&drained).crash();
    fleet.worker(&drained).unlisted = true;
    fleet.take_over(2, false);
    fleet.advance_ms(100);
    let failing = fleet.worker_of(task(1, 0, 1));
    fleet.worker(&failing).behaviour = Behaviour::Failing;
    fleet.advance_until("a run fails", |fleet| fleet.workers_running(task(1, 0, 1)).is_empty());
    fleet.worker(&failing).behaviour = Behaviour::Healthy;
    fleet.advance_ms(1_000);
    assert_eq!(fleet.workers_running(task(1, 0, 1)).len(), 1, "it waits for the drained worker");
}

/// Guards against leases that lapse while the store is away for as long as the platform documents.
#[test]
fn no_lease_expires_in_a_long_outage_of_the_store() {
    let mut fleet = SimulatedFleet::new(6);
    fleet.submit(1, job(vec![StepSpec { long_running: true, ..step(6) }]));
    fleet.advance_until("all tasks run", |fleet| fleet.starts.len() == 6);
    for _ in 0..3 {
        fleet.store_down = true;
        fleet.advance_ms(5_600);
        fleet.store_down = false;
        fleet.advance_ms(700);
    }
    assert!(fleet.workers.values().all(|worker| worker.expired_runs == 0), "leases expired");
    assert_eq!(fleet.starts.len(), 6);
}

#[test]
fn a_write_sent_before_a_lease_expired_does_not_confirm_the_expiry() {
    let mut fleet = SimulatedFleet::new(6);
    fleet.task_duration_ms = Some(4_000);
    fleet.submit(1, job(vec![step(18)]));
    fleet.advance_until("all tasks run", |fleet| fleet.starts.len() == 18);
    // A write is in flight when the owner is cut off, and its answer arrives after the leases have expired.
    fleet.store_latency = Duration::from_millis(60_000);
    fleet.submit(2, job(vec![step(1)]));
    partition(&mut fleet, InFlight::Committed(Duration::from_millis(3_500)));
    fleet.store_latency = Duration::from_millis(10);
    fleet.advance_ms(LEASES_LAST_AFTER_PARTITION_MS);
    end_partition(&mut fleet);
    fleet.advance_until("both jobs complete", |fleet| {
        [1, 2].iter().all(|&id| fleet.state(id) == Some(JobState::Completed))
    });
    assert_eq!(fleet.starts.len(), 19, "each task ran once");
}

#[test]
fn tasks_of_a_lost_worker_start_again_only_after_the_store_recovers() {
    let mut fleet = SimulatedFleet::new(3);
    fleet.task_duration_ms = Some(20_000);
    fleet.submit(1, job(vec![step(3)]));
    fleet.advance_until("all tasks run", |fleet| fleet.starts.len() == 3);
    let lost = fleet.worker_of(task(1, 0, 0));
    let lost_runs = fleet.worker(&lost).running.len();
    fleet.store_down = true;
    fleet.worker(&lost).crash();
    fleet.advance_ms(6_000);
    assert_eq!(fleet.starts.len(), 3, "a successor may have received the ends of these runs");
    fleet.store_down = false;
    fleet.advance_ms(200);
    assert_eq!(fleet.starts.len(), 3 + lost_runs, "the store has confirmed the owner since");
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
fn random_partition(fleet: &SimulatedFleet, rng: &mut ChaCha8Rng) -> (Vec<String>, Vec<String>) {
    let (mut from_first, mut from_second) = (Vec::new(), Vec::new());
    let one_way = rng.random_bool(0.3);
    for id in fleet.workers.keys() {
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
fn replace_undetected(fleet: &mut SimulatedFleet, rng: &mut ChaCha8Rng, epoch: &mut u64) {
    let (from_first, from_second) = random_partition(fleet, rng);
    fleet.unreachable_workers = from_first.iter().cloned().collect();
    fleet.store_down = true;
    fleet.advance_ms(rng.random_range(600..2_500));
    fleet.store_down = false;
    fleet.unreachable_workers = from_second.into_iter().collect();
    *epoch += 1;
    let in_flight = match rng.random_bool(0.5) {
        true => InFlight::Lost,
        false => InFlight::Committed(Duration::from_millis(rng.random_range(0..6_000))),
    };
    let from_first = from_first.iter().map(String::as_str).collect::<Vec<_>>();
    fleet.take_over_beside_predecessor(*epoch, in_flight, &from_first);
    if rng.random_bool(0.4) {
        let suspended = Duration::from_millis(rng.random_range(0..9_000));
        let until = fleet.now + suspended;
        fleet.predecessor.as_mut().unwrap().suspended_until = Some(until);
    }
}

/// Injects a random fault while two owners are active.
fn inject_fault(fleet: &mut SimulatedFleet, rng: &mut ChaCha8Rng) {
    let id = format!("w{}", rng.random_range(0..fleet.workers.len()));
    match rng.random_range(0..6) {
        0 => {
            fleet.restart(&id);
            fleet.advance_ms(rng.random_range(0..400));
            let entry = fleet.worker(&id).entry.clone();
            fleet.report_listed(entry);
        }
        1 => {
            let behaviour =
                [Behaviour::AnswersPollsLate, Behaviour::AnswersStartsLate, Behaviour::Partitioned]
                    [rng.random_range(0..3)];
            fleet.worker(&id).behaviour = behaviour;
            fleet.advance_ms(rng.random_range(0..2_000));
            fleet.worker(&id).behaviour = Behaviour::Healthy;
        }
        2 => {
            // The owner reaches some workers again before it learns of the successor from the store.
            if let Some(predecessor) = &mut fleet.predecessor {
                predecessor.unreachable_workers.remove(&id);
            }
        }
        3 => drop(fleet.unreachable_workers.remove(&id)),
        _ => {}
    }
}

/// Lets a worker drain and leave some time later, while it may still run tasks.
fn drain(fleet: &mut SimulatedFleet, rng: &mut ChaCha8Rng, leaving: &mut Vec<(Time, String)>) {
    let id = format!("w{}", rng.random_range(0..fleet.workers.len()));
    if leaving.len() < fleet.workers.len() / 2 && leaving.iter().all(|(_, other)| *other != id) {
        fleet.worker(&id).entry.draining = true;
        let entry = fleet.worker(&id).entry.clone();
        fleet.report_listed(entry);
        leaving.push((fleet.now + Duration::from_millis(rng.random_range(100..5_000)), id));
    }
}

/// Lets the workers leave whose time has come.
fn leave(fleet: &mut SimulatedFleet, leaving: &[(Time, String)]) {
    let now = fleet.now;
    for (_, id) in leaving.iter().filter(|(at, _)| *at <= now) {
        fleet.worker(id).crash();
        fleet.worker(id).unlisted = true;
    }
    fleet.report_all_listed();
}

/// Guards against tasks that run twice since a worker that drains has no record any more.
#[test]
fn random_faults_while_workers_drain_run_each_task_once_and_all_jobs_end() {
    // The fleet panics if a task runs twice at the same time, or is started after its end was recorded.
    for seed in seeds() {
        println!("seed {seed}");
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = SimulatedFleet::new(10);
        fleet.report_incarnations();
        fleet.task_duration_ms = Some(rng.random_range(50..5_000));
        fleet.order_answer_delay = Duration::from_millis(rng.random_range(0..3) * 150);
        let (mut epoch, mut next_job, mut leaving) = (1, 1, Vec::new());
        fleet.submit(1_000, job(vec![StepSpec { long_running: true, ..step(4) }]));
        for round in 0..4 {
            for _ in 0..4 {
                let steps =
                    vec![step(rng.random_range(1..6)), StepSpec { depends_on: vec![0], ..step(2) }];
                fleet.submit(next_job, job(steps));
                next_job += 1;
                drain(&mut fleet, &mut rng, &mut leaving);
                fleet.advance_ms(rng.random_range(0..900));
                leave(&mut fleet, &leaving);
            }
            match round % 2 {
                0 => replace_undetected(&mut fleet, &mut rng, &mut epoch),
                _ => {
                    epoch += 1;
                    fleet.take_over(epoch, rng.random_bool(0.3));
                }
            }
            for _ in 0..rng.random_range(1..6) {
                fleet.advance_ms(rng.random_range(0..1_500));
                leave(&mut fleet, &leaving);
                inject_fault(&mut fleet, &mut rng);
            }
            end_partition(&mut fleet);
            fleet.advance_ms(rng.random_range(0..2_000));
        }
        fleet.advance_ms(5_000);
        leave(&mut fleet, &leaving);
        fleet.advance_ms(60_000);
        let accepted = (1..next_job).filter(|&id| fleet.jobs.contains_key(&JobId(id)));
        let open = accepted.filter(|&id| fleet.state(id) != Some(JobState::Completed));
        assert_eq!(open.collect::<Vec<_>>(), [0; 0], "jobs that did not end, seed {seed}");
        let running = (0..4).map(|index| fleet.workers_running(task(1_000, 0, index)).len());
        assert_eq!(running.collect::<Vec<_>>(), [1; 4], "long-running tasks, seed {seed}");
        assert!(!fleet.deposed, "deposed, seed {seed}");
    }
}

#[test]
fn random_faults_with_two_owners_run_each_task_once_and_all_jobs_end() {
    // The fleet panics if a task runs twice at the same time, or is started after its end was recorded.
    for seed in seeds() {
        println!("seed {seed}");
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = SimulatedFleet::new(6);
        fleet.report_incarnations();
        fleet.task_duration_ms = Some(rng.random_range(50..5_000));
        fleet.order_answer_delay = Duration::from_millis(rng.random_range(0..3) * 150);
        let mut epoch = 1;
        let mut next_job = 1;
        for _ in 0..3 {
            for _ in 0..5 {
                let steps =
                    vec![step(rng.random_range(1..6)), StepSpec { depends_on: vec![0], ..step(2) }];
                fleet.submit(next_job, job(steps));
                next_job += 1;
                fleet.advance_ms(rng.random_range(0..700));
            }
            replace_undetected(&mut fleet, &mut rng, &mut epoch);
            for _ in 0..rng.random_range(1..6) {
                fleet.submit(next_job, job(vec![step(rng.random_range(1..4))]));
                next_job += 1;
                fleet.advance_ms(rng.random_range(0..1_500));
                inject_fault(&mut fleet, &mut rng);
            }
            end_partition(&mut fleet);
            fleet.advance_ms(rng.random_range(0..2_000));
        }
        fleet.report_all_listed();
        fleet.advance_ms(60_000);
        let accepted = (1..next_job).filter(|&id| fleet.jobs.contains_key(&JobId(id)));
        let open = accepted.filter(|&id| fleet.state(id) != Some(JobState::Completed));
        assert_eq!(open.collect::<Vec<_>>(), [0; 0], "jobs that did not end, seed {seed}");
        assert!(!fleet.deposed, "deposed, seed {seed}");
    }
}
