//! Follows the operators' configuration in the store.

use std::{rc::Rc, time::Duration};

use kitetrail_platform::fleet::ConfigSource;
use tokio::time;

use super::{Platform, shared::Shared};

/// How long a call waits for changes. Short enough that a connection that died in silence is
/// noticed within the time in which a configuration must be in force, together with the boxes'
/// pings of each other.
const WAIT: Duration = Duration::from_millis(1_500);
/// How long to wait after a call that failed.
const RETRY: Duration = Duration::from_millis(200);

/// Follows the configuration until the process ends.
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

async fn read<P: Platform>(shared: &Rc<Shared<P>>) -> Option<u64> {
    let config = shared.services.store.config().await;
    shared.note_store(&config);
    let (config, version) = config.ok()?;
    if let Some(config) = config {
        shared.offer_config(config, "store");
    }
    Some(version)
}

async fn follow<P: Platform>(shared: &Rc<Shared<P>>, version: u64) -> Option<u64> {
    let changes = shared.services.store.config_changes(version, WAIT).await;
    shared.note_store(&changes);
    let (config, version) = changes.ok()?;
    if let Some(config) = config {
        shared.offer_config(config, "store");
    }
    version
}
