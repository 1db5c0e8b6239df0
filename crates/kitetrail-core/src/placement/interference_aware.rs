//! The placer that minimises expected interference and its uncertainty.

use std::cmp::Ordering;

use super::{Choice, InterferenceModel, LoadBand, PlacementCandidate, Placer, PolicyTable};
use crate::{
    TaskClass,
    task::{SpecKind, TaskRow},
    worker::UsageSample,
};

/// The weight of uncertainty relative to expected slowdown.
const UNCERTAINTY_WEIGHT: f64 = 0.3;
/// The rank at which the slowdown of a class has weight 1.
const FULL_WEIGHT_RANK: f64 = 100.0;
/// The cost of a task of the same spec on the same worker.
const SAME_WORKER_COST: f64 = 1.0;
/// The cost of a task of the same spec in the same rack.
const SAME_RACK_COST: f64 = 0.1;
/// The weight by which a full worker is preferred over an empty one for batch work.
const PACKING_WEIGHT: f64 = 0.05;

/// Chooses the worker where a task is expected to cause and suffer the least slowdown.
#[derive(Debug, Clone, Default)]
pub struct InterferenceAware {
    model: InterferenceModel,
    policy: PolicyTable,
}

impl InterferenceAware {
    /// Returns the learned model.
    pub fn model(&self) -> &InterferenceModel {
        &self.model
    }

    /// Returns the cost of a task on a candidate, or `None` if the policy excludes the candidate.
    fn cost(&self, task: &TaskRow, candidate: &PlacementCandidate<'_>) -> Option<f64> {
        let class = &task.spec.class;
        if candidate.classes.keys().any(|other| !self.policy.may_share(class, other)) {
            return None;
        }
        let used = candidate.capacity.checked_sub(&candidate.free).unwrap_or_default();
        let band = LoadBand::of(&used.saturating_add(&task.spec.size), &candidate.capacity);
        if candidate.classes.iter().any(|(victim, count)| {
            self.would_exceed_slowdown(task, victim, count.kind, candidate, band)
        }) {
            return None;
        }
        let harm = candidate.classes.iter().map(|(other, count)| {
            let suffered = self.harm(task.spec.kind, class, other, band);
            let done = self.harm(count.kind, other, class, band);
            (suffered + done) * f64::from(count.tasks)
        });
        // Replicas of a service are spread over workers and racks; tasks of a job need not be.
        let spread = match task.spec.kind {
            SpecKind::Service => {
                f64::from(candidate.siblings_on_worker) * SAME_WORKER_COST
                    + f64::from(candidate.siblings_in_rack) * SAME_RACK_COST
            }
            SpecKind::Job | SpecKind::Watcher => 0.0,
        };
        Some(harm.sum::<f64>() + spread - PACKING_WEIGHT * load(candidate))
    }

    /// Returns whether a task of lower rank is known to push a class on a worker beyond its
    /// allowed slowdown. Such a task waits, since it would soon be evicted again.
    fn would_exceed_slowdown(
        &self,
        task: &TaskRow,
        victim: &TaskClass,
        kind: SpecKind,
        candidate: &PlacementCandidate<'_>,
        band: LoadBand,
    ) -> bool {
        let rule = self.policy.rule(victim, kind);
        let new = self.model.estimate(victim, &task.spec.class, band);
        let matters_less = self.policy.rule(&task.spec.class, task.spec.kind).rank < rule.rank;
        if *victim == task.spec.class || !matters_less || !new.is_reliable() {
            return false;
        }
        let others = candidate.classes.iter().filter(|(other, _)| *other != victim);
        let effects = others.map(|(other, count)| {
            self.model.estimate(victim, other, band).effect * f64::from(count.tasks)
        });
        1.0 + effects.sum::<f64>() + new.effect > rule.max_slowdown
    }

    /// Returns the harm that a task of class `beside` is expected to do to one of class
    /// `victim`: the slowdown, weighted by the victim's rank in the policy.
    fn harm(&self, kind: SpecKind, victim: &TaskClass, beside: &TaskClass, band: LoadBand) -> f64 {
        let estimate = self.model.estimate(victim, beside, band);
        // Uncertainty counts only against neighbours of services, so that unknown pairs are
        // measured beside batch work.
        let (weight, risk) = match kind {
            SpecKind::Service => {
                (self.policy.tail_weight, UNCERTAINTY_WEIGHT * estimate.uncertainty())
            }
            SpecKind::Job | SpecKind::Watcher => (1.0 - self.policy.tail_weight, 0.0),
        };
        let importance = f64::from(self.policy.rule(victim, kind).rank) / FULL_WEIGHT_RANK;
        weight * importance * (estimate.effect + risk)
    }
}

impl Placer for InterferenceAware {
    fn choose(&self, task: &TaskRow, candidates: &[PlacementCandidate<'_>]) -> Option<Choice> {
        let costs = candidates
            .iter()
            .enumerate()
            .filter_map(|(index, candidate)| Some((index, self.cost(task, candidate)?)));
        let (index, cost) =
            costs.min_by(|a, b| a.1.partial_cmp(&b.1).unwrap_or(Ordering::Equal))?;
        Some(Choice { index, reason: format!("lowest expected interference, cost {cost:.2}") })
    }

    fn observe(&mut self, sample: &UsageSample, band: LoadBand) {
        self.model.observe(sample, band);
    }

    fn expected_effect(&self, victim: &TaskClass, beside: &TaskClass, band: LoadBand) -> f64 {
        self.model.estimate(victim, beside, band).effect
    }

    fn set_policy(&mut self, policy: PolicyTable) {
        self.policy = policy;
    }

    fn policy(&self) -> &PolicyTable {
        &self.policy
    }
}

/// Returns the share of a worker's processors that is granted, from 0.0 to 1.0.
fn load(candidate: &PlacementCandidate<'_>) -> f64 {
    let capacity = f64::from(candidate.capacity.cpu_millis.0.max(1));
    1.0 - f64::from(candidate.free.cpu_millis.0) / capacity
}
