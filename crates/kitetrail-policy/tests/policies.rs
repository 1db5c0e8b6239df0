//! Tests the results of policies, and the limits that make faulty policies harmless.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{collections::BTreeSet, fs, path::Path};

use expect_test::expect_file;
use kitetrail_core::{placement::PolicyTable, task::SpecKind};
use kitetrail_policy::{PolicyError, Program, TaskFacts, evaluate};

const MAX_POLICY_LINES: usize = 40;

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

fn format_table(table: &PolicyTable) -> String {
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

/// Guards the policies for both users that are part of the repository.
#[test]
fn bundled_policies_are_short_and_evaluate_as_recorded() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../policies");
    let mut output = String::new();
    for name in ["tender-desk.rhai", "pultwerk.rhai"] {
        let text = fs::read_to_string(root.join(name)).unwrap();
        assert!(text.lines().count() < MAX_POLICY_LINES, "{name} is too long");
        let program = Program::compile(&text).unwrap();
        let evaluation = evaluate(&program, 1, &tasks(), &PolicyTable::default());
        assert_eq!(evaluation.faults, []);
        output += &format!("{name}\n{}\n", format_table(&evaluation.table));
    }
    expect_file!["golden/ready_policies.txt"].assert_eq(&output);
}

/// A function that fails must report a fault and must not change the result in force.
#[test]
fn a_failing_policy_function_keeps_the_last_good_answer() {
    let good = "fn rank(task) { 77 } fn may_share(a, b) { a.class == b.class }";
    let previous = evaluate(&Program::compile(good).unwrap(), 1, &tasks(), &PolicyTable::default());
    let cases = [
        ("loops", "fn rank(task) { loop { } }"),
        ("recurses", "fn rank(task) { _again(task) } fn _again(task) { _again(task) }"),
        ("throws", "fn rank(task) { throw \"no\" }"),
        ("returns invalid values", "fn rank(task) { \"high\" } fn sacrifice(task) { \"maybe\" }"),
        ("returns values out of range", "fn rank(task) { 256 } fn max_slowdown(task) { 0.5 }"),
        ("reads an unknown property", "fn rank(task) { task.secret }"),
        ("builds a long string", "fn rank(task) { let s = \"x\"; loop { s += s; } }"),
        ("builds a long array", "fn rank(task) { let l = []; loop { l.push(l); } }"),
    ];
    let mut output = String::new();
    for (case, text) in cases {
        let program = Program::compile(text).unwrap();
        let one = BTreeSet::from([facts("validate", SpecKind::Service)]);
        let evaluation = evaluate(&program, 2, &one, &previous.table);
        output += &format!("{case}\n");
        for fault in &evaluation.faults {
            output += &format!("    {fault}\n");
        }
        let rank = evaluation.table.rules.values().next().unwrap().rank;
        assert_eq!(rank, 77, "{case}: the last good answer must stay in force");
    }
    expect_file!["golden/faults.txt"].assert_eq(&output);
}

/// Invalid policies must be rejected before they are put in force.
#[test]
fn invalid_policies_are_rejected_with_the_line_of_the_error() {
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
