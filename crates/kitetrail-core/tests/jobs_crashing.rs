//! Tests of tasks that crash the workers which start them.
//!
//! The failure: on a user's fleet of 66 workers one worker was lost every 0.4 to 1.2 s, from the submission of some jobs
//! until the end of the day, and each crash lost 6 to 13 runs of other jobs. A task of each of these jobs crashed its
//! worker 10 ms after its start. The worker became silent within 0.1 s and returned as a new instance 3 s later. The owner
//! then recorded the runs of the old instance as lost and, 5 ms later, started the task on the next worker, beside 20 other runs.
//!
//! The cause: only ends that a worker reported as failed counted as attempts. A crashed worker reports nothing, so runs
//! lost with it did not count, and a task could be started without limit.
//!
//! The evidence: one owner started one task six times in a row, each time on another worker, and each run ended after
//! 10 ms. The owner's log held `run: lost`, then `run: placed` of the same task with the next number, and nothing else
//! about it. The first test reproduces this without changes of owner, faults of the store or unanswered orders.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::time::Duration;

use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

use fleet::{Behaviour, SimulatedFleet, job, step, task};
use kitetrail_core::{
    Resources, Time,
    jobs::{JobId, JobState, StepSpec},
};

/// The store limits a row to 64 KiB.
const MAX_ROW_BYTES: usize = 64 * 1_024;
/// The number of times that a task may be started after its third crash: users accept two more crashes.
const MAX_STARTS_AFTER_THIRD_CRASH: usize = 2;

#[test]
fn a_task_that_crashes_its_workers_fails_its_job_and_other_jobs_complete() {
    let mut fleet = SimulatedFleet::new(12);
    let crashing = task(1, 0, 0);
    fleet.make_crashing(crashing);
    fleet.submit(1, job(vec![step(1)]));
    for id in 2..=81 {
        fleet.submit(id, job(vec![step(4)]));
        fleet.advance_ms(250);
    }
    fleet.advance_ms(40_000);
    let starts = fleet.starts_after_third_crash(crashing);
    assert!(starts <= MAX_STARTS_AFTER_THIRD_CRASH, "{starts} starts after the third crash");
    assert_eq!(fleet.state(1), Some(JobState::Failed));
    let others = (2..=81).filter(|&id| fleet.state(id) != Some(JobState::Completed));
    assert_eq!(others.collect::<Vec<_>>(), [0; 0], "other jobs are not completed");
}

#[test]
fn a_long_running_task_that_crashes_its_workers_fails_its_job() {
    let mut fleet = SimulatedFleet::new(6);
    let crashing = task(1, 0, 0);
    fleet.make_crashing(crashing);
    let long_running = StepSpec { long_running: true, ..step(2) };
    fleet.submit(1, job(vec![long_running]));
    fleet.advance_ms(40_000);
    let starts = fleet.starts_after_third_crash(crashing);
    assert!(starts <= MAX_STARTS_AFTER_THIRD_CRASH, "{starts} starts after the third crash");
    assert_eq!(fleet.state(1), Some(JobState::Failed));
}

#[test]
fn crashes_are_counted_across_owners_that_die_before_they_notice_them() {
    let mut fleet = SimulatedFleet::new(12);
    let crashing = task(1, 0, 0);
    fleet.make_crashing(crashing);
    fleet.submit(1, job(vec![step(1)]));
    let mut epoch = 1;
    let mut seen = 0;
    let until = Time::from_ms(120_000);
    while fleet.now < until && fleet.state(1) != Some(JobState::Failed) {
        fleet.advance_ms(10);
        if fleet.crashes_of(crashing) > seen {
            seen = fleet.crashes_of(crashing);
            // The owner dies before it can notice the crash.
            fleet.advance_ms(20);
            epoch += 1;
            fleet.take_over(epoch, false);
        }
    }
    let starts = fleet.starts_after_third_crash(crashing);
    assert!(starts <= MAX_STARTS_AFTER_THIRD_CRASH, "{starts} starts after the third crash");
    assert_eq!(fleet.state(1), Some(JobState::Failed));
}

/// Returns a step of small long-running tasks, of which many fit on a worker beside a crashing task.
fn long_running_step(count: u32) -> StepSpec {
    StepSpec { long_running: true, size: Resources::new(500, 256, 0), ..step(count) }
}

/// Returns the ids of the healthy workers in random order.
fn shuffled_healthy_workers(fleet: &SimulatedFleet, rng: &mut ChaCha8Rng) -> Vec<String> {
    let healthy = fleet.workers.iter().filter(|(_, worker)| worker.behaviour == Behaviour::Healthy);
    let mut ids = healthy.map(|(id, _)| id.clone()).collect::<Vec<_>>();
    ids.shuffle(rng);
    ids
}

/// Asserts that all these jobs are completed.
fn assert_completed(fleet: &SimulatedFleet, ids: impl Iterator<Item = u64>, seed: u64) {
    let incomplete = ids.filter(|&id| fleet.state(id) != Some(JobState::Completed));
    assert_eq!(incomplete.collect::<Vec<_>>(), [0; 0], "jobs not completed, seed {seed}");
}

#[test]
fn crash_waves_not_caused_by_a_task_fail_no_job() {
    // A quarter of the workers crash at once, in some waves as soon as their runs have restarted elsewhere.
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = SimulatedFleet::new(16);
        fleet.submit(1, job(vec![long_running_step(24)]));
        for wave in 0..8 {
            fleet.submit(
                10 + wave,
                job(vec![step(12), StepSpec { depends_on: vec![0], ..step(12) }]),
            );
            for id in shuffled_healthy_workers(&fleet, &mut rng).iter().take(4) {
                fleet.crash(id);
            }
            fleet.advance_ms(rng.random_range(1_000..8_000));
        }
        fleet.advance_ms(30_000);
        assert_eq!(fleet.state(1), Some(JobState::Running), "seed {seed}");
        assert_completed(&fleet, 10..18, seed);
    }
}

#[test]
fn independent_crashes_of_single_workers_fail_no_job() {
    // Each worker crashes every 32 s on average.
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = SimulatedFleet::new(16);
        fleet.submit(1, job(vec![long_running_step(24)]));
        for round in 0..30 {
            for id in shuffled_healthy_workers(&fleet, &mut rng).iter().take(1) {
                fleet.crash(id);
            }
            fleet.submit(10 + round, job(vec![step(4)]));
            fleet.advance_ms(rng.random_range(0..4_000));
        }
        fleet.advance_ms(30_000);
        assert_eq!(fleet.state(1), Some(JobState::Running), "seed {seed}");
        assert_completed(&fleet, 10..40, seed);
    }
}

#[test]
fn a_crash_of_a_draining_worker_counts_against_no_task() {
    let mut fleet = SimulatedFleet::new(4);
    fleet.task_duration_ms = Some(60_000);
    fleet.submit(1, job(vec![step(1)]));
    for round in 0..6 {
        fleet.advance_until("the task runs", |fleet| {
            !fleet.workers_running(task(1, 0, 0)).is_empty()
        });
        fleet.advance_ms(if round % 2 == 0 { 50 } else { 2_000 });
        let worker = fleet.worker_of(task(1, 0, 0));
        fleet.worker(&worker).entry.draining = true;
        let entry = fleet.worker(&worker).entry.clone();
        fleet.report_listed(entry);
        fleet.worker(&worker).crash();
        let new_id = format!("again-{round}");
        fleet.replace_instance(&worker, &new_id);
        fleet.worker(&new_id).entry.draining = false;
        fleet.report_all_listed();
    }
    fleet.advance_ms(5_000);
    assert_eq!(fleet.state(1), Some(JobState::Running));
    assert_eq!(fleet.counted_crashes(), 0);
}

#[test]
fn a_task_that_runs_long_enough_between_crashes_is_no_longer_suspect() {
    let mut fleet = SimulatedFleet::new(6);
    let name = task(1, 0, 0);
    fleet.submit(1, job(vec![long_running_step(1)]));
    for round in 0..6 {
        // The worker crashes just after the task has started. The task then runs for 5 s on another worker, which
        // drains.
        fleet.advance_until("the task runs", |fleet| !fleet.workers_running(name).is_empty());
        let worker = fleet.worker_of(name);
        fleet.advance_ms(50);
        fleet.crash(&worker);
        fleet.advance_until("the task runs on another worker", |fleet| {
            !fleet.workers_running(name).is_empty()
        });
        fleet.advance_ms(5_000);
        let worker = fleet.worker_of(name);
        fleet.worker(&worker).entry.draining = true;
        let entry = fleet.worker(&worker).entry.clone();
        fleet.report_listed(entry);
        fleet.advance_until("the task has left the draining worker", |fleet| {
            !fleet.workers_running(name).contains(&worker.as_str())
        });
        fleet.worker(&worker).crash();
        fleet.advance_ms(50);
        let new_id = format!("again-{round}");
        fleet.replace_instance(&worker, &new_id);
        fleet.worker(&new_id).entry.draining = false;
        fleet.report_all_listed();
    }
    fleet.advance_ms(5_000);
    assert_eq!(fleet.state(1), Some(JobState::Running));
}

#[test]
fn a_task_lost_in_three_crash_waves_at_its_start_keeps_running() {
    let mut fleet = SimulatedFleet::new(12);
    let name = task(1, 0, 0);
    fleet.submit(1, job(vec![long_running_step(1)]));
    for _ in 0..3 {
        fleet.advance_until("the task runs", |fleet| !fleet.workers_running(name).is_empty());
        fleet.advance_ms(50);
        let worker = fleet.worker_of(name);
        let healthy =
            fleet.workers.iter().filter(|(_, worker)| worker.behaviour == Behaviour::Healthy);
        let others = healthy.map(|(id, _)| id.clone()).filter(|id| *id != worker).take(5);
        for id in others.collect::<Vec<_>>().iter().chain([&worker]) {
            fleet.crash(id);
        }
    }
    fleet.advance_ms(10_000);
    assert_eq!(fleet.state(1), Some(JobState::Running));
}

#[test]
fn crash_records_fit_into_one_store_row() {
    // 2,000 tasks of one job are lost with their workers and restarted by an owner that did not observe their runs.
    let mut fleet = SimulatedFleet::new(64);
    let small = StepSpec { long_running: true, size: Resources::new(100, 50, 0), ..step(2_000) };
    fleet.submit(1, job(vec![small]));
    fleet.advance_until("all tasks run", |fleet| fleet.starts.len() == 2_000);
    let ids = fleet.workers.keys().cloned().collect::<Vec<_>>();
    ids.iter().for_each(|id| fleet.crash(id));
    fleet.take_over(2, false);
    let mut largest = 0;
    for _ in 0..100 {
        fleet.advance_ms(100);
        let rows = fleet.progress_of(JobId(1));
        let bytes = rows.map(|progress| serde_json::to_vec(progress).unwrap().len());
        largest = largest.max(bytes.max().unwrap_or(0));
    }
    assert!(fleet.starts.len() >= 4_000, "the tasks were not restarted");
    assert!(largest > 0 && largest < MAX_ROW_BYTES, "{largest} bytes");
    // The records with the highest weight are kept: the last task crashes a worker on its own once more.
    let last = task(1, 0, 1_999);
    fleet.make_crashing_after(last, Duration::ZERO);
    fleet.advance_until("the task has crashed three workers", |fleet| fleet.crashes_of(last) == 3);
    fleet.advance_until("the job has failed", |fleet| fleet.state(1) == Some(JobState::Failed));
}

#[test]
fn a_suspect_task_runs_on_a_worker_without_other_runs() {
    let mut fleet = SimulatedFleet::new(12);
    let crashing = task(1, 0, 0);
    fleet.make_crashing(crashing);
    for id in 2..=6 {
        fleet.submit(id, job(vec![long_running_step(4)]));
    }
    fleet.advance_ms(1_000);
    // Few tasks of this size fit on a worker, so that the task is first placed beside others.
    let large = |count| StepSpec { size: Resources::new(1_500, 512, 0), ..step(count) };
    fleet.submit(7, job(vec![large(12)]));
    fleet.advance_ms(3_000);
    fleet.submit(1, job(vec![large(1)]));
    fleet.advance_until("the first crash", |fleet| fleet.crashes_of(crashing) == 1);
    let lost = fleet.crashes.lost_other_runs;
    assert!(lost > 0, "the first crash lost no other run");
    fleet.advance_until("the job has failed", |fleet| fleet.state(1) == Some(JobState::Failed));
    assert_eq!(fleet.crashes.lost_other_runs, lost, "a later crash lost other runs");
    assert_eq!(fleet.crashes_of(crashing), 3);
}

#[test]
fn a_task_that_crashes_its_worker_late_fails_its_job() {
    for after_ms in [300, 700, 1_500, 4_000] {
        let mut fleet = SimulatedFleet::new(8);
        fleet.task_duration_ms = Some(9_000);
        let crashing = task(1, 0, 1);
        fleet.make_crashing_after(crashing, Duration::from_millis(after_ms));
        fleet.submit(2, job(vec![long_running_step(8)]));
        fleet.advance_ms(12_000);
        fleet.submit(1, job(vec![step(3)]));
        fleet.advance_ms(60_000);
        let starts = fleet.starts_after_third_crash(crashing);
        assert!(starts <= MAX_STARTS_AFTER_THIRD_CRASH, "{starts} starts, {after_ms} ms");
        assert_eq!(fleet.state(1), Some(JobState::Failed), "{after_ms} ms");
        assert_eq!(fleet.state(2), Some(JobState::Running), "{after_ms} ms");
    }
}

#[test]
fn many_crashing_tasks_at_once_fail_no_other_job() {
    // The reported case: many such jobs of all kinds arrive within some seconds on a fleet that is half full.
    let mut fleet = SimulatedFleet::new(32);
    let kinds = [
        step(1),
        long_running_step(2),
        StepSpec { gang: true, ..step(3) },
        StepSpec { copies_allowed: true, ..step(2) },
        StepSpec { keeps_progress: true, ..step(2) },
    ];
    for id in 200..216 {
        fleet.submit(id, job(vec![long_running_step(3)]));
    }
    for id in 1..=10 {
        fleet.make_crashing(task(id, 0, 0));
        fleet.submit(id, job(vec![kinds[id as usize % kinds.len()].clone()]));
        fleet.submit(100 + id, job(vec![step(6)]));
        fleet.advance_ms(400);
    }
    fleet.advance_ms(60_000);
    for id in 1..=10 {
        let starts = fleet.starts_after_third_crash(task(id, 0, 0));
        assert!(starts <= MAX_STARTS_AFTER_THIRD_CRASH, "{starts} starts of job {id}");
        assert_eq!(fleet.state(id), Some(JobState::Failed), "job {id}");
        assert_eq!(fleet.state(100 + id), Some(JobState::Completed), "job {}", 100 + id);
    }
    let long_running = (200..216).filter(|&id| fleet.state(id) != Some(JobState::Running));
    assert_eq!(long_running.collect::<Vec<_>>(), [0; 0], "long-running jobs are not running");
}

/// Returns a random kind of step for a task that crashes its workers.
fn random_step(rng: &mut ChaCha8Rng) -> StepSpec {
    match rng.random_range(0..5) {
        0 => long_running_step(2),
        1 => StepSpec { gang: true, ..step(3) },
        2 => StepSpec { copies_allowed: true, ..step(2) },
        3 => StepSpec { keeps_progress: true, ..step(2) },
        _ => step(2),
    }
}

#[test]
fn crashing_tasks_fail_their_jobs_despite_owner_and_store_failures() {
    // Owners die at any moment, the store is unavailable for seconds, and workers take 1 to 12 s to return. The seeds from
    // 60 on are those of 1,440 further runs that showed a fault.
    for seed in (0..60).chain([117, 273, 321, 329, 401, 753, 770, 799, 820, 933, 959, 1119]) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = SimulatedFleet::new(16);
        fleet.crashes.return_delay = Duration::from_millis(rng.random_range(1_000..12_000));
        fleet.submit(200, job(vec![long_running_step(6)]));
        let mut epoch = 1;
        for id in 1..=4 {
            fleet.make_crashing(task(id, 0, 0));
            fleet.submit(id, job(vec![random_step(&mut rng)]));
            fleet.submit(100 + id, job(vec![step(6)]));
            fleet.advance_ms(rng.random_range(0..3_000));
        }
        for _ in 0..6 {
            match rng.random_range(0..3) {
                0 => fleet.store_down = true,
                _ => {
                    epoch += 1;
                    fleet.take_over(epoch, rng.random_bool(0.5));
                }
            }
            fleet.advance_ms(rng.random_range(100..4_000));
            fleet.store_down = false;
            fleet.advance_ms(rng.random_range(100..6_000));
        }
        fleet.advance_ms(90_000);
        for id in 1..=4 {
            let starts = fleet.starts_after_third_crash(task(id, 0, 0));
            assert!(
                starts <= MAX_STARTS_AFTER_THIRD_CRASH,
                "{starts} starts, job {id}, seed {seed}"
            );
            assert_eq!(fleet.final_state(id), Some(JobState::Failed), "job {id}, seed {seed}");
            let other = fleet.final_state(100 + id);
            assert_eq!(other, Some(JobState::Completed), "job {}, seed {seed}", 100 + id);
        }
        assert_eq!(fleet.state(200), Some(JobState::Running), "seed {seed}");
    }
}
