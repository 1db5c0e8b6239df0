//! What of the tail of a serving task's answers is its own load, and what the tasks that fill
//! beside it add.
//!
//! A tail grows like that of a queue: it is the task's lowest tail over the share of time that is
//! left. The *stress* of a task is the share that is taken. Stress adds up: the task's own load,
//! which swings within seconds, and for each image that fills there the processor time it uses
//! times an effect that holds for the pair of images. Both are learned from each report by a
//! Kalman filter.

use std::collections::HashMap;

use super::super::record::{EffectsRecord, ServingEffects};
use crate::Time;

/// What a pair's effect is before anything is known: more than most pairs show, so that the first
/// ones are placed with care.
const EFFECT_PRIOR: f64 = 0.3;
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
const MOST_STRESS: f64 = 0.95;
/// The lowest tail of an image, as a share of its target, before any was seen.
const LOWEST_TAIL_PRIOR: f64 = 0.25;
/// A queue's tail with no load at all, as a share of the lowest one seen: services are never idle.
const UNLOADED_OF_LOWEST: f64 = 0.8;
/// How far off an effect may be that an earlier owner learned, as a variance.
const INHERITED_VARIANCE: f64 = 0.02;
/// Of how many images that serve the effects are kept: bounds the record's size.
const MOST_KEPT: usize = 64;
/// Longest time between two reports that counts as drift, in seconds.
const LONGEST_GAP_S: f64 = 5.0;

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

    fn correct(&mut self, error: f64, total_variance: f64) {
        let gain = self.variance / total_variance;
        self.mean = (self.mean + gain * error).max(0.0);
        self.variance *= 1.0 - gain;
    }
}

/// The number of an image in one scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(in crate::jobs) struct ImageNo(u32);

/// How much processor time the tasks of an image use on a worker, as a share of all it has.
pub(super) type Load = (ImageNo, f64);

/// A reported tail of a serving task.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tail {
    pub(super) tail_ms: f64,
    pub(super) target_ms: f64,
    /// Since the report before, in seconds.
    pub(super) gap_s: f64,
    /// When it was heard.
    pub(super) at: Time,
}

/// What is known of all pairs of images.
#[derive(Debug, Default)]
pub(super) struct TailModel {
    numbers: HashMap<String, ImageNo>,
    /// By the number of the image that serves.
    images: Vec<ServingImage>,
    /// Images that were seen to fill.
    fillers: Vec<ImageNo>,
}

/// What is known of one image that serves.
#[derive(Debug, Default)]
struct ServingImage {
    /// Its lowest tail, in milliseconds.
    lowest_ms: Option<f64>,
    /// The images that fill and were seen beside it.
    fillers: Vec<ImageNo>,
    /// The effect of each of them.
    effects: Vec<f64>,
    /// How far off the effects may be, together: images that often run beside each other are told
    /// apart only by what is known of both.
    covariance: Vec<Vec<f64>>,
    /// When the effects were last let drift.
    drifted_at: Option<Time>,
}

impl TailModel {
    /// The number of an image; an empty name stands for all that name none.
    pub(super) fn number(&mut self, image: Option<&str>) -> ImageNo {
        let name = image.unwrap_or("");
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = ImageNo(self.images.len() as u32);
        self.images.push(ServingImage::default());
        self.numbers.insert(name.to_owned(), number);
        number
    }

    /// What is known, to be kept.
    pub(super) fn export(&self) -> EffectsRecord {
        let names = self.numbers.iter().map(|(name, number)| (*number, name.as_str()));
        let names = names.collect::<HashMap<_, _>>();
        let name = |image: ImageNo| names.get(&image).copied().unwrap_or("").to_owned();
        let serving = (0..).zip(&self.images).filter_map(|(number, image)| {
            let effects = image.fillers.iter().zip(&image.effects);
            Some(ServingEffects {
                image: name(ImageNo(number)),
                lowest_tail_ms: image.lowest_ms?,
                effects: effects.map(|(&fills, &effect)| (name(fills), effect)).collect(),
            })
        });
        EffectsRecord { serving: serving.take(MOST_KEPT).collect() }
    }

    /// Takes over what an earlier owner knew.
    pub(super) fn import(&mut self, record: &EffectsRecord) {
        for serving in &record.serving {
            let serves = self.number(Some(&serving.image));
            for (fills, effect) in &serving.effects {
                let fills = self.number(Some(fills));
                if !self.fillers.contains(&fills) {
                    self.fillers.push(fills);
                }
                let Some(image) = self.images.get_mut(serves.0 as usize) else { continue };
                image.lowest_ms = Some(serving.lowest_tail_ms);
                let at = image.index_of(fills);
                image.effects[at] = *effect;
                image.covariance[at][at] = INHERITED_VARIANCE;
            }
        }
    }

    /// How much stress an image that fills adds to one that serves, when it uses all processors.
    pub(super) fn effect(&self, fills: ImageNo, serves: ImageNo) -> f64 {
        let known = self.images.get(serves.0 as usize).and_then(|image| image.effect(fills));
        known.unwrap_or(EFFECT_PRIOR)
    }

    /// The share of the images that fill whose effect on all of the given ones is below `slight`.
    pub(super) fn tolerance(&self, serving: &[ImageNo], slight: f64) -> f64 {
        let minded =
            |fills: &&ImageNo| serving.iter().any(|&serves| self.effect(**fills, serves) >= slight);
        let minded_count = self.fillers.iter().filter(minded).count();
        1.0 - minded_count as f64 / self.fillers.len().max(1) as f64
    }

    /// The stress at which a tail is `share` of its target.
    pub(super) fn stress_at(&self, serves: ImageNo, target_ms: f64, share: f64) -> f64 {
        let lowest_ms = self.images.get(serves.0 as usize).and_then(|image| image.lowest_ms);
        1.0 - unloaded_ms(lowest_ms, target_ms) / (target_ms * share)
    }

    /// Learns from a report: corrects what is believed of the task's own stress and of the effects
    /// of what fills beside it.
    pub(super) fn learn(
        &mut self,
        serves: ImageNo,
        own: &mut Estimate,
        loads: &[Load],
        tail: Tail,
    ) {
        for (fills, _) in loads {
            if !self.fillers.contains(fills) {
                self.fillers.push(*fills);
            }
        }
        let Some(image) = self.images.get_mut(serves.0 as usize) else { return };
        let tail_ms = tail.tail_ms.max(1.0);
        image.lowest_ms = Some(image.lowest_ms.unwrap_or(tail_ms).min(tail_ms));
        let unloaded_ms = unloaded_ms(image.lowest_ms, tail.target_ms);
        let stress = (1.0 - unloaded_ms / tail_ms).clamp(0.0, MOST_STRESS);
        let gap_s = tail.gap_s.min(LONGEST_GAP_S);
        own.variance = (own.variance + OWN_DRIFT_VARIANCE * gap_s).min(OWN_PRIOR_VARIANCE);
        image.drift(tail.at);
        image.learn(own, loads, stress);
    }
}

impl ServingImage {
    fn effect(&self, fills: ImageNo) -> Option<f64> {
        let at = self.fillers.iter().position(|&known| known == fills)?;
        self.effects.get(at).copied()
    }

    /// Lets the effects become less sure with time, once for all tasks of the image.
    fn drift(&mut self, now: Time) {
        let gap_s = self.drifted_at.map_or(0.0, |at| now.since(at).as_secs_f64());
        self.drifted_at = Some(now);
        for (at, row) in self.covariance.iter_mut().enumerate() {
            row[at] = (row[at] + EFFECT_DRIFT_VARIANCE * gap_s).min(EFFECT_PRIOR_VARIANCE);
        }
    }

    fn learn(&mut self, own: &mut Estimate, loads: &[Load], stress: f64) {
        let mut input = vec![0.0; self.fillers.len()];
        for &(fills, load) in loads {
            let at = self.index_of(fills);
            input.resize(self.fillers.len(), 0.0);
            input[at] = load;
        }
        let added = input.iter().zip(&self.effects).map(|(load, effect)| load * effect);
        let error = stress - own.mean - added.sum::<f64>();
        if stress >= MOST_STRESS && error < 0.0 {
            return;
        }
        let dot = |row: &Vec<f64>| row.iter().zip(&input).map(|(a, b)| a * b).sum::<f64>();
        let spread = self.covariance.iter().map(dot).collect::<Vec<_>>();
        let inputs_variance = dot(&spread);
        let total_variance = inputs_variance + own.variance + GAUGE_VARIANCE;
        own.correct(error, total_variance);
        for (effect, spread) in self.effects.iter_mut().zip(&spread) {
            *effect = (*effect + spread / total_variance * error).max(0.0);
        }
        for (row, &a) in self.covariance.iter_mut().zip(&spread) {
            for (cell, &b) in row.iter_mut().zip(&spread) {
                *cell -= a * b / total_variance;
            }
        }
    }

    fn index_of(&mut self, fills: ImageNo) -> usize {
        if let Some(at) = self.fillers.iter().position(|&known| known == fills) {
            return at;
        }
        self.fillers.push(fills);
        self.effects.push(EFFECT_PRIOR);
        let count = self.fillers.len();
        self.covariance.iter_mut().for_each(|row| row.push(0.0));
        self.covariance.push(vec![0.0; count]);
        self.covariance[count - 1][count - 1] = EFFECT_PRIOR_VARIANCE;
        count - 1
    }
}

/// A queue's tail with no load at all.
fn unloaded_ms(lowest_ms: Option<f64>, target_ms: f64) -> f64 {
    lowest_ms.unwrap_or(target_ms * LOWEST_TAIL_PRIOR).min(target_ms * LOWEST_TAIL_PRIOR)
        * UNLOADED_OF_LOWEST
}
