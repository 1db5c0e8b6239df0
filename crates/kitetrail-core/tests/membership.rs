//! Tests which boxes are up, and how shards are distributed among them.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{collections::BTreeSet, time::Duration};

use kitetrail_core::{
    BoxId, ShardId, Time,
    fleet::{BoxInfo, Liveness},
    membership::{Heartbeat, Membership},
};

fn id(number: usize) -> BoxId {
    format!("entry-{number}").parse().unwrap()
}

fn listed(number: usize, state: Liveness) -> BoxInfo {
    let zone = format!("zone-{}", number % 4).parse().unwrap();
    BoxInfo { id: id(number), peer: ([127, 0, 0, 1], number as u16).into(), zone, state }
}

fn heartbeat(number: usize, beat: u64) -> Heartbeat {
    Heartbeat { id: id(number), incarnation: 1, beat, leaving: false, revision: 0 }
}

fn membership_of(boxes: usize, now: Time) -> Membership {
    let mut membership = Membership::new(id(0), 1, 1, now);
    membership.set_box_list((0..boxes).map(|n| listed(n, Liveness::Live)).collect());
    membership.merge((1..boxes).map(|n| heartbeat(n, 1)).collect(), now);
    membership
}

fn shards() -> BTreeSet<ShardId> {
    let all = (0..4).flat_map(|zone| (0..4).map(move |index| format!("zone-{zone}:{index}")));
    all.map(|text| text.parse().unwrap()).collect()
}

#[test]
fn shards_are_distributed_evenly() {
    let now = Time::from_ms(1_000);
    for boxes in 1..=16 {
        let owners = membership_of(boxes, now).rank_owners(&shards(), now);
        let max_owned = 16usize.div_ceil(boxes);
        for number in 0..boxes {
            let owned = owners.values().filter(|ranked| ranked[0] == id(number)).count();
            assert!(owned <= max_owned, "entry-{number} of {boxes} has {owned} shards");
        }
    }
}

#[test]
fn a_box_whose_heartbeat_stops_is_no_longer_up() {
    let now = Time::from_ms(1_000);
    let mut membership = membership_of(3, now);
    let before_timeout = now + Membership::HEARTBEAT_TIMEOUT - Duration::from_millis(1);
    assert!(membership.is_up(&id(1), before_timeout));
    membership.merge(vec![heartbeat(1, 2)], before_timeout);
    let at_timeout = now + Membership::HEARTBEAT_TIMEOUT;
    assert!(membership.is_up(&id(1), at_timeout), "its heartbeat advanced");
    assert!(!membership.is_up(&id(2), at_timeout), "its heartbeat did not advance");
    membership.merge(vec![heartbeat(2, 1)], at_timeout);
    assert!(!membership.is_up(&id(2), at_timeout), "a repeated heartbeat is not an advance");
}

#[test]
fn a_leaving_or_dead_box_owns_no_shards() {
    let now = Time::from_ms(1_000);
    let mut membership = membership_of(3, now);
    membership.merge(vec![Heartbeat { leaving: true, ..heartbeat(1, 2) }], now);
    let boxes =
        vec![listed(0, Liveness::Live), listed(1, Liveness::Live), listed(2, Liveness::Dead)];
    membership.set_box_list(boxes);
    let owners = membership.rank_owners(&shards(), now);
    assert!(owners.values().all(|ranked| *ranked == [id(0)]));
}
