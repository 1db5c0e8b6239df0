//! The time that a box takes for a fixed amount of work.

use std::{
    collections::VecDeque,
    fmt::{self, Display, Formatter},
    num::ParseIntError,
    str::FromStr,
    time::Duration,
};

/// The number of measurements whose median counts. They are 0.1 s apart, so that a slowed box says so after 0.3 s,
/// and two that were interrupted by other processes don't matter.
const MEASUREMENTS: usize = 5;

/// The time that a box takes for the reference work, which is the same on all boxes.
///
/// It shows how slow an idle box would be as the owner: the timers of an idle box fire in time even if its machine
/// runs many times slower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkTime {
    time_us: u32,
}

impl WorkTime {
    /// Returns the time for a value in microseconds.
    pub fn from_us(time_us: u32) -> Self {
        Self { time_us }
    }

    /// Returns the time in microseconds.
    pub fn as_us(self) -> u32 {
        self.time_us
    }

    /// Returns whether this box takes at least `factor` times as long as another one.
    pub fn is_slower_by(self, factor: u32, other: Self) -> bool {
        u64::from(self.time_us) >= u64::from(other.time_us) * u64::from(factor)
    }
}

impl From<Duration> for WorkTime {
    fn from(time: Duration) -> Self {
        Self { time_us: u32::try_from(time.as_micros()).unwrap_or(u32::MAX) }
    }
}

impl Display for WorkTime {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.time_us)
    }
}

impl FromStr for WorkTime {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        Ok(Self { time_us: text.strip_suffix("us").unwrap_or(text).parse()? })
    }
}

/// The latest measurements of the reference work.
#[derive(Debug, Default)]
pub struct WorkTimes {
    times: VecDeque<WorkTime>,
}

impl WorkTimes {
    /// Returns the median; `None` before there are enough measurements.
    pub fn median(&self) -> Option<WorkTime> {
        let mut sorted = self.times.iter().copied().collect::<Vec<_>>();
        sorted.sort();
        sorted.get(MEASUREMENTS / 2).copied().filter(|_| sorted.len() == MEASUREMENTS)
    }

    /// Adds a measurement in place of the oldest one.
    pub fn record(&mut self, time: WorkTime) {
        if self.times.len() == MEASUREMENTS {
            self.times.pop_front();
        }
        self.times.push_back(time);
    }
}
