//! Tracks ends of runs that workers repeat until they are acknowledged as persisted.

use std::collections::VecDeque;

use super::super::instance::InstanceNo;

/// An end reported by a worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportedEnd {
    pub(super) instance: InstanceNo,
    /// The worker's number of the end.
    pub(super) number: u64,
    /// Our sequence number. The changes caused by the end wait to be persisted under this number or
    /// a lower one.
    seq: u64,
}

/// Ends of runs that are not persisted, in the order in which they were reported.
///
/// A worker repeats an end in each report until it is acknowledged, and sends a report with an end
/// at once. The ends of one second must therefore not wait for the records of the next. If ends
/// were acknowledged only when nothing at all was waiting, they would pile up, and reading them
/// would take the time needed to persist records.
#[derive(Debug, Default)]
pub(super) struct UnpersistedEnds {
    reported: VecDeque<ReportedEnd>,
    last_seq: u64,
}

impl UnpersistedEnds {
    /// Returns the number of ends that are not persisted.
    pub(super) fn len(&self) -> usize {
        self.reported.len()
    }

    /// Returns the sequence number of the first end that is not persisted, if there is one.
    pub(super) fn oldest_seq(&self) -> Option<u64> {
        self.reported.front().map(|end| end.seq)
    }

    /// Returns the sequence number for the changes caused by the latest end.
    pub(super) fn last_seq(&self) -> u64 {
        self.last_seq
    }

    /// Records an end, before the changes that it causes.
    pub(super) fn push(&mut self, instance: InstanceNo, number: u64) {
        self.last_seq += 1;
        self.reported.push_back(ReportedEnd { instance, number, seq: self.last_seq });
    }

    /// Removes and returns the persisted ends, given the number of the oldest change that is not
    /// persisted.
    pub(super) fn take_persisted(&mut self, oldest_unpersisted: Option<u64>) -> Vec<ReportedEnd> {
        let is_unpersisted =
            |end: &ReportedEnd| oldest_unpersisted.is_some_and(|oldest| oldest <= end.seq);
        let count = self.reported.iter().position(is_unpersisted).unwrap_or(self.reported.len());
        self.reported.drain(..count).collect()
    }
}
