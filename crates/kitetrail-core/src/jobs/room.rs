//! Room on workers, as divided among queues.

use std::{
    fmt::{self, Display, Formatter},
    ops::{Add, AddAssign},
};

use super::spec::StepSpec;

/// Room on workers, in the resources that queues compete for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Room {
    /// The reserved processor time, in thousandths of a core.
    pub cpu_millis: u64,
    /// The processor time that best-effort tasks use beside the reservations, in thousandths of a
    /// core.
    pub best_effort_millis: u64,
    /// The memory, in MB.
    pub memory_mb: u64,
}

impl Room {
    /// Returns the room that `tasks` tasks of a step take.
    pub fn of_tasks(spec: &StepSpec, tasks: u32) -> Self {
        let tasks = u64::from(tasks);
        let millis = tasks * u64::from(spec.size.cpu_millis.0);
        Self {
            cpu_millis: if spec.best_effort { 0 } else { millis },
            best_effort_millis: if spec.best_effort { millis } else { 0 },
            memory_mb: tasks * u64::from(spec.size.memory_mb.0),
        }
    }

    /// Returns the largest part of a resource of `total` that this takes: 1 is all of it.
    pub fn dominant_share(&self, total: &Self) -> f64 {
        self.parts_of(total).into_iter().fold(0.0, f64::max)
    }

    /// Returns whether this fits in `free`.
    pub fn fits_in(&self, free: &Self) -> bool {
        self.cpu_millis <= free.cpu_millis
            && self.best_effort_millis <= free.best_effort_millis
            && self.memory_mb <= free.memory_mb
    }

    /// Returns what is left once `taken` is taken, or `None` if that does not fit.
    pub fn checked_sub(&self, taken: &Self) -> Option<Self> {
        Some(Self {
            cpu_millis: self.cpu_millis.checked_sub(taken.cpu_millis)?,
            best_effort_millis: self.best_effort_millis.checked_sub(taken.best_effort_millis)?,
            memory_mb: self.memory_mb.checked_sub(taken.memory_mb)?,
        })
    }

    /// Returns the part that this takes of each resource of `total`.
    pub(super) fn parts_of(&self, total: &Self) -> [f64; 3] {
        let part = |taken: u64, total: u64| taken as f64 / total.max(1) as f64;
        [
            part(self.cpu_millis, total.cpu_millis),
            part(self.best_effort_millis, total.best_effort_millis),
            part(self.memory_mb, total.memory_mb),
        ]
    }
}

impl Add for Room {
    type Output = Self;

    fn add(mut self, other: Self) -> Self {
        self += other;
        self
    }
}

impl AddAssign for Room {
    fn add_assign(&mut self, other: Self) {
        self.cpu_millis += other.cpu_millis;
        self.best_effort_millis += other.best_effort_millis;
        self.memory_mb += other.memory_mb;
    }
}

impl Display for Room {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { cpu_millis, best_effort_millis, memory_mb } = self;
        write!(f, "cpu={cpu_millis}m beside={best_effort_millis}m memory={memory_mb}MiB")
    }
}
