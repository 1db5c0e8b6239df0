//! A Kalman filter for a load that swings around a level with a given period.

use std::f64::consts::TAU;

use super::swing::{Matrix, Swing};
use crate::Time;

/// The level assumed before the first observation.
const LEVEL_PRIOR: f64 = 0.55;
/// The variance of that assumption.
const LEVEL_PRIOR_VARIANCE: f64 = 0.03;
/// The variance of both components of the swing before the first observation: a swing of 0.2 is
/// common.
const SWING_PRIOR_VARIANCE: f64 = 0.02;
/// The increase of the variance of the level and of the swing per second. Both change slowly
/// compared with the swing itself.
const DRIFT_VARIANCE: f64 = 0.000_5;
/// The variance of an observation around the swing: measurement noise and short bumps of load.
const OBSERVATION_VARIANCE: f64 = 0.004;
/// The longest time between two observations that increases the variance, in seconds.
const MAX_GAP_S: f64 = 5.0;

/// The estimated level and swing of a load, under the assumption of one period.
#[derive(Debug, Clone)]
pub(super) struct LoadCycle {
    swing: Swing,
    covariance: Matrix,
    at: Time,
}

impl LoadCycle {
    /// Creates a filter without observations.
    pub(super) fn new(period_s: f64, at: Time) -> Self {
        let mut covariance = Matrix::default();
        covariance[0][0] = LEVEL_PRIOR_VARIANCE;
        covariance[1][1] = SWING_PRIOR_VARIANCE;
        covariance[2][2] = SWING_PRIOR_VARIANCE;
        let swing = Swing { radians_per_s: TAU / period_s, state: [LEVEL_PRIOR, 0.0, 0.0] };
        Self { swing, covariance, at }
    }

    /// Returns the estimate at the last observation.
    pub(super) fn swing(&self) -> Swing {
        self.swing
    }

    /// Corrects the estimate by an observed load.
    pub(super) fn observe(&mut self, load: f64, at: Time) {
        self.advance(at);
        let weights = self.covariance.map(|row| row[0] + row[1]);
        let total_variance = weights[0] + weights[1] + OBSERVATION_VARIANCE;
        let error = load - self.swing.level_after(0.0);
        for (value, weight) in self.swing.state.iter_mut().zip(weights) {
            *value += weight / total_variance * error;
        }
        for (row, row_weight) in self.covariance.iter_mut().zip(weights) {
            for (cell, column_weight) in row.iter_mut().zip(weights) {
                *cell -= row_weight * column_weight / total_variance;
            }
        }
    }

    /// Moves the state on to a later time.
    fn advance(&mut self, at: Time) {
        let gap_s = at.since(self.at).as_secs_f64();
        self.at = at;
        let rotation = self.swing.rotation(gap_s);
        self.swing = self.swing.after(gap_s);
        let rotated = multiply(&rotation, &self.covariance);
        let rotate_back = |row: [f64; 3]| {
            rotation.map(|other| row.iter().zip(other).map(|(left, right)| left * right).sum())
        };
        self.covariance = rotated.map(rotate_back);
        for (index, row) in self.covariance.iter_mut().enumerate() {
            row[index] += DRIFT_VARIANCE * gap_s.min(MAX_GAP_S);
        }
    }
}

fn multiply(left: &Matrix, right: &Matrix) -> Matrix {
    left.map(|row| {
        let mut product = [0.0; 3];
        for (factor, other_row) in row.iter().zip(right) {
            for (cell, other) in product.iter_mut().zip(other_row) {
                *cell += factor * other;
            }
        }
        product
    })
}
