//! How many lines a log lets through.

use std::time::{Duration, Instant};

use kitetraild::logging::LineBudget;

/// How many of so many lines pass.
fn passed(budget: &mut LineBudget, now: Instant, lines: u32, severe: bool) -> usize {
    (0..lines).filter(|_| budget.allows(now, severe)).count()
}

#[test]
fn a_flood_is_cut_to_the_rate_and_leaves_room_for_warnings() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    assert_eq!(passed(&mut budget, start, 10_000, false), 3_500);
    assert_eq!(passed(&mut budget, start, 10_000, true), 500);
    assert_eq!(passed(&mut budget, start, 10, true), 0);
    let later = start + Duration::from_secs(1);
    assert_eq!(passed(&mut budget, later, 10_000, false), 1_500);
    let much_later = start + Duration::from_secs(60);
    assert_eq!(passed(&mut budget, much_later, 10_000, true), 4_000);
}
