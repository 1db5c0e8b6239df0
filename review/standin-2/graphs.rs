//! Large jobs come at once: graphs of steps that depend on each other.
//!
//! Each job has 256 steps of one task, in 16 layers of 16: each step depends on all steps of the layer
//! before. All of the jobs' tasks that may run at a time take less than half of the room.

use std::{
    collections::BTreeSet,
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

const QUEUES: &[Queue] = &[Queue {
    name: "packs",
    service: SERVICE,
    priority: 2,
    max_attempts: 4,
    extension: 2.0,
    target_latency_ms: 1_000,
}];
const MACHINES: u64 = 12;
const CPU: u64 = 16_000;
/// The jobs of the burst, handed in within its time.
const JOBS: u64 = 64;
const BURST: Duration = Duration::from_millis(4_000);
const LAYERS: u64 = 16;
const WIDTH: u64 = 16;
const TASK_CPU: u64 = 80;
const WORK_MS: u64 = 1_000;
/// `finish_s`, and the 3 s for which a job may have nothing running.
const FINISH: Duration = Duration::from_secs(14);
const NOTHING_RUNNING: Duration = Duration::from_secs(3);

pub fn play(folder: &Path, with_trouble: bool) -> Verdict {
    let mut site = Site::start(folder, QUEUES, false);
    for number in 1..=MACHINES {
        site.add_machine(&format!("m{number}"), &["a", "r1-1"], (CPU, 64_000));
    }
    if !site.start_boxes(3) {
        site.recorder.note("a box is not ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    // Without the disruption the same tasks come as jobs of two steps.
    let steps = if with_trouble { graph() } else { plain() };
    let fronts = site.boxes.iter().map(|each| each.front).collect::<Vec<_>>();
    let accepted = Arc::new(Mutex::new(BTreeSet::new()));
    let started = Instant::now();
    let mut clients = Vec::new();
    for number in 0..JOBS {
        let job = format!("{:016x}", 0xb000 + number);
        let body = site.job_body(&job, &steps);
        if number == 0 {
            site.recorder.note(&format!("the body of a job has {} bytes", body.len()));
        }
        let (fronts, accepted) = (fronts.clone(), Arc::clone(&accepted));
        let recorder = Arc::clone(&site.recorder);
        clients.push(thread::spawn(move || {
            for attempt in 0..5 {
                let to = fronts[(number as usize + attempt) % fronts.len()];
                let path = format!("/packs/{job}");
                let wait = Duration::from_secs(3);
                let status = http::call(to, "POST", HOST, &path, &body, wait).0;
                recorder.note(&format!("POST {path}: {status}"));
                if status == 200 {
                    accepted.lock().expect("lock").insert(job);
                    return;
                }
                thread::sleep(Duration::from_secs(1));
            }
        }));
        let next = BURST * (number as u32 + 1) / JOBS as u32;
        thread::sleep(next.saturating_sub(started.elapsed()));
    }
    for client in clients {
        let _ = client.join();
    }
    // The traffic ends here.
    let accepted = accepted.lock().expect("lock").clone();
    site.recorder.note(&format!("{} of {JOBS} jobs are accepted", accepted.len()));
    thread::sleep(FINISH);
    // Nothing of these jobs runs at any look within the 3 s.
    let (mut idle, looks) = (accepted.clone(), Instant::now());
    let mut most_cpu = 0;
    while looks.elapsed() < NOTHING_RUNNING {
        for machine in &site.machines {
            for (task, ..) in machine.running() {
                idle.remove(&task[..16]);
            }
        }
        most_cpu = most_cpu.max(site.machines.iter().map(|each| each.used_cpu()).sum());
        thread::sleep(Duration::from_millis(5));
    }
    idle.retain(|job| {
        let state = site.state(0, "packs", job);
        state == "queued" || state == "running"
    });
    let ends = site.recorder.ends.lock().expect("lock");
    let done = ends.iter().filter(|end| end.how == "done").count();
    drop(ends);
    site.recorder.note(&format!(
        "{:?} after the traffic: {} of the {} accepted jobs are open and had nothing running for 3 s; at most \
         {most_cpu} of {} thousandths of a core were in use; {done} tasks are done",
        FINISH + NOTHING_RUNNING,
        idle.len(),
        accepted.len(),
        MACHINES * CPU
    ));
    // Room for it twice over: a layer takes 16 x 80 thousandths.
    let has_room = (MACHINES * CPU - most_cpu) >= 2 * WIDTH * TASK_CPU;
    match !idle.is_empty() && has_room && most_cpu * 2 < MACHINES * CPU {
        true => {
            site.recorder
                .note("LOST: these jobs have nothing running, and most of the room is free");
            Verdict::Broken
        }
        false => Verdict::Held,
    }
}

fn behaviour() -> Behaviour {
    Behaviour { cpu: TASK_CPU, mem_mb: 20, work_ms: WORK_MS, ..Behaviour::default() }
}

fn graph() -> Vec<Step> {
    let step = |number: u64| {
        let layer = number / WIDTH;
        let before = layer.checked_sub(1).map(|before| before * WIDTH..layer * WIDTH);
        Step {
            count: 1,
            estimate_ms: WORK_MS,
            behaviour: behaviour(),
            depends_on: before.into_iter().flatten().collect(),
            ..Step::default()
        }
    };
    (0..LAYERS * WIDTH).map(step).collect()
}

/// As many layers, each as one step.
fn plain() -> Vec<Step> {
    let step = |layer: u64| Step {
        count: WIDTH,
        estimate_ms: WORK_MS,
        behaviour: behaviour(),
        depends_on: layer.checked_sub(1).into_iter().collect(),
        ..Step::default()
    };
    (0..LAYERS).map(step).collect()
}
