//! Tests of queues that compete for too little room: what each gets, and what their callers see.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::{collections::BTreeMap, time::Duration};

use fleet::{Behaviour, FakeWorker, SimulatedFleet, job, queue, step, task};
use kitetrail_core::{
    Resources, Time,
    jobs::{
        ClaimantTerms, Event, JobState, LoadPart, LoadParts, LogEntry, QueueTerms, StepSpec,
        TaskName,
    },
};

/// The number of workers, of four cores each.
const WORKERS: u32 = 8;
const CORES: usize = 4 * WORKERS as usize;
/// The time within which a queue has its floor: what it may go without, the duration of a task,
/// and the poll that reports the end.
const FLOOR_WITHIN_MS: u64 = 2_500;
/// The ids of jobs of the less urgent queue start here.
const AUDIT_IDS: u64 = 100_000;

fn audits() -> QueueTerms {
    QueueTerms { name: "audits".into(), priority: 2, ..queue() }
}

fn shares() -> LoadParts {
    [LoadPart::Shares].into_iter().collect()
}

fn fleet_with(parts: LoadParts) -> SimulatedFleet {
    SimulatedFleet::with_parts((0..WORKERS).map(FakeWorker::new), parts)
}

/// Returns the number of cores that the tasks of the less urgent queue hold.
fn audits_running(fleet: &SimulatedFleet) -> usize {
    let running = fleet.workers.values().flat_map(|worker| worker.running.keys());
    running.filter(|task| task.job.0 >= AUDIT_IDS).count()
}

/// Lets the urgent queue hand in more than the fleet can do in a long time, and the other one
/// somewhat later.
fn flood(fleet: &mut SimulatedFleet) {
    for id in 1..300 {
        fleet.submit(id, job(vec![step(4)]));
    }
    fleet.advance_ms(500);
    for id in 0..100 {
        fleet.submit_to(audits(), AUDIT_IDS + id, job(vec![step(4)]));
    }
}

#[test]
fn a_less_urgent_queue_gets_its_share_while_an_urgent_one_floods_the_fleet() {
    let started = |parts| {
        let mut fleet = fleet_with(parts);
        flood(&mut fleet);
        fleet.advance_ms(8_000);
        fleet.starts.iter().filter(|(_, task, ..)| task.job.0 >= AUDIT_IDS).count()
    };
    // At weights of 16 to 1 it has two cores of 32.
    let with_shares = started(shares());
    assert!((8..40).contains(&with_shares), "{with_shares} tasks started in 8 s");
    assert_eq!(started(LoadParts::default()), 0, "without shares it gets nothing");
}

#[test]
fn floor_is_granted_within_the_stated_time_and_held() {
    let mut fleet = fleet_with(shares());
    let terms = ClaimantTerms { floor_percent: 25, ..ClaimantTerms::of_priority(2) };
    let terms = BTreeMap::from([(audits().name, terms)]);
    fleet.send_event(Event::ClaimantTermsChanged(terms));
    flood(&mut fleet);
    fleet.advance_ms(FLOOR_WITHIN_MS);
    let mut cores = Vec::new();
    for _ in 0..20 {
        fleet.advance_ms(250);
        cores.push(audits_running(&fleet));
    }
    let mean = cores.iter().sum::<usize>() as f64 / cores.len() as f64;
    assert!(mean >= 0.8 * CORES as f64 / 4.0, "{cores:?}");
    assert!(cores.iter().all(|&cores| cores > 0), "{cores:?}");
}

#[test]
fn a_new_owner_grants_the_floor_within_the_stated_time() {
    let mut fleet = fleet_with(shares());
    flood(&mut fleet);
    fleet.advance_ms(FLOOR_WITHIN_MS);
    fleet.take_over(2, true);
    let took_over_at = fleet.now;
    fleet.advance_ms(FLOOR_WITHIN_MS + 1_000);
    let of_audits = |(at, task, ..): &&(Time, TaskName, u32, String)| {
        *at > took_over_at && task.job.0 >= AUDIT_IDS
    };
    assert!(fleet.starts.iter().filter(of_audits).count() > 0, "nothing of the queue has started");
}

#[test]
fn lent_room_returns_when_its_queue_wants_it() {
    let mut fleet = fleet_with(shares());
    let terms = ClaimantTerms { floor_percent: 50, ..ClaimantTerms::of_priority(2) };
    fleet.send_event(Event::ClaimantTermsChanged(BTreeMap::from([(audits().name, terms)])));
    for id in 1..200 {
        fleet.submit(id, job(vec![step(4)]));
    }
    fleet.advance_ms(1_000);
    let running = fleet.workers.values().map(|worker| worker.running.len()).sum::<usize>();
    assert!(running >= CORES - 4, "the urgent queue borrows the room: {running}");
    for id in 0..100 {
        fleet.submit_to(audits(), AUDIT_IDS + id, job(vec![step(4)]));
    }
    fleet.advance_ms(FLOOR_WITHIN_MS);
    let returned = audits_running(&fleet);
    assert!(returned >= CORES * 4 / 10, "{returned} cores returned");
}

#[test]
fn a_ceiling_holds_while_others_wait_and_not_otherwise() {
    let mut fleet = fleet_with(shares());
    let terms = ClaimantTerms { ceiling_percent: 25, ..ClaimantTerms::of_priority(0) };
    fleet.send_event(Event::ClaimantTermsChanged(BTreeMap::from([(queue().name, terms)])));
    for id in 1..200 {
        fleet.submit(id, job(vec![step(4)]));
    }
    fleet.advance_ms(800);
    let running = fleet.workers.values().map(|worker| worker.running.len()).sum::<usize>();
    assert!(running >= CORES - 4, "nobody else wants the room: {running}");
    for id in 0..200 {
        fleet.submit_to(audits(), AUDIT_IDS + id, job(vec![step(4)]));
    }
    fleet.advance_ms(FLOOR_WITHIN_MS);
    let others = audits_running(&fleet);
    assert!(others >= CORES * 6 / 10, "the others have {others} cores");
}

#[test]
fn a_paused_queue_accepts_jobs_and_starts_them_once_it_is_resumed() {
    let mut fleet = fleet_with(shares());
    let paused = ClaimantTerms { paused: true, ..ClaimantTerms::of_priority(2) };
    fleet.send_event(Event::ClaimantTermsChanged(BTreeMap::from([(audits().name, paused)])));
    let request = fleet.submit_to(audits(), AUDIT_IDS, job(vec![step(4)]));
    fleet.submit(1, job(vec![step(4)]));
    fleet.advance_ms(3_000);
    assert_eq!(fleet.is_refused(request), Some(false));
    assert_eq!(fleet.state(AUDIT_IDS), Some(JobState::Queued));
    assert_eq!(fleet.state(1), Some(JobState::Completed));
    fleet.send_event(Event::ClaimantTermsChanged(BTreeMap::new()));
    fleet.advance_ms(3_000);
    assert_eq!(fleet.state(AUDIT_IDS), Some(JobState::Completed));
}

#[test]
fn while_all_fits_every_decision_is_as_without_the_part() {
    let starts = |parts| {
        let mut fleet = fleet_with(parts);
        let large = Resources::new(2_500, 512, 0);
        for id in 0..30 {
            fleet.submit(id, job(vec![step(3), StepSpec { depends_on: vec![0], ..step(2) }]));
            fleet.submit_to(
                audits(),
                AUDIT_IDS + id,
                job(vec![StepSpec { size: large, ..step(1) }]),
            );
            fleet.advance_ms(600);
        }
        fleet.starts
    };
    assert_eq!(starts(shares()), starts(LoadParts::default()));
}

#[test]
fn large_tasks_find_gaps_while_many_small_ones_start() {
    let large_done = |parts| {
        let mut fleet = fleet_with(parts);
        let large = StepSpec { size: Resources::new(3_000, 512, 0), ..step(1) };
        let small = StepSpec { size: Resources::new(500, 256, 0), ..step(6) };
        for no in 0..160 {
            match no % 3 {
                0 => fleet.submit(AUDIT_IDS + no, job(vec![large.clone()])),
                _ => fleet.submit(no, job(vec![small.clone()])),
            };
            fleet.advance_ms(100);
        }
        fleet.advance_ms(500);
        let done = |entry: &LogEntry| match entry {
            LogEntry::JobEnded { job, after_ms, objective_ms, .. } => {
                job.0 >= AUDIT_IDS && after_ms <= objective_ms
            }
            _ => false,
        };
        fleet.log_entries.iter().filter(|(_, entry)| done(entry)).count()
    };
    let (with_shares, without) = (large_done(shares()), large_done(LoadParts::default()));
    assert!(with_shares > without, "{with_shares} in time with shares, {without} without");
}

/// What the callers of one queue saw.
#[derive(Debug, Default, Clone, Copy)]
struct Outcomes {
    in_time: u32,
    late: u32,
    never: u32,
}

/// Lets an urgent queue reserve half of the fleet, and another one submit three times the
/// best-effort work that the rest can do, for twelve seconds.
fn three_times_the_load(parts: LoadParts) -> (Outcomes, Outcomes) {
    let mut fleet = fleet_with(parts);
    let audit = || {
        let wide = StepSpec { best_effort: true, keeps_progress: true, ..step(6) };
        job(vec![wide.clone(), StepSpec { depends_on: vec![0], ..wide }])
    };
    let mut submitted = Vec::new();
    for no in 0..48 {
        fleet.submit(no, job(vec![step(4)]));
        fleet.submit_to(audits(), AUDIT_IDS + no, audit());
        submitted.extend([no, AUDIT_IDS + no]);
        fleet.advance_ms(250);
    }
    fleet.advance_ms(4_000);
    let mut outcomes = [Outcomes::default(); 2];
    for id in submitted {
        let outcome = &mut outcomes[usize::from(id >= AUDIT_IDS)];
        let ended = fleet.log_entries.iter().find_map(|(_, entry)| match entry {
            LogEntry::JobEnded { job, after_ms, objective_ms, .. } if job.0 == id => {
                Some(after_ms <= objective_ms)
            }
            _ => None,
        });
        match ended {
            Some(true) => outcome.in_time += 1,
            Some(false) => outcome.late += 1,
            None => outcome.never += 1,
        }
    }
    (outcomes[0], outcomes[1])
}

#[test]
fn at_three_times_the_load_more_callers_are_in_time() {
    let (urgent, audit) = three_times_the_load(shares());
    let (urgent_before, audit_before) = three_times_the_load(LoadParts::default());
    let seen = format!("{urgent:?} {audit:?}, without {urgent_before:?} {audit_before:?}");
    assert!(urgent.in_time * 100 >= urgent_before.in_time * 95, "{seen}");
    assert!(audit.in_time > audit_before.in_time, "{seen}");
    assert!(
        urgent.in_time + audit.in_time > urgent_before.in_time + audit_before.in_time,
        "{seen}"
    );
}

#[test]
fn the_division_is_logged_for_each_queue_while_room_is_short() {
    let mut fleet = fleet_with(shares());
    flood(&mut fleet);
    fleet.advance_ms(3_000);
    let logged = |name: &str| {
        fleet.log_entries.iter().any(|(_, entry)| match entry {
            LogEntry::RoomDivided { queue, allowance_percent, .. } => {
                queue.as_str() == name && *allowance_percent > 0
            }
            _ => false,
        })
    };
    assert!(logged("checks") && logged("audits"));
    assert_eq!(fleet.state(1), Some(JobState::Completed), "{:?}", task(1, 0, 0));
}

#[test]
fn an_interrupted_long_running_task_gets_the_first_gap_that_fits() {
    let mut fleet = fleet_with(shares());
    let size = Resources::new(3_000, 512, 0);
    fleet.submit(1, job(vec![StepSpec { long_running: true, size, ..step(1) }]));
    fleet.advance_ms(1_000);
    let worker = fleet.worker_of(task(1, 0, 0));
    // Two of these fill no worker, so their queue always lacks a part of its share.
    for id in 100..500 {
        fleet.submit(id, job(vec![StepSpec { size: Resources::new(2_100, 256, 0), ..step(4) }]));
    }
    fleet.advance_ms(3_000);
    fleet.worker(&worker).behaviour = Behaviour::Crashed;
    let crashed_at = fleet.now;
    fleet.advance_until("the long-running task runs elsewhere", |fleet| {
        let is_restart = |(at, name, ..): &&(Time, TaskName, u32, String)| {
            *at > crashed_at && *name == task(1, 0, 0)
        };
        fleet.starts.iter().any(|start| is_restart(&start))
    });
    // The lease of the crashed worker runs out first.
    let waited = fleet.now.since(crashed_at);
    assert!(waited < Duration::from_millis(9_000), "it waited {waited:?}");
}
