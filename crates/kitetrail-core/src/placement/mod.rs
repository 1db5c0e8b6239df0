//! The choice of a worker for a task, and the relief of workers whose services are too slow.

mod first_fit;
mod interference;
mod interference_aware;
mod policy_table;
mod relief;

pub use first_fit::FirstFit;
pub use interference::{Estimate, InterferenceModel, LoadBand};
pub use interference_aware::InterferenceAware;
pub use policy_table::{AllowedRelief, ClassRule, PolicyTable};
pub use relief::{ReliefSettings, ReliefState, ReliefStep, Resident};

use std::collections::BTreeMap;

use crate::{
    Resources, TaskClass, WorkerId,
    task::{SpecKind, TaskRow},
    worker::UsageSample,
};

/// A worker that has enough free resources for a task.
#[derive(Debug, Clone)]
pub struct PlacementCandidate<'a> {
    /// The worker.
    pub worker: &'a WorkerId,
    /// The capacity of the worker.
    pub capacity: Resources,
    /// The resources that are not granted.
    pub free: Resources,
    /// The number of tasks of each class on the worker.
    pub classes: &'a BTreeMap<TaskClass, ClassCount>,
    /// The number of tasks of the same spec on the worker.
    pub siblings_on_worker: u32,
    /// The number of tasks of the same spec in the worker's rack.
    pub siblings_in_rack: u32,
}

/// The number of tasks of a class on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassCount {
    /// The kind of the tasks.
    pub kind: SpecKind,
    /// The number of tasks.
    pub tasks: u32,
}

/// A worker chosen among candidates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The index among the candidates.
    pub index: usize,
    /// The reason, for the log.
    pub reason: String,
}

/// A strategy for choosing workers.
///
/// All candidates have enough free resources; a placer only ranks them.
pub trait Placer {
    /// Returns the best candidate for a task, or `None` if the task should wait.
    fn choose(&self, task: &TaskRow, candidates: &[PlacementCandidate<'_>]) -> Option<Choice>;

    /// Learns from a sample that was taken at the given load.
    fn observe(&mut self, sample: &UsageSample, band: LoadBand);

    /// Returns the slowdown that `beside` is expected to cause to `victim` at the given load.
    fn expected_effect(&self, victim: &TaskClass, beside: &TaskClass, band: LoadBand) -> f64;

    /// Replaces the policy.
    fn set_policy(&mut self, policy: PolicyTable);

    /// Returns the policy in force.
    fn policy(&self) -> &PolicyTable;
}
