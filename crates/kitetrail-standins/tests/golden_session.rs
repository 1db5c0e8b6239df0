//! Compares the log of whole simulated sessions of one shard with recorded files.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod world;

use expect_test::expect_file;
use kitetrail_core::{shard::ShardSettings, task::SpecKind};
use world::{Simulation, spec};

#[test]
fn a_session_without_faults_matches_the_recorded_log() {
    let mut sim = Simulation::new(1, 2, 3, ShardSettings::default());
    sim.submit(spec("validate", SpecKind::Service, 2, 0));
    sim.submit(spec("packs", SpecKind::Job, 3, 4_000));
    sim.submit(spec("notices", SpecKind::Watcher, 1, 0));
    sim.run_for_ms(8_000);
    sim.cancel(&"notices".parse().unwrap());
    sim.run_for_ms(2_000);
    expect_file!["golden/quiet_session.txt"].assert_eq(&sim.log);
}

#[test]
fn a_session_with_a_killed_owner_and_a_restarted_worker_matches_the_recorded_log() {
    let mut sim = Simulation::new(2, 2, 3, ShardSettings::default());
    sim.submit(spec("validate", SpecKind::Service, 2, 0));
    sim.submit(spec("packs", SpecKind::Job, 3, 9_000));
    sim.run_for_ms(3_000);
    sim.kill_box(0);
    sim.run_for_ms(6_000);
    sim.restart_worker(1);
    sim.run_for_ms(20_000);
    expect_file!["golden/owner_killed_worker_restarted.txt"].assert_eq(&sim.log);
}

/// Guards against a box of lower rank that hands back and takes over the same shard
/// repeatedly while no other box takes it.
#[test]
fn a_lower_ranked_owner_keeps_a_shard_that_no_other_box_takes() {
    let mut sim = Simulation::new(3, 2, 1, ShardSettings::default());
    sim.update_ranks = false;
    sim.submit(spec("packs", SpecKind::Job, 1, 2_000));
    sim.run_for_ms(1_000);
    sim.kill_box(0);
    sim.run_for_ms(120_000);
    let takeovers = sim.log.matches("took over").count();
    assert!(takeovers <= 6, "{takeovers} takeovers\n{}", sim.log);
    assert_eq!(sim.completions("packs"), [1]);
}
