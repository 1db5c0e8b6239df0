//! P4 to P8 and P10 with real processes, judged by what workers and callers wrote down.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod system;

use std::{
    io::{Read, Write},
    net::TcpStream,
};

use kitetrail_standins::journal::{CallerEntry, WorkerEvent, shared_clock_ms};
use serde_json::json;
use system::System;

fn count(entries: &[CallerEntry], outcome: &str) -> usize {
    entries.iter().filter(|entry| entry.outcome == outcome).count()
}

/// P4, P5, P6: answers cut short, swapped, late, or never sent after the call ran.
#[test]
fn answers_that_go_wrong_are_never_passed_on() {
    let mut system = System::new(1, 4, 2);
    system.start_platform();
    system.start_worker(1, &[]);
    system.start_worker(2, &["--fault", "truncate", "--fault-every", "4"]);
    system.start_worker(3, &["--fault", "swap", "--fault-every", "4"]);
    system.start_worker(4, &["--fault", "close-after-run", "--fault-every", "4"]);
    system.start_entry(1);
    system.start_entry(2);
    system.wait_ready(1);
    system.create_service("validate", 4);
    let targets = system.all_callers();
    let load = ["--targets", &targets, "--service", "validate", "--rate", "150", "--count", "600"];
    let resend = ["--resend-percent", "50"];
    system.start_callers("short", &[&load[..], &resend].concat());
    let answers = system.finish_callers("short");
    let long = ["--answer-bytes", "200000"];
    system.start_callers("long", &[&load[..], &long].concat());
    let long_answers = system.finish_callers("long");
    assert!(count(&answers, "unknown") > 0, "the faults must have struck");
    assert!(count(&answers, "done") > 300, "most calls must be answered");
    assert!(count(&long_answers, "none") > 0, "a long answer that breaks off must not end well");
    system.judge(&["short", "long"], &[]);
}

/// P5, P6: an entry box is killed while calls are under way; callers send their keys
/// again through another one.
#[test]
fn a_killed_entry_box_repeats_nothing() {
    let mut system = System::new(2, 3, 3);
    system.start();
    system.create_service("hold", 3);
    let targets = system.all_callers();
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
    system.start_callers("holds", &load);
    std::thread::sleep(std::time::Duration::from_secs(2));
    system.kill("entry-2");
    let answers = system.finish_callers("holds");
    assert!(count(&answers, "done") > 150);
    system.judge(&["holds"], &[]);
}

/// P5, P6: the table is down, then loses answers, while calls with keys come in.
#[test]
fn a_silent_table_lets_no_key_run_twice() {
    let mut system = System::new(3, 3, 2);
    system.start();
    system.create_service("bid", 3);
    let targets = system.all_callers();
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
    system.start_callers("bids", &load);
    std::thread::sleep(std::time::Duration::from_secs(1));
    system.set_table_faults(json!({ "lose_answers_percent": 40 }));
    std::thread::sleep(std::time::Duration::from_secs(2));
    system.set_table_faults(json!({ "down": true }));
    std::thread::sleep(std::time::Duration::from_secs(1));
    system.set_table_faults(json!({}));
    let answers = system.finish_callers("bids");
    assert!(count(&answers, "not-run") > 0, "the outage must have struck");
    assert!(count(&answers, "done") > 100);
    system.judge(&["bids"], &[]);
}

/// P6: a key sent again through another entry box gets the first answer, and its call
/// does not run again; after a while the answer is forgotten.
#[test]
fn a_repeated_key_gets_the_first_answer() {
    let mut system = System::new(7, 2, 2);
    system.settings = "[requests]\ncall_retention_ms = 3000\n".to_owned();
    system.start();
    system.create_service("hold", 2);
    let post = |number: usize| {
        let head = "POST /services/hold/seat HTTP/1.1\r\nidempotency-key: k1\r\nx-request-id: k1\r\ncontent-length: 4\r\nconnection: close\r\n\r\n";
        let mut stream = TcpStream::connect(system.callers(number)).unwrap();
        stream.write_all(format!("{head}seat").as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    };
    let body = |answer: &str| answer.split("\r\n\r\n").nth(1).unwrap_or("").to_owned();
    let first = post(1);
    assert!(first.starts_with("HTTP/1.1 200"), "{first}");
    system.until("the answer is kept", || post(2).contains("x-replayed: true"));
    assert_eq!(body(&post(2)), body(&first), "the same answer");
    let runs = || {
        let entries = (1..=2).flat_map(|n| system.worker_entries(n));
        entries.filter(|e| matches!(e.event, WorkerEvent::Execute { .. })).count()
    };
    assert_eq!(runs(), 1, "P6: it ran again");
    system.until("the answer is forgotten", || {
        let uri = format!("http://{}/v1/rows?prefix=call/", system.table());
        !system.get(&uri).contains("claimed") && !system.get(&uri).contains("done")
    });
}

/// P6: a caller hangs up while its call runs and sends its key again by another entry box.
#[test]
fn a_caller_that_hangs_up_does_not_free_its_key() {
    let mut system = System::new(8, 1, 2);
    system.start();
    system.create_service("hold", 1);
    let head = "POST /services/hold/seat HTTP/1.1\r\nidempotency-key: k2\r\nx-request-id: k2\r\nx-work-us: 1500000\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    let runs = || {
        let entries = system.worker_entries(1);
        entries.iter().filter(|e| matches!(e.event, WorkerEvent::Execute { .. })).count()
    };
    let mut stream = TcpStream::connect(system.callers(1)).unwrap();
    stream.write_all(head.as_bytes()).unwrap();
    system.until("the call runs", || runs() == 1);
    drop(stream);
    // The box notices, and whatever it does about the key reaches the table.
    std::thread::sleep(std::time::Duration::from_millis(500));
    let mut stream = TcpStream::connect(system.callers(2)).unwrap();
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.contains("x-outcome: unknown"), "{answer}");
    assert_eq!(runs(), 1, "P6: it ran again");
}

/// A call that every endpoint refused was not run, so its key is free again.
#[test]
fn a_refused_call_gives_its_key_back() {
    let mut system = System::new(9, 1, 1);
    system.start_platform();
    system.start_worker(1, &["--slots", "0", "--backlog", "0"]);
    system.start_entry(1);
    system.wait_ready(1);
    system.create_service("hold", 1);
    let head = "POST /services/hold/seat HTTP/1.1\r\nidempotency-key: k3\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    let mut stream = TcpStream::connect(system.callers(1)).unwrap();
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.contains("x-outcome: not-run"), "{answer}");
    let uri = format!("http://{}/v1/rows?prefix=call/", system.table());
    system.until("the key is free", || !system.get(&uri).contains("claimed"));
}

/// P7: a worker that the box list has as leaving gets no new requests after a while.
#[test]
fn a_leaving_endpoint_gets_no_new_requests() {
    let mut system = System::new(4, 4, 2);
    system.start();
    system.create_service("validate", 3);
    let targets = system.all_callers();
    let load = ["--targets", &targets, "--service", "validate", "--rate", "100", "--count", "900"];
    system.start_callers("calls", &load);
    std::thread::sleep(std::time::Duration::from_secs(1));
    let serving = (1..=4).find(|n| {
        system.worker_entries(*n).iter().any(|e| matches!(e.event, WorkerEvent::Execute { .. }))
    });
    let leaving = serving.unwrap();
    system.set_box_state(&format!("worker-{leaving}"), "leaving");
    system.until("entry boxes know that the endpoint leaves", || {
        (1..=2).all(|n| {
            let status = system.ask(n, &["box", "list"]);
            let workers = status["workers"].as_array().cloned().unwrap_or_default();
            workers.iter().any(|w| w["state"] == "leaving")
        })
    });
    // What was on its way when the box list was read may still arrive.
    std::thread::sleep(std::time::Duration::from_millis(1_500));
    let quiet_from_ms = shared_clock_ms();
    let answers = system.finish_callers("calls");
    let after = system.worker_entries(leaving).into_iter().filter(|entry| {
        entry.at_ms > quiet_from_ms && matches!(entry.event, WorkerEvent::Execute { .. })
    });
    assert_eq!(after.count(), 0, "P7: a leaving endpoint got new requests");
    assert_eq!(count(&answers, "done"), 900, "no call suffers");
    system.judge(&["calls"], &[]);
}

/// P8: entry boxes stop in order while long calls are under way.
#[test]
fn a_planned_stop_cuts_nothing_off() {
    let mut system = System::new(5, 3, 2);
    system.start();
    system.create_service("validate", 3);
    let target = system.callers(1).to_string();
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
    system.start_callers("long", &load);
    system.until("the calls run", || {
        let entries = (1..=3).flat_map(|n| system.worker_entries(n));
        entries.filter(|e| matches!(e.event, WorkerEvent::Execute { .. })).count() >= 20
    });
    assert!(system.stop("entry-1"), "the box must stop in order");
    let answers = system.finish_callers("long");
    assert_eq!(count(&answers, "done"), 20, "P8: {answers:?}");
    system.judge(&["long"], &[]);
}

/// P10: under ten times the load that fits, calls given up are told so, with when to
/// come back, and none of them ran.
#[test]
fn given_up_calls_are_told_when_to_come_back() {
    let mut system = System::new(6, 2, 2);
    system.start();
    system.create_service("validate", 2);
    let targets = system.all_callers();
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
    system.start_callers("flood", &load);
    let answers = system.finish_callers("flood");
    let not_run: Vec<_> = answers.iter().filter(|entry| entry.outcome == "not-run").collect();
    assert!(not_run.len() > 3_000, "the load must be too much");
    let untold = not_run.iter().filter(|entry| entry.retry_after_ms.is_none()).count();
    assert_eq!(untold, 0, "P10: given-up calls without Retry-After");
    assert_eq!(count(&answers, "none"), 0, "every call gets an answer");
    system.judge(&["flood"], &[]);
}
