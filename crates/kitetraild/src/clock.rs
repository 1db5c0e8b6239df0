//! The process clock, which also counts the time for which the machine was suspended.

#[cfg(test)]
mod tests;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use kitetrail_core::Time;
use nix::time::{ClockId, clock_gettime};

/// A clock that measures the time since the process started, including time in which the machine
/// was suspended.
///
/// A machine may be suspended for seconds. The monotonic clock, on which `Instant` and all timers
/// rely, does not count that time. This clock does, so a resumed process detects that time has
/// passed: other boxes may have taken over, leases that it granted may have expired, and data that
/// it read may be stale.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    sources: ClockSources,
    start: Reading,
}

/// The system clocks that a [`Clock`] reads.
#[derive(Debug, Clone, Copy)]
struct ClockSources {
    /// Returns the time since boot, including the time for which the machine was suspended.
    boot_time: fn() -> Duration,
    /// Returns the monotonic time, which excludes the time for which the machine was suspended.
    monotonic: fn() -> Duration,
}

/// The values of both clocks, read together.
#[derive(Debug, Clone, Copy)]
struct Reading {
    boot_time: Duration,
    monotonic: Duration,
}

impl ClockSources {
    /// Returns the system's clocks, with the monotonic clock in both places if the system has no
    /// boot-time clock.
    fn system() -> Self {
        let monotonic = || read_clock(ClockId::CLOCK_MONOTONIC);
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(_) => Self { boot_time: || read_clock(ClockId::CLOCK_BOOTTIME), monotonic },
            Err(_) => Self { boot_time: monotonic, monotonic },
        }
    }

    fn read(self) -> Reading {
        Reading { boot_time: (self.boot_time)(), monotonic: (self.monotonic)() }
    }
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Self::with_sources(ClockSources::system())
    }

    fn with_sources(sources: ClockSources) -> Self {
        Self { sources, start: sources.read() }
    }

    /// Returns the current time. It starts at one second, so that times before the start can be
    /// represented.
    pub fn now(&self) -> Time {
        let elapsed = (self.sources.boot_time)().saturating_sub(self.start.boot_time);
        Time::from_us(elapsed.as_micros() as u64 + 1_000_000)
    }

    /// Returns for how long the machine was suspended since the clock started.
    pub fn suspended(&self) -> Duration {
        let Reading { boot_time, monotonic } = self.sources.read();
        let elapsed = boot_time.saturating_sub(self.start.boot_time);
        elapsed.saturating_sub(monotonic.saturating_sub(self.start.monotonic))
    }
}

/// Reads a system clock. Returns zero on failure, which does not happen for a clock that was read
/// before.
fn read_clock(clock: ClockId) -> Duration {
    clock_gettime(clock).map(Duration::from).unwrap_or_default()
}

/// Returns an incarnation number, which is greater for each later run of a box.
pub fn new_incarnation() -> u64 {
    unix_ms()
}

/// Returns the Unix time, in milliseconds.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
