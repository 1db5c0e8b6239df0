//! Follows the operators' configuration in the store.

use std::{rc::Rc, time::Duration};

use kitetrail_platform::fleet::ConfigSource;
use tokio::time;

use super::{Platform, shared::Shared};

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
    let wait = shared.settings.limits.config_wait;
    let changes = shared.services.store.config_changes(version, wait).await;
    shared.note_store(&changes);
    let (config, version) = changes.ok()?;
    if let Some(config) = config {
        shared.offer_config(config, "store");
    }
    version
}
