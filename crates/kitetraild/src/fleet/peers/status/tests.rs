//! What is told of a loop that is late, and of one that has stopped.

use std::time::{Duration, Instant};

use kitetrail_proto::jobs::PingAnswer;

use super::{BoxStatus, LATE_AT_MOST};

#[test]
fn a_late_loop_is_told_as_it_stood_and_a_stopped_one_as_silent() {
    let status = BoxStatus::new(7);
    status.publish(PingAnswer { owns_epoch: 3, store_silent_ms: 40, ..PingAnswer::default() });
    let now = Instant::now();
    assert_eq!(status.answer(now + LATE_AT_MOST / 2).store_silent_ms, 40);
    let stopped = status.answer(now + LATE_AT_MOST + Duration::from_millis(500));
    assert!(stopped.store_silent_ms >= 3_000);
    assert_eq!(stopped.owns_epoch, 3);
}

#[test]
fn an_epoch_is_told_before_the_loop_gets_round() {
    let status = BoxStatus::new(7);
    status.publish_epoch(5);
    let told = status.answer(Instant::now());
    assert_eq!((told.incarnation, told.owns_epoch), (7, 5));
}
