//! Tests operators' mistakes, tokens and the audit log with real processes.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod system;

use std::process::Command;

use sha2::{Digest, Sha256};
use system::{TestCluster, program};

fn digest(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Runs the command-line tool and returns its exit code and its standard error.
fn run_with_token(
    cluster: &TestCluster,
    token: Option<&str>,
    args: &[&str],
) -> (Option<i32>, String) {
    let daemon = cluster.operators_address(1).to_string();
    let mut command = Command::new(program("kitetrail"));
    command.args(["--daemon", &daemon]).args(args).env_remove("KITETRAIL_TOKEN");
    if let Some(token) = token {
        command.env("KITETRAIL_TOKEN", token);
    }
    let output = command.output().unwrap();
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn each_kind_of_mistake_has_an_exit_code_of_its_own() {
    let mut cluster = TestCluster::new(81, 2, 1);
    cluster.start();
    let oversized_job = ["job", "create", "huge", "--team", "desk", "--cpu", "64"];
    let (code, stderr) = run_with_token(&cluster, None, &oversized_job);
    assert_eq!(code, Some(5), "{stderr}");
    assert!(stderr.contains("no worker can ever hold"), "{stderr}");
    let (code, stderr) = run_with_token(&cluster, None, &["service", "show", "nosuch"]);
    assert_eq!(code, Some(3), "{stderr}");
    cluster.run_cli_json(1, &["job", "create", "packs", "--team", "desk", "--change", "one"]);
    let repeated =
        cluster.run_cli_json(1, &["job", "create", "packs", "--team", "desk", "--change", "one"]);
    assert_eq!(repeated["spec"]["name"], "packs", "repeating a change must succeed");
    let (code, stderr) =
        run_with_token(&cluster, None, &["job", "create", "packs", "--team", "desk"]);
    assert_eq!(code, Some(4), "{stderr}");
    cluster.set_table_faults(serde_json::json!({ "down": true }));
    let (code, stderr) = run_with_token(&cluster, None, &["job", "show", "packs"]);
    assert_eq!(code, Some(6), "{stderr}");
}

#[test]
fn tokens_limit_commands_by_role_and_team() {
    let mut cluster = TestCluster::new(82, 1, 1);
    let token = |name: &str, role: &str, team: &str| {
        let sha256 = digest(&format!("secret-of-{name}"));
        format!(
            "[[operators.tokens]]\nname = \"{name}\"\nrole = \"{role}\"\nsha256 = \"{sha256}\"\n{team}\n"
        )
    };
    cluster.extra_settings = [
        token("ann", "operator", ""),
        token("bob", "operator", "team = \"bids\""),
        token("eve", "read-only", ""),
    ]
    .concat();
    cluster.start();
    let create = |name: &'static str, team: &'static str| ["job", "create", name, "--team", team];
    let cases = [
        (None, &create("a", "desk")[..], 8),
        (Some("wrong"), &create("b", "desk")[..], 8),
        (Some("secret-of-eve"), &["job", "list"][..], 0),
        (Some("secret-of-eve"), &create("c", "desk")[..], 8),
        (Some("secret-of-bob"), &create("d", "desk")[..], 8),
        (Some("secret-of-bob"), &create("e", "bids")[..], 0),
        (Some("secret-of-ann"), &create("f", "desk")[..], 0),
        (Some("secret-of-bob"), &["job", "cancel", "f"][..], 8),
        (Some("secret-of-ann"), &["job", "cancel", "f"][..], 0),
    ];
    for (token, args, expected) in cases {
        let (code, stderr) = run_with_token(&cluster, token, args);
        assert_eq!(code, Some(expected), "{token:?} {args:?}: {stderr}");
    }
    let daemon = cluster.operators_address(1).to_string();
    let output = Command::new(program("kitetrail"))
        .args(["--daemon", &daemon, "--token", "secret-of-eve", "--output", "json", "audit"])
        .output()
        .unwrap();
    let entries: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let actions: Vec<String> = entries
        .as_array()
        .unwrap()
        .iter()
        .map(|entry| {
            format!("{}: {}", entry["who"].as_str().unwrap(), entry["action"].as_str().unwrap())
        })
        .collect();
    assert_eq!(
        actions,
        ["bob: create job e, 1 tasks", "ann: create job f, 1 tasks", "ann: cancel job f"]
    );
    assert!(!cluster.process_log("entry-1").contains("secret-of"), "no secret may be logged");
}
