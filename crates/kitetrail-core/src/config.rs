//! The configuration in force: numbered revisions that are never stepped back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Resources, TeamId};

/// What operators configure.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Configuration {
    /// The program that states what matters. Empty stands for the defaults.
    pub policy: String,
    /// The most that each team's batch jobs may hold in one shard.
    pub quotas: BTreeMap<TeamId, Resources>,
}

/// An accepted configuration. It never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// Its number, one more than that of the revision it replaced.
    pub number: u64,
    /// Who accepted it.
    pub author: String,
    /// The id its author's tool gave the change.
    pub change: String,
    /// What it says.
    pub configuration: Configuration,
}

/// The revision one box has in force.
#[derive(Debug, Clone, Default)]
pub struct RevisionInForce {
    revision: Option<Revision>,
}

impl RevisionInForce {
    /// The revision, or `None` before any was learned.
    pub fn revision(&self) -> Option<&Revision> {
        self.revision.as_ref()
    }

    /// Its number, zero before any was learned.
    pub fn number(&self) -> u64 {
        self.revision.as_ref().map_or(0, |revision| revision.number)
    }

    /// Puts a revision in force if it is newer. Returns whether it was.
    pub fn offer(&mut self, revision: Revision) -> bool {
        let newer = self.revision.as_ref().is_none_or(|known| revision.number > known.number);
        if newer {
            self.revision = Some(revision);
        }
        newer
    }
}
