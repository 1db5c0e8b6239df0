//! A worker crashes again and again, each time with a run of the same task.
//!
//! One machine of eight has the label that the task asks for. It crashes four times, is down for
//! 4.5 s each time, and stays up from then on. No run ends `failed`. The job could be done in 2 s.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    site::{Queue, SERVICE, Site, Step},
    worker::Behaviour,
};

const QUEUES: &[Queue] = &[Queue {
    name: "packs",
    service: SERVICE,
    priority: 2,
    max_attempts: 4,
    extension: 2.0,
    target_latency_ms: 1_000,
}];
const JOB: &str = "5c0e7a21d94b36f8";
/// How often the worker crashes.
const CRASHES: u32 = 4;
/// How long it is down, as `srv_crash` of the small site files.
const DOWN: Duration = Duration::from_millis(4_500);
/// How long the task has run when the worker crashes.
const RAN: Duration = Duration::from_millis(700);
const WORK_MS: u64 = 2_200;

pub fn play(folder: &Path, with_trouble: bool) -> Verdict {
    let mut site = Site::start(folder, QUEUES, true);
    for number in 1..=7 {
        site.add_machine(&format!("m{number}"), &["a", "r1-1"], (16_000, 64_000));
    }
    let labelled = site.add_machine("m8", &["b", "r1-2"], (16_000, 64_000));
    if !site.start_boxes(3) {
        site.recorder.note("a box is not ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let step = Step {
        count: 1,
        estimate_ms: WORK_MS,
        constraint: "b",
        behaviour: Behaviour {
            cpu: 1_800,
            mem_mb: 3_200,
            work_ms: WORK_MS,
            ..Behaviour::default()
        },
        ..Step::default()
    };
    if site.submit("packs", JOB, &[step]) != 200 {
        return Verdict::NotRun;
    }
    for _ in 0..if with_trouble { CRASHES } else { 0 } {
        if !wait_until(Duration::from_secs(12), || {
            labelled.running().iter().any(|(_, _, ran)| *ran >= RAN)
        }) {
            break;
        }
        labelled.crash();
        thread::sleep(DOWN);
        labelled.boot();
    }
    let mut state = String::new();
    wait_until(Duration::from_secs(25), || {
        state = site.state(0, "packs", JOB);
        state == "completed" || state == "failed"
    });
    let states = (0..site.boxes.len()).map(|at| site.state(at, "packs", JOB)).collect::<Vec<_>>();
    let ends = site.recorder.ends.lock().expect("lock").clone();
    let failed = ends.iter().filter(|end| end.how == "failed").count();
    site.recorder.note(&format!("GET at each box: {states:?}; runs that ended `failed`: {failed}"));
    match state.as_str() {
        "failed" if failed == 0 => {
            site.recorder.note("LOST: the job is shown as `failed`, no run has ended `failed`");
            Verdict::Broken
        }
        "completed" => Verdict::Held,
        _ => Verdict::NotRun,
    }
}

/// Waits until a condition holds. Returns whether it does in time.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
