//! Workers that crash and start again: which of their lives is over, and what proves it.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use fleet::{World, job, step, task};
use kitetrail_core::{
    Resources,
    jobs::{Discovery, Event, JobState, Report, StepSpec, WorkerEntry},
};

/// A step whose tasks take a whole worker each.
fn whole(count: u32) -> StepSpec {
    StepSpec { size: Resources::new(4_000, 512, 0), ..step(count) }
}

#[test]
fn a_late_entry_of_an_earlier_life_does_not_end_the_present_one() {
    let mut world = World::new(2);
    world.work_ms = Some(5_000);
    let stale = world.reborn("w0", "w0-again");
    world.list_all();
    world.run_ms(300);
    world.submit(1, job(vec![whole(2)]));
    world.run_until("both workers are taken", |world| world.starts.len() == 2);
    // The write of the earlier life reaches the store now. The world panics if a task runs twice.
    world.list(stale);
    world.run_until("it completes", |world| world.state(1) == Some(JobState::Completed));
    assert_eq!(world.starts.len(), 2, "what ran went on");
}

#[test]
fn a_worker_whose_earlier_life_was_listed_late_gets_work_again() {
    let mut world = World::new(1);
    let stale = world.reborn("w0", "w0-again");
    world.list_all();
    world.run_ms(300);
    world.list(stale);
    world.run_ms(300);
    world.submit(1, job(vec![step(1)]));
    world.run_until("it completes", |world| world.state(1) == Some(JobState::Completed));
}

#[test]
fn what_ran_in_the_earlier_life_starts_anew_once_the_present_one_answers() {
    let mut world = World::new(2);
    world.work_ms = Some(30_000);
    world.submit(1, job(vec![step(1)]));
    world.run_ms(500);
    let on = world.worker_of(task(1, 0, 0));
    world.reborn(&on, "again");
    let at = world.now;
    world.list_all();
    world.run_until("it is started anew", |world| world.starts.len() == 2);
    assert!(
        world.now.since(at).as_millis() < 1_500,
        "it waited for the lease of a life that is over"
    );
}

#[test]
fn an_entry_alone_does_not_prove_that_another_life_is_over() {
    let mut world = World::new(2);
    world.work_ms = Some(20_000);
    world.submit(1, job(vec![step(1)]));
    world.run_ms(500);
    let on = world.worker_of(task(1, 0, 0));
    // An entry of a life long over, which came late: nobody answers under it.
    let mut entry = world.worker(&on).entry.clone();
    entry.id = "long-over".into();
    world.list(entry);
    world.run_ms(3_000);
    assert_eq!(world.starts.len(), 1, "it was started again though its worker answers");
}

#[test]
fn an_owner_that_finds_both_lives_listed_keeps_the_one_that_answers() {
    for stale_first in [true, false] {
        let mut world = World::new(2);
        world.work_ms = Some(8_000);
        let stale = world.reborn("w0", "w0-again");
        world.list_all();
        world.run_ms(300);
        world.submit(1, job(vec![whole(2)]));
        world.run_until("both workers are taken", |world| world.starts.len() == 2);
        let mut changes = vec![Discovery::Listed(Box::new(stale))];
        let present = world.worker("w0-again").entry.clone();
        changes.insert(usize::from(stale_first), Discovery::Listed(Box::new(present)));
        world.take_over(2, true);
        world.tell(Event::Discovered(changes));
        world.run_until("it completes", |world| world.state(1) == Some(JobState::Completed));
        assert_eq!(world.starts.len(), 2, "what ran went on, the stale entry first: {stale_first}");
    }
}

#[test]
fn an_answer_from_before_a_crash_does_not_end_the_life_after_it() {
    for present_first in [true, false] {
        let mut world = World::new(1);
        world.work_ms = Some(4_000);
        world.submit(1, job(vec![step(1)]));
        world.run_ms(500);
        // The answer of the earlier life is on its way as it crashes.
        let (life, hold, sent_at) = world.worker("w0").held.take().unwrap();
        let report = Report {
            incarnation: None,
            clock_ms: world.now.as_ms(),
            running: vec![],
            ended: vec![],
        };
        world.run_ms(50);
        world.reborn("w0", "w0-again");
        world.list_all();
        if present_first {
            world.run_until("it runs again", |world| world.starts.len() == 2);
        }
        world.tell(Event::Held { life, hold, sent_at, answer: Ok(report) });
        world.run_until("it completes", |world| world.state(1) == Some(JobState::Completed));
        assert_eq!(world.starts.len(), 2, "the present life went on: {present_first}");
    }
}

#[test]
fn a_late_entry_does_not_take_back_that_a_worker_leaves() {
    let mut world = World::new(2);
    let ready = world.worker("w0").entry.clone();
    world.list(WorkerEntry { draining: true, ..ready.clone() });
    // A write from before reaches the list now.
    world.list(ready);
    world.submit(1, job(vec![step(6)]));
    world.run_until("it completes", |world| world.state(1) == Some(JobState::Completed));
    assert!(world.starts.iter().all(|(.., worker)| worker == "w1"), "{:?}", world.starts);
}
