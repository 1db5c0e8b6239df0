//! What of jobs outlasts every box, and no more than that, on virtual time.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::time::Duration;

use fleet::{DAY_UNIX_MS, World, job, step};
use kitetrail_core::jobs::{InvalidJob, JobId, JobSpec, JobState, Schedule, StepSpec};

#[test]
fn of_a_job_that_ended_no_more_is_kept_than_how() {
    let mut world = World::new(2);
    world.submit(1, job(vec![step(2)]));
    world.run_until("it completes", |world| world.state(1) == Some(JobState::Completed));
    assert!(world.jobs.is_empty() && world.progress.len() == 1, "its steps are not kept any more");
    world.take_over(2, true);
    assert_eq!(world.state(1), Some(JobState::Completed));
    let again = world.submit(1, job(vec![step(2)]));
    world.run_ms(2_000);
    assert!(world.answered(again).is_some(), "accepted, as the same job");
    assert_eq!(world.starts.len(), 2, "the same id is one job");
    world.run_ms(120_000);
    assert_eq!(world.state(1), None, "remembered no longer than promised");
    assert!(world.progress.is_empty());
}

#[test]
fn a_job_handed_in_as_it_is_forgotten_is_kept() {
    let mut world = World::new(2);
    world.submit(1, job(vec![step(1)]));
    world.run_until("it completes", |world| world.state(1) == Some(JobState::Completed));
    world.run_ms(100_000);
    world.run_until("it is about to be forgotten", |world| world.state(1).is_none());
    world.submit(1, job(vec![step(1)]));
    world.run_until("it runs anew", |world| world.state(1) == Some(JobState::Running));
    world.take_over(2, true);
    assert_eq!(world.state(1), Some(JobState::Queued), "not by its earlier end");
    world.run_until("it completes", |world| world.state(1) == Some(JobState::Completed));
}

#[test]
fn times_of_a_schedule_that_are_done_take_no_room() {
    let mut world = World::new(2);
    let schedule = Schedule { start_at_unix_ms: DAY_UNIX_MS + 2_000, interval_ms: 3_000, count: 6 };
    world.submit(1, JobSpec { schedule: Some(schedule), ..job(vec![step(1)]) });
    world.run_until("four times are done", |world| world.starts.len() == 5);
    world.run_ms(300);
    let kept = &world.progress[&JobId(1)];
    assert_eq!(kept.done_before, 4);
    assert!(kept.occurrences.len() <= 1, "{:?}", kept.occurrences);
    world.take_over(2, true);
    world.run_until("it completes", |world| world.state(1) == Some(JobState::Completed));
    assert_eq!(world.starts.len(), 6, "each time ran once");
}

/// The store refuses a batch of more entries than it takes, and the owner would send it again for ever.
#[test]
fn a_batch_of_jobs_that_ended_while_their_progress_waited_is_no_larger_than_others() {
    let mut world = World::new(200);
    world.store_takes = Duration::from_millis(600);
    let second = StepSpec { depends_on: vec![0], estimate_ms: 200, ..step(1) };
    for id in 1..=200 {
        world.submit(id, job(vec![StepSpec { estimate_ms: 200, ..step(1) }, second.clone()]));
    }
    world.run_until("all complete", |world| {
        (1..=200).all(|id| world.state(id) == Some(JobState::Completed))
    });
}

#[test]
fn callers_who_cancel_are_answered_while_a_slow_store_is_behind() {
    // A batch holds 90 entries and takes 0.3 s; 200 jobs each have a task that ends about every 0.25 s.
    let mut world = World::new(60);
    world.work_ms = Some(250);
    world.store_takes = Duration::from_millis(300);
    let after = |number: u32| number.checked_sub(1).into_iter().collect();
    let steps = (0..40).map(|number| StepSpec { depends_on: after(number), ..step(1) });
    for id in 1..=200 {
        world.submit(id, job(steps.clone().collect()));
    }
    world.run_ms(4_000);
    let requests = [3, 100, 197, 200].map(|id| (id, world.now, world.cancel(id)));
    world.run_ms(5_000);
    for (id, at, request) in requests {
        let answered = world.answered(request).map(|answered| answered.since(at));
        // Boxes wait 1.3 s for the owner. With lower ids first, 100 has no answer in 5 s.
        let in_time = answered.is_some_and(|waited| waited <= Duration::from_millis(1_300));
        assert!(in_time, "job {id}: answered after {answered:?}");
    }
}

#[test]
fn callers_who_cancel_do_not_wait_for_the_news_of_all_other_jobs() {
    // News of 450 jobs fill five batches, 0.3 s each: behind them a cancel takes 1.8 s.
    let mut world = World::new(120);
    world.work_ms = Some(250);
    let after = |number: u32| number.checked_sub(1).into_iter().collect();
    let steps = (0..60).map(|number| StepSpec { depends_on: after(number), ..step(1) });
    for id in 1..=450 {
        world.submit(id, job(steps.clone().collect()));
        world.run_ms(10);
    }
    world.store_takes = Duration::from_millis(300);
    world.run_ms(3_000);
    let requests = [3, 100, 330, 450].map(|id| (id, world.now, world.cancel(id)));
    world.run_ms(5_000);
    for (id, at, request) in requests {
        let answered = world.answered(request).map(|answered| answered.since(at));
        let in_time = answered.is_some_and(|waited| waited <= Duration::from_millis(1_300));
        assert!(in_time, "job {id}: answered after {answered:?}");
    }
}

#[test]
fn a_job_that_no_row_holds_is_told_so() {
    let long = |on: Vec<u32>| StepSpec { depends_on: on, ..step(1) };
    let many = (0..256).map(|number| long((0..number).collect())).collect();
    assert!(matches!(job(many).check(), Err(InvalidJob::TooLong(_))));
    let schedule = Schedule { start_at_unix_ms: 0, interval_ms: 1, count: 1_000 };
    let often = JobSpec { schedule: Some(schedule), ..job(vec![step(1_000)]) };
    assert_eq!(often.check(), Err(InvalidJob::TooManyScheduledTasks(1_000_000)));
}

#[test]
fn a_job_cancelled_before_it_was_kept_is_accepted_only_with_its_end() {
    let mut world = World::new(1);
    world.store_down = true;
    world.submit(100, job(vec![step(1)]));
    world.run_ms(30);
    // More than one batch holds, the last of them cancelled at once.
    for id in 1..=45 {
        world.submit(id, job(vec![step(1)]));
        world.cancel(id);
    }
    world.store_down = false;
    // The world itself panics if one is accepted of which nothing is kept.
    world.run_until("the last is cancelled", |world| world.state(45) == Some(JobState::Cancelled));
    assert_eq!(world.progress.len(), 45);
}

#[test]
fn progress_of_a_job_whose_steps_cannot_be_read_is_no_end() {
    let mut world = World::new(2);
    let steps = job(vec![step(2), StepSpec { depends_on: vec![0], ..step(1) }]);
    world.submit(1, steps.clone());
    world.run_until("the first step is done", |world| world.starts.len() == 3);
    world.run_ms(300);
    world.jobs.clear();
    world.take_over(2, true);
    assert_eq!(world.state(1), None, "neither running nor ended, as far as can be told");
    let again = world.submit(1, steps);
    world.run_ms(100);
    assert!(world.answered(again).is_some() && world.jobs.contains_key(&JobId(1)), "kept anew");
}

#[test]
fn what_is_kept_of_silent_workers_does_not_wait_for_a_burst_of_jobs() {
    let mut world = World::new(40);
    world.store_takes = Duration::from_millis(100);
    world.run_ms(1_000);
    let silent = (0..30).map(|no| format!("w{no}")).collect::<Vec<_>>();
    for id in &silent {
        world.worker(id).crash();
    }
    // More jobs than the store takes. The owner notices the silence at the next question, after 5 s on idle workers.
    for id in 0..3_500 {
        world.submit(100 + id, job(vec![step(1)]));
        if id % 5 == 0 {
            world.run_ms(10);
        }
    }
    let not_leased =
        |id: &&String| world.lives.get(id.as_str()).is_some_and(|life| life.not_leased);
    assert_eq!(silent.iter().filter(not_leased).count(), 30);
}
