//! What policies answer, and that none of them can do harm.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{collections::BTreeSet, fs, path::Path};

use expect_test::expect_file;
use kitetrail_core::{placement::PolicyTable, task::SpecKind};
use kitetrail_policy::{PolicyError, Program, TaskFacts, evaluate};

const MAX_LINES: usize = 40;

fn facts(class: &str, kind: SpecKind) -> TaskFacts {
    TaskFacts { class: class.parse().unwrap(), kind, team: "desk".parse().unwrap() }
}

fn tasks() -> BTreeSet<TaskFacts> {
    BTreeSet::from([
        facts("validate", SpecKind::Service),
        facts("hold", SpecKind::Service),
        facts("pack-full", SpecKind::Job),
        facts("floor-allocation", SpecKind::Job),
        facts("report", SpecKind::Job),
        facts("notices", SpecKind::Watcher),
    ])
}

fn tell(table: &PolicyTable) -> String {
    let mut text = format!("tail weight {}\n", table.tail_weight);
    for (class, rule) in &table.rules {
        text += &format!(
            "{class}: rank {}, {:?}, slowdown up to {}\n",
            rule.rank, rule.sacrifice, rule.max_slowdown
        );
    }
    for (one, other) in &table.apart {
        text += &format!("{one} apart from {other}\n");
    }
    text
}

/// The policies that come with kitetrail: short, and right for both users.
#[test]
fn ready_policies() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../policies");
    let mut told = String::new();
    for name in ["tender-desk.rhai", "pultwerk.rhai"] {
        let text = fs::read_to_string(root.join(name)).unwrap();
        assert!(text.lines().count() < MAX_LINES, "{name} is too long");
        let program = Program::compile(&text).unwrap();
        let evaluation = evaluate(&program, 1, &tasks(), &PolicyTable::default());
        assert_eq!(evaluation.faults, []);
        told += &format!("{name}\n{}\n", tell(&evaluation.table));
    }
    expect_file!["golden/ready_policies.txt"].assert_eq(&told);
}

/// Questions that fail keep the last good answer, and say so.
#[test]
fn faults() {
    let good = "fn rank(task) { 77 } fn may_share(a, b) { a.class == b.class }";
    let previous = evaluate(&Program::compile(good).unwrap(), 1, &tasks(), &PolicyTable::default());
    let cases = [
        ("loops", "fn rank(task) { loop { } }"),
        ("recurses", "fn rank(task) { _again(task) } fn _again(task) { _again(task) }"),
        ("throws", "fn rank(task) { throw \"no\" }"),
        ("answers nonsense", "fn rank(task) { \"high\" } fn sacrifice(task) { \"maybe\" }"),
        ("answers out of range", "fn rank(task) { 256 } fn max_slowdown(task) { 0.5 }"),
        ("asks what it may not see", "fn rank(task) { task.secret }"),
        ("grows a text", "fn rank(task) { let s = \"x\"; loop { s += s; } }"),
        ("grows a list", "fn rank(task) { let l = []; loop { l.push(l); } }"),
    ];
    let mut told = String::new();
    for (what, text) in cases {
        let program = Program::compile(text).unwrap();
        let one = BTreeSet::from([facts("validate", SpecKind::Service)]);
        let evaluation = evaluate(&program, 2, &one, &previous.table);
        told += &format!("{what}\n");
        for fault in &evaluation.faults {
            told += &format!("    {fault}\n");
        }
        let rank = evaluation.table.rules.values().next().unwrap().rank;
        assert_eq!(rank, 77, "{what}: the last good answer stays");
    }
    expect_file!["golden/faults.txt"].assert_eq(&told);
}

/// What is no policy is refused before it is accepted, with its line.
#[test]
fn no_policies() {
    let error = |text: &str| Program::compile(text).unwrap_err();
    assert!(matches!(error("fn rank(task) {\n 1 +\n}"), PolicyError::Syntax { line: 3, .. }));
    assert!(matches!(
        error("\n\nfn ranks(task) { 1 }"),
        PolicyError::UnknownFunction { line: 3, .. }
    ));
    assert!(matches!(error("fn rank() { 1 }"), PolicyError::UnknownFunction { .. }));
    assert!(matches!(error("import \"os\" as os;"), PolicyError::Syntax { .. }));
    assert!(matches!(error("fn rank(task) { eval(\"1\") }"), PolicyError::Syntax { .. }));
}
