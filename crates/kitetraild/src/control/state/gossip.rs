//! Gossip between boxes: heartbeats, endpoints and configuration revisions.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use kitetrail_core::{
    ShardId, Time,
    config::Revision,
    membership::Heartbeat,
    shard::{EndpointSet, Event},
};
use kitetrail_proto::peer;

use super::Control;
use crate::control::{ControlMessage, PeerMessage};

impl Control {
    pub(super) fn publish(&mut self, set: EndpointSet, now: Time) {
        let message = peer::EndpointSet::from(set.clone());
        self.router.borrow_mut().set_endpoints(set, now);
        for info in self.membership.peers() {
            let (peers, message, address) = (Rc::clone(&self.peers), message.clone(), info.peer);
            self.metrics.record_peer_message("publish");
            tokio::task::spawn_local(async move {
                if let Err(error) = peers.publish(address, message).await {
                    log::debug!(
                        "peer: endpoints can't be published to {address}: {}",
                        error.message()
                    );
                }
            });
        }
    }

    /// Exchanges heartbeats with a few peers and ranks the owners of shards.
    pub(super) fn begin_heartbeat_round(&mut self, now: Time) {
        let revision = self.configuration.number();
        let peers = self.membership.start_gossip_round(self.draining, revision, now);
        let view = self.view();
        for info in peers {
            let (peers, view, sender) = (Rc::clone(&self.peers), view.clone(), self.sender.clone());
            self.metrics.record_peer_message("exchange");
            tokio::task::spawn_local(async move {
                match peers.exchange(info.peer, view).await {
                    Ok(view) => {
                        let _ = sender.send(ControlMessage::PeerView(info.peer, view)).await;
                    }
                    Err(error) => {
                        log::debug!("peer: {} does not answer: {}", info.id, error.message())
                    }
                }
            });
        }
        let (boxes, position) = self.membership.local_rank(now);
        self.router.borrow_mut().set_boxes(boxes, position);
        self.rank_shards(now);
    }

    pub(super) fn rank_shards(&mut self, now: Time) {
        let ids: BTreeSet<ShardId> = self.shards.keys().cloned().collect();
        let owners = self.membership.rank_owners(&ids, now);
        for id in ids {
            let ranked = owners.get(&id);
            let rank = ranked
                .and_then(|boxes| boxes.iter().position(|owner| *owner == self.settings.box_id));
            self.handle_shard_event(&id, Event::RankChanged(rank));
        }
    }

    pub(super) fn view(&self) -> peer::View {
        let heartbeats = self.membership.heartbeats().into_iter().map(Into::into).collect();
        let sets = self.router.borrow().endpoint_sets();
        let sets = sets.into_iter().map(|set| peer::SetDigest {
            shard: set.shard.to_string(),
            epoch: set.epoch.0,
            sequence: set.sequence,
        });
        peer::View { heartbeats, sets: sets.collect() }
    }

    /// Merges a peer's view and fetches the peer's knowledge if it is newer.
    pub(super) fn handle_peer_view(&mut self, from: std::net::SocketAddr, view: peer::View) {
        if self.merge_view(&view) {
            let (peers, sender) = (Rc::clone(&self.peers), self.sender.clone());
            self.metrics.record_peer_message("fetch");
            tokio::task::spawn_local(async move {
                if let Ok(knowledge) = peers.fetch(from).await {
                    let _ = sender.send(ControlMessage::PeerKnowledge(knowledge)).await;
                }
            });
        }
    }

    /// Merges a peer's view. Returns whether the peer has newer knowledge.
    pub(super) fn merge_view(&mut self, view: &peer::View) -> bool {
        let now = self.clock.now();
        let heartbeats = view.heartbeats.iter().cloned().map(Heartbeat::try_from);
        let heartbeats: Vec<Heartbeat> = heartbeats.filter_map(Result::ok).collect();
        let newest = heartbeats.iter().map(|heartbeat| heartbeat.revision).max().unwrap_or(0);
        self.membership.merge(heartbeats, now);
        let known: BTreeMap<String, (u64, u64)> = self
            .router
            .borrow()
            .endpoint_sets()
            .into_iter()
            .map(|set| (set.shard.to_string(), (set.epoch.0, set.sequence)))
            .collect();
        let newer_set = view.sets.iter().any(|set| {
            known.get(&set.shard).copied().unwrap_or_default() < (set.epoch, set.sequence)
        });
        newer_set || newest > self.configuration.number() || !self.configuration_known
    }

    pub(super) fn merge_knowledge(&mut self, knowledge: peer::Knowledge) {
        let now = self.clock.now();
        for set in knowledge.endpoint_sets {
            match EndpointSet::try_from(set) {
                Ok(set) => self.router.borrow_mut().set_endpoints(set, now),
                Err(error) => log::warn!("peer: {error}"),
            }
        }
        match knowledge.revision.map(Revision::try_from) {
            Some(Ok(revision)) => self.apply_configuration(Some(revision)),
            Some(Err(error)) => log::warn!("peer: {error}"),
            None => {}
        }
    }

    pub(super) fn handle_peer(&mut self, message: PeerMessage) {
        let now = self.clock.now();
        match message {
            PeerMessage::Exchange(view, reply) => {
                self.merge_view(&view);
                let _ = reply.send(self.view());
            }
            PeerMessage::Publish(set) => match EndpointSet::try_from(set) {
                Ok(set) => self.router.borrow_mut().set_endpoints(set, now),
                Err(error) => log::warn!("peer: {error}"),
            },
            PeerMessage::Wake(shard) => {
                if let Ok(shard) = shard.parse::<ShardId>() {
                    self.handle_shard_event(&shard, Event::InboxChanged);
                }
            }
            PeerMessage::Announce(revision) => match Revision::try_from(revision) {
                Ok(revision) => self.apply_configuration(Some(revision)),
                Err(error) => log::warn!("peer: {error}"),
            },
            PeerMessage::Fetch(reply) => {
                let _ = reply.send(self.knowledge());
            }
        }
    }

    pub(super) fn knowledge(&self) -> peer::Knowledge {
        let sets = self.router.borrow().endpoint_sets();
        let revision = self.configuration.revision();
        peer::Knowledge {
            endpoint_sets: sets.into_iter().map(Into::into).collect(),
            revision: revision.and_then(|revision| peer::Revision::try_from(revision).ok()),
        }
    }
}
