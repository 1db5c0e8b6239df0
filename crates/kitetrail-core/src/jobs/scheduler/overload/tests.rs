//! Tests which work is shed at which lag.

use std::time::Duration;

use super::Overload;
use crate::Time;

/// The interval at which the owner reads the clock.
const TICK: Duration = Duration::from_millis(20);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn work_is_shed_in_order_as_the_lag_grows() {
    let shed_at = |lag_ms| {
        let mut overload = Overload::default();
        overload.record_lag(ms(lag_ms), Time::from_ms(1_000));
        (overload.may_move(), overload.starts_per_pass() > 0, overload.accepts_jobs())
    };
    assert_eq!(shed_at(20), (true, true, true));
    assert_eq!(shed_at(250), (false, true, true));
    assert_eq!(shed_at(400), (false, false, true));
    assert_eq!(shed_at(900), (false, false, false));
}

#[test]
fn shed_work_resumes_once_the_lag_has_decayed_but_not_between_bursts() {
    let mut overload = Overload::default();
    let mut now = Time::from_ms(1_000);
    assert_eq!(overload.record_lag(ms(900), now), Some(false));
    now = now + ms(100);
    assert_eq!(overload.record_lag(Duration::ZERO, now), None);
    assert!(overload.starts_per_pass() == 0 && !overload.accepts_jobs());
    let mut changes = Vec::new();
    for _ in 0..150 {
        now = now + TICK;
        changes.extend(overload.record_lag(Duration::ZERO, now));
    }
    assert_eq!(changes, [true]);
    assert!(overload.may_move() && overload.starts_per_pass() > 0 && overload.accepts_jobs());
}

#[test]
fn lag_between_the_stop_and_resume_thresholds_changes_nothing() {
    let mut overload = Overload::default();
    let mut now = Time::from_ms(1_000);
    overload.record_lag(ms(250), now);
    for tick in 0..200 {
        now = now + TICK;
        overload.record_lag(ms(if tick % 10 == 0 { 290 } else { 160 }), now);
        assert!(overload.starts_per_pass() > 0);
    }
}

#[test]
fn poll_pause_grows_with_the_lag_up_to_a_limit() {
    let mut overload = Overload::default();
    assert_eq!(overload.poll_pause(), Duration::ZERO);
    overload.record_lag(ms(100), Time::from_ms(1_000));
    assert_eq!(overload.poll_pause(), ms(400));
    overload.record_lag(ms(5_000), Time::from_ms(1_020));
    assert_eq!(overload.poll_pause(), ms(900));
}

#[test]
fn workers_with_short_tasks_are_polled_as_usual_up_to_a_higher_lag() {
    let pause_at = |lag_ms| {
        let mut overload = Overload::default();
        overload.record_lag(ms(lag_ms), Time::from_ms(1_000));
        overload.poll_pause_of_short_tasks()
    };
    assert_eq!(pause_at(100), Duration::ZERO);
    assert_eq!(pause_at(150), ms(200));
    assert_eq!(pause_at(5_000), ms(900));
}

#[test]
fn starts_resume_gradually_and_become_unlimited_again() {
    let mut overload = Overload::default();
    assert_eq!(overload.starts_per_pass(), u32::MAX);
    let mut now = Time::from_ms(1_000);
    overload.record_lag(ms(400), now);
    let mut starts = Vec::new();
    for _ in 0..500 {
        now = now + TICK;
        overload.record_lag(Duration::ZERO, now);
        starts.push(overload.starts_per_pass());
    }
    let first_resumed = starts.iter().position(|&starts| starts > 0).expect("starts resume");
    assert_eq!(starts[first_resumed], 8);
    assert!(starts.windows(2).all(|pair| pair[1] <= pair[0].saturating_add(pair[0] / 4).max(8)));
    assert!(starts[first_resumed + 60] > 1_000, "{}", starts[first_resumed + 60]);
}
