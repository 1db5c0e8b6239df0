//! The lives of all workers of a fleet, by their number.

use std::collections::HashMap;

use super::{
    life::{Life, LifeNo},
    names::LifeId,
};

/// The lives of all workers of a fleet, by their number.
///
/// Every report and order looks its worker up, and each pass over the jobs walks all of them, so they lie
/// in one row: numbers are given out in order and never again, and a life that is over leaves a gap of
/// one pointer.
#[derive(Debug, Default)]
pub(super) struct Lives {
    slots: Vec<Option<Box<Life>>>,
    count: usize,
    /// The lives under each worker's id, the one that stands in the list last.
    by_worker: HashMap<LifeId, Vec<LifeNo>>,
}

impl Lives {
    /// How many lives there are.
    pub(super) fn len(&self) -> usize {
        self.count
    }

    pub(super) fn get(&self, no: LifeNo) -> Option<&Life> {
        self.slots.get(no.0 as usize)?.as_deref()
    }

    pub(super) fn get_mut(&mut self, no: LifeNo) -> Option<&mut Life> {
        self.slots.get_mut(no.0 as usize)?.as_deref_mut()
    }

    /// All lives, in the order of their numbers.
    pub(super) fn iter(&self) -> impl Iterator<Item = (LifeNo, &Life)> {
        let slots = (0..).map(LifeNo).zip(&self.slots);
        slots.filter_map(|(no, slot)| Some((no, slot.as_deref()?)))
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Life> {
        self.slots.iter().flatten().map(Box::as_ref)
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Life> {
        self.slots.iter_mut().flatten().map(Box::as_mut)
    }

    /// The numbers of all lives, in order.
    pub(super) fn numbers(&self) -> Vec<LifeNo> {
        self.iter().map(|(no, _)| no).collect()
    }

    /// The lives under a worker's id, the one that stands in the list last. More than one until answers have shown which
    /// of them is over.
    pub(super) fn of_worker(&self, id: &LifeId) -> &[LifeNo] {
        self.by_worker.get(id).map_or(&[], Vec::as_slice)
    }

    /// Takes note that a life is the one of its worker that stands in the list.
    pub(super) fn note_listed(&mut self, no: LifeNo) {
        let Some(life) = self.slots.get(no.0 as usize).and_then(Option::as_ref) else { return };
        if let Some(of_worker) = self.by_worker.get_mut(life.id()) {
            of_worker.retain(|&other| other != no);
            of_worker.push(no);
        }
    }

    /// Takes a life in under the next number.
    pub(super) fn push(&mut self, life: Life) -> LifeNo {
        let no = LifeNo(self.slots.len() as u32);
        self.by_worker.entry(life.id().clone()).or_default().push(no);
        self.slots.push(Some(Box::new(life)));
        self.count += 1;
        no
    }

    pub(super) fn remove(&mut self, no: LifeNo) -> Option<Life> {
        let life = self.slots.get_mut(no.0 as usize)?.take()?;
        self.count -= 1;
        if let Some(of_worker) = self.by_worker.get_mut(life.id()) {
            of_worker.retain(|&other| other != no);
            if of_worker.is_empty() {
                self.by_worker.remove(life.id());
            }
        }
        Some(*life)
    }
}
