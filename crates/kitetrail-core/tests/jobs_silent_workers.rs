//! Tests of workers that fall silent and run on: none of them has crashed, so no task is to blame.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::{mem, time::Duration};

use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

use fleet::{Behaviour, STEP, SimulatedFleet, job, step, task};
use kitetrail_core::{
    Resources, Time,
    jobs::{JobId, JobState, LogEntry, StepSpec, TaskName},
};

/// The time without heartbeats after which the entry of a worker expires.
const EXPIRY_DELAY: Duration = Duration::from_millis(3_300);

/// Workers that are cut off. They run on until their leases expire, and return.
#[derive(Default)]
struct Cuts {
    /// Whether they are cut off from the store too, so that their entries expire.
    entries_expire: bool,
    returning: Vec<(Time, String)>,
    expiring: Vec<(Time, String)>,
}

impl Cuts {
    fn cut_off(&mut self, fleet: &mut SimulatedFleet, id: &str, duration: Duration) {
        fleet.worker(id).behaviour = Behaviour::Partitioned;
        self.returning.push((fleet.now + duration, id.to_owned()));
        if self.entries_expire && duration > EXPIRY_DELAY {
            self.expiring.push((fleet.now + EXPIRY_DELAY, id.to_owned()));
        }
    }

    /// Advances the clock until a condition holds, for a limited time.
    fn advance_until(
        &mut self,
        fleet: &mut SimulatedFleet,
        limit: Duration,
        holds: impl Fn(&SimulatedFleet) -> bool,
    ) {
        let until = fleet.now + limit;
        while fleet.now < until && !holds(fleet) {
            fleet.advance_ms(STEP.as_millis() as u64);
            for id in take_due(&mut self.expiring, fleet.now) {
                fleet.report_expired(&id);
            }
            for id in take_due(&mut self.returning, fleet.now) {
                fleet.worker(&id).behaviour = Behaviour::Healthy;
                fleet.report_relisted(&id);
            }
        }
    }

    fn advance(&mut self, fleet: &mut SimulatedFleet, duration: Duration) {
        self.advance_until(fleet, duration, |_| false);
    }
}

fn take_due(waiting: &mut Vec<(Time, String)>, now: Time) -> Vec<String> {
    let (due, later) = mem::take(waiting).into_iter().partition(|(at, _)| *at <= now);
    *waiting = later;
    let due: Vec<(Time, String)> = due;
    due.into_iter().map(|(_, id)| id).collect()
}

/// Returns a step of small long-running tasks, of which many fit on a worker.
fn long_running_step(count: u32) -> StepSpec {
    StepSpec { long_running: true, size: Resources::new(500, 256, 0), ..step(count) }
}

/// Returns the reachable worker that runs a task, if any.
fn reachable_worker_of(fleet: &SimulatedFleet, name: TaskName) -> Option<String> {
    let mut workers = fleet.workers_running(name).into_iter();
    workers.find(|&id| fleet.workers[id].behaviour == Behaviour::Healthy).map(str::to_owned)
}

/// Returns half of the workers, at random.
fn random_half(fleet: &SimulatedFleet, rng: &mut ChaCha8Rng) -> Vec<String> {
    let mut ids = fleet.workers.keys().cloned().collect::<Vec<_>>();
    ids.shuffle(rng);
    ids.truncate(ids.len() / 2);
    ids
}

#[test]
fn silent_workers_fail_no_job_after_the_loss_of_an_owner() {
    // Half of the workers are cut off at a time, the next half soon after tasks have started again.
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = SimulatedFleet::new(16);
        let mut cuts = Cuts { entries_expire: seed % 2 == 1, ..Cuts::default() };
        fleet.task_duration_ms = Some(4_000);
        fleet.submit(1, job(vec![long_running_step(24)]));
        fleet.submit(2, job(vec![step(20), StepSpec { depends_on: vec![0], ..step(20) }]));
        cuts.advance(&mut fleet, Duration::from_millis(rng.random_range(1_000..4_000)));
        for cut in 0..6 {
            fleet.submit(10 + cut, job(vec![step(6), StepSpec { depends_on: vec![0], ..step(6) }]));
            for id in random_half(&fleet, &mut rng) {
                let duration_ms = if cut == 0 { 6_000 } else { 5_000 };
                cuts.cut_off(&mut fleet, &id, Duration::from_millis(duration_ms));
            }
            if cut == 0 {
                cuts.advance(&mut fleet, Duration::from_millis(rng.random_range(500..1_500)));
                fleet.take_over(2, true);
            }
            cuts.advance(&mut fleet, Duration::from_millis(rng.random_range(5_200..6_200)));
        }
        cuts.advance(&mut fleet, Duration::from_secs(60));
        assert_eq!(fleet.state(1), Some(JobState::Running), "seed {seed}");
        let incomplete = [2].into_iter().chain(10..16);
        let incomplete =
            incomplete.filter(|&id| fleet.final_state(id) != Some(JobState::Completed));
        assert_eq!(incomplete.collect::<Vec<_>>(), [0; 0], "jobs not completed, seed {seed}");
    }
}

#[test]
fn a_task_whose_workers_are_cut_off_one_after_the_other_fails_no_job() {
    for entries_expire in [false, true] {
        let mut fleet = SimulatedFleet::new(12);
        let mut cuts = Cuts { entries_expire, ..Cuts::default() };
        let name = task(1, 0, 0);
        fleet.submit(1, job(vec![long_running_step(1)]));
        fleet.advance_until("the task runs", |fleet| !fleet.workers_running(name).is_empty());
        // After the loss of an owner with one of its workers, each start is stored as a possible cause of a crash.
        let worker = fleet.worker_of(name);
        fleet.crash(&worker);
        fleet.take_over(2, false);
        for round in 0..8 {
            let limit = Duration::from_secs(60);
            cuts.advance_until(&mut fleet, limit, |fleet| {
                reachable_worker_of(fleet, name).is_some()
            });
            let Some(worker) = reachable_worker_of(&fleet, name) else {
                panic!("the task does not run again, round {round}: {:?}", fleet.state(1));
            };
            cuts.advance(&mut fleet, Duration::from_millis(50));
            cuts.cut_off(&mut fleet, &worker, Duration::from_millis(6_000));
            assert_eq!(fleet.state(1), Some(JobState::Running), "round {round}");
        }
        cuts.advance(&mut fleet, Duration::from_secs(10));
        assert_eq!(fleet.state(1), Some(JobState::Running));
        assert!(!fleet.workers_running(name).is_empty(), "the task does not run");
    }
}

/// Advances the clock until a task has lost a given number of workers to crashes.
fn advance_until_crashes(fleet: &mut SimulatedFleet, name: TaskName, crashes: usize) {
    fleet.advance_until("the task has crashed its workers", |fleet| {
        fleet.crashes_of(name) >= crashes
    });
}

#[test]
fn a_task_waits_while_it_may_have_crashed_five_workers_and_fails_once_that_is_proved() {
    let mut fleet = SimulatedFleet::new(12);
    fleet.crashes.return_delay = Duration::from_secs(50);
    let crashing = task(1, 0, 0);
    fleet.make_crashing(crashing);
    fleet.submit(1, job(vec![step(1)]));
    advance_until_crashes(&mut fleet, crashing, 5);
    fleet.advance_ms(20_000);
    assert_eq!(fleet.crashes_of(crashing), 5, "the task was started again");
    assert_eq!(fleet.state(1), Some(JobState::Running), "no crash was proved");
    fleet.advance_until("the job has failed", |fleet| fleet.state(1) == Some(JobState::Failed));
    assert_eq!(fleet.crashes_of(crashing), 5);
}

#[test]
fn losses_that_may_be_crashes_are_counted_across_owners() {
    let mut fleet = SimulatedFleet::new(12);
    fleet.crashes.return_delay = Duration::from_secs(40);
    let crashing = task(1, 0, 0);
    fleet.make_crashing(crashing);
    fleet.submit(1, job(vec![step(1)]));
    advance_until_crashes(&mut fleet, crashing, 3);
    fleet.advance_ms(5_000);
    fleet.take_over(2, true);
    fleet.advance_ms(60_000);
    let starts = fleet.starts_after_third_crash(crashing);
    assert!(starts <= 2, "{starts} starts after the third crash");
    assert_eq!(fleet.state(1), Some(JobState::Failed));
}

#[test]
fn recorded_starts_on_workers_without_rows_neither_fail_a_job_nor_let_it_wait() {
    let mut fleet = SimulatedFleet::new(12);
    let name = task(1, 0, 0);
    fleet.submit(1, job(vec![long_running_step(1)]));
    fleet.advance_until("the task runs", |fleet| !fleet.workers_running(name).is_empty());
    let worker = fleet.worker_of(name);
    fleet.crash(&worker);
    for epoch in 2..5 {
        fleet.take_over(epoch, true);
        fleet.advance_until("the task runs", |fleet| !fleet.workers_running(name).is_empty());
        // The worker has left and its row is removed before the owner stores what became of the run.
        let worker = fleet.worker_of(name);
        fleet.instances.retain(|_, row| row.id.as_str() != worker);
        fleet.worker(&worker).crash();
        fleet.worker(&worker).unlisted = true;
    }
    fleet.take_over(5, true);
    fleet.advance_ms(6_000);
    assert_eq!(fleet.state(1), Some(JobState::Running));
    assert!(!fleet.workers_running(name).is_empty(), "the task does not run");
}

/// Returns whether the store holds crashes, losses or stored starts of tasks of a job.
fn has_stored_suspects(fleet: &SimulatedFleet, id: u64) -> bool {
    let steps = fleet
        .progress_of(JobId(id))
        .flat_map(|part| part.occurrences.values())
        .flat_map(|occurrence| &occurrence.steps);
    steps.into_iter().any(|step| !step.crashes.is_empty())
}

#[test]
fn tasks_of_a_lost_owner_are_no_suspects_once_all_of_its_workers_answer() {
    let mut fleet = SimulatedFleet::new(6);
    let mut cuts = Cuts::default();
    let name = task(1, 0, 0);
    fleet.submit(1, job(vec![long_running_step(1)]));
    fleet.advance_until("the task runs", |fleet| !fleet.workers_running(name).is_empty());
    let worker = fleet.worker_of(name);
    cuts.cut_off(&mut fleet, &worker, Duration::from_millis(7_000));
    fleet.take_over(2, true);
    cuts.advance(&mut fleet, Duration::from_millis(5_000));
    assert!(has_stored_suspects(&fleet, 1), "the worker may have crashed");
    cuts.advance(&mut fleet, Duration::from_millis(4_000));
    assert!(!has_stored_suspects(&fleet, 1), "the worker answers again");
    // A later move is an ordinary start.
    let worker = reachable_worker_of(&fleet, name).unwrap();
    fleet.worker(&worker).entry.draining = true;
    let entry = fleet.worker(&worker).entry.clone();
    fleet.report_listed(entry);
    fleet.advance_ms(3_000);
    assert_ne!(reachable_worker_of(&fleet, name), Some(worker), "the task did not move");
    assert!(!has_stored_suspects(&fleet, 1), "the task is still a suspect");
}

#[test]
fn the_loss_of_a_worker_that_leaves_while_it_is_silent_is_no_crash() {
    let mut fleet = SimulatedFleet::new(4);
    let name = task(1, 0, 0);
    fleet.submit(1, job(vec![long_running_step(1)]));
    fleet.advance_until("the task runs", |fleet| !fleet.workers_running(name).is_empty());
    let worker = fleet.worker_of(name);
    fleet.worker(&worker).behaviour = Behaviour::Partitioned;
    fleet.advance_until("the task runs elsewhere", |fleet| {
        reachable_worker_of(fleet, name).is_some()
    });
    fleet.worker(&worker).entry.draining = true;
    let entry = fleet.worker(&worker).entry.clone();
    fleet.report_listed(entry);
    fleet.replace_instance(&worker, "next");
    fleet.worker("next").entry.draining = false;
    fleet.report_relisted("next");
    fleet.advance_ms(3_000);
    assert_eq!(fleet.counted_crashes(), 0);
    assert_eq!(fleet.state(1), Some(JobState::Running));
}

#[test]
fn a_task_lost_at_different_ages_with_workers_that_stay_silent_does_not_wait() {
    let mut fleet = SimulatedFleet::new(12);
    let name = task(1, 0, 0);
    fleet.submit(1, job(vec![long_running_step(1)]));
    // Each run is shorter than the one before, so that none shows that the task crashes no worker.
    for age_ms in [16_000, 13_000, 10_000, 7_000, 4_000, 1_500] {
        fleet.advance_until("the task runs", |fleet| reachable_worker_of(fleet, name).is_some());
        fleet.advance_ms(age_ms);
        let worker = reachable_worker_of(&fleet, name).unwrap();
        fleet.worker(&worker).behaviour = Behaviour::Partitioned;
        let lost_at = fleet.now;
        fleet.advance_until("the task runs", |fleet| reachable_worker_of(fleet, name).is_some());
        let waited = fleet.now.since(lost_at);
        assert!(waited < Duration::from_secs(8), "waited {waited:?} after {age_ms} ms");
    }
}

#[test]
fn a_crash_after_a_recorded_start_counts_once_whichever_owner_learns_of_it() {
    let mut fleet = SimulatedFleet::new(2);
    let name = task(1, 0, 0);
    fleet.submit(1, job(vec![long_running_step(1)]));
    fleet.advance_until("the task runs", |fleet| !fleet.workers_running(name).is_empty());
    let first = fleet.worker_of(name);
    fleet.worker(&first).crash();
    fleet.take_over(2, true);
    fleet.advance_until("the task runs", |fleet| reachable_worker_of(fleet, name).is_some());
    let second = reachable_worker_of(&fleet, name).unwrap();
    fleet.advance_ms(50);
    // The owner dies with the worker, and the next one after it has stored the loss. No worker is left.
    fleet.worker(&second).crash();
    fleet.take_over(3, true);
    fleet.advance_until("the loss is recorded", |fleet| {
        let is_loss = |entry: &LogEntry| matches!(entry, LogEntry::LossRecorded { .. });
        fleet.log_entries.iter().any(|(_, entry)| is_loss(entry))
    });
    fleet.advance_ms(300);
    fleet.take_over(4, true);
    fleet.advance_ms(200);
    fleet.replace_instance(&second, "next");
    fleet.report_relisted("next");
    fleet.advance_ms(3_000);
    assert_eq!(fleet.counted_crashes(), 1);
}

#[test]
fn a_running_task_that_has_waited_for_proof_moves_at_once_after_a_takeover() {
    let mut fleet = SimulatedFleet::new(12);
    let name = task(1, 0, 0);
    fleet.submit(1, job(vec![long_running_step(1)]));
    fleet.advance_until("the task runs", |fleet| !fleet.workers_running(name).is_empty());
    let worker = fleet.worker_of(name);
    fleet.crash(&worker);
    fleet.take_over(2, false);
    for _ in 0..5 {
        let until = fleet.now + Duration::from_secs(150);
        while reachable_worker_of(&fleet, name).is_none() && fleet.now < until {
            fleet.advance_ms(100);
        }
        let worker = reachable_worker_of(&fleet, name).unwrap();
        fleet.advance_ms(50);
        fleet.worker(&worker).behaviour = Behaviour::Partitioned;
        fleet.advance_ms(300);
    }
    let until = fleet.now + Duration::from_secs(600);
    while reachable_worker_of(&fleet, name).is_none() && fleet.now < until {
        fleet.advance_ms(100);
    }
    fleet.take_over(3, true);
    fleet.advance_ms(4_000);
    let worker = reachable_worker_of(&fleet, name).unwrap();
    fleet.worker(&worker).entry.draining = true;
    let entry = fleet.worker(&worker).entry.clone();
    fleet.report_listed(entry);
    let drained_at = fleet.now;
    fleet.advance_until("the task runs elsewhere", |fleet| {
        reachable_worker_of(fleet, name).is_some_and(|other| other != worker)
    });
    let moved_after = fleet.now.since(drained_at);
    assert!(moved_after < Duration::from_secs(6), "moved after {moved_after:?}");
}
