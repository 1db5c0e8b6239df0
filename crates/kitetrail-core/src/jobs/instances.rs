//! The worker instances of a fleet, by their number.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use super::{
    instance::{InstanceNo, WorkerInstance},
    names::WorkerName,
    worker_entry::WorkerEntry,
};

/// A place at which a single instance is alive at a time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Place {
    Address(String),
    Machine(String),
}

impl Place {
    /// Returns the places of an entry.
    fn all_of(entry: &WorkerEntry) -> impl Iterator<Item = Self> {
        let machine = entry.machine.clone().map(Self::Machine);
        [Self::Address(entry.address.clone())].into_iter().chain(machine)
    }
}

/// The worker instances of a fleet, by their number.
///
/// Every report and order looks up its instance, and each pass over the jobs iterates over all of
/// them, so they are stored in one vector. Numbers are assigned in order and never reused; an
/// instance that is over leaves a gap of one pointer.
#[derive(Debug, Default)]
pub(super) struct Instances {
    slots: Vec<Option<Box<WorkerInstance>>>,
    count: usize,
    /// The instances under each worker's id, the listed one last.
    by_worker: HashMap<WorkerName, Vec<InstanceNo>>,
    by_place: HashMap<Place, Vec<InstanceNo>>,
}

impl Instances {
    /// Returns the number of instances.
    pub(super) fn len(&self) -> usize {
        self.count
    }

    pub(super) fn get(&self, number: InstanceNo) -> Option<&WorkerInstance> {
        self.slots.get(number.0 as usize)?.as_deref()
    }

    pub(super) fn get_mut(&mut self, number: InstanceNo) -> Option<&mut WorkerInstance> {
        self.slots.get_mut(number.0 as usize)?.as_deref_mut()
    }

    /// Returns all instances, in the order of their numbers.
    pub(super) fn iter(&self) -> impl Iterator<Item = (InstanceNo, &WorkerInstance)> {
        let slots = (0..).map(InstanceNo).zip(&self.slots);
        slots.filter_map(|(number, slot)| Some((number, slot.as_deref()?)))
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &WorkerInstance> {
        self.slots.iter().flatten().map(Box::as_ref)
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut WorkerInstance> {
        self.slots.iter_mut().flatten().map(Box::as_mut)
    }

    /// Returns the numbers of all instances, in order.
    pub(super) fn numbers(&self) -> Vec<InstanceNo> {
        self.iter().map(|(number, _)| number).collect()
    }

    /// Returns the instances under a worker's id, the listed one last. There may be more than one
    /// until answers have shown which of them is over.
    pub(super) fn of_worker(&self, id: &WorkerName) -> &[InstanceNo] {
        self.by_worker.get(id).map_or(&[], Vec::as_slice)
    }

    /// Returns the instances of which only one is alive if the instance of the entry is, without that
    /// one itself.
    pub(super) fn conflicting_with(&self, entry: &WorkerEntry) -> BTreeSet<InstanceNo> {
        let at_place = Place::all_of(entry).filter_map(|place| self.by_place.get(&place)).flatten();
        let candidates = self.of_worker(&entry.id).iter().chain(at_place).copied();
        let conflicts = |&number: &InstanceNo| {
            self.get(number).is_some_and(|instance| instance.conflicts_with(entry))
        };
        candidates.filter(conflicts).collect()
    }

    /// Records that an instance is the listed one of its worker.
    pub(super) fn record_listed(&mut self, number: InstanceNo) {
        let Some(instance) = self.slots.get(number.0 as usize).and_then(Option::as_ref) else {
            return;
        };
        if let Some(of_worker) = self.by_worker.get_mut(instance.id()) {
            of_worker.retain(|&other| other != number);
            of_worker.push(number);
        }
    }

    /// Adds an instance under the next number.
    pub(super) fn push(&mut self, instance: WorkerInstance) -> InstanceNo {
        let number = InstanceNo(self.slots.len() as u32);
        self.by_worker.entry(instance.id().clone()).or_default().push(number);
        self.add_places(number, &instance.entry);
        self.slots.push(Some(Box::new(instance)));
        self.count += 1;
        number
    }

    pub(super) fn remove(&mut self, number: InstanceNo) -> Option<WorkerInstance> {
        let instance = self.slots.get_mut(number.0 as usize)?.take()?;
        self.count -= 1;
        self.remove_places(number, &instance.entry);
        if let Some(of_worker) = self.by_worker.get_mut(instance.id()) {
            of_worker.retain(|&other| other != number);
            if of_worker.is_empty() {
                self.by_worker.remove(instance.id());
            }
        }
        Some(*instance)
    }

    /// Replaces the entry of an instance.
    pub(super) fn replace_entry(&mut self, number: InstanceNo, entry: WorkerEntry) {
        let Some(instance) = self.get(number) else { return };
        let previous = Arc::clone(&instance.entry);
        if previous.address != entry.address || previous.machine != entry.machine {
            self.remove_places(number, &previous);
            self.add_places(number, &entry);
        }
        if let Some(instance) = self.get_mut(number) {
            instance.entry = Arc::new(entry);
            instance.free_capacity = None;
        }
    }

    fn add_places(&mut self, number: InstanceNo, entry: &WorkerEntry) {
        for place in Place::all_of(entry) {
            self.by_place.entry(place).or_default().push(number);
        }
    }

    fn remove_places(&mut self, number: InstanceNo, entry: &WorkerEntry) {
        for place in Place::all_of(entry) {
            let Some(numbers) = self.by_place.get_mut(&place) else { continue };
            numbers.retain(|&other| other != number);
            if numbers.is_empty() {
                self.by_place.remove(&place);
            }
        }
    }
}
