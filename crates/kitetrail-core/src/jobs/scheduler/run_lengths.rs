//! Learns how long the tasks of each kind of work take.

use std::collections::HashMap;

use super::{super::names::QueueName, length_model::LengthModel, tails::ImageNo};

/// The most kinds of work that are kept, about 250 bytes each. The one that was not seen for the
/// longest time is dropped first.
const MAX_KINDS: usize = 512;

/// Tasks that are expected to take about the same time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct RunKind {
    pub(super) queue: QueueName,
    /// The number of the step in its job.
    pub(super) step: u32,
    pub(super) image: ImageNo,
}

/// How long a task is expected to run at full speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ExpectedLength {
    /// The time that tasks of its kind take in the geometric mean, in milliseconds.
    pub(super) expected_ms: f64,
    /// The time that nineteen of twenty tasks don't exceed, in milliseconds.
    pub(super) high_ms: f64,
    /// The number of completed runs that this was learned from.
    pub(super) observations: u32,
}

#[derive(Debug)]
struct KindLengths {
    model: LengthModel,
    /// The number of the last completed run that was recorded here.
    last_recorded: u64,
}

/// The run lengths of all kinds of work, learned from completed runs.
///
/// The load it answers: callers whose estimates are wrong by a factor of ten, and a few tasks that
/// take many times as long as others.
#[derive(Debug, Default)]
pub(super) struct RunLengths {
    kinds: HashMap<RunKind, KindLengths>,
    recorded: u64,
}

impl RunLengths {
    /// Returns how long a task is expected to run, or `None` if too few of its kind completed.
    pub(super) fn expected(&self, kind: &RunKind, estimate_ms: u64) -> Option<ExpectedLength> {
        self.kinds.get(kind)?.model.expected(estimate_ms)
    }

    /// Returns the number of kinds that are kept.
    #[cfg(test)]
    pub(super) fn kinds(&self) -> usize {
        self.kinds.len()
    }

    /// Records a completed run that did the whole work of a task at full speed.
    pub(super) fn record(&mut self, kind: RunKind, estimate_ms: u64, run_ms: u64) {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            self.drop_oldest_kind();
        }
        self.recorded += 1;
        let lengths = self
            .kinds
            .entry(kind)
            .or_insert_with(|| KindLengths { model: LengthModel::default(), last_recorded: 0 });
        lengths.last_recorded = self.recorded;
        lengths.model.record(estimate_ms, run_ms);
    }

    fn drop_oldest_kind(&mut self) {
        let oldest = self.kinds.iter().min_by_key(|(_, lengths)| lengths.last_recorded);
        if let Some(kind) = oldest.map(|(kind, _)| kind.clone()) {
            self.kinds.remove(&kind);
        }
    }
}

#[cfg(test)]
mod tests;
