//! Counts the table's transactions at several rates of task starts, on virtual time.
//!
//! One shard of 75 workers; the rates are those of one of 16 shards at 1, 32 and 320
//! starts a second in all.
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
use world::{World, spec, worker_settings};

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
        let mut world = World::with(3, 1, WORKERS, ShardSettings::default(), placer, workers);
        world.run_ms(3_000);
        let (commits, rows, starts) = (world.commits(), world.rows_written(), world.starts());
        let mut submitted = 0;
        for second in 0..SECONDS {
            let due = starts_per_s * (second + 1) / SHARDS;
            let tasks = (due - submitted) as u32;
            submitted = due;
            if tasks > 0 {
                let name = format!("packs-{second}");
                let size = Resources::new(500, 512, 0);
                world.submit(Spec { size, ..spec(&name, SpecKind::Job, tasks, 5_000) });
            }
            world.run_ms(1_000);
        }
        let own = world.commits() - commits - world.submissions();
        let per_s = own as f64 / SECONDS as f64;
        let rows = (world.rows_written() - rows) as f64 / own as f64;
        println!(
            "| {starts_per_s} | {} | {per_s:.2} | {:.0} | {rows:.1} |",
            world.starts() - starts,
            per_s * SHARDS as f64
        );
    }
}
