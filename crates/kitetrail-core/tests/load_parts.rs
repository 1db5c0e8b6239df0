//! Tests of the selection of the parts of scheduling under load.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use kitetrail_core::jobs::{LoadPart, LoadParts};

#[test]
fn no_part_is_in_use_by_default() {
    let parts = LoadParts::default();
    assert!(LoadPart::ALL.into_iter().all(|part| !parts.has(part)));
    assert_eq!("".parse::<LoadParts>().unwrap(), parts);
}

#[test]
fn names_are_parsed_as_they_are_written() {
    let all = LoadParts::all();
    assert_eq!(all.to_string().parse::<LoadParts>().unwrap(), all);
    let some = "shares, hand-in,".parse::<LoadParts>().unwrap();
    assert_eq!(some.to_string(), "hand-in,shares");
    assert!(some.has(LoadPart::Shares) && !some.has(LoadPart::Preemption));
}

#[test]
fn unknown_name_is_refused_with_the_place_that_lists_the_names() {
    let error = "hand-in,hands-in".parse::<LoadParts>().unwrap_err().to_string();
    assert!(error.contains("`hands-in`") && error.contains("settings.md"), "{error}");
}
