//! A worker crashes once, right after the members of a gang have started there.
//!
//! Two machines of eight have the label that the gang asks for, and each has room for all of its four
//! members several times over. One of them crashes once and comes back after 4.5 s.

use std::{path::Path, thread, time::Duration};

use crate::{
    Verdict,
    site::{Queue, SERVICE, Site, Step, wait_until},
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
const MEMBERS: u64 = 4;
const WORK_MS: u64 = 2_200;
/// How long the worker is down, as `srv_crash` of the small site files.
const DOWN: Duration = Duration::from_millis(4_500);
/// How long the members have run when the worker crashes.
const RAN: Duration = Duration::from_millis(150);
/// How long the site is left alone after that: much more than `finish_s`.
const LEFT_ALONE: Duration = Duration::from_secs(40);

pub fn play(folder: &Path, with_trouble: bool) -> Verdict {
    let mut site = Site::start(folder, QUEUES, true);
    for number in 1..=6 {
        site.add_machine(&format!("m{number}"), &["a", "r1-1"], (16_000, 64_000));
    }
    let labelled = [7, 8]
        .map(|number| site.add_machine(&format!("m{number}"), &["b", "r1-2"], (16_000, 64_000)));
    if !site.start_boxes(3) {
        site.recorder.note("a box is not ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let step = Step {
        count: MEMBERS,
        estimate_ms: WORK_MS,
        constraint: "b",
        behaviour: Behaviour {
            cpu: 1_800,
            mem_mb: 3_200,
            work_ms: WORK_MS,
            gang: MEMBERS,
            ..Behaviour::default()
        },
        ..Step::default()
    };
    if site.submit("packs", JOB, &[step]) != 200 {
        return Verdict::NotRun;
    }
    if with_trouble {
        let is_due = |ran: &Duration| *ran >= RAN;
        let runs_long_enough =
            || labelled.iter().position(|each| each.running().iter().any(|run| is_due(&run.2)));
        let mut hit = None;
        wait_until(Duration::from_secs(10), || {
            hit = runs_long_enough();
            hit.is_some()
        });
        let Some(hit) = hit else { return Verdict::NotRun };
        labelled[hit].crash();
        thread::sleep(DOWN);
        labelled[hit].boot();
    }
    let mut state = String::new();
    let ended = wait_until(LEFT_ALONE, || {
        state = site.state(0, "packs", JOB);
        state == "completed" || state == "failed"
    });
    let running = labelled.iter().map(|each| each.running().len()).sum::<usize>();
    site.recorder.note(&format!(
        "{LEFT_ALONE:?} at most after the worker is back: the job is shown as `{state}`; {running} runs on \
         the two machines, which have room for {} members",
        2 * 16_000 / 1_800
    ));
    match ended {
        true if state == "completed" => Verdict::Held,
        true => Verdict::NotRun,
        false if running == 0 => {
            site.recorder.note(
                "LOST: the job has nothing running, its turn has come, and all room that it can use is free",
            );
            Verdict::Broken
        }
        false => Verdict::NotRun,
    }
}
