//! Selects the box that should own a fleet, by the capacity of each box, and the successor of an owner
//! that stops.

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::Time;

/// The processor time that the owner needs for each worker, in millionths of a core
/// (docs/CAPACITY.md).
const MICRO_CORES_PER_WORKER: u64 = 450;
/// The traffic that the owner needs for each worker, in kilobits per second (docs/CAPACITY.md).
const LINK_KBIT_PER_S_PER_WORKER: u64 = 23;
/// The share of another box's strength below which a box is weak compared to it, in percent. Boxes of the
/// same kind do not differ, and those of different kinds differ by a factor of two or more.
const WEAK_STRENGTH_PERCENT: u32 = 70;
/// The delay before a weak box claims the ownership of a lost owner, so that a stronger box can
/// claim it first. Most boxes detect the loss within two of their requests to the owner, which are
/// 400 ms apart.
const WEAK_CLAIM_DELAY: Duration = Duration::from_millis(600);
/// The time since its last request after which a box is no longer a candidate, because it may have
/// stopped. It is longer than two request intervals, and shorter than the time in which the loss of a
/// box is detected by other means.
const CANDIDATE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The times until which the owners before the current one may renew leases.
///
/// An owner that was lost without confirmation that it stopped may continue without the store for a
/// bounded time. An owner known to have stopped does not, but its predecessors may: each owner records
/// in its writes how long they may, for its successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EarlierOwners {
    /// The time until which all but the most recent one may renew leases.
    predecessors_until: Time,
    /// The time until which the most recent one may renew leases.
    last_until: Time,
}

impl EarlierOwners {
    /// Returns the earlier owners as seen by an owner that takes over now.
    ///
    /// `may_renew_for` is the time for which the predecessors of the most recent owner may renew leases,
    /// as recorded by that owner. Unless it is known to have stopped, the most recent owner itself may
    /// renew leases for `renew_without_store`.
    pub fn new(
        may_renew_for: Duration,
        last_stopped: bool,
        renew_without_store: Duration,
        now: Time,
    ) -> Self {
        let last_renews_for = if last_stopped { Duration::ZERO } else { renew_without_store };
        Self { predecessors_until: now + may_renew_for, last_until: now + last_renews_for }
    }

    /// Returns the time for which any of them may still renew leases.
    pub fn may_renew_for(self, now: Time) -> Duration {
        self.predecessors_until.max(self.last_until).since(now)
    }

    /// Returns whether the most recent one may still renew leases.
    pub fn last_may_renew(self, now: Time) -> bool {
        now < self.last_until
    }

    /// Records that the most recent one has stopped by now, and returns the time after which none of
    /// them renews leases.
    pub fn record_last_stopped(&mut self, now: Time) -> Time {
        self.last_until = self.last_until.min(now);
        self.predecessors_until.max(self.last_until)
    }
}

/// The number of workers that a box can own, given its processor time and its link.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BoxStrength(pub u32);

impl BoxStrength {
    /// Returns the strength of a box with the given processor time, in thousandths of a core, and link
    /// rate, in kilobits per second.
    pub fn of(processor_millis: u64, link_kbit_per_s: u64) -> Self {
        let by_processor = processor_millis * 1_000 / MICRO_CORES_PER_WORKER;
        let by_link = link_kbit_per_s / LINK_KBIT_PER_S_PER_WORKER;
        Self(u32::try_from(by_processor.min(by_link)).unwrap_or(u32::MAX))
    }

    /// Returns whether a box of this strength is weak compared to one of the given strength.
    pub fn is_weak_compared_to(self, other: BoxStrength) -> bool {
        u64::from(self.0) * 100 < u64::from(other.0) * u64::from(WEAK_STRENGTH_PERCENT)
    }

    /// Returns the delay before a box of this strength claims the ownership of a lost owner, given the
    /// strength of the strongest known box.
    pub fn claim_delay(self, strongest: BoxStrength) -> Duration {
        if self.is_weak_compared_to(strongest) { WEAK_CLAIM_DELAY } else { Duration::ZERO }
    }
}

impl Display for BoxStrength {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} workers", self.0)
    }
}

/// A box that could own the fleet, as it described itself to the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The strength of the box.
    pub strength: BoxStrength,
    /// The time when the box started.
    pub started_at: Time,
    /// The time of the last request from the box.
    pub last_request_at: Time,
}

/// The boxes that could succeed the owner, by address.
#[derive(Debug, Clone)]
pub struct Candidates<K> {
    boxes: BTreeMap<K, Candidate>,
}

impl<K> Default for Candidates<K> {
    fn default() -> Self {
        Self { boxes: BTreeMap::new() }
    }
}

impl<K: Ord + Copy> Candidates<K> {
    /// Returns the candidates to succeed the owner, the best one first.
    ///
    /// Strong boxes come before weak ones, and within each group the most recently started box comes
    /// first: during a rolling restart, that box has already been restarted.
    pub fn successors(&self, now: Time) -> Vec<K> {
        let strongest = self.strongest(now);
        let is_weak = |candidate: &Candidate| candidate.strength.is_weak_compared_to(strongest);
        let mut recent = self.recent(now).collect::<Vec<_>>();
        recent.sort_by(|(_, a), (_, b)| {
            is_weak(a).cmp(&is_weak(b)).then(b.started_at.cmp(&a.started_at))
        });
        recent.into_iter().map(|(key, _)| key).collect()
    }

    /// Returns the best candidate, if an owner of the given strength is weak compared to it.
    pub fn much_stronger_candidate(&self, than: BoxStrength, now: Time) -> Option<K> {
        let first = self.successors(now).into_iter().next()?;
        let candidate = self.boxes.get(&first)?;
        than.is_weak_compared_to(candidate.strength).then_some(first)
    }

    /// Returns the highest strength among the candidates with a recent request.
    pub fn strongest(&self, now: Time) -> BoxStrength {
        self.recent(now).map(|(_, candidate)| candidate.strength).max().unwrap_or_default()
    }

    /// Adds or updates a candidate, and drops those without a recent request.
    pub fn insert(&mut self, key: K, candidate: Candidate) {
        self.boxes.retain(|_, other| is_recent(other, candidate.last_request_at));
        self.boxes.insert(key, candidate);
    }

    /// Removes a box that is stopping.
    pub fn remove(&mut self, key: K) {
        self.boxes.remove(&key);
    }

    fn recent(&self, now: Time) -> impl Iterator<Item = (K, Candidate)> + '_ {
        let boxes = self.boxes.iter().map(|(&key, &candidate)| (key, candidate));
        boxes.filter(move |(_, candidate)| is_recent(candidate, now))
    }
}

fn is_recent(candidate: &Candidate, now: Time) -> bool {
    now.since(candidate.last_request_at) <= CANDIDATE_TIMEOUT
}
