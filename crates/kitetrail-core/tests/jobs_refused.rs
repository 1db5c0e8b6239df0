//! Records that the store refuses as malformed or too large, for a while or always, on virtual time.
//!
//! The simulated fleet panics if an end of a run is acknowledged that is not stored, or if a task is
//! started after its end was acknowledged.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use fleet::{SimulatedFleet, job, step, task};
use kitetrail_core::{
    Time,
    jobs::{
        EndCause, JobId, JobSpec, JobState, LogEntry, Outcome, Record, RecordSubject, StepSpec,
    },
};

/// Returns whether a record is the progress of job 1 while it is open.
fn is_open_progress(record: &Record) -> bool {
    matches!(record, Record::Progress(progress) if progress.id == JobId(1) && progress.outcome == Outcome::Open)
}

/// Returns whether a record is the outcome of job 1.
fn is_outcome(record: &Record) -> bool {
    matches!(record, Record::Progress(progress) if progress.id == JobId(1) && progress.outcome != Outcome::Open)
}

/// Returns whether a record is about job 1 or its progress.
fn is_about_job(record: &Record) -> bool {
    record.subject() == RecordSubject::Job(JobId(1))
}

/// Returns whether a record says that a task is about to start.
fn is_recorded_start(record: &Record) -> bool {
    let Record::Progress(progress) = record else { return false };
    let mut steps = progress.occurrences.values().flat_map(|occurrence| &occurrence.steps);
    steps.any(|step| step.crashes.values().any(|crashes| crashes.begun.is_some()))
}

/// Returns a job of steps with two tasks each, which run one after the other and take a second each.
fn chain(steps: u32) -> JobSpec {
    let follows = |number: u32| StepSpec {
        depends_on: number.checked_sub(1).into_iter().collect(),
        ..step(2)
    };
    job((0..steps).map(follows).collect())
}

/// Returns why a job ended, `None` if it has not.
fn end_cause(fleet: &SimulatedFleet, id: u64) -> Option<EndCause> {
    fleet.log_entries.iter().find_map(|(_, entry)| match entry {
        LogEntry::JobEnded { job, cause, .. } if *job == JobId(id) => Some(*cause),
        _ => None,
    })
}

/// Returns the times at which records of a job were refused.
fn refusals(fleet: &SimulatedFleet) -> Vec<Time> {
    let is_refused = |entry: &LogEntry| matches!(entry, LogEntry::RecordRefused { .. });
    fleet.log_entries.iter().filter(|(_, entry)| is_refused(entry)).map(|(at, _)| *at).collect()
}

/// Guards against a job that failed at the first refusal, by a store that takes the same row a second later.
#[test]
fn a_job_whose_progress_is_refused_for_a_while_completes() {
    for refused_ms in [10, 500, 2_000, 6_000] {
        let mut fleet = SimulatedFleet::new(2);
        fleet.submit(1, chain(12));
        fleet.advance_until("its tasks run", |fleet| fleet.starts.len() == 2);
        fleet.refuses_record = is_open_progress;
        fleet.advance_until("progress is refused", |fleet| !refusals(fleet).is_empty());
        fleet.advance_ms(refused_ms);
        fleet.refuses_record = |_| false;
        let is_over = |fleet: &SimulatedFleet| end_cause(fleet, 1).is_some();
        fleet.advance_until("the job ends", is_over);
        assert_eq!(end_cause(&fleet, 1), Some(EndCause::Completed), "refused for {refused_ms} ms");
        fleet.advance_ms(500);
        assert_eq!(fleet.state(1), Some(JobState::Completed));
        assert_eq!(fleet.starts.len(), 24, "each task ran once");
    }
}

#[test]
fn ends_that_change_refused_progress_are_reported_to_the_next_owner() {
    for lost_after_ms in [100, 900, 2_500, 5_000] {
        let mut fleet = SimulatedFleet::new(2);
        fleet.submit(1, chain(12));
        fleet.advance_until("its tasks run", |fleet| fleet.starts.len() == 2);
        fleet.refuses_record = is_open_progress;
        fleet.advance_until("progress is refused", |fleet| !refusals(fleet).is_empty());
        fleet.advance_ms(lost_after_ms);
        fleet.refuses_record = |_| false;
        fleet.take_over(2, true);
        fleet.advance_until("the job completes", |fleet| {
            fleet.state(1) == Some(JobState::Completed)
        });
        assert_eq!(fleet.starts.len(), 24, "lost after {lost_after_ms} ms: each task ran once");
    }
}

#[test]
fn ends_of_other_jobs_are_acknowledged_once_refused_progress_is_stored() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.submit(1, chain(12));
    fleet.advance_until("its tasks run", |fleet| fleet.starts.len() == 2);
    fleet.refuses_record = is_open_progress;
    fleet.advance_until("progress is refused", |fleet| !refusals(fleet).is_empty());
    fleet.submit(2, chain(2));
    fleet.advance_until("the other job completes", |fleet| {
        fleet.state(2) == Some(JobState::Completed)
    });
    assert_eq!(end_cause(&fleet, 1), None, "the job continues");
    fleet.refuses_record = |_| false;
    fleet.advance_until("the job completes", |fleet| fleet.state(1) == Some(JobState::Completed));
    fleet.advance_ms(3_000);
    assert!(fleet.workers.values().all(|worker| worker.ended.is_empty()), "all are acknowledged");
}

#[test]
fn a_job_whose_progress_is_refused_for_good_fails_alone() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.refuses_record = is_open_progress;
    fleet.submit(1, chain(60));
    fleet.advance_until("progress is refused", |fleet| !refusals(fleet).is_empty());
    let refused_at = fleet.now;
    fleet.submit(2, chain(2));
    fleet.advance_until("the job has failed", |fleet| fleet.state(1) == Some(JobState::Failed));
    assert_eq!(end_cause(&fleet, 1), Some(EndCause::RecordRefused));
    let waited_ms = fleet.now.since(refused_at).as_millis();
    assert!((10_000..20_000).contains(&waited_ms), "failed after {waited_ms} ms");
    assert!(refusals(&fleet).len() <= 6, "each costs other jobs time: {:?}", refusals(&fleet));
    assert_eq!(fleet.state(2), Some(JobState::Completed));
    fleet.advance_ms(3_000);
    assert!(fleet.workers.values().all(|worker| worker.ended.is_empty()), "all are acknowledged");
    fleet.take_over(2, true);
    assert_eq!(fleet.state(1), Some(JobState::Failed));
}

#[test]
fn a_refused_outcome_is_written_again() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.submit(1, chain(1));
    fleet.advance_until("its tasks run", |fleet| fleet.starts.len() == 2);
    fleet.refuses_record = is_outcome;
    fleet.advance_until("the outcome is refused", |fleet| refusals(fleet).len() >= 2);
    assert_eq!(fleet.state(1), Some(JobState::Running), "shown before it is stored");
    fleet.refuses_record = |_| false;
    fleet.advance_until("the job completes", |fleet| fleet.state(1) == Some(JobState::Completed));
    assert_eq!(fleet.starts.len(), 2);
}

#[test]
fn a_caller_whose_cancellation_is_refused_is_answered_once_it_is_stored() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.submit(1, chain(2));
    fleet.advance_until("its tasks run", |fleet| fleet.starts.len() == 2);
    fleet.refuses_record = is_outcome;
    let cancellation = fleet.cancel(1);
    fleet.advance_ms(1_500);
    assert_eq!(fleet.answered_at(cancellation), None, "answered before it is stored");
    fleet.refuses_record = |_| false;
    fleet.advance_until("it is answered", |fleet| fleet.answered_at(cancellation).is_some());
    assert_eq!(fleet.state(1), Some(JobState::Cancelled));
}

#[test]
fn a_new_job_that_is_refused_is_not_accepted() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.refuses_record = is_about_job;
    let submission = fleet.submit(1, chain(1));
    fleet.advance_ms(3_000);
    assert_eq!(fleet.is_refused(submission), Some(true));
    assert_eq!(fleet.state(1), None);
    fleet.refuses_record = |_| false;
    let submission = fleet.submit(1, chain(1));
    fleet.advance_until("the job completes", |fleet| fleet.state(1) == Some(JobState::Completed));
    assert_eq!(fleet.is_refused(submission), Some(false));
    assert_eq!(fleet.starts.len(), 2);
}

#[test]
fn starts_that_must_be_stored_first_wait_for_refused_progress() {
    let mut fleet = SimulatedFleet::new(4);
    fleet.submit(1, job(vec![StepSpec { estimate_ms: 3_000, ..step(1) }]));
    fleet.advance_until("its task runs", |fleet| fleet.starts.len() == 1);
    let crashed = fleet.worker_of(task(1, 0, 0));
    fleet.crash(&crashed);
    fleet.refuses_record = is_recorded_start;
    fleet.advance_until("progress is refused", |fleet| !refusals(fleet).is_empty());
    fleet.advance_ms(300);
    assert_eq!(fleet.starts.len(), 1, "started without a record");
    fleet.refuses_record = |_| false;
    fleet.advance_until("the job completes", |fleet| fleet.state(1) == Some(JobState::Completed));
    assert_eq!(fleet.starts.len(), 2);
}
