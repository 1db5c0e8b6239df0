//! Predicts the run lengths of one kind of work from completed runs and callers' estimates.

use super::run_lengths::ExpectedLength;

/// The least number of completed runs from which a length is predicted. With fewer, a single task
/// of several times the usual length would shift the mean by half.
const MIN_OBSERVATIONS: u32 = 8;
/// The number of runs over which older ones are forgotten.
const MEMORY: u32 = 64;
/// The share of tasks that take no longer than the high quantile.
const HIGH_QUANTILE: f64 = 0.95;
/// The least variance of the logarithms of estimates from which a relation to the lengths is
/// derived.
const MIN_ESTIMATE_VARIANCE: f64 = 1e-4;
/// The number of buckets for the ratio of a length to its prediction.
const BUCKETS: usize = 32;
/// The buckets per doubling of the ratio: quantiles are exact to a fifth.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// A linear relation between the logarithms of estimates and lengths, with the distribution of the
/// lengths around it. Its slope weighs the estimate by how well it has predicted lengths so far: 0
/// if it says nothing.
#[derive(Debug, Default)]
pub(super) struct LengthModel {
    observations: u32,
    mean_estimate: f64,
    mean_length: f64,
    estimate_variance: f64,
    covariance: f64,
    /// The weights of the ratios of lengths to their predictions, by logarithm.
    ratios: [f32; BUCKETS],
}

impl LengthModel {
    /// Returns the prediction for a task with an estimate, or `None` if too few runs completed.
    pub(super) fn expected(&self, estimate_ms: u64) -> Option<ExpectedLength> {
        if self.observations < MIN_OBSERVATIONS {
            return None;
        }
        let expected_ms = self.predicted_ln(ln_ms(estimate_ms)).exp();
        let high_ms = expected_ms * self.high_ratio();
        Some(ExpectedLength { expected_ms, high_ms, observations: self.observations })
    }

    /// Records the length of a completed run.
    pub(super) fn record(&mut self, estimate_ms: u64, run_ms: u64) {
        let (estimate, length) = (ln_ms(estimate_ms), ln_ms(run_ms));
        if self.observations >= MIN_OBSERVATIONS {
            self.record_ratio(length - self.predicted_ln(estimate));
        }
        self.observations += 1;
        let weight = 1.0 / f64::from(self.observations.min(MEMORY));
        let estimate_error = estimate - self.mean_estimate;
        let length_error = length - self.mean_length;
        self.mean_estimate += weight * estimate_error;
        self.mean_length += weight * length_error;
        let keep = 1.0 - weight;
        self.estimate_variance = keep * (self.estimate_variance + weight * estimate_error.powi(2));
        self.covariance = keep * (self.covariance + weight * estimate_error * length_error);
    }

    fn predicted_ln(&self, estimate: f64) -> f64 {
        let slope = match self.estimate_variance >= MIN_ESTIMATE_VARIANCE {
            true => (self.covariance / self.estimate_variance).clamp(0.0, 1.0),
            false => 0.0,
        };
        self.mean_length + slope * (estimate - self.mean_estimate)
    }

    fn record_ratio(&mut self, ratio_ln: f64) {
        let middle = (BUCKETS / 2) as f64;
        let bucket = (middle + ratio_ln / 2_f64.ln() * BUCKETS_PER_DOUBLING).floor();
        let bucket = bucket.clamp(0.0, (BUCKETS - 1) as f64) as usize;
        for weight in &mut self.ratios {
            *weight *= 1.0 - 1.0 / MEMORY as f32;
        }
        self.ratios[bucket] += 1.0;
    }

    /// Returns the ratio of length to prediction that only few tasks exceed, at least 1.
    fn high_ratio(&self) -> f64 {
        let total = self.ratios.iter().sum::<f32>();
        let mut below = 0.0;
        let bucket = self.ratios.iter().position(|weight| {
            below += weight;
            f64::from(below) >= HIGH_QUANTILE * f64::from(total)
        });
        let upper_bound = bucket.unwrap_or(0) as f64 + 1.0 - (BUCKETS / 2) as f64;
        2_f64.powf(upper_bound / BUCKETS_PER_DOUBLING).max(1.0)
    }
}

fn ln_ms(ms: u64) -> f64 {
    (ms.max(1) as f64).ln()
}
