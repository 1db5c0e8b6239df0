//! Many users of one service come at once; the workers of another service idle.
//!
//! The jobs of the first service wait for room. A job of the second, whose tasks ask for no less, is
//! handed in meanwhile. Its first step is done; none of the tasks of its second step starts, although
//! all workers of its service are free.

use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    site::{OTHER_SERVICE, Queue, SERVICE, Site, Step, wait_until},
    worker::{Behaviour, Machine},
};

const QUEUES: &[Queue] = &[
    Queue {
        name: "packs",
        service: SERVICE,
        priority: 0,
        max_attempts: 4,
        extension: 2.0,
        target_latency_ms: 1_000,
    },
    Queue {
        name: "ledgers",
        service: OTHER_SERVICE,
        priority: 2,
        max_attempts: 4,
        extension: 2.0,
        target_latency_ms: 1_000,
    },
];
const DESK_MACHINES: usize = 8;
const SIZE: (u64, u64) = (16_000, 64_000);
/// The jobs of the burst, handed in within its time.
const BURST_JOBS: u64 = 20;
const BURST: Duration = Duration::from_millis(4_000);
const BURST_WIDTH: u64 = 24;
const LEDGER: &str = "5c0e7a21d94b36f8";
const LEDGER_WIDTH: u64 = 4;
/// `finish_s`, and the 3 s for which a job may have nothing running.
const FINISH: Duration = Duration::from_secs(14);
const NOTHING_RUNNING: Duration = Duration::from_secs(3);

pub fn play(folder: &Path, with_trouble: bool) -> Verdict {
    let mut site = Site::start(folder, QUEUES, true);
    for number in 1..=DESK_MACHINES {
        site.add_machine(&format!("d{number}"), &["a", "r1-1"], SIZE);
    }
    for number in 1..=4 {
        site.add_machine_of(OTHER_SERVICE, &format!("b{number}"), &["a", "r1-2"], SIZE);
    }
    if !site.start_boxes(3) {
        site.recorder.note("a box is not ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let step = |count, cpu, mem_mb, work_ms| Step {
        count,
        estimate_ms: work_ms,
        behaviour: Behaviour { cpu, mem_mb, work_ms, ..Behaviour::default() },
        ..Step::default()
    };
    let started = Instant::now();
    for number in 0..if with_trouble { BURST_JOBS } else { 1 } {
        let job = format!("{:016x}", 0xb000 + number);
        if site.submit("packs", &job, &[step(BURST_WIDTH, 1_800, 3_200, 5_400)]) != 200 {
            return Verdict::NotRun;
        }
        let next = BURST * (number as u32 + 1) / BURST_JOBS as u32;
        thread::sleep(next.saturating_sub(started.elapsed()));
    }
    let first = step(LEDGER_WIDTH, 1_900, 3_400, 2_200);
    let second = Step { depends_on: vec![0], ..first.clone() };
    if site.submit("ledgers", LEDGER, &[first, second]) != 200 {
        return Verdict::NotRun;
    }
    // The traffic ends here.
    let handed_in = site.recorder.now();
    thread::sleep(FINISH);
    // The starts of the second step.
    let starts_of_ledger = |site: &Site| {
        let starts = site.recorder.starts.lock().expect("lock");
        let second = format!("{LEDGER}.0.1.");
        starts.iter().filter(|start| start.task.starts_with(&second)).cloned().collect::<Vec<_>>()
    };
    let state = site.state(0, "ledgers", LEDGER);
    site.recorder.note(&format!("{FINISH:?} after the traffic: the ledger is shown as `{state}`"));
    thread::sleep(NOTHING_RUNNING);
    let early = starts_of_ledger(&site);
    let (desk, books) = site.machines.split_at(DESK_MACHINES);
    let busy = |machines: &[Arc<Machine>]| {
        machines.iter().filter(|machine| !machine.running().is_empty()).count()
    };
    let (busy_desk, busy_books) = (busy(desk), busy(books));
    site.recorder.note(&format!(
        "{:?} after the traffic: {} starts of the ledger's second step; {busy_desk} of {} workers of \
         `desk` and {busy_books} of {} of `books` run something",
        FINISH + NOTHING_RUNNING,
        early.len(),
        desk.len(),
        books.len()
    ));
    let began = wait_until(Duration::from_secs(60), || !starts_of_ledger(&site).is_empty());
    if began {
        let first = starts_of_ledger(&site)[0].at - handed_in;
        site.recorder.note(&format!("its second step began {first:?} after the job was handed in"));
    }
    match early.is_empty() && busy_books == 0 {
        true => {
            site.recorder.note(
                "LOST: for 3 s the job has nothing running, its turn has come, and all workers of \
                 its service are free",
            );
            Verdict::Broken
        }
        false => Verdict::Held,
    }
}
