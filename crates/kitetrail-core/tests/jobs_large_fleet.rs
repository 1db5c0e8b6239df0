//! Promises that must not depend on the number of workers.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::time::Duration;

use fleet::{Processor, SimulatedFleet, job, step, task};
use kitetrail_core::{
    Resources, Time,
    jobs::{JobId, JobState, StepSpec},
};

/// The numbers of workers of a small fleet and of a large one.
const FLEETS: [u32; 2] = [60, 6_000];
/// Twice the largest known fleet.
const LARGEST_FLEET: u32 = 12_000;
/// The time within which an end must be known on which a step waits.
const MAX_END_DELAY: Duration = Duration::from_millis(300);
/// The time of a poll that waits as long as the platform allows, and the pause after it.
const LONGEST_POLL_CYCLE: Duration = Duration::from_millis(2_120);

/// The time in which a killed owner is detected and replaced, and its rows are read.
const SILENT_LOSS_MS: u64 = 2_000;
/// The same for an owner that hands the fleet over.
const HANDOVER_MS: u64 = 500;
/// The processor time of an answer of a worker, with that of the call, on one core.
const CALL_COST: Duration = Duration::from_micros(110);

/// The time within which a caller is answered while an owner takes over.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(200);

/// Creates a fleet with one long-running task on each worker.
fn busy_fleet(workers: u32) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(workers);
    // Two of them do not fit on one worker.
    let size = Resources::new(3_000, 512, 0);
    let long_running = StepSpec { long_running: true, size, ..step(workers / 20) };
    for id in 1..=20 {
        fleet.submit(1_000 + id, job(vec![long_running.clone()]));
    }
    fleet
        .advance_until("all workers run something", |fleet| fleet.starts.len() == workers as usize);
    // All workers have been polled since.
    fleet.advance_ms(3_000);
    fleet
}

/// Returns when a task was started.
fn started_at(fleet: &SimulatedFleet, job: u64, step: u32) -> Time {
    let started = fleet.starts.iter().find(|(_, name, ..)| *name == task(job, step, 0));
    started.unwrap().0
}

#[test]
fn dependent_steps_start_soon_after_an_end_in_a_fleet_of_any_size() {
    const TASK_MS: u64 = 1_500;
    const STEPS: u32 = 3;
    for workers in [FLEETS[0], LARGEST_FLEET] {
        let mut fleet = busy_fleet(workers);
        fleet.task_duration_ms = Some(TASK_MS);
        let chained = |number| {
            let depends_on = if number == 0 { Vec::new() } else { vec![number - 1] };
            StepSpec { depends_on, ..step(1) }
        };
        for id in 1..=10 {
            fleet.submit(id, job((0..STEPS).map(chained).collect()));
            fleet.advance_ms(130);
        }
        fleet.advance_until("all chains complete", |fleet| {
            (1..=10).all(|id| fleet.state(id) == Some(JobState::Completed))
        });
        for id in 1..=10 {
            for step in 1..STEPS {
                let gap = started_at(&fleet, id, step).since(started_at(&fleet, id, step - 1));
                let delay = gap - Duration::from_millis(TASK_MS);
                assert!(
                    delay <= MAX_END_DELAY,
                    "{workers} workers: step {step} of {} starts {delay:?} after the end",
                    JobId(id)
                );
            }
        }
    }
}

#[test]
fn polls_of_workers_on_which_nothing_ends_wait_as_long_as_they_may_in_a_large_fleet() {
    const MEASURED_MS: u64 = 4_240;
    let workers = FLEETS[1];
    let mut fleet = busy_fleet(workers);
    let before = fleet.polls;
    fleet.advance_ms(MEASURED_MS);
    let cycles = MEASURED_MS / LONGEST_POLL_CYCLE.as_millis() as u64;
    // One more per worker, since the measurement may begin and end within a cycle.
    assert!(fleet.polls - before <= u64::from(workers) * (cycles + 1));
    assert!(fleet.workers.values().all(|worker| worker.expired_runs == 0));
}

/// Returns the ends of the leases of all workers, on their clocks.
fn leased_until_ms(fleet: &SimulatedFleet) -> Vec<u64> {
    fleet.workers.values().map(|worker| worker.leased_until_ms).collect()
}

/// Replaces the owner of a fleet after some time without one. Returns how many runs have lost their leases 3 s later.
///
/// The owner is lost at the end of a cycle in which all leases were renewed, some of them long before.
fn expired_after_loss(workers: u32, without_owner_ms: u64) -> u32 {
    let mut fleet = busy_fleet(workers);
    let renewed_ms = leased_until_ms(&fleet);
    fleet.advance_until("all leases are renewed", |fleet| {
        leased_until_ms(fleet).iter().zip(&renewed_ms).all(|(now, before)| now > before)
    });
    fleet.advance_without_owner(without_owner_ms);
    fleet.take_over(2, false);
    fleet.processor = Some(Processor::new(CALL_COST, fleet.now));
    fleet.advance_ms(3_000);
    fleet.workers.values().map(|worker| worker.expired_runs).sum()
}

#[test]
fn no_lease_of_a_live_worker_expires_when_the_owner_changes_in_a_fleet_of_any_size() {
    for workers in FLEETS {
        for without_owner_ms in [SILENT_LOSS_MS, HANDOVER_MS] {
            let expired = expired_after_loss(workers, without_owner_ms);
            assert_eq!(expired, 0, "{workers} workers, {without_owner_ms} ms without an owner");
        }
    }
}

#[test]
fn callers_are_answered_while_a_new_owner_polls_all_workers() {
    let mut fleet = busy_fleet(FLEETS[1]);
    fleet.take_over(2, true);
    fleet.processor = Some(Processor::new(CALL_COST, fleet.now));
    fleet.advance_ms(100);
    let request = fleet.submit(1, job(vec![step(1)]));
    let submitted_at = fleet.now;
    fleet.advance_ms(3_000);
    let answered_at = fleet.answered_at(request).unwrap();
    assert!(answered_at.since(submitted_at) <= MAX_ANSWER_DELAY, "after {answered_at}");
    assert!(fleet.workers.values().all(|worker| worker.expired_runs == 0));
}
