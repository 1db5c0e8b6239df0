//! Tests of the choice of the tasks that make room for a more urgent one.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::time::Duration;

use kitetrail_core::jobs::{
    CrowdedWorker, InstanceNo, JobId, Need, Room, STOP_TIME, StoppableRun, TaskName, choose_stops,
};
use proptest::prelude::*;

const MANY_STOPS: usize = 8;

fn memory(memory_mb: u64) -> Room {
    Room { cpu_millis: 0, best_effort_millis: 0, memory_mb }
}

fn need(memory_mb: u64) -> Need {
    Need { priority: 0, room: memory(memory_mb), work_core_ms: 10_000, spare_time: STOP_TIME }
}

fn run(index: u32, memory_mb: u64, lost_core_ms: u64) -> StoppableRun {
    StoppableRun {
        task: TaskName { job: JobId(1), occurrence: 0, step: 0, index },
        run: 1,
        priority: 2,
        room: memory(memory_mb),
        lost_core_ms,
        left: Duration::from_secs(3),
    }
}

fn worker(no: u32, free_mb: u64, runs: Vec<StoppableRun>) -> CrowdedWorker {
    CrowdedWorker { instance: InstanceNo(no), free: memory(free_mb), runs }
}

fn stopped(need: &Need, workers: &[CrowdedWorker], max_stops: usize) -> Option<Vec<u32>> {
    let preemption = choose_stops(need, workers, max_stops)?;
    Some(preemption.stops.iter().map(|run| run.task.index).collect())
}

#[test]
fn the_worker_where_least_work_is_lost_makes_room() {
    let workers = [
        worker(1, 100, vec![run(1, 500, 900)]),
        worker(2, 100, vec![run(2, 200, 300), run(3, 200, 300)]),
        worker(3, 100, vec![run(4, 500, 5_000)]),
    ];
    assert_eq!(stopped(&need(500), &workers, MANY_STOPS), Some(vec![2, 3]));
    assert_eq!(stopped(&need(500), &workers, 1), Some(vec![1]), "one stop is left");
}

#[test]
fn a_stop_that_a_later_one_makes_superfluous_is_left_out() {
    let workers = [worker(1, 0, vec![run(1, 100, 10), run(2, 500, 20)])];
    assert_eq!(stopped(&need(500), &workers, MANY_STOPS), Some(vec![2]));
}

#[test]
fn nothing_is_stopped_that_is_as_urgent_or_nearly_done() {
    let as_urgent = StoppableRun { priority: 0, ..run(1, 500, 10) };
    let nearly_done = StoppableRun { left: Duration::from_millis(900), ..run(2, 500, 10) };
    let workers = [worker(1, 0, vec![as_urgent]), worker(2, 0, vec![nearly_done])];
    assert_eq!(stopped(&need(500), &workers, MANY_STOPS), None);
}

#[test]
fn nothing_is_stopped_for_a_task_that_can_no_longer_use_it_or_gains_too_little() {
    let workers = [worker(1, 0, vec![run(1, 500, 1_000)])];
    let late = Need { spare_time: STOP_TIME - Duration::from_millis(1), ..need(500) };
    assert_eq!(stopped(&late, &workers, MANY_STOPS), None);
    let small = Need { work_core_ms: 1_500, ..need(500) };
    assert_eq!(stopped(&small, &workers, MANY_STOPS), None);
    assert_eq!(stopped(&need(500), &workers, 0), None, "no stop is left in this second");
}

#[test]
fn nothing_is_stopped_where_there_is_room() {
    let workers = [worker(1, 600, vec![run(1, 500, 10)])];
    assert_eq!(stopped(&need(500), &workers, MANY_STOPS), None);
}

proptest! {
    #[test]
    fn each_stop_is_needed_and_all_together_are_enough(
        needed_mb in 1_u64..2_000,
        workers in prop::collection::vec(
            (0_u64..500, prop::collection::vec((1_u64..800, 1_u64..2_000), 0..8)),
            1..6,
        ),
    ) {
        let crowded = (0..).zip(&workers).map(|(no, (free_mb, runs))| {
            let runs = (0..).zip(runs).map(|(index, &(size_mb, lost))| run(index, size_mb, lost));
            worker(no, *free_mb, runs.collect())
        });
        let crowded = crowded.collect::<Vec<_>>();
        let need = need(needed_mb);
        if let Some(preemption) = choose_stops(&need, &crowded, MANY_STOPS) {
            let free_mb = crowded.iter().find(|each| each.instance == preemption.instance).unwrap();
            let free_mb = free_mb.free.memory_mb;
            let freed_mb = preemption.stops.iter().map(|run| run.room.memory_mb).sum::<u64>();
            prop_assert!(free_mb + freed_mb >= needed_mb);
            for stop in &preemption.stops {
                prop_assert!(free_mb + freed_mb - stop.room.memory_mb < needed_mb);
            }
            prop_assert!(preemption.stops.len() <= MANY_STOPS);
            prop_assert!(preemption.lost_core_ms() * 2 <= need.work_core_ms);
        }
    }
}
