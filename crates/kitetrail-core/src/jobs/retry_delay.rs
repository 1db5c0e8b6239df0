//! The time after which a refused caller is asked to return.

use std::{
    fmt::{self, Display, Formatter},
    num::ParseIntError,
    str::FromStr,
    time::Duration,
};

use super::names::JobId;

/// The most seconds over which callers that are refused at the same time are spread.
const MAX_SPREAD_S: u64 = 3;

/// The time after which a refused caller is asked to return, in whole seconds and at least one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryDelay(u32);

impl RetryDelay {
    /// The shortest delay that can be sent to callers.
    pub const SHORTEST: Self = Self(1);

    /// Chooses the delay of a job's caller.
    ///
    /// It lies between `earliest`, before which a return is of no use, and `latest`, after which
    /// the caller has no time left for another submission. Callers that are refused at the same
    /// time are spread over this range by the ids of their jobs. If `earliest` is too late, the
    /// last second of the range is used, and the shortest delay if there is none.
    pub fn choose(earliest: Duration, latest: Duration, job: JobId) -> Self {
        let last_s = latest.as_secs().max(Self::SHORTEST.as_secs());
        let first_s = earliest.as_millis().div_ceil(1_000) as u64;
        let first_s = first_s.clamp(Self::SHORTEST.as_secs(), last_s);
        let spread_s = (last_s - first_s + 1).min(MAX_SPREAD_S);
        Self::from_secs(first_s + job.0 % spread_s)
    }

    /// Creates a delay from seconds: zero counts as one.
    pub fn from_secs(seconds: u64) -> Self {
        Self(u32::try_from(seconds).unwrap_or(u32::MAX).max(1))
    }

    /// Returns the delay in seconds.
    pub fn as_secs(self) -> u64 {
        self.0.into()
    }

    /// Returns the delay as a duration.
    pub fn duration(self) -> Duration {
        Duration::from_secs(self.as_secs())
    }
}

impl Display for RetryDelay {
    /// Writes the seconds, the form of the `Retry-After` header.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RetryDelay {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self::from_secs)
    }
}
