//! The expected load of a service over the next seconds.

use std::time::Duration;

use super::swing::Swing;
use crate::Time;

/// The longest time ahead for which a load is forecast.
pub(super) const MAX_AHEAD: Duration = Duration::from_secs(5);
/// The age from which a forecast is no longer used: reports are missing.
const MAX_AGE: Duration = Duration::from_secs(3);
/// The distance of the moments at which a rise within a window is looked up, in seconds: shorter
/// than an eighth of the shortest period.
const SAMPLE_S: f64 = 0.5;

/// The expected load of a service, as a stress of 0 to 1, over the next seconds.
#[derive(Debug, Clone, Copy)]
pub struct LoadForecast {
    pub(super) swing: Swing,
    /// The recent average of the load.
    pub(super) present: f64,
    /// When the load was last observed.
    pub(super) observed_at: Time,
    /// The mean absolute error of the forecasts so far, for 1, 2 and 5 s ahead; `None` for a time
    /// that was not compared yet.
    pub(super) errors: [Option<f64>; 3],
}

impl LoadForecast {
    /// Returns the load expected after some time, counted from the last observation; at most 5 s.
    pub fn level_after(&self, after: Duration) -> f64 {
        self.swing.level_after(after.min(MAX_AHEAD).as_secs_f64())
    }

    /// Returns the mean absolute error of the forecasts so far, for 1, 2 and 5 s ahead: the band
    /// around the level. `None` for a time that was not compared yet.
    pub fn errors(&self) -> [Option<f64>; 3] {
        self.errors
    }

    /// Returns how far the highest load from now on, over a time of at most 5 s, is above the
    /// recent average; negative if the load falls. `None` if the last observation is too old.
    pub fn rise_within(&self, now: Time, window: Duration) -> Option<f64> {
        let age = now.since(self.observed_at);
        let samples = (window.min(MAX_AHEAD).as_secs_f64() / SAMPLE_S).ceil() as u32;
        let level =
            |sample| self.swing.level_after(age.as_secs_f64() + f64::from(sample) * SAMPLE_S);
        let highest = (0..=samples).map(level).fold(f64::NEG_INFINITY, f64::max);
        (age <= MAX_AGE).then_some(highest - self.present)
    }
}
