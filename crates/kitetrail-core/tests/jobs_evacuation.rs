//! Tests of evacuated zones: no task starts there, and tasks running there end or move to other
//! zones.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::collections::BTreeSet;

use fleet::{Behaviour, SimulatedFleet, job, step, task};
use kitetrail_core::{
    Resources,
    jobs::{EffectsRecord, Event, JobState, LogEntry, ServingEffects, StepSpec},
};
use proptest::{
    prelude::{Just, Strategy, any},
    prop_oneof, proptest,
    test_runner::Config,
};

/// Returns a fleet whose workers are alternately in zones a and b.
fn two_zones(workers: u32) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(0);
    for worker_no in 0..workers {
        let mut worker = fleet::FakeWorker::new(worker_no);
        worker.entry.zone = zone_of(worker_no).to_owned();
        fleet.workers.insert(format!("w{worker_no}"), worker);
    }
    fleet.report_all_listed();
    fleet.advance_ms(200);
    fleet
}

fn zone_of(worker: u32) -> &'static str {
    if worker.is_multiple_of(2) { "a" } else { "b" }
}

fn evacuate(fleet: &mut SimulatedFleet, zones: &[&str]) {
    let zones = zones.iter().map(|&zone| zone.to_owned()).collect::<BTreeSet<_>>();
    fleet.send_event(Event::EvacuatedZonesChanged(zones));
}

/// Returns the number of starts in a zone so far.
fn start_count(fleet: &SimulatedFleet, zone: &str) -> usize {
    let in_zone = |id: &str| fleet.workers.get(id).is_some_and(|worker| worker.entry.zone == zone);
    fleet.starts.iter().filter(|(.., id)| in_zone(id)).count()
}

/// Returns the number of runs in a zone at present.
fn run_count(fleet: &SimulatedFleet, zone: &str) -> usize {
    let in_zone = fleet.workers.values().filter(|worker| worker.entry.zone == zone);
    in_zone.map(|worker| worker.running.len()).sum()
}

/// Returns the number of long-running tasks that are at work at present.
fn at_work_count(fleet: &SimulatedFleet) -> usize {
    let runs = fleet.workers.values().flat_map(|worker| worker.running.values());
    runs.filter(|run| run.is_long_running && run.reported_percent() == 100).count()
}

fn long_running(count: u32, max_unavailable: Option<u32>) -> StepSpec {
    StepSpec { long_running: true, max_unavailable, ..step(count) }
}

fn is_completed(fleet: &SimulatedFleet, job: u64) -> bool {
    fleet.state(job) == Some(JobState::Completed)
}

#[test]
fn no_task_starts_in_an_evacuated_zone_until_the_evacuation_ends() {
    let mut fleet = two_zones(4);
    evacuate(&mut fleet, &["a"]);
    fleet.submit(1, job(vec![step(24)]));
    fleet.advance_until("the job completes", |fleet| is_completed(fleet, 1));
    assert_eq!((start_count(&fleet, "a"), start_count(&fleet, "b")), (0, 24));
    evacuate(&mut fleet, &[]);
    fleet.submit(2, job(vec![step(16)]));
    fleet.advance_until("the job completes", |fleet| is_completed(fleet, 2));
    assert_eq!(start_count(&fleet, "a"), 8);
}

#[test]
fn short_tasks_in_an_evacuated_zone_finish() {
    let mut fleet = two_zones(4);
    fleet.submit(1, job(vec![StepSpec { keeps_progress: true, ..step(8) }]));
    fleet.advance_ms(300);
    assert!(run_count(&fleet, "a") > 0);
    evacuate(&mut fleet, &["a"]);
    fleet.advance_until("the job completes", |fleet| is_completed(fleet, 1));
    assert_eq!(fleet.starts.len(), 8, "there is room in the other zone, but no run moves");
}

#[test]
fn new_owner_that_knows_of_the_evacuation_starts_nothing_in_the_zone() {
    let mut fleet = two_zones(2);
    fleet.submit(1, job(vec![step(16)]));
    fleet.advance_ms(300);
    evacuate(&mut fleet, &["a"]);
    let before = start_count(&fleet, "a");
    fleet.take_over_with(2, true, Event::EvacuatedZonesChanged(["a".to_owned()].into()));
    fleet.advance_until("the job completes", |fleet| is_completed(fleet, 1));
    assert_eq!(start_count(&fleet, "a"), before);
}

#[test]
fn worker_listed_during_the_evacuation_gets_no_starts() {
    let mut fleet = two_zones(2);
    evacuate(&mut fleet, &["a"]);
    let mut new_worker = fleet::FakeWorker::new(2);
    new_worker.entry.zone = "a".to_owned();
    let entry = new_worker.entry.clone();
    fleet.workers.insert("w2".to_owned(), new_worker);
    fleet.report_listed(entry);
    fleet.submit(1, job(vec![step(12)]));
    fleet.advance_until("the job completes", |fleet| is_completed(fleet, 1));
    assert_eq!(start_count(&fleet, "a"), 0);
}

#[test]
fn unsent_starts_go_to_another_zone() {
    let mut fleet = two_zones(2);
    fleet.worker("w0").behaviour = Behaviour::Partitioned;
    fleet.submit(1, job(vec![step(8)]));
    fleet.advance_ms(100);
    evacuate(&mut fleet, &["a"]);
    fleet.worker("w0").behaviour = Behaviour::Healthy;
    fleet.advance_until("the job completes", |fleet| is_completed(fleet, 1));
    assert_eq!(start_count(&fleet, "a"), 0, "{:?}", fleet.starts);
}

#[test]
fn unsent_starts_of_a_silent_worker_do_not_wait_for_its_lease() {
    let mut fleet = two_zones(2);
    fleet.worker("w0").behaviour = Behaviour::Partitioned;
    fleet.submit(1, job(vec![step(6)]));
    fleet.advance_ms(100);
    evacuate(&mut fleet, &["a"]);
    fleet.advance_ms(1_500);
    assert_eq!(
        start_count(&fleet, "b"),
        5,
        "all but the one that may have reached the silent worker"
    );
}

#[test]
fn retries_and_copies_go_to_another_zone() {
    let mut fleet = two_zones(4);
    fleet.task_duration_ms = Some(3_000);
    fleet.submit(1, job(vec![StepSpec { copies_allowed: true, ..step(4) }]));
    fleet.submit(2, job(vec![step(8)]));
    fleet.advance_ms(500);
    evacuate(&mut fleet, &["a"]);
    let before = start_count(&fleet, "a");
    fleet.worker("w1").behaviour = Behaviour::Partitioned;
    fleet.worker("w0").behaviour = Behaviour::Failing;
    fleet.advance_until("all jobs complete", |fleet| {
        is_completed(fleet, 1) && is_completed(fleet, 2)
    });
    assert_eq!(start_count(&fleet, "a"), before);
}

#[test]
fn tasks_near_a_rack_in_an_evacuated_zone_go_to_another_zone() {
    let mut fleet = two_zones(4);
    for worker_no in 0..4 {
        let worker = fleet.worker(&format!("w{worker_no}"));
        worker.entry.rack = format!("r-{}", zone_of(worker_no));
        worker.entry.labels = vec!["plain".to_owned(), worker.entry.rack.clone()];
    }
    fleet.report_all_listed();
    evacuate(&mut fleet, &["a"]);
    let near = StepSpec { near_rack: Some("r-a".to_owned()), ..step(4) };
    fleet.submit(1, job(vec![near]));
    fleet.advance_until("the job completes", |fleet| is_completed(fleet, 1));
    assert_eq!(start_count(&fleet, "a"), 0);
}

#[test]
fn long_running_tasks_move_one_after_the_other() {
    let mut fleet = two_zones(8);
    fleet.submit(1, job(vec![long_running(12, Some(2))]));
    fleet.advance_ms(3_000);
    let in_zone = run_count(&fleet, "a");
    assert!(in_zone > 0, "some runs must be in the zone");
    evacuate(&mut fleet, &["a"]);
    let mut fewest_at_work = 12;
    for _ in 0..2_000 {
        fleet.advance_ms(10);
        fewest_at_work = fewest_at_work.min(at_work_count(&fleet));
    }
    assert_eq!(run_count(&fleet, "a"), 0);
    assert_eq!(run_count(&fleet, "b"), 12);
    assert_eq!(fewest_at_work, 11, "more than one task was away at a time");
    assert_eq!(fleet.starts.len(), 12 + in_zone);
}

#[test]
fn tasks_of_a_step_that_may_miss_none_stay() {
    let mut fleet = two_zones(4);
    fleet.submit(1, job(vec![long_running(4, Some(0))]));
    fleet.advance_ms(1_000);
    evacuate(&mut fleet, &["a"]);
    fleet.advance_ms(5_000);
    assert_eq!(fleet.starts.len(), 4);
    assert_eq!(run_count(&fleet, "a") + run_count(&fleet, "b"), 4);
}

#[test]
fn long_running_tasks_stay_if_there_is_no_room_in_other_zones() {
    let mut fleet = two_zones(2);
    fleet.submit(1, job(vec![long_running(8, None)]));
    fleet.advance_ms(1_000);
    evacuate(&mut fleet, &["a"]);
    fleet.advance_ms(5_000);
    assert_eq!((run_count(&fleet, "a"), run_count(&fleet, "b")), (4, 4));
    assert_eq!(fleet.starts.len(), 8);
}

#[test]
fn serving_task_does_not_move_beside_a_task_known_to_interfere() {
    let mut fleet = two_zones(2);
    fleet.task_duration_ms = Some(600_000);
    let image = |name: &str| Some(name.to_owned());
    fleet.submit(
        1,
        job(vec![StepSpec { best_effort: true, image: image("disturbing"), ..step(1) }]),
    );
    fleet.advance_ms(1_000);
    let interfering = ServingEffects {
        image: "sensitive".to_owned(),
        effects: vec![("disturbing".to_owned(), 3.0)],
        lowest_tail_ms: 10.0,
    };
    fleet.effects = EffectsRecord { serving: vec![interfering] };
    fleet.take_over(2, true);
    fleet.advance_ms(1_000);
    let serving =
        StepSpec { image: image("sensitive"), tail_target_ms: Some(50), ..long_running(1, None) };
    fleet.submit(2, job(vec![serving]));
    fleet.advance_ms(2_000);
    let (serving_worker, best_effort_worker) =
        (fleet.worker_of(task(2, 0, 0)), fleet.worker_of(task(1, 0, 0)));
    let zone = fleet.workers[&serving_worker].entry.zone.clone();
    assert_ne!(serving_worker, best_effort_worker);
    evacuate(&mut fleet, &[zone.as_str()]);
    fleet.advance_ms(3_000);
    assert_eq!(
        fleet.workers_running(task(2, 0, 0)),
        [serving_worker.as_str()],
        "the serving task moved beside a task known to interfere"
    );
    fleet.cancel(1);
    fleet.advance_until("the serving task moves", |fleet| {
        fleet.workers_running(task(2, 0, 0)) == [best_effort_worker.as_str()]
    });
}

#[test]
fn long_tasks_that_keep_their_progress_move() {
    let mut fleet = two_zones(4);
    fleet.task_duration_ms = Some(40_000);
    fleet.submit(1, job(vec![StepSpec { keeps_progress: true, estimate_ms: 40_000, ..step(4) }]));
    fleet.advance_ms(3_000);
    assert!(run_count(&fleet, "a") > 0, "some runs must be in the zone");
    evacuate(&mut fleet, &["a"]);
    fleet.advance_ms(6_000);
    assert_eq!((run_count(&fleet, "a"), run_count(&fleet, "b")), (0, 4));
}

#[test]
fn tasks_that_only_an_evacuated_zone_can_run_wait_and_are_logged() {
    let mut fleet = two_zones(2);
    let large_capacity = Resources::new(8_000, 1_024, 0);
    fleet.worker("w0").entry.capacity = large_capacity;
    fleet.report_all_listed();
    evacuate(&mut fleet, &["a"]);
    fleet.submit(1, job(vec![StepSpec { size: Resources::new(6_000, 512, 0), ..step(2) }]));
    fleet.advance_ms(3_000);
    assert!(fleet.starts.is_empty());
    let is_waiting_entry =
        |(_, entry): &&(_, LogEntry)| matches!(entry, LogEntry::WaitsForZone { .. });
    assert_eq!(
        fleet.log_entries.iter().filter(is_waiting_entry).count(),
        1,
        "one log entry for the step"
    );
    evacuate(&mut fleet, &[]);
    fleet.advance_until("the job completes", |fleet| is_completed(fleet, 1));
}

#[test]
fn jobs_wait_while_all_zones_are_evacuated() {
    let mut fleet = two_zones(2);
    evacuate(&mut fleet, &["a", "b"]);
    fleet.submit(1, job(vec![step(4)]));
    fleet.advance_ms(5_000);
    assert!(fleet.starts.is_empty());
    evacuate(&mut fleet, &["b"]);
    fleet.advance_until("the job completes", |fleet| is_completed(fleet, 1));
    assert_eq!(start_count(&fleet, "b"), 0);
}

#[test]
fn partly_ordered_gang_starts_whole_in_another_zone() {
    let mut fleet = two_zones(4);
    fleet.worker("w0").behaviour = Behaviour::Partitioned;
    fleet.submit(1, job(vec![StepSpec { gang: true, max_per_worker: Some(2), ..step(4) }]));
    fleet.advance_ms(50);
    evacuate(&mut fleet, &["a"]);
    let before = start_count(&fleet, "a");
    fleet.worker("w0").behaviour = Behaviour::Healthy;
    fleet.advance_until("the job completes", |fleet| is_completed(fleet, 1));
    assert_eq!(start_count(&fleet, "a"), before);
    let last = fleet.starts.iter().map(|(_, _, run, _)| *run).max();
    let together = fleet.starts.iter().filter(|(_, _, run, _)| Some(*run) == last);
    assert_eq!(together.count(), 4, "all members of one run: {:?}", fleet.starts);
}

/// An operation of a random run.
#[derive(Debug, Clone)]
enum Operation {
    Evacuate([bool; 2]),
    TakeOver { stopped: bool },
    Crash(u32),
    Behaviour(u32, Behaviour),
    Submit { tasks: u32, long_running: bool, copies_allowed: bool, keeps_progress: bool },
}

fn operations() -> impl Strategy<Value = Vec<(u64, Operation)>> {
    let behaviour = prop_oneof![
        Just(Behaviour::Healthy),
        Just(Behaviour::Partitioned),
        Just(Behaviour::AnswersStartsLate)
    ];
    let submit = (1..8_u32, any::<bool>(), any::<bool>(), any::<bool>());
    let step = prop_oneof![
        4 => any::<[bool; 2]>().prop_map(Operation::Evacuate),
        1 => any::<bool>().prop_map(|stopped| Operation::TakeOver { stopped }),
        1 => (0..6_u32).prop_map(Operation::Crash),
        1 => (0..6_u32, behaviour).prop_map(|(worker_no, behaviour)| Operation::Behaviour(worker_no, behaviour)),
        4 => submit.prop_map(|(tasks, long_running, copies_allowed, keeps_progress)| {
            Operation::Submit { tasks, long_running, copies_allowed, keeps_progress }
        }),
    ];
    proptest::collection::vec((50..1_500_u64, step), 1..24)
}

/// The state of a random run.
struct RandomRun {
    fleet: SimulatedFleet,
    evacuated: BTreeSet<String>,
    jobs: Vec<(u64, bool)>,
    epoch: u64,
    restarts: u32,
}

impl RandomRun {
    fn take(&mut self, operation: Operation) {
        match operation {
            Operation::Evacuate(wanted) => {
                let zones = ["a", "b"].into_iter().zip(wanted);
                self.evacuated = zones
                    .filter(|(_, is_wanted)| *is_wanted)
                    .map(|(zone, _)| zone.to_owned())
                    .collect();
                self.fleet.send_event(Event::EvacuatedZonesChanged(self.evacuated.clone()));
            }
            Operation::TakeOver { stopped } => {
                self.epoch += 1;
                let event = Event::EvacuatedZonesChanged(self.evacuated.clone());
                self.fleet.take_over_with(self.epoch, stopped, event);
            }
            Operation::Crash(worker_no) => {
                let id = self.fleet.workers.keys().nth(worker_no as usize).unwrap().clone();
                self.restarts += 1;
                let new_id = format!("x{}", self.restarts);
                self.fleet.replace_instance(&id, &new_id);
                self.fleet.report_all_listed();
            }
            Operation::Behaviour(worker_no, behaviour) => {
                let id = self.fleet.workers.keys().nth(worker_no as usize).unwrap().clone();
                self.fleet.worker(&id).behaviour = behaviour;
            }
            Operation::Submit { tasks, long_running, copies_allowed, keeps_progress } => {
                let id = self.jobs.len() as u64 + 1;
                self.jobs.push((id, long_running));
                let copies_allowed = copies_allowed && !long_running;
                let keeps_progress = keeps_progress && !long_running;
                let step = StepSpec { long_running, copies_allowed, keeps_progress, ..step(tasks) };
                self.fleet.submit(id, job(vec![step]));
            }
        }
    }

    /// Runs the fleet for `ms`, and checks where tasks were ordered to start.
    fn advance_ms(&mut self, ms: u64) {
        let from = self.fleet.start_orders.len();
        self.fleet.advance_ms(ms);
        for (at, name, id) in &self.fleet.start_orders[from..] {
            let Some(worker) = self.fleet.workers.get(id) else { continue };
            assert!(!self.evacuated.contains(&worker.entry.zone), "{name} at {at} on {id}");
        }
    }
}

proptest! {
    #![proptest_config(Config { cases: 64, ..Config::default() })]

    #[test]
    fn random_operations_start_nothing_in_evacuated_zones_and_all_jobs_complete(operations in operations()) {
        let mut run = RandomRun {
            fleet: two_zones(6),
            evacuated: BTreeSet::new(),
            jobs: Vec::new(),
            epoch: 1,
            restarts: 0,
        };
        for (ms, operation) in operations {
            // The fleet itself checks after each step of its clock that no task runs twice.
            run.take(operation);
            run.advance_ms(ms);
        }
        run.take(Operation::Evacuate([false, false]));
        run.fleet.set_behaviours(Behaviour::Healthy);
        let jobs_that_end = run.jobs.iter().filter(|(_, long_running)| !long_running).map(|(id, _)| *id);
        let jobs_that_end = jobs_that_end.collect::<Vec<_>>();
        for (id, _) in run.jobs.iter().filter(|(_, long_running)| *long_running) {
            run.fleet.cancel(*id);
        }
        run.fleet.advance_until("all jobs complete", |fleet| {
            jobs_that_end.iter().all(|&id| fleet.state(id) == Some(JobState::Completed))
        });
    }
}
