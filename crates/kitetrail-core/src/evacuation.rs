//! Operators' requests to start nothing further in an availability zone, as known to one box.

use std::collections::BTreeMap;

/// A request of operators, or its withdrawal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The availability zone.
    pub zone: String,
    /// The version of the store that wrote or removed the request.
    pub version: u64,
    /// It is requested; otherwise it was withdrawn.
    pub requested: bool,
}

/// The requests in force.
///
/// What is learned later but holds for an earlier version of the store changes nothing: beliefs never
/// step back.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// The version of the store up to which everything is known.
    known_until: u64,
    /// By zone, the version of its request.
    requested: BTreeMap<String, u64>,
}

impl Evacuations {
    /// The zones that are to be evacuated.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.requested.keys().map(String::as_str)
    }

    /// How many zones are to be evacuated.
    pub fn count(&self) -> usize {
        self.requested.len()
    }

    /// Takes note of all requests as they were at a version of the store. Returns what that changes.
    pub fn read(&mut self, known_until: u64, all: Vec<EvacuationChange>) -> Vec<EvacuationChange> {
        if known_until < self.known_until {
            return Vec::new();
        }
        let is_gone = |zone: &&String| !all.iter().any(|change| change.zone == **zone);
        let gone = self.requested.keys().filter(is_gone).cloned().collect::<Vec<_>>();
        let withdrawn = |zone| EvacuationChange { zone, version: known_until, requested: false };
        let changes = gone.into_iter().map(withdrawn).chain(all).collect();
        self.follow(known_until, changes)
    }

    /// Takes note of changes, in order, up to a version of the store. Returns those that change
    /// something.
    pub fn follow(
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

    /// Whether a change changes something.
    fn apply(&mut self, change: &EvacuationChange) -> bool {
        let known = self.requested.get(&change.zone).copied();
        match (change.requested, known) {
            (true, Some(version)) if version >= change.version => false,
            (true, known) => {
                self.requested.insert(change.zone.clone(), change.version);
                known.is_none()
            }
            (false, Some(_)) => self.requested.remove(&change.zone).is_some(),
            (false, None) => false,
        }
    }
}
