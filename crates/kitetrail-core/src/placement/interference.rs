//! How much tasks of one class slow down tasks of another, learned from late reports.

use std::collections::BTreeMap;

use crate::{Resources, TaskClass, worker::UsageSample};

/// The error a first sample is expected to have.
const PRIOR_ERROR: f64 = 0.5;
/// The slowdown a pair is expected to cause before anything was measured.
const PRIOR_EFFECT: f64 = 0.05;
/// The part of an error that is always learned, so that the model follows changes.
const MIN_LEARNING_RATE: f64 = 0.2;
/// How many samples make an estimate one to rely on.
const RELIABLE_SAMPLES: u32 = 4;

/// How loaded a worker is, in coarse steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Band {
    /// Under half of its processors are given.
    Low,
    /// Under four fifths are.
    Middle,
    /// More are.
    High,
}

impl Band {
    /// The band of a worker of which `used` is given.
    pub fn of(used: &Resources, capacity: &Resources) -> Self {
        let (used, capacity) = (u64::from(used.cpu_millis.0), u64::from(capacity.cpu_millis.0));
        match used {
            _ if used * 10 < capacity * 5 => Band::Low,
            _ if used * 10 < capacity * 8 => Band::Middle,
            _ => Band::High,
        }
    }
}

/// What is known of one pair of classes in one band.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// The slowdown one task of the second class adds to one of the first.
    pub effect: f64,
    /// The typical error of that figure.
    pub error: f64,
    /// How many samples it rests on.
    pub samples: u32,
}

impl Estimate {
    const PRIOR: Estimate = Estimate { effect: PRIOR_EFFECT, error: PRIOR_ERROR, samples: 0 };

    /// The uncertainty of the effect: it shrinks as samples come in.
    pub fn uncertainty(&self) -> f64 {
        self.error / f64::from(self.samples + 1).sqrt()
    }

    /// Whether it rests on enough samples to be relied on.
    pub fn is_reliable(&self) -> bool {
        self.samples >= RELIABLE_SAMPLES
    }

    /// Takes in this pair's part of an error.
    fn learn(&mut self, part: f64) {
        self.samples = self.samples.saturating_add(1);
        let rate = (1.0 / f64::from(self.samples)).max(MIN_LEARNING_RATE);
        self.effect = (self.effect + part * rate).max(0.0);
        self.error += (part.abs() - self.error) * rate;
    }
}

/// The estimates of all pairs.
///
/// A sample is credited to what shared the worker when it was taken: it carries that
/// list itself, so it does not matter how late it arrives.
#[derive(Debug, Clone, Default)]
pub struct InterferenceModel {
    pairs: BTreeMap<TaskClass, BTreeMap<TaskClass, [Option<Estimate>; 3]>>,
}

impl InterferenceModel {
    /// What is known of the effect of `beside` on `victim`.
    pub fn estimate(&self, victim: &TaskClass, beside: &TaskClass, band: Band) -> Estimate {
        let known = self.pairs.get(victim).and_then(|of| of.get(beside));
        known.and_then(|bands| bands[band as usize]).unwrap_or(Estimate::PRIOR)
    }

    /// The slowdown expected of `victim` beside the given tasks: 1.0 is none.
    pub fn expected(&self, victim: &TaskClass, beside: &[TaskClass], band: Band) -> f64 {
        let effects = beside.iter().map(|other| self.estimate(victim, other, band).effect);
        1.0 + effects.sum::<f64>()
    }

    /// Learns from a sample.
    ///
    /// Its error is divided among the classes that ran beside in proportion to how many
    /// tasks each had (normalised least mean squares), so that over samples with other
    /// neighbours each class ends up with its own effect.
    pub fn observe(&mut self, sample: &UsageSample, band: Band) {
        if sample.beside.is_empty() || !sample.slowdown.is_finite() {
            return;
        }
        let error = sample.slowdown - self.expected(&sample.class, &sample.beside, band);
        let mut counts: BTreeMap<&TaskClass, f64> = BTreeMap::new();
        for beside in &sample.beside {
            *counts.entry(beside).or_default() += 1.0;
        }
        let norm: f64 = counts.values().map(|count| count * count).sum();
        let of_victim = self.pairs.entry(sample.class.clone()).or_default();
        for (beside, count) in counts {
            let bands = of_victim.entry(beside.clone()).or_default();
            let estimate = bands[band as usize].get_or_insert(Estimate::PRIOR);
            estimate.learn(error * count / norm);
        }
    }
}
