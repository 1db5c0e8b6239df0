//! Properties of the division of room among queues.

use kitetrail_core::jobs::{Allowance, Claim, ClaimantTerms, Room, ShareBound, divide};
use proptest::prelude::*;

/// The rounding that is allowed in a share.
const ROUNDING: f64 = 1e-4;
const TOTAL: Room = Room { cpu_millis: 1_000, best_effort_millis: 1_000, memory_mb: 1_000 };

fn room(cpu_millis: u64, best_effort_millis: u64, memory_mb: u64) -> Room {
    Room { cpu_millis, best_effort_millis, memory_mb }
}

fn claim(weight: f64, waiting: Room) -> Claim {
    let terms = ClaimantTerms { weight, ..ClaimantTerms::of_priority(0) };
    Claim { terms, running: Room::default(), waiting }
}

fn any_claim() -> impl Strategy<Value = Claim> {
    let terms = (0_u32..100, 0_u8..15, 30_u8..=100);
    let amounts = (0_u64..2_000, 0_u64..2_000, 0_u64..2_000);
    (terms, amounts).prop_map(
        |((weight, floor_percent, ceiling_percent), (cpu, beside, memory))| {
            let terms = ClaimantTerms {
                weight: f64::from(weight),
                floor_percent,
                ceiling_percent,
                paused: false,
            };
            Claim { terms, running: Room::default(), waiting: room(cpu, beside, memory) }
        },
    )
}

/// Returns the part of each resource that the allowances take together.
fn used(claims: &[Claim], allowances: &[Allowance]) -> [f64; 3] {
    let mut used = [0.0; 3];
    for (claim, allowance) in claims.iter().zip(allowances) {
        let part = if allowance.demand > 0.0 { allowance.share / allowance.demand } else { 0.0 };
        let wanted = claim.running + claim.waiting;
        used[0] += part * wanted.cpu_millis as f64 / TOTAL.cpu_millis as f64;
        used[1] += part * wanted.best_effort_millis as f64 / TOTAL.best_effort_millis as f64;
        used[2] += part * wanted.memory_mb as f64 / TOTAL.memory_mb as f64;
    }
    used
}

proptest! {
    #[test]
    fn no_resource_is_divided_more_than_once(claims in prop::collection::vec(any_claim(), 0..8)) {
        let allowances = divide(&TOTAL, &claims);
        prop_assert!(used(&claims, &allowances).iter().all(|used| *used <= 1.0 + ROUNDING));
    }

    #[test]
    fn nobody_gets_more_than_the_demand_or_the_ceiling(
        claims in prop::collection::vec(any_claim(), 0..8),
    ) {
        for (claim, allowance) in claims.iter().zip(divide(&TOTAL, &claims)) {
            let ceiling = f64::from(claim.terms.ceiling_percent) / 100.0;
            prop_assert!(allowance.share <= allowance.demand.min(ceiling) + ROUNDING);
        }
    }

    #[test]
    fn everybody_gets_the_floor(claims in prop::collection::vec(any_claim(), 0..6)) {
        // Six floors of less than 15 % fit.
        for (claim, allowance) in claims.iter().zip(divide(&TOTAL, &claims)) {
            let floor = f64::from(claim.terms.floor_percent) / 100.0;
            prop_assert!(allowance.share + ROUNDING >= floor.min(allowance.demand));
        }
    }

    #[test]
    fn no_room_is_left_that_somebody_wants(claims in prop::collection::vec(any_claim(), 1..8)) {
        let allowances = divide(&TOTAL, &claims);
        let used = used(&claims, &allowances);
        for (claim, allowance) in claims.iter().zip(&allowances) {
            let wanted = claim.running + claim.waiting;
            let needs = [wanted.cpu_millis, wanted.best_effort_millis, wanted.memory_mb];
            let lacks_room = needs.iter().zip(used).any(|(need, used)| {
                *need > 0 && used >= 1.0 - 10.0 * ROUNDING
            });
            prop_assert!(allowance.bound != ShareBound::Room || lacks_room, "{allowance:?} {used:?}");
        }
    }

    #[test]
    fn a_share_grows_only_at_the_cost_of_a_larger_one(
        weights in prop::collection::vec(1_u32..100, 2..8),
        wanted in prop::collection::vec(1_u64..3_000, 8),
    ) {
        let claims = weights.iter().zip(wanted);
        let claims = claims.map(|(&weight, cpu)| claim(f64::from(weight), room(cpu, 0, 0)));
        let claims = claims.collect::<Vec<_>>();
        let allowances = divide(&TOTAL, &claims);
        let level = |index: usize| allowances[index].share / claims[index].terms.weight;
        for lacking in (0..claims.len()).filter(|&index| allowances[index].bound == ShareBound::Room) {
            for other in 0..claims.len() {
                prop_assert!(level(other) <= level(lacking) + ROUNDING);
            }
        }
    }
}

#[test]
fn room_that_one_queue_does_not_want_is_lent_by_weight() {
    let claims =
        [claim(1.0, room(2_000, 0, 0)), claim(3.0, room(2_000, 0, 0)), claim(4.0, room(100, 0, 0))];
    let shares = divide(&TOTAL, &claims).iter().map(|each| each.share).collect::<Vec<_>>();
    for (share, expected) in shares.iter().zip([0.225, 0.675, 0.1]) {
        assert!((share - expected).abs() < ROUNDING, "{shares:?}");
    }
}

#[test]
fn queues_that_need_different_resources_do_not_bound_each_other() {
    let claims = [claim(1.0, room(3_000, 0, 0)), claim(1.0, room(0, 0, 800))];
    let shares = divide(&TOTAL, &claims).iter().map(|each| each.share).collect::<Vec<_>>();
    assert!((shares[0] - 1.0).abs() < ROUNDING && (shares[1] - 0.8).abs() < ROUNDING, "{shares:?}");
}

#[test]
fn a_queue_of_weight_zero_gets_what_the_others_leave() {
    let claims = [claim(0.0, room(900, 0, 0)), claim(1.0, room(700, 0, 0))];
    let shares = divide(&TOTAL, &claims).iter().map(|each| each.share).collect::<Vec<_>>();
    assert!((shares[0] - 0.3).abs() < ROUNDING && (shares[1] - 0.7).abs() < ROUNDING, "{shares:?}");
}

#[test]
fn a_paused_queue_keeps_what_it_has_and_gets_no_more() {
    let mut paused = claim(5.0, room(900, 0, 0));
    paused.terms.paused = true;
    paused.running = room(100, 0, 0);
    let allowances = divide(&TOTAL, &[paused, claim(1.0, room(2_000, 0, 0))]);
    assert!((allowances[0].share - 0.1).abs() < ROUNDING, "{allowances:?}");
    assert_eq!(allowances[0].bound, ShareBound::Paused);
    assert!((allowances[1].share - 0.9).abs() < ROUNDING, "{allowances:?}");
}
