//! Room that is kept for short work beside tasks that last.

use std::time::Duration;

use super::{
    super::{names::TaskName, spec::StepSpec},
    Scheduler,
    room::capacity_millis,
};
use crate::Time;

/// Over how long the need of short work is averaged: some times as long as a task takes.
const AVERAGED_OVER: Duration = Duration::from_millis(4_000);
/// Room is kept for so many times the average need: arrivals are uneven.
const ROOM_OF_NEED: f64 = 1.3;
/// Below this average need no room is kept: short work is over.
const LEAST_NEED: f64 = 0.5;
/// How much a task counts when the usual size of short tasks is worked out, 0 to 1.
const SIZE_WEIGHT: f64 = 0.05;
/// Short work is packed where fewer than so many of its usual tasks fit on an empty worker, and spread
/// elsewhere. Answers a load of short tasks that take a large part of a worker, beside tasks that last: spread,
/// they leave no gap for the larger ones.
const COARSE_BELOW: f64 = 4.0;
/// The longest time that a task that lasts is held back beside room for two of its size. The
/// platform counts it as lost after 3 s.
const HELD_BACK_MOST: Duration = Duration::from_millis(2_000);

/// What short work was seen to need: tasks that end by themselves and reserve processors.
#[derive(Debug, Default)]
pub(super) struct ShortWork {
    /// The usual processor time of a task, in thousandths of a core; 0 before any was seen.
    usual_millis: f64,
    /// How many tasks run or wait, on average.
    tasks: f64,
    /// How many tasks waited when that was looked at last.
    waiting: u32,
    /// The processor time of a worker, on average, in thousandths of a core.
    capacity_millis: f64,
    /// When the average was last brought up to date.
    averaged_at: Time,
}

impl ShortWork {
    /// Takes note of the size of a task that starts.
    pub(super) fn note_size(&mut self, cpu_millis: u32) {
        let size = f64::from(cpu_millis);
        let weight = if self.usual_millis == 0.0 { 1.0 } else { SIZE_WEIGHT };
        self.usual_millis += weight * (size - self.usual_millis);
    }

    /// Takes note of how many tasks run or wait.
    fn note_need(&mut self, tasks: u32, now: Time) {
        let gap_s = now.since(self.averaged_at).as_secs_f64();
        self.averaged_at = now;
        let kept = (-gap_s / AVERAGED_OVER.as_secs_f64()).exp();
        self.tasks = kept * self.tasks + (1.0 - kept) * f64::from(tasks);
    }

    /// Whether some waited when that was looked at last.
    pub(super) fn waits(&self) -> bool {
        self.waiting > 0
    }

    /// Whether few tasks of the usual size fit on an empty worker.
    pub(super) fn is_coarse(&self) -> bool {
        self.capacity_millis < COARSE_BELOW * self.usual_millis
    }

    /// How many tasks of the usual size fit in so much free processor time.
    pub(super) fn slots_in(&self, free_millis: u32) -> u32 {
        match self.usual_millis {
            0.0 => 0,
            usual_millis => (f64::from(free_millis) / usual_millis) as u32,
        }
    }
}

impl Scheduler {
    /// Brings up to date what short work needs, after all tasks that wait were looked at.
    pub(super) fn note_short_need(&mut self, waiting: u32) {
        self.refresh_rooms();
        let (mut running, mut millis) = (0, 0.0);
        for life in self.lives.values() {
            running += life.room.as_ref().map_or(0, |room| room.short_tasks);
            millis += capacity_millis(life);
        }
        self.short_work.note_need(running + waiting, self.now);
        self.short_work.waiting = waiting;
        self.short_work.capacity_millis = millis / self.lives.len().max(1) as f64;
    }

    /// Whether a task that lasts and never ran waits so that short work finds room.
    ///
    /// What lasts stays for minutes. Where it takes all room, short work waits for a gap that is too
    /// small for what lasts. A task that ran before is not held back.
    pub(super) fn is_held_back(&mut self, name: TaskName, spec: &StepSpec) -> bool {
        let Some(job) = self.jobs.get(&name.job) else { return false };
        let is_new = job.task(name).is_some_and(|task| task.last_run == 0);
        if !spec.lasts || !is_new || self.short_work.tasks < LEAST_NEED {
            return false;
        }
        let accepted_at = job.accepted_at;
        let (is_scarce, places) = self.scarcity_and_places(spec.size.cpu_millis.0);
        let would_count_as_lost = places >= 2 && self.now.since(accepted_at) >= HELD_BACK_MOST;
        is_scarce && !would_count_as_lost
    }

    /// Whether a task that lasts would take room that short work was seen to need, wherever it went.
    pub(super) fn takes_room_of_short_work(&mut self, spec: &StepSpec) -> bool {
        let matters = spec.lasts && self.short_work.tasks >= LEAST_NEED;
        matters && self.scarcity_and_places(spec.size.cpu_millis.0).0
    }

    /// Whether room for short work is scarce once a task of a given size has found a place, and how
    /// many such tasks find one.
    fn scarcity_and_places(&mut self, cpu_millis: u32) -> (bool, u32) {
        let (slots, places) = self.short_slots_and_places(cpu_millis);
        let taken = self.short_work.slots_in(cpu_millis);
        let left = f64::from(slots) - f64::from(taken);
        (left < ROOM_OF_NEED * self.short_work.tasks, places)
    }

    /// How many short tasks the fleet has room for, those that run included, and how many tasks of a
    /// given size find a place.
    fn short_slots_and_places(&mut self, cpu_millis: u32) -> (u32, u32) {
        self.refresh_rooms();
        let (mut slots, mut places) = (0, 0);
        for life in self.lives.values().filter(|life| life.takes_work(self.now)) {
            let Some(room) = &life.room else { continue };
            let free_millis = room.left.free.cpu_millis.0;
            slots += self.short_work.slots_in(free_millis) + room.short_tasks;
            places += free_millis / cpu_millis.max(1);
        }
        (slots, places)
    }
}
