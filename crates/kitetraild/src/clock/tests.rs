//! Clocks of a machine that is suspended.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use super::{Clock, Sources};

static SINCE_BOOT_MS: AtomicU64 = AtomicU64::new(50_000);
static STEADY_MS: AtomicU64 = AtomicU64::new(40_000);

fn shifted() -> Sources {
    Sources {
        since_boot: || Duration::from_millis(SINCE_BOOT_MS.load(Ordering::Relaxed)),
        steady: || Duration::from_millis(STEADY_MS.load(Ordering::Relaxed)),
    }
}

#[test]
fn time_passes_while_the_machine_is_suspended() {
    let clock = Clock::with(shifted());
    assert_eq!(clock.now().as_ms(), 1_000);
    assert_eq!(clock.suspended(), Duration::ZERO);
    // It runs for a second and is suspended for five.
    SINCE_BOOT_MS.fetch_add(6_000, Ordering::Relaxed);
    STEADY_MS.fetch_add(1_000, Ordering::Relaxed);
    assert_eq!(clock.now().as_ms(), 7_000);
    assert_eq!(clock.suspended(), Duration::from_secs(5));
}

#[test]
fn the_clock_of_the_system_goes_on() {
    let clock = Clock::start();
    let before = clock.now();
    while clock.now() == before {
        std::hint::spin_loop();
    }
    assert!(clock.now() > before);
}
