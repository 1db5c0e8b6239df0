//! What is persisted of jobs, and that it stays small, on virtual time.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::time::Duration;

use fleet::{CLOCK_ZERO_UNIX_MS, SimulatedFleet, job, step};
use kitetrail_core::jobs::{InvalidJob, JobId, JobSpec, JobState, ProgressKey, Schedule, StepSpec};

#[test]
fn only_the_outcome_of_an_ended_job_is_persisted() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.submit(1, job(vec![step(2)]));
    fleet.advance_until("the job completes", |fleet| fleet.state(1) == Some(JobState::Completed));
    assert!(
        fleet.jobs.is_empty() && fleet.progress.len() == 1,
        "the steps are no longer persisted"
    );
    fleet.take_over(2, true);
    assert_eq!(fleet.state(1), Some(JobState::Completed));
    let resubmission = fleet.submit(1, job(vec![step(2)]));
    fleet.advance_ms(2_000);
    assert!(
        fleet.answered_at(resubmission).is_some(),
        "the second submission is accepted as the same job"
    );
    assert_eq!(fleet.starts.len(), 2, "the same id must not run twice");
    fleet.advance_ms(120_000);
    assert_eq!(fleet.state(1), None, "the state is dropped after the retention time");
    assert!(fleet.progress.is_empty());
}

#[test]
fn a_job_resubmitted_when_its_state_expires_is_persisted() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.submit(1, job(vec![step(1)]));
    fleet.advance_until("the job completes", |fleet| fleet.state(1) == Some(JobState::Completed));
    fleet.advance_ms(100_000);
    fleet.advance_until("the state expires", |fleet| fleet.state(1).is_none());
    fleet.submit(1, job(vec![step(1)]));
    fleet.advance_until("the resubmitted job runs", |fleet| {
        fleet.state(1) == Some(JobState::Running)
    });
    fleet.take_over(2, true);
    assert_eq!(
        fleet.state(1),
        Some(JobState::Queued),
        "the earlier end must not count for the resubmitted job"
    );
    fleet.advance_until("the job completes", |fleet| fleet.state(1) == Some(JobState::Completed));
}

#[test]
fn completed_occurrences_of_a_schedule_are_not_persisted_one_by_one() {
    let mut fleet = SimulatedFleet::new(2);
    let schedule =
        Schedule { start_at_unix_ms: CLOCK_ZERO_UNIX_MS + 2_000, interval_ms: 3_000, count: 6 };
    fleet.submit(1, JobSpec { schedule: Some(schedule), ..job(vec![step(1)]) });
    fleet.advance_until("four occurrences are done", |fleet| fleet.starts.len() == 5);
    fleet.advance_ms(300);
    let stored = &fleet.progress[&ProgressKey::first(JobId(1))];
    assert_eq!(stored.done_before, 4);
    assert!(stored.occurrences.len() <= 1, "{:?}", stored.occurrences);
    fleet.take_over(2, true);
    fleet.advance_until("the job completes", |fleet| fleet.state(1) == Some(JobState::Completed));
    assert_eq!(fleet.starts.len(), 6, "each occurrence ran once");
}

/// The store rejects a batch with more entries than its limit, and the owner would resend it
/// forever.
#[test]
fn a_batch_of_jobs_that_end_while_their_progress_waits_stays_within_the_store_limit() {
    let mut fleet = SimulatedFleet::new(200);
    fleet.store_latency = Duration::from_millis(600);
    let second = StepSpec { depends_on: vec![0], estimate_ms: 200, ..step(1) };
    for id in 1..=200 {
        fleet.submit(id, job(vec![StepSpec { estimate_ms: 200, ..step(1) }, second.clone()]));
    }
    fleet.advance_until("all jobs complete", |fleet| {
        (1..=200).all(|id| fleet.state(id) == Some(JobState::Completed))
    });
}

#[test]
fn callers_who_cancel_are_answered_in_time_while_the_store_is_slow() {
    // A batch holds 90 entries and takes 0.3 s. 200 jobs each have a task that ends about every
    // 0.25 s.
    let mut fleet = SimulatedFleet::new(60);
    fleet.task_duration_ms = Some(250);
    fleet.store_latency = Duration::from_millis(300);
    let predecessor = |number: u32| number.checked_sub(1).into_iter().collect();
    let steps = (0..40).map(|number| StepSpec { depends_on: predecessor(number), ..step(1) });
    for id in 1..=200 {
        fleet.submit(id, job(steps.clone().collect()));
    }
    fleet.advance_ms(4_000);
    let requests = [3, 100, 197, 200].map(|id| (id, fleet.now, fleet.cancel(id)));
    fleet.advance_ms(5_000);
    for (id, cancelled_at, request) in requests {
        let waited = fleet.answered_at(request).map(|answered| answered.since(cancelled_at));
        // Boxes wait 1.3 s for the owner. If lower ids went first, job 100 would get no answer
        // within 5 s.
        let in_time = waited.is_some_and(|waited| waited <= Duration::from_millis(1_300));
        assert!(in_time, "job {id}: answered after {waited:?}");
    }
}

#[test]
fn callers_who_cancel_do_not_wait_for_the_progress_of_other_jobs() {
    // The progress of 450 jobs fills five batches of 0.3 s each. Queued behind them, a cancellation
    // takes 1.8 s.
    let mut fleet = SimulatedFleet::new(120);
    fleet.task_duration_ms = Some(250);
    let predecessor = |number: u32| number.checked_sub(1).into_iter().collect();
    let steps = (0..60).map(|number| StepSpec { depends_on: predecessor(number), ..step(1) });
    for id in 1..=450 {
        fleet.submit(id, job(steps.clone().collect()));
        fleet.advance_ms(10);
    }
    fleet.store_latency = Duration::from_millis(300);
    fleet.advance_ms(3_000);
    let requests = [3, 100, 330, 450].map(|id| (id, fleet.now, fleet.cancel(id)));
    fleet.advance_ms(5_000);
    for (id, cancelled_at, request) in requests {
        let waited = fleet.answered_at(request).map(|answered| answered.since(cancelled_at));
        let in_time = waited.is_some_and(|waited| waited <= Duration::from_millis(1_300));
        assert!(in_time, "job {id}: answered after {waited:?}");
    }
}

#[test]
fn a_job_too_large_for_a_row_is_rejected() {
    let step_after = |depends_on: Vec<u32>| StepSpec { depends_on, ..step(1) };
    let many = (0..256).map(|number| step_after((0..number).collect())).collect();
    assert!(matches!(job(many).check(), Err(InvalidJob::TooLong(_))));
    let schedule = Schedule { start_at_unix_ms: 0, interval_ms: 1, count: 1_000 };
    let frequent = JobSpec { schedule: Some(schedule), ..job(vec![step(1_000)]) };
    assert_eq!(frequent.check(), Err(InvalidJob::TooManyScheduledTasks(1_000_000)));
}

#[test]
fn a_job_cancelled_before_it_is_persisted_is_accepted_only_with_its_end() {
    let mut fleet = SimulatedFleet::new(1);
    fleet.store_down = true;
    fleet.submit(100, job(vec![step(1)]));
    fleet.advance_ms(30);
    // More jobs than one batch holds. The last ones are cancelled at once.
    for id in 1..=45 {
        fleet.submit(id, job(vec![step(1)]));
        fleet.cancel(id);
    }
    fleet.store_down = false;
    // The simulated fleet panics if a job is accepted of which nothing is persisted.
    fleet.advance_until("the last job is cancelled", |fleet| {
        fleet.state(45) == Some(JobState::Cancelled)
    });
    assert_eq!(fleet.progress.len(), 45);
}

#[test]
fn progress_without_a_readable_specification_does_not_end_a_job() {
    let mut fleet = SimulatedFleet::new(2);
    let steps = job(vec![step(2), StepSpec { depends_on: vec![0], ..step(1) }]);
    fleet.submit(1, steps.clone());
    fleet.advance_until("the first step is done", |fleet| fleet.starts.len() == 3);
    fleet.advance_ms(300);
    fleet.jobs.clear();
    fleet.take_over(2, true);
    assert_eq!(fleet.state(1), None, "the job is reported neither as running nor as ended");
    let resubmission = fleet.submit(1, steps);
    fleet.advance_ms(100);
    assert!(
        fleet.answered_at(resubmission).is_some() && fleet.jobs.contains_key(&JobId(1)),
        "the job is persisted again"
    );
}

#[test]
fn records_of_silent_workers_do_not_wait_for_a_burst_of_jobs() {
    let mut fleet = SimulatedFleet::new(40);
    fleet.store_latency = Duration::from_millis(100);
    fleet.advance_ms(1_000);
    let silent = (0..30).map(|number| format!("w{number}")).collect::<Vec<_>>();
    for id in &silent {
        fleet.worker(id).crash();
    }
    // More jobs than the store can take. The owner notices the silence at the next poll, after 5 s
    // on idle workers.
    for id in 0..3_500 {
        fleet.submit(100 + id, job(vec![step(1)]));
        if id % 5 == 0 {
            fleet.advance_ms(10);
        }
    }
    let not_leased =
        |id: &&String| fleet.instances.get(id.as_str()).is_some_and(|instance| instance.not_leased);
    assert_eq!(silent.iter().filter(not_leased).count(), 30);
}
