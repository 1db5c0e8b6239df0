//! Learns which period the load of services of one image swings with.

/// The number of periods that are compared.
pub(super) const PERIODS: usize = 20;
/// The shortest of them, in seconds: a swing that is shorter than a best-effort task averages out
/// while the task runs.
const SHORTEST_PERIOD_S: f64 = 4.0;
/// The ratio of neighbouring periods. The longest is 57 s: a slower load hardly changes while a
/// best-effort task runs. A period that lies between two of them is off by 7 %, which moves the
/// swing by a fiftieth of a period within the 5 s of a forecast.
const PERIOD_RATIO: f64 = 1.15;
/// The share of the past that each comparison keeps, 0 to 1: services of an image are compared
/// together, so a hundred comparisons take them some seconds.
const RETAINED_SHARE: f64 = 0.99;

/// The errors of forecasts with each of the compared periods, over all services of an image.
#[derive(Debug, Clone, Default)]
pub struct Periods {
    errors: [f64; PERIODS],
    comparisons: u64,
}

impl Periods {
    /// Returns the period with the smallest error, in seconds; `None` before any comparison.
    pub fn best_s(&self) -> Option<f64> {
        self.best().map(period_s)
    }

    /// Returns the index of the period with the smallest error.
    pub(super) fn best(&self) -> Option<usize> {
        let by_error =
            |left: &usize, right: &usize| self.errors[*left].total_cmp(&self.errors[*right]);
        (0..PERIODS).min_by(by_error).filter(|_| self.comparisons > 0)
    }

    /// Records how far the load was from the forecast with each period.
    pub(super) fn record(&mut self, forecasts: &[f64; PERIODS], load: f64) {
        self.comparisons += 1;
        for (error, forecast) in self.errors.iter_mut().zip(forecasts) {
            *error = RETAINED_SHARE * *error + (forecast - load).abs();
        }
    }
}

/// Returns the period with an index, in seconds.
pub(super) fn period_s(index: usize) -> f64 {
    SHORTEST_PERIOD_S * PERIOD_RATIO.powi(index as i32)
}
