//! Tests of tasks that share workers: best-effort tasks beside serving ones, and short tasks beside
//! long-running ones.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use fleet::{FakeWorker, SimulatedFleet, job, step, task};
use kitetrail_core::{
    Resources, Time,
    jobs::{JobState, LogEntry, StepSpec, TaskName},
};

#[test]
fn best_effort_task_is_halted_while_a_tail_stays_above_its_target() {
    let mut fleet = SimulatedFleet::new(1);
    fleet.task_duration_ms = Some(60_000);
    // The tail stays above its target however slow the best-effort task is, which no model
    // predicts.
    fleet.tail_ms = |worker| if worker.running.len() > 1 { 90 } else { 12 };
    let serving_step = StepSpec {
        long_running: true,
        tail_target_ms: Some(50),
        image: Some("s".to_owned()),
        ..step(1)
    };
    fleet.submit(1, job(vec![serving_step]));
    fleet.advance_ms(1_000);
    let best_effort_step = StepSpec { best_effort: true, image: Some("f".to_owned()), ..step(1) };
    fleet.submit(2, job(vec![best_effort_step]));
    fleet.advance_ms(3_500);
    let paced = fleet.workers["w0"].running[&task(2, 0, 0)].percent;
    assert_eq!(paced, 0, "not halted after 3.5 s, but at {paced} %");
}

#[test]
fn best_effort_task_waits_rather_than_harm_serving_tasks_until_it_is_hopeless() {
    let mut fleet = SimulatedFleet::new(1);
    // Three tasks have a tail latency of 23 ms with a target of 50 ms: one may be disturbed a
    // little, but not all three together.
    fleet.tail_ms = |_| 23;
    let image = |name: &str| Some(name.to_owned());
    let serving_step =
        StepSpec { long_running: true, tail_target_ms: Some(50), image: image("s"), ..step(3) };
    fleet.submit(1, job(vec![serving_step]));
    fleet.advance_ms(3_000);
    let size = Resources::new(1_800, 512, 0);
    fleet.submit(2, job(vec![StepSpec { best_effort: true, image: image("f"), size, ..step(1) }]));
    fleet.advance_ms(4_000);
    assert_eq!(fleet.starts.len(), 3, "it waits for a better worker while it can be in time");
    fleet.advance_until("the hopeless job completes", |fleet| {
        fleet.state(2) == Some(JobState::Completed)
    });
}

#[test]
fn best_effort_task_waits_for_processors_used_by_short_tasks() {
    let mut fleet = SimulatedFleet::new(1);
    fleet.task_duration_ms = Some(3_000);
    let size = Resources::new(2_000, 512, 0);
    let serving_step = StepSpec { long_running: true, tail_target_ms: Some(50), size, ..step(1) };
    fleet.submit(1, job(vec![serving_step]));
    fleet.submit(2, job(vec![StepSpec { size, ..step(1) }]));
    fleet.advance_ms(500);
    let small = Resources::new(1_000, 512, 0);
    fleet.submit(3, job(vec![StepSpec { best_effort: true, size, ..step(1) }]));
    fleet.submit(4, job(vec![StepSpec { best_effort: true, size: small, ..step(1) }]));
    fleet.advance_ms(1_000);
    let has_started = |id| fleet.starts.iter().any(|(_, task, ..)| task.job.0 == id);
    assert!(
        !has_started(3) && has_started(4),
        "the service uses half of its two cores, the short task both"
    );
    fleet.advance_ms(3_000);
    assert!(fleet.starts.iter().any(|(_, task, ..)| task.job.0 == 3));
}

#[test]
fn long_running_task_leaves_room_for_continuing_short_tasks() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.long_running_ms = 600_000;
    let long_running =
        |cores| StepSpec { long_running: true, size: Resources::new(cores, 512, 0), ..step(1) };
    fleet.submit(1, job(vec![long_running(3_000)]));
    fleet.submit(2, job(vec![long_running(3_000)]));
    fleet.advance_ms(500);
    // Two short tasks of a second each run at a time, on the two cores that are left.
    for id in 100..120 {
        fleet.submit(id, job(vec![step(1)]));
        fleet.advance_ms(500);
    }
    fleet.submit(3, job(vec![long_running(1_000)]));
    for id in 120..130 {
        fleet.submit(id, job(vec![step(1)]));
        fleet.advance_ms(500);
    }
    let has_started =
        |fleet: &SimulatedFleet| fleet.starts.iter().any(|(_, task, ..)| task.job.0 == 3);
    assert!(!has_started(&fleet), "the long-running task took the room of short tasks");
    fleet.advance_until("short tasks have ended and the long-running task runs", has_started);
}

/// Returns the tail latency of a service: on the worker that runs job 1, each task of the jobs from
/// 100 on raises it from 20 ms by `added_ms`.
fn disturbed_tail_ms(worker: &FakeWorker, added_ms: u32) -> u32 {
    let best_effort_tasks = worker.running.keys().filter(|name| name.job.0 >= 100).count() as u32;
    let load = worker.running.values().map(|run| u32::from(run.percent)).sum::<u32>();
    let is_sensitive = worker.running.keys().any(|name| name.job.0 == 1);
    if is_sensitive && best_effort_tasks > 0 {
        20 + added_ms * best_effort_tasks * load.min(100) / 100
    } else {
        20
    }
}

#[test]
fn scheduler_learns_which_service_a_best_effort_image_slows() {
    // The tail stays below the target of 50 ms.
    let learned_effect = learn_sensitive_service(|worker| disturbed_tail_ms(worker, 30));
    assert!(learned_effect > 0.4, "effect persisted for the next owner: {learned_effect}");
    // The tail rises above the target. The scheduler prefers the less sensitive worker before it
    // has learned that much.
    let learned_effect = learn_sensitive_service(|worker| disturbed_tail_ms(worker, 60));
    assert!(learned_effect > 0.5, "effect persisted for the next owner: {learned_effect}");
}

/// Runs best-effort tasks until the scheduler has learned which of two services they slow, and
/// returns the persisted effect.
fn learn_sensitive_service(tail_ms: fn(&FakeWorker) -> u32) -> f64 {
    let mut fleet = SimulatedFleet::new(2);
    fleet.task_duration_ms = Some(2_000);
    fleet.tail_ms = tail_ms;
    let serving_step = |image: &str| StepSpec {
        long_running: true,
        size: Resources::new(3_000, 512, 0),
        tail_target_ms: Some(50),
        image: Some(image.to_owned()),
        ..step(1)
    };
    fleet.submit(1, job(vec![serving_step("sensitive")]));
    fleet.submit(2, job(vec![serving_step("tolerant")]));
    fleet.advance_ms(1_000);
    let tolerant_worker = fleet.worker_of(task(2, 0, 0));
    assert_ne!(fleet.workers_running(task(1, 0, 0)), [tolerant_worker.as_str()]);
    let best_effort_step = StepSpec {
        best_effort: true,
        image: Some("disturbing".to_owned()),
        size: Resources::new(1_500, 512, 0),
        ..step(1)
    };
    for id in 100..130 {
        fleet.submit(id, job(vec![best_effort_step.clone()]));
        fleet.advance_ms(1_500);
    }
    let serving_effects =
        fleet.effects.serving.iter().find(|serving| serving.image == "sensitive").unwrap();
    let effect = serving_effects.effects.iter().find(|(image, _)| image == "disturbing").unwrap().1;
    let last = fleet.starts.iter().filter(|(_, task, ..)| task.job.0 >= 115);
    let (mut on_tolerant_worker, mut all) = (0, 0);
    for (.., worker) in last {
        all += 1;
        on_tolerant_worker += u32::from(*worker == tolerant_worker);
    }
    assert!(
        on_tolerant_worker * 10 >= all * 9,
        "{on_tolerant_worker} of {all} on the worker that is not sensitive"
    );
    effect
}

#[test]
fn long_running_task_is_not_held_back_for_long_if_there_is_room_for_two() {
    let mut fleet = SimulatedFleet::new(1);
    // Four short tasks run at a time, then two, so half of the cores are free.
    for id in 100..140 {
        fleet.submit(id, job(vec![step(1)]));
        fleet.advance_ms(250);
    }
    for id in 140..143 {
        fleet.submit(id, job(vec![step(1)]));
        fleet.advance_ms(500);
    }
    fleet.submit(1, job(vec![StepSpec { long_running: true, ..step(1) }]));
    let has_started =
        |fleet: &SimulatedFleet| fleet.starts.iter().any(|(_, task, ..)| task.job.0 == 1);
    for id in 143..146 {
        fleet.submit(id, job(vec![step(1)]));
        fleet.advance_ms(500);
    }
    assert!(!has_started(&fleet), "the room was needed by short tasks a moment ago");
    for id in 146..148 {
        fleet.submit(id, job(vec![step(1)]));
        fleet.advance_ms(500);
    }
    assert!(has_started(&fleet), "not started after 2.5 s beside two free cores");
}

#[test]
fn long_running_task_starts_as_soon_as_the_end_that_makes_room_is_reported() {
    let mut fleet = SimulatedFleet::new(1);
    fleet.long_running_ms = 600_000;
    let size = Resources::new(4_000, 512, 0);
    let whole_worker = || job(vec![StepSpec { long_running: true, size, ..step(1) }]);
    fleet.submit(1, whole_worker());
    for id in 2..12 {
        fleet.submit(id, whole_worker());
        // The end is reported at different times after the last regular pass.
        fleet.advance_ms(500 + 10 * id);
        fleet.cancel(id - 1);
        fleet.advance_until("the waiting task is ordered", |fleet| {
            fleet.start_orders.iter().any(|(_, task, _)| task.job.0 == id)
        });
        let ends = fleet.log_entries.iter().rev();
        let mut ends = ends.filter(|(_, entry)| matches!(entry, LogEntry::RunEnded { .. }));
        let reported_at = ends.next().map(|&(at, _)| at);
        let ordered_at = fleet.start_orders.last().map(|&(at, ..)| at);
        assert_eq!(ordered_at, reported_at, "job {id}");
    }
}

#[test]
fn short_tasks_leave_room_for_tasks_that_take_a_whole_worker() {
    let mut fleet = SimulatedFleet::new(8);
    let size = |cpu_millis| Resources::new(cpu_millis, 256, 0);
    // A third of the fleet is busy with tasks that take a third of a worker. Every two seconds a
    // job of two tasks arrives, each of which takes a whole worker for 0.8 s. Its caller wants it
    // within two seconds.
    let mut large_jobs = Vec::new();
    for tick in 0..200 {
        let spec = StepSpec { size: size(1_300), estimate_ms: 800, ..step(1) };
        fleet.submit(1_000 + tick, job(vec![spec]));
        if tick % 20 == 10 {
            let spec = StepSpec { size: size(4_000), estimate_ms: 800, ..step(2) };
            fleet.submit(tick, job(vec![spec]));
            large_jobs.push((tick, fleet.now));
        }
        fleet.advance_ms(100);
    }
    fleet.advance_ms(5_000);
    let wait_ms = |&(id, at): &(u64, Time)| {
        let of_job = |start: &&(Time, TaskName, u32, String)| start.1.job.0 == id;
        let last = fleet.starts.iter().filter(of_job).map(|start| start.0).max();
        last.map_or(u64::MAX, |last| last.since(at).as_millis() as u64)
    };
    let waits_ms = large_jobs.iter().map(wait_ms).collect::<Vec<_>>();
    let in_time = waits_ms.iter().filter(|&&wait_ms| wait_ms <= 1_200).count();
    // One of ten was in time when short tasks were spread.
    assert!(in_time >= 9, "{in_time} of {} in time; waits in ms: {waits_ms:?}", large_jobs.len());
}
