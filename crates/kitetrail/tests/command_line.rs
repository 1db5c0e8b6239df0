//! Tests the output and the exit codes of the command-line tool.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::process::{Command, Output};

use expect_test::expect_file;

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kitetrail"));
    command.env_remove("KITETRAIL_DAEMON").env_remove("KITETRAIL_TOKEN");
    command.args(args).output().unwrap()
}

fn run_and_format(args: &[&str]) -> String {
    let output = run(args);
    let code = output.status.code().unwrap_or(-1);
    let out = String::from_utf8_lossy(&output.stdout);
    let error = String::from_utf8_lossy(&output.stderr);
    format!("$ kitetrail {}\n{out}{error}[exit code {code}]\n\n", args.join(" "))
}

#[test]
fn help_text_matches_the_golden_file() {
    expect_file!["golden/help.txt"].assert_eq(&run_and_format(&["--help"]));
}

#[test]
fn invalid_input_is_reported_with_its_exit_code() {
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
    let all: String = cases.iter().map(|args| run_and_format(args)).collect();
    std::fs::remove_dir_all(&dir).unwrap();
    expect_file![concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/mistakes.txt")].assert_eq(&all);
}

#[test]
fn explain_shows_the_events_of_a_job_from_the_logs_of_all_boxes() {
    let logs = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/explain");
    let files = ["front-kgn-a-1", "front-kgn-d-1"].map(|name| format!("{logs}/{name}.log"));
    let explain = |job: &str| {
        let output = run(&["explain", job, "--logs", &files[0], &files[1]]);
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8(text).unwrap())
    };
    let (code, report) = explain("bb7ef186578d6c15");
    assert_eq!(code, Some(0));
    expect_file!["golden/explain/story.txt"].assert_eq(&report);
    let (code, error) = explain("0000000000000000");
    assert_eq!(code, Some(3));
    assert!(error.contains("no log line mentions job 0000000000000000"), "{error}");
}

#[test]
fn completions_are_generated_for_each_shell() {
    for shell in ["bash", "zsh", "fish"] {
        let output = run(&["completions", shell]);
        assert!(output.status.success());
        assert!(String::from_utf8_lossy(&output.stdout).contains("watcher"));
    }
}
