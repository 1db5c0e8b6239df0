use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What a store takes that is sixty times as slow as usual.
const SLOW_STORE: Duration = ms(300);
/// The longest pause of a watch after a failure, and between calls that bring changes.
const PAUSES: Duration = ms(250 + 150);
/// How often the owner is pinged.
const PING_EVERY: Duration = ms(400);

const SITES: [Promises; 2] = [
    Promises {
        contact: ms(3_000),
        drain: ms(2_000),
        config_in_force: ms(2_000),
        cancel: ms(3_000),
        acknowledge: ms(4_000),
    },
    // As in the tests with processes.
    Promises {
        contact: ms(6_000),
        drain: ms(4_000),
        config_in_force: ms(4_000),
        cancel: ms(6_000),
        acknowledge: ms(8_000),
    },
];

#[test]
fn a_change_is_heard_before_contact_is_promised() {
    for promises in SITES {
        let limits = ConnectionLimits::of(&promises);
        for wait in [limits.workers_wait, limits.config_wait] {
            let heard = wait + limits.watch_slack + PAUSES + SLOW_STORE;
            assert!(heard < promises.contact, "{heard:?} of {promises:?}");
        }
    }
}

#[test]
fn a_slow_store_is_not_taken_for_a_silent_one() {
    for promises in SITES {
        let limits = ConnectionLimits::of(&promises);
        assert!(limits.store_suspect_after > SLOW_STORE && limits.watch_slack > SLOW_STORE);
        assert!(limits.store_timeout > limits.store_suspect_after);
    }
}

#[test]
fn a_stop_reaches_its_worker_within_the_promise() {
    for promises in SITES {
        let limits = ConnectionLimits::of(&promises);
        // The longest hold, and an order that found the connection silent before the hold did.
        let hold = ms(900) + limits.hold_slack;
        assert!(hold + limits.order_timeout.saturating_mul(2) < promises.cancel);
    }
}

#[test]
fn a_pinged_connection_is_trusted_until_the_next_ping() {
    for promises in SITES {
        let limits = ConnectionLimits::of(&promises);
        assert!(limits.peer_trusted_for > PING_EVERY + limits.ping_timeout);
        assert!(limits.ping_timeout.saturating_mul(2) < limits.store_timeout);
    }
}
