//! Determines which boxes are up and assigns shards to them.
//!
//! It uses three sources that all lag: heartbeats exchanged by gossip, the box list, and
//! a box's own announcement that it is leaving. A box is up if its heartbeat advanced
//! within [`Membership::HEARTBEAT_TIMEOUT`] and the box list does not show it as dead. A box
//! that is leaving stays up but owns no shards.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::{
    BoxId, ShardId, Time,
    fleet::{BoxInfo, Liveness},
};

/// The number of peers contacted in each gossip round.
const GOSSIP_FANOUT: usize = 3;

/// The time for which a box that is not in the box list is retained after its heartbeat last
/// advanced.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);

/// The information about a box that is exchanged by gossip.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The box.
    pub id: BoxId,
    /// The incarnation of the box. A later run has a higher number.
    pub incarnation: u64,
    /// A counter that the box increments in each gossip round.
    pub beat: u64,
    /// Whether the box is about to stop.
    pub leaving: bool,
    /// The configuration revision in force on the box.
    pub revision: u64,
}

/// A box in the local view of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The latest heartbeat of the box.
    pub heartbeat: Heartbeat,
    /// The local time when the heartbeat last advanced.
    pub heartbeat_advanced_at: Time,
}

/// The local view of the membership.
#[derive(Debug)]
pub struct Membership {
    local_id: BoxId,
    listed: BTreeMap<BoxId, BoxInfo>,
    members: BTreeMap<BoxId, Member>,
    rng: ChaCha8Rng,
}

impl Membership {
    /// The time after which a box whose heartbeat has not advanced is no longer up.
    pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);

    /// Creates a view that contains only this box.
    pub fn new(local_id: BoxId, incarnation: u64, seed: u64, now: Time) -> Self {
        let heartbeat =
            Heartbeat { id: local_id.clone(), incarnation, beat: 0, leaving: false, revision: 0 };
        let members =
            BTreeMap::from([(local_id.clone(), Member { heartbeat, heartbeat_advanced_at: now })]);
        Self { local_id, listed: BTreeMap::new(), members, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Returns all known boxes, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns all known heartbeats, to be sent to peers.
    pub fn heartbeats(&self) -> Vec<Heartbeat> {
        self.members.values().map(|member| member.heartbeat.clone()).collect()
    }

    /// Returns whether a box is up.
    pub fn is_up(&self, id: &BoxId, now: Time) -> bool {
        let listed_dead = self.listed.get(id).is_some_and(|info| info.state == Liveness::Dead);
        let is_fresh = |member: &Member| {
            *id == self.local_id
                || now.since(member.heartbeat_advanced_at) < Self::HEARTBEAT_TIMEOUT
        };
        !listed_dead && self.members.get(id).is_some_and(is_fresh)
    }

    /// Returns whether a box is up and not leaving.
    pub fn is_staying(&self, id: &BoxId, now: Time) -> bool {
        let leaving = self.members.get(id).is_some_and(|member| member.heartbeat.leaving)
            || self.listed.get(id).is_some_and(|info| info.state == Liveness::Leaving);
        self.is_up(id, now) && !leaving
    }

    /// Returns the number of boxes that are up, and the index of this box among them, ordered by name.
    pub fn local_rank(&self, now: Time) -> (u32, u32) {
        let up: Vec<&BoxId> = self.members.keys().filter(|id| self.is_up(id, now)).collect();
        let index = up.iter().position(|id| **id == self.local_id).unwrap_or(0);
        (up.len() as u32, index as u32)
    }

    /// Returns all other boxes in the box list that are not dead.
    pub fn peers(&self) -> impl Iterator<Item = &BoxInfo> {
        self.listed.values().filter(|info| info.id != self.local_id && info.state != Liveness::Dead)
    }

    /// Returns the candidate owners of each shard, the preferred one first.
    ///
    /// Boxes with the same view compute the same result. Candidates are ranked by rendezvous
    /// hashing, with boxes in the shard's availability zone first. The highest-ranked box
    /// that does not have its even share of shards yet becomes the preferred owner.
    pub fn rank_owners(
        &self,
        shards: &BTreeSet<ShardId>,
        now: Time,
    ) -> BTreeMap<ShardId, Vec<BoxId>> {
        let staying: Vec<&BoxId> =
            self.members.keys().filter(|id| self.is_staying(id, now)).collect();
        let max_load = shards.len().div_ceil(staying.len().max(1));
        let mut load: BTreeMap<&BoxId, usize> = BTreeMap::new();
        let mut owners = BTreeMap::new();
        for shard in shards {
            let mut ranked = staying.clone();
            ranked.sort_by_key(|id| (!self.is_in_zone_of(id, shard), rendezvous_hash(id, shard)));
            let first = ranked.iter().position(|id| load.get(id).copied().unwrap_or(0) < max_load);
            if let Some(first) = first {
                let owner = ranked.remove(first);
                *load.entry(owner).or_default() += 1;
                ranked.insert(0, owner);
            }
            owners.insert(shard.clone(), ranked.into_iter().cloned().collect());
        }
        owners
    }

    fn is_in_zone_of(&self, id: &BoxId, shard: &ShardId) -> bool {
        self.listed.get(id).is_some_and(|info| info.zone == shard.zone)
    }

    /// Replaces the contents of the box list.
    pub fn set_box_list(&mut self, boxes: Vec<BoxInfo>) {
        self.listed = boxes.into_iter().map(|info| (info.id.clone(), info)).collect();
    }

    /// Starts a gossip round: advances this box's heartbeat and returns the peers to contact.
    pub fn start_gossip_round(&mut self, leaving: bool, revision: u64, now: Time) -> Vec<BoxInfo> {
        self.members.retain(|id, member| {
            self.listed.contains_key(id)
                || now.since(member.heartbeat_advanced_at) < UNLISTED_RETENTION
                || *id == self.local_id
        });
        if let Some(member) = self.members.get_mut(&self.local_id) {
            member.heartbeat.beat += 1;
            member.heartbeat.leaving = leaving;
            member.heartbeat.revision = revision;
            member.heartbeat_advanced_at = now;
        }
        let mut peers: Vec<BoxInfo> = self.peers().cloned().collect();
        peers.shuffle(&mut self.rng);
        peers.truncate(GOSSIP_FANOUT);
        peers
    }

    /// Merges heartbeats received from a peer, keeping the latest of each box.
    pub fn merge(&mut self, heartbeats: Vec<Heartbeat>, now: Time) {
        for heartbeat in heartbeats {
            if heartbeat.id == self.local_id {
                continue;
            }
            let recency = |heartbeat: &Heartbeat| (heartbeat.incarnation, heartbeat.beat);
            match self.members.get_mut(&heartbeat.id) {
                Some(member) if recency(&heartbeat) > recency(&member.heartbeat) => {
                    *member = Member { heartbeat, heartbeat_advanced_at: now };
                }
                Some(_) => {}
                None => {
                    let id = heartbeat.id.clone();
                    self.members.insert(id, Member { heartbeat, heartbeat_advanced_at: now });
                }
            }
        }
    }
}

/// Returns the rendezvous hash of a box for a shard. The lowest hash ranks first.
fn rendezvous_hash(id: &BoxId, shard: &ShardId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{id}|{shard}").as_bytes())
}
