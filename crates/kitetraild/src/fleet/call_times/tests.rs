use std::time::{Duration, Instant};

use kitetrail_core::jobs::JobId;

use super::CallTimes;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn call_with_fixed_times_waits_as_long_as_its_caller_at_most() {
    let started = Instant::now();
    let times = CallTimes::fixed(started, ms(2_940));
    assert_eq!(times.time_left(started), ms(1_300));
    assert_eq!(times.attempt_timeout(started), ms(900));
    let times = CallTimes::fixed(started, ms(500));
    assert_eq!(times.attempt_timeout(started), ms(500));
    assert!(!times.gives_up_search(started + ms(400)));
}

#[test]
fn submission_waits_as_long_as_its_caller_in_one_attempt() {
    let started = Instant::now();
    let times = CallTimes::of_caller(started, ms(2_940));
    assert_eq!(times.attempt_timeout(started), ms(2_940));
    assert_eq!(times.attempt_timeout(started + ms(2_000)), ms(940));
}

#[test]
fn search_for_an_owner_ends_only_while_the_caller_can_return() {
    let started = Instant::now();
    let times = CallTimes::of_caller(started, ms(2_940));
    assert!(!times.gives_up_search(started + ms(1_200)), "most takeovers end later");
    assert!(times.gives_up_search(started + ms(1_400)));
    let late = CallTimes::of_caller(started, ms(2_000));
    assert!(!late.gives_up_search(started + ms(1_400)), "0.6 s are too short to return");
}

#[test]
fn caller_without_an_owner_returns_before_its_time_is_over() {
    let started = Instant::now();
    for (left_ms, most_s) in [(400, 1), (1_300, 1), (2_400, 2), (2_940, 2), (5_000, 3)] {
        for id in 0..20 {
            let times = CallTimes::of_caller(started, ms(left_ms));
            let delay = times.retry_after(started, JobId(id));
            assert!((1..=most_s).contains(&delay.as_secs()), "{left_ms} ms: {delay} s");
        }
    }
}

#[test]
fn stopping_box_ends_the_wait() {
    let started = Instant::now();
    let times = CallTimes::of_caller(started, ms(2_940)).ending_by(started + ms(700));
    assert_eq!(times.time_left(started), ms(700));
    assert_eq!(times.attempt_timeout(started), ms(700));
}
