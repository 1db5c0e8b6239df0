//! The baseline placer, which ignores interference.

use super::{Choice, LoadBand, PlacementCandidate, Placer, PolicyTable};
use crate::{TaskClass, task::TaskRow, worker::UsageSample};

/// Chooses the first worker with enough free resources and learns nothing.
#[derive(Debug, Clone, Default)]
pub struct FirstFit {
    policy: PolicyTable,
}

impl Placer for FirstFit {
    fn choose(&self, _task: &TaskRow, candidates: &[PlacementCandidate<'_>]) -> Option<Choice> {
        let reason = || "first with enough free resources".to_owned();
        (!candidates.is_empty()).then(|| Choice { index: 0, reason: reason() })
    }

    fn observe(&mut self, _sample: &UsageSample, _band: LoadBand) {}

    fn expected_effect(&self, _victim: &TaskClass, _beside: &TaskClass, _band: LoadBand) -> f64 {
        0.0
    }

    fn set_policy(&mut self, policy: PolicyTable) {
        self.policy = policy;
    }

    fn policy(&self) -> &PolicyTable {
        &self.policy
    }
}
