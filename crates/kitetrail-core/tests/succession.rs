//! Tests which box succeeds an owner, and how long earlier owners may renew leases.

use std::time::Duration;

use kitetrail_core::{
    Time,
    succession::{BoxStrength, Candidate, Candidates, EarlierOwners},
};

const STRONG: BoxStrength = BoxStrength(1_000);
const WEAK: BoxStrength = BoxStrength(250);

fn at(ms: u64) -> Time {
    Time::from_us(ms * 1_000)
}

fn candidate(strength: BoxStrength, started_ms: u64, heard_ms: u64) -> Candidate {
    Candidate { strength, started_at: at(started_ms), last_request_at: at(heard_ms) }
}

#[test]
fn strength_is_limited_by_processor_time_and_link() {
    assert_eq!(BoxStrength::of(500, 200_000), BoxStrength(1_111));
    assert_eq!(BoxStrength::of(500, 2_300), BoxStrength(100));
    assert!(BoxStrength::of(120, 10_000).is_weak_compared_to(BoxStrength::of(500, 200_000)));
    assert!(!BoxStrength::of(250, 1_000_000).is_weak_compared_to(BoxStrength::of(250, 1_000_000)));
}

#[test]
fn strong_boxes_rank_first_and_among_them_the_one_that_started_last() {
    let mut candidates = Candidates::default();
    candidates.insert("early", candidate(STRONG, 1_000, 9_000));
    candidates.insert("restarted", candidate(STRONG, 8_000, 9_000));
    candidates.insert("weak", candidate(WEAK, 8_500, 9_000));
    assert_eq!(candidates.successors(at(9_100)), ["restarted", "early", "weak"]);
    candidates.remove("restarted");
    assert_eq!(candidates.successors(at(9_100)), ["early", "weak"]);
}

#[test]
fn boxes_without_a_recent_request_are_not_candidates() {
    let mut candidates = Candidates::default();
    candidates.insert("silent", candidate(STRONG, 1_000, 5_000));
    candidates.insert("there", candidate(WEAK, 1_000, 7_000));
    assert_eq!(candidates.successors(at(7_100)), ["there"]);
    assert_eq!(candidates.strongest(at(7_100)), WEAK);
    assert!(candidates.successors(at(20_000)).is_empty());
}

#[test]
fn only_a_weak_owner_has_a_much_stronger_successor_and_only_a_weak_box_delays_its_claim() {
    let mut candidates = Candidates::default();
    candidates.insert("strong", candidate(STRONG, 1_000, 2_000));
    assert_eq!(candidates.much_stronger_candidate(WEAK, at(2_000)), Some("strong"));
    assert_eq!(candidates.much_stronger_candidate(STRONG, at(2_000)), None);
    assert_eq!(STRONG.claim_delay(STRONG), Duration::ZERO);
    assert!(WEAK.claim_delay(STRONG) > Duration::ZERO);
    assert_eq!(WEAK.claim_delay(BoxStrength::default()), Duration::ZERO, "no other box is known");
}

#[test]
fn the_stop_of_an_owner_does_not_shorten_the_wait_for_its_predecessors() {
    let (renew_without_store, now) = (Duration::from_millis(7_000), Time::from_ms(20_000));
    let ms = Duration::from_millis;
    // The first owner is lost without confirmation that it stopped, so it may renew leases for the full
    // time without the store.
    let second = EarlierOwners::new(Duration::ZERO, false, renew_without_store, now);
    let stops_at = now + ms(1_500);
    assert_eq!(second.may_renew_for(stops_at), ms(5_500));
    // The second owner is known to stop 1.5 s after its takeover. The first may continue for the rest.
    let third =
        EarlierOwners::new(second.may_renew_for(stops_at), true, renew_without_store, stops_at);
    assert!(!third.last_may_renew(stops_at));
    assert_eq!(third.may_renew_for(stops_at), ms(5_500));
    assert_eq!(third.may_renew_for(stops_at + ms(5_500)), Duration::ZERO);
}

#[test]
fn a_confirmed_stop_ends_the_wait_for_the_last_owner_only() {
    let (renew_without_store, now) = (Duration::from_millis(7_000), Time::from_ms(20_000));
    let ms = Duration::from_millis;
    let mut lost = EarlierOwners::new(Duration::ZERO, false, renew_without_store, now);
    assert!(lost.last_may_renew(now));
    assert_eq!(lost.record_last_stopped(now + ms(600)), now + ms(600));
    assert_eq!(lost.may_renew_for(now + ms(600)), Duration::ZERO);
    // A predecessor was lost shortly before, also without confirmation.
    let mut lost = EarlierOwners::new(ms(5_500), false, renew_without_store, now);
    assert_eq!(lost.record_last_stopped(now + ms(600)), now + ms(5_500));
    // A confirmation after the wait has no effect.
    let mut lost = EarlierOwners::new(Duration::ZERO, false, renew_without_store, now);
    assert_eq!(lost.record_last_stopped(now + ms(9_000)), now + renew_without_store);
}
