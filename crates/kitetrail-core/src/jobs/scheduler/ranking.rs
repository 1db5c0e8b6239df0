//! Workers ranked by how well they suit the tasks of one step.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

use super::super::instance::InstanceNo;

/// A worker and its score, where lower is better.
#[derive(Debug, Clone, Copy)]
struct Ranked {
    score: f64,
    instance_no: InstanceNo,
}

impl PartialEq for Ranked {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Ranked {}

impl PartialOrd for Ranked {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Ranked {
    fn cmp(&self, other: &Self) -> Ordering {
        self.score.total_cmp(&other.score).then(self.instance_no.cmp(&other.instance_no))
    }
}

/// Workers ranked by how well they suit the tasks of one step.
///
/// All workers are scored once. Placing a task on a worker changes only the score of that worker,
/// which is then scored again and reinserted: a step of k tasks over n workers costs n + k
/// scores, not k * n.
#[derive(Debug)]
pub(super) struct Ranking {
    heap: BinaryHeap<Reverse<Ranked>>,
}

impl Ranking {
    pub(super) fn new(scored: impl Iterator<Item = (f64, InstanceNo)>) -> Self {
        let ranked = scored.map(|(score, instance_no)| Reverse(Ranked { score, instance_no }));
        Self { heap: ranked.collect() }
    }

    /// Removes and returns the best worker.
    ///
    /// `rescore` scores a worker for the task at hand: a worker with a worse score than before is
    /// reinserted, and one that can't run the task is skipped.
    pub(super) fn take_best(
        &mut self,
        mut rescore: impl FnMut(InstanceNo) -> Option<f64>,
    ) -> Option<InstanceNo> {
        let mut skipped = Vec::new();
        let mut best_worker = None;
        while let Some(Reverse(best)) = self.heap.pop() {
            match rescore(best.instance_no) {
                Some(score) if score.total_cmp(&best.score).is_le() => {
                    best_worker = Some(best.instance_no);
                    break;
                }
                Some(score) => self.heap.push(Reverse(Ranked { score, ..best })),
                None => skipped.push(Reverse(best)),
            }
        }
        // A skipped worker may suit the next task: it may still have run this one.
        self.heap.extend(skipped);
        best_worker
    }

    /// Inserts a worker again after a task was placed on it.
    pub(super) fn put_back(&mut self, instance_no: InstanceNo, score: f64) {
        self.heap.push(Reverse(Ranked { score, instance_no }));
    }
}
