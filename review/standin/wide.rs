//! A wide job that can never be done, and the small jobs of other clients after it.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, cannot_run},
    worker::{CPU_MILLIS as WORKER_CPU_MILLIS, Run},
};

const WORKERS: usize = 12;
const BOXES: usize = 3;
/// As on the site's queue of packs.
const MAX_ATTEMPTS: u32 = 4;
const WIDE_JOB: &str = "00000000000000b2";
/// All fit at once: 667 tasks of a hundredth of a core on each of 12 workers.
const WIDE_TASKS: u32 = 8_000;
const WIDE_CPU_MILLIS: i64 = 10;
const WIDE_RUN_MS: u64 = 4_000;
const SMALL_TASKS: u32 = 4;
const SMALL_CPU_MILLIS: i64 = 100;
const SMALL_RUN_MS: u64 = 100;
/// How long small jobs are handed in, and the pause between two.
const TRAFFIC: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(700);
/// `finish_s`, and the time of the rule without a run.
const FINISH: Duration = Duration::from_secs(14);
const IDLE_MS: u64 = 3_000;

pub fn play(root: &Path, scratch: &Path, record: &Path, has_trouble: bool) -> bool {
    let fleet = Fleet::start(root, scratch, WORKERS, BOXES, MAX_ATTEMPTS);
    // The disruption: the job can never be done. Each of its tasks ends `failed`.
    fleet.add_work(WIDE_JOB, "wide", WIDE_CPU_MILLIS, WIDE_RUN_MS, if has_trouble { "failed" } else { "done" });
    if !fleet.submit_until_accepted(WIDE_JOB, "wide", WIDE_TASKS, WIDE_CPU_MILLIS) {
        cannot_run("the wide job wasn't accepted");
    }
    let started = Instant::now();
    let lives = || fleet.machines.iter().map(|machine| &machine.life);
    let ends = || lives().map(|life| life.counts().1).sum::<usize>();
    while ends() < WIDE_TASKS as usize {
        if started.elapsed() > Duration::from_secs(30) {
            cannot_run("the tasks of the wide job don't end");
        }
        thread::sleep(Duration::from_millis(50));
    }
    fleet.note(&format!("{} runs have ended; small jobs of other clients come from here", ends()));
    let mut accepted = Vec::new();
    let traffic = Instant::now();
    let mut number = 0;
    while traffic.elapsed() < TRAFFIC {
        let job = format!("0000000000001{number:03x}");
        fleet.add_work(&job, "small", SMALL_CPU_MILLIS, SMALL_RUN_MS, "done");
        if fleet.submit_as_client(number, &job, "small", SMALL_TASKS, SMALL_CPU_MILLIS) {
            accepted.push((job, fleet.world.now_ms()));
        }
        number += 1;
        thread::sleep(PAUSE);
    }
    if accepted.is_empty() {
        cannot_run("no small job was accepted, so none can be lost");
    }
    fleet.note(&format!("{} small jobs handed in, {} accepted; the traffic ends", number, accepted.len()));
    thread::sleep(FINISH);
    let from_ms = fleet.world.now_ms();
    let mut most_in_use = 0;
    while fleet.world.now_ms() < from_ms + IDLE_MS + 500 {
        most_in_use = most_in_use.max(lives().map(|life| life.cpu_in_use()).sum());
        thread::sleep(Duration::from_millis(50));
    }
    let to_ms = fleet.world.now_ms();
    let runs = fleet.world.runs();
    let share_in_use = most_in_use as f64 / (WORKER_CPU_MILLIS * WORKERS as i64) as f64;
    let (mut idle, mut lost) = (Vec::new(), 0);
    for (job, accepted_ms) in &accepted {
        let state = fleet.state(number, job);
        let of_job = runs.iter().filter(|run| run.task.starts_with(job.as_str())).collect::<Vec<_>>();
        let done = (0..SMALL_TASKS).filter(|index| is_done(&of_job, &format!("{job}.0.0.{index}"))).count();
        let at_work = of_job.iter().any(|run| run.ended.is_none_or(|(at_ms, _)| at_ms >= from_ms));
        if done < SMALL_TASKS as usize && !at_work && share_in_use < 0.5 {
            lost += 1;
            let last_ms = of_job.iter().filter_map(|run| run.ended.map(|(at_ms, _)| at_ms)).max();
            idle.push(format!(
                "  {job}: accepted at {accepted_ms} ms, {} runs, {done} of {SMALL_TASKS} tasks done, nothing at work for {} ms, shown as {state:?}",
                of_job.len(), to_ms - last_ms.unwrap_or(*accepted_ms)
            ));
        }
    }
    let wide_state = fleet.state(number, WIDE_JOB);
    let (refused, last) = fleet.store.too_large();
    let mut verdict = vec![
        format!("writes that the store refused as too large: {refused}; the last: {last:?}"),
        format!("times that a box took the fleet over: {}", fleet.logged("owner: owns the fleet")),
        format!("the wide job is shown as {wide_state:?}; runs of it: {}", runs.iter().filter(|run| run.task.starts_with(WIDE_JOB)).count()),
        format!("ends that wait to be taken note of: {}", lives().map(|life| life.unnoted()).sum::<usize>()),
        format!("most of the service's capacity in use from {from_ms} to {to_ms} ms: {:.3}", share_in_use),
        format!("LOST: of {} accepted small jobs, tasks whose turn has come and nothing at work for over {IDLE_MS} ms: {lost}", accepted.len()),
    ];
    verdict.extend(idle.iter().take(20).cloned());
    verdict.iter().for_each(|line| println!("{line}"));
    fleet.write_record(record, &verdict);
    lost > 0
}

fn is_done(runs: &[&Run], task: &str) -> bool {
    runs.iter().any(|run| run.task == task && run.ended.is_some_and(|(_, how)| how == "done"))
}
