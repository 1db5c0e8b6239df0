//! The actual interference between task classes, which kitetrail has to estimate.

use std::collections::BTreeMap;

use kitetrail_core::TaskClass;
use serde::Deserialize;

/// The slowdown that a task of one class causes to a task of another, by victim and aggressor.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(transparent)]
pub struct Effects(BTreeMap<TaskClass, BTreeMap<TaskClass, f64>>);

impl Effects {
    /// Returns the slowdown that a task of class `aggressor` causes to a task of class `victim`.
    pub fn of(&self, victim: &TaskClass, aggressor: &TaskClass) -> f64 {
        self.0
            .get(victim)
            .and_then(|by_aggressor| by_aggressor.get(aggressor))
            .copied()
            .unwrap_or(0.0)
    }
}
