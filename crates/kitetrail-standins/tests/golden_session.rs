//! A whole session of one shard, from the first takeover to the last task, as a file.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod world;

use expect_test::expect_file;
use kitetrail_core::{shard::ShardSettings, task::SpecKind};
use world::{World, spec};

#[test]
fn a_quiet_session() {
    let mut world = World::new(1, 2, 3, ShardSettings::default());
    world.submit(spec("validate", SpecKind::Service, 2, 0));
    world.submit(spec("packs", SpecKind::Job, 3, 4_000));
    world.submit(spec("notices", SpecKind::Watcher, 1, 0));
    world.run_ms(8_000);
    world.cancel(&"notices".parse().unwrap());
    world.run_ms(2_000);
    expect_file!["golden/quiet_session.txt"].assert_eq(&world.log);
}

#[test]
fn an_owner_is_killed_and_a_worker_restarts() {
    let mut world = World::new(2, 2, 3, ShardSettings::default());
    world.submit(spec("validate", SpecKind::Service, 2, 0));
    world.submit(spec("packs", SpecKind::Job, 3, 9_000));
    world.run_ms(3_000);
    world.kill_owner(0);
    world.run_ms(6_000);
    world.restart_worker(1);
    world.run_ms(20_000);
    expect_file!["golden/owner_killed_worker_restarted.txt"].assert_eq(&world.log);
}

/// A box that is not the first choice keeps a shard that nobody else takes, in place of
/// giving it back and taking it again.
#[test]
fn a_second_choice_does_not_flap() {
    let mut world = World::new(3, 2, 1, ShardSettings::default());
    world.rerank = false;
    world.submit(spec("packs", SpecKind::Job, 1, 2_000));
    world.run_ms(1_000);
    world.kill_owner(0);
    world.run_ms(120_000);
    let takeovers = world.log.matches("took over").count();
    assert!(takeovers <= 6, "{takeovers} takeovers\n{}", world.log);
    assert_eq!(world.completions("packs"), [1]);
}
