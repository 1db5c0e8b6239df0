//! Learns that the owner before has stopped after all, so that nobody waits for leases that it might have renewed.

use std::{cell::Cell, rc::Rc};

use kitetrail_core::{jobs::Event, succession::EarlierOwners};
use tokio::{sync::mpsc, time};

use super::{
    Platform,
    owner::OwnerMessage,
    ownership::{self, PING_EVERY},
    shared::Shared,
    takeover::Claim,
};

/// Asks the box of the owner before until it is certain that it stopped, or has been without the store for too long.
///
/// A process that was killed is back within seconds, and answers as another one.
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
            let at = known.note_last_stopped(shared.clock.now());
            earlier_owners.set(known);
            log::info!(epoch = predecessor.row.epoch; "owner: the one before has stopped");
            let _ = owner.send(OwnerMessage::Event(Event::EarlierOwnersStopped { at })).await;
            return;
        }
        time::sleep(PING_EVERY).await;
    }
}
