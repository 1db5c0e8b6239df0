//! P1 to P3 with real processes: a kill, a freeze, a cut worker, an outage, lost answers.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod system;

use std::{thread, time::Duration};

use nix::sys::signal::Signal;
use serde_json::json;
use system::System;

fn create_job(system: &System, name: &str, tasks: u32, run_ms: u32) {
    let (tasks, run_ms) = (tasks.to_string(), run_ms.to_string());
    let sizes = ["--cpu", "2", "--memory", "4GiB"];
    let args = ["job", "create", name, "--team", "desk", "--tasks", &tasks, "--run-ms", &run_ms];
    system.ask(1, &[&args[..], &sizes].concat());
}

fn create_watcher(system: &System, name: &str) {
    system.ask(1, &["watcher", "create", name, "--team", "desk"]);
    system.until("the watcher runs", || system.starts_of(&format!("{name}:0")) == 1);
}

/// An entry box that does not own the shard, to ask questions of.
fn bystander(owner: usize) -> usize {
    if owner == 1 { 2 } else { 1 }
}

/// P2, P3: the owner of a shard is killed while jobs start, run and end.
#[test]
fn an_owner_is_killed() {
    let mut system = System::new(21, 4, 3);
    system.start();
    create_watcher(&system, "notices");
    create_job(&system, "packs", 24, 3_000);
    system.until("some tasks run", || system.starts_of("packs:0") > 0);
    let owner = system.owner_of("zone-0:0").unwrap();
    system.kill(&format!("entry-{owner}"));
    system.wait_done(bystander(owner), "packs", 24);
    assert_eq!(system.starts_of("notices:0"), 1, "the watcher was not disturbed");
    system.judge(&[], &["packs:24"]);
}

/// P1, P2: the owner freezes past its lease and thaws after another box took over.
#[test]
fn an_owner_freezes_and_thaws() {
    let mut system = System::new(22, 4, 3);
    system.start();
    create_watcher(&system, "notices");
    create_job(&system, "packs", 24, 2_000);
    let owner = system.owner_of("zone-0:0").unwrap();
    let name = format!("entry-{owner}");
    system.signal(&name, Signal::SIGSTOP);
    let other = bystander(owner);
    system.until("another box takes over", || {
        let log = system.log_of(&format!("entry-{other}"));
        let third = system.log_of(&format!("entry-{}", 6 - owner - other));
        (log + &third).contains("shard zone-0:0: took over")
    });
    system.signal(&name, Signal::SIGCONT);
    system.wait_done(other, "packs", 24);
    system.until("the frozen box steps down", || {
        system.log_of(&name).contains("shard zone-0:0: stepped down")
    });
    system.judge(&[], &["packs:24"]);
}

/// P2, P3: the table is down for longer than any lease, then loses answers.
#[test]
fn the_table_is_down_and_loses_answers() {
    let mut system = System::new(23, 4, 3);
    system.start();
    system.create_service("validate", 3);
    create_watcher(&system, "notices");
    create_job(&system, "packs", 8, 6_000);
    system.until("some tasks run", || system.starts_of("packs:0") > 0);
    system.set_table_faults(json!({ "down": true }));
    let targets = system.all_callers();
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
    system.start_callers("calls", &load);
    let answers = system.finish_callers("calls");
    let done = answers.iter().filter(|entry| entry.outcome == "done").count();
    assert_eq!(done, 600, "services go on without the table");
    system.set_table_faults(json!({ "lose_answers_percent": 50 }));
    system.wait_done(1, "packs", 8);
    system.set_table_faults(json!({}));
    create_job(&system, "more", 8, 1_000);
    system.wait_done(1, "more", 8);
    assert_eq!(system.starts_of("notices:0"), 1, "the watcher was not disturbed");
    system.judge(&["calls"], &["packs:8", "more:8"]);
}

/// P2: a worker freezes for longer than its leases, and its work runs elsewhere.
#[test]
fn a_worker_freezes_and_thaws() {
    let mut system = System::new(24, 3, 2);
    system.settings = "[shards]\ntask_lease_ms = 4000\n".to_owned();
    system.start();
    create_watcher(&system, "notices");
    let worker = (1..=3).find(|n| {
        let text = format!("{:?}", system.worker_entries(*n));
        text.contains("notices")
    });
    let worker = format!("worker-{}", worker.unwrap());
    system.signal(&worker, Signal::SIGSTOP);
    let zone_has_other = worker != "worker-2";
    if zone_has_other {
        system.until("the watcher runs elsewhere", || system.starts_of("notices:0") == 2);
    } else {
        thread::sleep(Duration::from_secs(6));
    }
    system.signal(&worker, Signal::SIGCONT);
    create_job(&system, "packs", 6, 500);
    system.wait_done(1, "packs", 6);
    system.judge(&[], &["packs:6"]);
}

/// P3: a worker is killed; what ran there runs again elsewhere, once.
#[test]
fn a_worker_is_killed() {
    let mut system = System::new(25, 4, 2);
    system.settings = "[shards]\ntask_lease_ms = 4000\n".to_owned();
    system.start();
    create_job(&system, "packs", 16, 4_000);
    system.until("some tasks run", || (1..=4).any(|n| system.worker_entries(n).len() > 2));
    system.kill("worker-1");
    system.wait_done(1, "packs", 16);
    system.judge(&[], &["packs:16"]);
}

/// P8 for owners: one stops in order and its shards go on at once.
#[test]
fn an_owner_stops_in_order() {
    let mut system = System::new(26, 4, 3);
    system.start();
    create_watcher(&system, "notices");
    create_job(&system, "packs", 24, 2_000);
    let owner = system.owner_of("zone-0:0").unwrap();
    let name = format!("entry-{owner}");
    assert!(system.stop(&name), "the box must stop in order");
    assert!(system.log_of(&name).contains("shard zone-0:0: released"), "{}", system.logs());
    system.wait_done(bystander(owner), "packs", 24);
    assert_eq!(system.starts_of("notices:0"), 1, "the watcher was not disturbed");
    system.judge(&[], &["packs:24"]);
}
