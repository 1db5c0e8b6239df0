//! The zones that operators have evacuated, as this box knows them.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};

use kitetrail_core::{
    Time,
    evacuation::{EvacuationChange, Evacuations},
};
use kitetrail_platform::fleet::OperatorSource;
use tokio::time;

use super::{Platform, ownership::RETRY, shared::Shared};

/// Where what is known comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// All requests were read.
    List,
    /// The operators' table was watched.
    Watch,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Watch => "watch",
        }
    }
}

/// The zones that operators have evacuated, as this box knows them.
#[derive(Debug, Default)]
pub(super) struct EvacuatedZones {
    known: RefCell<Evacuations>,
    /// When the last call began that told what the requests are.
    asked_at: Cell<Option<Time>>,
    /// How often the zones changed.
    revision: Cell<u64>,
}

impl EvacuatedZones {
    /// A number that rises with each change of the zones.
    pub(super) fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// The zones in which nothing is to be started.
    pub(super) fn zones(&self) -> BTreeSet<String> {
        self.known.borrow().zones().map(str::to_owned).collect()
    }

    /// Takes note of what a call told that began at a moment. Returns how many zones are evacuated if
    /// that changed something.
    pub(super) fn note(
        &self,
        source: Source,
        version: u64,
        changes: Vec<EvacuationChange>,
        asked_at: Time,
    ) -> Option<usize> {
        self.asked_at.set(self.asked_at.get().max(Some(asked_at)));
        let mut known = self.known.borrow_mut();
        let changed = match source {
            Source::List => known.read(version, changes),
            Source::Watch => known.follow(version, changes),
        };
        for EvacuationChange { zone, version, requested } in &changed {
            log::info!(
                zone = zone.as_str(), version = *version, requested = *requested,
                source = source.name();
                "evacuation: another request is in force"
            );
        }
        let is_changed = !changed.is_empty();
        if is_changed {
            self.revision.set(self.revision.get() + 1);
        }
        is_changed.then(|| known.count())
    }

    /// Whether a call that told the requests began within a time.
    fn is_known_since(&self, now: Time, fresh_for: Duration) -> bool {
        self.asked_at.get().is_some_and(|at| now.since(at) <= fresh_for)
    }
}

/// Waits until this box knows which zones are evacuated, as a new owner must before it starts anything.
/// `false`: the box is stopping.
///
/// A box that was cut off or stood still may know what held long ago.
pub(super) async fn until_known<P: Platform>(shared: &Rc<Shared<P>>) -> bool {
    // The calls that watch the operators' table follow each other at once, so that the last one that was
    // answered began two waits ago at most, and a little more on a slow link.
    let limits = shared.settings.limits;
    let fresh_for = limits.config_wait.saturating_mul(2).saturating_add(limits.watch_slack);
    while !shared.evacuated.is_known_since(shared.clock.now(), fresh_for) {
        if shared.draining.get() {
            return false;
        }
        if read(shared).await.is_none() {
            time::sleep(RETRY).await;
        }
    }
    true
}

/// Reads the requests alone: a configuration may be large, and a new owner's link slow.
async fn read<P: Platform>(shared: &Rc<Shared<P>>) -> Option<()> {
    let asked_at = shared.clock.now();
    let read = shared.services.store.evacuations().await;
    shared.note_store(&read);
    let (requests, version) = read.ok()?;
    shared.note_evacuations(Source::List, version, requests, asked_at);
    Some(())
}
