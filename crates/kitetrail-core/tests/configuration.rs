//! P9: a box never steps back, in whatever order it learns of revisions.

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
fn revisions_are_never_stepped_back() {
    for first in 1..=4 {
        for second in 1..=4 {
            for third in 1..=4 {
                let mut in_force = RevisionInForce::default();
                let mut highest = 0;
                for number in [first, second, third] {
                    let taken = in_force.offer(revision(number));
                    assert_eq!(taken, number > highest, "P9: {number} after {highest}");
                    highest = highest.max(number);
                    assert_eq!(in_force.number(), highest);
                }
            }
        }
    }
}
