//! Load that rises past what the fleet has room for and returns: what share of each kind of work is served.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    thread,
    time::Duration,
};

use fleet::{FakeWorker, SimulatedFleet, job, queue, step};
use kitetrail_core::{
    Resources, Time,
    jobs::{JobSpec, JobState, LoadPart, LoadParts, LogEntry, QueueTerms, StepSpec},
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

/// The processor time of the workers, in thousandths of a core, in turn.
const WORKER_MILLIS: [u32; 3] = [16_000, 16_000, 24_000];
const WORKERS: u32 = 120;
/// The sizes of short tasks, in thousandths of a core: the deciles of a skewed distribution. The largest one needs a
/// whole worker of the smaller kind.
const SHORT_MILLIS: [u32; 10] =
    [2_000, 2_700, 3_300, 3_900, 4_500, 5_100, 5_900, 7_000, 9_500, 16_000];
const SHORT_TASK_MS: u64 = 800;
/// The sizes of long-running tasks, in thousandths of a core.
const LONG_RUNNING_MILLIS: [u32; 5] = [2_400, 2_800, 3_200, 3_600, 4_000];
const LONG_RUNNING_TASKS: u32 = 12;
/// The part of the fleet that long-running work holds at first.
const FILLED_SHARE: f64 = 0.78;
/// The part that more long-running work asks for, and the part that short work uses on average, at a load of 1.
const MORE_SHARE: f64 = 0.11;
const SHORT_SHARE: f64 = 0.055;
/// The first load, the number of loads, and the ratio of each to the one before.
const FIRST_LOAD: f64 = 0.8;
const LOADS: i32 = 11;
const LOAD_STEP: f64 = 1.05;
/// The number of steps in which the load rises by a tenth, and the least part of what was served that must still be
/// served then.
const STEPS_TO_COMPARE: usize = 2;
const LEAST_RATIO: f64 = 0.8;
const SEEDS: [u64; 4] = [1, 2, 3, 4];
/// The times for which long-running work comes, stays, and is gone again.
const RISE_MS: u64 = 20_000;
const STEADY_MS: u64 = 10_000;
const RETURN_MS: u64 = 5_000;
/// The interval in which callers submit.
const INTERVAL_MS: u64 = 20;

#[derive(Debug, Clone, Copy)]
struct Submitted {
    id: u64,
    at: Time,
    objective: Duration,
}

/// Long-running work that comes and goes, and short work at a load that changes.
struct Load {
    fleet: SimulatedFleet,
    rng: ChaCha8Rng,
    next_id: u64,
    short: Vec<Submitted>,
    long_running: Vec<u64>,
    /// The share of the long-running tasks that was at work at some moments.
    samples: Vec<(Time, f64)>,
    /// The work that is due by now less what was submitted, in thousandths of a core times seconds.
    short_owed: f64,
    /// The same of long-running work, in thousandths of a core.
    long_running_owed: f64,
}

impl Load {
    fn start(seed: u64, filled: f64) -> Self {
        let worker = |no: u32| {
            let mut worker = FakeWorker::new(no);
            let millis = WORKER_MILLIS[no as usize % WORKER_MILLIS.len()];
            worker.entry.capacity = Resources::new(millis, 64_000, 0);
            worker
        };
        let parts =
            [LoadPart::RunLengths, LoadPart::LoadForecast].into_iter().collect::<LoadParts>();
        let mut fleet = SimulatedFleet::with_parts((0..WORKERS).map(worker), parts);
        fleet.task_duration_ms = Some(SHORT_TASK_MS);
        let mut load = Self {
            fleet,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_id: 1,
            short: Vec::new(),
            long_running: Vec::new(),
            samples: Vec::new(),
            short_owed: 0.0,
            long_running_owed: 0.0,
        };
        load.fill(filled);
        load
    }

    fn fleet_millis() -> f64 {
        (0..WORKERS as usize).map(|no| f64::from(WORKER_MILLIS[no % WORKER_MILLIS.len()])).sum()
    }

    /// Submits the long-running work that is there at first.
    fn fill(&mut self, share: f64) {
        let mut wanted = Self::fleet_millis() * share;
        while wanted > 0.0 {
            wanted -= self.submit_long_running();
            self.fleet.advance_ms(20);
        }
        self.fleet.advance_ms(2_000);
    }

    fn submit_long_running(&mut self) -> f64 {
        let millis = *LONG_RUNNING_MILLIS.choose(&mut self.rng).unwrap();
        let image = self.rng.random_range(0..16);
        let apart = self.rng.random_range(0..2) == 0;
        let spec = StepSpec {
            long_running: true,
            tail_target_ms: Some(50),
            image: Some(format!("service-{image}")),
            size: Resources::new(millis, 6_400, 0),
            estimate_ms: 400,
            max_per_worker: apart.then_some(2),
            ..step(LONG_RUNNING_TASKS)
        };
        let watches = QueueTerms { name: "watches".into(), ..queue() };
        self.fleet.submit_to(watches, self.next_id, job(vec![spec]));
        self.long_running.push(self.next_id);
        self.next_id += 1;
        f64::from(millis) * f64::from(LONG_RUNNING_TASKS)
    }

    /// Submits a short job of one or two steps, and returns its work.
    fn submit_short(&mut self) -> f64 {
        let steps = self.rng.random_range(1..=2_u32);
        let mut work = 0.0;
        let steps = (0..steps).map(|number| {
            let millis = *SHORT_MILLIS.choose(&mut self.rng).unwrap();
            let count = self.rng.random_range(2..=8);
            work += f64::from(millis) * f64::from(count) * SHORT_TASK_MS as f64 / 1_000.0;
            StepSpec {
                size: Resources::new(millis, 2_000, 0),
                // Estimates are off by up to a half.
                estimate_ms: SHORT_TASK_MS * self.rng.random_range(50..=150) / 100,
                depends_on: (0..number).collect(),
                ..step(count)
            }
        });
        let spec: JobSpec = job(steps.collect());
        let checks = QueueTerms { stretch: 1.5, target_latency_ms: 300, ..queue() };
        let path_ms = SHORT_TASK_MS * spec.steps.len() as u64;
        let objective = Duration::from_millis(path_ms * 3 / 2 + 300);
        self.fleet.submit_to(checks, self.next_id, spec);
        self.short.push(Submitted { id: self.next_id, at: self.fleet.now, objective });
        self.next_id += 1;
        work
    }

    /// Lets callers submit for a time: short work that takes a share of the fleet, and long-running work that takes a
    /// further share each second.
    fn run(&mut self, ms: u64, short_share: f64, long_running_share_per_s: f64) {
        let interval_s = INTERVAL_MS as f64 / 1_000.0;
        for turn in 0..ms / INTERVAL_MS {
            self.short_owed += Self::fleet_millis() * short_share * interval_s;
            self.long_running_owed += Self::fleet_millis() * long_running_share_per_s * interval_s;
            while self.short_owed > 0.0 {
                self.short_owed -= self.submit_short();
            }
            while self.long_running_owed > 0.0 {
                self.long_running_owed -= self.submit_long_running();
            }
            self.fleet.advance_ms(INTERVAL_MS);
            if turn.is_multiple_of(25) {
                self.sample();
            }
        }
    }

    /// Counts the long-running tasks that are at work, and those that should be.
    fn sample(&mut self) {
        let running = self.fleet.workers.values().flat_map(|worker| worker.running.values());
        let at_work = running.filter(|run| run.is_long_running).count();
        let wanted = self.long_running.len() * LONG_RUNNING_TASKS as usize;
        self.samples.push((self.fleet.now, at_work as f64 / wanted as f64));
    }

    /// Returns the share of the short jobs submitted in a span that were completed in time.
    fn short_served(&self, from: Time, until: Time) -> f64 {
        let completed = self.fleet.log_entries.iter().filter_map(|(at, entry)| match entry {
            LogEntry::JobEnded { job, state: JobState::Completed, .. } => Some((job.0, *at)),
            _ => None,
        });
        let completed = completed.collect::<BTreeMap<_, _>>();
        let submitted = self.short.iter().filter(|job| job.at >= from && job.at < until);
        let (mut served, mut all) = (0, 0);
        for job in submitted {
            all += 1;
            let at = completed.get(&job.id);
            served += u32::from(at.is_some_and(|at| at.since(job.at) <= job.objective));
        }
        f64::from(served) / f64::from(all)
    }

    /// Returns the share of the long-running tasks that were at work in a span.
    fn long_running_served(&self, from: Time, until: Time) -> f64 {
        let samples = self.samples.iter().filter(|(at, _)| *at >= from && *at < until);
        let shares = samples.map(|(_, share)| *share).collect::<Vec<_>>();
        shares.iter().sum::<f64>() / shares.len() as f64
    }
}

/// What was served of each kind of work at one load.
#[derive(Debug, Clone, Copy)]
struct Served {
    load: f64,
    short: f64,
    long_running: f64,
    /// The share of the short work served from one task length after the load has returned.
    short_after_return: f64,
}

impl Served {
    /// Lets long-running work come until it stays the same, beside short work, and then go again.
    fn at(load: f64, seed: u64) -> Self {
        let mut work = Load::start(seed, FILLED_SHARE);
        let at_first = work.long_running.len();
        let per_s = MORE_SHARE * load / (RISE_MS as f64 / 1_000.0);
        work.run(RISE_MS, SHORT_SHARE * load, per_s);
        let from = work.fleet.now;
        work.run(STEADY_MS, SHORT_SHARE * load, 0.0);
        let until = work.fleet.now;
        for id in work.long_running.drain(at_first..) {
            work.fleet.cancel(id);
        }
        work.run(RETURN_MS, SHORT_SHARE * FIRST_LOAD, 0.0);
        let returned = work.fleet.now;
        work.fleet.advance_ms(5_000);
        let recovered = until + Duration::from_millis(SHORT_TASK_MS);
        Self {
            load,
            short: work.short_served(from, until),
            long_running: work.long_running_served(from, until),
            short_after_return: work.short_served(recovered, returned),
        }
    }

    /// Returns the mean over some seeds.
    fn mean_at(load: f64) -> Self {
        let served = SEEDS.map(|seed| Self::at(load, seed));
        let mean =
            |share: fn(&Self) -> f64| served.iter().map(share).sum::<f64>() / served.len() as f64;
        Self {
            load,
            short: mean(|served| served.short),
            long_running: mean(|served| served.long_running),
            short_after_return: mean(|served| served.short_after_return),
        }
    }
}

impl Display for Served {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { load, short, long_running, short_after_return } = self;
        write!(
            f,
            "load {load:.2}: short {short:.3}, long-running {long_running:.3}, short after the return {short_after_return:.3}"
        )
    }
}

/// Guards against short work that breaks down once long-running work has taken the gaps that its larger tasks need.
#[test]
fn served_share_of_each_kind_bends_past_the_edge_and_returns() {
    let loads = (0..LOADS).map(|step| FIRST_LOAD * LOAD_STEP.powi(step));
    let served = thread::scope(|scope| {
        let runs = loads.map(|load| scope.spawn(move || Served::mean_at(load)));
        let runs = runs.collect::<Vec<_>>();
        runs.into_iter().map(|run| run.join().unwrap()).collect::<Vec<_>>()
    });
    let table = served.iter().map(Served::to_string).collect::<Vec<_>>().join("\n");
    for (before, after) in served.iter().zip(&served[STEPS_TO_COMPARE..]) {
        assert!(after.short >= LEAST_RATIO * before.short, "short work breaks:\n{table}");
        assert!(
            after.long_running >= LEAST_RATIO * before.long_running,
            "long-running work breaks:\n{table}"
        );
    }
    let first = served[0].short;
    let slowest = served.iter().map(|served| served.short_after_return).fold(1.0, f64::min);
    assert!(slowest >= LEAST_RATIO * first, "short work does not recover:\n{table}");
}
