//! Which boxes are up, and which of them is to own which shard.
//!
//! Three sources that all lag: heartbeats passed on between boxes, the box list, and a
//! box's own word that it leaves. A box counts as up while its heartbeat grew within
//! [`Membership::SUSPECT_AFTER`] and neither the box list nor itself says otherwise.

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

/// How many peers are spoken to in each round.
const FAN_OUT: usize = 3;

/// For how long a box that is not in the box list is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// What is passed on about a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The box.
    pub id: BoxId,
    /// Its run. A later run has a greater number.
    pub incarnation: u64,
    /// A number that grows with each of its rounds.
    pub beat: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// The configuration revision it has in force.
    pub revision: u64,
}

/// A box as this one sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its latest heartbeat.
    pub heartbeat: Heartbeat,
    /// When that grew.
    pub grew_at: Time,
}

/// The boxes as this one sees them.
#[derive(Debug)]
pub struct Membership {
    me: BoxId,
    listed: BTreeMap<BoxId, BoxInfo>,
    members: BTreeMap<BoxId, Member>,
    rng: ChaCha8Rng,
}

impl Membership {
    /// For how long a box whose heartbeat doesn't grow counts as up.
    pub const SUSPECT_AFTER: Duration = Duration::from_secs(4);

    /// A view that knows this box alone.
    pub fn new(me: BoxId, incarnation: u64, seed: u64, now: Time) -> Self {
        let heartbeat =
            Heartbeat { id: me.clone(), incarnation, beat: 0, leaving: false, revision: 0 };
        let members = BTreeMap::from([(me.clone(), Member { heartbeat, grew_at: now })]);
        Self { me, listed: BTreeMap::new(), members, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// All boxes known, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// All heartbeats, to be passed on.
    pub fn heartbeats(&self) -> Vec<Heartbeat> {
        self.members.values().map(|member| member.heartbeat.clone()).collect()
    }

    /// Whether a box counts as up.
    pub fn is_up(&self, id: &BoxId, now: Time) -> bool {
        let listed_dead = self.listed.get(id).is_some_and(|info| info.state == Liveness::Dead);
        let fresh =
            |member: &Member| *id == self.me || now.since(member.grew_at) < Self::SUSPECT_AFTER;
        !listed_dead && self.members.get(id).is_some_and(fresh)
    }

    /// Whether a box is up and staying.
    pub fn is_staying(&self, id: &BoxId, now: Time) -> bool {
        let leaving = self.members.get(id).is_some_and(|member| member.heartbeat.leaving)
            || self.listed.get(id).is_some_and(|info| info.state == Liveness::Leaving);
        self.is_up(id, now) && !leaving
    }

    /// How many boxes are up, and the place of this one among them by name.
    pub fn place(&self, now: Time) -> (u32, u32) {
        let up: Vec<&BoxId> = self.members.keys().filter(|id| self.is_up(id, now)).collect();
        let place = up.iter().position(|id| **id == self.me).unwrap_or(0);
        (up.len() as u32, place as u32)
    }

    /// The addresses of all other boxes in the box list.
    pub fn peers(&self) -> impl Iterator<Item = &BoxInfo> {
        self.listed.values().filter(|info| info.id != self.me && info.state != Liveness::Dead)
    }

    /// The boxes that may own a shard, first choice first.
    ///
    /// Every box with the same view works out the same answer. Each shard goes to the
    /// staying box of its availability zone that wins a draw by hash and does not hold
    /// its even share yet.
    pub fn owners(&self, shards: &BTreeSet<ShardId>, now: Time) -> BTreeMap<ShardId, Vec<BoxId>> {
        let staying: Vec<&BoxId> =
            self.members.keys().filter(|id| self.is_staying(id, now)).collect();
        let share = shards.len().div_ceil(staying.len().max(1));
        let mut load: BTreeMap<&BoxId, usize> = BTreeMap::new();
        let mut owners = BTreeMap::new();
        for shard in shards {
            let mut ranked = staying.clone();
            ranked.sort_by_key(|id| (!self.is_in_zone_of(id, shard), draw(id, shard)));
            let first = ranked.iter().position(|id| load.get(id).copied().unwrap_or(0) < share);
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

    /// Follows the box list.
    pub fn set_listed(&mut self, boxes: Vec<BoxInfo>) {
        self.listed = boxes.into_iter().map(|info| (info.id.clone(), info)).collect();
    }

    /// Starts a round: this box's heartbeat grows. Returns the peers to speak to.
    pub fn begin_round(&mut self, leaving: bool, revision: u64, now: Time) -> Vec<BoxInfo> {
        self.members.retain(|id, member| {
            self.listed.contains_key(id)
                || now.since(member.grew_at) < FORGET_AFTER
                || *id == self.me
        });
        if let Some(member) = self.members.get_mut(&self.me) {
            member.heartbeat.beat += 1;
            member.heartbeat.leaving = leaving;
            member.heartbeat.revision = revision;
            member.grew_at = now;
        }
        let mut peers: Vec<BoxInfo> = self.peers().cloned().collect();
        peers.shuffle(&mut self.rng);
        peers.truncate(FAN_OUT);
        peers
    }

    /// Takes in heartbeats that were passed on.
    pub fn merge(&mut self, heartbeats: Vec<Heartbeat>, now: Time) {
        for heartbeat in heartbeats {
            if heartbeat.id == self.me {
                continue;
            }
            let newest = |h: &Heartbeat| (h.incarnation, h.beat);
            match self.members.get_mut(&heartbeat.id) {
                Some(known) if newest(&heartbeat) > newest(&known.heartbeat) => {
                    *known = Member { heartbeat, grew_at: now };
                }
                Some(_) => {}
                None => {
                    let id = heartbeat.id.clone();
                    self.members.insert(id, Member { heartbeat, grew_at: now });
                }
            }
        }
    }
}

/// The place of a box in the draw for a shard.
fn draw(id: &BoxId, shard: &ShardId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{id}|{shard}").as_bytes())
}
