//! How many lines a log may write.

use std::time::{Duration, Instant};

/// Lines a second over longer times. An owner of 490 workers under load writes some 1,300; at some
/// 350 bytes a line the log takes 0.7 MB a second at most.
const LINES_PER_S: f64 = 2_000.0;
/// Lines at once: what two seconds allow.
const BURST_LINES: f64 = 4_000.0;
/// What is kept of that for warnings and errors, so that a flood of decisions does not hide them.
const KEPT_FOR_SEVERE: f64 = 500.0;

/// Lets lines through at a bounded rate.
#[derive(Debug, Clone)]
pub struct LineBudget {
    left: f64,
    refilled_at: Instant,
}

impl LineBudget {
    /// A budget that was not used yet.
    pub fn new(now: Instant) -> Self {
        Self { left: BURST_LINES, refilled_at: now }
    }

    /// Whether a line may be written now.
    pub fn allows(&mut self, now: Instant, severe: bool) -> bool {
        let passed = now.saturating_duration_since(self.refilled_at);
        if passed > Duration::ZERO {
            self.left = (self.left + passed.as_secs_f64() * LINES_PER_S).min(BURST_LINES);
            self.refilled_at = now;
        }
        let kept = if severe { 0.0 } else { KEPT_FOR_SEVERE };
        let allowed = self.left >= kept + 1.0;
        if allowed {
            self.left -= 1.0;
        }
        allowed
    }
}
