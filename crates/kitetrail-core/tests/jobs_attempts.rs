//! Which ends count as attempts of a task, on virtual time: a job fails by those of its own runs only.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::{collections::BTreeSet, time::Duration};

use fleet::{CLOCK_ZERO_UNIX_MS, InFlight, SimulatedFleet, job, queue, step, task};
use kitetrail_core::jobs::{
    EndCause, Event, JobId, JobSpec, JobState, LogEntry, Outcome, QueueTerms, RunEnd, RunResult,
    Schedule, StepSpec, TaskName,
};

/// The number of failed runs that the queue allows.
const MAX_ATTEMPTS: usize = 3;

/// Returns a fleet on which each run of job 1 fails.
fn failing_fleet(workers: u32) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(workers);
    fleet.failing_jobs.insert(JobId(1));
    fleet
}

/// Returns why a job ended, `None` if it has not.
fn end_cause(fleet: &SimulatedFleet, id: u64) -> Option<EndCause> {
    fleet.log_entries.iter().find_map(|(_, entry)| match entry {
        LogEntry::JobEnded { job, cause, .. } if *job == JobId(id) => Some(*cause),
        _ => None,
    })
}

/// Returns whether a job failed by as many failed runs as the queue allows.
fn is_limit(cause: EndCause) -> bool {
    matches!(cause, EndCause::FailedRuns { failed_runs: 3, max_attempts: 3, .. })
}

/// Returns the number of runs of a task that were started.
fn runs_of(fleet: &SimulatedFleet, name: TaskName) -> usize {
    let runs = fleet.starts.iter().filter(|(_, started, ..)| *started == name);
    runs.map(|(_, _, run, _)| run).collect::<BTreeSet<_>>().len()
}

/// Returns the number of ends that workers list and that were not acknowledged to them.
fn unacknowledged(fleet: &SimulatedFleet) -> usize {
    fleet.workers.values().map(|worker| worker.ended.len()).sum()
}

/// Reports ends of runs of the first task of job 1, each in an answer of its own.
fn report_ends(fleet: &mut SimulatedFleet, runs: impl Iterator<Item = u32>, how: RunResult) {
    let worker = fleet.worker_of(task(1, 0, 0));
    fleet
        .advance_until("a poll waits there", |fleet| fleet.workers[&worker].current_poll.is_some());
    let (instance, ..) = fleet.workers[&worker].current_poll.unwrap();
    let incarnation = fleet.workers[&worker].entry.incarnation;
    for (number, run) in (1_000..).zip(runs) {
        let end = RunEnd { number, task: task(1, 0, 0), run, how, checkpoint: None };
        fleet.send_event(Event::LateReport { instance, incarnation, ended: vec![end] });
    }
}

#[test]
fn failed_runs_count_once_however_often_owners_are_lost() {
    for period_ms in [20, 30, 50, 80, 110, 130, 170, 250, 400, 900] {
        let mut fleet = failing_fleet(3);
        fleet.submit(1, job(vec![step(1)]));
        fleet.advance_until("the first run has failed", |fleet| unacknowledged(fleet) > 0);
        for epoch in 2..12 {
            fleet.advance_ms(period_ms);
            fleet.take_over(epoch, true);
        }
        fleet.advance_until("the job ends", |fleet| end_cause(fleet, 1).is_some());
        assert_eq!(runs_of(&fleet, task(1, 0, 0)), MAX_ATTEMPTS, "owners for {period_ms} ms each");
    }
}

#[test]
fn a_failed_run_that_is_stored_and_listed_to_each_owner_counts_once() {
    let mut fleet = failing_fleet(3);
    fleet.submit(1, job(vec![step(1)]));
    let is_stored = |fleet: &SimulatedFleet| {
        let parts = fleet.progress_of(JobId(1));
        let steps = parts.flat_map(|part| part.occurrences.values()).flat_map(|all| &all.steps);
        steps.into_iter().any(|step| !step.failed_runs.is_empty())
    };
    fleet.advance_until("the failed run is stored", is_stored);
    fleet.failing_jobs.clear();
    let worker = fleet.starts[0].3.clone();
    let listed = fleet.workers[&worker].ended.clone();
    assert!(!listed.is_empty(), "the end is not acknowledged yet");
    for epoch in 2..12 {
        fleet.worker(&worker).ended = listed.clone();
        fleet.take_over(epoch, true);
        fleet.advance_ms(60);
    }
    fleet.advance_until("the job ends", |fleet| end_cause(fleet, 1).is_some());
    assert_eq!(end_cause(&fleet, 1), Some(EndCause::Completed));
}

#[test]
fn an_end_that_is_reported_under_several_numbers_counts_once() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.task_duration_ms = Some(8_000);
    fleet.submit(1, job(vec![step(1)]));
    fleet.advance_until("the task runs", |fleet| fleet.starts.len() == 1);
    report_ends(&mut fleet, [107; 20].into_iter(), RunResult::Failed);
    assert_eq!(end_cause(&fleet, 1), None, "one failed run");
}

#[test]
fn runs_that_end_otherwise_than_failed_are_no_attempts() {
    for how in [RunResult::Stopped, RunResult::Lapsed, RunResult::Broken, RunResult::Alone] {
        let mut fleet = SimulatedFleet::new(2);
        fleet.submit(1, job(vec![step(1)]));
        fleet.advance_until("the task runs", |fleet| fleet.starts.len() == 1);
        report_ends(&mut fleet, 100..150, how);
        assert_eq!(end_cause(&fleet, 1), None, "{how:?}");
    }
}

/// Checks the test above: the same ends count if they are failed ones.
#[test]
fn failed_runs_that_are_reported_late_are_attempts() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.submit(1, job(vec![step(1)]));
    fleet.advance_until("the task runs", |fleet| fleet.starts.len() == 1);
    report_ends(&mut fleet, 100..103, RunResult::Failed);
    assert!(end_cause(&fleet, 1).is_some_and(is_limit), "{:?}", end_cause(&fleet, 1));
}

#[test]
fn failed_members_of_a_gang_count_as_one_attempt_for_each_run() {
    for takeovers in [false, true] {
        let mut fleet = failing_fleet(4);
        fleet.submit(1, job(vec![StepSpec { gang: true, ..step(5) }]));
        for epoch in (2..8).filter(|_| takeovers) {
            fleet.advance_ms(70);
            fleet.take_over(epoch, true);
        }
        fleet.advance_until("the job ends", |fleet| end_cause(fleet, 1).is_some());
        assert!(end_cause(&fleet, 1).is_some_and(is_limit), "{:?}", end_cause(&fleet, 1));
        for index in 0..5 {
            assert_eq!(runs_of(&fleet, task(1, 0, index)), MAX_ATTEMPTS, "takeovers: {takeovers}");
        }
    }
}

#[test]
fn tasks_of_a_step_do_not_share_their_attempts() {
    let mut fleet = SimulatedFleet::new(4);
    // Each of the first runs fails: two for each task.
    fleet.failing_jobs.insert(JobId(1));
    fleet.submit(1, job(vec![step(6)]));
    let two_runs =
        |fleet: &SimulatedFleet| (0..6).all(|index| runs_of(fleet, task(1, 0, index)) >= 2);
    fleet.advance_until("each task has begun its second run", two_runs);
    fleet.failing_jobs.clear();
    fleet.advance_until("the job ends", |fleet| end_cause(fleet, 1).is_some());
    assert_eq!(end_cause(&fleet, 1), Some(EndCause::Completed));
}

#[test]
fn occurrences_of_a_schedule_do_not_share_their_attempts() {
    let mut fleet = failing_fleet(3);
    let start_at_unix_ms = CLOCK_ZERO_UNIX_MS + fleet.now.as_ms() + 500;
    let schedule = Schedule { start_at_unix_ms, interval_ms: 20, count: 4 };
    fleet.submit(1, JobSpec { schedule: Some(schedule), ..job(vec![step(1)]) });
    let name = |occurrence| TaskName { occurrence, ..task(1, 0, 0) };
    fleet.advance_until("the second run of each has begun", |fleet| {
        (0..4).all(|occurrence| runs_of(fleet, name(occurrence)) >= 2)
    });
    fleet.take_over(2, true);
    fleet.failing_jobs.clear();
    fleet.advance_until("the job ends", |fleet| end_cause(fleet, 1).is_some());
    assert_eq!(end_cause(&fleet, 1), Some(EndCause::Completed));
    assert!(fleet.starts.len() >= 12, "two runs of each failed: {} starts", fleet.starts.len());
}

#[test]
fn long_running_tasks_have_no_limit_of_attempts() {
    let mut fleet = failing_fleet(3);
    fleet.submit(1, job(vec![StepSpec { long_running: true, ..step(2) }]));
    for epoch in 2..8 {
        fleet.advance_ms(3_000);
        fleet.take_over(epoch, true);
    }
    assert!(fleet.starts.len() > 20, "{} starts", fleet.starts.len());
    assert_eq!(end_cause(&fleet, 1), None);
    fleet.failing_jobs.clear();
    fleet.advance_until("both run", |fleet| {
        (0..2).all(|index| fleet.workers_running(task(1, 0, index)).len() == 1)
    });
}

#[test]
fn copies_of_a_task_fail_its_job_by_their_failed_runs_only() {
    let mut fleet = failing_fleet(4);
    fleet.submit(1, job(vec![StepSpec { copies_allowed: true, ..step(2) }]));
    fleet.advance_until("the job ends", |fleet| end_cause(fleet, 1).is_some());
    let Some(EndCause::FailedRuns { task: name, failed_runs, .. }) = end_cause(&fleet, 1) else {
        panic!("{:?}", end_cause(&fleet, 1));
    };
    assert_eq!(failed_runs as usize, MAX_ATTEMPTS);
    assert!(runs_of(&fleet, name) >= MAX_ATTEMPTS);
}

#[test]
fn a_failure_that_is_not_stored_is_neither_shown_nor_restored_by_the_next_owner() {
    let mut fleet = failing_fleet(3);
    fleet.submit(1, job(vec![step(1)]));
    fleet.advance_until("the second run has begun", |fleet| fleet.starts.len() == 2);
    fleet.store_down = true;
    fleet
        .advance_until("the owner takes the job for failed", |fleet| end_cause(fleet, 1).is_some());
    for _ in 0..200 {
        fleet.advance_ms(10);
        assert_eq!(fleet.state(1), Some(JobState::Running), "shown before it is stored");
    }
    // The ends are lost with their workers, so that the next owner knows of less than three.
    let stored = fleet.progress.clone();
    fleet.workers.values_mut().for_each(|worker| worker.ended.clear());
    fleet.failing_jobs.clear();
    fleet.store_down = false;
    fleet.log_entries.clear();
    fleet.take_over(2, true);
    assert_eq!(fleet.state(1), Some(JobState::Running), "{stored:?}");
    fleet.advance_until("the job ends", |fleet| end_cause(fleet, 1).is_some());
    assert_eq!(end_cause(&fleet, 1), Some(EndCause::Completed));
}

/// Returns the queue with another number of attempts.
fn allowing(max_attempts: u32) -> QueueTerms {
    QueueTerms { max_attempts, ..queue() }
}

/// Returns the number of runs after which a job fails that was submitted under some terms, while others come into force once
/// its first run has begun.
fn attempts_when_changed(submitted: u32, in_force: u32) -> usize {
    let mut fleet = failing_fleet(3);
    fleet.send_event(Event::QueuesChanged(vec![allowing(submitted)]));
    fleet.submit_to(allowing(submitted), 1, job(vec![step(1)]));
    fleet.advance_until("the first run has begun", |fleet| fleet.starts.len() == 1);
    fleet.send_event(Event::QueuesChanged(vec![allowing(in_force)]));
    fleet.advance_until("the job ends", |fleet| end_cause(fleet, 1).is_some());
    runs_of(&fleet, task(1, 0, 0))
}

#[test]
fn the_number_of_attempts_in_force_counts_for_open_jobs() {
    assert_eq!(attempts_when_changed(2, 3), 3, "raised");
    assert_eq!(attempts_when_changed(3, 2), 2, "lowered");
}

#[test]
fn a_queue_that_is_removed_ends_none_of_its_jobs() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.send_event(Event::QueuesChanged(vec![queue()]));
    fleet.submit(1, job(vec![step(2), StepSpec { depends_on: vec![0], ..step(2) }]));
    fleet.advance_until("its tasks run", |fleet| fleet.starts.len() == 2);
    fleet.send_event(Event::QueuesChanged(Vec::new()));
    fleet.take_over_with(2, true, Event::QueuesChanged(Vec::new()));
    fleet.advance_until("the job ends", |fleet| end_cause(fleet, 1).is_some());
    assert_eq!(end_cause(&fleet, 1), Some(EndCause::Completed));
}

/// Returns the queue with another number of attempts, as of a version of the configuration.
fn allowing_as_of(config_version: u64, max_attempts: u32) -> QueueTerms {
    QueueTerms { config_version, ..allowing(max_attempts) }
}

/// Guards against a job that failed by the attempts of an older configuration, as the box that accepted it had that one,
/// although the owner knew the newer one.
#[test]
fn a_job_accepted_by_a_box_with_an_older_configuration_has_the_attempts_in_force() {
    let mut fleet = failing_fleet(3);
    fleet.send_event(Event::QueuesChanged(vec![allowing_as_of(7, 3)]));
    fleet.submit_to(allowing_as_of(6, 2), 1, job(vec![step(1)]));
    fleet.advance_until("the job ends", |fleet| end_cause(fleet, 1).is_some());
    assert_eq!(runs_of(&fleet, task(1, 0, 0)), 3);
}

#[test]
fn a_job_accepted_by_a_box_with_a_newer_configuration_keeps_its_attempts() {
    let mut fleet = failing_fleet(3);
    fleet.send_event(Event::QueuesChanged(vec![allowing_as_of(6, 2)]));
    fleet.submit_to(allowing_as_of(7, 3), 1, job(vec![step(1)]));
    fleet.advance_until("the first run has begun", |fleet| fleet.starts.len() == 1);
    // The next owner has the older configuration, too.
    fleet.take_over_with(2, true, Event::QueuesChanged(vec![allowing_as_of(6, 2)]));
    fleet.advance_until("the job ends", |fleet| end_cause(fleet, 1).is_some());
    assert_eq!(runs_of(&fleet, task(1, 0, 0)), 3);
}

#[test]
fn a_replaced_owner_shows_no_failure_that_is_not_stored() {
    let answered_after = Duration::from_millis(100);
    for in_flight in [InFlight::Lost, InFlight::Committed(answered_after)] {
        let mut fleet = failing_fleet(3);
        fleet.submit(1, job(vec![step(1)]));
        fleet.advance_until("its owner takes the job for failed", |fleet| {
            end_cause(fleet, 1).is_some()
        });
        fleet.failing_jobs.clear();
        // The next owner learns of no end that is not stored.
        fleet.workers.values_mut().for_each(|worker| worker.ended.clear());
        fleet.take_over_beside_predecessor(2, in_flight, &[]);
        let is_stored = fleet.progress_of(JobId(1)).any(|part| part.outcome == Outcome::Failed);
        assert_eq!(is_stored, matches!(in_flight, InFlight::Committed(_)));
        let mut was_shown = false;
        while let Some(predecessor) = &fleet.predecessor {
            was_shown |= predecessor.state(1) == Some(JobState::Failed);
            fleet.advance_ms(10);
        }
        assert_eq!(was_shown, is_stored, "{in_flight:?}");
        let expected = if is_stored { JobState::Failed } else { JobState::Completed };
        fleet.advance_until("the next owner agrees", |fleet| fleet.state(1) == Some(expected));
    }
}
