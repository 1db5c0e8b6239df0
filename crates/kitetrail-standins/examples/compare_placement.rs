//! Compares placers on the same workers and the same generated load, on virtual time.
//!
//! Two services and four classes of batch work share workers. Only the workers know which
//! class slows down which. For each placer and the weightings of both users, the example
//! prints the latency of the services (20 ms when undisturbed), the batch work done, the
//! evictions and throttles, and the work lost.
#![allow(clippy::unwrap_used, reason = "a test may panic")]
#![allow(missing_docs, reason = "an example")]

#[path = "../tests/world/mod.rs"]
mod world;

use hdrhistogram::Histogram;
use kitetrail_core::{
    Resources, SpecName,
    placement::{AllowedRelief, ClassRule, FirstFit, InterferenceAware, Placer, PolicyTable},
    shard::ShardSettings,
    task::{Spec, SpecKind},
};
use kitetrail_standins::worker::{Effects, WorkerSettings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use world::{Simulation, spec, worker_settings};

const WORKERS: usize = 12;
const WAVE_COUNT: u64 = 30;
const WAVE_MS: u64 = 20_000;
const TASKS_PER_WAVE: u32 = 70;
const UNDISTURBED_LATENCY_US: f64 = 20_000.0;
const BATCH_CLASSES: [&str; 4] = ["pack-heavy", "pack-light", "report", "scan"];
const EFFECTS: &str = "
[validate]
pack-heavy = 0.30
pack-light = 0.02
report = 0.04
scan = 0.01
[hold]
pack-heavy = 0.03
pack-light = 0.02
report = 0.35
scan = 0.01
[pack-heavy]
pack-heavy = 0.10
";

/// A user's weighting of tail latency, and the slowdown that its services tolerate.
struct Weighting {
    name: &'static str,
    tail_weight: f64,
    max_slowdown: f64,
}

const WEIGHTINGS: [Weighting; 2] = [
    Weighting { name: "tender desk", tail_weight: 0.35, max_slowdown: 1.5 },
    Weighting { name: "Pultwerk", tail_weight: 0.85, max_slowdown: 1.15 },
];

fn policy(weighting: &Weighting, relief: bool) -> PolicyTable {
    let max_service_slowdown = if relief { weighting.max_slowdown } else { f64::MAX };
    let service = ClassRule {
        rank: 100,
        sacrifice: AllowedRelief::Never,
        max_slowdown: max_service_slowdown,
    };
    let batch = ClassRule { rank: 10, sacrifice: AllowedRelief::Evict, max_slowdown: f64::MAX };
    let services = ["validate", "hold"].map(|name| (name, service.clone()));
    let batch = BATCH_CLASSES.map(|name| (name, batch.clone()));
    let rules = services.into_iter().chain(batch);
    PolicyTable {
        tail_weight: weighting.tail_weight,
        rules: rules.map(|(name, rule)| (name.parse().unwrap(), rule)).collect(),
        ..PolicyTable::default()
    }
}

/// Returns the batch jobs of a wave, which are the same for every placer.
fn batch_wave(number: u64) -> Vec<Spec> {
    let mut rng = ChaCha8Rng::seed_from_u64(number);
    let mut counts = [0u32; BATCH_CLASSES.len()];
    for _ in 0..TASKS_PER_WAVE {
        counts[rng.random_range(0..BATCH_CLASSES.len())] += 1;
    }
    let job_of_class = |(class, count): (&str, u32)| {
        let run_ms = rng.random_range(10_000..30_000);
        let job = spec(&format!("{class}-{number}"), SpecKind::Job, count.max(1), run_ms);
        Spec { class: class.parse().unwrap(), ..job }
    };
    BATCH_CLASSES.into_iter().zip(counts).map(job_of_class).collect()
}

fn compare<P: Placer + Clone>(label: &str, weighting: &Weighting, mut placer: P, relief: bool) {
    placer.set_policy(policy(weighting, relief));
    let effects: Effects = toml::from_str(EFFECTS).unwrap();
    let capacity = Resources::new(16_000, 61_440, 0);
    let workers = WorkerSettings { capacity, ..worker_settings(effects) };
    let mut sim = Simulation::with_placer(5, 1, WORKERS, ShardSettings::default(), placer, workers);
    for name in ["validate", "hold"] {
        let size = Resources::new(4_000, 4_096, 0);
        sim.submit(Spec { size, ..spec(name, SpecKind::Service, 6, 0) });
    }
    sim.run_for_ms(3_000);
    let mut latency_us = Histogram::<u64>::new(3).unwrap();
    for number in 0..WAVE_COUNT {
        for spec in batch_wave(number) {
            sim.submit(spec);
        }
        for _ in 0..WAVE_MS / 100 {
            sim.run_for_ms(100);
            record_latency(&sim, &mut latency_us);
        }
    }
    let evictions = sim.log.matches(": evicted").count();
    let throttles = sim.log.matches("to throttle").count();
    let done_h = sim.completed_work_ms() as f64 / 3_600_000.0;
    let lost_h = sim.lost_ms as f64 / 3_600_000.0;
    let ms = |quantile| latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "| {} | {label} | {:.1} | {:.1} | {:.1} | {done_h:.2} | {evictions} | {throttles} | {lost_h:.3} |",
        weighting.name,
        ms(0.5),
        ms(0.99),
        ms(0.999),
    );
}

fn record_latency<P: Placer + Clone>(sim: &Simulation<P>, latency_us: &mut Histogram<u64>) {
    for service in ["validate", "hold"] {
        let service: SpecName = service.parse().unwrap();
        for slowdown in sim.slowdowns(&service) {
            latency_us.record((slowdown * UNDISTURBED_LATENCY_US) as u64).unwrap();
        }
    }
}

fn main() {
    println!(
        "| weighting | placer | p50 ms | p99 ms | p99.9 ms | batch hours done | evictions | throttles | hours lost |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for weighting in &WEIGHTINGS {
        compare("first fit, no relief", weighting, FirstFit::default(), false);
        compare("first fit, relief", weighting, FirstFit::default(), true);
        compare("interference-aware, no relief", weighting, InterferenceAware::default(), false);
        compare("interference-aware", weighting, InterferenceAware::default(), true);
    }
}
