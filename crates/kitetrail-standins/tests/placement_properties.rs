//! Tests promises P1 to P3 under random faults. The simulation checks them after every event.
//!
//! The seeds are fixed, so every run checks the same sessions. A failure prints the seed and
//! the shortest failing session that was found.

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
use world::{NetworkConditions, Simulation, spec};

const NODES: usize = 3;
const WORKERS: usize = 4;
/// The time between clearing all faults and checking the final state, in milliseconds.
const RECOVERY_MS: u64 = 120_000;

/// A fault that occurs or is cleared.
#[derive(Debug, Clone)]
enum Fault {
    KillBox(usize),
    RestartBox(usize),
    PauseBox(usize),
    ResumeBox(usize),
    DrainBox(usize),
    DisconnectWorker(usize, usize),
    ReconnectWorkers(usize),
    SetTableDisconnected(usize, bool),
    SetTableDown(bool),
    SetWorkerPaused(usize, bool),
    RestartWorker(usize),
    SetWorkerLeaving(usize, bool),
    CancelJob,
    DegradeNetwork(u32, u32, u64),
    RestoreNetwork,
}

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..NODES;
    let worker = 0..WORKERS;
    prop_oneof![
        node.clone().prop_map(Fault::KillBox),
        node.clone().prop_map(Fault::RestartBox),
        node.clone().prop_map(Fault::PauseBox),
        node.clone().prop_map(Fault::ResumeBox),
        node.clone().prop_map(Fault::DrainBox),
        (node.clone(), worker.clone()).prop_map(|(n, w)| Fault::DisconnectWorker(n, w)),
        node.clone().prop_map(Fault::ReconnectWorkers),
        (node.clone(), any::<bool>())
            .prop_map(|(n, disconnected)| Fault::SetTableDisconnected(n, disconnected)),
        any::<bool>().prop_map(Fault::SetTableDown),
        (worker.clone(), any::<bool>()).prop_map(|(w, paused)| Fault::SetWorkerPaused(w, paused)),
        worker.clone().prop_map(Fault::RestartWorker),
        (worker, any::<bool>()).prop_map(|(w, leaving)| Fault::SetWorkerLeaving(w, leaving)),
        Just(Fault::CancelJob),
        (0u32..30, 0u32..30, 1u64..1_500).prop_map(|(l, d, ms)| Fault::DegradeNetwork(l, d, ms)),
        Just(Fault::RestoreNetwork),
    ]
}

/// Generates the seed of a simulation and its faults, each with the delay after the previous
/// one in milliseconds.
fn session() -> impl Strategy<Value = (u64, Vec<(u64, Fault)>)> {
    (any::<u32>().prop_map(u64::from), vec((1u64..6_000, fault()), 1..25))
}

fn settings() -> ShardSettings {
    ShardSettings::builder().detached_renewal(Duration::from_secs(15)).build()
}

fn inject_fault(sim: &mut Simulation, fault: &Fault) {
    match *fault {
        Fault::KillBox(node) => sim.kill_box(node),
        Fault::RestartBox(node) => sim.restart_box(node),
        Fault::PauseBox(node) => sim.pause_box(node),
        Fault::ResumeBox(node) => sim.resume_box(node),
        Fault::DrainBox(node) => sim.drain_box(node),
        Fault::DisconnectWorker(node, worker) => sim.disconnect_worker(node, worker),
        Fault::ReconnectWorkers(node) => sim.reconnect_workers(node),
        Fault::SetTableDisconnected(node, disconnected) => {
            sim.set_table_disconnected(node, disconnected)
        }
        Fault::SetTableDown(down) => sim.network.table_down = down,
        Fault::SetWorkerPaused(worker, paused) => sim.set_worker_paused(worker, paused),
        Fault::RestartWorker(worker) => sim.restart_worker(worker),
        Fault::SetWorkerLeaving(worker, true) => sim.set_worker_state(worker, Liveness::Leaving),
        Fault::SetWorkerLeaving(worker, false) => sim.set_worker_state(worker, Liveness::Live),
        Fault::CancelJob => sim.cancel(&world::spec("cancelled", SpecKind::Job, 1, 0).name),
        Fault::DegradeNetwork(loss_percent, duplicate_percent, max_delay_ms) => {
            let table_down = sim.network.table_down;
            let min_delay_ms = 1;
            sim.network = NetworkConditions {
                min_delay_ms,
                max_delay_ms,
                loss_percent,
                duplicate_percent,
                table_down,
            };
        }
        Fault::RestoreNetwork => sim.network = NetworkConditions::reliable(),
    }
}

fn clear_faults(sim: &mut Simulation) {
    sim.network = NetworkConditions::reliable();
    for worker in 0..WORKERS {
        sim.set_worker_paused(worker, false);
        sim.set_worker_state(worker, Liveness::Live);
    }
    for node in 0..NODES {
        sim.restart_box(node);
        sim.reconnect_workers(node);
        sim.set_table_disconnected(node, false);
    }
}

/// Checks that every job has ended as expected, that services run, and that the watcher runs once.
fn check_final_state(sim: &mut Simulation) {
    for row in sim.task_rows() {
        let is_expected = match (row.spec.kind, &row.stage) {
            (SpecKind::Job, TaskStage::Ended(TaskEnding::Done)) => true,
            (SpecKind::Job, TaskStage::Ended(TaskEnding::Cancelled)) => {
                row.spec.name.as_str() == "cancelled"
            }
            (SpecKind::Service | SpecKind::Watcher, TaskStage::Placed { .. }) => true,
            _ => false,
        };
        assert!(is_expected, "{} ended up as {:?}\n{}", row.id, row.stage, sim.log);
    }
    assert_eq!(
        sim.running_attempts("notices:0").len(),
        1,
        "the watcher must run once\n{}",
        sim.log
    );
}

fn run_session(seed: u64, faults: &[(u64, Fault)]) {
    let mut sim = Simulation::new(seed, NODES, WORKERS, settings());
    sim.submit(spec("validate", SpecKind::Service, 3, 0));
    sim.submit(spec("notices", SpecKind::Watcher, 1, 0));
    sim.submit(spec("packs", SpecKind::Job, 8, 7_000));
    sim.submit(spec("cancelled", SpecKind::Job, 2, 15_000));
    for (after_ms, fault) in faults {
        sim.run_for_ms(*after_ms);
        inject_fault(&mut sim, fault);
    }
    clear_faults(&mut sim);
    sim.run_for_ms(RECOVERY_MS);
    check_final_state(&mut sim);
}

fn check_sessions(seed: u8, cases: u32) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&session(), |(sim_seed, faults)| {
        run_session(sim_seed, &faults);
        Ok(())
    });
    if let Err(error) = result {
        panic!("sessions of seed {seed}: {error}");
    }
}

#[test]
fn promises_hold_under_random_faults_of_seed_1() {
    check_sessions(1, 150);
}

#[test]
fn promises_hold_under_random_faults_of_seed_2() {
    check_sessions(2, 150);
}
