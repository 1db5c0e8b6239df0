//! P1 to P3 under random faults: the world checks them after every event.
//!
//! The seeds are fixed, so every run judges the same sessions. A failure prints the
//! seed and the shortest session found that still fails.

mod world;

use std::time::Duration;

use kitetrail_core::{
    fleet::Liveness,
    shard::ShardSettings,
    task::{SpecKind, TaskEnding, TaskStage},
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use world::{Weather, World, spec};

const NODES: usize = 3;
const WORKERS: usize = 4;
/// How long the world is given to come to rest once all faults are over.
const HEALING_MS: u64 = 120_000;

/// One thing that goes wrong, or right again.
#[derive(Debug, Clone)]
enum Fault {
    KillOwner(usize),
    RestartOwner(usize),
    FreezeOwner(usize),
    ThawOwner(usize),
    DrainOwner(usize),
    Cut(usize, usize),
    Join(usize),
    CutTable(usize, bool),
    TableDown(bool),
    FreezeWorker(usize, bool),
    RestartWorker(usize),
    WorkerLeaves(usize, bool),
    CancelJob,
    Storm(u32, u32, u64),
    Calm,
}

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..NODES;
    let worker = 0..WORKERS;
    prop_oneof![
        node.clone().prop_map(Fault::KillOwner),
        node.clone().prop_map(Fault::RestartOwner),
        node.clone().prop_map(Fault::FreezeOwner),
        node.clone().prop_map(Fault::ThawOwner),
        node.clone().prop_map(Fault::DrainOwner),
        (node.clone(), worker.clone()).prop_map(|(n, w)| Fault::Cut(n, w)),
        node.clone().prop_map(Fault::Join),
        (node.clone(), any::<bool>()).prop_map(|(n, cut)| Fault::CutTable(n, cut)),
        any::<bool>().prop_map(Fault::TableDown),
        (worker.clone(), any::<bool>()).prop_map(|(w, frozen)| Fault::FreezeWorker(w, frozen)),
        worker.clone().prop_map(Fault::RestartWorker),
        (worker, any::<bool>()).prop_map(|(w, leaves)| Fault::WorkerLeaves(w, leaves)),
        Just(Fault::CancelJob),
        (0u32..30, 0u32..30, 1u64..1_500).prop_map(|(l, d, ms)| Fault::Storm(l, d, ms)),
        Just(Fault::Calm),
    ]
}

/// A session: each fault, and how long after the one before.
fn session() -> impl Strategy<Value = (u64, Vec<(u64, Fault)>)> {
    (any::<u32>().prop_map(u64::from), vec((1u64..6_000, fault()), 1..25))
}

fn settings() -> ShardSettings {
    ShardSettings::builder().detached_renewal(Duration::from_secs(15)).build()
}

fn cause(world: &mut World, fault: &Fault) {
    match *fault {
        Fault::KillOwner(node) => world.kill_owner(node),
        Fault::RestartOwner(node) => world.restart_owner(node),
        Fault::FreezeOwner(node) => world.pause_owner(node),
        Fault::ThawOwner(node) => world.thaw_owner(node),
        Fault::DrainOwner(node) => world.drain_owner(node),
        Fault::Cut(node, worker) => world.cut(node, worker),
        Fault::Join(node) => world.join(node),
        Fault::CutTable(node, cut) => world.cut_table(node, cut),
        Fault::TableDown(down) => world.weather.table_down = down,
        Fault::FreezeWorker(worker, frozen) => world.pause_worker(worker, frozen),
        Fault::RestartWorker(worker) => world.restart_worker(worker),
        Fault::WorkerLeaves(worker, true) => world.set_worker_state(worker, Liveness::Leaving),
        Fault::WorkerLeaves(worker, false) => world.set_worker_state(worker, Liveness::Live),
        Fault::CancelJob => world.cancel(&world::spec("cancelled", SpecKind::Job, 1, 0).name),
        Fault::Storm(lose_percent, double_percent, max_delay_ms) => {
            let table_down = world.weather.table_down;
            let min_delay_ms = 1;
            world.weather =
                Weather { min_delay_ms, max_delay_ms, lose_percent, double_percent, table_down };
        }
        Fault::Calm => world.weather = Weather::calm(),
    }
}

fn heal(world: &mut World) {
    world.weather = Weather::calm();
    for worker in 0..WORKERS {
        world.pause_worker(worker, false);
        world.set_worker_state(worker, Liveness::Live);
    }
    for node in 0..NODES {
        world.restart_owner(node);
        world.join(node);
        world.cut_table(node, false);
    }
}

/// Everything asked for came about in the end, exactly as often as asked.
fn check_rest(world: &mut World) {
    for row in world.rows() {
        let well = match (row.spec.kind, &row.stage) {
            (SpecKind::Job, TaskStage::Ended(TaskEnding::Done)) => true,
            (SpecKind::Job, TaskStage::Ended(TaskEnding::Cancelled)) => {
                row.spec.name.as_str() == "cancelled"
            }
            (SpecKind::Service | SpecKind::Watcher, TaskStage::Placed { .. }) => true,
            _ => false,
        };
        assert!(well, "{} rests as {:?}\n{}", row.id, row.stage, world.log);
    }
    assert_eq!(world.where_runs("notices:0").len(), 1, "the watcher runs once\n{}", world.log);
}

fn judge(seed: u64, faults: &[(u64, Fault)]) {
    let mut world = World::new(seed, NODES, WORKERS, settings());
    world.submit(spec("validate", SpecKind::Service, 3, 0));
    world.submit(spec("notices", SpecKind::Watcher, 1, 0));
    world.submit(spec("packs", SpecKind::Job, 8, 7_000));
    world.submit(spec("cancelled", SpecKind::Job, 2, 15_000));
    for (after_ms, fault) in faults {
        world.run_ms(*after_ms);
        cause(&mut world, fault);
    }
    heal(&mut world);
    world.run_ms(HEALING_MS);
    check_rest(&mut world);
}

fn judge_sessions(seed: u8, cases: u32) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&session(), |(world_seed, faults)| {
        judge(world_seed, &faults);
        Ok(())
    });
    if let Err(error) = result {
        panic!("sessions of seed {seed}: {error}");
    }
}

#[test]
fn promises_hold_in_sessions_of_seed_1() {
    judge_sessions(1, 150);
}

#[test]
fn promises_hold_in_sessions_of_seed_2() {
    judge_sessions(2, 150);
}
