//! The clock of a process in the core's terms: it counts the time that its machine was suspended.

#[cfg(test)]
mod tests;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use kitetrail_core::Time;
use nix::time::{ClockId, clock_gettime};

/// The process's clock, counted from its start.
///
/// A machine may be suspended for seconds. Its steady clock, and with it `Instant` and all timers, does not count them; this
/// one does. So a process that wakes finds that time passed, as one that was frozen does: that others may have taken over,
/// that leases it gave may be over, that what it read is old.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    sources: Sources,
    start: Reading,
}

/// Where a clock reads the time from.
#[derive(Debug, Clone, Copy)]
struct Sources {
    /// Counts on while the machine is suspended.
    since_boot: fn() -> Duration,
    /// Stands still then.
    steady: fn() -> Duration,
}

/// Both clocks at one moment.
#[derive(Debug, Clone, Copy)]
struct Reading {
    since_boot: Duration,
    steady: Duration,
}

impl Sources {
    /// The clocks of the system; the steady one alone where it has no other.
    fn of_system() -> Self {
        let steady = || read(ClockId::CLOCK_MONOTONIC);
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(_) => Self { since_boot: || read(ClockId::CLOCK_BOOTTIME), steady },
            Err(_) => Self { since_boot: steady, steady },
        }
    }

    fn read(self) -> Reading {
        Reading { since_boot: (self.since_boot)(), steady: (self.steady)() }
    }
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self::with(Sources::of_system())
    }

    fn with(sources: Sources) -> Self {
        Self { sources, start: sources.read() }
    }

    /// The present moment. It starts at one second, so that "before the start" exists.
    pub fn now(&self) -> Time {
        let since_start = (self.sources.since_boot)().saturating_sub(self.start.since_boot);
        Time::from_us(since_start.as_micros() as u64 + 1_000_000)
    }

    /// For how long the machine was suspended since the start.
    pub fn suspended(&self) -> Duration {
        let Reading { since_boot, steady } = self.sources.read();
        let passed = since_boot.saturating_sub(self.start.since_boot);
        passed.saturating_sub(steady.saturating_sub(self.start.steady))
    }
}

/// Reads a clock of the system. One that was read before can always be read.
fn read(clock: ClockId) -> Duration {
    clock_gettime(clock).map(Duration::from).unwrap_or_default()
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
