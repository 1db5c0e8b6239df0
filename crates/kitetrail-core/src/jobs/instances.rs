//! The worker instances of a fleet, by their number.

use std::collections::HashMap;

use super::{
    instance::{InstanceNo, WorkerInstance},
    names::WorkerName,
};

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
        self.slots.push(Some(Box::new(instance)));
        self.count += 1;
        number
    }

    pub(super) fn remove(&mut self, number: InstanceNo) -> Option<WorkerInstance> {
        let instance = self.slots.get_mut(number.0 as usize)?.take()?;
        self.count -= 1;
        if let Some(of_worker) = self.by_worker.get_mut(instance.id()) {
            of_worker.retain(|&other| other != number);
            if of_worker.is_empty() {
                self.by_worker.remove(instance.id());
            }
        }
        Some(*instance)
    }
}
