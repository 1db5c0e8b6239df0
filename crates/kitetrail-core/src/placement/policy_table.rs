//! What a policy answered, as plain data.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Resources, TaskClass, TeamId, task::Kind};

/// What may be done to a class under pressure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sacrifice {
    /// Nothing.
    Never,
    /// It may be slowed down.
    Throttle,
    /// It may be slowed down, and stopped to resume elsewhere.
    Evict,
}

/// What a policy says of one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassRule {
    /// How much the class matters. Higher goes first.
    pub rank: u8,
    /// What may be done to it.
    pub sacrifice: Sacrifice,
    /// The slowdown it may suffer before others are relieved for it: 1.0 is none.
    pub max_slowdown: f64,
}

impl ClassRule {
    /// The rule of a class that no policy speaks of.
    pub fn default_of(kind: Kind) -> Self {
        match kind {
            Kind::Service => Self { rank: 100, sacrifice: Sacrifice::Never, max_slowdown: 1.3 },
            Kind::Watcher => Self { rank: 50, sacrifice: Sacrifice::Throttle, max_slowdown: 3.0 },
            Kind::Job => Self { rank: 10, sacrifice: Sacrifice::Evict, max_slowdown: 100.0 },
        }
    }
}

/// The answers of a policy for the classes that exist.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PolicyTable {
    /// The configuration revision it was worked out from.
    pub revision: u64,
    /// How much tail latency weighs against throughput, from 0.0 to 1.0.
    pub tail_weight: f64,
    /// The rule of each class.
    pub rules: BTreeMap<TaskClass, ClassRule>,
    /// Pairs of classes that may not share a worker, each in both orders.
    pub apart: BTreeSet<(TaskClass, TaskClass)>,
    /// The most that each team's batch jobs may hold in one shard.
    pub quotas: BTreeMap<TeamId, Resources>,
}

impl PolicyTable {
    /// The rule of a class.
    pub fn rule(&self, class: &TaskClass, kind: Kind) -> ClassRule {
        self.rules.get(class).cloned().unwrap_or_else(|| ClassRule::default_of(kind))
    }

    /// Whether two classes may share a worker.
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
