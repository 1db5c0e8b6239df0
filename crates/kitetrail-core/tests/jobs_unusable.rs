//! Entries in the list of workers that somebody else wrote: they name no worker to use, and the others hold.

mod fleet;

use fleet::{Mood, World, job, queue, step, task};
use kitetrail_core::jobs::{Event, JobId, JobState, QueueTerms, StepSpec, WorkerEntry};

/// A watcher of so many tasks that last.
fn watcher(tasks: u32) -> StepSpec {
    StepSpec { lasts: true, ..step(tasks) }
}

/// How many orders to start left for a worker.
fn orders_to(world: &World, id: &str) -> usize {
    world.start_orders.iter().filter(|(.., worker)| worker == id).count()
}

#[test]
fn a_worker_whose_entry_is_unusable_gets_nothing_new_until_it_is_mended() {
    let mut world = World::new(2);
    world.list_unusable("w0");
    world.submit(1, job(vec![step(6)]));
    world.run_until("the job completes", |world| world.state(1) == Some(JobState::Completed));
    assert_eq!(orders_to(&world, "w0"), 0, "all of it ran elsewhere");
    world.relist("w0");
    world.submit(2, job(vec![step(8)]));
    world.run_until("the next one completes", |world| world.state(2) == Some(JobState::Completed));
    assert!(orders_to(&world, "w0") > 0, "it is used again");
}

#[test]
fn what_runs_there_goes_on_and_its_ends_count() {
    let mut world = World::new(2);
    world.submit(1, job(vec![watcher(6)]));
    world.submit(2, job(vec![step(2)]));
    world.run_until("all run", |world| world.starts.len() == 8);
    for id in ["w0", "w1"] {
        world.list_unusable(id);
    }
    world.run_ms(20_000);
    assert_eq!(world.state(2), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 8, "nothing is started anew");
    assert!((0..6).all(|index| world.where_runs(task(1, 0, index)).len() == 1));
}

#[test]
fn a_new_owner_that_finds_the_entry_unusable_leaves_alone_what_runs_there() {
    let mut world = World::new(3);
    world.submit(1, job(vec![watcher(3)]));
    world.run_until("all run", |world| world.starts.len() == 3);
    let id = world.worker_of(task(1, 0, 0));
    let orders = orders_to(&world, &id);
    world.worker(&id).gone = true;
    world.take_over(2, true);
    world.list_unusable(&id);
    world.run_ms(10_000);
    assert_eq!(world.starts.len(), 3, "nothing is started anew");
    assert_eq!(world.worker_of(task(1, 0, 0)), id);
    world.submit(2, job(vec![step(8)]));
    world.run_ms(5_000);
    assert_eq!(orders_to(&world, &id), orders, "it gets nothing new");
}

#[test]
fn what_ran_there_goes_elsewhere_once_the_worker_is_silent_and_its_lease_over() {
    let mut world = World::new(3);
    world.submit(1, job(vec![watcher(1)]));
    world.run_until("it runs", |world| world.starts.len() == 1);
    let id = world.worker_of(task(1, 0, 0));
    world.list_unusable(&id);
    world.worker(&id).mood = Mood::Cut;
    world.run_ms(10_000);
    assert_eq!(world.starts.len(), 2);
    assert!(world.where_runs(task(1, 0, 0)).iter().all(|&other| other != id));
}

#[test]
fn an_order_that_waits_for_its_turn_is_taken_back() {
    let mut world = World::new(1);
    world.worker("w0").mood = Mood::Late;
    world.submit(1, job(vec![step(2)]));
    world.run_until("the first order left", |world| !world.start_orders.is_empty());
    world.list_unusable("w0");
    world.worker("w0").mood = Mood::Well;
    world.run_ms(5_000);
    let second = world.start_orders.iter().filter(|(_, name, _)| *name == task(1, 0, 1));
    assert_eq!(second.count(), 0);
}

#[test]
fn a_worker_of_a_service_that_no_queue_uses_is_asked_nothing_until_one_does() {
    let mut world = World::new(1);
    world.tell(Event::Queues(vec![queue()]));
    let entry = world.worker("w0").entry.clone();
    let unused = WorkerEntry {
        id: "w9".into(),
        machine: None,
        service: "nowhere".to_owned(),
        address: "10.0.0.99:80".to_owned(),
        ..entry
    };
    let holds = world.holds_of("w9");
    world.list(unused);
    world.run_ms(3_000);
    assert_eq!((world.holds_of("w9"), holds), (0, 0), "it is not even asked what it runs");
    assert!(!world.lives.contains_key("w9"), "nothing of it is kept");
    let more = QueueTerms { name: "more".into(), service: "nowhere".to_owned(), ..queue() };
    world.tell(Event::Queues(vec![queue(), more]));
    world.run_ms(3_000);
    assert!(world.holds_of("w9") > 0);
}

#[test]
fn a_worker_whose_entry_names_another_service_keeps_what_it_runs() {
    let mut world = World::new(2);
    world.tell(Event::Queues(vec![queue()]));
    world.submit(1, job(vec![watcher(2)]));
    world.run_until("both run", |world| world.starts.len() == 2);
    let id = world.worker_of(task(1, 0, 0));
    let entry = world.worker(&id).entry.clone();
    world.list(WorkerEntry { service: "nowhere".to_owned(), ..entry.clone() });
    world.submit(2, job(vec![step(4)]));
    world.run_ms(8_000);
    assert_eq!(world.state(2), Some(JobState::Completed));
    assert_eq!(world.starts.iter().filter(|(_, name, ..)| name.job == JobId(1)).count(), 2);
    assert!(world.starts.iter().all(|(_, name, _, worker)| name.job == JobId(1) || *worker != id));
}
