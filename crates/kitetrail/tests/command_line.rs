//! What the command-line tool says, and its exit codes.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::process::{Command, Output};

use expect_test::expect_file;

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kitetrail"));
    command.env_remove("KITETRAIL_DAEMON").env_remove("KITETRAIL_TOKEN");
    command.args(args).output().unwrap()
}

fn told(args: &[&str]) -> String {
    let output = run(args);
    let code = output.status.code().unwrap_or(-1);
    let out = String::from_utf8_lossy(&output.stdout);
    let error = String::from_utf8_lossy(&output.stderr);
    format!("$ kitetrail {}\n{out}{error}[exit code {code}]\n\n", args.join(" "))
}

#[test]
fn help() {
    expect_file!["golden/help.txt"].assert_eq(&told(&["--help"]));
}

#[test]
fn mistakes() {
    let dir = std::env::temp_dir().join(format!("kitetrail-cli-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    std::env::set_current_dir(&dir).unwrap();
    std::fs::write("open.rhai", "fn rank(task) {\n  10\n").unwrap();
    std::fs::write("unknown.rhai", "// fine\nfn ranks(task) { 10 }\n").unwrap();
    std::fs::write("good.rhai", "fn rank(task) { 10 }\n").unwrap();
    let cases: [&[&str]; 8] = [
        &["job", "create", "Packs", "--team", "desk"],
        &["job", "create", "packs", "--team", "desk", "--cpu", "lots"],
        &["job", "create", "packs", "--team", "desk", "--accelerators", "0.5"],
        &["policy", "check", "none.rhai"],
        &["policy", "check", "open.rhai"],
        &["policy", "check", "unknown.rhai"],
        &["policy", "check", "good.rhai"],
        &["--daemon", "127.0.0.1:9", "status"],
    ];
    let all: String = cases.iter().map(|args| told(args)).collect();
    std::fs::remove_dir_all(&dir).unwrap();
    expect_file![concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/mistakes.txt")].assert_eq(&all);
}

#[test]
fn explains_a_job_from_the_logs_of_all_boxes() {
    let logs = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/explain");
    let files = ["front-kgn-a-1", "front-kgn-d-1"].map(|name| format!("{logs}/{name}.log"));
    let explain = |job: &str| {
        let output = run(&["explain", job, "--logs", &files[0], &files[1]]);
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8(text).unwrap())
    };
    let (code, story) = explain("bb7ef186578d6c15");
    assert_eq!(code, Some(0));
    expect_file!["golden/explain/story.txt"].assert_eq(&story);
    let (code, error) = explain("0000000000000000");
    assert_eq!(code, Some(3));
    assert!(error.contains("no line speaks of job 0000000000000000"), "{error}");
}

#[test]
fn completions() {
    for shell in ["bash", "zsh", "fish"] {
        let output = run(&["completions", shell]);
        assert!(output.status.success());
        assert!(String::from_utf8_lossy(&output.stdout).contains("watcher"));
    }
}
