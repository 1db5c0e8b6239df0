#![allow(clippy::unwrap_used, reason = "a test may panic")]

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{super::tails::TailModel, *};

fn kind(step: u32) -> RunKind {
    RunKind { queue: "checks".into(), step, image: TailModel::default().image_no(None) }
}

/// Records `count` runs of about a second, three in a hundred of which take seven times as long.
/// Returns the lengths with an estimate that is off by up to a factor of `off`.
fn learned(count: u32, off: f64) -> RunLengths {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut lengths = RunLengths::default();
    for _ in 0..count {
        let base_ms: f64 = 1_000.0 * 4_f64.powf(random.random_range(-0.5..0.5));
        let is_long = random.random_bool(0.03);
        let run_ms = if is_long { 7.0 * base_ms } else { base_ms };
        let estimate_ms = base_ms * off.powf(random.random_range(-1.0..1.0));
        lengths.record(kind(0), estimate_ms as u64, run_ms as u64);
    }
    lengths
}

#[test]
fn nothing_is_expected_after_few_runs() {
    let mut lengths = RunLengths::default();
    for _ in 0..7 {
        lengths.record(kind(0), 1_000, 1_000);
    }
    assert_eq!(lengths.expected(&kind(0), 1_000), None);
    lengths.record(kind(0), 1_000, 1_000);
    let expected = lengths.expected(&kind(0), 1_000).unwrap();
    assert!((expected.expected_ms - 1_000.0).abs() < 1.0, "{expected:?}");
    assert_eq!(expected.observations, 8);
    assert_eq!(lengths.expected(&kind(1), 1_000), None, "another kind");
}

#[test]
fn good_estimates_are_followed() {
    let lengths = learned(300, 1.0);
    for estimate_ms in [500, 1_000, 2_000] {
        let expected = lengths.expected(&kind(0), estimate_ms).unwrap().expected_ms;
        let ratio = expected / estimate_ms as f64;
        assert!((0.7..1.5).contains(&ratio), "{expected} for {estimate_ms}");
    }
}

#[test]
fn estimates_that_say_nothing_are_ignored() {
    let lengths = learned(300, 100.0);
    for estimate_ms in [10, 1_000, 100_000] {
        let expected = lengths.expected(&kind(0), estimate_ms).unwrap().expected_ms;
        assert!((400.0..2_500.0).contains(&expected), "{expected} for {estimate_ms}");
    }
}

#[test]
fn few_long_tasks_do_not_shift_the_expectation() {
    let expected = learned(300, 1.0).expected(&kind(0), 1_000).unwrap();
    assert!(expected.expected_ms < 1_400.0, "{expected:?}");
    assert!(expected.high_ms >= expected.expected_ms && expected.high_ms < 7_500.0, "{expected:?}");
}

#[test]
fn changed_lengths_replace_earlier_ones() {
    let mut lengths = learned(300, 1.0);
    for _ in 0..200 {
        lengths.record(kind(0), 1_000, 3_000);
    }
    let expected = lengths.expected(&kind(0), 1_000).unwrap().expected_ms;
    assert!((2_400.0..3_600.0).contains(&expected), "{expected}");
}

#[test]
fn memory_is_bounded() {
    let mut lengths = RunLengths::default();
    for step in 0..10_000 {
        lengths.record(kind(step), 1_000, 1_000);
    }
    assert_eq!(lengths.kinds(), MAX_KINDS);
}
