//! What a worker has been given, run by run.

use std::collections::BTreeMap;

use crate::{
    Attempt, Resources, SpecName, TaskClass, TaskId, Time,
    placement::ClassCount,
    task::{Kind, TaskRow},
    worker::{TaskReport, Want},
};

/// The part of a worker given to one run of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// What it takes.
    pub size: Resources,
    /// What kind of work it is.
    pub kind: Kind,
    /// The class of the task.
    pub class: TaskClass,
    /// The worker's run the grant was made for.
    pub boot: u64,
    /// What the owner wants of it.
    pub want: Want,
    /// The moment on the worker's clock up to which it may run, in milliseconds.
    pub lease_until_ms: u64,
    /// Until when a run that was replaced may finish its requests.
    pub drain_until: Option<Time>,
    /// The sequence of the first request that named it, once one was sent.
    pub ordered_at: Option<u64>,
    /// Whether the worker reported it running.
    pub running: bool,
    /// Whether the worker answered again after it had reported it running.
    pub runs_on: bool,
    /// The work not saved by a checkpoint yet, in milliseconds.
    pub unsaved_ms: u64,
}

impl Grant {
    /// The grant for a task that is about to be placed, or that a row says is placed.
    pub fn of(row: &TaskRow, boot: u64) -> Self {
        Self {
            size: row.spec.size,
            kind: row.spec.kind,
            class: row.spec.class.clone(),
            boot,
            want: Want::Run,
            lease_until_ms: 0,
            drain_until: None,
            ordered_at: None,
            running: false,
            runs_on: false,
            unsaved_ms: 0,
        }
    }

    /// The room held by a run that the worker reports and no row knows.
    pub fn of_unknown(report: &TaskReport, boot: u64) -> Self {
        Self {
            size: report.size,
            kind: report.kind,
            class: report.class.clone(),
            boot,
            want: Want::Stop,
            lease_until_ms: 0,
            drain_until: None,
            ordered_at: Some(0),
            running: true,
            runs_on: false,
            unsaved_ms: 0,
        }
    }
}

/// The grants on one worker. Their sum never passes the worker's capacity.
///
/// A grant leaves the ledger only when its run has certainly stopped.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ledger {
    capacity: Resources,
    used: Resources,
    classes: BTreeMap<TaskClass, ClassCount>,
    specs: BTreeMap<SpecName, u32>,
    grants: BTreeMap<(TaskId, Attempt), Grant>,
}

impl Ledger {
    /// An empty ledger of a worker of the given capacity.
    pub fn new(capacity: Resources) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// What may still be given.
    pub fn free(&self) -> Resources {
        self.capacity.checked_sub(&self.used).unwrap_or_default()
    }

    /// The sum of all grants.
    pub fn used(&self) -> &Resources {
        &self.used
    }

    /// The classes of the tasks on the worker, and how many there are of each.
    pub fn classes(&self) -> &BTreeMap<TaskClass, ClassCount> {
        &self.classes
    }

    /// How many tasks of a spec are on the worker.
    pub fn count_of(&self, spec: &SpecName) -> u32 {
        self.specs.get(spec).copied().unwrap_or(0)
    }

    /// The grant of a run.
    pub fn get(&self, task: &TaskId, attempt: Attempt) -> Option<&Grant> {
        self.grants.get(&(task.clone(), attempt))
    }

    /// All grants, by task.
    pub fn iter(&self) -> impl Iterator<Item = (&(TaskId, Attempt), &Grant)> {
        self.grants.iter()
    }

    /// Whether nothing is given.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Gives room to a run if there is enough. Returns whether it was given.
    pub fn try_grant(&mut self, task: TaskId, attempt: Attempt, grant: Grant) -> bool {
        let free = self.free();
        if !grant.size.fits_in(&free) || self.grants.contains_key(&(task.clone(), attempt)) {
            return false;
        }
        self.force(task, attempt, grant);
        true
    }

    /// Enters a run that is known to hold room already.
    pub fn force(&mut self, task: TaskId, attempt: Attempt, grant: Grant) {
        let (size, kind) = (grant.size, grant.kind);
        let (class, spec) = (grant.class.clone(), task.spec.clone());
        if self.grants.insert((task, attempt), grant).is_none() {
            self.used = self.used.saturating_add(&size);
            self.classes.entry(class).or_insert(ClassCount { kind, tasks: 0 }).tasks += 1;
            *self.specs.entry(spec).or_default() += 1;
        }
    }

    /// Takes note that the worker answered in the given run of its process.
    pub fn note_answer(&mut self, boot: u64) {
        for grant in self.grants.values_mut().filter(|grant| grant.boot == boot) {
            grant.runs_on |= grant.running;
        }
    }

    /// The grant of a run, to be changed. Its size must stay.
    pub fn get_mut(&mut self, task: &TaskId, attempt: Attempt) -> Option<&mut Grant> {
        self.grants.get_mut(&(task.clone(), attempt))
    }

    /// All grants, to be changed. Their sizes must stay.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&(TaskId, Attempt), &mut Grant)> {
        self.grants.iter_mut()
    }

    /// Takes back the room of a run that has certainly stopped.
    pub fn release(&mut self, task: &TaskId, attempt: Attempt) -> Option<Grant> {
        let grant = self.grants.remove(&(task.clone(), attempt))?;
        self.used = self.used.checked_sub(&grant.size).unwrap_or_default();
        take_one(&mut self.classes, &grant.class, |count| &mut count.tasks);
        take_one(&mut self.specs, &task.spec, |count| count);
        Some(grant)
    }

    /// Follows a change of the worker's capacity.
    pub fn set_capacity(&mut self, capacity: Resources) {
        self.capacity = capacity;
    }
}

/// Takes one off a count, and the entry away when it is zero.
fn take_one<K: Ord, V>(counts: &mut BTreeMap<K, V>, key: &K, count: fn(&mut V) -> &mut u32) {
    let Some(entry) = counts.get_mut(key) else { return };
    let left = count(entry);
    *left -= 1;
    if *left == 0 {
        counts.remove(key);
    }
}
