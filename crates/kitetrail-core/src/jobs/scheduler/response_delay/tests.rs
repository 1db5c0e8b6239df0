use std::time::Duration;

use super::{MAX_AGE, MAX_ANSWERS, MAX_POLL_PAUSE, ResponseDelay};
use crate::Time;

const NOW: Time = Time::from_ms(1_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Records as many round trips as are remembered, of which every `nth_slow`-th is that of a slow worker.
fn record_all(delay: &mut ResponseDelay, round_trip: Duration, nth_slow: usize) {
    for number in 1..=MAX_ANSWERS {
        let is_slow = number.is_multiple_of(nth_slow);
        delay.record(if is_slow { ms(900) } else { round_trip }, NOW);
    }
    delay.update(NOW);
}

#[test]
fn answers_that_wait_in_the_process_lengthen_the_pause_up_to_a_limit() {
    let mut delay = ResponseDelay::default();
    record_all(&mut delay, ms(4), usize::MAX);
    assert_eq!(delay.poll_pause(), Duration::ZERO);
    record_all(&mut delay, ms(24), usize::MAX);
    assert_eq!(delay.poll_pause(), ms(300));
    record_all(&mut delay, ms(204), usize::MAX);
    assert_eq!(delay.poll_pause(), MAX_POLL_PAUSE);
    record_all(&mut delay, ms(4), usize::MAX);
    assert_eq!(delay.poll_pause(), Duration::ZERO);
}

#[test]
fn neither_a_long_way_to_the_workers_nor_some_slow_workers_lengthen_the_pause() {
    let mut delay = ResponseDelay::default();
    record_all(&mut delay, ms(80), 3);
    assert_eq!(delay.poll_pause(), Duration::ZERO);
}

#[test]
fn few_answers_say_nothing() {
    let mut delay = ResponseDelay::default();
    delay.record(ms(4), NOW);
    delay.update(NOW);
    delay.record(ms(500), NOW);
    delay.update(NOW);
    assert_eq!(delay.poll_pause(), Duration::ZERO);
}

/// Guards against a delay that is still assumed after a burst, in a fleet to which few orders are sent.
#[test]
fn delay_of_a_burst_is_forgotten_without_further_answers() {
    let mut delay = ResponseDelay::default();
    record_all(&mut delay, ms(4), usize::MAX);
    record_all(&mut delay, ms(204), usize::MAX);
    delay.update(NOW + MAX_AGE + ms(20));
    assert_eq!(delay.poll_pause(), Duration::ZERO);
}
