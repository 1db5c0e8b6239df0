//! P1 to P3, one failure at a time, on virtual time. The world checks the promises
//! after every event; each test checks besides that the failure really came about.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod world;

use std::time::Duration;

use kitetrail_core::{
    Attempt, Resources,
    fleet::Liveness,
    placement::{InterferenceAware, Placer, PolicyTable},
    shard::ShardSettings,
    task::{Ending, Kind, Spec, Stage},
};
use kitetrail_standins::worker::Effects;
use world::{Weather, World, spec, worker_settings};

/// Short enough that a test sees it pass.
const DETACHED: Duration = Duration::from_secs(15);

fn world(nodes: usize, workers: usize) -> World {
    let settings = ShardSettings::builder().detached_renewal(DETACHED).build();
    World::new(7, nodes, workers, settings)
}

fn with_size(spec: Spec, size: Resources) -> Spec {
    Spec { size, ..spec }
}

/// P2: an owner cut off from the table goes on renewing; the new owner can't reach the
/// worker and must wait for as long as the older one may renew.
#[test]
fn a_new_owner_waits_for_what_the_older_one_may_renew() {
    let long = ShardSettings::builder().detached_renewal(DETACHED * 3).build();
    let mut world = World::new(7, 2, 2, long);
    world.submit(spec("notices", Kind::Watcher, 1, 0));
    world.run_ms(2_000);
    let (worker, _) = world.where_runs("notices:0")[0];
    world.cut(1, 0);
    world.cut(1, 1);
    world.cut_table(0, true);
    world.run_ms(13_000);
    assert!(world.log.contains("box-1 took over"), "{}", world.log);
    assert_eq!(world.where_runs("notices:0"), [(worker, Attempt(1))], "{}", world.log);
    world.join(1);
    world.cut(1, worker);
    world.cut(0, 1 - worker);
    world.run_ms(60_000);
    let places = world.where_runs("notices:0");
    assert_eq!(places, [(1 - worker, Attempt(2))], "it runs elsewhere\n{}", world.log);
}

/// P2: the table is silent for longer than leases last; what runs goes on.
#[test]
fn running_work_outlives_a_table_outage() {
    let mut world = world(2, 2);
    world.submit(spec("packs", Kind::Job, 4, 12_000));
    world.run_ms(2_000);
    let starts = world.starts();
    world.weather.table_down = true;
    world.run_ms(12_000);
    assert_eq!(world.completions("packs"), [1, 1, 1, 1], "{}", world.log);
    world.weather.table_down = false;
    world.run_ms(5_000);
    assert_eq!(world.starts(), starts, "nothing runs again\n{}", world.log);
    assert!(world.rows().iter().all(|row| row.stage == Stage::Ended(Ending::Done)));
}

/// P2: the owner is killed after it committed a placement and before it ordered the start.
#[test]
fn an_owner_killed_between_commit_and_start() {
    let mut world = world(2, 2);
    world.submit(spec("packs", Kind::Job, 2, 2_000));
    while world.rows().iter().all(|row| row.worker().is_none()) {
        world.run_ms(1);
    }
    world.kill_owner(0);
    world.run_ms(15_000);
    assert_eq!(world.completions("packs"), [1, 1], "{}", world.log);
}

/// P1, P2: an owner freezes past its lease and thaws while its transaction is on its way.
#[test]
fn an_owner_frozen_past_its_lease() {
    let mut world = world(2, 2);
    world.submit(spec("packs", Kind::Job, 6, 4_000));
    world.run_ms(260);
    world.pause_owner(0);
    world.run_ms(8_000);
    world.thaw_owner(0);
    world.run_ms(30_000);
    assert!(world.log.contains("box-1 took over"), "{}", world.log);
    assert!(world.log.contains("box-0 stepped down"), "{}", world.log);
    assert_eq!(world.completions("packs"), [1; 6], "{}", world.log);
}

/// P2: an order is on its way for longer than leases last. The worker must not take it
/// for a fresh one.
#[test]
fn an_order_that_arrives_long_after_it_was_sent() {
    let mut world = world(1, 2);
    world.weather = Weather { max_delay_ms: 25_000, ..Weather::calm() };
    world.submit(spec("packs", Kind::Job, 4, 3_000));
    world.submit(spec("notices", Kind::Watcher, 2, 0));
    world.run_ms(120_000);
    world.weather = Weather::calm();
    world.run_ms(60_000);
    assert!(world.rows().iter().all(|row| row.stage != Stage::Queued), "{}", world.log);
}

/// P2: renewals arrive but their answers are lost, so the owner does not know of them,
/// until nothing arrives any more. A lease must not grow by what its owner can't count.
#[test]
fn renewals_whose_answers_are_lost() {
    for muted_ms in (1_000..12_000).step_by(500) {
        let mut world = world(1, 3);
        world.submit(spec("notices", Kind::Watcher, 1, 0));
        world.run_ms(2_000);
        let (worker, _) = world.where_runs("notices:0")[0];
        world.mute(0, worker);
        world.run_ms(muted_ms);
        world.cut(0, worker);
        world.run_ms(20_000);
        assert!(world.log.contains("lease expired"), "{}", world.log);
        assert_eq!(world.where_runs("notices:0").len(), 1, "{}", world.log);
    }
}

/// P2: three of four messages are lost, whichever way they go.
#[test]
fn most_messages_are_lost() {
    for seed in 0..40 {
        let mut world = World::new(seed, 1, 3, ShardSettings::default());
        world.submit(spec("notices", Kind::Watcher, 4, 0));
        world.run_ms(2_000);
        world.weather = Weather { max_delay_ms: 900, lose_percent: 75, ..Weather::calm() };
        world.run_ms(120_000);
        assert!(world.log.contains("lease expired"), "{}", world.log);
    }
}

/// P3: a worker is told to go; its work is saved, stopped, and goes on elsewhere once.
#[test]
fn evicted_work_resumes_once_from_its_checkpoint() {
    let mut world = world(1, 2);
    world.submit(spec("packs", Kind::Job, 1, 8_000));
    world.run_ms(4_000);
    let (worker, _) = world.where_runs("packs:0")[0];
    world.set_worker_state(worker, Liveness::Leaving);
    world.run_ms(20_000);
    assert_eq!(world.completions("packs"), [1], "{}", world.log);
    assert_eq!(world.starts(), 2, "{}", world.log);
    let resumed = world.log.lines().find(|line| line.contains("starts packs:0 attempt 2"));
    let from = resumed.and_then(|line| line.rsplit(' ').next()).unwrap_or("0");
    let from_ms: u64 = from.parse().unwrap_or(0);
    assert!(from_ms >= 3_000, "it resumed from {from_ms}\n{}", world.log);
}

/// P3: the owner is killed at each step of an eviction.
#[test]
fn an_owner_killed_at_each_step_of_an_eviction() {
    for killed_after_ms in (0..3_000).step_by(50) {
        let mut world = world(2, 2);
        world.submit(spec("packs", Kind::Job, 1, 8_000));
        world.run_ms(4_000);
        let (worker, _) = world.where_runs("packs:0")[0];
        world.set_worker_state(worker, Liveness::Leaving);
        world.run_ms(killed_after_ms);
        world.kill_owner(0);
        world.run_ms(30_000);
        assert_eq!(world.completions("packs"), [1], "{killed_after_ms}\n{}", world.log);
        assert_eq!(world.starts(), 2, "{killed_after_ms}\n{}", world.log);
    }
}

/// P3: a cancel comes in at each step of an eviction.
#[test]
fn a_cancel_at_each_step_of_an_eviction() {
    for cancelled_after_ms in (0..2_000).step_by(50) {
        let mut world = world(1, 2);
        world.submit(spec("packs", Kind::Job, 1, 60_000));
        world.run_ms(4_000);
        let (worker, _) = world.where_runs("packs:0")[0];
        world.set_worker_state(worker, Liveness::Leaving);
        world.run_ms(cancelled_after_ms);
        world.cancel(&"packs".parse().unwrap());
        world.run_ms(10_000);
        assert!(world.where_runs("packs:0").is_empty(), "{}", world.log);
        let rested = world.rows()[0].stage == Stage::Ended(Ending::Cancelled);
        assert!(rested, "{cancelled_after_ms}\n{}", world.log);
    }
}

/// P1: more work than there is room, of sizes that do not divide it, and accelerators
/// asked for one by one. Some tasks ask for none.
#[test]
fn more_work_than_room() {
    let mut world = world(1, 3);
    let odd = |name, tasks, cpu, acc| {
        with_size(spec(name, Kind::Job, tasks, 1_500), Resources::new(cpu, 700, acc))
    };
    world.submit(odd("odd", 9, 1_700, 0));
    world.submit(odd("tiny", 30, 130, 0));
    world.submit(odd("tensor", 7, 300, 1));
    world.run_ms(60_000);
    assert_eq!(world.completions("odd"), [1; 9], "{}", world.log);
    assert_eq!(world.completions("tiny"), [1; 30], "{}", world.log);
    assert_eq!(world.completions("tensor"), [1; 7], "{}", world.log);
}

/// A worker that fails everything is told apart from jobs that fail anywhere.
#[test]
fn bad_workers_and_bad_jobs_are_told_apart() {
    let mut world = world(1, 6);
    world.break_worker(0);
    for number in 0..6 {
        world.submit(spec(&format!("packs-{number}"), Kind::Job, 2, 1_000));
    }
    world.submit(spec("fail-always", Kind::Job, 1, 1_000));
    world.run_ms(60_000);
    for row in world.rows() {
        let expected = match row.spec.name.as_str() {
            "fail-always" => Ending::Failed,
            _ => Ending::Done,
        };
        assert_eq!(row.stage, Stage::Ended(expected), "{}\n{}", row.id, world.log);
    }
    assert!(world.log.contains("quarantined worker-0"), "{}", world.log);
    assert!(!world.log.contains("quarantined worker-1"), "{}", world.log);
}

/// Urgent work displaces other work when nothing is free, and runs within 3.3 s.
#[test]
fn urgent_work_starts_at_once() {
    let mut world = world(1, 1);
    world.submit(spec("packs", Kind::Job, 4, 60_000));
    world.run_ms(3_000);
    let urgent = Spec { priority: 250, ..spec("urgent", Kind::Job, 1, 1_000) };
    world.submit(urgent);
    world.run_ms(3_300);
    let started = world.log.contains("starts urgent:0") || !world.where_runs("urgent:0").is_empty();
    assert!(started, "{}", world.log);
}

/// A large job that fits nowhere does not hold up what comes after it.
#[test]
fn a_job_that_fits_nowhere_holds_up_nothing() {
    let mut world = world(1, 2);
    world.submit(Spec {
        priority: 100,
        ..with_size(spec("too-large", Kind::Job, 600, 1_000), Resources::new(9_000, 1_024, 0))
    });
    world.submit(spec("packs", Kind::Job, 4, 1_000));
    world.run_ms(5_000);
    assert_eq!(world.completions("packs"), [1; 4], "{}", world.log);
}

/// Tasks at rest are forgotten in time, in the table too.
#[test]
fn tasks_at_rest_are_forgotten() {
    let day_ms = 24 * 60 * 60 * 1_000;
    let mut world = world(2, 2);
    world.set_unix_time(10 * day_ms);
    world.submit(spec("packs", Kind::Job, 4, 1_000));
    world.run_ms(4_000);
    world.kill_owner(0);
    world.run_ms(6_000);
    world.set_unix_time(11 * day_ms - 1);
    world.run_ms(2_000);
    assert_eq!(world.rows().len(), 4);
    world.set_unix_time(11 * day_ms + 1);
    world.run_ms(2_000);
    assert_eq!(world.rows().len(), 0, "{}", world.log);
}

/// A team's batch jobs never hold more than its quota, and all of them run in the end.
#[test]
fn a_quota_is_kept() {
    let mut placer = InterferenceAware::default();
    let quotas = [("desk".parse().unwrap(), Resources::new(3_500, 8_192, 0))].into();
    placer.set_policy(PolicyTable { quotas, ..PolicyTable::default() });
    let workers = worker_settings(Effects::default());
    let mut world = World::with(7, 1, 3, ShardSettings::default(), placer, workers);
    world.submit(spec("packs", Kind::Job, 12, 1_000));
    for _ in 0..100 {
        world.run_ms(100);
        let running = (0..12).filter(|n| !world.where_runs(&format!("packs:{n}")).is_empty());
        assert!(running.count() <= 3, "{}", world.log);
    }
    assert_eq!(world.completions("packs"), [1; 12], "{}", world.log);
}

/// A wave of cancels is dealt with in a few transactions.
#[test]
fn a_cancel_wave_is_one_batch() {
    let mut world = world(1, 3);
    for number in 0..40 {
        world.submit(spec(&format!("packs-{number}"), Kind::Job, 10, 60_000));
    }
    world.run_ms(3_000);
    let before = world.commits();
    for number in 0..40 {
        world.cancel(&format!("packs-{number}").parse().unwrap());
    }
    world.run_ms(5_000);
    let ended = world.rows().iter().filter(|row| row.is_ended()).count();
    assert_eq!(ended, 400);
    let own_commits = world.commits() - before - 40;
    assert!(own_commits <= 20, "{own_commits} transactions for 400 cancels");
}

/// A part of a job crashes each worker that runs it: the worker restarts and reports nothing of it, so no run of it
/// ever fails. It was requeued as often as it was started; the job comes to rest as failed instead, and its neighbours
/// are done.
#[test]
fn a_job_that_crashes_its_workers_comes_to_rest() {
    let mut world = world(2, 4);
    world.submit(spec("bad", Kind::Job, 1, 2_000));
    world.submit(spec("packs", Kind::Job, 6, 3_000));
    let mut crashes = 0;
    for step in 0..12_000 {
        world.run_ms(10);
        if let Some(&(worker, _)) = world.where_runs("bad:0").first() {
            world.run_ms(50);
            world.restart_worker(worker);
            crashes += 1;
        }
        if step == 600 {
            world.kill_owner(0);
        }
    }
    assert!(crashes <= 5, "{crashes} workers crashed\n{}", world.log);
    let rows = world.rows();
    let of =
        |name: &str| rows.iter().filter(|row| row.id.spec.as_str() == name).collect::<Vec<_>>();
    let (bad, packs) = (of("bad"), of("packs"));
    assert!(bad.iter().all(|row| row.stage == Stage::Ended(Ending::Failed)), "{bad:?}");
    assert!(packs.iter().all(|row| row.stage == Stage::Ended(Ending::Done)), "{packs:?}");
}

/// Workers that restart again and again under a long job, which saves its progress, fail nothing.
#[test]
fn workers_that_restart_by_themselves_fail_no_job() {
    let mut world = world(1, 4);
    world.submit(spec("packs", Kind::Job, 8, 20_000));
    for round in 0..40 {
        world.run_ms(2_300);
        world.restart_worker(round % 4);
    }
    world.run_ms(120_000);
    assert!(
        world.rows().iter().all(|row| row.stage == Stage::Ended(Ending::Done)),
        "{}",
        world.log
    );
}
