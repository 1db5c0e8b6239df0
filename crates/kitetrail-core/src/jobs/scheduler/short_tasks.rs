//! Keeps room for short tasks beside long-running ones.

use std::time::Duration;

use super::{
    super::{names::TaskName, spec::StepSpec},
    Scheduler,
    free_capacity::capacity_millis,
};
use crate::Time;

/// The time constant of the average need of short tasks: several times the duration of a task.
const AVERAGING_TIME: Duration = Duration::from_millis(4_000);
/// The multiple of the average need for which room is kept, because arrivals are uneven.
const RESERVE_FACTOR: f64 = 1.3;
/// The average need below which no room is kept, because there are no more short tasks.
const MIN_NEED: f64 = 0.5;
/// The weight of a new task in the typical size of short tasks, 0 to 1.
const SIZE_WEIGHT: f64 = 0.05;
/// The number of typical short tasks that must fit on an empty worker for short tasks to be spread;
/// otherwise they are packed. This covers short tasks that take a large part of a worker, beside
/// long-running ones: if spread, they leave no gap for larger tasks.
const MIN_TASKS_TO_SPREAD: f64 = 4.0;
/// The longest time for which a long-running task is held back while there is, without a break,
/// room for two of its size. The platform counts it as lost after 3 s.
const MAX_HOLD_BACK: Duration = Duration::from_millis(2_000);

/// The observed need of short tasks: those that end by themselves and reserve processor time.
#[derive(Debug, Default)]
pub(super) struct ShortTasks {
    /// The typical processor time of a task, in thousandths of a core; 0 before any was observed.
    typical_millis: f64,
    /// The average number of running and waiting tasks.
    average_tasks: f64,
    /// The number of waiting tasks in the last pass.
    waiting: u32,
    /// The average processor time of a worker, in thousandths of a core.
    capacity_millis: f64,
    /// When the average was last updated.
    averaged_at: Time,
}

impl ShortTasks {
    /// Records the size of a task that starts.
    pub(super) fn record_size(&mut self, cpu_millis: u32) {
        let size = f64::from(cpu_millis);
        let weight = if self.typical_millis == 0.0 { 1.0 } else { SIZE_WEIGHT };
        self.typical_millis += weight * (size - self.typical_millis);
    }

    /// Updates the average with the number of running and waiting tasks.
    fn update_need(&mut self, tasks: u32, now: Time) {
        let gap_s = now.since(self.averaged_at).as_secs_f64();
        self.averaged_at = now;
        let decay = (-gap_s / AVERAGING_TIME.as_secs_f64()).exp();
        self.average_tasks = decay * self.average_tasks + (1.0 - decay) * f64::from(tasks);
    }

    /// Returns the processor time that is kept for short tasks, in thousandths of a core.
    pub(super) fn reserve_millis(&self) -> f64 {
        RESERVE_FACTOR * self.average_tasks * self.typical_millis
    }

    /// Returns whether short tasks waited in the last pass.
    pub(super) fn has_waiting_tasks(&self) -> bool {
        self.waiting > 0
    }

    /// Returns whether so few typical tasks fit on an empty worker that short tasks are packed.
    pub(super) fn is_packed(&self) -> bool {
        self.capacity_millis < MIN_TASKS_TO_SPREAD * self.typical_millis
    }

    /// Returns how many typical tasks fit in `free_millis` of processor time.
    pub(super) fn slots_in(&self, free_millis: u32) -> u32 {
        match self.typical_millis {
            0.0 => 0,
            typical_millis => (f64::from(free_millis) / typical_millis) as u32,
        }
    }
}

impl Scheduler {
    /// Updates the need of short tasks after a placement pass.
    pub(super) fn update_short_task_need(&mut self, waiting: u32) {
        self.refresh_rooms();
        let (mut running, mut total_millis) = (0, 0.0);
        for instance in self.instances.values() {
            running += instance
                .free_capacity
                .as_ref()
                .map_or(0, |free_capacity| free_capacity.short_tasks);
            total_millis += capacity_millis(instance);
        }
        self.short_tasks.update_need(running + waiting, self.now);
        self.short_tasks.waiting = waiting;
        self.short_tasks.capacity_millis = total_millis / self.instances.len().max(1) as f64;
    }

    /// Returns whether a long-running task that never ran waits so that short tasks find room, and
    /// records since when there has been room for it.
    ///
    /// Long-running tasks occupy their room for minutes. If they take all room, short tasks wait
    /// for a gap that is too small for a long-running one. A task that ran before is not held back.
    pub(super) fn is_held_back(&mut self, name: TaskName, spec: &StepSpec) -> bool {
        let Some(job) = self.jobs.get(&name.job) else { return false };
        let is_new = job.task(name).is_some_and(|task| task.last_run == 0);
        if !spec.long_running || !is_new || self.short_tasks.average_tasks < MIN_NEED {
            return false;
        }
        let (is_scarce, places) = self.scarcity_and_places(spec.size.cpu_millis.0);
        let now = self.now;
        let step = self.jobs.get_mut(&name.job).and_then(|job| job.step_mut(name.step_name()));
        let Some(step) = step else { return false };
        step.room_since = match places >= 2 {
            true => step.room_since.or(Some(now)),
            false => None,
        };
        let would_count_as_lost =
            step.room_since.is_some_and(|since| now.since(since) >= MAX_HOLD_BACK);
        is_scarce && !would_count_as_lost
    }

    /// Returns whether a long-running task would take room that short tasks need, wherever it were
    /// placed.
    pub(super) fn takes_capacity_of_short_tasks(&mut self, spec: &StepSpec) -> bool {
        let is_relevant = spec.long_running && self.short_tasks.average_tasks >= MIN_NEED;
        is_relevant && self.scarcity_and_places(spec.size.cpu_millis.0).0
    }

    /// Returns whether room for short tasks would be scarce once a task of the given size is
    /// placed, and how many such tasks find room.
    fn scarcity_and_places(&mut self, cpu_millis: u32) -> (bool, u32) {
        let (slots, places) = self.short_slots_and_places(cpu_millis);
        let taken_slots = self.short_tasks.slots_in(cpu_millis);
        let remaining_slots = f64::from(slots) - f64::from(taken_slots);
        (remaining_slots < RESERVE_FACTOR * self.short_tasks.average_tasks, places)
    }

    /// Returns how many short tasks the fleet has room for, including the running ones, and how
    /// many tasks of the given size find room.
    fn short_slots_and_places(&mut self, cpu_millis: u32) -> (u32, u32) {
        self.refresh_rooms();
        let (mut slots, mut places) = (0_u32, 0_u32);
        for instance in self.instances.values().filter(|instance| instance.accepts_work(self.now)) {
            let Some(free_capacity) = &instance.free_capacity else { continue };
            let free_millis = free_capacity.free.free.cpu_millis.0;
            // Tasks that ask for little have any number of slots.
            slots = slots
                .saturating_add(self.short_tasks.slots_in(free_millis))
                .saturating_add(free_capacity.short_tasks);
            places = places.saturating_add(free_millis / cpu_millis.max(1));
        }
        (slots, places)
    }
}
