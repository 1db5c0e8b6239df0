//! Detects that the previous owner has stopped, so that the scheduler need not wait for leases that it might have renewed.

use std::{cell::Cell, rc::Rc};

use kitetrail_core::{jobs::Event, succession::EarlierOwners};
use tokio::{sync::mpsc, time};

use super::{
    Platform,
    owner::OwnerMessage,
    ownership::{self, PING_INTERVAL},
    shared::Shared,
    takeover::Claim,
};

/// Pings the previous owner's box until that owner has certainly stopped, or has been without the store for too long.
///
/// A killed process is restarted within seconds and then answers with another incarnation.
pub(super) async fn watch<P: Platform>(
    shared: Rc<Shared<P>>,
    claim: Claim,
    earlier_owners: Rc<Cell<EarlierOwners>>,
    owner: mpsc::Sender<OwnerMessage>,
) {
    let Some(predecessor) = claim.predecessor else { return };
    while earlier_owners.get().last_may_renew(shared.clock.now()) {
        if ownership::has_stopped(&shared, &predecessor.row).await {
            let mut known = earlier_owners.get();
            let stopped_at = known.record_last_stopped(shared.clock.now());
            earlier_owners.set(known);
            log::info!(epoch = predecessor.row.epoch; "owner: the previous owner has stopped");
            let _ = owner
                .send(OwnerMessage::Event(Event::EarlierOwnersStopped { at: stopped_at }))
                .await;
            return;
        }
        time::sleep(PING_INTERVAL).await;
    }
}
