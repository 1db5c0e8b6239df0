//! Tests promises P1 to P3 under one failure at a time, on virtual time.
//!
//! The simulation checks the promises after every event. Each test also checks that the
//! failure it is about has occurred.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod world;

use std::time::Duration;

use kitetrail_core::{
    Attempt, Resources,
    fleet::Liveness,
    placement::{InterferenceAware, Placer, PolicyTable},
    shard::ShardSettings,
    task::{Spec, SpecKind, TaskEnding, TaskStage},
};
use kitetrail_standins::worker::Effects;
use world::{NetworkConditions, Simulation, spec, worker_settings};

/// The time for which an owner without the table renews leases, short enough to elapse within
/// a test.
const DETACHED_RENEWAL: Duration = Duration::from_secs(15);

fn simulation(nodes: usize, workers: usize) -> Simulation {
    let settings = ShardSettings::builder().detached_renewal(DETACHED_RENEWAL).build();
    Simulation::new(7, nodes, workers, settings)
}

fn with_size(spec: Spec, size: Resources) -> Spec {
    Spec { size, ..spec }
}

/// P2: an owner without a connection to the table continues to renew leases. A new owner
/// that can't reach the worker must wait until the previous owner can no longer renew them.
#[test]
fn a_new_owner_waits_until_the_previous_owner_can_no_longer_renew() {
    let long_renewal = ShardSettings::builder().detached_renewal(DETACHED_RENEWAL * 3).build();
    let mut sim = Simulation::new(7, 2, 2, long_renewal);
    sim.submit(spec("notices", SpecKind::Watcher, 1, 0));
    sim.run_for_ms(2_000);
    let (worker, _) = sim.running_attempts("notices:0")[0];
    sim.disconnect_worker(1, 0);
    sim.disconnect_worker(1, 1);
    sim.set_table_disconnected(0, true);
    sim.run_for_ms(13_000);
    assert!(sim.log.contains("box-1 took over"), "{}", sim.log);
    assert_eq!(sim.running_attempts("notices:0"), [(worker, Attempt(1))], "{}", sim.log);
    sim.reconnect_workers(1);
    sim.disconnect_worker(1, worker);
    sim.disconnect_worker(0, 1 - worker);
    sim.run_for_ms(60_000);
    let attempts = sim.running_attempts("notices:0");
    assert_eq!(
        attempts,
        [(1 - worker, Attempt(2))],
        "the task must run on the other worker\n{}",
        sim.log
    );
}

/// P2: tasks continue to run while the table is down for longer than the lease duration.
#[test]
fn running_tasks_complete_once_during_a_table_outage() {
    let mut sim = simulation(2, 2);
    sim.submit(spec("packs", SpecKind::Job, 4, 12_000));
    sim.run_for_ms(2_000);
    let start_count = sim.start_count();
    sim.network.table_down = true;
    sim.run_for_ms(12_000);
    assert_eq!(sim.completions("packs"), [1, 1, 1, 1], "{}", sim.log);
    sim.network.table_down = false;
    sim.run_for_ms(5_000);
    assert_eq!(sim.start_count(), start_count, "no task may start again\n{}", sim.log);
    assert!(sim.task_rows().iter().all(|row| row.stage == TaskStage::Ended(TaskEnding::Done)));
}

/// P2: the owner is killed after it commits a placement and before it sends the start order.
#[test]
fn tasks_complete_once_if_the_owner_is_killed_between_commit_and_start() {
    let mut sim = simulation(2, 2);
    sim.submit(spec("packs", SpecKind::Job, 2, 2_000));
    while sim.task_rows().iter().all(|row| row.worker().is_none()) {
        sim.run_for_ms(1);
    }
    sim.kill_box(0);
    sim.run_for_ms(15_000);
    assert_eq!(sim.completions("packs"), [1, 1], "{}", sim.log);
}

/// P1, P2: an owner is paused beyond its lease and resumes while its transaction is in flight.
#[test]
fn an_owner_paused_beyond_its_lease_steps_down() {
    let mut sim = simulation(2, 2);
    sim.submit(spec("packs", SpecKind::Job, 6, 4_000));
    sim.run_for_ms(260);
    sim.pause_box(0);
    sim.run_for_ms(8_000);
    sim.resume_box(0);
    sim.run_for_ms(30_000);
    assert!(sim.log.contains("box-1 took over"), "{}", sim.log);
    assert!(sim.log.contains("box-0 stepped down"), "{}", sim.log);
    assert_eq!(sim.completions("packs"), [1; 6], "{}", sim.log);
}

/// P2: orders are delayed for longer than the lease duration. A worker must not treat a
/// delayed order as a new one.
#[test]
fn orders_delayed_beyond_the_lease_start_no_task_twice() {
    let mut sim = simulation(1, 2);
    sim.network = NetworkConditions { max_delay_ms: 25_000, ..NetworkConditions::reliable() };
    sim.submit(spec("packs", SpecKind::Job, 4, 3_000));
    sim.submit(spec("notices", SpecKind::Watcher, 2, 0));
    sim.run_for_ms(120_000);
    sim.network = NetworkConditions::reliable();
    sim.run_for_ms(60_000);
    assert!(sim.task_rows().iter().all(|row| row.stage != TaskStage::Queued), "{}", sim.log);
}

/// P2: renewals reach the worker but the replies are lost, and later the renewals are lost
/// too. Renewals that the owner does not know to have arrived must not extend a lease beyond
/// the time after which the owner starts the task elsewhere.
#[test]
fn leases_lapse_safely_when_replies_to_renewals_are_lost() {
    for replies_lost_ms in (1_000..12_000).step_by(500) {
        let mut sim = simulation(1, 3);
        sim.submit(spec("notices", SpecKind::Watcher, 1, 0));
        sim.run_for_ms(2_000);
        let (worker, _) = sim.running_attempts("notices:0")[0];
        sim.drop_replies(0, worker);
        sim.run_for_ms(replies_lost_ms);
        sim.disconnect_worker(0, worker);
        sim.run_for_ms(20_000);
        assert!(sim.log.contains("lease expired"), "{}", sim.log);
        assert_eq!(sim.running_attempts("notices:0").len(), 1, "{}", sim.log);
    }
}

/// P2: three of four messages are lost in both directions.
#[test]
fn leases_lapse_safely_when_most_messages_are_lost() {
    for seed in 0..40 {
        let mut sim = Simulation::new(seed, 1, 3, ShardSettings::default());
        sim.submit(spec("notices", SpecKind::Watcher, 4, 0));
        sim.run_for_ms(2_000);
        sim.network = NetworkConditions {
            max_delay_ms: 900,
            loss_percent: 75,
            ..NetworkConditions::reliable()
        };
        sim.run_for_ms(120_000);
        assert!(sim.log.contains("lease expired"), "{}", sim.log);
    }
}

/// P3: a leaving worker checkpoints and stops its task, which resumes once on another worker.
#[test]
fn an_evicted_task_resumes_once_from_its_checkpoint() {
    let mut sim = simulation(1, 2);
    sim.submit(spec("packs", SpecKind::Job, 1, 8_000));
    sim.run_for_ms(4_000);
    let (worker, _) = sim.running_attempts("packs:0")[0];
    sim.set_worker_state(worker, Liveness::Leaving);
    sim.run_for_ms(20_000);
    assert_eq!(sim.completions("packs"), [1], "{}", sim.log);
    assert_eq!(sim.start_count(), 2, "{}", sim.log);
    let resumed = sim.log.lines().find(|line| line.contains("starts packs:0 attempt 2"));
    let from = resumed.and_then(|line| line.rsplit(' ').next()).unwrap_or("0");
    let from_ms: u64 = from.parse().unwrap_or(0);
    assert!(from_ms >= 3_000, "the task resumed from {from_ms} ms\n{}", sim.log);
}

/// P3: the owner is killed at each step of an eviction, in steps of 50 ms.
#[test]
fn an_evicted_task_completes_once_if_the_owner_is_killed_at_any_step() {
    for killed_after_ms in (0..3_000).step_by(50) {
        let mut sim = simulation(2, 2);
        sim.submit(spec("packs", SpecKind::Job, 1, 8_000));
        sim.run_for_ms(4_000);
        let (worker, _) = sim.running_attempts("packs:0")[0];
        sim.set_worker_state(worker, Liveness::Leaving);
        sim.run_for_ms(killed_after_ms);
        sim.kill_box(0);
        sim.run_for_ms(30_000);
        assert_eq!(sim.completions("packs"), [1], "{killed_after_ms}\n{}", sim.log);
        assert_eq!(sim.start_count(), 2, "{killed_after_ms}\n{}", sim.log);
    }
}

/// P3: a job is cancelled at each step of an eviction, in steps of 50 ms.
#[test]
fn a_job_cancelled_at_any_step_of_an_eviction_does_not_run_again() {
    for cancelled_after_ms in (0..2_000).step_by(50) {
        let mut sim = simulation(1, 2);
        sim.submit(spec("packs", SpecKind::Job, 1, 60_000));
        sim.run_for_ms(4_000);
        let (worker, _) = sim.running_attempts("packs:0")[0];
        sim.set_worker_state(worker, Liveness::Leaving);
        sim.run_for_ms(cancelled_after_ms);
        sim.cancel(&"packs".parse().unwrap());
        sim.run_for_ms(10_000);
        assert!(sim.running_attempts("packs:0").is_empty(), "{}", sim.log);
        let is_cancelled = sim.task_rows()[0].stage == TaskStage::Ended(TaskEnding::Cancelled);
        assert!(is_cancelled, "{cancelled_after_ms}\n{}", sim.log);
    }
}

/// P1: the submitted tasks exceed the capacity, their sizes do not divide it evenly, and
/// some of them need an accelerator.
#[test]
fn tasks_beyond_the_capacity_wait_and_complete_once() {
    let mut sim = simulation(1, 3);
    let job_of_size = |name, tasks, cpu, accelerators| {
        with_size(spec(name, SpecKind::Job, tasks, 1_500), Resources::new(cpu, 700, accelerators))
    };
    sim.submit(job_of_size("odd", 9, 1_700, 0));
    sim.submit(job_of_size("tiny", 30, 130, 0));
    sim.submit(job_of_size("tensor", 7, 300, 1));
    sim.run_for_ms(60_000);
    assert_eq!(sim.completions("odd"), [1; 9], "{}", sim.log);
    assert_eq!(sim.completions("tiny"), [1; 30], "{}", sim.log);
    assert_eq!(sim.completions("tensor"), [1; 7], "{}", sim.log);
}

/// A worker that fails every task is suspended, and a job that fails on every worker fails.
#[test]
fn a_faulty_worker_is_suspended_and_a_faulty_job_fails() {
    let mut sim = simulation(1, 6);
    sim.make_worker_fail_tasks(0);
    for number in 0..6 {
        sim.submit(spec(&format!("packs-{number}"), SpecKind::Job, 2, 1_000));
    }
    sim.submit(spec("fail-always", SpecKind::Job, 1, 1_000));
    sim.run_for_ms(60_000);
    for row in sim.task_rows() {
        let expected = match row.spec.name.as_str() {
            "fail-always" => TaskEnding::Failed,
            _ => TaskEnding::Done,
        };
        assert_eq!(row.stage, TaskStage::Ended(expected), "{}\n{}", row.id, sim.log);
    }
    assert!(sim.log.contains("quarantined worker-0"), "{}", sim.log);
    assert!(!sim.log.contains("quarantined worker-1"), "{}", sim.log);
}

/// An urgent task preempts other tasks when no worker has free capacity, and starts within 3.3 s.
#[test]
fn an_urgent_task_starts_within_3300_ms_on_a_full_worker() {
    let mut sim = simulation(1, 1);
    sim.submit(spec("packs", SpecKind::Job, 4, 60_000));
    sim.run_for_ms(3_000);
    let urgent = Spec { priority: 250, ..spec("urgent", SpecKind::Job, 1, 1_000) };
    sim.submit(urgent);
    sim.run_for_ms(3_300);
    let started =
        sim.log.contains("starts urgent:0") || !sim.running_attempts("urgent:0").is_empty();
    assert!(started, "{}", sim.log);
}

/// A job that fits on no worker does not delay the jobs submitted after it.
#[test]
fn a_job_that_fits_on_no_worker_does_not_delay_later_jobs() {
    let mut sim = simulation(1, 2);
    sim.submit(Spec {
        priority: 100,
        ..with_size(spec("too-large", SpecKind::Job, 600, 1_000), Resources::new(9_000, 1_024, 0))
    });
    sim.submit(spec("packs", SpecKind::Job, 4, 1_000));
    sim.run_for_ms(5_000);
    assert_eq!(sim.completions("packs"), [1; 4], "{}", sim.log);
}

/// The rows of ended tasks are deleted from the table after one day, also by a new owner.
#[test]
fn rows_of_ended_tasks_are_deleted_after_a_day() {
    let day_ms = 24 * 60 * 60 * 1_000;
    let mut sim = simulation(2, 2);
    sim.set_unix_time(10 * day_ms);
    sim.submit(spec("packs", SpecKind::Job, 4, 1_000));
    sim.run_for_ms(4_000);
    sim.kill_box(0);
    sim.run_for_ms(6_000);
    sim.set_unix_time(11 * day_ms - 1);
    sim.run_for_ms(2_000);
    assert_eq!(sim.task_rows().len(), 4);
    sim.set_unix_time(11 * day_ms + 1);
    sim.run_for_ms(2_000);
    assert_eq!(sim.task_rows().len(), 0, "{}", sim.log);
}

/// The running batch tasks of a team stay within its quota, and all of them complete.
#[test]
fn batch_tasks_stay_within_the_quota_of_their_team() {
    let mut placer = InterferenceAware::default();
    let quotas = [("desk".parse().unwrap(), Resources::new(3_500, 8_192, 0))].into();
    placer.set_policy(PolicyTable { quotas, ..PolicyTable::default() });
    let workers = worker_settings(Effects::default());
    let mut sim = Simulation::with_placer(7, 1, 3, ShardSettings::default(), placer, workers);
    sim.submit(spec("packs", SpecKind::Job, 12, 1_000));
    for _ in 0..100 {
        sim.run_for_ms(100);
        let running = (0..12).filter(|n| !sim.running_attempts(&format!("packs:{n}")).is_empty());
        assert!(running.count() <= 3, "{}", sim.log);
    }
    assert_eq!(sim.completions("packs"), [1; 12], "{}", sim.log);
}

/// The owner ends the tasks of many cancelled jobs in a few transactions.
#[test]
fn many_cancelled_jobs_end_in_few_transactions() {
    let mut sim = simulation(1, 3);
    for number in 0..40 {
        sim.submit(spec(&format!("packs-{number}"), SpecKind::Job, 10, 60_000));
    }
    sim.run_for_ms(3_000);
    let commits_before = sim.commits();
    for number in 0..40 {
        sim.cancel(&format!("packs-{number}").parse().unwrap());
    }
    sim.run_for_ms(5_000);
    let ended = sim.task_rows().iter().filter(|row| row.is_ended()).count();
    assert_eq!(ended, 400);
    let own_commits = sim.commits() - commits_before - 40;
    assert!(own_commits <= 20, "{own_commits} transactions for 400 cancelled tasks");
}

/// A task crashes every worker that runs it. The restarted worker does not report the task,
/// so no run of it is ever reported as failed, and the owner used to requeue the task without
/// limit. The job must end as failed, and other jobs on the same workers must complete.
#[test]
fn a_job_that_crashes_its_workers_ends_as_failed() {
    let mut sim = simulation(2, 4);
    sim.submit(spec("bad", SpecKind::Job, 1, 2_000));
    sim.submit(spec("packs", SpecKind::Job, 6, 3_000));
    let mut crashes = 0;
    for step in 0..12_000 {
        sim.run_for_ms(10);
        if let Some(&(worker, _)) = sim.running_attempts("bad:0").first() {
            sim.run_for_ms(50);
            sim.restart_worker(worker);
            crashes += 1;
        }
        if step == 600 {
            sim.kill_box(0);
        }
    }
    assert!(crashes <= 5, "{crashes} workers crashed\n{}", sim.log);
    let rows = sim.task_rows();
    let rows_of =
        |name: &str| rows.iter().filter(|row| row.id.spec.as_str() == name).collect::<Vec<_>>();
    let (bad, packs) = (rows_of("bad"), rows_of("packs"));
    assert!(bad.iter().all(|row| row.stage == TaskStage::Ended(TaskEnding::Failed)), "{bad:?}");
    assert!(packs.iter().all(|row| row.stage == TaskStage::Ended(TaskEnding::Done)), "{packs:?}");
}

/// Repeated worker restarts do not fail a long job that saves its progress.
#[test]
fn repeated_worker_restarts_do_not_fail_a_job() {
    let mut sim = simulation(1, 4);
    sim.submit(spec("packs", SpecKind::Job, 8, 20_000));
    for round in 0..40 {
        sim.run_for_ms(2_300);
        sim.restart_worker(round % 4);
    }
    sim.run_for_ms(120_000);
    assert!(
        sim.task_rows().iter().all(|row| row.stage == TaskStage::Ended(TaskEnding::Done)),
        "{}",
        sim.log
    );
}
