//! Tests of the log's rate limit.

use std::time::{Duration, Instant};

use kitetraild::logging::LineBudget;

/// Offers `lines` lines to the budget and returns how many are allowed.
fn count_allowed(budget: &mut LineBudget, now: Instant, lines: u32, is_severe: bool) -> usize {
    (0..lines).filter(|_| budget.allows(now, is_severe)).count()
}

#[test]
fn a_flood_of_lines_is_limited_to_the_rate_and_leaves_room_for_warnings() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    assert_eq!(count_allowed(&mut budget, start, 10_000, false), 3_500);
    assert_eq!(count_allowed(&mut budget, start, 10_000, true), 500);
    assert_eq!(count_allowed(&mut budget, start, 10, true), 0);
    let after_one_second = start + Duration::from_secs(1);
    assert_eq!(count_allowed(&mut budget, after_one_second, 10_000, false), 1_500);
    let after_one_minute = start + Duration::from_secs(60);
    assert_eq!(count_allowed(&mut budget, after_one_minute, 10_000, true), 4_000);
}
