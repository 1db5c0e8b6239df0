//! Jobs of many tasks: their rows and batches stay within the limits of the store, on virtual time.
//!
//! The simulated fleet panics on a row or a batch that the store does not accept.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::{collections::BTreeMap, mem};

use fleet::{CLOCK_ZERO_UNIX_MS, FakeWorker, SimulatedFleet, job, step, task};
use kitetrail_core::{
    Resources, Time,
    jobs::{
        JobId, JobSpec, JobState, LoadPart, LoadParts, LogEntry, Schedule, StepProgress, StepSpec,
    },
};

/// The largest number of tasks of a job that a test uses. Jobs may have 10,000.
const TASKS: u32 = 8_000;

/// Returns a step of small tasks, many of which fit on one worker.
fn wide_step(count: u32) -> StepSpec {
    StepSpec { size: Resources::new(10, 1, 0), estimate_ms: 200, ..step(count) }
}

/// Returns the number of runs of each task that were started, at most and at least.
fn starts_per_task(fleet: &SimulatedFleet, job: u64) -> (usize, usize) {
    let mut counts = BTreeMap::<_, usize>::new();
    for (_, name, ..) in fleet.starts.iter().filter(|(_, name, ..)| name.job == JobId(job)) {
        *counts.entry(*name).or_default() += 1;
    }
    (counts.values().copied().max().unwrap_or(0), counts.values().copied().min().unwrap_or(0))
}

/// Returns a fleet that judges its workers by their runs.
fn fleet_that_judges_workers() -> SimulatedFleet {
    let parts = [LoadPart::WorkerHealth].into_iter().collect::<LoadParts>();
    SimulatedFleet::with_parts((0..12).map(FakeWorker::new), parts)
}

/// Returns the number of times that a worker got no new work because its runs failed.
fn blamed_workers(fleet: &SimulatedFleet) -> usize {
    let is_blamed = |(_, entry): &&(Time, LogEntry)| matches!(entry, LogEntry::Worker { state, .. } if *state == "quarantined: its runs fail");
    fleet.log_entries.iter().filter(is_blamed).count()
}

/// Guards against the row of a failing job that outgrew the store's limit, which every owner in turn lost the fleet over.
#[test]
fn a_wide_job_whose_runs_all_fail_leaves_other_jobs_alone() {
    let mut fleet = SimulatedFleet::new(40);
    fleet.failing_jobs.insert(JobId(1));
    fleet.submit(1, job(vec![wide_step(TASKS)]));
    fleet.advance_until("most tasks have run", |fleet| fleet.starts.len() >= TASKS as usize / 2);
    fleet.submit(2, job(vec![step(1)]));
    fleet.advance_until("the job has failed", |fleet| fleet.state(1) == Some(JobState::Failed));
    fleet.advance_until("the other job is done", |fleet| {
        fleet.state(2) == Some(JobState::Completed)
    });
}

#[test]
fn failed_runs_of_a_wide_job_count_for_later_owners() {
    let mut fleet = SimulatedFleet::new(40);
    fleet.failing_jobs.insert(JobId(1));
    fleet.submit(1, job(vec![wide_step(TASKS)]));
    for epoch in 2..6 {
        fleet.advance_ms(150);
        fleet.take_over(epoch, true);
    }
    fleet.advance_until("the job has failed", |fleet| fleet.state(1) == Some(JobState::Failed));
    let (most, _) = starts_per_task(&fleet, 1);
    assert!(most <= 3, "a task was started {most} times, the queue allows 3 failed runs");
}

/// Guards against failed runs that were forgotten after 64 others, so that each worker was blamed again.
#[test]
fn no_worker_is_blamed_for_a_wide_job_that_fails_everywhere() {
    let mut fleet = fleet_that_judges_workers();
    fleet.failing_jobs.insert(JobId(1));
    fleet.submit(1, job(vec![wide_step(TASKS)]));
    fleet.advance_ms(200);
    fleet.submit(2, job(vec![step(1)]));
    fleet.advance_until("the job has failed", |fleet| fleet.state(1) == Some(JobState::Failed));
    fleet.advance_ms(1_000);
    assert_eq!(blamed_workers(&fleet), 0);
    assert_eq!(starts_per_task(&fleet, 2), (1, 1), "the other job has begun");
}

/// Guards against a new owner that took all workers for failing, as it did not count the failed runs that it read for
/// their job.
#[test]
fn new_owner_does_not_blame_workers_for_a_job_that_fails_everywhere() {
    let mut fleet = fleet_that_judges_workers();
    fleet.failing_jobs.insert(JobId(1));
    fleet.submit(1, job(vec![wide_step(TASKS)]));
    fleet.advance_until("many tasks run", |fleet| {
        fleet.workers.values().all(|worker| worker.running.len() > 20)
    });
    fleet.advance_without_owner(400);
    fleet.take_over(2, true);
    fleet.submit(2, job(vec![step(1)]));
    fleet.advance_ms(1_500);
    assert_eq!(blamed_workers(&fleet), 0);
    assert_eq!(starts_per_task(&fleet, 2), (1, 1), "the other job has begun");
}

#[test]
fn tasks_of_a_wide_job_run_once_over_several_owners() {
    let mut fleet = SimulatedFleet::new(4);
    fleet.submit(1, job(vec![wide_step(TASKS), StepSpec { depends_on: vec![0], ..step(1) }]));
    for epoch in 2..7 {
        fleet.advance_ms(120);
        assert!(
            fleet.starts.len() < TASKS as usize,
            "all tasks were started before the last owner"
        );
        fleet.take_over(epoch, epoch % 2 == 0);
    }
    fleet.advance_until("the job is done", |fleet| fleet.state(1) == Some(JobState::Completed));
    assert_eq!(starts_per_task(&fleet, 1), (1, 1));
    assert_eq!(fleet.starts.len(), TASKS as usize + 1);
}

#[test]
fn occurrences_of_a_schedule_that_are_all_due_fit_into_rows() {
    let mut fleet = SimulatedFleet::new(4);
    let schedule = Schedule {
        start_at_unix_ms: CLOCK_ZERO_UNIX_MS + fleet.now.as_ms(),
        interval_ms: 0,
        count: 2_500,
    };
    let steps = vec![wide_step(1), StepSpec { depends_on: vec![0], ..wide_step(2) }];
    fleet.submit(1, JobSpec { schedule: Some(schedule), ..job(steps) });
    let mut epoch = 1;
    while fleet.state(1) != Some(JobState::Completed) {
        epoch += 1;
        assert!(epoch < 200, "the job is not done");
        fleet.advance_ms(150);
        fleet.take_over(epoch, true);
    }
    assert!(epoch > 10, "the job was done after {epoch} owners");
    assert_eq!(starts_per_task(&fleet, 1), (1, 1));
    assert_eq!(fleet.starts.len(), 7_500);
}

#[test]
fn members_of_a_wide_gang_that_is_done_do_not_run_again() {
    let mut fleet = SimulatedFleet::new(40);
    let steps = vec![
        StepSpec { gang: true, ..wide_step(1_000) },
        StepSpec { depends_on: vec![0], ..step(1) },
    ];
    fleet.task_duration_ms = Some(1_000);
    fleet.submit(1, job(steps));
    fleet.advance_until("the last step has begun", |fleet| {
        fleet.starts.iter().any(|(_, name, ..)| *name == task(1, 1, 0))
    });
    fleet.take_over(2, true);
    fleet.advance_until("the job is done", |fleet| fleet.state(1) == Some(JobState::Completed));
    assert_eq!(fleet.starts.len(), 1_001);
}

/// Guards against a gang of which only some rows say that it is done: it could neither run again nor end.
#[test]
fn gang_whose_end_is_stored_in_part_is_done() {
    let mut fleet = SimulatedFleet::new(40);
    let gang = StepSpec { gang: true, ..wide_step(1_000) };
    fleet.task_duration_ms = Some(1_000);
    fleet.submit(1, job(vec![gang, StepSpec { depends_on: vec![0], ..step(1) }]));
    fleet.advance_until("the gang is stored as done", |fleet| fleet.progress.len() == 4);
    fleet.progress.retain(|key, _| key.part == 1);
    fleet.workers.values_mut().for_each(|worker| worker.ended.clear());
    fleet.take_over(2, true);
    fleet.advance_until("the job is done", |fleet| fleet.state(1) == Some(JobState::Completed));
}

#[test]
fn nothing_is_left_of_a_wide_job_after_its_retention_time() {
    let mut fleet = SimulatedFleet::new(40);
    fleet.submit(1, job(vec![wide_step(TASKS)]));
    fleet.advance_until("the job has several rows", |fleet| fleet.progress.len() > 1);
    fleet.cancel(1);
    fleet.advance_ms(2_000);
    assert_eq!(fleet.progress.len(), 1, "only the outcome is left");
    fleet.advance_ms(120_000);
    assert!(fleet.progress.is_empty());
}

#[test]
fn rows_of_an_earlier_job_with_the_same_id_do_not_count() {
    let mut fleet = SimulatedFleet::new(4);
    fleet.submit(1, job(vec![wide_step(TASKS)]));
    fleet.advance_until("the job has several rows", |fleet| fleet.progress.len() > 20);
    let left = fleet.progress.clone().into_iter().filter(|(key, _)| key.part > 0);
    fleet.cancel(1);
    fleet.advance_ms(125_000);
    assert!(fleet.progress.is_empty());
    let starts = fleet.starts.len();
    fleet.submit(1, job(vec![wide_step(TASKS)]));
    fleet.advance_ms(100);
    assert!(fleet.starts.len() < starts + 3_000, "the tasks of the last rows wait");
    fleet.progress.extend(left);
    fleet.take_over(2, true);
    fleet.advance_until("the job is done", |fleet| fleet.state(1) == Some(JobState::Completed));
    assert_eq!(fleet.starts.len(), starts + TASKS as usize);
}

#[test]
fn progress_that_an_earlier_release_wrote_undivided_is_restored() {
    let mut fleet = SimulatedFleet::new(10);
    // A task of the first part ends after the first takeover, so that this part is written again.
    let long = StepSpec { estimate_ms: 1_000, ..wide_step(1) };
    let last = StepSpec { depends_on: vec![0, 1], ..step(1) };
    fleet.submit(1, job(vec![long, wide_step(TASKS), last]));
    fleet.advance_until("half of the tasks are done", |fleet| {
        fleet.workers.values().map(|worker| worker.completed.len()).sum::<usize>() > 3_000
    });
    fleet.advance_ms(200);
    let rows = mem::take(&mut fleet.progress);
    let is_done = |index| {
        let steps = rows.values().flat_map(|part| part.occurrences.get(&0));
        steps
            .into_iter()
            .any(|occurrence| occurrence.steps.get(1).is_some_and(|step| step.is_done(index)))
    };
    let done = StepProgress::pack_done((0..TASKS).map(is_done));
    let (key, mut undivided) =
        rows.first_key_value().map(|(key, row)| (*key, row.clone())).unwrap();
    undivided.occurrences.get_mut(&0).unwrap().steps[1] =
        StepProgress { done, ..StepProgress::default() };
    fleet.progress.insert(key, undivided);
    fleet.take_over(2, true);
    fleet.advance_until("the long task is stored as done", |fleet| {
        let rows = fleet.progress_of(JobId(1)).filter_map(|part| part.occurrences.get(&0));
        rows.filter_map(|occurrence| occurrence.steps.first()).any(|step| step.is_done(0))
    });
    fleet.take_over(3, true);
    fleet.advance_until("the job is done", |fleet| fleet.state(1) == Some(JobState::Completed));
    assert_eq!(starts_per_task(&fleet, 1), (1, 1));
}

/// Guards against crashes that were limited by their number alone.
#[test]
fn crashes_of_workers_with_long_ids_fit_into_rows() {
    let workers = (0..64).map(|no| {
        let mut worker = FakeWorker::new(no);
        worker.entry.id = format!("{no:0>190}").as_str().into();
        worker
    });
    let mut fleet = SimulatedFleet::with_workers(workers);
    let jobs = 1..=3;
    for id in jobs.clone() {
        fleet.submit(id, job(vec![StepSpec { long_running: true, ..wide_step(TASKS) }]));
    }
    let tasks = jobs.count() * TASKS as usize;
    fleet.advance_until("all tasks run", |fleet| fleet.starts.len() == tasks);
    for id in fleet.workers.keys().cloned().collect::<Vec<_>>() {
        fleet.crash(&id);
    }
    fleet.take_over(2, false);
    fleet.advance_until("all tasks run again", |fleet| fleet.starts.len() >= 2 * tasks);
}
