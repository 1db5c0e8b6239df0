//! A Kalman filter that estimates how much stress the tasks of a best-effort image add to the tasks
//! of a serving image.

use super::tails::{ImageNo, Load};
use crate::Time;

/// The effect assumed for a pair of images that was never observed. It exceeds the effect of most
/// pairs, so that the first best-effort tasks are placed with care.
pub(super) const EFFECT_PRIOR: f64 = 0.3;
/// The variance of that assumption.
const EFFECT_PRIOR_VARIANCE: f64 = 0.25;
/// The increase of the variance of an effect per second. It is small because the behaviour of an
/// image changes slowly.
const EFFECT_DRIFT_VARIANCE: f64 = 0.000_5;
/// The own stress assumed for a task that has not reported yet.
const OWN_PRIOR: f64 = 0.55;
/// The variance of that assumption.
const OWN_PRIOR_VARIANCE: f64 = 0.03;
/// The increase of the variance of a task's own stress per second, from changes in its own load.
const OWN_DRIFT_VARIANCE: f64 = 0.002_5;
/// The measurement noise of a reported tail latency, as a variance of the stress computed from it.
const MEASUREMENT_VARIANCE: f64 = 0.004;
/// The highest stress that can be measured: above it the queue of the task is full.
pub(super) const MAX_STRESS: f64 = 0.95;
/// The variance of an effect that an earlier owner learned.
const INHERITED_VARIANCE: f64 = 0.02;
/// The longest time between two reports that increases the variance, in seconds.
const MAX_GAP_S: f64 = 5.0;

/// The index of an image that was not observed beside the serving image.
const NOT_OBSERVED: u32 = u32::MAX;

/// An estimated value and its variance.
#[derive(Debug, Clone, Copy)]
pub(in crate::jobs) struct Estimate {
    pub(in crate::jobs) mean: f64,
    variance: f64,
}

impl Estimate {
    /// Returns the own stress assumed for a task that has not reported yet.
    pub(in crate::jobs) const fn own_prior() -> Self {
        Self { mean: OWN_PRIOR, variance: OWN_PRIOR_VARIANCE }
    }

    /// Increases the variance for the time since the last report.
    pub(super) fn drift(&mut self, gap_s: f64) {
        let gap_s = gap_s.min(MAX_GAP_S);
        self.variance = (self.variance + OWN_DRIFT_VARIANCE * gap_s).min(OWN_PRIOR_VARIANCE);
    }

    fn correct(&mut self, error: f64, total_variance: f64) {
        let gain = self.variance / total_variance;
        self.mean = (self.mean + gain * error).max(0.0);
        self.variance *= 1.0 - gain;
    }
}

/// The state of the filter for one serving image.
#[derive(Debug, Default)]
pub(super) struct ServingImage {
    /// The lowest tail latency observed, in milliseconds.
    pub(super) lowest_ms: Option<f64>,
    /// The best-effort images that were observed beside this one.
    observed_images: Vec<ImageNo>,
    /// The index of each image in `observed_images`, by the number of the image, or
    /// [`NOT_OBSERVED`]. A table because the score of every worker for a task looks up several
    /// effects.
    indices: Vec<u32>,
    /// The estimated effect of each of `observed_images`.
    effects: Vec<f64>,
    /// The covariance of the effects. Images that often run beside each other can only be
    /// distinguished by their joint estimate.
    covariance: Vec<Vec<f64>>,
    /// When the variances were last increased for elapsed time.
    drifted_at: Option<Time>,
}

impl ServingImage {
    pub(super) fn effect(&self, best_effort_image: ImageNo) -> Option<f64> {
        let index = self.index_of(best_effort_image)?;
        self.effects.get(index).copied()
    }

    /// Increases the variance of the effects for the elapsed time, once for all tasks of the image.
    pub(super) fn drift(&mut self, now: Time) {
        let gap_s = self.drifted_at.map_or(0.0, |at| now.since(at).as_secs_f64());
        self.drifted_at = Some(now);
        for (index, row) in self.covariance.iter_mut().enumerate() {
            row[index] = (row[index] + EFFECT_DRIFT_VARIANCE * gap_s).min(EFFECT_PRIOR_VARIANCE);
        }
    }

    /// Corrects the estimates by a report: the measurement update of the Kalman filter.
    pub(super) fn learn(&mut self, own: &mut Estimate, loads: &[Load], stress: f64) {
        let active = loads.iter().filter(|(_, load)| *load > 0.0);
        let active = active
            .map(|&(best_effort_image, load)| (self.index_or_insert(best_effort_image), load))
            .collect::<Vec<_>>();
        let added = active.iter().map(|&(index, load)| load * self.effects[index]);
        let error = stress - own.mean - added.sum::<f64>();
        if stress >= MAX_STRESS && error < 0.0 {
            return;
        }
        // Few of the images ever observed run at the same time, so only their columns contribute.
        let covariance_with_stress =
            |row: &Vec<f64>| active.iter().map(|&(index, load)| row[index] * load).sum::<f64>();
        let gain_numerators =
            self.covariance.iter().map(covariance_with_stress).collect::<Vec<_>>();
        let effects_variance =
            active.iter().map(|&(index, load)| gain_numerators[index] * load).sum::<f64>();
        let total_variance = effects_variance + own.variance + MEASUREMENT_VARIANCE;
        own.correct(error, total_variance);
        for (effect, numerator) in self.effects.iter_mut().zip(&gain_numerators) {
            *effect = (*effect + numerator / total_variance * error).max(0.0);
        }
        for (row, &row_numerator) in self
            .covariance
            .iter_mut()
            .zip(&gain_numerators)
            .filter(|(_, row_numerator)| **row_numerator != 0.0)
        {
            let gain = row_numerator / total_variance;
            for (cell, &column_numerator) in row.iter_mut().zip(&gain_numerators) {
                *cell -= gain * column_numerator;
            }
        }
    }

    /// Takes over an effect that an earlier owner learned.
    pub(super) fn import(&mut self, best_effort_image: ImageNo, effect: f64) {
        let index = self.index_or_insert(best_effort_image);
        self.effects[index] = effect;
        self.covariance[index][index] = INHERITED_VARIANCE;
    }

    /// Returns the best-effort images observed beside this one, each with its effect.
    pub(super) fn known_effects(&self) -> impl Iterator<Item = (ImageNo, f64)> {
        self.observed_images.iter().copied().zip(self.effects.iter().copied())
    }

    fn index_of(&self, best_effort_image: ImageNo) -> Option<usize> {
        let index = self.indices.get(best_effort_image.index()).copied()?;
        (index != NOT_OBSERVED).then_some(index as usize)
    }

    fn index_or_insert(&mut self, best_effort_image: ImageNo) -> usize {
        if let Some(index) = self.index_of(best_effort_image) {
            return index;
        }
        let known_images = self.indices.len().max(best_effort_image.index() + 1);
        self.indices.resize(known_images, NOT_OBSERVED);
        self.indices[best_effort_image.index()] = self.observed_images.len() as u32;
        self.observed_images.push(best_effort_image);
        self.effects.push(EFFECT_PRIOR);
        let count = self.observed_images.len();
        self.covariance.iter_mut().for_each(|row| row.push(0.0));
        self.covariance.push(vec![0.0; count]);
        self.covariance[count - 1][count - 1] = EFFECT_PRIOR_VARIANCE;
        count - 1
    }
}
