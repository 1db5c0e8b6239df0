//! The resources of a worker that are granted to runs.

use std::collections::BTreeMap;

use crate::{
    Attempt, Resources, SpecName, TaskClass, TaskId, Time,
    placement::ClassCount,
    task::{SpecKind, TaskRow},
    worker::{DesiredState, TaskReport},
};

/// The resources of a worker that are granted to one run of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The resources that the run occupies.
    pub size: Resources,
    /// The kind of the task.
    pub kind: SpecKind,
    /// The class of the task.
    pub class: TaskClass,
    /// The boot number of the worker process that the grant was made for.
    pub boot: u64,
    /// The state that the owner requests of the run.
    pub want: DesiredState,
    /// The end of the run's lease on the worker's clock, in milliseconds.
    pub lease_until_ms: u64,
    /// The time until which a replaced replica may finish its requests.
    pub drain_until: Option<Time>,
    /// The sequence number of the first request that ordered the run, if one was sent, or zero if
    /// the worker reported the run first.
    pub first_order_sequence: Option<u64>,
    /// Whether the worker reported the run as running.
    pub running: bool,
    /// Whether the worker replied again after it had reported the run as running.
    pub confirmed_running: bool,
    /// The work that no checkpoint has saved yet, in milliseconds.
    pub unsaved_ms: u64,
}

impl Grant {
    /// Returns the grant of a task that is about to be placed or that its row records as placed.
    pub fn of(row: &TaskRow, boot: u64) -> Self {
        Self {
            size: row.spec.size,
            kind: row.spec.kind,
            class: row.spec.class.clone(),
            boot,
            want: DesiredState::Run,
            lease_until_ms: 0,
            drain_until: None,
            first_order_sequence: None,
            running: false,
            confirmed_running: false,
            unsaved_ms: 0,
        }
    }

    /// Returns the grant of a run that the worker reports and that no row records.
    pub fn for_unknown_run(report: &TaskReport, boot: u64) -> Self {
        Self {
            size: report.size,
            kind: report.kind,
            class: report.class.clone(),
            boot,
            want: DesiredState::Stop,
            lease_until_ms: 0,
            drain_until: None,
            first_order_sequence: Some(0),
            running: true,
            confirmed_running: false,
            unsaved_ms: 0,
        }
    }
}

/// The grants on one worker. [`Ledger::try_grant`] never exceeds the worker's capacity.
///
/// A grant is removed only when its run has certainly stopped.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ledger {
    capacity: Resources,
    used: Resources,
    classes: BTreeMap<TaskClass, ClassCount>,
    specs: BTreeMap<SpecName, u32>,
    grants: BTreeMap<(TaskId, Attempt), Grant>,
}

impl Ledger {
    /// Creates an empty ledger for a worker of the given capacity.
    pub fn new(capacity: Resources) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Returns the resources that are not granted.
    pub fn free(&self) -> Resources {
        self.capacity.checked_sub(&self.used).unwrap_or_default()
    }

    /// Returns the sum of all grants.
    pub fn used(&self) -> &Resources {
        &self.used
    }

    /// Returns the number of tasks of each class on the worker.
    pub fn classes(&self) -> &BTreeMap<TaskClass, ClassCount> {
        &self.classes
    }

    /// Returns the number of tasks of a spec on the worker.
    pub fn count_of(&self, spec: &SpecName) -> u32 {
        self.specs.get(spec).copied().unwrap_or(0)
    }

    /// Returns the grant of a run.
    pub fn get(&self, task: &TaskId, attempt: Attempt) -> Option<&Grant> {
        self.grants.get(&(task.clone(), attempt))
    }

    /// Returns all grants, ordered by task.
    pub fn iter(&self) -> impl Iterator<Item = (&(TaskId, Attempt), &Grant)> {
        self.grants.iter()
    }

    /// Returns whether the ledger holds no grants.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Adds a grant if enough resources are free. Returns whether it was added.
    pub fn try_grant(&mut self, task: TaskId, attempt: Attempt, grant: Grant) -> bool {
        let free = self.free();
        if !grant.size.fits_in(&free) || self.grants.contains_key(&(task.clone(), attempt)) {
            return false;
        }
        self.insert_unchecked(task, attempt, grant);
        true
    }

    /// Adds the grant of a run that already occupies its resources, without checking the capacity.
    pub fn insert_unchecked(&mut self, task: TaskId, attempt: Attempt, grant: Grant) {
        let (size, kind) = (grant.size, grant.kind);
        let (class, spec) = (grant.class.clone(), task.spec.clone());
        if self.grants.insert((task, attempt), grant).is_none() {
            self.used = self.used.saturating_add(&size);
            self.classes.entry(class).or_insert(ClassCount { kind, tasks: 0 }).tasks += 1;
            *self.specs.entry(spec).or_default() += 1;
        }
    }

    /// Records a reply of the worker process with the given boot number.
    pub fn record_answer(&mut self, boot: u64) {
        for grant in self.grants.values_mut().filter(|grant| grant.boot == boot) {
            grant.confirmed_running |= grant.running;
        }
    }

    /// Returns the grant of a run for changes. Its size must not change.
    pub fn get_mut(&mut self, task: &TaskId, attempt: Attempt) -> Option<&mut Grant> {
        self.grants.get_mut(&(task.clone(), attempt))
    }

    /// Returns all grants for changes. Their sizes must not change.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&(TaskId, Attempt), &mut Grant)> {
        self.grants.iter_mut()
    }

    /// Removes the grant of a run that has certainly stopped.
    pub fn release(&mut self, task: &TaskId, attempt: Attempt) -> Option<Grant> {
        let grant = self.grants.remove(&(task.clone(), attempt))?;
        self.used = self.used.checked_sub(&grant.size).unwrap_or_default();
        decrement_count(&mut self.classes, &grant.class, |count| &mut count.tasks);
        decrement_count(&mut self.specs, &task.spec, |count| count);
        Some(grant)
    }

    /// Updates the worker's capacity.
    pub fn set_capacity(&mut self, capacity: Resources) {
        self.capacity = capacity;
    }
}

/// Decrements a count and removes its entry at zero.
fn decrement_count<K: Ord, V>(counts: &mut BTreeMap<K, V>, key: &K, count: fn(&mut V) -> &mut u32) {
    let Some(entry) = counts.get_mut(key) else { return };
    let left = count(entry);
    *left -= 1;
    if *left == 0 {
        counts.remove(key);
    }
}
