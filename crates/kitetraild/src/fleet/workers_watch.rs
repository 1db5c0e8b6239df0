//! Watches the list of workers and sends its changes to the owner.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use kitetrail_core::{
    Time,
    jobs::{Event, WorkerEntry, WorkerListChange, WorkerName},
};
use kitetrail_platform::fleet::{
    EntryFault, ListedWorkers, UnusableEntry, WorkerChanges, WorkerList,
};
use tokio::{sync::mpsc, time};

use super::{Platform, owner::OwnerMessage, shared::Shared};
use crate::metrics::Metrics;

/// The delay between calls that returned changes, to batch the changes. Each worker changes its entry
/// about once a second, so with hundreds of workers each call would otherwise return one or two changes.
/// The delay is well within the 2 s in which a draining worker may still be given work.
const BATCH_DELAY: Duration = Duration::from_millis(150);
/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The changes and the version to watch from, `None` if the workers must be listed again. The outer
/// `None` stands for a failed call.
type Changes = Option<(Vec<WorkerListChange>, Option<u64>)>;

/// An entry that was sent to the owner.
struct KnownEntry {
    entry: WorkerEntry,
    /// When the entry last changed. Workers change their entries with each heartbeat.
    renewed_at: Time,
}

/// The entries that were sent to the owner.
#[derive(Default)]
struct KnownEntries {
    workers: BTreeMap<WorkerName, KnownEntry>,
    /// The entries that can't be used, with the reason.
    unusable: BTreeMap<WorkerName, EntryFault>,
}

impl KnownEntries {
    /// Records an unusable entry. Returns `None` if the owner already knows it.
    fn record_unusable(
        &mut self,
        entry: UnusableEntry,
        metrics: &Metrics,
    ) -> Option<WorkerListChange> {
        let UnusableEntry { id, fault } = entry;
        if self.unusable.get(&id) == Some(&fault) {
            return None;
        }
        log::warn!(
            worker = id.as_str(), reason = fault.reason();
            "worker: its entry is unusable, so it is given no new work: {fault}"
        );
        metrics.record_unusable_entry(fault.reason());
        // If the previous entry returns, it must be sent again.
        self.workers.remove(&id);
        let is_new = self.unusable.insert(id.clone(), fault).is_none();
        is_new.then_some(WorkerListChange::Unusable(id))
    }
}

/// Watches the list until the owner stops.
pub(super) async fn run<P: Platform>(shared: Rc<Shared<P>>, owner: mpsc::Sender<OwnerMessage>) {
    let mut known = KnownEntries::default();
    let mut version = None;
    while !owner.is_closed() {
        let changes = match version {
            None => list_workers(&shared, &mut known).await,
            Some(version) => watch_workers(&shared, version, &mut known).await,
        };
        match changes {
            Some((changes, next)) => {
                version = next;
                let has_changes = !changes.is_empty();
                let event = OwnerMessage::Event(Event::WorkerListChanged(changes));
                if has_changes && owner.send(event).await.is_err() {
                    return;
                }
                time::sleep(BATCH_DELAY).await;
            }
            None => time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Lists all workers.
async fn list_workers<P: Platform>(shared: &Rc<Shared<P>>, known: &mut KnownEntries) -> Changes {
    let listed = shared.services.store.workers().await;
    shared.record_store_result(&listed);
    let ListedWorkers { entries, unusable, version } = listed.ok()?;
    let ids = entries.iter().map(|entry| &entry.id).chain(unusable.iter().map(|entry| &entry.id));
    let ids = ids.collect::<BTreeSet<_>>();
    let known_ids = known.workers.keys().chain(known.unusable.keys());
    let gone = known_ids.filter(|id| !ids.contains(id)).cloned().collect::<Vec<_>>();
    let now = shared.clock.now();
    let mut discoveries = changes(known, Vec::new(), gone, now);
    // The complete list is sent, including known entries, which corrects any difference in the owner.
    known.workers.clear();
    discoveries.extend(changes(known, entries, Vec::new(), now));
    discoveries.extend(unusable.iter().map(|entry| WorkerListChange::Unusable(entry.id.clone())));
    for entry in unusable {
        known.record_unusable(entry, &shared.metrics);
    }
    discoveries.push(WorkerListChange::Complete);
    Some((discoveries, Some(version)))
}

/// Waits for changes after a version.
async fn watch_workers<P: Platform>(
    shared: &Rc<Shared<P>>,
    version: u64,
    known: &mut KnownEntries,
) -> Changes {
    let wait = shared.settings.limits.workers_watch_wait;
    let followed = shared.services.store.worker_changes(version, wait).await;
    shared.record_store_result(&followed);
    match followed.ok()? {
        WorkerChanges::HistoryGone => {
            log::info!(
                version = version;
                "store: the history after this version is gone, the workers are listed again"
            );
            Some((Vec::new(), None))
        }
        WorkerChanges::Changed { listed, unusable, gone, version } => {
            let mut discoveries = changes(known, listed, gone, shared.clock.now());
            let unusable = unusable.into_iter();
            discoveries
                .extend(unusable.filter_map(|entry| known.record_unusable(entry, &shared.metrics)));
            Some((discoveries, Some(version)))
        }
    }
}

/// Returns the changes that the owner does not know yet. Most changes of entries are only heartbeats.
fn changes(
    known: &mut KnownEntries,
    listed: Vec<WorkerEntry>,
    gone: Vec<WorkerName>,
    now: Time,
) -> Vec<WorkerListChange> {
    let mut changes = Vec::new();
    for id in gone {
        known.unusable.remove(&id);
        let silent_for = known.workers.remove(&id).map(|known| now.since(known.renewed_at));
        changes.push(WorkerListChange::Removed { id, silent_for });
    }
    for entry in listed {
        if known.unusable.remove(&entry.id).is_some() {
            log::info!(worker = entry.id.as_str(); "worker: its entry is usable again");
        }
        let renewed = KnownEntry { entry: entry.clone(), renewed_at: now };
        let previous = known.workers.insert(entry.id.clone(), renewed);
        if previous.is_none_or(|previous| previous.entry != entry) {
            changes.push(WorkerListChange::Listed(Box::new(entry)));
        }
    }
    changes
}
