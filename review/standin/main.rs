//! The cases of the review that are scripts: `standin CASE ROOT SCRATCH RECORD`. With TROUBLE=0 in the
//! environment it does the same without the disruption. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case couldn't run.

mod ends;
mod fleet;
mod http;
mod json;
mod store;
mod wide;
mod worker;

use std::{env, path::PathBuf, process::exit};

fn main() {
    let arguments = env::args().collect::<Vec<_>>();
    let [_, case, root, scratch, record] = &arguments[..] else {
        fleet::cannot_run("usage: standin CASE ROOT SCRATCH RECORD");
    };
    let (root, scratch, record) = (PathBuf::from(root), PathBuf::from(scratch), PathBuf::from(record));
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let is_broken = match case.as_str() {
        "ends" => ends::play(&root, &scratch, &record, has_trouble),
        "wide" => wide::play(&root, &scratch, &record, has_trouble),
        _ => fleet::cannot_run("there is no such case"),
    };
    exit(i32::from(is_broken))
}
