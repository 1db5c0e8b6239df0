//! Workers whose entries go from the list: those that leave without a word, and those whose entries
//! lapsed while the store was in trouble.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use fleet::{FakeWorker, Mood, World, job, step, task};
use kitetrail_core::jobs::{Discovery, Event, JobId, JobState, StepSpec};

/// How long a worker that is gone from the list serves on at least, in milliseconds.
const DRAIN_MS: u64 = 2_000;

/// A step of tasks that last, one to a worker.
fn lasting(count: u32) -> StepSpec {
    StepSpec { lasts: true, max_per_worker: Some(1), ..step(count) }
}

/// A fleet on which a job of one step runs, its task 0 on the worker returned.
fn running(workers: u32, step: StepSpec) -> (World, String) {
    let mut world = World::new(workers);
    world.work_ms = Some(20_000);
    let count = step.count as usize;
    world.submit(1, job(vec![step]));
    world.run_until("all tasks run", |world| world.starts.len() == count);
    // Long enough for the reports that say that they are at work.
    world.run_ms(2_500);
    let on = world.worker_of(task(1, 0, 0));
    (world, on)
}

#[test]
fn what_lasts_leaves_a_worker_that_went_without_a_word() {
    let (mut world, on) = running(2, lasting(1));
    world.unlist(&on);
    world.run_ms(DRAIN_MS / 2);
    assert_ne!(world.where_runs(task(1, 0, 0)), [on.as_str()], "it dies with its worker");
    assert_eq!(world.starts.len(), 2);
}

#[test]
fn what_keeps_its_progress_leaves_a_worker_that_went_without_a_word() {
    let (mut world, on) = running(2, StepSpec { keeps_progress: true, ..step(1) });
    world.unlist(&on);
    world.run_ms(DRAIN_MS / 2);
    assert_ne!(world.where_runs(task(1, 0, 0)), [on.as_str()], "it dies with its worker");
}

#[test]
fn what_runs_stays_while_its_entry_may_have_lapsed_with_the_store() {
    let (mut world, on) = running(2, lasting(1));
    world.trouble_store();
    world.lapse(&on);
    // The store is away for a while, and back for less than two seconds.
    for _ in 0..30 {
        world.run_ms(100);
        world.trouble_store();
    }
    world.run_ms(1_900);
    world.relist(&on);
    world.run_ms(10_000);
    assert_eq!(world.where_runs(task(1, 0, 0)), [on.as_str()]);
    assert_eq!(world.starts.len(), 1, "its entry is back");
}

#[test]
fn an_entry_that_goes_just_after_trouble_of_the_store_may_have_lapsed_too() {
    let (mut world, on) = running(2, lasting(1));
    world.trouble_store();
    world.run_ms(300);
    world.lapse(&on);
    world.run_ms(1_500);
    assert_eq!(world.starts.len(), 1, "its worker may live");
}

#[test]
fn a_worker_still_missing_two_seconds_after_the_stores_return_has_left() {
    let (mut world, on) = running(2, lasting(1));
    world.trouble_store();
    world.lapse(&on);
    world.run_ms(3_500);
    assert_ne!(world.where_runs(task(1, 0, 0)), [on.as_str()]);
    assert_eq!(world.starts.len(), 2);
}

#[test]
fn trouble_that_comes_after_an_entry_went_saves_nobody() {
    let (mut world, on) = running(3, lasting(1));
    world.unlist(&on);
    world.run_ms(50);
    world.trouble_store();
    world.run_ms(DRAIN_MS / 2);
    assert_ne!(world.where_runs(task(1, 0, 0)), [on.as_str()], "it went while the store was well");
}

#[test]
fn no_more_of_a_step_are_moved_at_once_than_may_be_away() {
    for may_miss in [1, 2] {
        let (mut world, _) = running(8, StepSpec { may_miss: Some(may_miss), ..lasting(4) });
        let on = (0..4).map(|index| world.worker_of(task(1, 0, index))).collect::<Vec<_>>();
        for worker in &on {
            world.unlist(worker);
        }
        for _ in 0..600 {
            world.run_ms(10);
            let at_work = world.workers.values().flat_map(|worker| worker.running.values());
            let at_work = at_work.filter(|running| running.done_ms >= 300).count() as u32;
            assert!(at_work + may_miss >= 4, "{at_work} at work, {may_miss} may be away");
        }
        assert_eq!(world.starts.len(), 8, "all are moved, one after the other");
    }
}

#[test]
fn nothing_is_moved_while_others_are_away_for_any_cause() {
    let (mut world, on) = running(3, StepSpec { may_miss: Some(1), ..lasting(2) });
    let other = world.worker_of(task(1, 0, 1));
    world.worker(&other).mood = Mood::Cut;
    // Its worker is silent by now, and its lease is not over.
    world.run_ms(2_000);
    world.unlist(&on);
    world.run_ms(1_000);
    assert_eq!(world.where_runs(task(1, 0, 0)), [on.as_str()], "the other one is away");
    assert_eq!(world.starts.len(), 2);
}

#[test]
fn a_worker_that_is_listed_again_keeps_what_is_left_there() {
    let (mut world, on) = running(1, StepSpec { max_per_worker: None, ..lasting(1) });
    // There is no room elsewhere, so nothing was moved before its entry is back.
    world.unlist(&on);
    world.run_ms(1_000);
    world.relist(&on);
    world.workers.insert("w9".to_owned(), FakeWorker::new(9));
    world.list_all();
    world.run_ms(3_000);
    assert_eq!(world.where_runs(task(1, 0, 0)), [on.as_str()]);
    assert_eq!(world.starts.len(), 1);
}

#[test]
fn a_new_owner_empties_workers_that_are_not_in_the_list_it_reads() {
    let (mut world, on) = running(2, lasting(1));
    world.worker(&on).gone = true;
    world.take_over(2, true);
    world.run_ms(1_000);
    assert_eq!(world.where_runs(task(1, 0, 0)), [on.as_str()], "before the list was read whole");
    world.tell(Event::Discovered(vec![Discovery::Whole]));
    world.run_ms(DRAIN_MS / 2);
    assert_ne!(world.where_runs(task(1, 0, 0)), [on.as_str()]);
}

#[test]
fn a_new_owner_gives_workers_the_time_to_come_back_after_trouble_of_the_store() {
    let (mut world, on) = running(2, lasting(1));
    world.worker(&on).gone = true;
    world.take_over(2, true);
    world.trouble_store();
    world.tell(Event::Discovered(vec![Discovery::Whole]));
    world.run_ms(1_900);
    world.relist(&on);
    world.run_ms(5_000);
    assert_eq!(world.starts.len(), 1, "its entry is back");
}

#[test]
fn a_worker_that_does_not_reach_the_store_and_answers_keeps_what_it_runs() {
    let (mut world, on) = running(2, lasting(1));
    world.trouble_store();
    // The store's trouble ended before the last heartbeat.
    world.run_ms(5_000);
    world.lapse(&on);
    world.run_ms(20_000);
    assert_eq!(world.starts.len(), 1, "its worker serves on");
    world.submit(2, job(vec![step(4)]));
    world.run_until("the other job completes", |world| world.state(2) == Some(JobState::Completed));
    let new = world.starts.iter().filter(|(_, task, ..)| task.job == JobId(2));
    assert!(new.into_iter().all(|(.., worker)| *worker != on), "it gets new work");
    world.relist(&on);
    world.run_ms(1_000);
    assert_eq!(world.where_runs(task(1, 0, 0)), [on.as_str()]);
}

#[test]
fn an_entry_withdrawn_in_trouble_of_the_store_is_in_doubt_as_well() {
    let (mut world, on) = running(2, lasting(1));
    world.trouble_store();
    world.unlist(&on);
    world.run_ms(1_900);
    assert_eq!(world.starts.len(), 1);
    world.run_ms(1_500);
    assert_eq!(world.starts.len(), 2, "it left");
}
