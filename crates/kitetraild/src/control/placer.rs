//! The placer that is selected in the settings.

use kitetrail_core::{
    TaskClass,
    placement::{
        Choice, FirstFit, InterferenceAware, LoadBand, PlacementCandidate, Placer, PolicyTable,
    },
    task::TaskRow,
    worker::UsageSample,
};

use crate::settings::PlacerChoice;

/// The placer that is selected in the settings.
#[derive(Debug, Clone)]
pub enum ChosenPlacer {
    /// Chooses the worker with the least expected interference.
    InterferenceAware(InterferenceAware),
    /// Chooses the first worker with free capacity.
    FirstFit(FirstFit),
}

impl ChosenPlacer {
    /// Creates the placer for a setting.
    pub fn new(choice: PlacerChoice) -> Self {
        match choice {
            PlacerChoice::InterferenceAware => {
                Self::InterferenceAware(InterferenceAware::default())
            }
            PlacerChoice::FirstFit => Self::FirstFit(FirstFit::default()),
        }
    }
}

impl Placer for ChosenPlacer {
    fn choose(&self, task: &TaskRow, candidates: &[PlacementCandidate<'_>]) -> Option<Choice> {
        match self {
            Self::InterferenceAware(placer) => placer.choose(task, candidates),
            Self::FirstFit(placer) => placer.choose(task, candidates),
        }
    }

    fn observe(&mut self, sample: &UsageSample, band: LoadBand) {
        match self {
            Self::InterferenceAware(placer) => placer.observe(sample, band),
            Self::FirstFit(placer) => placer.observe(sample, band),
        }
    }

    fn expected_effect(&self, victim: &TaskClass, beside: &TaskClass, band: LoadBand) -> f64 {
        match self {
            Self::InterferenceAware(placer) => placer.expected_effect(victim, beside, band),
            Self::FirstFit(placer) => placer.expected_effect(victim, beside, band),
        }
    }

    fn set_policy(&mut self, policy: PolicyTable) {
        match self {
            Self::InterferenceAware(placer) => placer.set_policy(policy),
            Self::FirstFit(placer) => placer.set_policy(policy),
        }
    }

    fn policy(&self) -> &PolicyTable {
        match self {
            Self::InterferenceAware(placer) => placer.policy(),
            Self::FirstFit(placer) => placer.policy(),
        }
    }
}
