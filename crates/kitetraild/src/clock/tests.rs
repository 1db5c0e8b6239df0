//! Tests of the clock on a machine that is suspended.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use super::{Clock, ClockSources};

static BOOT_TIME_MS: AtomicU64 = AtomicU64::new(50_000);
static MONOTONIC_MS: AtomicU64 = AtomicU64::new(40_000);

fn simulated_sources() -> ClockSources {
    ClockSources {
        boot_time: || Duration::from_millis(BOOT_TIME_MS.load(Ordering::Relaxed)),
        monotonic: || Duration::from_millis(MONOTONIC_MS.load(Ordering::Relaxed)),
    }
}

#[test]
fn clock_counts_suspended_time() {
    let clock = Clock::with_sources(simulated_sources());
    assert_eq!(clock.now().as_ms(), 1_000);
    assert_eq!(clock.suspended(), Duration::ZERO);
    // The machine runs for one second and is suspended for five.
    BOOT_TIME_MS.fetch_add(6_000, Ordering::Relaxed);
    MONOTONIC_MS.fetch_add(1_000, Ordering::Relaxed);
    assert_eq!(clock.now().as_ms(), 7_000);
    assert_eq!(clock.suspended(), Duration::from_secs(5));
}

#[test]
fn system_clock_advances() {
    let clock = Clock::start();
    let before = clock.now();
    while clock.now() == before {
        std::hint::spin_loop();
    }
    assert!(clock.now() > before);
}
