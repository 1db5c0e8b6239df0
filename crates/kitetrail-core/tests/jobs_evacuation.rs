//! Zones that are evacuated: nothing starts there, and what runs there ends or goes elsewhere.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::collections::BTreeSet;

use fleet::{Mood, World, job, step, task};
use kitetrail_core::{
    Resources,
    jobs::{EffectsRecord, Event, JobState, Note, ServingEffects, StepSpec},
};
use proptest::{
    prelude::{Just, Strategy, any},
    prop_oneof, proptest,
    test_runner::Config,
};

/// A fleet whose workers stand in the zones a and b by turns.
fn two_zones(workers: u32) -> World {
    let mut world = World::new(0);
    for no in 0..workers {
        let mut worker = fleet::FakeWorker::new(no);
        worker.entry.zone = zone_of(no).to_owned();
        world.workers.insert(format!("w{no}"), worker);
    }
    world.list_all();
    world.run_ms(200);
    world
}

fn zone_of(worker: u32) -> &'static str {
    if worker.is_multiple_of(2) { "a" } else { "b" }
}

fn evacuate(world: &mut World, zones: &[&str]) {
    let zones = zones.iter().map(|&zone| zone.to_owned()).collect::<BTreeSet<_>>();
    world.tell(Event::Evacuated(zones));
}

/// How many starts went to a zone so far.
fn starts_in(world: &World, zone: &str) -> usize {
    let there = |id: &str| world.workers.get(id).is_some_and(|worker| worker.entry.zone == zone);
    world.starts.iter().filter(|(.., id)| there(id)).count()
}

/// How many runs are in a zone now.
fn running_in(world: &World, zone: &str) -> usize {
    let there = world.workers.values().filter(|worker| worker.entry.zone == zone);
    there.map(|worker| worker.running.len()).sum()
}

/// How many tasks that last are at work now.
fn at_work(world: &World) -> usize {
    let runs = world.workers.values().flat_map(|worker| worker.running.values());
    runs.filter(|run| run.lasts && run.told_percent() == 100).count()
}

fn lasting(count: u32, may_miss: Option<u32>) -> StepSpec {
    StepSpec { lasts: true, may_miss, ..step(count) }
}

fn completed(world: &World, job: u64) -> bool {
    world.state(job) == Some(JobState::Completed)
}

#[test]
fn nothing_starts_in_a_zone_that_is_evacuated_until_it_is_taken_back() {
    let mut world = two_zones(4);
    evacuate(&mut world, &["a"]);
    world.submit(1, job(vec![step(24)]));
    world.run_until("it completes", |world| completed(world, 1));
    assert_eq!((starts_in(&world, "a"), starts_in(&world, "b")), (0, 24));
    evacuate(&mut world, &[]);
    world.submit(2, job(vec![step(16)]));
    world.run_until("it completes", |world| completed(world, 2));
    assert_eq!(starts_in(&world, "a"), 8);
}

#[test]
fn short_work_that_runs_there_finishes() {
    let mut world = two_zones(4);
    world.submit(1, job(vec![StepSpec { keeps_progress: true, ..step(8) }]));
    world.run_ms(300);
    assert!(running_in(&world, "a") > 0);
    evacuate(&mut world, &["a"]);
    world.run_until("it completes", |world| completed(world, 1));
    assert_eq!(world.starts.len(), 8, "there is room elsewhere, and nothing moves");
}

#[test]
fn a_new_owner_that_is_told_first_starts_nothing_there() {
    let mut world = two_zones(2);
    world.submit(1, job(vec![step(16)]));
    world.run_ms(300);
    evacuate(&mut world, &["a"]);
    let before = starts_in(&world, "a");
    world.take_over_with(2, true, Event::Evacuated(["a".to_owned()].into()));
    world.run_until("it completes", |world| completed(world, 1));
    assert_eq!(starts_in(&world, "a"), before);
}

#[test]
fn a_worker_that_is_listed_later_is_in_the_zone_as_well() {
    let mut world = two_zones(2);
    evacuate(&mut world, &["a"]);
    let mut late = fleet::FakeWorker::new(2);
    late.entry.zone = "a".to_owned();
    let entry = late.entry.clone();
    world.workers.insert("w2".to_owned(), late);
    world.list(entry);
    world.submit(1, job(vec![step(12)]));
    world.run_until("it completes", |world| completed(world, 1));
    assert_eq!(starts_in(&world, "a"), 0);
}

#[test]
fn what_waits_to_be_told_to_a_worker_there_goes_elsewhere() {
    let mut world = two_zones(2);
    world.worker("w0").mood = Mood::Cut;
    world.submit(1, job(vec![step(8)]));
    world.run_ms(100);
    evacuate(&mut world, &["a"]);
    world.worker("w0").mood = Mood::Well;
    world.run_until("it completes", |world| completed(world, 1));
    assert_eq!(starts_in(&world, "a"), 0, "{:?}", world.starts);
}

#[test]
fn what_waits_for_a_silent_worker_there_does_not_wait_for_its_lease() {
    let mut world = two_zones(2);
    world.worker("w0").mood = Mood::Cut;
    world.submit(1, job(vec![step(6)]));
    world.run_ms(100);
    evacuate(&mut world, &["a"]);
    world.run_ms(1_500);
    assert_eq!(
        starts_in(&world, "b"),
        5,
        "all but the one that may have reached the silent worker"
    );
}

#[test]
fn retries_and_copies_go_elsewhere() {
    let mut world = two_zones(4);
    world.work_ms = Some(3_000);
    world.submit(1, job(vec![StepSpec { copies_allowed: true, ..step(4) }]));
    world.submit(2, job(vec![step(8)]));
    world.run_ms(500);
    evacuate(&mut world, &["a"]);
    let before = starts_in(&world, "a");
    world.worker("w1").mood = Mood::Cut;
    world.worker("w0").mood = Mood::Failing;
    world.run_until("all complete", |world| completed(world, 1) && completed(world, 2));
    assert_eq!(starts_in(&world, "a"), before);
}

#[test]
fn work_whose_rack_lies_there_goes_elsewhere() {
    let mut world = two_zones(4);
    for no in 0..4 {
        let worker = world.worker(&format!("w{no}"));
        worker.entry.rack = format!("r-{}", zone_of(no));
        worker.entry.labels = vec!["plain".to_owned(), worker.entry.rack.clone()];
    }
    world.list_all();
    evacuate(&mut world, &["a"]);
    let near = StepSpec { near_rack: Some("r-a".to_owned()), ..step(4) };
    world.submit(1, job(vec![near]));
    world.run_until("it completes", |world| completed(world, 1));
    assert_eq!(starts_in(&world, "a"), 0);
}

#[test]
fn tasks_that_last_move_one_after_the_other() {
    let mut world = two_zones(8);
    world.submit(1, job(vec![lasting(12, Some(2))]));
    world.run_ms(3_000);
    let there = running_in(&world, "a");
    assert!(there > 0, "some must move");
    evacuate(&mut world, &["a"]);
    let mut fewest = 12;
    for _ in 0..2_000 {
        world.run_ms(10);
        fewest = fewest.min(at_work(&world));
    }
    assert_eq!(running_in(&world, "a"), 0);
    assert_eq!(running_in(&world, "b"), 12);
    assert_eq!(fewest, 11, "one after the other");
    assert_eq!(world.starts.len(), 12 + there);
}

#[test]
fn tasks_of_which_none_may_be_away_stay() {
    let mut world = two_zones(4);
    world.submit(1, job(vec![lasting(4, Some(0))]));
    world.run_ms(1_000);
    evacuate(&mut world, &["a"]);
    world.run_ms(5_000);
    assert_eq!(world.starts.len(), 4);
    assert_eq!(running_in(&world, "a") + running_in(&world, "b"), 4);
}

#[test]
fn what_lasts_stays_where_there_is_no_room_elsewhere() {
    let mut world = two_zones(2);
    world.submit(1, job(vec![lasting(8, None)]));
    world.run_ms(1_000);
    evacuate(&mut world, &["a"]);
    world.run_ms(5_000);
    assert_eq!((running_in(&world, "a"), running_in(&world, "b")), (4, 4));
    assert_eq!(world.starts.len(), 8);
}

#[test]
fn what_serves_does_not_move_beside_what_is_known_to_disturb_it() {
    let mut world = two_zones(2);
    world.work_ms = Some(600_000);
    let image = |name: &str| Some(name.to_owned());
    world.submit(1, job(vec![StepSpec { fills: true, image: image("mean"), ..step(1) }]));
    world.run_ms(1_000);
    let disturbs = ServingEffects {
        image: "touchy".to_owned(),
        effects: vec![("mean".to_owned(), 3.0)],
        lowest_tail_ms: 10.0,
    };
    world.effects = EffectsRecord { serving: vec![disturbs] };
    world.take_over(2, true);
    world.run_ms(1_000);
    let serving = StepSpec { image: image("touchy"), tail_target_ms: Some(50), ..lasting(1, None) };
    world.submit(2, job(vec![serving]));
    world.run_ms(2_000);
    let (serves, fills) = (world.worker_of(task(2, 0, 0)), world.worker_of(task(1, 0, 0)));
    let zone = world.workers[&serves].entry.zone.clone();
    assert_ne!(serves, fills);
    evacuate(&mut world, &[zone.as_str()]);
    world.run_ms(3_000);
    assert_eq!(world.where_runs(task(2, 0, 0)), [serves.as_str()], "it is better off there");
    world.cancel(1);
    world.run_until("it moves", |world| world.where_runs(task(2, 0, 0)) == [fills.as_str()]);
}

#[test]
fn what_would_run_for_long_and_keeps_its_progress_moves() {
    let mut world = two_zones(4);
    world.work_ms = Some(40_000);
    world.submit(1, job(vec![StepSpec { keeps_progress: true, estimate_ms: 40_000, ..step(4) }]));
    world.run_ms(3_000);
    assert!(running_in(&world, "a") > 0, "some must move");
    evacuate(&mut world, &["a"]);
    world.run_ms(6_000);
    assert_eq!((running_in(&world, "a"), running_in(&world, "b")), (0, 4));
}

#[test]
fn what_nobody_else_could_run_waits_and_the_log_says_so() {
    let mut world = two_zones(2);
    let large = Resources::new(8_000, 1_024, 0);
    world.worker("w0").entry.capacity = large;
    world.list_all();
    evacuate(&mut world, &["a"]);
    world.submit(1, job(vec![StepSpec { size: Resources::new(6_000, 512, 0), ..step(2) }]));
    world.run_ms(3_000);
    assert!(world.starts.is_empty());
    let told = |(_, note): &&(_, Note)| matches!(note, Note::WaitsForZone { .. });
    assert_eq!(world.notes.iter().filter(told).count(), 1, "once for the step");
    evacuate(&mut world, &[]);
    world.run_until("it completes", |world| completed(world, 1));
}

#[test]
fn a_fleet_that_is_evacuated_whole_waits() {
    let mut world = two_zones(2);
    evacuate(&mut world, &["a", "b"]);
    world.submit(1, job(vec![step(4)]));
    world.run_ms(5_000);
    assert!(world.starts.is_empty());
    evacuate(&mut world, &["b"]);
    world.run_until("it completes", |world| completed(world, 1));
    assert_eq!(starts_in(&world, "b"), 0);
}

#[test]
fn a_gang_that_was_ordered_in_part_starts_whole_elsewhere() {
    let mut world = two_zones(4);
    world.worker("w0").mood = Mood::Cut;
    world.submit(1, job(vec![StepSpec { gang: true, max_per_worker: Some(2), ..step(4) }]));
    world.run_ms(50);
    evacuate(&mut world, &["a"]);
    let before = starts_in(&world, "a");
    world.worker("w0").mood = Mood::Well;
    world.run_until("it completes", |world| completed(world, 1));
    assert_eq!(starts_in(&world, "a"), before);
    let last = world.starts.iter().map(|(_, _, run, _)| *run).max();
    let together = world.starts.iter().filter(|(_, _, run, _)| Some(*run) == last);
    assert_eq!(together.count(), 4, "all members of one run: {:?}", world.starts);
}

/// Something that happens in a random run.
#[derive(Debug, Clone)]
enum Happening {
    Evacuate([bool; 2]),
    TakeOver { stopped: bool },
    Crash(u32),
    Mood(u32, Mood),
    Submit { tasks: u32, lasts: bool, copies: bool, keeps: bool },
}

fn happenings() -> impl Strategy<Value = Vec<(u64, Happening)>> {
    let mood = prop_oneof![Just(Mood::Well), Just(Mood::Cut), Just(Mood::Late)];
    let submit = (1..8_u32, any::<bool>(), any::<bool>(), any::<bool>());
    let step = prop_oneof![
        4 => any::<[bool; 2]>().prop_map(Happening::Evacuate),
        1 => any::<bool>().prop_map(|stopped| Happening::TakeOver { stopped }),
        1 => (0..6_u32).prop_map(Happening::Crash),
        1 => (0..6_u32, mood).prop_map(|(no, mood)| Happening::Mood(no, mood)),
        4 => submit.prop_map(|(tasks, lasts, copies, keeps)| {
            Happening::Submit { tasks, lasts, copies, keeps }
        }),
    ];
    proptest::collection::vec((50..1_500_u64, step), 1..24)
}

/// A random run, as far as it has come.
struct RandomRun {
    world: World,
    evacuated: BTreeSet<String>,
    jobs: Vec<(u64, bool)>,
    epoch: u64,
    lives: u32,
}

impl RandomRun {
    fn take(&mut self, happening: Happening) {
        match happening {
            Happening::Evacuate(wanted) => {
                let zones = ["a", "b"].into_iter().zip(wanted);
                self.evacuated =
                    zones.filter(|(_, is)| *is).map(|(zone, _)| zone.to_owned()).collect();
                self.world.tell(Event::Evacuated(self.evacuated.clone()));
            }
            Happening::TakeOver { stopped } => {
                self.epoch += 1;
                let event = Event::Evacuated(self.evacuated.clone());
                self.world.take_over_with(self.epoch, stopped, event);
            }
            Happening::Crash(no) => {
                let id = self.world.workers.keys().nth(no as usize).unwrap().clone();
                self.lives += 1;
                let new_id = format!("x{}", self.lives);
                self.world.reborn(&id, &new_id);
                self.world.list_all();
            }
            Happening::Mood(no, mood) => {
                let id = self.world.workers.keys().nth(no as usize).unwrap().clone();
                self.world.worker(&id).mood = mood;
            }
            Happening::Submit { tasks, lasts, copies, keeps } => {
                let id = self.jobs.len() as u64 + 1;
                self.jobs.push((id, lasts));
                let copies_allowed = copies && !lasts;
                let keeps_progress = keeps && !lasts;
                let step = StepSpec { lasts, copies_allowed, keeps_progress, ..step(tasks) };
                self.world.submit(id, job(vec![step]));
            }
        }
    }

    /// Lets time pass and checks where tasks were ordered to start.
    fn pass(&mut self, ms: u64) {
        let from = self.world.start_orders.len();
        self.world.run_ms(ms);
        for (at, name, id) in &self.world.start_orders[from..] {
            let Some(worker) = self.world.workers.get(id) else { continue };
            assert!(!self.evacuated.contains(&worker.entry.zone), "{name} at {at} on {id}");
        }
    }
}

proptest! {
    #![proptest_config(Config { cases: 64, ..Config::default() })]

    #[test]
    fn whatever_happens_nothing_starts_there_and_all_is_done_in_the_end(happenings in happenings()) {
        let mut run = RandomRun {
            world: two_zones(6),
            evacuated: BTreeSet::new(),
            jobs: Vec::new(),
            epoch: 1,
            lives: 0,
        };
        for (ms, happening) in happenings {
            // That nothing runs twice the fleet checks after each step of its clock.
            run.take(happening);
            run.pass(ms);
        }
        run.take(Happening::Evacuate([false, false]));
        run.world.set_moods(Mood::Well);
        let ends = run.jobs.iter().filter(|(_, lasts)| !lasts).map(|(id, _)| *id);
        let ends = ends.collect::<Vec<_>>();
        for (id, _) in run.jobs.iter().filter(|(_, lasts)| *lasts) {
            run.world.cancel(*id);
        }
        run.world.run_until("all complete", |world| {
            ends.iter().all(|&id| world.state(id) == Some(JobState::Completed))
        });
    }
}
