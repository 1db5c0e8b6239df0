//! The monotonic clock in the core's terms.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use kitetrail_core::Time;

/// The process's monotonic clock, counted from its start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The present moment. It starts at one second, so that "before the start" exists.
    pub fn now(&self) -> Time {
        let since_start_us = self.start.elapsed().as_micros() as u64;
        Time::from_us(since_start_us + 1_000_000)
    }
}

/// A number that is greater in each later run of a box.
pub fn incarnation() -> u64 {
    unix_ms()
}

/// The time of day, in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
