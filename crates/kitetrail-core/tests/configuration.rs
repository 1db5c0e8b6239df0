//! P9: a box never replaces a revision by an older one, in whatever order it receives them.

use kitetrail_core::config::{Configuration, Revision, RevisionInForce};

fn revision(number: u64) -> Revision {
    Revision {
        number,
        author: "ann".to_owned(),
        change: format!("change-{number}"),
        configuration: Configuration::default(),
    }
}

#[test]
fn an_older_revision_never_replaces_a_newer_one() {
    for first in 1..=4 {
        for second in 1..=4 {
            for third in 1..=4 {
                let mut in_force = RevisionInForce::default();
                let mut highest = 0;
                for number in [first, second, third] {
                    let is_newer = in_force.apply_if_newer(revision(number));
                    assert_eq!(is_newer, number > highest, "P9: {number} after {highest}");
                    highest = highest.max(number);
                    assert_eq!(in_force.number(), highest);
                }
            }
        }
    }
}
