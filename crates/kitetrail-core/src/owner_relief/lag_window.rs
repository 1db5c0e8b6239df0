//! The lag of an owner over the recent past.

use std::{collections::VecDeque, time::Duration};

use crate::Time;

/// The length of the window. Two spikes of 0.3 s don't fill it, and callers of short jobs have 0.5 to 1 s.
const LENGTH: Duration = Duration::from_millis(800);
/// The most that one measurement counts, so that a single stall does not make an owner late for long.
const MAX_COUNTED_LAG: Duration = Duration::from_millis(150);
/// The share of the window spent late from which the owner is late, in percent. The timer is then due every 20 ms
/// and fires every 40 ms. Each of the seven tasks that a batch passes waits as long, and a job waits for two
/// batches: together more than 0.5 s, the slack of a short job.
const LATE_PERCENT: u128 = 50;

/// The lag of an owner over the recent past.
#[derive(Debug, Default)]
pub struct LagWindow {
    lags: VecDeque<(Time, Duration)>,
}

impl LagWindow {
    /// Returns whether the owner was late for most of the window.
    pub fn is_late(&self, now: Time) -> bool {
        let recent = self.lags.iter().filter(|(at, _)| now.since(*at) <= LENGTH);
        let late = recent.map(|(_, lag)| (*lag).min(MAX_COUNTED_LAG)).sum::<Duration>();
        late.as_micros() * 100 >= LENGTH.as_micros() * LATE_PERCENT
    }

    /// Returns the mean of the measured lags.
    pub fn mean_lag(&self) -> Duration {
        let sum = self.lags.iter().map(|(_, lag)| *lag).sum::<Duration>();
        sum.checked_div(self.lags.len() as u32).unwrap_or_default()
    }

    /// Adds a measurement, and removes those that have left the window.
    pub fn record(&mut self, lag: Duration, now: Time) {
        self.lags.push_back((now, lag));
        while self.lags.front().is_some_and(|(at, _)| now.since(*at) > LENGTH) {
            self.lags.pop_front();
        }
    }
}
