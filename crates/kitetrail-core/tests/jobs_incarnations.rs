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
    let mut fleet = SimulatedFleet::new(2);
    fleet.task_duration_ms = Some(5_000);
    let stale = fleet.replace_instance("w0", "w0-again");
    fleet.report_all_listed();
    fleet.advance_ms(300);
    fleet.submit(1, job(vec![whole_worker_step(2)]));
    fleet.advance_until("both workers are taken", |fleet| fleet.starts.len() == 2);
    // The earlier instance's write reaches the store only now. The simulated fleet panics if two
    // runs overlap.
    fleet.report_listed(stale);
    fleet.advance_until("the job completes", |fleet| fleet.state(1) == Some(JobState::Completed));
    assert_eq!(fleet.starts.len(), 2, "a running task was restarted");
}

#[test]
fn worker_gets_work_after_a_late_entry_of_its_earlier_instance() {
    let mut fleet = SimulatedFleet::new(1);
    let stale = fleet.replace_instance("w0", "w0-again");
    fleet.report_all_listed();
    fleet.advance_ms(300);
    fleet.report_listed(stale);
    fleet.advance_ms(300);
    fleet.submit(1, job(vec![step(1)]));
    fleet.advance_until("the job completes", |fleet| fleet.state(1) == Some(JobState::Completed));
}

#[test]
fn tasks_of_an_earlier_instance_restart_once_the_current_one_answers() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.task_duration_ms = Some(30_000);
    fleet.submit(1, job(vec![step(1)]));
    fleet.advance_ms(500);
    let crashed = fleet.worker_of(task(1, 0, 0));
    fleet.replace_instance(&crashed, "again");
    let crashed_at = fleet.now;
    fleet.report_all_listed();
    fleet.advance_until("the task starts again", |fleet| fleet.starts.len() == 2);
    assert!(
        fleet.now.since(crashed_at).as_millis() < 1_500,
        "waited for the lease of an instance that is over"
    );
}

#[test]
fn entry_without_answers_does_not_end_another_instance() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.task_duration_ms = Some(20_000);
    fleet.submit(1, job(vec![step(1)]));
    fleet.advance_ms(500);
    let worker = fleet.worker_of(task(1, 0, 0));
    // A late entry of an instance that ended long ago: no worker answers under its id.
    let mut entry = fleet.worker(&worker).entry.clone();
    entry.id = "long-over".into();
    fleet.report_listed(entry);
    fleet.advance_ms(3_000);
    assert_eq!(fleet.starts.len(), 1, "the task was restarted although its worker answers");
}

#[test]
fn new_owner_keeps_the_answering_one_of_two_listed_instances() {
    for stale_first in [true, false] {
        let mut fleet = SimulatedFleet::new(2);
        fleet.task_duration_ms = Some(8_000);
        let stale = fleet.replace_instance("w0", "w0-again");
        fleet.report_all_listed();
        fleet.advance_ms(300);
        fleet.submit(1, job(vec![whole_worker_step(2)]));
        fleet.advance_until("both workers are taken", |fleet| fleet.starts.len() == 2);
        let mut changes = vec![WorkerListChange::Listed(Box::new(stale))];
        let current = fleet.worker("w0-again").entry.clone();
        changes.insert(usize::from(stale_first), WorkerListChange::Listed(Box::new(current)));
        fleet.take_over(2, true);
        fleet.send_event(Event::WorkerListChanged(changes));
        fleet.advance_until("the job completes", |fleet| {
            fleet.state(1) == Some(JobState::Completed)
        });
        assert_eq!(
            fleet.starts.len(),
            2,
            "a running task was restarted, stale entry first: {stale_first}"
        );
    }
}

#[test]
fn late_answer_of_a_crashed_instance_does_not_end_the_next_one() {
    for restarted_first in [true, false] {
        let mut fleet = SimulatedFleet::new(1);
        fleet.task_duration_ms = Some(4_000);
        fleet.submit(1, job(vec![step(1)]));
        fleet.advance_ms(500);
        // The worker crashes while its answer is in transit.
        let (instance, poll, sent_at) = fleet.worker("w0").current_poll.take().unwrap();
        let report = Report {
            incarnation: None,
            clock_ms: fleet.now.as_ms(),
            running: vec![],
            ended: vec![],
            lists_all_ends: true,
        };
        fleet.advance_ms(50);
        fleet.replace_instance("w0", "w0-again");
        fleet.report_all_listed();
        if restarted_first {
            fleet.advance_until("the task runs again", |fleet| fleet.starts.len() == 2);
        }
        fleet.send_event(Event::PollAnswered { instance, poll, sent_at, answer: Ok(report) });
        fleet.advance_until("the job completes", |fleet| {
            fleet.state(1) == Some(JobState::Completed)
        });
        assert_eq!(
            fleet.starts.len(),
            2,
            "a second restart, task restarted before the answer: {restarted_first}"
        );
    }
}

#[test]
fn late_entry_does_not_revoke_that_a_worker_is_draining() {
    let mut fleet = SimulatedFleet::new(2);
    let ready = fleet.worker("w0").entry.clone();
    fleet.report_listed(WorkerEntry { draining: true, ..ready.clone() });
    // An earlier write reaches the list only now.
    fleet.report_listed(ready);
    fleet.submit(1, job(vec![step(6)]));
    fleet.advance_until("the job completes", |fleet| fleet.state(1) == Some(JobState::Completed));
    assert!(fleet.starts.iter().all(|(.., worker)| worker == "w1"), "{:?}", fleet.starts);
}
