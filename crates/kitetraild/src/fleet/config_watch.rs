//! Watches the operators' rows in the store: the configuration and the zones to evacuate.

use std::{rc::Rc, time::Duration};

use kitetrail_core::Time;
use kitetrail_platform::fleet::{OperatorRows, OperatorSource};
use tokio::time;

use super::{Platform, evacuation::EvacuationSource, shared::Shared};

/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Watches these rows until the process ends.
pub(super) async fn run<P: Platform>(shared: Rc<Shared<P>>) {
    let mut version = None;
    loop {
        version = match version {
            None => read_rows(&shared).await,
            Some(version) => watch_rows(&shared, version).await,
        };
        if version.is_none() {
            time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Reads all operators' rows. Returns the version to watch from, `None` if the call failed.
async fn read_rows<P: Platform>(shared: &Rc<Shared<P>>) -> Option<u64> {
    let requested_at = shared.clock.now();
    let rows = shared.services.store.operator_rows().await;
    shared.record_store_result(&rows);
    Some(apply(shared, EvacuationSource::List, rows.ok()?, requested_at))
}

/// Waits for changes after a version. Returns the version to watch from, `None` to read all rows again.
async fn watch_rows<P: Platform>(shared: &Rc<Shared<P>>, version: u64) -> Option<u64> {
    let wait = shared.settings.limits.config_watch_wait;
    let requested_at = shared.clock.now();
    let changes = shared.services.store.operator_changes(version, wait).await;
    shared.record_store_result(&changes);
    Some(apply(shared, EvacuationSource::Watch, changes.ok()??, requested_at))
}

/// Applies the operators' rows. Returns the version to watch from.
fn apply<P: Platform>(
    shared: &Shared<P>,
    source: EvacuationSource,
    rows: OperatorRows,
    requested_at: Time,
) -> u64 {
    let OperatorRows { config, evacuations, version } = rows;
    if let Some(config) = config {
        shared.apply_if_newer(config, "store");
    }
    shared.record_evacuations(source, version, evacuations, requested_at);
    version
}
