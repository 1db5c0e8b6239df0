//! How much classes really disturb each other, which kitetrail has to find out.

use std::collections::BTreeMap;

use kitetrail_core::TaskClass;
use serde::Deserialize;

/// The slowdown that one task of a class adds to one of another: victim, then aggressor.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(transparent)]
pub struct Effects(BTreeMap<TaskClass, BTreeMap<TaskClass, f64>>);

impl Effects {
    /// The effect of one task of class `beside` on one of class `victim`.
    pub fn of(&self, victim: &TaskClass, beside: &TaskClass) -> f64 {
        self.0.get(victim).and_then(|of| of.get(beside)).copied().unwrap_or(0.0)
    }
}
