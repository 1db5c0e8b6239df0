//! Distinguishes a store that no box reaches from one that only the owner can't reach.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use kitetrail_core::Time;
use tokio::{sync::mpsc, task, time};

use super::{Platform, owner::OwnerMessage, rows, shared::Shared};

/// The store is suspect once a write has been pending for this long, in milliseconds. The store takes
/// 5 ms; if answers are lost, several attempts of one write fit into this time.
const SUSPECT_AFTER_MS: u64 = 200;
/// The time within which another box must reach the store to be given the fleet. It is well below
/// [`OWN_READ_TIMEOUT`], so that the owner stays when the store is slow for all boxes.
const PEER_PROBE_TIMEOUT: Duration = Duration::from_millis(80);
/// The time within which the store must answer this box. A slow store takes up to half a second.
const OWN_READ_TIMEOUT: Duration = Duration::from_millis(600);
/// The delay before the boxes are asked again, if none reached the store or this one did.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// The largest number of boxes that are asked.
const MAX_BOXES_PROBED: usize = 4;

/// The state of the check whether the owner, or other boxes, reach the store.
#[derive(Debug, Default)]
pub(super) struct StoreProbe {
    is_probing: bool,
    probed_at: Option<Time>,
}

impl StoreProbe {
    /// Asks other boxes whether they reach the store, if this one seems unable to.
    pub(super) fn probe_if_due<P: Platform>(
        &mut self,
        shared: &Rc<Shared<P>>,
        owner: &mpsc::Sender<OwnerMessage>,
    ) {
        let now = shared.clock.now();
        let probed_recently =
            self.probed_at.is_some_and(|probed_at| now.since(probed_at) < PROBE_INTERVAL);
        if self.is_probing || probed_recently || !Self::is_store_suspect(shared) {
            return;
        }
        self.is_probing = true;
        let (shared, owner) = (Rc::clone(shared), owner.clone());
        task::spawn_local(async move {
            let _ =
                owner.send(OwnerMessage::StoreProbed(find_box_reaching_store(&shared).await)).await;
        });
    }

    /// Returns whether a write has been pending for so long that the store is suspect.
    pub(super) fn is_store_suspect<P: Platform>(shared: &Shared<P>) -> bool {
        shared.write_pending_ms() >= SUSPECT_AFTER_MS
    }

    /// Records that a check ended without a box to hand the fleet to.
    pub(super) fn record_probe_end(&mut self, now: Time) {
        self.is_probing = false;
        self.probed_at = Some(now);
    }
}

/// Finds a box that reaches the store. Returns `None` if there is none or this box reaches it too.
async fn find_box_reaching_store<P: Platform>(shared: &Rc<Shared<P>>) -> Option<SocketAddr> {
    let candidates = shared.candidates.borrow().successors(shared.clock.now());
    let mut probes = task::JoinSet::new();
    for peer in candidates.into_iter().take(MAX_BOXES_PROBED) {
        let shared = Rc::clone(shared);
        probes.spawn_local(async move {
            shared.peers.reaches_store(peer, PEER_PROBE_TIMEOUT).await.then_some(peer)
        });
    }
    let reaching_box = probes.join_all().await.into_iter().flatten().next()?;
    let own_read = time::timeout(OWN_READ_TIMEOUT, rows::read_owner(shared)).await;
    (!matches!(own_read, Ok(Ok(_)))).then_some(reaching_box)
}
