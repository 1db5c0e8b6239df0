//! Requests to evacuate availability zones: the latest store version wins, in whatever order changes
//! are received.

use kitetrail_core::evacuation::{EvacuationChange, Evacuations};

fn request(zone: &str, version: u64) -> EvacuationChange {
    EvacuationChange { zone: zone.to_owned(), version, requested: true }
}

fn withdrawal(zone: &str, version: u64) -> EvacuationChange {
    EvacuationChange { zone: zone.to_owned(), version, requested: false }
}

fn zones(evacuations: &Evacuations) -> Vec<&str> {
    evacuations.zones().collect()
}

#[test]
fn a_request_stays_in_force_until_it_is_withdrawn() {
    let mut evacuations = Evacuations::default();
    assert_eq!(evacuations.replace_all(3, vec![]), []);
    assert_eq!(evacuations.apply_changes(5, vec![request("a", 5)]), [request("a", 5)]);
    assert_eq!(evacuations.apply_changes(6, vec![]), []);
    assert_eq!(zones(&evacuations), ["a"]);
    assert_eq!(evacuations.apply_changes(9, vec![withdrawal("a", 9)]), [withdrawal("a", 9)]);
    assert!(zones(&evacuations).is_empty());
}

#[test]
fn changes_in_one_answer_take_effect_in_their_order() {
    let mut evacuations = Evacuations::default();
    evacuations.apply_changes(9, vec![request("a", 5), withdrawal("a", 7), request("a", 9)]);
    assert_eq!(zones(&evacuations), ["a"]);
    evacuations.apply_changes(14, vec![withdrawal("a", 11), request("a", 12), withdrawal("a", 14)]);
    assert!(zones(&evacuations).is_empty());
}

#[test]
fn a_complete_read_reports_requests_that_were_removed() {
    let mut evacuations = Evacuations::default();
    evacuations.replace_all(5, vec![request("a", 4), request("b", 5)]);
    let changes = evacuations.replace_all(20, vec![request("b", 5), request("c", 18)]);
    assert_eq!(changes, [withdrawal("a", 20), request("c", 18)]);
    assert_eq!(zones(&evacuations), ["b", "c"]);
}

#[test]
fn changes_at_an_earlier_store_version_are_ignored() {
    let mut evacuations = Evacuations::default();
    evacuations.replace_all(20, vec![request("b", 15)]);
    assert_eq!(evacuations.replace_all(10, vec![request("a", 4)]), []);
    assert_eq!(evacuations.apply_changes(12, vec![withdrawal("b", 12)]), []);
    assert_eq!(zones(&evacuations), ["b"]);
}
