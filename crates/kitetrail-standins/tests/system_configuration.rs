//! Tests promise P9 with real processes: every box puts an accepted configuration in force
//! and never returns to an older one.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod system;

use std::{fs, thread, time::Duration};

use serde_json::{Value, json};
use system::TestCluster;

/// Returns the revision that each of the boxes reports to have in force.
fn revisions(cluster: &TestCluster, boxes: &[usize]) -> Vec<u64> {
    let revision_of = |number: &usize| {
        cluster.run_cli_json(*number, &["status"])["revision"].as_u64().unwrap_or(0)
    };
    boxes.iter().map(revision_of).collect()
}

fn write_policy(cluster: &TestCluster, name: &str, rank: u32) -> String {
    let path = cluster.dir.join(name);
    fs::write(&path, format!("fn rank(task) {{ {rank} }}\n")).unwrap();
    path.to_str().unwrap().to_owned()
}

fn apply(cluster: &TestCluster, number: usize, policy: &str, change: &str) -> Value {
    cluster
        .run_cli_json(number, &["policy", "apply", policy, "--change", change, "--author", change])
}

/// Two operators change the same revision concurrently: one change is accepted, the other
/// command fails with the name of the accepted change, and all boxes agree.
#[test]
fn racing_changes_leave_one_accepted_and_one_refused() {
    let mut cluster = TestCluster::new(41, 1, 3);
    cluster.start();
    let (first_policy, second_policy) =
        (write_policy(&cluster, "one", 10), write_policy(&cluster, "other", 20));
    apply(&cluster, 1, &first_policy, "first");
    cluster
        .wait_until("all boxes have revision 1", || revisions(&cluster, &[1, 2, 3]) == [1, 1, 1]);
    let apply_to_first_revision = |number: usize, policy: &str, change: &str| {
        let text = fs::read_to_string(policy).unwrap();
        let path = cluster.dir.join(format!("{change}.json"));
        fs::write(&path, json!({ "policy": text }).to_string()).unwrap();
        let path = path.to_str().unwrap().to_owned();
        let args = ["config", "apply", &path, "--based-on", "1", "--change", change];
        cluster.run_cli(number, &[&args[..], &["--author", change]].concat())
    };
    // The delay lets both operators read the head of the configuration before either writes it.
    cluster.set_table_faults(json!({ "slow_ms": 300 }));
    let outputs = thread::scope(|scope| {
        let ann = scope.spawn(|| apply_to_first_revision(2, &first_policy, "ann"));
        let bob = scope.spawn(|| apply_to_first_revision(3, &second_policy, "bob"));
        [ann.join().unwrap(), bob.join().unwrap()]
    });
    cluster.set_table_faults(json!({}));
    let codes: Vec<Option<i32>> = outputs.iter().map(|output| output.status.code()).collect();
    assert!(codes.contains(&Some(0)) && codes.contains(&Some(4)), "{codes:?}");
    let winner = if codes[0] == Some(0) { "ann" } else { "bob" };
    let loser = outputs.iter().find(|output| output.status.code() == Some(4)).unwrap();
    let stderr = String::from_utf8_lossy(&loser.stderr).into_owned();
    assert!(stderr.contains(winner), "the refused operator must see the accepted change: {stderr}");
    cluster
        .wait_until("all boxes have revision 2", || revisions(&cluster, &[1, 2, 3]) == [2, 2, 2]);
    let repeated = apply_to_first_revision(1, &first_policy, winner);
    assert!(repeated.status.success(), "applying an accepted change again must succeed");
}

/// The table goes down right after a change is accepted. A box that starts during the outage
/// and a box that was paused get the revision from their peers, and no box returns to an
/// older revision.
#[test]
fn boxes_get_an_accepted_revision_from_peers_during_an_outage() {
    let mut cluster = TestCluster::new(42, 1, 3);
    cluster.start();
    let (first_policy, second_policy) =
        (write_policy(&cluster, "one", 10), write_policy(&cluster, "two", 20));
    apply(&cluster, 1, &first_policy, "first");
    cluster
        .wait_until("all boxes have revision 1", || revisions(&cluster, &[1, 2, 3]) == [1, 1, 1]);
    cluster.kill("entry-3");
    cluster.signal("entry-2", nix::sys::signal::Signal::SIGSTOP);
    apply(&cluster, 1, &second_policy, "second");
    cluster.set_table_faults(json!({ "down": true }));
    cluster.signal("entry-2", nix::sys::signal::Signal::SIGCONT);
    cluster.start_box(3);
    cluster.wait_until_ready(3);
    cluster
        .wait_until("all boxes have revision 2", || revisions(&cluster, &[1, 2, 3]) == [2, 2, 2]);
    for _ in 0..20 {
        assert_eq!(
            revisions(&cluster, &[1, 2, 3]),
            [2, 2, 2],
            "P9: a box returned to an older revision"
        );
        thread::sleep(Duration::from_millis(100));
    }
}

/// A box that can reach neither the table nor a peer does not report itself as ready.
#[test]
fn a_box_without_table_and_peers_is_not_ready() {
    let mut cluster = TestCluster::new(43, 1, 1);
    cluster.start_platform();
    cluster.set_table_faults(json!({ "down": true }));
    cluster.start_box(1);
    cluster.wait_until_healthy(1);
    thread::sleep(Duration::from_secs(3));
    assert_eq!(cluster.http_status(cluster.operators_address(1), "/readyz"), Some(503));
    cluster.set_table_faults(json!({}));
    cluster.wait_until_ready(1);
}

/// The answer to an accepted change is lost. The daemon reads the row back and reports the
/// change as accepted.
#[test]
fn a_change_whose_answer_is_lost_is_reported_as_accepted() {
    let mut cluster = TestCluster::new(44, 1, 2);
    cluster.start();
    let first_policy = write_policy(&cluster, "one", 10);
    cluster.set_table_faults(json!({ "lose_answers_percent": 100 }));
    let revision = apply(&cluster, 1, &first_policy, "first");
    assert_eq!(revision["number"], 1);
    let repeated = apply(&cluster, 2, &first_policy, "first");
    assert_eq!(repeated["number"], 1, "the same change must not be accepted twice");
    cluster.wait_until("all boxes have revision 1", || revisions(&cluster, &[1, 2]) == [1, 1]);
}

/// A policy that does not compile is refused. The failure of a policy that loops, throws or
/// returns a value of the wrong type is logged, and its last valid results stay in force.
#[test]
fn a_failing_policy_is_logged_and_an_invalid_policy_is_refused() {
    let mut cluster = TestCluster::new(45, 2, 2);
    cluster.start();
    let path = cluster.dir.join("bad");
    fs::write(&path, "fn rank(task) { loop { } }\nfn sacrifice(task) { throw \"no\" }\nfn may_share(a, b) { 17 }\n").unwrap();
    apply(&cluster, 1, path.to_str().unwrap(), "bad");
    cluster.create_service("validate", 2);
    cluster.wait_until("a box logs the failure of the policy", || {
        (1..=2).any(|n| cluster.process_log(&format!("entry-{n}")).contains("policy rank failed"))
    });
    fs::write(&path, "fn rank(task) { 10\n").unwrap();
    let output = cluster.run_cli(1, &["policy", "apply", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(stderr.contains("line "), "{stderr}");
}
