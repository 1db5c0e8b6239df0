//! The rate limit of a log.

use std::time::{Duration, Instant};

/// The sustained rate, in lines per second. An owner of 490 workers under load writes about 1,300
/// lines per second. At about 350 bytes a line, the log takes at most 0.7 MB per second.
const LINES_PER_SECOND: f64 = 2_000.0;
/// The maximum burst, in lines: the lines of two seconds.
const BURST_LINES: f64 = 4_000.0;
/// The part of the burst that is reserved for warnings and errors, so that a flood of decisions
/// does not suppress them.
const RESERVED_FOR_SEVERE: f64 = 500.0;

/// A token bucket that limits the rate of lines.
#[derive(Debug, Clone)]
pub struct LineBudget {
    available: f64,
    refilled_at: Instant,
}

impl LineBudget {
    /// Creates a full budget.
    pub fn new(now: Instant) -> Self {
        Self { available: BURST_LINES, refilled_at: now }
    }

    /// Returns whether a line may be written now. If so, the line is charged to the budget.
    pub fn allows(&mut self, now: Instant, is_severe: bool) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        if elapsed > Duration::ZERO {
            self.available =
                (self.available + elapsed.as_secs_f64() * LINES_PER_SECOND).min(BURST_LINES);
            self.refilled_at = now;
        }
        let reserved = if is_severe { 0.0 } else { RESERVED_FOR_SEVERE };
        let allowed = self.available >= reserved + 1.0;
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }
}
