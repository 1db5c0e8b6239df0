//! Tests of workers that operators take out of use.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use fleet::{SimulatedFleet, job, step, task};
use kitetrail_core::jobs::{Event, JobState, OperatorRows, StepSpec, WorkerHold, WorkerRow};

/// Applies an operators' row, as the store keeps it, and tells the scheduler.
fn put_row(fleet: &mut SimulatedFleet, key: &str, hold: WorkerHold) {
    let contents = serde_json::to_vec(&WorkerRow { hold }).unwrap();
    fleet.operator_rows.apply(key, Some(&contents)).unwrap();
    send_rows(fleet);
}

fn remove_row(fleet: &mut SimulatedFleet, key: &str) {
    fleet.operator_rows.apply(key, None).unwrap();
    send_rows(fleet);
}

fn send_rows(fleet: &mut SimulatedFleet) {
    fleet.send_event(Event::OperatorRowsChanged(fleet.operator_rows.clone()));
}

/// Returns the number of starts on a worker.
fn starts_on(fleet: &SimulatedFleet, worker: &str) -> usize {
    fleet.starts.iter().filter(|(.., started_on)| started_on == worker).count()
}

fn long_running() -> StepSpec {
    StepSpec { long_running: true, ..step(1) }
}

#[test]
fn nothing_starts_on_a_cordoned_worker_and_what_runs_there_ends() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.submit(1, job(vec![step(8)]));
    fleet.advance_ms(300);
    let before = starts_on(&fleet, "w0");
    assert!(before > 0, "both workers run tasks");
    put_row(&mut fleet, "worker/w0", WorkerHold::Cordoned);
    for id in 2..12 {
        fleet.submit(id, job(vec![step(2)]));
        fleet.advance_ms(500);
    }
    fleet.advance_until("all jobs complete", |fleet| {
        (1..12).all(|id| fleet.state(id) == Some(JobState::Completed))
    });
    assert_eq!(starts_on(&fleet, "w0"), before, "starts on the cordoned worker");
    remove_row(&mut fleet, "worker/w0");
    fleet.submit(20, job(vec![step(8)]));
    fleet.advance_ms(300);
    assert!(starts_on(&fleet, "w0") > before, "the worker is used again");
}

#[test]
fn long_tasks_leave_a_drained_worker_and_stay_on_a_cordoned_one() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.submit(1, job(vec![long_running()]));
    fleet.advance_ms(1_000);
    let home = fleet.worker_of(task(1, 0, 0));
    let key = format!("worker/{home}");
    put_row(&mut fleet, &key, WorkerHold::Cordoned);
    fleet.advance_ms(5_000);
    assert_eq!(fleet.worker_of(task(1, 0, 0)), home, "a cordoned worker keeps its tasks");
    put_row(&mut fleet, &key, WorkerHold::Drained);
    fleet.advance_until("the task runs elsewhere", |fleet| {
        fleet.workers_running(task(1, 0, 0)).iter().any(|worker| *worker != home)
    });
}

#[test]
fn next_owner_starts_nothing_on_a_cordoned_worker() {
    let mut fleet = SimulatedFleet::new(2);
    put_row(&mut fleet, "worker/w0", WorkerHold::Cordoned);
    fleet.submit(1, job(vec![step(12)]));
    fleet.advance_ms(200);
    fleet.take_over(2, true);
    fleet.advance_until("the job completes", |fleet| fleet.state(1) == Some(JobState::Completed));
    assert_eq!(starts_on(&fleet, "w0"), 0);
}

#[test]
fn row_of_a_machine_holds_for_each_worker_that_starts_there() {
    let mut workers = [fleet::FakeWorker::new(0), fleet::FakeWorker::new(1)];
    workers[0].entry.machine = Some("rack-7-node-3".to_owned());
    let mut fleet = SimulatedFleet::with_workers(workers);
    put_row(&mut fleet, "worker/rack-7-node-3", WorkerHold::Cordoned);
    fleet.submit(1, job(vec![step(12)]));
    fleet.advance_until("the job completes", |fleet| fleet.state(1) == Some(JobState::Completed));
    assert_eq!(starts_on(&fleet, "w0"), 0);
}

#[test]
fn rows_that_hold_no_worker_change_no_decision() {
    let play = |rows: bool| {
        let mut fleet = SimulatedFleet::new(4);
        if rows {
            put_row(&mut fleet, "worker/elsewhere", WorkerHold::Drained);
        }
        for id in 1..20 {
            fleet.submit(id, job(vec![step(3), StepSpec { depends_on: vec![0], ..step(2) }]));
            fleet.advance_ms(150);
        }
        fleet.advance_ms(10_000);
        fleet.starts
    };
    assert_eq!(play(true), play(false));
}

#[test]
fn rows_that_cannot_be_used_are_refused_with_their_reason() {
    let check = |key: &str, text: &str| {
        OperatorRows::check(key, text.as_bytes()).map_err(|error| error.to_string())
    };
    assert_eq!(check("worker/i-1", r#"{"hold":"drained"}"#), Ok(()));
    let wrong_key = check("queues/a", r#"{"hold":"drained"}"#).unwrap_err();
    assert!(wrong_key.contains("`queues/a`") && wrong_key.contains("worker/ID"), "{wrong_key}");
    assert!(check("worker/", "{}").is_err() && check("worker/a b", "{}").is_err());
    let wrong_hold = check("worker/i-1", r#"{"hold":"paused"}"#).unwrap_err();
    assert!(wrong_hold.contains("cordoned"), "the valid values are listed: {wrong_hold}");
    assert!(check("worker/i-1", r#"{"hold":"drained","until":3}"#).is_err());
}
