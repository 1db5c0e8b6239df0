//! A Kalman filter that learns how much stress images that fill add to an image that serves.

use super::tails::{ImageNo, Load};
use crate::Time;

/// What a pair's effect is before anything is known: more than most pairs show, so that the first
/// ones are placed with care.
pub(super) const EFFECT_PRIOR: f64 = 0.3;
/// How far off that may be, as a variance.
const EFFECT_PRIOR_VARIANCE: f64 = 0.25;
/// Effects drift this much a second, as a variance: what an image does changes slowly.
const EFFECT_DRIFT_VARIANCE: f64 = 0.000_5;
/// What a task's own stress is before anything is known.
const OWN_PRIOR: f64 = 0.55;
/// How far off that may be, as a variance.
const OWN_PRIOR_VARIANCE: f64 = 0.03;
/// How much a task's own load swings in a second, as a variance.
const OWN_DRIFT_VARIANCE: f64 = 0.002_5;
/// How rough a reported tail is, as a variance of the stress it stands for.
const GAUGE_VARIANCE: f64 = 0.004;
/// Stress above this can't be told apart: the queue is full.
pub(super) const MOST_STRESS: f64 = 0.95;
/// How far off an effect may be that an earlier owner learned, as a variance.
const INHERITED_VARIANCE: f64 = 0.02;
/// Longest time between two reports that counts as drift, in seconds.
const LONGEST_GAP_S: f64 = 5.0;

/// The place of an image that was not seen beside another.
const UNSEEN: u32 = u32::MAX;

/// An estimate and how sure it is.
#[derive(Debug, Clone, Copy)]
pub(in crate::jobs) struct Estimate {
    pub(in crate::jobs) mean: f64,
    variance: f64,
}

impl Estimate {
    /// What is believed of a task's own stress before it was heard.
    pub(in crate::jobs) const fn own() -> Self {
        Self { mean: OWN_PRIOR, variance: OWN_PRIOR_VARIANCE }
    }

    /// Lets the estimate become less sure with time.
    pub(super) fn drift(&mut self, gap_s: f64) {
        let gap_s = gap_s.min(LONGEST_GAP_S);
        self.variance = (self.variance + OWN_DRIFT_VARIANCE * gap_s).min(OWN_PRIOR_VARIANCE);
    }

    fn correct(&mut self, error: f64, total_variance: f64) {
        let gain = self.variance / total_variance;
        self.mean = (self.mean + gain * error).max(0.0);
        self.variance *= 1.0 - gain;
    }
}

/// What is known of one image that serves.
#[derive(Debug, Default)]
pub(super) struct ServingImage {
    /// Its lowest tail, in milliseconds.
    pub(super) lowest_ms: Option<f64>,
    /// The images that fill and were seen beside it.
    fillers: Vec<ImageNo>,
    /// Where each image stands among them, by its number; [`UNSEEN`] for the others. Each worker that is
    /// weighed for a task asks for some effects.
    places: Vec<u32>,
    /// The effect of each of them.
    effects: Vec<f64>,
    /// How far off the effects may be, together: images that often run beside each other are told
    /// apart only by what is known of both.
    covariance: Vec<Vec<f64>>,
    /// When the effects were last let drift.
    drifted_at: Option<Time>,
}

impl ServingImage {
    pub(super) fn effect(&self, fills: ImageNo) -> Option<f64> {
        let at = self.place_of(fills)?;
        self.effects.get(at).copied()
    }

    /// Lets the effects become less sure with time, once for all tasks of the image.
    pub(super) fn drift(&mut self, now: Time) {
        let gap_s = self.drifted_at.map_or(0.0, |at| now.since(at).as_secs_f64());
        self.drifted_at = Some(now);
        for (at, row) in self.covariance.iter_mut().enumerate() {
            row[at] = (row[at] + EFFECT_DRIFT_VARIANCE * gap_s).min(EFFECT_PRIOR_VARIANCE);
        }
    }

    /// Corrects the estimates by what a report shows, as a Kalman filter does.
    pub(super) fn learn(&mut self, own: &mut Estimate, loads: &[Load], stress: f64) {
        let input = loads.iter().filter(|(_, load)| *load > 0.0);
        let input = input.map(|&(fills, load)| (self.index_of(fills), load)).collect::<Vec<_>>();
        let added = input.iter().map(|&(at, load)| load * self.effects[at]);
        let error = stress - own.mean - added.sum::<f64>();
        if stress >= MOST_STRESS && error < 0.0 {
            return;
        }
        // Few of the images that were ever seen run at a time: only their columns count.
        let dot = |row: &Vec<f64>| input.iter().map(|&(at, load)| row[at] * load).sum::<f64>();
        let spread = self.covariance.iter().map(dot).collect::<Vec<_>>();
        let inputs_variance = input.iter().map(|&(at, load)| spread[at] * load).sum::<f64>();
        let total_variance = inputs_variance + own.variance + GAUGE_VARIANCE;
        own.correct(error, total_variance);
        for (effect, spread) in self.effects.iter_mut().zip(&spread) {
            *effect = (*effect + spread / total_variance * error).max(0.0);
        }
        for (row, &a) in self.covariance.iter_mut().zip(&spread).filter(|(_, a)| **a != 0.0) {
            let share = a / total_variance;
            for (cell, &b) in row.iter_mut().zip(&spread) {
                *cell -= share * b;
            }
        }
    }

    /// Takes over an effect that an earlier owner learned.
    pub(super) fn import(&mut self, fills: ImageNo, effect: f64) {
        let at = self.index_of(fills);
        self.effects[at] = effect;
        self.covariance[at][at] = INHERITED_VARIANCE;
    }

    /// The images that were seen to fill beside it, each with its effect.
    pub(super) fn known_effects(&self) -> impl Iterator<Item = (ImageNo, f64)> {
        self.fillers.iter().copied().zip(self.effects.iter().copied())
    }

    fn place_of(&self, fills: ImageNo) -> Option<usize> {
        let at = self.places.get(fills.index()).copied()?;
        (at != UNSEEN).then_some(at as usize)
    }

    fn index_of(&mut self, fills: ImageNo) -> usize {
        if let Some(at) = self.place_of(fills) {
            return at;
        }
        let seen = self.places.len().max(fills.index() + 1);
        self.places.resize(seen, UNSEEN);
        self.places[fills.index()] = self.fillers.len() as u32;
        self.fillers.push(fills);
        self.effects.push(EFFECT_PRIOR);
        let count = self.fillers.len();
        self.covariance.iter_mut().for_each(|row| row.push(0.0));
        self.covariance.push(vec![0.0; count]);
        self.covariance[count - 1][count - 1] = EFFECT_PRIOR_VARIANCE;
        count - 1
    }
}
