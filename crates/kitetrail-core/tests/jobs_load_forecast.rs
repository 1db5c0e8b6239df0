//! Tests of placement by the forecast load of services.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::{cell::Cell, f64::consts::TAU, ops::Range};

use fleet::{FakeWorker, SimulatedFleet, job, step};
use kitetrail_core::{
    Resources, Time,
    jobs::{JobState, LoadPart, LoadParts, LogEntry, StepSpec},
};

/// The number of workers; each runs one service.
const WORKERS: u32 = 8;
/// The target of a service's tail latency.
const TARGET_MS: u32 = 50;
/// The tail latency of a service without load.
const UNLOADED_TAIL_MS: f64 = 10.0;
/// The period with which loads swing.
const PERIOD_S: f64 = 14.0;
/// The number of the first best-effort job.
const FIRST_BEST_EFFORT: u64 = 100;

thread_local! {
    static NOW_MS: Cell<u64> = const { Cell::new(0) };
}

/// Returns the tail latency of a service whose own load is `own`, beside best-effort tasks.
fn tail_ms(worker: &FakeWorker, own: f64) -> u32 {
    let best_effort = worker.running.values().filter(|run| !run.is_serving);
    let added = best_effort.map(|run| f64::from(run.cpu_millis * u32::from(run.percent)));
    let stress = own + added.sum::<f64>() / 100.0 / 4_000.0;
    (UNLOADED_TAIL_MS / (1.0 - stress.min(0.97))) as u32
}

/// Returns the same for a service whose load swings, each service's at another time.
fn swinging_tail_ms(worker: &FakeWorker) -> u32 {
    let service = worker.running.iter().find(|(_, run)| run.is_serving);
    let shift = service.map_or(0.0, |(name, _)| name.job.0 as f64 / f64::from(WORKERS));
    let turns = NOW_MS.get() as f64 / 1_000.0 / PERIOD_S + shift;
    tail_ms(worker, 0.5 + 0.22 * (TAU * turns).sin())
}

fn steady_tail_ms(worker: &FakeWorker) -> u32 {
    tail_ms(worker, 0.5)
}

fn forecast() -> LoadParts {
    [LoadPart::LoadForecast].into_iter().collect()
}

/// Returns a fleet on which each worker runs a service.
fn fleet_of_services(parts: LoadParts, tail_ms: fn(&FakeWorker) -> u32) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::with_parts((0..WORKERS).map(FakeWorker::new), parts);
    fleet.tail_ms = tail_ms;
    for id in 1..=u64::from(WORKERS) {
        let serving_step = StepSpec {
            long_running: true,
            size: Resources::new(2_500, 512, 0),
            tail_target_ms: Some(u64::from(TARGET_MS)),
            image: Some("s".to_owned()),
            ..step(1)
        };
        fleet.submit(id, job(vec![serving_step]));
    }
    fleet.advance_ms(1_000);
    fleet
}

/// What callers and users of services saw.
#[derive(Debug, Default)]
struct Seen {
    /// The time that services were above their target.
    above_target_s: f64,
    /// The number of completed best-effort jobs.
    completed: u32,
    /// The time for which best-effort tasks were throttled.
    throttled_s: f64,
}

/// Submits best-effort jobs of 2 s at irregular times, 0.6 s apart on average, and counts from the
/// given time on.
fn run_best_effort(fleet: &mut SimulatedFleet, seconds: u64, count_from_s: u64) -> Seen {
    run_best_effort_from(fleet, FIRST_BEST_EFFORT, seconds, count_from_s)
}

/// The same, with jobs numbered from `first_job` on.
fn run_best_effort_from(
    fleet: &mut SimulatedFleet,
    first_job: u64,
    seconds: u64,
    count_from_s: u64,
) -> Seen {
    let mut seen = Seen::default();
    let (mut random, mut next_job, mut next_at_ms) = (7_u64, first_job, 0);
    for at_ms in (0..seconds * 1_000).step_by(10) {
        if at_ms >= next_at_ms {
            let size = Resources::new(1_200, 256, 0);
            let image = Some("f".to_owned());
            let best_effort_step =
                StepSpec { best_effort: true, size, image, estimate_ms: 2_000, ..step(1) };
            fleet.submit(next_job, job(vec![best_effort_step]));
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            next_job += 1;
            next_at_ms += 100 + (random >> 33) % 1_000;
        }
        NOW_MS.set(fleet.now.as_ms());
        fleet.advance_ms(10);
        if at_ms < count_from_s * 1_000 {
            continue;
        }
        for worker in fleet.workers.values() {
            let is_above = (fleet.tail_ms)(worker) > TARGET_MS;
            let is_throttled = worker.running.values().any(|run| run.percent < 100);
            seen.above_target_s += if is_above { 0.01 } else { 0.0 };
            seen.throttled_s += if is_throttled { 0.01 } else { 0.0 };
        }
    }
    let completed =
        (first_job..next_job).filter(|&id| fleet.final_state(id) == Some(JobState::Completed));
    seen.completed = completed.count() as u32;
    seen
}

/// Returns the mean number of services for which the scheduler reported a forecast, in the given
/// seconds after a moment.
fn mean_forecasts(fleet: &SimulatedFleet, since: Time, seconds: Range<u64>) -> f64 {
    let is_counted = |at: Time| at >= since && seconds.contains(&at.since(since).as_secs());
    let counts = fleet.log_entries.iter().filter_map(|(at, entry)| match entry {
        LogEntry::LoadForecast { forecasts, .. } if is_counted(*at) => Some(f64::from(*forecasts)),
        _ => None,
    });
    let counts = counts.collect::<Vec<_>>();
    counts.iter().sum::<f64>() / counts.len().max(1) as f64
}

#[test]
fn services_with_swinging_loads_are_above_their_target_for_less_time() {
    let mut without_part = fleet_of_services(LoadParts::default(), swinging_tail_ms);
    let without_part = run_best_effort(&mut without_part, 120, 30);
    let mut fleet = fleet_of_services(forecast(), swinging_tail_ms);
    let with_part = run_best_effort(&mut fleet, 120, 30);
    let forecasts = mean_forecasts(&fleet, Time::ZERO, 30..120);
    assert!(forecasts > 0.5 * f64::from(WORKERS), "forecasts for {forecasts} services");
    assert!(
        with_part.above_target_s < 0.7 * without_part.above_target_s,
        "{with_part:?}, without the part {without_part:?}"
    );
    assert!(
        with_part.completed * 100 >= without_part.completed * 97,
        "{with_part:?}, without the part {without_part:?}"
    );
}

/// Returns a digest of the starts: when, what and where.
fn starts_digest(fleet: &SimulatedFleet) -> u64 {
    let text = fleet
        .start_orders
        .iter()
        .map(|(at, task, worker)| format!("{} {}.{} {worker}\n", at.as_ms(), task.job, task.index));
    let mix = |digest: u64, byte: u8| (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.collect::<String>().bytes().fold(0xcbf2_9ce4_8422_2325, mix)
}

#[test]
fn without_the_part_starts_are_as_before_it() {
    let mut fleet = fleet_of_services(LoadParts::default(), swinging_tail_ms);
    run_best_effort(&mut fleet, 120, 30);
    assert_eq!(
        (fleet.start_orders.len(), starts_digest(&fleet)),
        (206, 12_804_137_228_882_339_348)
    );
}

#[test]
fn steady_loads_are_decided_as_without_the_part() {
    let starts = |parts| {
        let mut fleet = fleet_of_services(parts, steady_tail_ms);
        run_best_effort(&mut fleet, 60, 0);
        (fleet.start_orders.clone(), mean_forecasts(&fleet, Time::ZERO, 0..60))
    };
    let (without_part, _) = starts(LoadParts::default());
    let (with_part, forecasts) = starts(forecast());
    assert!(forecasts == 0.0, "forecasts for {forecasts} services");
    assert!(without_part.len() > 90, "{} starts", without_part.len());
    assert_eq!(with_part, without_part);
}

#[test]
fn new_owner_decides_without_forecasts_until_it_has_learned_them() {
    let mut fleet = fleet_of_services(forecast(), swinging_tail_ms);
    run_best_effort(&mut fleet, 40, 0);
    fleet.take_over(2, true);
    let taken_over_at = fleet.now;
    run_best_effort_from(&mut fleet, 1_000, 30, 0);
    let forecasts = |seconds| mean_forecasts(&fleet, taken_over_at, seconds);
    assert!(forecasts(0..4) == 0.0, "nothing is learned yet");
    assert!(forecasts(18..30) > 0.5 * f64::from(WORKERS), "{} services", forecasts(18..30));
}

#[test]
fn burst_that_no_period_explains_is_not_taken_for_a_swing() {
    /// Returns the tail latency of services that are steady but for a burst of 3 s.
    fn tail_with_burst_ms(worker: &FakeWorker) -> u32 {
        let is_burst = (20_000..23_000).contains(&NOW_MS.get());
        tail_ms(worker, if is_burst { 0.7 } else { 0.4 })
    }
    let mut fleet = fleet_of_services(forecast(), tail_with_burst_ms);
    run_best_effort(&mut fleet, 60, 0);
    let forecasts = mean_forecasts(&fleet, Time::ZERO, 0..60);
    assert!(forecasts < 0.05 * f64::from(WORKERS), "forecasts for {forecasts} services");
}
