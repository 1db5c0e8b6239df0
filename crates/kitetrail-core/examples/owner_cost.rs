//! Measures the cost of an owner's decisions as its fleet grows, at a constant load for each worker.
//!
//! A fleet is simulated on virtual time for some seconds, and only the time spent in the scheduler is
//! counted. The load is modelled on the largest known one: serving tasks that reserve nearly all
//! processors, best-effort tasks that use their idle capacity, and short checks.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::Duration;

use fleet::{FakeWorker, SimulatedFleet, job};
use kitetrail_core::{
    Resources,
    jobs::{StepSpec, WorkerEntry},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The load of a fleet, for each of its workers.
struct Profile {
    name: &'static str,
    /// The numbers of workers: those of known fleets, and twice that of the largest.
    workers: &'static [u32],
    /// The jobs per second, and the largest number of tasks in a step.
    checks_per_s: f64,
    check_tasks: u32,
    builds_per_s: f64,
    build_tasks: u32,
    /// The jobs that run continuously.
    watchers: f64,
    /// The number of tasks of such a job.
    watcher_tasks: u32,
}

/// The load of a fleet of some hundred workers, which fills it.
const FULL: Profile = Profile {
    name: "full",
    workers: &[66, 490, 890, 1_780],
    checks_per_s: 13.0 / 890.0,
    check_tasks: 27,
    builds_per_s: 14.9 / 890.0,
    build_tasks: 70,
    watchers: 173.0 / 890.0,
    watcher_tasks: 34,
};
/// The load of the largest known fleet, which leaves room.
const ROOMY: Profile = Profile {
    name: "roomy",
    workers: &[890, 6_002, 12_000],
    checks_per_s: 11.5 / 6_002.0,
    check_tasks: 40,
    builds_per_s: 13.7 / 6_002.0,
    build_tasks: 80,
    watchers: 185.0 / 6_002.0,
    watcher_tasks: 48,
};
/// The factor by which the rate of builds increases to cause a backlog.
const BACKLOG_BUILD_FACTOR: f64 = 2.6;
/// The simulated time before the measurement, during which the fleet fills up, in milliseconds.
const WARM_UP_MS: u64 = 6_000;
/// The simulated time of the measurement, in milliseconds.
const MEASURED_MS: u64 = 6_000;
/// The simulated time after a takeover that is measured, in milliseconds.
const TAKEOVER_MS: u64 = 1_000;
/// The interval at which new jobs are submitted, in milliseconds.
const SUBMIT_INTERVAL_MS: u64 = 50;
/// The number of images of builds.
const BUILD_IMAGE_COUNT: u32 = 30;
/// The number of images of watchers.
const WATCHER_IMAGE_COUNT: u32 = 16;

fn main() {
    for profile in [FULL, ROOMY] {
        for (name, build_factor) in [("calm", 1.0), ("backlog", BACKLOG_BUILD_FACTOR)] {
            println!("{}, {name}:", profile.name);
            for &workers in profile.workers {
                let mut load = Load::new(&profile, workers, build_factor);
                load.run(WARM_UP_MS);
                let before = Counters::of(&load.fleet);
                load.run(MEASURED_MS);
                report(workers, &before, &Counters::of(&load.fleet));
            }
        }
        println!("{}, takeover:", profile.name);
        for &workers in profile.workers {
            let mut load = Load::new(&profile, workers, 1.0);
            load.run(WARM_UP_MS);
            let before = Counters::of(&load.fleet);
            load.fleet.take_over(2, true);
            load.fleet.advance_ms(TAKEOVER_MS);
            report_takeover(workers, &before, &Counters::of(&load.fleet));
        }
    }
}

/// The values of the counters at one point of the simulation.
struct Counters {
    starts: usize,
    events: u64,
    handling_time: Duration,
    allocations: u64,
    polls: u64,
    stale_answers: u64,
}

impl Counters {
    fn of(fleet: &SimulatedFleet) -> Self {
        let &SimulatedFleet { events, handling_time, allocations, polls, stale_answers, .. } =
            fleet;
        Self {
            starts: fleet.starts.len(),
            events,
            handling_time,
            allocations,
            polls,
            stale_answers,
        }
    }
}

fn report(workers: u32, before: &Counters, after: &Counters) {
    let starts = (after.starts - before.starts) as f64;
    let events = (after.events - before.events) as f64;
    let spent_us = (after.handling_time - before.handling_time).as_secs_f64() * 1e6;
    println!(
        "workers {workers} us_per_start {:.1} us_per_event {:.2} allocations_per_start {:.1} \
         starts_per_s {:.0} holds_per_start {:.2} stale_per_start {:.2} cores {:.3}",
        spent_us / starts,
        spent_us / events,
        (after.allocations - before.allocations) as f64 / starts,
        starts * 1_000.0 / MEASURED_MS as f64,
        (after.polls - before.polls) as f64 / starts,
        (after.stale_answers - before.stale_answers) as f64 / starts,
        spent_us / 1_000.0 / MEASURED_MS as f64,
    );
}

fn report_takeover(workers: u32, before: &Counters, after: &Counters) {
    let spent_us = (after.handling_time - before.handling_time).as_secs_f64() * 1e6;
    let allocations = (after.allocations - before.allocations) as f64;
    println!(
        "workers {workers} us_per_worker {:.1} allocations_per_worker {:.1} polls_per_worker {:.2}",
        spent_us / f64::from(workers),
        allocations / f64::from(workers),
        (after.polls - before.polls) as f64 / f64::from(workers),
    );
}

/// A simulated fleet and the generator of its jobs.
struct Load<'a> {
    profile: &'a Profile,
    fleet: SimulatedFleet,
    rng: ChaCha8Rng,
    workers: f64,
    build_factor: f64,
    next_job: u64,
    due_checks: f64,
    due_builds: f64,
}

impl<'a> Load<'a> {
    fn new(profile: &'a Profile, workers: u32, build_factor: f64) -> Self {
        let mut fleet = SimulatedFleet::with_workers((0..workers).map(worker));
        fleet.tail_ms = |worker| {
            let best_effort = worker.running.values().filter(|run| !run.is_serving);
            let used =
                best_effort.map(|run| run.cpu_millis * u32::from(run.percent) / 100).sum::<u32>();
            12 + 20 * used / worker.entry.capacity.cpu_millis.0
        };
        let mut load = Self {
            profile,
            fleet,
            rng: ChaCha8Rng::seed_from_u64(1),
            workers: f64::from(workers),
            build_factor,
            next_job: 1,
            due_checks: 0.0,
            due_builds: 0.0,
        };
        for _ in 0..(load.workers * profile.watchers) as u32 {
            let spec = load.watcher();
            load.submit_job(vec![spec]);
            load.fleet.advance_ms(10);
        }
        load
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / SUBMIT_INTERVAL_MS {
            let seconds = SUBMIT_INTERVAL_MS as f64 / 1_000.0;
            self.due_checks += self.profile.checks_per_s * self.workers * seconds;
            self.due_builds +=
                self.profile.builds_per_s * self.workers * seconds * self.build_factor;
            while self.due_checks >= 1.0 {
                self.due_checks -= 1.0;
                let first = self.check();
                self.submit_job(vec![first]);
            }
            while self.due_builds >= 1.0 {
                self.due_builds -= 1.0;
                let first = self.build();
                let second = StepSpec { depends_on: vec![0], ..self.build() };
                self.submit_job(vec![first, second]);
            }
            self.fleet.advance_ms(SUBMIT_INTERVAL_MS);
        }
    }

    fn submit_job(&mut self, steps: Vec<StepSpec>) {
        self.next_job += 1;
        self.fleet.submit(self.next_job, job(steps));
    }

    fn check(&mut self) -> StepSpec {
        let cpu_millis = self.rng.random_range(3_000..7_500);
        StepSpec {
            count: self.rng.random_range(3..self.profile.check_tasks),
            size: Resources::new(cpu_millis, 8_000, 0),
            estimate_ms: self.rng.random_range(400..1_200),
            ..StepSpec::default()
        }
    }

    fn build(&mut self) -> StepSpec {
        let cpu_millis = self.rng.random_range(1_200..2_400);
        StepSpec {
            count: self.rng.random_range(10..self.profile.build_tasks),
            size: Resources::new(cpu_millis, 3_200, 0),
            estimate_ms: self.rng.random_range(1_400..4_000),
            keeps_progress: true,
            best_effort: true,
            image: Some(format!("build-{}", self.rng.random_range(0..BUILD_IMAGE_COUNT))),
            ..StepSpec::default()
        }
    }

    fn watcher(&mut self) -> StepSpec {
        let cpu_millis = self.rng.random_range(2_400..4_000);
        StepSpec {
            count: self.rng.random_range(15..self.profile.watcher_tasks),
            size: Resources::new(cpu_millis, 6_400, 0),
            estimate_ms: 400,
            long_running: true,
            image: Some(format!("watch-{}", self.rng.random_range(0..WATCHER_IMAGE_COUNT))),
            tail_target_ms: Some(50),
            max_unavailable: Some(1),
            ..StepSpec::default()
        }
    }
}

/// Returns a worker with 16 cores. Each rack holds 20 workers.
fn worker(number: u32) -> FakeWorker {
    let FakeWorker { entry, .. } = FakeWorker::new(number);
    let rack = format!("r{}", number / 20);
    FakeWorker::with_entry(WorkerEntry {
        capacity: Resources::new(16_000, 64_000, 0),
        labels: vec!["a".to_owned(), rack.clone()],
        rack,
        ..entry
    })
}
