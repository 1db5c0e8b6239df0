//! Chooses the running tasks that are stopped so that a more urgent task finds room.
//!
//! Answers the load of a queue that needs room while tasks of a less urgent one take it. A stop
//! takes up to [`STOP_TIME`] and throws work away, so it is chosen only where the waiting task can
//! still use the room, and gains more than the stopped tasks lose.

use std::time::Duration;

use super::{instance::InstanceNo, names::TaskName, room::Room};

/// The longest time that a worker takes to stop a task.
pub const STOP_TIME: Duration = Duration::from_millis(900);
/// The largest part of the waiting task's work that its room may cost in work thrown away, in
/// percent. Above it, less gets done in all.
const MAX_LOST_PERCENT: u64 = 50;
/// A run that ends within this time is left to end: its room is free about as soon as after a stop.
const NEARLY_DONE: Duration = Duration::from_millis(1_000);

/// A waiting task that found no room.
#[derive(Debug, Clone, Copy)]
pub struct Need {
    /// The priority of its queue: a lower number is more urgent.
    pub priority: u32,
    /// The room that it takes.
    pub room: Room,
    /// The work of the task, in core-milliseconds.
    pub work_core_ms: u64,
    /// The longest time that it can wait and still be of use to its caller.
    pub spare_time: Duration,
}

/// A running task that may be stopped: it is best-effort or keeps its progress, and is not
/// long-running.
#[derive(Debug, Clone, Copy)]
pub struct StoppableRun {
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: u32,
    /// The priority of its queue.
    pub priority: u32,
    /// The room that it takes.
    pub room: Room,
    /// The work that a stop throws away and what its restart costs, in core-milliseconds.
    pub lost_core_ms: u64,
    /// The time that it has left to run.
    pub left: Duration,
}

/// A worker that could run the waiting task if some of its tasks were stopped.
#[derive(Debug, Clone)]
pub struct CrowdedWorker {
    /// The worker.
    pub instance: InstanceNo,
    /// The room that is left on it.
    pub free: Room,
    /// The tasks that may be stopped.
    pub runs: Vec<StoppableRun>,
}

/// The tasks to stop for a waiting task, all on one worker.
#[derive(Debug, Clone)]
pub struct Preemption {
    /// The worker.
    pub instance: InstanceNo,
    /// The tasks to stop: none of them could be omitted.
    pub stops: Vec<StoppableRun>,
}

impl Preemption {
    /// Returns the work that is thrown away, in core-milliseconds.
    pub fn lost_core_ms(&self) -> u64 {
        self.stops.iter().map(|run| run.lost_core_ms).sum()
    }
}

/// Chooses the worker on which room for a task costs least, with at most `max_stops` stops; `None`
/// if no stop is worth it.
pub fn choose_stops(
    need: &Need,
    workers: &[CrowdedWorker],
    max_stops: usize,
) -> Option<Preemption> {
    if need.spare_time < STOP_TIME {
        return None;
    }
    let max_lost_core_ms = need.work_core_ms * MAX_LOST_PERCENT / 100;
    let of_worker = |worker| stops_on(need, worker);
    let is_worth_it = |preemption: &Preemption| {
        !preemption.stops.is_empty()
            && preemption.stops.len() <= max_stops
            && preemption.lost_core_ms() <= max_lost_core_ms
    };
    workers
        .iter()
        .filter_map(of_worker)
        .filter(is_worth_it)
        .min_by_key(|preemption| (preemption.lost_core_ms(), preemption.stops.len()))
}

/// Returns the stops that make room on one worker, or `None` if there are none that do.
fn stops_on(need: &Need, worker: &CrowdedWorker) -> Option<Preemption> {
    let may_stop = |run: &&StoppableRun| run.priority > need.priority && run.left >= NEARLY_DONE;
    let mut runs = worker.runs.iter().filter(may_stop).copied().collect::<Vec<_>>();
    runs.sort_by_key(|run| run.lost_core_ms);
    let mut free = worker.free;
    let mut stops = Vec::new();
    for run in runs {
        if need.room.fits_in(&free) {
            break;
        }
        free += run.room;
        stops.push(run);
    }
    if !need.room.fits_in(&free) {
        return None;
    }
    // A later, larger task may have freed enough without the earlier ones.
    for index in (0..stops.len()).rev() {
        if let Some(left) = free.checked_sub(&stops[index].room)
            && need.room.fits_in(&left)
        {
            free = left;
            stops.remove(index);
        }
    }
    Some(Preemption { instance: worker.instance, stops })
}
