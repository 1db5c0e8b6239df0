//! Long batch tasks run beside quick jobs.
//!
//! One machine of eight has the label that the jobs ask for. A batch job has two tasks there, which
//! work for an hour: the percent in the worker's reports rises by one in 36 s. They take
//! less than a tenth of its room. Then quick jobs come, for which there is room many times over.

use std::{path::Path, thread, time::Duration};

use crate::{
    Verdict,
    site::{Queue, SERVICE, Site, Step, wait_until},
    worker::Behaviour,
};

const QUEUES: &[Queue] = &[
    Queue {
        name: "checks",
        service: SERVICE,
        priority: 0,
        max_attempts: 3,
        extension: 1.5,
        target_latency_ms: 250,
    },
    Queue {
        name: "packs",
        service: SERVICE,
        priority: 2,
        max_attempts: 4,
        extension: 2.0,
        target_latency_ms: 1_000,
    },
];
const MACHINES: u64 = 8;
const CPU: u64 = 16_000;
/// The jobs of the same queue that come before the long one, and the time from one to the next.
const USUAL_JOBS: u64 = 19;
const BETWEEN: Duration = Duration::from_millis(120);
const LONG_WIDTH: u64 = 2;
const LONG_WORK_MS: u64 = 3_600_000;
/// How long a task of these jobs works without the disruption.
const USUAL_WORK_MS: u64 = 2_200;
const QUICK_JOBS: u64 = 3;
/// `finish_s`, and the 3 s for which a job may have nothing running.
const FINISH: Duration = Duration::from_secs(14);
const NOTHING_RUNNING: Duration = Duration::from_secs(3);

pub fn play(folder: &Path, with_trouble: bool) -> Verdict {
    let mut site = Site::start(folder, QUEUES, true);
    for number in 1..MACHINES {
        site.add_machine(&format!("m{number}"), &["a", "r1-1"], (CPU, 64_000));
    }
    let labelled = site.add_machine(&format!("m{MACHINES}"), &["b", "r1-2"], (CPU, 64_000));
    if !site.start_boxes(3) {
        site.recorder.note("a box is not ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let step = |count, cpu, work_ms| Step {
        count,
        estimate_ms: work_ms,
        constraint: "b",
        behaviour: Behaviour { cpu, mem_mb: 1_000, work_ms, ..Behaviour::default() },
        ..Step::default()
    };
    // The others of its kind: the long job is one of twenty that come in 2.5 s.
    for number in 1..=USUAL_JOBS {
        let job = format!("{:016x}", 0xb000 + number);
        if site.submit("packs", &job, &[step(1, 700, 1_000)]) != 200 {
            return Verdict::NotRun;
        }
        thread::sleep(BETWEEN);
    }
    let work_ms = if with_trouble { LONG_WORK_MS } else { USUAL_WORK_MS };
    if site.submit("packs", "000000000000b000", &[step(LONG_WIDTH, 700, work_ms)]) != 200 {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(6));
    let quick = (0..QUICK_JOBS).map(|number| format!("{:016x}", 0xc000 + number));
    let quick = quick.collect::<Vec<_>>();
    for job in &quick {
        if site.submit("checks", job, &[step(2, 800, 1_000)]) != 200 {
            return Verdict::NotRun;
        }
        thread::sleep(Duration::from_millis(500));
    }
    // The traffic ends here.
    let handed_in = site.recorder.now();
    let never_started = |site: &Site| {
        let starts = site.recorder.starts.lock().expect("lock");
        let has_started =
            |job: &&String| !starts.iter().any(|start| start.task.starts_with(job.as_str()));
        quick.iter().filter(has_started).count()
    };
    thread::sleep(FINISH);
    let states = quick.iter().map(|job| site.state(0, "checks", job)).collect::<Vec<_>>();
    site.recorder.note(&format!("{FINISH:?} after the traffic: the quick jobs are {states:?}"));
    thread::sleep(NOTHING_RUNNING);
    let waiting = never_started(&site);
    let used_cpu = labelled.used_cpu();
    site.recorder.note(&format!(
        "{:?} after the traffic: {waiting} of {QUICK_JOBS} quick jobs have not begun; {used_cpu} of \
         {CPU} thousandths of a core of the labelled machine are in use",
        FINISH + NOTHING_RUNNING
    ));
    let began = wait_until(Duration::from_secs(40), || never_started(&site) == 0);
    let after = site.recorder.now() - handed_in;
    site.recorder.note(&format!("all quick jobs began: {began}, {after:?} after the last came"));
    let ends = site.recorder.ends.lock().expect("lock").clone();
    let stopped = ends.iter().filter(|end| end.how == "stopped").count();
    site.recorder.note(&format!("runs that were stopped: {stopped}"));
    match waiting > 0 && used_cpu * 2 < CPU {
        true => {
            site.recorder.note(
                "LOST: for 3 s a job has nothing running, its turn has come, there is room for it \
                 twice over, and less than half of the room is in use",
            );
            Verdict::Broken
        }
        false => Verdict::Held,
    }
}
