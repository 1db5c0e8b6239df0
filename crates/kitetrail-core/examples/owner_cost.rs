//! What the decisions of an owner cost as its fleet grows, at the same load for each worker.
//!
//! A fleet on virtual time is played for some seconds; only the time that the scheduler itself takes is
//! counted. The load has the shape of the largest one that we know of: serving tasks that reserve
//! nearly all processors, best-effort tasks that use what they leave idle, and short checks.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::Duration;

use fleet::{FakeWorker, World, job};
use kitetrail_core::{
    Resources,
    jobs::{StepSpec, WorkerEntry},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Sizes of fleets: a small one, a grown one, the largest that we know of, and twice that.
const WORKERS: [u32; 4] = [66, 490, 890, 1_780];
/// Rates of the load, a second and worker.
const CHECKS_PER_S: f64 = 13.0 / 890.0;
const BUILDS_PER_S: f64 = 14.9 / 890.0;
/// Serving tasks that run all the time, for each worker.
const WATCHERS: f64 = 173.0 / 890.0;
/// How many times as many builds come when there is to be a backlog.
const BACKLOG: f64 = 2.6;
/// Played before anything is counted, so that the fleet is full.
const WARM_UP_MS: u64 = 6_000;
/// Played while costs are counted.
const COUNTED_MS: u64 = 6_000;
/// New jobs are handed in so often.
const HAND_IN_EVERY_MS: u64 = 50;
/// How many images build, and how many watch.
const BUILD_IMAGES: u32 = 30;
const WATCH_IMAGES: u32 = 16;

fn main() {
    for (name, builds) in [("calm", 1.0), ("backlog", BACKLOG)] {
        println!("{name}:");
        for workers in WORKERS {
            let mut load = Load::new(workers, builds);
            load.run(WARM_UP_MS);
            let before = Counts::of(&load.world);
            load.run(COUNTED_MS);
            report(workers, &before, &Counts::of(&load.world));
        }
    }
}

/// What was counted so far.
struct Counts {
    starts: usize,
    events: u64,
    spent: Duration,
    allocations: u64,
    polls: u64,
    stale_answers: u64,
}

impl Counts {
    fn of(world: &World) -> Self {
        let &World { events, spent, allocations, polls, stale_answers, .. } = world;
        Self { starts: world.starts.len(), events, spent, allocations, polls, stale_answers }
    }
}

fn report(workers: u32, before: &Counts, after: &Counts) {
    let starts = (after.starts - before.starts) as f64;
    let events = (after.events - before.events) as f64;
    let spent_us = (after.spent - before.spent).as_secs_f64() * 1e6;
    println!(
        "workers {workers} us_per_start {:.1} us_per_event {:.2} allocations_per_start {:.1} \
         starts_per_s {:.0} holds_per_start {:.2} stale_per_start {:.2} cores {:.3}",
        spent_us / starts,
        spent_us / events,
        (after.allocations - before.allocations) as f64 / starts,
        starts * 1_000.0 / COUNTED_MS as f64,
        (after.polls - before.polls) as f64 / starts,
        (after.stale_answers - before.stale_answers) as f64 / starts,
        spent_us / 1_000.0 / COUNTED_MS as f64,
    );
}

/// A fleet and the jobs that come.
struct Load {
    world: World,
    random: ChaCha8Rng,
    workers: f64,
    builds: f64,
    next_job: u64,
    owed_checks: f64,
    owed_builds: f64,
}

impl Load {
    fn new(workers: u32, builds: f64) -> Self {
        let mut world = World::with_workers((0..workers).map(worker));
        world.tail_ms = |worker| {
            let best_effort = worker.running.values().filter(|run| !run.is_serving);
            let used =
                best_effort.map(|run| run.cpu_millis * u32::from(run.percent) / 100).sum::<u32>();
            12 + 20 * used / worker.entry.capacity.cpu_millis.0
        };
        let mut load = Self {
            world,
            random: ChaCha8Rng::seed_from_u64(1),
            workers: f64::from(workers),
            builds,
            next_job: 1,
            owed_checks: 0.0,
            owed_builds: 0.0,
        };
        for _ in 0..(load.workers * WATCHERS) as u32 {
            let spec = load.watcher();
            load.hand_in(vec![spec]);
            load.world.run_ms(10);
        }
        load
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / HAND_IN_EVERY_MS {
            let seconds = HAND_IN_EVERY_MS as f64 / 1_000.0;
            self.owed_checks += CHECKS_PER_S * self.workers * seconds;
            self.owed_builds += BUILDS_PER_S * self.workers * seconds * self.builds;
            while self.owed_checks >= 1.0 {
                self.owed_checks -= 1.0;
                let first = self.check();
                self.hand_in(vec![first]);
            }
            while self.owed_builds >= 1.0 {
                self.owed_builds -= 1.0;
                let first = self.build();
                let second = StepSpec { depends_on: vec![0], ..self.build() };
                self.hand_in(vec![first, second]);
            }
            self.world.run_ms(HAND_IN_EVERY_MS);
        }
    }

    fn hand_in(&mut self, steps: Vec<StepSpec>) {
        self.next_job += 1;
        self.world.submit(self.next_job, job(steps));
    }

    fn check(&mut self) -> StepSpec {
        let cpu_millis = self.random.random_range(3_000..7_500);
        StepSpec {
            count: self.random.random_range(3..27),
            size: Resources::new(cpu_millis, 8_000, 0),
            estimate_ms: self.random.random_range(400..1_200),
            ..StepSpec::default()
        }
    }

    fn build(&mut self) -> StepSpec {
        let cpu_millis = self.random.random_range(1_200..2_400);
        StepSpec {
            count: self.random.random_range(10..70),
            size: Resources::new(cpu_millis, 3_200, 0),
            estimate_ms: self.random.random_range(1_400..4_000),
            keeps_progress: true,
            best_effort: true,
            image: Some(format!("build-{}", self.random.random_range(0..BUILD_IMAGES))),
            ..StepSpec::default()
        }
    }

    fn watcher(&mut self) -> StepSpec {
        let cpu_millis = self.random.random_range(2_400..4_000);
        StepSpec {
            count: self.random.random_range(15..34),
            size: Resources::new(cpu_millis, 6_400, 0),
            estimate_ms: 400,
            long_running: true,
            image: Some(format!("watch-{}", self.random.random_range(0..WATCH_IMAGES))),
            tail_target_ms: Some(50),
            max_unavailable: Some(1),
            ..StepSpec::default()
        }
    }
}

/// A worker of 16 cores, 20 of which share a rack.
fn worker(no: u32) -> FakeWorker {
    let FakeWorker { entry, .. } = FakeWorker::new(no);
    let rack = format!("r{}", no / 20);
    FakeWorker::with_entry(WorkerEntry {
        capacity: Resources::new(16_000, 64_000, 0),
        labels: vec!["a".to_owned(), rack.clone()],
        rack,
        ..entry
    })
}
