//! Entries in the worker list that were not written by their worker: they get no new work, and
//! other entries are unaffected.

mod fleet;

use fleet::{Behaviour, SimulatedFleet, job, queue, step, task};
use kitetrail_core::jobs::{Event, JobId, JobState, QueueTerms, StepSpec, WorkerEntry};

/// Returns a step of long-running tasks.
fn long_running_step(tasks: u32) -> StepSpec {
    StepSpec { long_running: true, ..step(tasks) }
}

/// Returns the number of start orders sent to a worker.
fn start_orders_to(fleet: &SimulatedFleet, id: &str) -> usize {
    fleet.start_orders.iter().filter(|(.., worker)| worker == id).count()
}

#[test]
fn a_worker_with_an_unusable_entry_gets_no_work_until_it_is_corrected() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.report_unusable("w0");
    fleet.submit(1, job(vec![step(6)]));
    fleet.advance_until("the job completes", |fleet| fleet.state(1) == Some(JobState::Completed));
    assert_eq!(start_orders_to(&fleet, "w0"), 0, "the whole job runs elsewhere");
    fleet.report_relisted("w0");
    fleet.submit(2, job(vec![step(8)]));
    fleet.advance_until("the next job completes", |fleet| {
        fleet.state(2) == Some(JobState::Completed)
    });
    assert!(start_orders_to(&fleet, "w0") > 0, "the worker is used again");
}

#[test]
fn runs_on_workers_with_unusable_entries_continue_and_their_ends_count() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.submit(1, job(vec![long_running_step(6)]));
    fleet.submit(2, job(vec![step(2)]));
    fleet.advance_until("all tasks run", |fleet| fleet.starts.len() == 8);
    for id in ["w0", "w1"] {
        fleet.report_unusable(id);
    }
    fleet.advance_ms(20_000);
    assert_eq!(fleet.state(2), Some(JobState::Completed));
    assert_eq!(fleet.starts.len(), 8, "no task is restarted");
    assert!((0..6).all(|index| fleet.workers_running(task(1, 0, index)).len() == 1));
}

#[test]
fn a_new_owner_that_finds_an_unusable_entry_keeps_the_runs_of_the_worker() {
    let mut fleet = SimulatedFleet::new(3);
    fleet.submit(1, job(vec![long_running_step(3)]));
    fleet.advance_until("all tasks run", |fleet| fleet.starts.len() == 3);
    let id = fleet.worker_of(task(1, 0, 0));
    let orders = start_orders_to(&fleet, &id);
    fleet.worker(&id).unlisted = true;
    fleet.take_over(2, true);
    fleet.report_unusable(&id);
    fleet.advance_ms(10_000);
    assert_eq!(fleet.starts.len(), 3, "no task is restarted");
    assert_eq!(fleet.worker_of(task(1, 0, 0)), id);
    fleet.submit(2, job(vec![step(8)]));
    fleet.advance_ms(5_000);
    assert_eq!(start_orders_to(&fleet, &id), orders, "the worker gets no new work");
}

#[test]
fn runs_move_elsewhere_once_the_worker_is_silent_and_its_lease_has_expired() {
    let mut fleet = SimulatedFleet::new(3);
    fleet.submit(1, job(vec![long_running_step(1)]));
    fleet.advance_until("the task runs", |fleet| fleet.starts.len() == 1);
    let id = fleet.worker_of(task(1, 0, 0));
    fleet.report_unusable(&id);
    fleet.worker(&id).behaviour = Behaviour::Partitioned;
    fleet.advance_ms(10_000);
    assert_eq!(fleet.starts.len(), 2);
    assert!(fleet.workers_running(task(1, 0, 0)).iter().all(|&other| other != id));
}

#[test]
fn a_waiting_start_order_is_cancelled_when_the_entry_becomes_unusable() {
    let mut fleet = SimulatedFleet::new(1);
    fleet.worker("w0").behaviour = Behaviour::AnswersStartsLate;
    fleet.submit(1, job(vec![step(2)]));
    fleet.advance_until("the first order is sent", |fleet| !fleet.start_orders.is_empty());
    fleet.report_unusable("w0");
    fleet.worker("w0").behaviour = Behaviour::Healthy;
    fleet.advance_ms(5_000);
    let second = fleet.start_orders.iter().filter(|(_, task_name, _)| *task_name == task(1, 0, 1));
    assert_eq!(second.count(), 0);
}

#[test]
fn a_worker_of_an_unused_service_is_not_polled_until_a_queue_uses_the_service() {
    let mut fleet = SimulatedFleet::new(1);
    fleet.send_event(Event::QueuesChanged(vec![queue()]));
    let entry = fleet.worker("w0").entry.clone();
    let unused_entry = WorkerEntry {
        id: "w9".into(),
        machine: None,
        service: "nowhere".to_owned(),
        address: "10.0.0.99:80".to_owned(),
        ..entry
    };
    let polls = fleet.polls_of("w9");
    fleet.report_listed(unused_entry);
    fleet.advance_ms(3_000);
    assert_eq!((fleet.polls_of("w9"), polls), (0, 0), "the worker is not polled");
    assert!(!fleet.instances.contains_key("w9"), "nothing is persisted about the worker");
    let other_queue = QueueTerms { name: "more".into(), service: "nowhere".to_owned(), ..queue() };
    fleet.send_event(Event::QueuesChanged(vec![queue(), other_queue]));
    fleet.advance_ms(3_000);
    assert!(fleet.polls_of("w9") > 0);
}

#[test]
fn a_worker_whose_entry_names_another_service_keeps_its_runs() {
    let mut fleet = SimulatedFleet::new(2);
    fleet.send_event(Event::QueuesChanged(vec![queue()]));
    fleet.submit(1, job(vec![long_running_step(2)]));
    fleet.advance_until("both tasks run", |fleet| fleet.starts.len() == 2);
    let id = fleet.worker_of(task(1, 0, 0));
    let entry = fleet.worker(&id).entry.clone();
    fleet.report_listed(WorkerEntry { service: "nowhere".to_owned(), ..entry.clone() });
    fleet.submit(2, job(vec![step(4)]));
    fleet.advance_ms(8_000);
    assert_eq!(fleet.state(2), Some(JobState::Completed));
    assert_eq!(
        fleet.starts.iter().filter(|(_, task_name, ..)| task_name.job == JobId(1)).count(),
        2
    );
    assert!(
        fleet
            .starts
            .iter()
            .all(|(_, task_name, _, worker)| task_name.job == JobId(1) || *worker != id)
    );
}
