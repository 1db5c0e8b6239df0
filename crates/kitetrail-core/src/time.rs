//! Defines moments in time, which callers pass to the core.

use std::{
    fmt::{self, Display, Formatter},
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A moment on the monotonic clock of one process, measured from an arbitrary start.
///
/// Moments of different processes are not comparable.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time {
    since_start_us: u64,
}

impl Time {
    /// The start of the clock.
    pub const ZERO: Time = Time { since_start_us: 0 };

    /// Returns the moment `ms` milliseconds after the start.
    pub const fn from_ms(ms: u64) -> Self {
        Self { since_start_us: ms * 1_000 }
    }

    /// Returns the moment `us` microseconds after the start.
    pub const fn from_us(us: u64) -> Self {
        Self { since_start_us: us }
    }

    /// Returns the number of whole milliseconds since the start.
    pub const fn as_ms(self) -> u64 {
        self.since_start_us / 1_000
    }

    /// Returns the number of microseconds since the start.
    pub const fn as_us(self) -> u64 {
        self.since_start_us
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.since_start_us.saturating_sub(earlier.since_start_us))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        let duration_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Time { since_start_us: self.since_start_us.saturating_add(duration_us) }
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        let duration_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Time { since_start_us: self.since_start_us.saturating_sub(duration_us) }
    }
}

impl Display for Time {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}s", self.as_ms() / 1_000, self.as_ms() % 1_000)
    }
}
