use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The response time of a store that is sixty times slower than usual.
const SLOW_STORE: Duration = ms(300);
/// The longest pauses of a watch: after a failure, and between calls that return changes.
const MAX_WATCH_PAUSES: Duration = ms(250 + 150);
/// The interval between pings to the owner.
const PING_INTERVAL: Duration = ms(400);

const PROMISES: [ResponsePromises; 2] = [
    ResponsePromises {
        recovery: ms(3_000),
        drain: ms(2_000),
        config_in_force: ms(2_000),
        cancel: ms(3_000),
        acknowledge: ms(4_000),
    },
    // The promises in the tests that start processes.
    ResponsePromises {
        recovery: ms(6_000),
        drain: ms(4_000),
        config_in_force: ms(4_000),
        cancel: ms(6_000),
        acknowledge: ms(8_000),
    },
];

#[test]
fn a_watch_receives_a_change_within_the_promised_contact_time() {
    for promises in PROMISES {
        let limits = ConnectionLimits::from_promises(&promises);
        for wait in [limits.workers_watch_wait, limits.config_watch_wait] {
            let worst_case = wait + limits.watch_margin + MAX_WATCH_PAUSES + SLOW_STORE;
            assert!(worst_case < promises.recovery, "{worst_case:?} of {promises:?}");
        }
    }
}

#[test]
fn a_slow_store_is_not_considered_silent() {
    for promises in PROMISES {
        let limits = ConnectionLimits::from_promises(&promises);
        assert!(limits.store_suspect_after > SLOW_STORE && limits.watch_margin > SLOW_STORE);
        assert!(limits.store_timeout > limits.store_suspect_after);
    }
}

#[test]
fn a_stop_order_reaches_its_worker_within_the_promised_time() {
    for promises in PROMISES {
        let limits = ConnectionLimits::from_promises(&promises);
        // The longest poll, and an order that finds the connection silent before the poll times out.
        let poll = ms(900) + limits.poll_margin;
        assert!(poll + limits.order_timeout.saturating_mul(2) < promises.cancel);
    }
}

#[test]
fn a_pinged_connection_is_reused_until_the_next_ping() {
    for promises in PROMISES {
        let limits = ConnectionLimits::from_promises(&promises);
        assert!(limits.peer_max_idle > PING_INTERVAL + limits.ping_timeout);
        assert!(limits.ping_timeout.saturating_mul(2) < limits.store_timeout);
    }
}
