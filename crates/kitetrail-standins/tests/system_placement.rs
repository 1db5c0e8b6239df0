//! Tests promises P1 to P3 with real processes that are killed, paused or stopped, and with a
//! table that is down or loses answers.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod system;

use std::{thread, time::Duration};

use nix::sys::signal::Signal;
use serde_json::json;
use system::TestCluster;

fn create_job(cluster: &TestCluster, name: &str, tasks: u32, run_ms: u32) {
    let (tasks, run_ms) = (tasks.to_string(), run_ms.to_string());
    let task_size = ["--cpu", "2", "--memory", "4GiB"];
    let args = ["job", "create", name, "--team", "desk", "--tasks", &tasks, "--run-ms", &run_ms];
    cluster.run_cli_json(1, &[&args[..], &task_size].concat());
}

fn create_watcher(cluster: &TestCluster, name: &str) {
    cluster.run_cli_json(1, &["watcher", "create", name, "--team", "desk"]);
    cluster.wait_until("the watcher runs", || cluster.task_start_count(&format!("{name}:0")) == 1);
}

/// Returns an entry box that does not own the shard, for queries.
fn other_than(owner: usize) -> usize {
    if owner == 1 { 2 } else { 1 }
}

/// P2, P3: the owner of a shard is killed while tasks start, run and end.
#[test]
fn a_job_completes_after_the_owner_is_killed() {
    let mut cluster = TestCluster::new(21, 4, 3);
    cluster.start();
    create_watcher(&cluster, "notices");
    create_job(&cluster, "packs", 24, 3_000);
    cluster.wait_until("some tasks run", || cluster.task_start_count("packs:0") > 0);
    let owner = cluster.shard_owner("zone-0:0").unwrap();
    cluster.kill(&format!("entry-{owner}"));
    cluster.wait_for_job(other_than(owner), "packs", 24);
    assert_eq!(cluster.task_start_count("notices:0"), 1, "the watcher must not start again");
    cluster.check_journals(&[], &["packs:24"]);
}

/// P1, P2: the owner is paused beyond its lease and resumes after another box has taken over.
#[test]
fn a_paused_owner_steps_down_after_another_box_took_over() {
    let mut cluster = TestCluster::new(22, 4, 3);
    cluster.start();
    create_watcher(&cluster, "notices");
    create_job(&cluster, "packs", 24, 2_000);
    let owner = cluster.shard_owner("zone-0:0").unwrap();
    let name = format!("entry-{owner}");
    cluster.signal(&name, Signal::SIGSTOP);
    let other = other_than(owner);
    cluster.wait_until("another box takes over", || {
        let log = cluster.process_log(&format!("entry-{other}"));
        let third = cluster.process_log(&format!("entry-{}", 6 - owner - other));
        (log + &third).contains("shard zone-0:0: took over")
    });
    cluster.signal(&name, Signal::SIGCONT);
    cluster.wait_for_job(other, "packs", 24);
    cluster.wait_until("the paused box steps down", || {
        cluster.process_log(&name).contains("shard zone-0:0: stepped down")
    });
    cluster.check_journals(&[], &["packs:24"]);
}

/// P2, P3: the table is down for longer than any lease, and then loses half of its answers.
#[test]
fn services_and_jobs_continue_through_a_table_outage() {
    let mut cluster = TestCluster::new(23, 4, 3);
    cluster.start();
    cluster.create_service("validate", 3);
    create_watcher(&cluster, "notices");
    create_job(&cluster, "packs", 8, 6_000);
    cluster.wait_until("some tasks run", || cluster.task_start_count("packs:0") > 0);
    cluster.set_table_faults(json!({ "down": true }));
    let targets = cluster.all_callers_addresses();
    let load = [
        "--targets",
        &targets,
        "--service",
        "validate",
        "--rate",
        "50",
        "--count",
        "600",
        "--once-percent",
        "0",
    ];
    cluster.start_callers("calls", &load);
    let answers = cluster.wait_for_callers("calls");
    let done = answers.iter().filter(|entry| entry.outcome == "done").count();
    assert_eq!(done, 600, "services must answer every call without the table");
    cluster.set_table_faults(json!({ "lose_answers_percent": 50 }));
    cluster.wait_for_job(1, "packs", 8);
    cluster.set_table_faults(json!({}));
    create_job(&cluster, "more", 8, 1_000);
    cluster.wait_for_job(1, "more", 8);
    assert_eq!(cluster.task_start_count("notices:0"), 1, "the watcher must not start again");
    cluster.check_journals(&["calls"], &["packs:8", "more:8"]);
}

/// P2: a worker is paused for longer than its leases, and its tasks run elsewhere.
#[test]
fn tasks_of_a_paused_worker_run_on_another_worker() {
    let mut cluster = TestCluster::new(24, 3, 2);
    cluster.extra_settings = "[shards]\ntask_lease_ms = 4000\n".to_owned();
    cluster.start();
    create_watcher(&cluster, "notices");
    let worker = (1..=3).find(|n| {
        let text = format!("{:?}", cluster.worker_entries(*n));
        text.contains("notices")
    });
    let worker = format!("worker-{}", worker.unwrap());
    cluster.signal(&worker, Signal::SIGSTOP);
    let another_worker_in_zone = worker != "worker-2";
    if another_worker_in_zone {
        cluster.wait_until("the watcher runs elsewhere", || {
            cluster.task_start_count("notices:0") == 2
        });
    } else {
        thread::sleep(Duration::from_secs(6));
    }
    cluster.signal(&worker, Signal::SIGCONT);
    create_job(&cluster, "packs", 6, 500);
    cluster.wait_for_job(1, "packs", 6);
    cluster.check_journals(&[], &["packs:6"]);
}

/// P3: a worker is killed, and its tasks run again once on other workers.
#[test]
fn tasks_of_a_killed_worker_run_again_on_another_worker() {
    let mut cluster = TestCluster::new(25, 4, 2);
    cluster.extra_settings = "[shards]\ntask_lease_ms = 4000\n".to_owned();
    cluster.start();
    create_job(&cluster, "packs", 16, 4_000);
    cluster.wait_until("some tasks run", || (1..=4).any(|n| cluster.worker_entries(n).len() > 2));
    cluster.kill("worker-1");
    cluster.wait_for_job(1, "packs", 16);
    cluster.check_journals(&[], &["packs:16"]);
}

/// P8 for owners: an owner stops gracefully, and its shards continue at once on other boxes.
#[test]
fn an_owner_that_stops_gracefully_hands_its_shards_back() {
    let mut cluster = TestCluster::new(26, 4, 3);
    cluster.start();
    create_watcher(&cluster, "notices");
    create_job(&cluster, "packs", 24, 2_000);
    let owner = cluster.shard_owner("zone-0:0").unwrap();
    let name = format!("entry-{owner}");
    assert!(cluster.stop_gracefully(&name), "the box must stop gracefully");
    assert!(
        cluster.process_log(&name).contains("shard zone-0:0: released"),
        "{}",
        cluster.log_tails()
    );
    cluster.wait_for_job(other_than(owner), "packs", 24);
    assert_eq!(cluster.task_start_count("notices:0"), 1, "the watcher must not start again");
    cluster.check_journals(&[], &["packs:24"]);
}
