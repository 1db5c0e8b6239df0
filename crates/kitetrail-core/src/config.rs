//! Tracks the configuration in force: numbered revisions, of which an older one never replaces a
//! newer one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Resources, TeamId};

/// The settings that operators control.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Configuration {
    /// The source of the policy program. An empty string selects the default policy.
    pub policy: String,
    /// The resources that the batch jobs of each team may hold in one shard at most.
    pub quotas: BTreeMap<TeamId, Resources>,
}

/// An accepted configuration, which is immutable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// The number of the revision, one higher than that of the revision it replaced.
    pub number: u64,
    /// The operator whose change was accepted.
    pub author: String,
    /// The id that the author's tool gave the change.
    pub change: String,
    /// The settings of the revision.
    pub configuration: Configuration,
}

/// The revision in force on one box.
#[derive(Debug, Clone, Default)]
pub struct RevisionInForce {
    revision: Option<Revision>,
}

impl RevisionInForce {
    /// Returns the revision in force, or `None` if none is known yet.
    pub fn revision(&self) -> Option<&Revision> {
        self.revision.as_ref()
    }

    /// Returns the number of the revision in force, or zero if none is known yet.
    pub fn number(&self) -> u64 {
        self.revision.as_ref().map_or(0, |revision| revision.number)
    }

    /// Puts a revision in force if it is newer than the current one, and returns whether it was.
    pub fn apply_if_newer(&mut self, revision: Revision) -> bool {
        let is_newer =
            self.revision.as_ref().is_none_or(|current| revision.number > current.number);
        if is_newer {
            self.revision = Some(revision);
        }
        is_newer
    }
}
