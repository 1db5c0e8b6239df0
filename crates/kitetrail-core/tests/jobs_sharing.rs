//! What shares workers: tasks that fill beside services, and short work beside what lasts.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use fleet::{FakeWorker, World, job, step, task};
use kitetrail_core::{
    Resources, Time,
    jobs::{JobState, StepSpec, TaskName},
};

#[test]
fn what_fills_is_halted_where_a_tail_stays_above_its_target() {
    let mut world = World::new(1);
    world.work_ms = Some(60_000);
    // Above the target however slow the rest is: no model explains that.
    world.tail_ms = |worker| if worker.running.len() > 1 { 90 } else { 12 };
    let serving =
        StepSpec { lasts: true, tail_target_ms: Some(50), image: Some("s".to_owned()), ..step(1) };
    world.submit(1, job(vec![serving]));
    world.run_ms(1_000);
    let filling = StepSpec { fills: true, image: Some("f".to_owned()), ..step(1) };
    world.submit(2, job(vec![filling]));
    world.run_ms(3_500);
    let paced = world.workers["w0"].running[&task(2, 0, 0)].percent;
    assert_eq!(paced, 0, "still at {paced} % after 3.5 s");
}

#[test]
fn what_fills_waits_rather_than_harm_many_that_serve_but_not_for_ever() {
    let mut world = World::new(1);
    // Three tasks with 23 ms of 50: one may be disturbed a little, all three together not.
    world.tail_ms = |_| 23;
    let image = |name: &str| Some(name.to_owned());
    let serving = StepSpec { lasts: true, tail_target_ms: Some(50), image: image("s"), ..step(3) };
    world.submit(1, job(vec![serving]));
    world.run_ms(3_000);
    let size = Resources::new(1_800, 512, 0);
    world.submit(2, job(vec![StepSpec { fills: true, image: image("f"), size, ..step(1) }]));
    world.run_ms(4_000);
    assert_eq!(world.starts.len(), 3, "it has slack still and waits for a better place");
    world
        .run_until("what is hopeless is done", |world| world.state(2) == Some(JobState::Completed));
}

#[test]
fn what_fills_waits_for_processors_that_batch_work_uses() {
    let mut world = World::new(1);
    world.work_ms = Some(3_000);
    let size = Resources::new(2_000, 512, 0);
    let serving = StepSpec { lasts: true, tail_target_ms: Some(50), size, ..step(1) };
    world.submit(1, job(vec![serving]));
    world.submit(2, job(vec![StepSpec { size, ..step(1) }]));
    world.run_ms(500);
    let small = Resources::new(1_000, 512, 0);
    world.submit(3, job(vec![StepSpec { fills: true, size, ..step(1) }]));
    world.submit(4, job(vec![StepSpec { fills: true, size: small, ..step(1) }]));
    world.run_ms(1_000);
    let begun = |id| world.starts.iter().any(|(_, task, ..)| task.job.0 == id);
    assert!(!begun(3) && begun(4), "the service uses half of its two cores, the batch task both");
    world.run_ms(3_000);
    assert!(world.starts.iter().any(|(_, task, ..)| task.job.0 == 3));
}

#[test]
fn what_lasts_leaves_room_to_short_work_that_goes_on() {
    let mut world = World::new(2);
    world.lasting_ms = 600_000;
    let lasting = |cores| StepSpec { lasts: true, size: Resources::new(cores, 512, 0), ..step(1) };
    world.submit(1, job(vec![lasting(3_000)]));
    world.submit(2, job(vec![lasting(3_000)]));
    world.run_ms(500);
    // Two short tasks of a second each run at a time, in the two cores that are left.
    for id in 100..120 {
        world.submit(id, job(vec![step(1)]));
        world.run_ms(500);
    }
    world.submit(3, job(vec![lasting(1_000)]));
    for id in 120..130 {
        world.submit(id, job(vec![step(1)]));
        world.run_ms(500);
    }
    let begun = |world: &World| world.starts.iter().any(|(_, task, ..)| task.job.0 == 3);
    assert!(!begun(&world), "it took the room of short work");
    world.run_until("short work is over and what lasts runs", begun);
}

/// The tail of a service that the tasks of jobs from 100 on raise from 20 ms by `more_ms` each, if the
/// worker runs job 1.
fn disturbed_tail_ms(worker: &FakeWorker, more_ms: u32) -> u32 {
    let fills = worker.running.keys().filter(|name| name.job.0 >= 100).count() as u32;
    let load = worker.running.values().map(|run| u32::from(run.percent)).sum::<u32>();
    let minds = worker.running.keys().any(|name| name.job.0 == 1);
    if minds && fills > 0 { 20 + more_ms * fills * load.min(100) / 100 } else { 20 }
}

#[test]
fn what_fills_learns_which_services_mind_it() {
    // Its tail stays below the target of 50 ms.
    let learned = learns_which_services_mind_it(|worker| disturbed_tail_ms(worker, 30));
    assert!(learned > 0.4, "kept for the next owner: {learned}");
    // Its tail goes above it. A worker that minds less is avoided before that much is known.
    let learned = learns_which_services_mind_it(|worker| disturbed_tail_ms(worker, 60));
    assert!(learned > 0.5, "kept for the next owner: {learned}");
}

/// Lets tasks that fill learn which of two services they disturb; returns the effect that is kept.
fn learns_which_services_mind_it(tail_ms: fn(&FakeWorker) -> u32) -> f64 {
    let mut world = World::new(2);
    world.work_ms = Some(2_000);
    world.tail_ms = tail_ms;
    let serving = |image: &str| StepSpec {
        lasts: true,
        size: Resources::new(3_000, 512, 0),
        tail_target_ms: Some(50),
        image: Some(image.to_owned()),
        ..step(1)
    };
    world.submit(1, job(vec![serving("touchy")]));
    world.submit(2, job(vec![serving("calm")]));
    world.run_ms(1_000);
    let calm = world.worker_of(task(2, 0, 0));
    assert_ne!(world.where_runs(task(1, 0, 0)), [calm.as_str()]);
    let filling = StepSpec {
        fills: true,
        image: Some("mean".to_owned()),
        size: Resources::new(1_500, 512, 0),
        ..step(1)
    };
    for id in 100..130 {
        world.submit(id, job(vec![filling.clone()]));
        world.run_ms(1_500);
    }
    let learned = world.effects.serving.iter().find(|serving| serving.image == "touchy").unwrap();
    let effect = learned.effects.iter().find(|(fills, _)| fills == "mean").unwrap().1;
    let last = world.starts.iter().filter(|(_, task, ..)| task.job.0 >= 115);
    let (mut there, mut all) = (0, 0);
    for (.., worker) in last {
        all += 1;
        there += u32::from(*worker == calm);
    }
    assert!(there * 10 >= all * 9, "{there} of {all} where nothing minds");
    effect
}

#[test]
fn what_lasts_is_not_held_back_for_long_beside_room_for_two() {
    let mut world = World::new(1);
    // Four short tasks run at a time, then two: half of the cores are free.
    for id in 100..140 {
        world.submit(id, job(vec![step(1)]));
        world.run_ms(250);
    }
    for id in 140..143 {
        world.submit(id, job(vec![step(1)]));
        world.run_ms(500);
    }
    world.submit(1, job(vec![StepSpec { lasts: true, ..step(1) }]));
    let begun = |world: &World| world.starts.iter().any(|(_, task, ..)| task.job.0 == 1);
    for id in 143..146 {
        world.submit(id, job(vec![step(1)]));
        world.run_ms(500);
    }
    assert!(!begun(&world), "short work needed four cores a moment ago");
    for id in 146..148 {
        world.submit(id, job(vec![step(1)]));
        world.run_ms(500);
    }
    assert!(begun(&world), "after 2.5 s beside two free cores");
}

#[test]
fn short_work_leaves_room_for_tasks_that_take_a_whole_worker() {
    let mut world = World::new(8);
    let size = |cpu_millis| Resources::new(cpu_millis, 256, 0);
    // A third of the fleet is busy with tasks of a third of a worker. Every two seconds a job of two
    // whole workers comes; its task takes 0.8 s, and its caller wants it within 2 s.
    let mut large = Vec::new();
    for tenth in 0..200 {
        let spec = StepSpec { size: size(1_300), estimate_ms: 800, ..step(1) };
        world.submit(1_000 + tenth, job(vec![spec]));
        if tenth % 20 == 10 {
            let spec = StepSpec { size: size(4_000), estimate_ms: 800, ..step(2) };
            world.submit(tenth, job(vec![spec]));
            large.push((tenth, world.now));
        }
        world.run_ms(100);
    }
    world.run_ms(5_000);
    let wait_ms = |&(id, at): &(u64, Time)| {
        let of_job = |start: &&(Time, TaskName, u32, String)| start.1.job.0 == id;
        let last = world.starts.iter().filter(of_job).map(|start| start.0).max();
        last.map_or(u64::MAX, |last| last.since(at).as_millis() as u64)
    };
    let waits_ms = large.iter().map(wait_ms).collect::<Vec<_>>();
    let in_time = waits_ms.iter().filter(|&&wait_ms| wait_ms <= 1_200).count();
    // Of ten, one was in time where short work spreads.
    assert!(in_time >= 9, "{in_time} of {} in time; waits in ms: {waits_ms:?}", large.len());
}
