//! What of the tail of a serving task's answers is its own load, and what the tasks that fill
//! beside it add.
//!
//! A tail grows like that of a queue: it is the task's lowest tail over the share of time that is
//! left. The *stress* of a task is the share that is taken. Stress adds up: the task's own load,
//! which swings within seconds, and for each image that fills there the processor time it uses
//! times an effect that holds for the pair of images. Both are learned from each report by a
//! Kalman filter that leaves covariances out.

use std::{collections::HashMap, sync::Arc};

/// What a pair's effect is before anything is known: more than most pairs show, so that the first
/// ones are placed with care.
const EFFECT_PRIOR: f64 = 0.3;
/// How far off that may be, as a variance.
const EFFECT_PRIOR_VARIANCE: f64 = 0.25;
/// Effects drift this much a second, as a variance: what an image does changes slowly.
const EFFECT_DRIFT_VARIANCE: f64 = 0.000_2;
/// What a task's own stress is before anything is known.
const OWN_PRIOR: f64 = 0.55;
/// How far off that may be, as a variance.
const OWN_PRIOR_VARIANCE: f64 = 0.03;
/// How much a task's own load swings in a second, as a variance.
const OWN_DRIFT_VARIANCE: f64 = 0.002_5;
/// How rough a reported tail is, as a variance of the stress it stands for.
const GAUGE_VARIANCE: f64 = 0.002;
/// Stress above this can't be told apart: the queue is full.
const MOST_STRESS: f64 = 0.95;
/// The lowest tail of an image, as a share of its target, before any was seen.
const LOWEST_TAIL_PRIOR: f64 = 0.25;
/// A queue's tail with no load at all, as a share of the lowest one seen: services are never idle.
const UNLOADED_OF_LOWEST: f64 = 0.8;
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

    const fn effect() -> Self {
        Self { mean: EFFECT_PRIOR, variance: EFFECT_PRIOR_VARIANCE }
    }

    fn correct(&mut self, input: f64, error: f64, total_variance: f64) {
        let gain = self.variance * input / total_variance;
        self.mean = (self.mean + gain * error).max(0.0);
        self.variance *= 1.0 - gain * input;
    }
}

/// How much processor time the tasks of an image use on a worker, as a share of all it has.
pub(super) type Load = (Arc<str>, f64);

/// A reported tail of a serving task.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tail {
    pub(super) tail_ms: f64,
    pub(super) target_ms: f64,
    /// Since the report before, in seconds.
    pub(super) gap_s: f64,
}

/// What is known of all pairs of images.
#[derive(Debug, Default)]
pub(super) struct TailModel {
    /// By the image that fills, then the one that serves.
    effects: HashMap<Arc<str>, HashMap<Arc<str>, Estimate>>,
    /// The lowest tail of each image that serves, in milliseconds.
    lowest_ms: HashMap<Arc<str>, f64>,
}

impl TailModel {
    /// How much stress an image that fills adds to one that serves, when it uses all processors.
    pub(super) fn effect(&self, fills: &str, serves: &str) -> f64 {
        let known = self.effects.get(fills).and_then(|effects| effects.get(serves));
        known.map_or(EFFECT_PRIOR, |effect| effect.mean)
    }

    /// The stress at which a tail is `share` of its target.
    pub(super) fn stress_at(&self, serves: &str, target_ms: f64, share: f64) -> f64 {
        1.0 - self.unloaded_ms(serves, target_ms) / (target_ms * share)
    }

    /// Learns from a report: corrects what is believed of the task's own stress and of the effects
    /// of what fills beside it.
    pub(super) fn learn(
        &mut self,
        serves: &Arc<str>,
        own: &mut Estimate,
        loads: &[Load],
        tail: Tail,
    ) {
        let prior_ms = tail.target_ms * LOWEST_TAIL_PRIOR;
        let lowest_ms = self.lowest_ms.entry(Arc::clone(serves)).or_insert(prior_ms);
        *lowest_ms = lowest_ms.min(tail.tail_ms.max(1.0));
        let unloaded_ms = self.unloaded_ms(serves, tail.target_ms);
        let stress = (1.0 - unloaded_ms / tail.tail_ms.max(1.0)).clamp(0.0, MOST_STRESS);
        let gap_s = tail.gap_s.min(LONGEST_GAP_S);
        own.variance = (own.variance + OWN_DRIFT_VARIANCE * gap_s).min(OWN_PRIOR_VARIANCE);
        let added = loads.iter().map(|(fills, load)| self.effect(fills, serves) * load);
        let error = stress - own.mean - added.sum::<f64>();
        if stress >= MOST_STRESS && error < 0.0 {
            return;
        }
        let mut total_variance = own.variance + GAUGE_VARIANCE;
        for (fills, load) in loads {
            let effect = self.effect_mut(fills, serves);
            effect.variance += EFFECT_DRIFT_VARIANCE * gap_s;
            total_variance += effect.variance * load * load;
        }
        own.correct(1.0, error, total_variance);
        for (fills, load) in loads {
            self.effect_mut(fills, serves).correct(*load, error, total_variance);
        }
    }

    fn effect_mut(&mut self, fills: &Arc<str>, serves: &Arc<str>) -> &mut Estimate {
        let effects = self.effects.entry(Arc::clone(fills)).or_default();
        effects.entry(Arc::clone(serves)).or_insert_with(Estimate::effect)
    }

    fn unloaded_ms(&self, serves: &str, target_ms: f64) -> f64 {
        let lowest_ms = self.lowest_ms.get(serves).copied();
        lowest_ms.unwrap_or(target_ms * LOWEST_TAIL_PRIOR) * UNLOADED_OF_LOWEST
    }
}
