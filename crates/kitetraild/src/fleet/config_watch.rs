//! Follows what operators ask for in the store: their configuration, and zones to evacuate.

use std::{rc::Rc, time::Duration};

use kitetrail_core::Time;
use kitetrail_platform::fleet::{OperatorRows, OperatorSource};
use tokio::time;

use super::{Platform, evacuation::Source, shared::Shared};

/// How long to wait after a call that failed.
const RETRY: Duration = Duration::from_millis(200);

/// Follows them until the process ends.
pub(super) async fn run<P: Platform>(shared: Rc<Shared<P>>) {
    let mut version = None;
    loop {
        version = match version {
            None => read(&shared).await,
            Some(version) => follow(&shared, version).await,
        };
        if version.is_none() {
            time::sleep(RETRY).await;
        }
    }
}

/// Reads all that operators ask for. Returns where to go on.
async fn read<P: Platform>(shared: &Rc<Shared<P>>) -> Option<u64> {
    let asked_at = shared.clock.now();
    let rows = shared.services.store.operator_rows().await;
    shared.note_store(&rows);
    Some(take(shared, Source::List, rows.ok()?, asked_at))
}

async fn follow<P: Platform>(shared: &Rc<Shared<P>>, version: u64) -> Option<u64> {
    let wait = shared.settings.limits.config_wait;
    let asked_at = shared.clock.now();
    let changes = shared.services.store.operator_changes(version, wait).await;
    shared.note_store(&changes);
    Some(take(shared, Source::Watch, changes.ok()??, asked_at))
}

/// Puts in force what operators ask for. Returns where to go on.
fn take<P: Platform>(
    shared: &Shared<P>,
    source: Source,
    rows: OperatorRows,
    asked_at: Time,
) -> u64 {
    let OperatorRows { config, evacuations, version } = rows;
    if let Some(config) = config {
        shared.offer_config(config, "store");
    }
    shared.note_evacuations(source, version, evacuations, asked_at);
    version
}
