//! Tracks the operators' requests to start no further tasks in an availability zone, as known to one
//! box.

use std::collections::BTreeMap;

/// An evacuation request by operators, or the withdrawal of one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The availability zone.
    pub zone: String,
    /// The store version at which the request was written or removed.
    pub version: u64,
    /// Whether evacuation is requested; `false` means that the request was withdrawn.
    pub requested: bool,
}

/// The evacuation requests in force.
///
/// Information that applies to an older store version than the one already known is ignored, so that
/// the state never goes back.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// The store version up to which all changes are known.
    known_until: u64,
    /// The store version of each zone's request, by zone.
    requested: BTreeMap<String, u64>,
}

impl Evacuations {
    /// Returns the zones to be evacuated.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.requested.keys().map(String::as_str)
    }

    /// Returns the number of zones to be evacuated.
    pub fn count(&self) -> usize {
        self.requested.len()
    }

    /// Replaces the state by all requests in force at a store version, and returns the changes.
    pub fn replace_all(
        &mut self,
        known_until: u64,
        all: Vec<EvacuationChange>,
    ) -> Vec<EvacuationChange> {
        if known_until < self.known_until {
            return Vec::new();
        }
        let is_removed = |zone: &&String| !all.iter().any(|change| change.zone == **zone);
        let removed_zones = self.requested.keys().filter(is_removed).cloned().collect::<Vec<_>>();
        let withdrawal = |zone| EvacuationChange { zone, version: known_until, requested: false };
        let changes = removed_zones.into_iter().map(withdrawal).chain(all).collect();
        self.apply_changes(known_until, changes)
    }

    /// Applies changes in order, up to a store version, and returns those that had an effect.
    pub fn apply_changes(
        &mut self,
        known_until: u64,
        changes: Vec<EvacuationChange>,
    ) -> Vec<EvacuationChange> {
        if known_until < self.known_until {
            return Vec::new();
        }
        self.known_until = known_until;
        changes.into_iter().filter(|change| self.apply(change)).collect()
    }

    /// Applies a change and returns whether the zone's state changed.
    fn apply(&mut self, change: &EvacuationChange) -> bool {
        let current = self.requested.get(&change.zone).copied();
        match (change.requested, current) {
            (true, Some(version)) if version >= change.version => false,
            (true, current) => {
                self.requested.insert(change.zone.clone(), change.version);
                current.is_none()
            }
            (false, Some(_)) => self.requested.remove(&change.zone).is_some(),
            (false, None) => false,
        }
    }
}
