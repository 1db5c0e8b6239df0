//! The status of a box whose loop is late, or has stopped.

use std::time::{Duration, Instant};

use kitetrail_proto::jobs::PingAnswer;

use super::{MAX_STATUS_AGE, PublishedStatus};

#[test]
fn a_late_loop_reports_its_last_status_and_a_stopped_one_a_silent_store() {
    let status = PublishedStatus::new(7);
    status.publish(PingAnswer { owns_epoch: 3, store_silent_ms: 40, ..PingAnswer::default() });
    let now = Instant::now();
    assert_eq!(status.ping_answer(now + MAX_STATUS_AGE / 2).store_silent_ms, 40);
    let stopped = status.ping_answer(now + MAX_STATUS_AGE + Duration::from_millis(500));
    assert!(stopped.store_silent_ms >= 3_000);
    assert_eq!(stopped.owns_epoch, 3);
}

#[test]
fn an_epoch_is_reported_before_the_loop_publishes_its_status() {
    let status = PublishedStatus::new(7);
    status.publish_epoch(5);
    let answer = status.ping_answer(Instant::now());
    assert_eq!((answer.incarnation, answer.owns_epoch), (7, 5));
}
