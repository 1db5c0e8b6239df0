//! Counts the table's transactions at several rates of task starts, on virtual time.
//!
//! The simulation has one shard of 75 workers. The load is the share of one of 16 shards when
//! all shards together start 0, 1, 32 and 320 tasks a second.
#![allow(missing_docs, reason = "an example")]

#[path = "../tests/world/mod.rs"]
mod world;

use kitetrail_core::{
    Resources,
    placement::InterferenceAware,
    shard::ShardSettings,
    task::{Spec, SpecKind},
};
use kitetrail_standins::worker::{Effects, WorkerSettings};
use world::{Simulation, spec, worker_settings};

const SHARDS: u64 = 16;
const WORKERS: usize = 75;
const SECONDS: u64 = 60;

fn main() {
    println!(
        "| starts/s in all | starts in one shard | transactions/s of one shard | of {SHARDS} shards | rows/transaction |"
    );
    println!("|---|---|---|---|---|");
    for starts_per_s in [0, 1, 32, 320] {
        let workers = WorkerSettings {
            capacity: Resources::new(16_000, 61_440, 0),
            ..worker_settings(Effects::default())
        };
        let placer = InterferenceAware::default();
        let mut sim =
            Simulation::with_placer(3, 1, WORKERS, ShardSettings::default(), placer, workers);
        sim.run_for_ms(3_000);
        let (commits, rows, start_count) = (sim.commits(), sim.rows_written(), sim.start_count());
        let mut submitted = 0;
        for second in 0..SECONDS {
            let starts_due = starts_per_s * (second + 1) / SHARDS;
            let tasks = (starts_due - submitted) as u32;
            submitted = starts_due;
            if tasks > 0 {
                let name = format!("packs-{second}");
                let size = Resources::new(500, 512, 0);
                sim.submit(Spec { size, ..spec(&name, SpecKind::Job, tasks, 5_000) });
            }
            sim.run_for_ms(1_000);
        }
        let shard_commits = sim.commits() - commits - sim.submissions();
        let per_s = shard_commits as f64 / SECONDS as f64;
        let rows = (sim.rows_written() - rows) as f64 / shard_commits as f64;
        println!(
            "| {starts_per_s} | {} | {per_s:.2} | {:.0} | {rows:.1} |",
            sim.start_count() - start_count,
            per_s * SHARDS as f64
        );
    }
}
