//! Operators' mistakes, tokens and the record of changes, with real processes.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod system;

use std::process::Command;

use sha2::{Digest, Sha256};
use system::{System, program};

fn digest(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The exit code of a command and what it said on standard error.
fn fails(system: &System, token: Option<&str>, args: &[&str]) -> (Option<i32>, String) {
    let daemon = system.operators(1).to_string();
    let mut command = Command::new(program("kitetrail"));
    command.args(["--daemon", &daemon]).args(args).env_remove("KITETRAIL_TOKEN");
    if let Some(token) = token {
        command.env("KITETRAIL_TOKEN", token);
    }
    let output = command.output().unwrap();
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn mistakes_are_told() {
    let mut system = System::new(81, 2, 1);
    system.start();
    let huge = ["job", "create", "huge", "--team", "desk", "--cpu", "64"];
    let (code, told) = fails(&system, None, &huge);
    assert_eq!(code, Some(5), "{told}");
    assert!(told.contains("no worker can ever hold"), "{told}");
    let (code, told) = fails(&system, None, &["service", "show", "nosuch"]);
    assert_eq!(code, Some(3), "{told}");
    system.ask(1, &["job", "create", "packs", "--team", "desk", "--change", "one"]);
    let again = system.ask(1, &["job", "create", "packs", "--team", "desk", "--change", "one"]);
    assert_eq!(again["spec"]["name"], "packs", "the same change again is safe");
    let (code, told) = fails(&system, None, &["job", "create", "packs", "--team", "desk"]);
    assert_eq!(code, Some(4), "{told}");
    system.set_table_faults(serde_json::json!({ "down": true }));
    let (code, told) = fails(&system, None, &["job", "show", "packs"]);
    assert_eq!(code, Some(6), "{told}");
}

#[test]
fn tokens_say_who_may_do_what() {
    let mut system = System::new(82, 1, 1);
    let token = |name: &str, role: &str, team: &str| {
        let sha256 = digest(&format!("secret-of-{name}"));
        format!(
            "[[operators.tokens]]\nname = \"{name}\"\nrole = \"{role}\"\nsha256 = \"{sha256}\"\n{team}\n"
        )
    };
    system.settings = [
        token("ann", "operator", ""),
        token("bob", "operator", "team = \"bids\""),
        token("eve", "read-only", ""),
    ]
    .concat();
    system.start();
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
        let (code, told) = fails(&system, token, args);
        assert_eq!(code, Some(expected), "{token:?} {args:?}: {told}");
    }
    let daemon = system.operators(1).to_string();
    let output = Command::new(program("kitetrail"))
        .args(["--daemon", &daemon, "--token", "secret-of-eve", "--output", "json", "audit"])
        .output()
        .unwrap();
    let entries: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let told: Vec<String> = entries
        .as_array()
        .unwrap()
        .iter()
        .map(|e| format!("{}: {}", e["who"].as_str().unwrap(), e["action"].as_str().unwrap()))
        .collect();
    assert_eq!(
        told,
        ["bob: create job e, 1 tasks", "ann: create job f, 1 tasks", "ann: cancel job f"]
    );
    assert!(!system.log_of("entry-1").contains("secret-of"), "no secret is logged");
}
