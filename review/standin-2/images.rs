//! Batch jobs bring image names of their own, beside tasks that last.
//!
//! Jobs come at the rate of a small deployment. With the disruption, each step of a batch job names
//! an image that no job named before; without it, the same steps share nine images.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, http,
    site::{HOST, Queue, SERVICE, Site, Step},
    worker::Behaviour,
};

const QUEUES: &[Queue] = &[
    Queue {
        name: "watch",
        service: SERVICE,
        priority: 0,
        max_attempts: 2,
        extension: 2.2,
        target_latency_ms: 2_500,
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
const BOXES: u8 = 3;
/// The jobs whose tasks last, each with an image of its own and a task on each machine.
const WATCHES: u64 = 20;
const JOBS_PER_S: u64 = 10;
/// The steps of a batch job, which depend on nothing, and the tasks of each.
const STEPS: u64 = 5;
const TASKS: u64 = 2;
const SHARED_IMAGES: u64 = 9;
const PLAY: Duration = Duration::from_secs(105);
/// The platform starts a process again after a short delay.
const RESTART_AFTER: Duration = Duration::from_secs(2);
/// What a process may take, as `memory_mb` in the settings. Counted in units of 1,024 x 1,024.
const MEMORY_BYTES: u64 = 260 * 1_024 * 1_024;

pub fn play(folder: &Path, with_trouble: bool) -> Verdict {
    let mut site = Site::start(folder, QUEUES, false);
    for number in 1..=MACHINES {
        site.add_machine(&format!("m{number}"), &["a", "r1-1"], (16_000, 64_000));
    }
    if !site.start_boxes(BOXES) {
        site.recorder.note("a box is not ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    for number in 0..WATCHES {
        let step = Step {
            count: MACHINES,
            estimate_ms: 500,
            behaviour: Behaviour {
                cpu: 500,
                mem_mb: 1_000,
                lasts: true,
                tail_ms: 10,
                ..Behaviour::default()
            },
            image: format!("watch-{number}"),
            target_ms: 50,
            may_miss: Some(1),
            anti_affinity: 1,
            ..Step::default()
        };
        if site.submit("watch", &format!("{:016x}", 0xa000 + number), &[step]) != 200 {
            return Verdict::NotRun;
        }
    }
    thread::sleep(Duration::from_secs(3));
    let fronts = site.boxes.iter().map(|each| each.front).collect::<Vec<_>>();
    let statuses = Arc::new(Mutex::new(std::collections::BTreeMap::<u16, u64>::new()));
    let started = Instant::now();
    let (mut handed_in, mut most_bytes) = (0_u64, 0);
    // How often a process of each box was over its limit.
    let mut over_limit = vec![0; site.boxes.len()];
    let mut back_at = vec![None; site.boxes.len()];
    let mut reported_at = Instant::now();
    while started.elapsed() < PLAY {
        let due = started.elapsed().as_millis() as u64 * JOBS_PER_S / 1_000;
        while handed_in < due {
            let steps = (0..STEPS).map(|step| {
                let number = handed_in * STEPS + step;
                let number = if with_trouble { number } else { number % SHARED_IMAGES };
                Step {
                    count: TASKS,
                    estimate_ms: 200,
                    behaviour: Behaviour {
                        cpu: 200,
                        mem_mb: 100,
                        work_ms: 200,
                        fills: true,
                        ..Behaviour::default()
                    },
                    image: format!("registry.example/desk/pack@{number:08x}"),
                    ..Step::default()
                }
            });
            let job = format!("{:016x}", 0xb000_0000 + handed_in);
            let body = site.job_body(&job, &steps.collect::<Vec<_>>());
            let (fronts, statuses) = (fronts.clone(), Arc::clone(&statuses));
            let first = handed_in as usize;
            thread::spawn(move || {
                let path = format!("/packs/{job}");
                for attempt in 0..5 {
                    let to = fronts[(first + attempt) % fronts.len()];
                    let wait = Duration::from_secs(3);
                    let status = http::call(to, "POST", HOST, &path, &body, wait).0;
                    *statuses.lock().expect("lock").entry(status).or_default() += 1;
                    if status == 200 {
                        break;
                    }
                    thread::sleep(Duration::from_secs(1));
                }
            });
            handed_in += 1;
        }
        let boxes = site.boxes.iter_mut().zip(&mut over_limit).zip(&mut back_at);
        for ((each, over_limit), back_at) in boxes {
            let bytes = each.memory_bytes();
            most_bytes = most_bytes.max(bytes);
            if bytes > MEMORY_BYTES {
                site.recorder.note(&format!(
                    "{} takes {} bytes, over its limit of {MEMORY_BYTES}: the platform kills it",
                    each.name, bytes
                ));
                *over_limit += 1;
                each.kill();
                *back_at = Some(Instant::now() + RESTART_AFTER);
            }
            if back_at.is_some_and(|at| at <= Instant::now()) {
                *back_at = None;
                each.restart();
            }
        }
        if reported_at.elapsed() >= Duration::from_secs(5) {
            reported_at = Instant::now();
            let memory = site.boxes.iter().map(|each| each.memory_bytes() / 1_000_000);
            let memory = memory.collect::<Vec<_>>();
            let ends = site.recorder.ends.lock().expect("lock");
            let count = |how| ends.iter().filter(|end| end.how == how && !end.lasts).count();
            let lapsed = ends.iter().filter(|end| end.how == "lapsed" && end.lasts).count();
            let line = format!(
                "handed in {handed_in}, answers {:?}, done {}, lapsed {}, lasting lapsed {lapsed}, memory {memory:?} MB",
                statuses.lock().expect("lock"),
                count("done"),
                count("lapsed")
            );
            drop(ends);
            site.recorder.note(&line);
        }
        thread::sleep(Duration::from_millis(20));
    }
    let ended = over_limit.iter().sum::<u64>();
    let machines = over_limit.iter().filter(|&&count| count > 0).count();
    site.recorder.note(&format!(
        "a process took {most_bytes} bytes at the most; over the limit: {ended} times, on {machines} \
         of {} machines",
        over_limit.len()
    ));
    // The rule: three times in the day, on a tenth of the machines and on two at the least.
    if ended >= 3 && machines >= 2 { Verdict::Broken } else { Verdict::Held }
}
