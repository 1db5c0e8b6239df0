//! More than 500 ends of one worker wait while the store is down.

use std::{
    collections::HashMap,
    path::Path,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, cannot_run},
    worker::Run,
};

const WORKERS: usize = 4;
const BOXES: usize = 3;
const JOB: &str = "00000000000000b1";
/// Half a core for a tenth of a second each: at most 32 at a time and 320 a second on one worker.
const TASKS: u32 = 4_000;
const CPU_MILLIS: i64 = 500;
const RUN_MS: u64 = 100;
/// The outage of the site file: `{ kind = "platform_down", for_s = 4.5, how = "busy", share = 0.0 }`.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Runs that have ended before it begins.
const ENDED_BEFORE: usize = 300;
const TIME_LIMIT: Duration = Duration::from_secs(60);

pub fn play(root: &Path, scratch: &Path, record: &Path, has_trouble: bool) -> bool {
    let fleet = Fleet::start(root, scratch, WORKERS, BOXES, 3);
    fleet.add_work(JOB, "pack", CPU_MILLIS, RUN_MS, "done");
    if !fleet.submit_until_accepted(JOB, "pack", TASKS, CPU_MILLIS) {
        cannot_run("the job wasn't accepted");
    }
    let started = Instant::now();
    let lives = || fleet.machines.iter().map(|machine| &machine.life);
    while lives().map(|life| life.counts().1).sum::<usize>() < ENDED_BEFORE {
        if started.elapsed() > Duration::from_secs(20) {
            cannot_run("the job doesn't run");
        }
        thread::sleep(Duration::from_millis(5));
    }
    let mut most_unnoted = 0;
    if has_trouble {
        fleet.note("the store answers every call with 503 from here");
        fleet.store.is_down.store(true, Ordering::Relaxed);
        let until = Instant::now() + OUTAGE;
        while Instant::now() < until {
            most_unnoted = most_unnoted.max(lives().map(|life| life.unnoted()).max().unwrap_or(0));
            thread::sleep(Duration::from_millis(20));
        }
        fleet.store.is_down.store(false, Ordering::Relaxed);
        fleet.note("the store serves again");
    }
    while fleet.state(1, JOB) != "completed" && started.elapsed() < TIME_LIMIT {
        most_unnoted = most_unnoted.max(lives().map(|life| life.unnoted()).max().unwrap_or(0));
        thread::sleep(Duration::from_millis(500));
    }
    // The last ends are taken note of.
    thread::sleep(Duration::from_secs(3));
    let runs = fleet.world.runs();
    let again = started_again(&runs);
    let done = runs.iter().filter(|run| run.task.starts_with(JOB) && run.ended.is_some_and(|(_, how)| how == "done"));
    let mut verdict = vec![
        format!("tasks {TASKS}, runs {}, of them done {}", runs.len(), done.count()),
        format!("most ends of one worker that waited to be taken note of: {most_unnoted}"),
        format!("log lines `its worker does not run it and can no longer start it`: {}", fleet.logged("does not run it and can no longer start it")),
        format!("TWICE: starts after a run that ended `done` and was taken note of, with no lapse in between: {}", again.len()),
    ];
    verdict.extend(again.iter().take(10).cloned());
    verdict.iter().for_each(|line| println!("{line}"));
    fleet.write_record(record, &verdict);
    !again.is_empty()
}

/// Returns the starts that follow a run of the same task that ended `done`, if that end is taken note of
/// and the worker's lease did not lapse in between.
fn started_again(runs: &[Run]) -> Vec<String> {
    let mut by_task = HashMap::<&str, Vec<&Run>>::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    let mut again = Vec::new();
    for run in runs {
        let earlier = by_task[run.task.as_str()].iter().find(|other| {
            let done = other.ended.is_some_and(|(at_ms, how)| how == "done" && at_ms < run.started_ms);
            other.run != run.run && done && other.noted_ms.is_some() && !other.lapsed_before_noted
        });
        if let Some(earlier) = earlier {
            let ended_ms = earlier.ended.map_or(0, |(at_ms, _)| at_ms);
            again.push(format!(
                "  {}: run {} on {} ended done at {ended_ms} ms, noted at {} ms; run {} started on {} at {} ms",
                run.task, earlier.run, earlier.worker, earlier.noted_ms.unwrap_or(0), run.run, run.worker, run.started_ms
            ));
        }
    }
    again
}
