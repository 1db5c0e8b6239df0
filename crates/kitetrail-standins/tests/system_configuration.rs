//! P9 with real processes: an accepted configuration is in force everywhere and stays.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod system;

use std::{fs, thread, time::Duration};

use serde_json::{Value, json};
use system::System;

/// The revision each running box has in force, by its own word.
fn revisions(system: &System, boxes: &[usize]) -> Vec<u64> {
    let own = |number: &usize| system.ask(*number, &["status"])["revision"].as_u64().unwrap_or(0);
    boxes.iter().map(own).collect()
}

fn write_policy(system: &System, name: &str, rank: u32) -> String {
    let path = system.dir.join(name);
    fs::write(&path, format!("fn rank(task) {{ {rank} }}\n")).unwrap();
    path.to_str().unwrap().to_owned()
}

fn apply(system: &System, number: usize, policy: &str, change: &str) -> Value {
    system.ask(number, &["policy", "apply", policy, "--change", change, "--author", change])
}

/// Two operators race: one wins, the other is told who did, and all boxes agree.
#[test]
fn racing_operators() {
    let mut system = System::new(41, 1, 3);
    system.start();
    let (one, other) = (write_policy(&system, "one", 10), write_policy(&system, "other", 20));
    apply(&system, 1, &one, "first");
    system.until("all boxes have revision 1", || revisions(&system, &[1, 2, 3]) == [1, 1, 1]);
    let race = |number: usize, policy: &str, change: &str| {
        let text = fs::read_to_string(policy).unwrap();
        let path = system.dir.join(format!("{change}.json"));
        fs::write(&path, json!({ "policy": text }).to_string()).unwrap();
        let path = path.to_str().unwrap().to_owned();
        let args = ["config", "apply", &path, "--based-on", "1", "--change", change];
        system.operator(number, &[&args[..], &["--author", change]].concat())
    };
    // Slow enough that both have read the head before either writes it.
    system.set_table_faults(json!({ "slow_ms": 300 }));
    let outputs = thread::scope(|scope| {
        let ann = scope.spawn(|| race(2, &one, "ann"));
        let bob = scope.spawn(|| race(3, &other, "bob"));
        [ann.join().unwrap(), bob.join().unwrap()]
    });
    system.set_table_faults(json!({}));
    let codes: Vec<Option<i32>> = outputs.iter().map(|output| output.status.code()).collect();
    assert!(codes.contains(&Some(0)) && codes.contains(&Some(4)), "{codes:?}");
    let winner = if codes[0] == Some(0) { "ann" } else { "bob" };
    let loser = outputs.iter().find(|output| output.status.code() == Some(4)).unwrap();
    let told = String::from_utf8_lossy(&loser.stderr).into_owned();
    assert!(told.contains(winner), "the loser must be told who won: {told}");
    system.until("all boxes have revision 2", || revisions(&system, &[1, 2, 3]) == [2, 2, 2]);
    let again = race(1, &one, winner);
    assert!(again.status.success(), "applying the same change again is safe");
}

/// The table goes down right after acceptance; a box that starts during the outage and
/// one that was frozen get the revision from their peers, and no box steps back.
#[test]
fn an_outage_right_after_acceptance() {
    let mut system = System::new(42, 1, 3);
    system.start();
    let (one, two) = (write_policy(&system, "one", 10), write_policy(&system, "two", 20));
    apply(&system, 1, &one, "first");
    system.until("all boxes have revision 1", || revisions(&system, &[1, 2, 3]) == [1, 1, 1]);
    system.kill("entry-3");
    system.signal("entry-2", nix::sys::signal::Signal::SIGSTOP);
    apply(&system, 1, &two, "second");
    system.set_table_faults(json!({ "down": true }));
    system.signal("entry-2", nix::sys::signal::Signal::SIGCONT);
    system.start_entry(3);
    system.wait_ready(3);
    system.until("all boxes have revision 2", || revisions(&system, &[1, 2, 3]) == [2, 2, 2]);
    for _ in 0..20 {
        assert_eq!(revisions(&system, &[1, 2, 3]), [2, 2, 2], "P9: a box stepped back");
        thread::sleep(Duration::from_millis(100));
    }
}

/// A box that can ask neither the table nor a peer does not call itself ready.
#[test]
fn alone_without_the_table_a_box_is_not_ready() {
    let mut system = System::new(43, 1, 1);
    system.start_platform();
    system.set_table_faults(json!({ "down": true }));
    system.start_entry(1);
    system.wait_listening(1);
    thread::sleep(Duration::from_secs(3));
    assert_eq!(system.http_status(system.operators(1), "/readyz"), Some(503));
    system.set_table_faults(json!({}));
    system.wait_ready(1);
}

/// The answer to an accepted change is lost; the operator's tool finds it was accepted.
#[test]
fn a_lost_answer_to_a_change() {
    let mut system = System::new(44, 1, 2);
    system.start();
    let one = write_policy(&system, "one", 10);
    system.set_table_faults(json!({ "lose_answers_percent": 100 }));
    let revision = apply(&system, 1, &one, "first");
    assert_eq!(revision["number"], 1);
    let again = apply(&system, 2, &one, "first");
    assert_eq!(again["number"], 1, "the same change is not accepted twice");
    system.until("all boxes have revision 1", || revisions(&system, &[1, 2]) == [1, 1]);
}

/// A policy that loops, throws or answers nonsense harms nothing: it is refused if it
/// does not compile, and the last good answers stay if it fails when asked.
#[test]
fn a_policy_that_misbehaves() {
    let mut system = System::new(45, 2, 2);
    system.start();
    let path = system.dir.join("bad");
    fs::write(&path, "fn rank(task) { loop { } }\nfn sacrifice(task) { throw \"no\" }\nfn may_share(a, b) { 17 }\n").unwrap();
    apply(&system, 1, path.to_str().unwrap(), "bad");
    system.create_service("validate", 2);
    system.until("the fault is told", || {
        (1..=2).any(|n| system.log_of(&format!("entry-{n}")).contains("policy rank failed"))
    });
    fs::write(&path, "fn rank(task) { 10\n").unwrap();
    let output = system.operator(1, &["policy", "apply", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let told = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(told.contains("line "), "{told}");
}
