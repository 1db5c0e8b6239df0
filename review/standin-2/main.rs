//! The stand-ins of the second review, and its scripted cases.
//!
//! `review-2 CASE FOLDER` plays a case from the repository's root and writes FOLDER/record.txt. It
//! exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
//! `TROUBLE=0` it plays the same without the disruption.

mod boxes;
mod gangs;
mod graphs;
mod http;
mod images;
mod json;
mod long_tasks;
mod record;
mod services;
mod site;
mod store;
mod worker;

use std::{
    env, panic,
    path::PathBuf,
    process::{self, ExitCode},
    thread,
    time::Duration,
};

/// A play that takes longer is ended, with all processes that it started.
const LIMIT: Duration = Duration::from_secs(117);

/// What a play showed.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments = env::args().skip(1).collect::<Vec<_>>();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let with_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(folder);
    thread::spawn(|| {
        thread::sleep(LIMIT);
        boxes::kill_all();
        eprintln!("the play took too long");
        process::exit(2);
    });
    let played = panic::catch_unwind(|| match case.as_str() {
        "long_tasks" => long_tasks::play(&folder, with_trouble),
        "images" => images::play(&folder, with_trouble),
        "services" => services::play(&folder, with_trouble),
        "graphs" => graphs::play(&folder, with_trouble),
        "gangs" => gangs::play(&folder, with_trouble),
        _ => Verdict::NotRun,
    });
    match played.unwrap_or(Verdict::NotRun) {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
