//! The core's notion of time: what its caller says it is.

use std::{
    fmt::{self, Display, Formatter},
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A moment on one process's monotonic clock, counted from an arbitrary start.
///
/// Moments of different processes can't be compared.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time {
    since_start_us: u64,
}

impl Time {
    /// The start of the clock.
    pub const ZERO: Time = Time { since_start_us: 0 };

    /// The moment `ms` milliseconds after the start.
    pub const fn from_ms(ms: u64) -> Self {
        Self { since_start_us: ms * 1_000 }
    }

    /// The moment `us` microseconds after the start.
    pub const fn from_us(us: u64) -> Self {
        Self { since_start_us: us }
    }

    /// The whole milliseconds since the start.
    pub const fn as_ms(self) -> u64 {
        self.since_start_us / 1_000
    }

    /// The microseconds since the start.
    pub const fn as_us(self) -> u64 {
        self.since_start_us
    }

    /// The time passed since `earlier`, zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.since_start_us.saturating_sub(earlier.since_start_us))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        let span_us = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time { since_start_us: self.since_start_us.saturating_add(span_us) }
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, span: Duration) -> Time {
        let span_us = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time { since_start_us: self.since_start_us.saturating_sub(span_us) }
    }
}

impl Display for Time {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}s", self.as_ms() / 1_000, self.as_ms() % 1_000)
    }
}
