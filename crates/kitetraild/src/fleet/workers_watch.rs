//! Tells the owner how the list of workers changes.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use kitetrail_core::jobs::{Discovery, Event, LifeId, WorkerEntry};
use kitetrail_platform::fleet::{WorkerChanges, WorkerList};
use tokio::{sync::mpsc, time};

use super::{Platform, owner::OwnerMessage, shared::Shared};

/// How long a call waits for changes. The store takes up to 30 s; shorter, so that a connection
/// that died in silence is noticed.
const WAIT: Duration = Duration::from_millis(8_000);
/// How long to wait after a call that failed.
const RETRY: Duration = Duration::from_millis(250);

/// What changed and where to go on, `None` there to list anew; `None` at all if the call failed.
type Changes = Option<(Vec<Discovery>, Option<u64>)>;

/// Follows the list until the owner is gone.
pub(super) async fn run<P: Platform>(shared: Rc<Shared<P>>, owner: mpsc::Sender<OwnerMessage>) {
    let mut known = BTreeSet::new();
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
            }
            None => time::sleep(RETRY).await,
        }
    }
}

async fn list<P: Platform>(shared: &Rc<Shared<P>>, known: &mut BTreeSet<LifeId>) -> Changes {
    let listed = shared.services.store.workers().await;
    shared.note_store(&listed);
    let (entries, version) = listed.ok()?;
    let ids = entries.iter().map(|entry| entry.id.clone()).collect::<BTreeSet<_>>();
    let gone = known.difference(&ids).cloned().map(Discovery::Gone);
    let mut changes = gone.collect::<Vec<_>>();
    changes.extend(entries.into_iter().map(listed_as));
    *known = ids;
    Some((changes, Some(version)))
}

async fn follow<P: Platform>(
    shared: &Rc<Shared<P>>,
    version: u64,
    known: &mut BTreeSet<LifeId>,
) -> Changes {
    let changes = shared.services.store.worker_changes(version, WAIT).await;
    shared.note_store(&changes);
    match changes.ok()? {
        WorkerChanges::HistoryGone => {
            log::info!(version = version; "store: forgot its history, the workers are listed anew");
            Some((Vec::new(), None))
        }
        WorkerChanges::Changed { listed, gone, version } => {
            known.extend(listed.iter().map(|entry| entry.id.clone()));
            for id in &gone {
                known.remove(id);
            }
            let gone = gone.into_iter().map(Discovery::Gone);
            Some((gone.chain(listed.into_iter().map(listed_as)).collect(), Some(version)))
        }
    }
}

fn listed_as(entry: WorkerEntry) -> Discovery {
    Discovery::Listed(Box::new(entry))
}
