//! Which box should own a fleet: how much each can carry, and who follows an owner that gives it up.

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::Time;

/// The processor time that owning a worker takes, in millionths of a core (docs/CAPACITY.md).
const MICRO_CORES_PER_WORKER: u64 = 450;
/// The traffic that owning a worker takes, in kilobits a second (docs/CAPACITY.md).
const KBIT_PER_WORKER: u64 = 23;
/// A box that can own fewer workers than this share of what the strongest one can is weak, in
/// percent. Boxes of one kind differ by nothing, those of different kinds by two times or more.
const WEAK_BELOW_PERCENT: u32 = 70;
/// How long a weak box leaves a lost owner's place to a stronger one: most find out within two of
/// their questions to the owner, 400 ms apart.
const WEAK_WAIT: Duration = Duration::from_millis(600);
/// A box that has not asked for so long is no candidate: it may be gone. More than two questions,
/// less than the time in which the loss of a box is noticed otherwise.
const HEARD_WITHIN: Duration = Duration::from_millis(1_200);

/// Until when owners before the present one may renew leases.
///
/// One that was lost in silence may go on without the store for a bounded time. One that stopped for certain does not, but
/// those before it may: each owner says in its writes how long they may, for the one that follows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EarlierOwners {
    /// Until when all but the last of them may.
    but_last_until: Time,
    /// Until when the last of them may.
    last_until: Time,
}

impl EarlierOwners {
    /// Those before an owner that takes over at a moment. The last of them had written how long those before it may renew leases,
    /// and does so itself without the store for a bounded time, unless it stopped for certain.
    pub fn new(
        may_renew_for: Duration,
        last_stopped: bool,
        renew_without_store: Duration,
        now: Time,
    ) -> Self {
        let last_for = if last_stopped { Duration::ZERO } else { renew_without_store };
        Self { but_last_until: now + may_renew_for, last_until: now + last_for }
    }

    /// How long any of them may go on.
    pub fn may_renew_for(self, now: Time) -> Duration {
        self.but_last_until.max(self.last_until).since(now)
    }

    /// Whether the last of them may.
    pub fn last_may_renew(self, now: Time) -> bool {
        now < self.last_until
    }

    /// Takes note that the last of them has stopped by now. Returns after which moment none of them renews leases.
    pub fn note_last_stopped(&mut self, now: Time) -> Time {
        self.last_until = self.last_until.min(now);
        self.but_last_until.max(self.last_until)
    }
}

/// How many workers a box can own, by its processor time and its link.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BoxStrength(pub u32);

impl BoxStrength {
    /// The strength of a box with so much of a core, in thousandths, and so fast a link.
    pub fn of(processor_millis: u64, link_kbit_per_s: u64) -> Self {
        let by_processor = processor_millis * 1_000 / MICRO_CORES_PER_WORKER;
        let by_link = link_kbit_per_s / KBIT_PER_WORKER;
        Self(u32::try_from(by_processor.min(by_link)).unwrap_or(u32::MAX))
    }

    /// Whether a box of this strength is weak beside one of another.
    pub fn is_weak_beside(self, other: BoxStrength) -> bool {
        u64::from(self.0) * 100 < u64::from(other.0) * u64::from(WEAK_BELOW_PERCENT)
    }

    /// How long a box of this strength leaves a lost owner's place to others, if the strongest known
    /// box has the given one.
    pub fn claim_wait(self, strongest: BoxStrength) -> Duration {
        if self.is_weak_beside(strongest) { WEAK_WAIT } else { Duration::ZERO }
    }
}

impl Display for BoxStrength {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} workers", self.0)
    }
}

/// A box that could own the fleet, as it told the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// What it can carry.
    pub strength: BoxStrength,
    /// When it started.
    pub started_at: Time,
    /// When it was heard last.
    pub heard_at: Time,
}

/// The boxes that could follow the owner, by where they answer.
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
    /// The best boxes to follow the owner, best first.
    ///
    /// Strong ones before weak ones; among these, the one that started last: where boxes are
    /// restarted one after the other, it has its restart behind it.
    pub fn successors(&self, now: Time) -> Vec<K> {
        let strongest = self.strongest(now);
        let weak = |candidate: &Candidate| candidate.strength.is_weak_beside(strongest);
        let mut heard = self.heard(now).collect::<Vec<_>>();
        heard.sort_by(|(_, a), (_, b)| weak(a).cmp(&weak(b)).then(b.started_at.cmp(&a.started_at)));
        heard.into_iter().map(|(key, _)| key).collect()
    }

    /// The best box to follow an owner of the given strength that is weak beside it.
    pub fn much_stronger(&self, than: BoxStrength, now: Time) -> Option<K> {
        let first = self.successors(now).into_iter().next()?;
        let candidate = self.boxes.get(&first)?;
        than.is_weak_beside(candidate.strength).then_some(first)
    }

    /// The greatest strength of any box that was heard lately.
    pub fn strongest(&self, now: Time) -> BoxStrength {
        self.heard(now).map(|(_, candidate)| candidate.strength).max().unwrap_or_default()
    }

    /// Takes note of what a box told of itself.
    pub fn note(&mut self, key: K, candidate: Candidate) {
        self.boxes.retain(|_, known| is_heard(known, candidate.heard_at));
        self.boxes.insert(key, candidate);
    }

    /// Takes a box out: it is stopping.
    pub fn remove(&mut self, key: K) {
        self.boxes.remove(&key);
    }

    fn heard(&self, now: Time) -> impl Iterator<Item = (K, Candidate)> + '_ {
        let boxes = self.boxes.iter().map(|(&key, &candidate)| (key, candidate));
        boxes.filter(move |(_, candidate)| is_heard(candidate, now))
    }
}

fn is_heard(candidate: &Candidate, now: Time) -> bool {
    now.since(candidate.heard_at) <= HEARD_WITHIN
}
