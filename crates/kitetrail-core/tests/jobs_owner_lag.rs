//! An owner with little processor time on a full fleet: what share of each kind of work is served.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    thread,
    time::Duration,
};

use fleet::{FakeWorker, Processor, SimulatedFleet, job, queue, step};
use kitetrail_core::{
    Resources, Time,
    jobs::{JobState, LoadPart, LoadParts, LogEntry, QueueTerms, StepSpec, WorkKind},
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

/// The processor time of the workers, in thousandths of a core, in turn.
const WORKER_MILLIS: [u32; 3] = [16_000, 16_000, 24_000];
const WORKERS: u32 = 120;
/// The part of the fleet that long-running work asks for.
const LONG_RUNNING_SHARE: f64 = 0.85;
const LONG_RUNNING_MILLIS: [u32; 5] = [2_400, 2_800, 3_200, 3_600, 4_000];
const LONG_RUNNING_TASKS: u32 = 12;
/// The sizes of short tasks, in thousandths of a core: the deciles of a skewed distribution.
const SHORT_MILLIS: [u32; 10] =
    [2_000, 2_700, 3_300, 3_900, 4_500, 5_100, 5_900, 7_000, 9_500, 14_000];
const SHORT_TASK_MS: u64 = 800;
/// The part of the fleet that short work uses on average.
const SHORT_SHARE: f64 = 0.055;
/// The tasks of a best-effort step, and the starts of best-effort tasks a second on each worker.
const BEST_EFFORT_TASKS: u32 = 40;
const BEST_EFFORT_TASK_MS: u64 = 2_500;
const BEST_EFFORT_STARTS_PER_S: f64 = 1.5;
const WARM_UP_MS: u64 = 12_000;
const MEASURED_MS: u64 = 10_000;
/// The interval in which callers submit.
const INTERVAL_MS: u64 = 20;
/// The tasks of the owner's process that an answer passes, each of which waits for its turn.
const TASKS_PASSED: u32 = 10;
/// The processor times of an event: on a calm owner, and up to one that has hardly any to spare.
const EVENT_COSTS: [Duration; 3] =
    [Duration::from_micros(200), Duration::from_micros(1_000), Duration::from_micros(1_700)];
/// The least part of what is served on a calm owner that must still be served.
const LEAST_RATIO: f64 = 0.9;
const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

#[derive(Debug, Clone, Copy)]
struct Submitted {
    id: u64,
    kind: WorkKind,
    at: Time,
    objective: Duration,
}

/// Callers of all kinds of work.
struct Load {
    fleet: SimulatedFleet,
    rng: ChaCha8Rng,
    next_id: u64,
    submitted: Vec<Submitted>,
    /// The share of the long-running tasks that was at work at some moments.
    at_work: Vec<f64>,
    long_running_tasks: u32,
    /// The work that is due by now less what was submitted: short in thousandths of a core times
    /// seconds, best-effort in tasks, long-running in thousandths of a core.
    owed: [f64; WorkKind::ALL.len()],
}

impl Load {
    fn new(seed: u64, event_cost: Duration) -> Self {
        let worker = |no: u32| {
            let mut worker = FakeWorker::new(no);
            let millis = WORKER_MILLIS[no as usize % WORKER_MILLIS.len()];
            worker.entry.capacity = Resources::new(millis, 64_000, 0);
            worker
        };
        let parts =
            [LoadPart::RunLengths, LoadPart::LoadForecast].into_iter().collect::<LoadParts>();
        let mut fleet = SimulatedFleet::with_parts((0..WORKERS).map(worker), parts);
        let mut processor = Processor::new(event_cost, fleet.now);
        processor.tasks_passed = TASKS_PASSED;
        fleet.processor = Some(processor);
        Self {
            fleet,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_id: 1,
            submitted: Vec::new(),
            at_work: Vec::new(),
            long_running_tasks: 0,
            owed: [0.0; WorkKind::ALL.len()],
        }
    }

    fn fleet_millis() -> f64 {
        (0..WORKERS as usize).map(|no| f64::from(WORKER_MILLIS[no % WORKER_MILLIS.len()])).sum()
    }

    fn submit(&mut self, kind: WorkKind, terms: QueueTerms, steps: Vec<StepSpec>, ms: u64) {
        let stretch = terms.stretch;
        let objective = Duration::from_millis(terms.target_latency_ms)
            + Duration::from_millis(ms).mul_f64(stretch);
        self.fleet.submit_to(terms, self.next_id, job(steps));
        let (id, at) = (self.next_id, self.fleet.now);
        self.submitted.push(Submitted { id, kind, at, objective });
        self.next_id += 1;
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
                estimate_ms: SHORT_TASK_MS,
                depends_on: (0..number).collect(),
                ..step(count)
            }
        });
        let steps = steps.collect::<Vec<_>>();
        let path_ms = SHORT_TASK_MS * steps.len() as u64;
        let checks = QueueTerms { stretch: 1.5, target_latency_ms: 300, ..queue() };
        self.submit(WorkKind::Short, checks, steps, path_ms);
        work
    }

    /// Submits a best-effort job, and returns its tasks.
    fn submit_best_effort(&mut self) -> f64 {
        let image = self.rng.random_range(0..8);
        let spec = StepSpec {
            best_effort: true,
            keeps_progress: true,
            image: Some(format!("pack-{image}")),
            size: Resources::new(1_800, 3_200, 0),
            estimate_ms: BEST_EFFORT_TASK_MS,
            ..step(BEST_EFFORT_TASKS)
        };
        let packs = QueueTerms {
            name: "packs".into(),
            priority: 2,
            stretch: 2.0,
            target_latency_ms: 1_000,
            ..queue()
        };
        self.submit(WorkKind::BestEffort, packs, vec![spec], BEST_EFFORT_TASK_MS);
        f64::from(BEST_EFFORT_TASKS)
    }

    /// Submits a long-running job, and returns the processor time that it asks for.
    fn submit_long_running(&mut self) -> f64 {
        let millis = *LONG_RUNNING_MILLIS.choose(&mut self.rng).unwrap();
        let image = self.rng.random_range(0..16);
        let spec = StepSpec {
            long_running: true,
            tail_target_ms: Some(50),
            image: Some(format!("service-{image}")),
            size: Resources::new(millis, 6_400, 0),
            estimate_ms: 400,
            ..step(LONG_RUNNING_TASKS)
        };
        self.long_running_tasks += LONG_RUNNING_TASKS;
        let watches = QueueTerms { name: "watches".into(), ..queue() };
        self.submit(WorkKind::LongRunning, watches, vec![spec], 0);
        f64::from(millis) * f64::from(LONG_RUNNING_TASKS)
    }

    fn run(&mut self, ms: u64, long_running_share: f64) {
        let interval_s = INTERVAL_MS as f64 / 1_000.0;
        let turns = ms / INTERVAL_MS;
        for turn in 0..turns {
            let due = [
                Self::fleet_millis() * SHORT_SHARE * interval_s,
                f64::from(WORKERS) * BEST_EFFORT_STARTS_PER_S * interval_s,
                Self::fleet_millis() * long_running_share / turns as f64,
            ];
            for kind in WorkKind::ALL {
                self.owed[kind as usize] += due[kind as usize];
                while self.owed[kind as usize] > 0.0 {
                    self.owed[kind as usize] -= match kind {
                        WorkKind::Short => self.submit_short(),
                        WorkKind::BestEffort => self.submit_best_effort(),
                        WorkKind::LongRunning => self.submit_long_running(),
                    };
                }
            }
            self.fleet.advance_ms(INTERVAL_MS);
            if turn.is_multiple_of(25) {
                self.sample();
            }
        }
    }

    /// Records the share of the long-running tasks that is at work.
    fn sample(&mut self) {
        let running = self.fleet.workers.values().flat_map(|worker| worker.running.values());
        let running = running.filter(|run| run.is_long_running).count();
        self.at_work.push(running as f64 / f64::from(self.long_running_tasks));
    }

    /// Returns the share of the jobs of a kind submitted in a span that were completed in time.
    fn served(&self, kind: WorkKind, from: Time, until: Time) -> f64 {
        let completed = self.fleet.log_entries.iter().filter_map(|(at, entry)| match entry {
            LogEntry::JobEnded { job, state: JobState::Completed, .. } => Some((job.0, *at)),
            _ => None,
        });
        let completed = completed.collect::<BTreeMap<_, _>>();
        let submitted = self.submitted.iter().filter(|job| job.kind == kind);
        let submitted = submitted.filter(|job| job.at >= from && job.at < until);
        let (mut served, mut all) = (0, 0);
        for job in submitted {
            all += 1;
            let at = completed.get(&job.id);
            served += u32::from(at.is_some_and(|at| at.since(job.at) <= job.objective));
        }
        f64::from(served) / f64::from(all)
    }
}

/// What was served of each kind of work at one cost of events.
#[derive(Debug, Clone, Copy)]
struct Served {
    event_cost: Duration,
    longest_lag: Duration,
    by_kind: [f64; WorkKind::ALL.len()],
}

impl Served {
    fn at(event_cost: Duration, seed: u64) -> Self {
        let mut load = Load::new(seed, event_cost);
        load.run(WARM_UP_MS, LONG_RUNNING_SHARE);
        let from = load.fleet.now;
        load.at_work.clear();
        load.fleet.processor.as_mut().unwrap().longest_lag = Duration::ZERO;
        load.run(MEASURED_MS, 0.0);
        let until = load.fleet.now;
        let longest_lag = load.fleet.processor.as_ref().unwrap().longest_lag;
        let long_running = load.at_work.iter().sum::<f64>() / load.at_work.len() as f64;
        load.fleet.advance_ms(8_000);
        let by_kind = WorkKind::ALL.map(|kind| match kind {
            WorkKind::LongRunning => long_running,
            WorkKind::Short | WorkKind::BestEffort => load.served(kind, from, until),
        });
        Self { event_cost, longest_lag, by_kind }
    }

    /// Returns the mean over some seeds, with the longest lag.
    fn mean_at(event_cost: Duration) -> Self {
        let served = thread::scope(|scope| {
            let runs = SEEDS.map(|seed| scope.spawn(move || Self::at(event_cost, seed)));
            runs.map(|run| run.join().unwrap())
        });
        let mean = |kind: WorkKind| {
            served.iter().map(|served| served.by_kind[kind as usize]).sum::<f64>()
                / served.len() as f64
        };
        let longest_lag = served.iter().map(|served| served.longest_lag).max().unwrap();
        Self { event_cost, longest_lag, by_kind: WorkKind::ALL.map(mean) }
    }
}

impl Display for Served {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "an event costs {:?}, lag of {:?} at most:", self.event_cost, self.longest_lag)?;
        for kind in WorkKind::ALL {
            write!(f, " {kind} {:.3}", self.by_kind[kind as usize])?;
        }
        Ok(())
    }
}

/// Guards against a few milliseconds of lag that halve what a kind of work is served.
#[test]
fn owner_that_lags_a_little_serves_each_kind_like_one_that_does_not() {
    let served = EVENT_COSTS.map(Served::mean_at);
    let table = served.iter().map(Served::to_string).collect::<Vec<_>>().join("\n");
    for dearer in &served[1..] {
        for (kind, calm) in WorkKind::ALL.into_iter().zip(served[0].by_kind) {
            let share = dearer.by_kind[kind as usize];
            assert!(share >= LEAST_RATIO * calm, "{kind} work breaks down:\n{table}");
        }
    }
}
