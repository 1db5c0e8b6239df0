//! Ends of runs that workers repeat until they are told that they are kept.

use std::collections::VecDeque;

use super::super::life::LifeNo;

/// An end that a worker told.
#[derive(Debug, Clone, Copy)]
pub(super) struct ToldEnd {
    pub(super) life: LifeNo,
    /// The worker's number of it.
    pub(super) number: u64,
    /// Our sequence number: what it changed waits to be kept under this number or an older one.
    seq: u64,
}

/// Ends of runs that are not kept, in the order in which they were told.
///
/// A worker repeats an end in each report until it is told that it is kept, and a report with an end comes at once. So
/// the ends of one second must not wait for the records of the next: told only once nothing at all waited, they
/// would pile up, and reading them take the time that the records need.
#[derive(Debug, Default)]
pub(super) struct UnkeptEnds {
    told: VecDeque<ToldEnd>,
    last_seq: u64,
}

impl UnkeptEnds {
    /// How many ends are not kept.
    pub(super) fn len(&self) -> usize {
        self.told.len()
    }

    /// The sequence number of what the last end changed.
    pub(super) fn last_seq(&self) -> u64 {
        self.last_seq
    }

    /// Takes note of an end, before what it changes.
    pub(super) fn push(&mut self, life: LifeNo, number: u64) {
        self.last_seq += 1;
        self.told.push_back(ToldEnd { life, number, seq: self.last_seq });
    }

    /// Takes out the ends that are kept, if the oldest change that is not has a given number.
    pub(super) fn take_kept(&mut self, oldest_unkept: Option<u64>) -> Vec<ToldEnd> {
        let is_unkept = |end: &ToldEnd| oldest_unkept.is_some_and(|oldest| oldest <= end.seq);
        let kept = self.told.iter().position(is_unkept).unwrap_or(self.told.len());
        self.told.drain(..kept).collect()
    }
}
