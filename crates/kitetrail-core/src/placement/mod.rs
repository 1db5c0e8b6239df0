//! Which worker takes a task, and what relieves a worker under pressure.

mod first_fit;
mod interference;
mod interference_aware;
mod policy_table;
mod relief;

pub use first_fit::FirstFit;
pub use interference::{Band, Estimate, InterferenceModel};
pub use interference_aware::InterferenceAware;
pub use policy_table::{ClassRule, PolicyTable, Sacrifice};
pub use relief::{Relief, ReliefSettings, Resident, Step};

use std::collections::BTreeMap;

use crate::{
    Resources, TaskClass, WorkerId,
    task::{Kind, TaskRow},
    worker::UsageSample,
};

/// A worker that could take a task.
#[derive(Debug, Clone)]
pub struct Candidate<'a> {
    /// The worker.
    pub worker: &'a WorkerId,
    /// What it has.
    pub capacity: Resources,
    /// What is still free.
    pub free: Resources,
    /// The classes that run on it.
    pub classes: &'a BTreeMap<TaskClass, ClassCount>,
    /// How many tasks of the same spec are on the worker.
    pub siblings_on_worker: u32,
    /// How many tasks of the same spec are in the worker's rack.
    pub siblings_in_rack: u32,
}

/// How many tasks of a class run on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassCount {
    /// Their kind.
    pub kind: Kind,
    /// How many there are.
    pub tasks: u32,
}

/// A worker chosen among candidates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The position among the candidates.
    pub index: usize,
    /// Why, for the log.
    pub reason: String,
}

/// A way to choose workers.
///
/// Candidates already have enough room; a placer only weighs them.
pub trait Placer {
    /// The best candidate for a task, or `None` if it should rather wait.
    fn choose(&self, task: &TaskRow, candidates: &[Candidate<'_>]) -> Option<Choice>;

    /// Learns from a measurement taken at the given load.
    fn observe(&mut self, sample: &UsageSample, band: Band);

    /// The slowdown that the given class is expected to cause another at a load.
    fn blame(&self, victim: &TaskClass, beside: &TaskClass, band: Band) -> f64;

    /// Follows a change of policy.
    fn set_policy(&mut self, policy: PolicyTable);

    /// The policy in force.
    fn policy(&self) -> &PolicyTable;
}
