//! Tests promises P4 to P8 and P10 with real processes, checked against the journals of workers
//! and callers.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod system;

use std::{
    io::{Read, Write},
    net::TcpStream,
};

use kitetrail_standins::journal::{CallerEntry, WorkerEvent, shared_clock_ms};
use serde_json::json;
use system::TestCluster;

fn count_outcome(entries: &[CallerEntry], outcome: &str) -> usize {
    entries.iter().filter(|entry| entry.outcome == outcome).count()
}

/// P4, P5, P6: endpoints truncate answers, swap them, or close the connection after the call ran.
#[test]
fn faulty_answers_of_endpoints_are_never_forwarded() {
    let mut cluster = TestCluster::new(1, 4, 2);
    cluster.start_platform();
    cluster.start_worker(1, &[]);
    cluster.start_worker(2, &["--fault", "truncate", "--fault-every", "4"]);
    cluster.start_worker(3, &["--fault", "swap", "--fault-every", "4"]);
    cluster.start_worker(4, &["--fault", "close-after-run", "--fault-every", "4"]);
    cluster.start_box(1);
    cluster.start_box(2);
    cluster.wait_until_ready(1);
    cluster.create_service("validate", 4);
    let targets = cluster.all_callers_addresses();
    let load = ["--targets", &targets, "--service", "validate", "--rate", "150", "--count", "600"];
    let resend = ["--resend-percent", "50"];
    cluster.start_callers("short", &[&load[..], &resend].concat());
    let answers = cluster.wait_for_callers("short");
    let long = ["--answer-bytes", "200000"];
    cluster.start_callers("long", &[&load[..], &long].concat());
    let long_answers = cluster.wait_for_callers("long");
    assert!(count_outcome(&answers, "unknown") > 0, "some calls must have an unknown outcome");
    assert!(count_outcome(&answers, "done") > 300, "most calls must be answered");
    assert!(
        count_outcome(&long_answers, "none") > 0,
        "a truncated long answer must not look complete"
    );
    cluster.check_journals(&["short", "long"], &[]);
}

/// P5, P6: an entry box is killed while calls are in progress, and callers repeat their keys
/// through another one.
#[test]
fn calls_with_keys_run_once_when_an_entry_box_is_killed() {
    let mut cluster = TestCluster::new(2, 3, 3);
    cluster.start();
    cluster.create_service("hold", 3);
    let targets = cluster.all_callers_addresses();
    let load = [
        "--targets",
        &targets,
        "--service",
        "hold",
        "--rate",
        "60",
        "--count",
        "360",
        "--work-us",
        "300000",
        "--timeout-ms",
        "3000",
        "--once-percent",
        "80",
        "--resend-percent",
        "100",
    ];
    cluster.start_callers("holds", &load);
    std::thread::sleep(std::time::Duration::from_secs(2));
    cluster.kill("entry-2");
    let answers = cluster.wait_for_callers("holds");
    assert!(count_outcome(&answers, "done") > 150);
    cluster.check_journals(&["holds"], &[]);
}

/// P5, P6: the table loses answers and then goes down while calls with keys arrive.
#[test]
fn no_key_runs_twice_while_the_table_is_unavailable() {
    let mut cluster = TestCluster::new(3, 3, 2);
    cluster.start();
    cluster.create_service("bid", 3);
    let targets = cluster.all_callers_addresses();
    let load = [
        "--targets",
        &targets,
        "--service",
        "bid",
        "--rate",
        "80",
        "--count",
        "480",
        "--once-percent",
        "100",
        "--resend-percent",
        "100",
    ];
    cluster.start_callers("bids", &load);
    std::thread::sleep(std::time::Duration::from_secs(1));
    cluster.set_table_faults(json!({ "lose_answers_percent": 40 }));
    std::thread::sleep(std::time::Duration::from_secs(2));
    cluster.set_table_faults(json!({ "down": true }));
    std::thread::sleep(std::time::Duration::from_secs(1));
    cluster.set_table_faults(json!({}));
    let answers = cluster.wait_for_callers("bids");
    assert!(count_outcome(&answers, "not-run") > 0, "some calls must be refused during the outage");
    assert!(count_outcome(&answers, "done") > 100);
    cluster.check_journals(&["bids"], &[]);
}

/// P6: a key repeated through another entry box gets the first answer, and its call does not
/// run again. The answer is deleted after the retention time.
#[test]
fn a_repeated_key_gets_the_first_answer_until_it_expires() {
    let mut cluster = TestCluster::new(7, 2, 2);
    cluster.extra_settings = "[requests]\ncall_retention_ms = 3000\n".to_owned();
    cluster.start();
    cluster.create_service("hold", 2);
    let post = |number: usize| {
        let head = "POST /services/hold/seat HTTP/1.1\r\nidempotency-key: k1\r\nx-request-id: k1\r\ncontent-length: 4\r\nconnection: close\r\n\r\n";
        let mut stream = TcpStream::connect(cluster.callers_address(number)).unwrap();
        stream.write_all(format!("{head}seat").as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    };
    let body = |answer: &str| answer.split("\r\n\r\n").nth(1).unwrap_or("").to_owned();
    let first = post(1);
    assert!(first.starts_with("HTTP/1.1 200"), "{first}");
    cluster.wait_until("the answer is stored", || post(2).contains("x-replayed: true"));
    assert_eq!(body(&post(2)), body(&first), "both answers must be the same");
    let runs = || {
        let entries = (1..=2).flat_map(|n| cluster.worker_entries(n));
        entries.filter(|entry| matches!(entry.event, WorkerEvent::Execute { .. })).count()
    };
    assert_eq!(runs(), 1, "P6: the call ran again");
    cluster.wait_until("the answer is deleted", || {
        let uri = format!("http://{}/v1/rows?prefix=call/", cluster.table_address());
        !cluster.get_text(&uri).contains("claimed") && !cluster.get_text(&uri).contains("done")
    });
}

/// P6: a caller disconnects while its call runs and repeats its key through another entry box.
#[test]
fn a_key_stays_claimed_after_its_caller_disconnects() {
    let mut cluster = TestCluster::new(8, 1, 2);
    cluster.start();
    cluster.create_service("hold", 1);
    let head = "POST /services/hold/seat HTTP/1.1\r\nidempotency-key: k2\r\nx-request-id: k2\r\nx-work-us: 1500000\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    let runs = || {
        let entries = cluster.worker_entries(1);
        entries.iter().filter(|entry| matches!(entry.event, WorkerEvent::Execute { .. })).count()
    };
    let mut stream = TcpStream::connect(cluster.callers_address(1)).unwrap();
    stream.write_all(head.as_bytes()).unwrap();
    cluster.wait_until("the call runs", || runs() == 1);
    drop(stream);
    // Gives the box time to notice the disconnection and to write to the table.
    std::thread::sleep(std::time::Duration::from_millis(500));
    let mut stream = TcpStream::connect(cluster.callers_address(2)).unwrap();
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.contains("x-outcome: unknown"), "{answer}");
    assert_eq!(runs(), 1, "P6: the call ran again");
}

/// A call that every endpoint refused has not run, so its key can be claimed again.
#[test]
fn a_call_refused_by_every_endpoint_releases_its_key() {
    let mut cluster = TestCluster::new(9, 1, 1);
    cluster.start_platform();
    cluster.start_worker(1, &["--slots", "0", "--backlog", "0"]);
    cluster.start_box(1);
    cluster.wait_until_ready(1);
    cluster.create_service("hold", 1);
    let head = "POST /services/hold/seat HTTP/1.1\r\nidempotency-key: k3\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    let mut stream = TcpStream::connect(cluster.callers_address(1)).unwrap();
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.contains("x-outcome: not-run"), "{answer}");
    let uri = format!("http://{}/v1/rows?prefix=call/", cluster.table_address());
    cluster.wait_until("the key is released", || !cluster.get_text(&uri).contains("claimed"));
}

/// P7: a worker that the box list shows as leaving gets no new requests after a delay.
#[test]
fn a_leaving_endpoint_gets_no_new_requests() {
    let mut cluster = TestCluster::new(4, 4, 2);
    cluster.start();
    cluster.create_service("validate", 3);
    let targets = cluster.all_callers_addresses();
    let load = ["--targets", &targets, "--service", "validate", "--rate", "100", "--count", "900"];
    cluster.start_callers("calls", &load);
    std::thread::sleep(std::time::Duration::from_secs(1));
    let serving = (1..=4).find(|n| {
        cluster
            .worker_entries(*n)
            .iter()
            .any(|entry| matches!(entry.event, WorkerEvent::Execute { .. }))
    });
    let leaving = serving.unwrap();
    cluster.set_box_state(&format!("worker-{leaving}"), "leaving");
    cluster.wait_until("entry boxes show the worker as leaving", || {
        (1..=2).all(|n| {
            let status = cluster.run_cli_json(n, &["box", "list"]);
            let workers = status["workers"].as_array().cloned().unwrap_or_default();
            workers.iter().any(|w| w["state"] == "leaving")
        })
    });
    // Requests in flight when the box list was read may still arrive.
    std::thread::sleep(std::time::Duration::from_millis(1_500));
    let quiet_from_ms = shared_clock_ms();
    let answers = cluster.wait_for_callers("calls");
    let after = cluster.worker_entries(leaving).into_iter().filter(|entry| {
        entry.at_ms > quiet_from_ms && matches!(entry.event, WorkerEvent::Execute { .. })
    });
    assert_eq!(after.count(), 0, "P7: a leaving endpoint got new requests");
    assert_eq!(count_outcome(&answers, "done"), 900, "every call must complete");
    cluster.check_journals(&["calls"], &[]);
}

/// P8: an entry box stops gracefully while long calls are in progress.
#[test]
fn a_graceful_stop_completes_the_calls_in_progress() {
    let mut cluster = TestCluster::new(5, 3, 2);
    cluster.start();
    cluster.create_service("validate", 3);
    let target = cluster.callers_address(1).to_string();
    let load = [
        "--targets",
        &target,
        "--service",
        "validate",
        "--rate",
        "40",
        "--count",
        "20",
        "--work-us",
        "1500000",
        "--timeout-ms",
        "10000",
    ];
    cluster.start_callers("long", &load);
    cluster.wait_until("the calls run", || {
        let entries = (1..=3).flat_map(|n| cluster.worker_entries(n));
        entries.filter(|entry| matches!(entry.event, WorkerEvent::Execute { .. })).count() >= 20
    });
    assert!(cluster.stop_gracefully("entry-1"), "the box must stop gracefully");
    let answers = cluster.wait_for_callers("long");
    assert_eq!(count_outcome(&answers, "done"), 20, "P8: {answers:?}");
    cluster.check_journals(&["long"], &[]);
}

/// P10: under ten times the load that the endpoints can serve, rejected calls carry a
/// Retry-After header and have not run.
#[test]
fn calls_rejected_under_overload_carry_retry_after() {
    let mut cluster = TestCluster::new(6, 2, 2);
    cluster.start();
    cluster.create_service("validate", 2);
    let targets = cluster.all_callers_addresses();
    let load = [
        "--targets",
        &targets,
        "--service",
        "validate",
        "--rate",
        "2000",
        "--count",
        "6000",
        "--work-us",
        "80000",
        "--timeout-ms",
        "1000",
    ];
    cluster.start_callers("flood", &load);
    let answers = cluster.wait_for_callers("flood");
    let not_run: Vec<_> = answers.iter().filter(|entry| entry.outcome == "not-run").collect();
    assert!(not_run.len() > 3_000, "the load must exceed the capacity");
    let without_retry_after = not_run.iter().filter(|entry| entry.retry_after_ms.is_none()).count();
    assert_eq!(without_retry_after, 0, "P10: rejected calls without Retry-After");
    assert_eq!(count_outcome(&answers, "none"), 0, "every call must get an answer");
    cluster.check_journals(&["flood"], &[]);
}
