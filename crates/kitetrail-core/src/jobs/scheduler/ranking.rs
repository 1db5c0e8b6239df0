//! Workers in the order in which they suit the tasks of one step.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

use super::super::life::LifeNo;

/// A worker and how well it suits, less is better.
#[derive(Debug, Clone, Copy)]
struct Ranked {
    score: f64,
    life: LifeNo,
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
        self.score.total_cmp(&other.score).then(self.life.cmp(&other.life))
    }
}

/// Workers in the order in which they suit the tasks of one step.
///
/// All are scored once. What is placed on a worker changes the score of that one alone, so that it is
/// scored anew and takes its new place: a step of k tasks over n workers costs n + k scores, not k * n.
#[derive(Debug)]
pub(super) struct Ranking {
    heap: BinaryHeap<Reverse<Ranked>>,
}

impl Ranking {
    pub(super) fn new(scored: impl Iterator<Item = (f64, LifeNo)>) -> Self {
        let ranked = scored.map(|(score, life)| Reverse(Ranked { score, life }));
        Self { heap: ranked.collect() }
    }

    /// The best worker, which leaves the ranking.
    ///
    /// `rescore` scores a worker for the task at hand: one that suits it less than it did takes its new
    /// place, one that does not suit it at all is passed over.
    pub(super) fn take_best(
        &mut self,
        mut rescore: impl FnMut(LifeNo) -> Option<f64>,
    ) -> Option<LifeNo> {
        let mut passed_over = Vec::new();
        let mut best_life = None;
        while let Some(Reverse(best)) = self.heap.pop() {
            match rescore(best.life) {
                Some(score) if score.total_cmp(&best.score).is_le() => {
                    best_life = Some(best.life);
                    break;
                }
                Some(score) => self.heap.push(Reverse(Ranked { score, ..best })),
                None => passed_over.push(Reverse(best)),
            }
        }
        // It may suit the next task: one of this task's runs may be there still.
        self.heap.extend(passed_over);
        best_life
    }

    /// Takes a worker in again after something was placed there.
    pub(super) fn put_back(&mut self, life: LifeNo, score: f64) {
        self.heap.push(Reverse(Ranked { score, life }));
    }
}
