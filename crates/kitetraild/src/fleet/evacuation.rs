//! The zones evacuated by operators, as far as this box knows.

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

use super::{Platform, ownership::STORE_RETRY_DELAY, shared::Shared};

/// The origin of evacuation requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EvacuationSource {
    /// A read of all requests.
    List,
    /// A watch on the operators' table.
    Watch,
}

impl EvacuationSource {
    fn name(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Watch => "watch",
        }
    }
}

/// The zones evacuated by operators, as far as this box knows.
#[derive(Debug, Default)]
pub(super) struct EvacuatedZones {
    known: RefCell<Evacuations>,
    /// The start time of the latest call that returned the requests.
    asked_at: Cell<Option<Time>>,
    /// The number of times the zones changed.
    revision: Cell<u64>,
}

impl EvacuatedZones {
    /// Returns a number that increases with each change of the zones.
    pub(super) fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Returns the zones in which nothing may be started.
    pub(super) fn zones(&self) -> BTreeSet<String> {
        self.known.borrow().zones().map(str::to_owned).collect()
    }

    /// Records the requests returned by a call that began at `asked_at`. Returns the number of evacuated
    /// zones if something changed.
    pub(super) fn record(
        &self,
        source: EvacuationSource,
        version: u64,
        changes: Vec<EvacuationChange>,
        asked_at: Time,
    ) -> Option<usize> {
        self.asked_at.set(self.asked_at.get().max(Some(asked_at)));
        let mut known = self.known.borrow_mut();
        let changed = match source {
            EvacuationSource::List => known.replace_all(version, changes),
            EvacuationSource::Watch => known.apply_changes(version, changes),
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

    /// Returns whether the latest call that returned the requests began at most `fresh_for` ago.
    fn is_known_within(&self, now: Time, fresh_for: Duration) -> bool {
        self.asked_at.get().is_some_and(|asked_at| now.since(asked_at) <= fresh_for)
    }
}

/// Waits until this box knows which zones are evacuated, as a new owner must before it starts anything.
/// Returns `false` if the box is stopping.
///
/// The known zones may be outdated on a box that was partitioned or suspended.
pub(super) async fn wait_until_known<P: Platform>(shared: &Rc<Shared<P>>) -> bool {
    // The calls that watch the operators' table follow each other immediately, so the last answered call
    // began at most two waits ago, plus the margin for a slow link.
    let limits = shared.settings.limits;
    let fresh_for = limits.config_watch_wait.saturating_mul(2).saturating_add(limits.watch_margin);
    while !shared.evacuated.is_known_within(shared.clock.now(), fresh_for) {
        if shared.draining.get() {
            return false;
        }
        if read_requests(shared).await.is_none() {
            time::sleep(STORE_RETRY_DELAY).await;
        }
    }
    true
}

/// Reads only the evacuation requests: a configuration may be large, and a new owner's link slow.
async fn read_requests<P: Platform>(shared: &Rc<Shared<P>>) -> Option<()> {
    let asked_at = shared.clock.now();
    let read = shared.services.store.evacuations().await;
    shared.record_store_result(&read);
    let (requests, version) = read.ok()?;
    shared.record_evacuations(EvacuationSource::List, version, requests, asked_at);
    Some(())
}
