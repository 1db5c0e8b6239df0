//! Tests of tasks that are stopped for more urgent ones: what it gains, and what fails meanwhile.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::{collections::BTreeMap, time::Duration};

use fleet::{Behaviour, FakeWorker, SimulatedFleet, job, queue, step, task};
use kitetrail_core::{
    Resources, Time,
    jobs::{JobState, LoadPart, LoadParts, LogEntry, QueueTerms, StepSpec, TaskName},
};

/// The ids of jobs of the less urgent queue start here.
const AUDIT_IDS: u64 = 100_000;
/// The time for which a task is not stopped again.
const NOT_AGAIN_WITHIN: Duration = Duration::from_secs(10);
/// The most stops within a second.
const MAX_STOPS_PER_S: usize = 8;

fn audits() -> QueueTerms {
    QueueTerms { name: "audits".into(), priority: 2, ..queue() }
}

fn preemption() -> LoadParts {
    [LoadPart::Preemption].into_iter().collect()
}

/// Returns a step of best-effort tasks, two of which fill the memory of a worker.
fn audit_step(count: u32) -> StepSpec {
    StepSpec {
        best_effort: true,
        keeps_progress: true,
        estimate_ms: 8_000,
        size: Resources::new(1_000, 4_000, 0),
        ..step(count)
    }
}

/// Returns a step of tasks for which there is no memory beside two audits.
fn urgent_step(count: u32) -> StepSpec {
    StepSpec { size: Resources::new(3_000, 1_000, 0), estimate_ms: 2_000, ..step(count) }
}

/// Returns a fleet whose memory is full of best-effort tasks.
fn full_fleet(workers: u32, parts: LoadParts) -> SimulatedFleet {
    full_fleet_of(workers, parts, audit_step(2 * workers))
}

fn full_fleet_of(workers: u32, parts: LoadParts, spec: StepSpec) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::with_parts((0..workers).map(FakeWorker::new), parts);
    fleet.submit_to(audits(), AUDIT_IDS, job(vec![spec]));
    fleet.advance_ms(2_000);
    assert_eq!(fleet.starts.len(), 2 * workers as usize);
    fleet
}

/// Returns the tasks stopped for others, in order.
fn preempted(fleet: &SimulatedFleet) -> Vec<(Time, TaskName)> {
    let entries = fleet.log_entries.iter();
    let preempted = entries.filter_map(|(at, entry)| match entry {
        LogEntry::Preempted { task, .. } => Some((*at, *task)),
        _ => None,
    });
    preempted.collect()
}

fn started_at(fleet: &SimulatedFleet, name: TaskName) -> Option<Time> {
    fleet.starts.iter().find(|(_, task, ..)| *task == name).map(|(at, ..)| *at)
}

#[test]
fn an_urgent_task_gets_the_memory_of_a_best_effort_one() {
    let waited = |parts| {
        let mut fleet = full_fleet(2, parts);
        let submitted_at = fleet.now;
        fleet.submit(1, job(vec![urgent_step(1)]));
        fleet.advance_ms(12_000);
        assert_eq!(fleet.state(AUDIT_IDS), Some(JobState::Completed));
        (started_at(&fleet, task(1, 0, 0)).unwrap().since(submitted_at), preempted(&fleet).len())
    };
    let (with_stops, stops) = waited(preemption());
    assert!(with_stops < Duration::from_millis(1_500), "it waited {with_stops:?}");
    assert_eq!(stops, 1, "one task frees enough");
    let (without, stops) = waited(LoadParts::default());
    assert!(without > Duration::from_secs(4) && stops == 0, "it waited {without:?}");
}

#[test]
fn reserved_processor_time_of_a_less_urgent_task_that_keeps_its_progress_is_freed() {
    let size = Resources::new(2_000, 512, 0);
    let keeps = StepSpec { keeps_progress: true, estimate_ms: 8_000, size, ..step(4) };
    let mut fleet = full_fleet_of(2, preemption(), keeps.clone());
    fleet.submit(1, job(vec![StepSpec { size, estimate_ms: 4_000, ..step(1) }]));
    fleet.advance_ms(1_500);
    assert!(started_at(&fleet, task(1, 0, 0)).is_some());
    let loses = StepSpec { keeps_progress: false, ..keeps };
    let mut fleet = full_fleet_of(2, preemption(), loses);
    fleet.submit(1, job(vec![StepSpec { size, estimate_ms: 4_000, ..step(1) }]));
    fleet.advance_ms(1_500);
    assert!(preempted(&fleet).is_empty(), "it is neither best-effort nor keeps its progress");
}

#[test]
fn best_effort_tasks_are_not_stopped_for_processor_time_that_they_do_not_reserve() {
    let mut fleet = full_fleet(2, preemption());
    let size = Resources::new(5_000, 512, 0);
    fleet.submit(1, job(vec![StepSpec { size, ..step(1) }]));
    fleet.advance_ms(3_000);
    assert!(preempted(&fleet).is_empty());
}

#[test]
fn long_running_tasks_and_equally_urgent_ones_are_never_stopped() {
    let long_running =
        StepSpec { long_running: true, size: Resources::new(1_000, 4_000, 0), ..step(4) };
    let mut fleet = full_fleet_of(2, preemption(), long_running);
    fleet.submit(1, job(vec![urgent_step(1)]));
    fleet.advance_ms(2_000);
    assert!(preempted(&fleet).is_empty());
    let mut fleet = SimulatedFleet::with_parts((0..2).map(FakeWorker::new), preemption());
    fleet.submit(2, job(vec![audit_step(4)]));
    fleet.advance_ms(1_000);
    fleet.submit(1, job(vec![urgent_step(1)]));
    fleet.advance_ms(2_000);
    assert!(preempted(&fleet).is_empty());
}

#[test]
fn freed_room_is_reserved_for_the_job_that_it_was_freed_for() {
    let mut fleet = full_fleet(1, preemption());
    // The two stops follow each other, and a task that waits would fit after the first.
    fleet.order_answer_delay = Duration::from_millis(300);
    let size = Resources::new(3_000, 5_000, 0);
    fleet.submit(1, job(vec![StepSpec { size, estimate_ms: 4_000, ..step(1) }]));
    fleet.advance_until("tasks are stopped", |fleet| preempted(fleet).len() == 2);
    let between = QueueTerms { name: "between".into(), priority: 1, ..queue() };
    let size = Resources::new(100, 3_500, 0);
    fleet.submit_to(between, 2, job(vec![StepSpec { size, ..step(1) }]));
    fleet.advance_until("the urgent task runs", |fleet| started_at(fleet, task(1, 0, 0)).is_some());
    assert!(started_at(&fleet, task(2, 0, 0)).is_none(), "another task took the room");
}

#[test]
fn room_is_released_when_the_job_that_it_was_freed_for_is_cancelled() {
    let mut fleet = full_fleet(1, preemption());
    fleet.submit(1, job(vec![urgent_step(1)]));
    fleet.advance_until("a task is stopped", |fleet| !preempted(fleet).is_empty());
    fleet.cancel(1);
    let cancelled_at = fleet.now;
    let stopped = preempted(&fleet)[0].1;
    fleet.advance_until("the stopped task continues", |fleet| {
        fleet.starts.iter().any(|(at, task, ..)| *at > cancelled_at && *task == stopped)
    });
    // Sooner than the hold of 1.5 s would end by itself.
    assert!(fleet.now.since(cancelled_at) < Duration::from_millis(800));
    fleet.advance_ms(12_000);
    assert_eq!(fleet.state(AUDIT_IDS), Some(JobState::Completed));
    assert_eq!(preempted(&fleet).len(), 1);
}

#[test]
fn a_stop_that_is_not_answered_is_not_repeated_at_once_and_stops_nothing_else() {
    let mut fleet = full_fleet(2, preemption());
    fleet.worker("w0").behaviour = Behaviour::IgnoresStops;
    fleet.worker("w1").behaviour = Behaviour::IgnoresStops;
    fleet.submit(1, job(vec![urgent_step(1)]));
    fleet.advance_ms(4_000);
    let stops = preempted(&fleet);
    let mut by_task = BTreeMap::<TaskName, u32>::new();
    stops.iter().for_each(|(_, task)| *by_task.entry(*task).or_default() += 1);
    assert!(by_task.values().all(|&stops| stops == 1), "{by_task:?}");
    fleet.set_behaviours(Behaviour::Healthy);
    fleet.advance_ms(25_000);
    assert_eq!(fleet.state(1), Some(JobState::Completed));
    assert_eq!(fleet.state(AUDIT_IDS), Some(JobState::Completed));
}

#[test]
fn a_new_owner_does_not_stop_again_what_the_one_before_stopped() {
    let mut fleet = full_fleet(3, preemption());
    fleet.submit(1, job(vec![urgent_step(1)]));
    fleet.advance_until("a task is stopped", |fleet| !preempted(fleet).is_empty());
    fleet.advance_ms(100);
    fleet.take_over(2, true);
    let took_over_at = fleet.now;
    for id in 2..8 {
        fleet.advance_ms(1_000);
        fleet.submit(id, job(vec![urgent_step(1)]));
    }
    let again = preempted(&fleet).into_iter().filter(|(at, _)| *at > took_over_at);
    let again = again.collect::<Vec<_>>();
    assert!(again.iter().all(|(at, _)| at.since(took_over_at) >= NOT_AGAIN_WITHIN), "{again:?}");
    fleet.advance_ms(40_000);
    assert_eq!(fleet.state(AUDIT_IDS), Some(JobState::Completed));
    assert_eq!(fleet.state(1), Some(JobState::Completed));
}

#[test]
fn stops_starts_and_lost_work_stay_bounded_under_three_times_the_load() {
    let mut fleet = full_fleet(24, preemption());
    for id in 1..120 {
        fleet.submit(id, job(vec![urgent_step(6)]));
        if id % 4 == 0 {
            fleet.submit_to(audits(), AUDIT_IDS + id, job(vec![audit_step(4)]));
        }
        fleet.advance_ms(150);
    }
    let stops = preempted(&fleet);
    assert!(!stops.is_empty());
    for (index, (at, task)) in stops.iter().enumerate() {
        let within = |limit: Duration| {
            stops[..index].iter().filter(move |(earlier, _)| at.since(*earlier) < limit)
        };
        assert!(within(Duration::from_secs(1)).count() < MAX_STOPS_PER_S, "too many stops at {at}");
        assert!(within(NOT_AGAIN_WITHIN).all(|(_, other)| other != task), "{task} stopped twice");
    }
    let lost_core_ms = fleet.log_entries.iter().map(|(_, entry)| match entry {
        LogEntry::Preempted { lost_core_ms, .. } => *lost_core_ms,
        _ => 0,
    });
    let core_ms = |task: &TaskName| if task.job.0 >= AUDIT_IDS { 8_000 } else { 6_000 };
    let started_core_ms = fleet.starts.iter().map(|(_, task, ..)| core_ms(task)).sum::<u64>();
    let lost_core_ms = lost_core_ms.sum::<u64>();
    assert!(lost_core_ms * 20 <= started_core_ms, "{lost_core_ms} of {started_core_ms}");
    let mut starts = BTreeMap::<TaskName, u32>::new();
    fleet.starts.iter().for_each(|(_, task, ..)| *starts.entry(*task).or_default() += 1);
    assert!(starts.values().all(|&starts| starts <= 3), "{:?}", starts.values().max());
}

#[test]
fn without_waiting_tasks_every_decision_is_as_without_the_part() {
    let starts = |parts| {
        let mut fleet = SimulatedFleet::with_parts((0..6).map(FakeWorker::new), parts);
        for id in 0..20 {
            fleet.submit(id, job(vec![step(3)]));
            fleet.submit_to(audits(), AUDIT_IDS + id, job(vec![audit_step(1)]));
            fleet.advance_ms(1_500);
        }
        fleet.starts
    };
    assert_eq!(starts(preemption()), starts(LoadParts::default()));
}
