//! Divides scarce room among queues: weighted max-min fairness over the dominant resource.
//!
//! Answers the load of several queues that want more than the fleet has. Room that a queue does not
//! want is lent to the others by weight; since the division is repeated with each placement pass,
//! and tasks end by themselves, lent room returns within the duration of a task.

use std::fmt::{self, Display, Formatter};

use super::{claimant_terms::ClaimantTerms, room::Room};

/// The number of bisections when a level is searched for. Weights may differ by a factor of a
/// thousand and more, and the share of the largest one must still be exact.
const BISECTIONS: u32 = 40;
/// Parts of the fleet below this are equal: a thousandth of one worker of a thousand.
const NEGLIGIBLE_SHARE: f64 = 1e-6;

/// The room that a queue wants.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// The terms of the queue.
    pub terms: ClaimantTerms,
    /// The room that its running tasks take.
    pub running: Room,
    /// The room that its waiting tasks would take.
    pub waiting: Room,
}

/// The room that a queue may take, as a part of the fleet in its dominant resource.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// The part that the queue wants: 1 is the whole fleet.
    pub demand: f64,
    /// The part that it may take.
    pub share: f64,
    /// What keeps the part from being larger.
    pub bound: ShareBound,
}

/// What keeps an allowance from being larger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareBound {
    /// The queue wants no more.
    Demand,
    /// The queue's ceiling.
    Ceiling,
    /// A resource that the queue needs is used up.
    Room,
    /// The queue is paused.
    Paused,
}

impl ShareBound {
    /// Returns the reason as written to the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Demand => "demand",
            Self::Ceiling => "ceiling",
            Self::Room => "room",
            Self::Paused => "paused",
        }
    }
}

impl Display for ShareBound {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Divides the room among the claims, and returns an allowance for each.
///
/// Shares grow together, in proportion to the weights, until a resource is used up; the claims that
/// need this resource keep what they have, and the others go on growing.
pub fn divide(total: &Room, claims: &[Claim]) -> Vec<Allowance> {
    let mut division = Division::new(total, claims);
    division.grant_floors();
    // Claims of weight 0 come after all others: they share what those leave.
    division.grow(|claim| claim.weight);
    division.grow(|claim| if claim.weight > 0.0 { 0.0 } else { 1.0 });
    division.allowances()
}

/// A claim during the division.
#[derive(Debug)]
struct Claimant {
    weight: f64,
    /// The part of each resource that the claim takes for each unit of its dominant resource.
    parts: [f64; 3],
    demand: f64,
    ceiling: f64,
    floor: f64,
    paused: bool,
    share: f64,
    /// Whether a resource that it needs is used up.
    out_of_room: bool,
}

impl Claimant {
    fn new(total: &Room, claim: &Claim) -> Self {
        let wanted = claim.running + claim.waiting;
        let demand = wanted.dominant_share(total);
        let ClaimantTerms { weight, floor_percent, ceiling_percent, paused } = claim.terms;
        let most = if paused { claim.running.dominant_share(total) } else { demand };
        let ceiling = most.min(f64::from(ceiling_percent) / 100.0);
        Self {
            weight: weight.max(0.0),
            parts: wanted
                .parts_of(total)
                .map(|part| if demand > 0.0 { part / demand } else { 0.0 }),
            demand,
            ceiling,
            floor: ceiling.min(f64::from(floor_percent) / 100.0),
            paused,
            share: 0.0,
            out_of_room: false,
        }
    }

    fn may_grow(&self) -> bool {
        !self.out_of_room && self.share + NEGLIGIBLE_SHARE < self.ceiling
    }

    fn bound(&self) -> ShareBound {
        match self.share + 2.0 * NEGLIGIBLE_SHARE {
            reached if reached >= self.demand => ShareBound::Demand,
            _ if self.paused => ShareBound::Paused,
            reached if reached >= self.ceiling => ShareBound::Ceiling,
            _ => ShareBound::Room,
        }
    }
}

/// A division in progress.
#[derive(Debug)]
struct Division {
    claimants: Vec<Claimant>,
}

impl Division {
    fn new(total: &Room, claims: &[Claim]) -> Self {
        Self { claimants: claims.iter().map(|claim| Claimant::new(total, claim)).collect() }
    }

    /// Grants all floors, or the same part of each if the fleet is too small for all of them.
    fn grant_floors(&mut self) {
        let floors = self.claimants.iter().map(|claimant| claimant.floor).collect::<Vec<_>>();
        let part = highest(|part| self.fits(|index, _| part * floors[index]));
        for (claimant, floor) in self.claimants.iter_mut().zip(floors) {
            claimant.share = part * floor;
        }
    }

    /// Raises the shares in proportion to the weights as far as there is room.
    fn grow(&mut self, weight: impl Fn(&Claimant) -> f64) {
        let least = self.claimants.iter().map(&weight).filter(|weight| *weight > 0.0);
        // At this level the claimant of the least weight has the whole fleet.
        let top = 1.0 / least.fold(f64::INFINITY, f64::min);
        while top > 0.0 && self.claimants.iter().any(|each| weight(each) > 0.0 && each.may_grow()) {
            let at = |level: f64, claimant: &Claimant| match claimant.may_grow() {
                true => (level * top * weight(claimant)).min(claimant.ceiling).max(claimant.share),
                false => claimant.share,
            };
            let level = highest(|level| self.fits(|_, claimant| at(level, claimant)));
            let shares = self.claimants.iter().map(|each| at(level, each)).collect::<Vec<_>>();
            for (claimant, share) in self.claimants.iter_mut().zip(shares) {
                claimant.share = share;
            }
            if !self.mark_out_of_room() {
                return;
            }
        }
    }

    /// Marks the claimants that need a resource that is used up. Returns whether there are new
    /// ones.
    fn mark_out_of_room(&mut self) -> bool {
        let used = self.used(|_, claimant| claimant.share);
        let is_used_up = used.map(|used| used + 10.0 * NEGLIGIBLE_SHARE >= 1.0);
        let mut any = false;
        for claimant in self.claimants.iter_mut().filter(|claimant| claimant.may_grow()) {
            let needs = |(part, used_up): (&f64, bool)| used_up && *part > NEGLIGIBLE_SHARE;
            claimant.out_of_room = claimant.parts.iter().zip(is_used_up).any(needs);
            any |= claimant.out_of_room;
        }
        any
    }

    fn fits(&self, share: impl Fn(usize, &Claimant) -> f64) -> bool {
        self.used(share).iter().all(|used| *used <= 1.0 + NEGLIGIBLE_SHARE)
    }

    /// Returns the part of each resource that is used at the given shares.
    fn used(&self, share: impl Fn(usize, &Claimant) -> f64) -> [f64; 3] {
        let mut used = [0.0; 3];
        for (index, claimant) in self.claimants.iter().enumerate() {
            let share = share(index, claimant);
            for (used, part) in used.iter_mut().zip(claimant.parts) {
                *used += share * part;
            }
        }
        used
    }

    fn allowances(&self) -> Vec<Allowance> {
        let allowance = |claimant: &Claimant| Allowance {
            demand: claimant.demand,
            share: claimant.share,
            bound: claimant.bound(),
        };
        self.claimants.iter().map(allowance).collect()
    }
}

/// Returns the highest part, 0 to 1, for which a condition holds. It must hold for all parts below
/// as well.
fn highest(holds: impl Fn(f64) -> bool) -> f64 {
    if holds(1.0) {
        return 1.0;
    }
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..BISECTIONS {
        let middle = f64::midpoint(low, high);
        if holds(middle) { low = middle } else { high = middle }
    }
    low
}
