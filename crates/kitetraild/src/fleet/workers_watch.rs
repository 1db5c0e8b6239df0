//! Tells the owner how the list of workers changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use kitetrail_core::{
    Time,
    jobs::{Discovery, Event, LifeId, WorkerEntry},
};
use kitetrail_platform::fleet::{
    EntryFault, ListedWorkers, UnusableEntry, WorkerChanges, WorkerList,
};
use tokio::{sync::mpsc, time};

use super::{Platform, owner::OwnerMessage, shared::Shared};
use crate::metrics::Metrics;

/// How long to wait between calls that brought changes. Workers change their entries about once a
/// second each, so with hundreds of them each call would bring one or two, at the price of a call.
/// A worker that drains may be given work for 2 s after its entry says so.
const GATHER: Duration = Duration::from_millis(150);
/// How long to wait after a call that failed.
const RETRY: Duration = Duration::from_millis(250);

/// What changed and where to go on, `None` there to list anew; `None` at all if the call failed.
type Changes = Option<(Vec<Discovery>, Option<u64>)>;

/// An entry that the owner was told.
struct Known {
    entry: WorkerEntry,
    /// When it changed last: workers change theirs with each heartbeat.
    renewed_at: Time,
}

/// The entries that the owner was told.
#[derive(Default)]
struct Entries {
    workers: BTreeMap<LifeId, Known>,
    /// Those that name no worker to use, and why.
    unusable: BTreeMap<LifeId, EntryFault>,
}

impl Entries {
    /// Takes note of an entry that names no worker to use. `None`: it was told already.
    fn note_unusable(&mut self, entry: UnusableEntry, metrics: &Metrics) -> Option<Discovery> {
        let UnusableEntry { id, fault } = entry;
        if self.unusable.get(&id) == Some(&fault) {
            return None;
        }
        log::warn!(
            worker = id.as_str(), reason = fault.reason();
            "worker: its entry can't be its own, it gets nothing new: {fault}"
        );
        metrics.note_unusable_entry(fault.reason());
        // An entry like the last one is told again.
        self.workers.remove(&id);
        let is_new = self.unusable.insert(id.clone(), fault).is_none();
        is_new.then_some(Discovery::Unusable(id))
    }
}

/// Follows the list until the owner is gone.
pub(super) async fn run<P: Platform>(shared: Rc<Shared<P>>, owner: mpsc::Sender<OwnerMessage>) {
    let mut known = Entries::default();
    let mut version = None;
    while !owner.is_closed() {
        let changes = match version {
            None => list(&shared, &mut known).await,
            Some(version) => follow(&shared, version, &mut known).await,
        };
        match changes {
            Some((changes, next)) => {
                version = next;
                let any = !changes.is_empty();
                let discovered = OwnerMessage::Event(Event::Discovered(changes));
                if any && owner.send(discovered).await.is_err() {
                    return;
                }
                time::sleep(GATHER).await;
            }
            None => time::sleep(RETRY).await,
        }
    }
}

async fn list<P: Platform>(shared: &Rc<Shared<P>>, known: &mut Entries) -> Changes {
    let listed = shared.services.store.workers().await;
    shared.note_store(&listed);
    let ListedWorkers { entries, unusable, version } = listed.ok()?;
    let ids = entries.iter().map(|entry| &entry.id).chain(unusable.iter().map(|entry| &entry.id));
    let ids = ids.collect::<BTreeSet<_>>();
    let told_before = known.workers.keys().chain(known.unusable.keys());
    let gone = told_before.filter(|id| !ids.contains(id)).cloned().collect::<Vec<_>>();
    let now = shared.clock.now();
    let mut told = changes(known, Vec::new(), gone, now);
    // The whole list is told, also what was told before: whatever the owner believes, it is put right.
    known.workers.clear();
    told.extend(changes(known, entries, Vec::new(), now));
    told.extend(unusable.iter().map(|entry| Discovery::Unusable(entry.id.clone())));
    for entry in unusable {
        known.note_unusable(entry, &shared.metrics);
    }
    told.push(Discovery::Whole);
    Some((told, Some(version)))
}

async fn follow<P: Platform>(shared: &Rc<Shared<P>>, version: u64, known: &mut Entries) -> Changes {
    let wait = shared.settings.limits.workers_wait;
    let followed = shared.services.store.worker_changes(version, wait).await;
    shared.note_store(&followed);
    match followed.ok()? {
        WorkerChanges::HistoryGone => {
            log::info!(version = version; "store: forgot its history, the workers are listed anew");
            Some((Vec::new(), None))
        }
        WorkerChanges::Changed { listed, unusable, gone, version } => {
            let mut told = changes(known, listed, gone, shared.clock.now());
            let unusable = unusable.into_iter();
            told.extend(unusable.filter_map(|entry| known.note_unusable(entry, &shared.metrics)));
            Some((told, Some(version)))
        }
    }
}

/// What of the entries listed and gone the owner does not know yet. Most changes of entries are signs
/// of life alone.
fn changes(
    known: &mut Entries,
    listed: Vec<WorkerEntry>,
    gone: Vec<LifeId>,
    now: Time,
) -> Vec<Discovery> {
    let mut changes = Vec::new();
    for id in gone {
        known.unusable.remove(&id);
        let silent_for = known.workers.remove(&id).map(|known| now.since(known.renewed_at));
        changes.push(Discovery::Gone { id, silent_for });
    }
    for entry in listed {
        if known.unusable.remove(&entry.id).is_some() {
            log::info!(worker = entry.id.as_str(); "worker: its entry is its own again");
        }
        let renewed = Known { entry: entry.clone(), renewed_at: now };
        let told = known.workers.insert(entry.id.clone(), renewed);
        if told.is_none_or(|told| told.entry != entry) {
            changes.push(Discovery::Listed(Box::new(entry)));
        }
    }
    changes
}
