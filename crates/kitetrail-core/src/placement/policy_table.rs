//! The results of evaluating a policy.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Resources, TaskClass, TeamId, task::SpecKind};

/// What may be done to the tasks of a class when services on their worker are too slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AllowedRelief {
    /// Nothing.
    Never,
    /// The tasks may be slowed down.
    Throttle,
    /// The tasks may be slowed down, and stopped to resume elsewhere.
    Evict,
}

/// The rule of a policy for one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassRule {
    /// The importance of the class. Higher ranks go first.
    pub rank: u8,
    /// What may be done to tasks of the class for classes of higher rank.
    pub sacrifice: AllowedRelief,
    /// The slowdown factor above which tasks of lower rank are throttled or evicted for the
    /// class. 1.0 means no slowdown.
    pub max_slowdown: f64,
}

impl ClassRule {
    /// Returns the rule of a class that the policy does not define.
    pub fn default_for(kind: SpecKind) -> Self {
        match kind {
            SpecKind::Service => {
                Self { rank: 100, sacrifice: AllowedRelief::Never, max_slowdown: 1.3 }
            }
            SpecKind::Watcher => {
                Self { rank: 50, sacrifice: AllowedRelief::Throttle, max_slowdown: 3.0 }
            }
            SpecKind::Job => {
                Self { rank: 10, sacrifice: AllowedRelief::Evict, max_slowdown: 100.0 }
            }
        }
    }
}

/// The results of a policy for the existing classes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PolicyTable {
    /// The configuration revision that the table was computed from.
    pub revision: u64,
    /// The weight of tail latency against throughput, from 0.0 to 1.0.
    pub tail_weight: f64,
    /// The rule of each class.
    pub rules: BTreeMap<TaskClass, ClassRule>,
    /// Pairs of classes that may not share a worker, each in both orders.
    pub apart: BTreeSet<(TaskClass, TaskClass)>,
    /// The largest amount of resources that each team's jobs may hold in one shard.
    pub quotas: BTreeMap<TeamId, Resources>,
}

impl PolicyTable {
    /// Returns the rule of a class.
    pub fn rule(&self, class: &TaskClass, kind: SpecKind) -> ClassRule {
        self.rules.get(class).cloned().unwrap_or_else(|| ClassRule::default_for(kind))
    }

    /// Returns whether two classes may share a worker.
    pub fn may_share(&self, one: &TaskClass, other: &TaskClass) -> bool {
        self.apart.is_empty() || !self.apart.contains(&(one.clone(), other.clone()))
    }
}

impl Default for PolicyTable {
    fn default() -> Self {
        Self {
            revision: 0,
            tail_weight: 0.5,
            rules: BTreeMap::new(),
            apart: BTreeSet::new(),
            quotas: BTreeMap::new(),
        }
    }
}
