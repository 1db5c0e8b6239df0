//! The time between two reliefs of an owner.

use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

/// The time for which an owner that took over by relief is not relieved itself.
///
/// It doubles while reliefs don't help, for example when the load is too much for any box: four reliefs fit into the
/// first minute then, and later one in 80 s.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReliefPause {
    pause_ms: u32,
}

impl ReliefPause {
    /// The pause after a first relief. A handover costs callers some 0.3 s, a small share of it.
    pub const SHORTEST: Self = Self { pause_ms: 5_000 };
    /// The longest pause. An owner slowed again by another cause is relieved within this time.
    pub const LONGEST: Self = Self { pause_ms: 80_000 };

    /// Returns the pause for a value received from another box, limited to the allowed range.
    pub fn from_ms(pause_ms: u32) -> Self {
        Self { pause_ms }.clamp(Self::SHORTEST, Self::LONGEST)
    }

    /// Returns the pause in milliseconds.
    pub fn as_ms(self) -> u32 {
        self.pause_ms
    }

    /// Returns the pause.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.pause_ms.into())
    }

    /// Returns the pause after another relief, of an owner that kept the fleet for the given time since the last one.
    /// The last one helped if that is more than twice its pause.
    pub fn after_another_relief(self, owned_for: Duration) -> Self {
        match owned_for > self.duration() * 2 {
            true => Self::SHORTEST,
            false => Self::from_ms(self.pause_ms.saturating_mul(2)),
        }
    }
}

impl Display for ReliefPause {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.pause_ms)
    }
}
