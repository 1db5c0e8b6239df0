//! The placer that weighs expected harm and its uncertainty.

use std::cmp::Ordering;

use super::{Band, Candidate, Choice, InterferenceModel, Placer, PolicyTable};
use crate::{
    TaskClass,
    task::{Kind, TaskRow},
    worker::UsageSample,
};

/// How much a unit of uncertainty counts against a unit of expected harm.
const UNCERTAINTY_WEIGHT: f64 = 0.3;
/// The cost of a task of the same spec on the same worker.
const SAME_WORKER_COST: f64 = 1.0;
/// The cost of a task of the same spec in the same rack.
const SAME_RACK_COST: f64 = 0.1;
/// How much a full worker is preferred over an empty one for batch work.
const PACKING_WEIGHT: f64 = 0.05;

/// Chooses the worker where a task is expected to do and suffer the least harm.
#[derive(Debug, Clone, Default)]
pub struct InterferenceAware {
    model: InterferenceModel,
    policy: PolicyTable,
}

impl InterferenceAware {
    /// What has been learned.
    pub fn model(&self) -> &InterferenceModel {
        &self.model
    }

    /// The cost of a task on a candidate, or `None` if policy keeps it away.
    fn cost(&self, task: &TaskRow, candidate: &Candidate<'_>) -> Option<f64> {
        let class = &task.spec.class;
        if candidate.classes.keys().any(|other| !self.policy.may_share(class, other)) {
            return None;
        }
        let used = candidate.capacity.checked_sub(&candidate.free).unwrap_or_default();
        let band = Band::of(&used.saturating_add(&task.spec.size), &candidate.capacity);
        let harm = candidate.classes.iter().map(|(other, &count)| {
            self.pair_cost(task.spec.kind, class, other, band) * f64::from(count)
        });
        let spread = f64::from(candidate.siblings_on_worker) * SAME_WORKER_COST
            + f64::from(candidate.siblings_in_rack) * SAME_RACK_COST;
        let spread = if task.spec.kind == Kind::Service { spread } else { spread * 0.1 };
        Some(harm.sum::<f64>() + spread - PACKING_WEIGHT * load(candidate))
    }

    /// The harm of a new task beside a resident one, in both directions.
    fn pair_cost(&self, kind: Kind, new: &TaskClass, resident: &TaskClass, band: Band) -> f64 {
        let resident_kind = self.kind_of(resident);
        self.weighted(resident_kind, resident, new, band) + self.weighted(kind, new, resident, band)
    }

    fn weighted(&self, kind: Kind, victim: &TaskClass, beside: &TaskClass, band: Band) -> f64 {
        let estimate = self.model.estimate(victim, beside, band);
        let weight = match kind {
            Kind::Service => self.policy.tail_weight,
            Kind::Job | Kind::Watcher => 1.0 - self.policy.tail_weight,
        };
        weight * (estimate.effect + UNCERTAINTY_WEIGHT * estimate.uncertainty())
    }

    /// The kind a resident class is weighed as: what policy protects counts as a service.
    fn kind_of(&self, class: &TaskClass) -> Kind {
        match self.policy.rules.get(class) {
            Some(rule) if rule.sacrifice == super::Sacrifice::Never => Kind::Service,
            Some(_) => Kind::Job,
            None => Kind::Service,
        }
    }
}

impl Placer for InterferenceAware {
    fn choose(&self, task: &TaskRow, candidates: &[Candidate<'_>]) -> Option<Choice> {
        let costs = candidates
            .iter()
            .enumerate()
            .filter_map(|(index, candidate)| Some((index, self.cost(task, candidate)?)));
        let (index, cost) =
            costs.min_by(|a, b| a.1.partial_cmp(&b.1).unwrap_or(Ordering::Equal))?;
        Some(Choice { index, reason: format!("least expected harm, cost {cost:.2}") })
    }

    fn observe(&mut self, sample: &UsageSample, band: Band) {
        self.model.observe(sample, band);
    }

    fn blame(&self, victim: &TaskClass, beside: &TaskClass, band: Band) -> f64 {
        self.model.estimate(victim, beside, band).effect
    }

    fn set_policy(&mut self, policy: PolicyTable) {
        self.policy = policy;
    }

    fn policy(&self) -> &PolicyTable {
        &self.policy
    }
}

/// The part of a worker's processors that is given, from 0.0 to 1.0.
fn load(candidate: &Candidate<'_>) -> f64 {
    let capacity = f64::from(candidate.capacity.cpu_millis.0.max(1));
    1.0 - f64::from(candidate.free.cpu_millis.0) / capacity
}
