//! Tells a store that no box reaches from one that the owner alone does not reach.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use kitetrail_core::Time;
use tokio::{sync::mpsc, task, time};

use super::{Platform, owner::OwnerMessage, rows, shared::Shared};

/// A write that waits for so long puts the store in doubt. The store takes 5 ms; where answers are
/// lost, several tries of one write fit in.
const DOUBT_AFTER_MS: u64 = 200;
/// How soon another box must have heard from the store to be left the fleet. Well below
/// [`OWN_ANSWER_WITHIN`]: when the store is slow for all, the owner stays.
const REACHED_WITHIN: Duration = Duration::from_millis(80);
/// How soon the store must answer this box. It takes up to half a second when it is slow.
const OWN_ANSWER_WITHIN: Duration = Duration::from_millis(600);
/// How long to wait before the boxes are asked again, if none reached the store.
const ASK_AGAIN: Duration = Duration::from_millis(400);
/// How many boxes are asked.
const BOXES_ASKED: usize = 4;

/// Whether the owner reaches the store, and whether others were asked.
#[derive(Debug, Default)]
pub(super) struct StoreDoubt {
    asking: bool,
    asked_at: Option<Time>,
}

impl StoreDoubt {
    /// Asks other boxes whether they reach the store, if this one seems not to.
    pub(super) fn ask_if_due<P: Platform>(
        &mut self,
        shared: &Rc<Shared<P>>,
        owner: &mpsc::Sender<OwnerMessage>,
    ) {
        let now = shared.clock.now();
        let lately = self.asked_at.is_some_and(|at| now.since(at) < ASK_AGAIN);
        if self.asking || lately || !Self::is_due(shared) {
            return;
        }
        self.asking = true;
        let (shared, owner) = (Rc::clone(shared), owner.clone());
        task::spawn_local(async move {
            let _ = owner.send(OwnerMessage::StoreAsked(ask(&shared).await)).await;
        });
    }

    /// Whether a write waits for so long that the store is in doubt.
    pub(super) fn is_due<P: Platform>(shared: &Shared<P>) -> bool {
        shared.write_waits_ms() >= DOUBT_AFTER_MS
    }

    /// Takes note that no other box reaches the store, or this one does.
    pub(super) fn note_asked(&mut self, now: Time) {
        self.asking = false;
        self.asked_at = Some(now);
    }
}

/// A box that reaches the store, if this one does not.
async fn ask<P: Platform>(shared: &Rc<Shared<P>>) -> Option<SocketAddr> {
    let candidates = shared.candidates.borrow().successors(shared.clock.now());
    let mut asked = task::JoinSet::new();
    for peer in candidates.into_iter().take(BOXES_ASKED) {
        let shared = Rc::clone(shared);
        asked.spawn_local(async move {
            shared.peers.reaches_store(peer, REACHED_WITHIN).await.then_some(peer)
        });
    }
    let reached = asked.join_all().await.into_iter().flatten().next()?;
    let own = time::timeout(OWN_ANSWER_WITHIN, rows::read_owner(shared)).await;
    (!matches!(own, Ok(Ok(_)))).then_some(reached)
}
