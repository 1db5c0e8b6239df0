//! A model of how much tasks of one class slow down tasks of another, learned from usage
//! samples.

use std::collections::BTreeMap;

use crate::{Resources, TaskClass, worker::UsageSample};

/// The typical error of an estimate without samples.
const PRIOR_ERROR: f64 = 0.5;
/// The effect of a pair of classes without samples.
const PRIOR_EFFECT: f64 = 0.05;
/// The smallest learning rate. It stays above zero so that the model follows changes.
const MIN_LEARNING_RATE: f64 = 0.2;
/// The number of samples from which an estimate counts as reliable.
const RELIABLE_SAMPLES: u32 = 4;

/// The load of a worker, in coarse steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LoadBand {
    /// Less than half of the processors are granted.
    Low,
    /// Less than four fifths of the processors are granted.
    Middle,
    /// Four fifths of the processors or more are granted.
    High,
}

impl LoadBand {
    /// Returns the band of a worker with `used` granted.
    pub fn of(used: &Resources, capacity: &Resources) -> Self {
        let (used, capacity) = (u64::from(used.cpu_millis.0), u64::from(capacity.cpu_millis.0));
        match used {
            _ if used * 10 < capacity * 5 => LoadBand::Low,
            _ if used * 10 < capacity * 8 => LoadBand::Middle,
            _ => LoadBand::High,
        }
    }
}

/// The estimate for one pair of classes in one band.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// The slowdown that one task of the second class adds to a task of the first.
    pub effect: f64,
    /// The typical error of `effect`.
    pub error: f64,
    /// The number of samples behind the estimate.
    pub samples: u32,
}

impl Estimate {
    const PRIOR: Estimate = Estimate { effect: PRIOR_EFFECT, error: PRIOR_ERROR, samples: 0 };

    /// Returns the uncertainty of the effect, which decreases with the number of samples.
    pub fn uncertainty(&self) -> f64 {
        self.error / f64::from(self.samples + 1).sqrt()
    }

    /// Returns whether the estimate has enough samples.
    pub fn is_reliable(&self) -> bool {
        self.samples >= RELIABLE_SAMPLES
    }

    /// Updates the estimate by this pair's part of a prediction error.
    fn learn(&mut self, part: f64) {
        self.samples = self.samples.saturating_add(1);
        let rate = (1.0 / f64::from(self.samples)).max(MIN_LEARNING_RATE);
        self.effect = (self.effect + part * rate).max(0.0);
        self.error += (part.abs() - self.error) * rate;
    }
}

/// The estimates of all pairs of classes.
///
/// A sample is attributed to the tasks that shared the worker when it was taken. It holds
/// the list of their classes, so it may arrive late.
#[derive(Debug, Clone, Default)]
pub struct InterferenceModel {
    pairs: BTreeMap<TaskClass, BTreeMap<TaskClass, [Option<Estimate>; 3]>>,
}

impl InterferenceModel {
    /// Returns the estimated effect of `beside` on `victim`.
    pub fn estimate(&self, victim: &TaskClass, beside: &TaskClass, band: LoadBand) -> Estimate {
        let known = self.pairs.get(victim).and_then(|effects| effects.get(beside));
        known.and_then(|bands| bands[band as usize]).unwrap_or(Estimate::PRIOR)
    }

    /// Returns the expected slowdown factor of `victim` beside the given tasks. 1.0 means none.
    pub fn expected(&self, victim: &TaskClass, beside: &[TaskClass], band: LoadBand) -> f64 {
        let effects = beside.iter().map(|other| self.estimate(victim, other, band).effect);
        1.0 + effects.sum::<f64>()
    }

    /// Updates the estimates from a sample.
    ///
    /// The prediction error is divided among the neighbouring classes in proportion to their
    /// numbers of tasks (normalised least mean squares). Over samples with different
    /// neighbours, each class converges to its own effect.
    pub fn observe(&mut self, sample: &UsageSample, band: LoadBand) {
        if sample.beside.is_empty() || !sample.slowdown.is_finite() {
            return;
        }
        let error = sample.slowdown - self.expected(&sample.class, &sample.beside, band);
        let mut counts: BTreeMap<&TaskClass, f64> = BTreeMap::new();
        for beside in &sample.beside {
            *counts.entry(beside).or_default() += 1.0;
        }
        let norm: f64 = counts.values().map(|count| count * count).sum();
        let victim_pairs = self.pairs.entry(sample.class.clone()).or_default();
        for (beside, count) in counts {
            let bands = victim_pairs.entry(beside.clone()).or_default();
            let estimate = bands[band as usize].get_or_insert(Estimate::PRIOR);
            estimate.learn(error * count / norm);
        }
    }
}
