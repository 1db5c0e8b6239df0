//! Tests of the decision whether a new job waits for the store, and of the time after which refused
//! callers are asked to return.

use std::{collections::BTreeMap, time::Duration};

use kitetrail_core::jobs::{HandInDecision, HandInForecast, JobId, RetryDelay};

const JOB: JobId = JobId(7);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn forecast(batch_ms: u64, in_flight_ms: Option<u64>) -> HandInForecast {
    HandInForecast {
        batch_time: ms(batch_ms),
        in_flight_for: in_flight_ms.map(ms),
        ..HandInForecast::default()
    }
}

fn refuses(decision: HandInDecision) -> bool {
    decision.retry_after().is_some()
}

#[test]
fn job_waits_for_a_slow_store_if_it_is_persisted_in_time() {
    for batch_ms in [5, 100, 400, 900] {
        for in_flight_ms in [0, batch_ms / 2, batch_ms] {
            let forecast = forecast(batch_ms, Some(in_flight_ms));
            assert_eq!(forecast.decide(ms(2_500), JOB), HandInDecision::Wait, "{forecast:?}");
        }
    }
}

#[test]
fn job_that_a_slow_store_would_persist_too_late_is_refused_at_once() {
    // The batch in flight takes 0.4 s more, and its own 0.4 s.
    let forecast = forecast(400, Some(0));
    assert!(refuses(forecast.decide(ms(800), JOB)));
    assert_eq!(forecast.decide(ms(1_000), JOB), HandInDecision::Wait);
    let with_backlog = HandInForecast { batches_before: 5, ..forecast };
    assert!(refuses(with_backlog.decide(ms(2_500), JOB)));
    let late_owner = HandInForecast { lag: ms(600), ..forecast };
    assert!(refuses(late_owner.decide(ms(1_000), JOB)));
}

#[test]
fn accepted_job_keeps_its_place_while_it_can_be_persisted_at_all() {
    // The batch in flight takes longer than usual, so that the estimate exceeds the time left.
    let forecast = forecast(400, Some(700));
    assert!(refuses(forecast.decide(ms(700), JOB)));
    assert_eq!(forecast.review(ms(700), JOB), HandInDecision::Wait);
    assert!(refuses(forecast.review(ms(450), JOB)), "its own batch alone takes too long");
}

#[test]
fn silent_store_keeps_only_callers_that_have_no_time_to_return() {
    let forecast = forecast(5, Some(1_500));
    assert!(forecast.is_store_silent());
    assert!(refuses(forecast.decide(ms(2_500), JOB)));
    assert!(refuses(forecast.decide(ms(1_300), JOB)));
    for time_left_ms in [1_100, 900, 300] {
        let decision = forecast.decide(ms(time_left_ms), JOB);
        assert_eq!(decision, HandInDecision::WaitLast, "{time_left_ms} ms");
    }
    assert!(refuses(forecast.decide(ms(80), JOB)), "too late even if the store answers now");
}

#[test]
fn silent_store_keeps_no_caller_with_quick_refusal() {
    let forecast = HandInForecast { refuses_while_silent: true, ..forecast(5, Some(1_500)) };
    for time_left_ms in [2_500, 1_300, 1_100, 900, 300, 80] {
        assert!(refuses(forecast.decide(ms(time_left_ms), JOB)), "{time_left_ms} ms");
        assert!(refuses(forecast.review(ms(time_left_ms), JOB)), "{time_left_ms} ms");
    }
    let slow = HandInForecast { refuses_while_silent: true, ..self::forecast(400, Some(400)) };
    assert_eq!(slow.decide(ms(2_500), JOB), HandInDecision::Wait, "a slow store is not silent");
}

#[test]
fn slow_store_is_not_silent() {
    for (batch_ms, in_flight_ms, is_silent) in
        [(5, 900, false), (5, 1_000, true), (900, 1_700, false), (900, 1_800, true)]
    {
        let forecast = forecast(batch_ms, Some(in_flight_ms));
        assert_eq!(forecast.is_store_silent(), is_silent, "{forecast:?}");
    }
    assert!(!forecast(900, None).is_store_silent());
}

#[test]
fn refused_callers_return_while_they_have_time_for_another_submission() {
    for (batch_ms, in_flight_ms) in [(5, 1_000), (5, 4_000), (400, 1_000), (400, 3_000)] {
        for time_left_ms in (1_300..6_000).step_by(50) {
            let forecast = forecast(batch_ms, Some(in_flight_ms));
            for id in 0..6 {
                let decision = forecast.refuse(ms(time_left_ms), JobId(id));
                let delay = decision.retry_after().expect("the decision is a refusal");
                let latest = ms(time_left_ms).saturating_sub(ms(2 * batch_ms));
                let fits = delay.duration() <= latest || delay == RetryDelay::SHORTEST;
                assert!(fits, "{forecast:?}, {time_left_ms} ms left: {delay} s");
            }
        }
    }
}

#[test]
fn callers_of_a_silent_store_return_later_the_longer_it_is_silent() {
    let delay_s = |silent_ms, time_left_ms| {
        let decision = forecast(5, Some(silent_ms)).refuse(ms(time_left_ms), JobId(0));
        decision.retry_after().map(RetryDelay::as_secs)
    };
    assert_eq!(delay_s(1_000, 10_000), Some(1));
    assert_eq!(delay_s(2_900, 10_000), Some(3));
    assert_eq!(delay_s(2_900, 2_900), Some(2), "the last second in which it can return");
    assert_eq!(delay_s(2_900, 900), Some(1), "the shortest if nothing fits");
}

#[test]
fn callers_refused_at_the_same_time_are_spread() {
    let mut counts = BTreeMap::new();
    for id in 0..300 {
        *counts.entry(RetryDelay::choose(ms(900), ms(9_000), JobId(id))).or_insert(0) += 1;
    }
    let expected = [1, 2, 3].map(|seconds| (RetryDelay::from_secs(seconds), 100));
    assert_eq!(counts, BTreeMap::from(expected));
}

#[test]
fn retry_delay_is_written_and_read_in_whole_seconds() {
    assert_eq!(RetryDelay::from_secs(2).to_string(), "2");
    assert_eq!("3".parse(), Ok(RetryDelay::from_secs(3)));
    assert_eq!("0".parse(), Ok(RetryDelay::SHORTEST));
    assert!("1.5".parse::<RetryDelay>().is_err());
}
