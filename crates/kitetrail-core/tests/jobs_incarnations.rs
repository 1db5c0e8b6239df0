//! Workers that crash and start again: how the scheduler decides which of two instances is over.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use fleet::{SimulatedFleet, job, step, task};
use kitetrail_core::{
    Resources,
    jobs::{Event, JobState, Report, StepSpec, WorkerEntry, WorkerListChange},
};

/// Returns a step whose tasks take a whole worker each.
fn whole_worker_step(count: u32) -> StepSpec {
    StepSpec { size: Resources::new(4_000, 512, 0), ..step(count) }
}

#[test]
fn late_entry_of_an_earlier_instance_does_not_end_the_current_one() {
    let mut world = SimulatedFleet::new(2);
    world.task_duration_ms = Some(5_000);
    let stale = world.replace_instance("w0", "w0-again");
    world.report_all_listed();
    world.advance_ms(300);
    world.submit(1, job(vec![whole_worker_step(2)]));
    world.advance_until("both workers are taken", |world| world.starts.len() == 2);
    // The earlier instance's write reaches the store only now. The simulated fleet panics if two
    // runs overlap.
    world.report_listed(stale);
    world.advance_until("the job completes", |world| world.state(1) == Some(JobState::Completed));
    assert_eq!(world.starts.len(), 2, "a running task was restarted");
}

#[test]
fn worker_gets_work_after_a_late_entry_of_its_earlier_instance() {
    let mut world = SimulatedFleet::new(1);
    let stale = world.replace_instance("w0", "w0-again");
    world.report_all_listed();
    world.advance_ms(300);
    world.report_listed(stale);
    world.advance_ms(300);
    world.submit(1, job(vec![step(1)]));
    world.advance_until("the job completes", |world| world.state(1) == Some(JobState::Completed));
}

#[test]
fn tasks_of_an_earlier_instance_restart_once_the_current_one_answers() {
    let mut world = SimulatedFleet::new(2);
    world.task_duration_ms = Some(30_000);
    world.submit(1, job(vec![step(1)]));
    world.advance_ms(500);
    let crashed = world.worker_of(task(1, 0, 0));
    world.replace_instance(&crashed, "again");
    let crashed_at = world.now;
    world.report_all_listed();
    world.advance_until("the task starts again", |world| world.starts.len() == 2);
    assert!(
        world.now.since(crashed_at).as_millis() < 1_500,
        "waited for the lease of an instance that is over"
    );
}

#[test]
fn entry_without_answers_does_not_end_another_instance() {
    let mut world = SimulatedFleet::new(2);
    world.task_duration_ms = Some(20_000);
    world.submit(1, job(vec![step(1)]));
    world.advance_ms(500);
    let worker = world.worker_of(task(1, 0, 0));
    // A late entry of an instance that ended long ago: no worker answers under its id.
    let mut entry = world.worker(&worker).entry.clone();
    entry.id = "long-over".into();
    world.report_listed(entry);
    world.advance_ms(3_000);
    assert_eq!(world.starts.len(), 1, "the task was restarted although its worker answers");
}

#[test]
fn new_owner_keeps_the_answering_one_of_two_listed_instances() {
    for stale_first in [true, false] {
        let mut world = SimulatedFleet::new(2);
        world.task_duration_ms = Some(8_000);
        let stale = world.replace_instance("w0", "w0-again");
        world.report_all_listed();
        world.advance_ms(300);
        world.submit(1, job(vec![whole_worker_step(2)]));
        world.advance_until("both workers are taken", |world| world.starts.len() == 2);
        let mut changes = vec![WorkerListChange::Listed(Box::new(stale))];
        let current = world.worker("w0-again").entry.clone();
        changes.insert(usize::from(stale_first), WorkerListChange::Listed(Box::new(current)));
        world.take_over(2, true);
        world.send_event(Event::WorkerListChanged(changes));
        world.advance_until("the job completes", |world| {
            world.state(1) == Some(JobState::Completed)
        });
        assert_eq!(
            world.starts.len(),
            2,
            "a running task was restarted, stale entry first: {stale_first}"
        );
    }
}

#[test]
fn late_answer_of_a_crashed_instance_does_not_end_the_next_one() {
    for restarted_first in [true, false] {
        let mut world = SimulatedFleet::new(1);
        world.task_duration_ms = Some(4_000);
        world.submit(1, job(vec![step(1)]));
        world.advance_ms(500);
        // The worker crashes while its answer is in transit.
        let (instance, poll, sent_at) = world.worker("w0").current_poll.take().unwrap();
        let report = Report {
            incarnation: None,
            clock_ms: world.now.as_ms(),
            running: vec![],
            ended: vec![],
        };
        world.advance_ms(50);
        world.replace_instance("w0", "w0-again");
        world.report_all_listed();
        if restarted_first {
            world.advance_until("the task runs again", |world| world.starts.len() == 2);
        }
        world.send_event(Event::PollAnswered { instance, poll, sent_at, answer: Ok(report) });
        world.advance_until("the job completes", |world| {
            world.state(1) == Some(JobState::Completed)
        });
        assert_eq!(
            world.starts.len(),
            2,
            "a second restart, task restarted before the answer: {restarted_first}"
        );
    }
}

#[test]
fn late_entry_does_not_revoke_that_a_worker_is_draining() {
    let mut world = SimulatedFleet::new(2);
    let ready = world.worker("w0").entry.clone();
    world.report_listed(WorkerEntry { draining: true, ..ready.clone() });
    // An earlier write reaches the list only now.
    world.report_listed(ready);
    world.submit(1, job(vec![step(6)]));
    world.advance_until("the job completes", |world| world.state(1) == Some(JobState::Completed));
    assert!(world.starts.iter().all(|(.., worker)| worker == "w1"), "{:?}", world.starts);
}
