//! Averages how long the tasks of one step take.

/// The weight of what was learned from other jobs, in runs of the step.
const LEARNED_WEIGHT: f64 = 1.0;

/// The geometric mean of the lengths of the runs of a step, completed or predicted.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::jobs) struct StepLength {
    runs: u32,
    sum_ln: f64,
}

impl StepLength {
    /// Records the length of a run, in milliseconds.
    pub(in crate::jobs) fn record(&mut self, total_ms: f64) {
        self.runs += 1;
        self.sum_ln += total_ms.max(1.0).ln();
    }

    /// Returns the expected length of a run, in milliseconds, from the other ones and from what was
    /// learned. `own_ms` is the length of the run itself if it was recorded.
    pub(in crate::jobs) fn expected_ms(&self, learned_ms: f64, own_ms: Option<f64>) -> f64 {
        let own_runs = f64::from(u8::from(own_ms.is_some()));
        let own_ln = own_ms.map_or(0.0, |own_ms| own_ms.max(1.0).ln());
        let weight = LEARNED_WEIGHT + f64::from(self.runs) - own_runs;
        let sum_ln = LEARNED_WEIGHT * learned_ms.max(1.0).ln() + self.sum_ln - own_ln;
        (sum_ln / weight.max(LEARNED_WEIGHT)).exp()
    }
}
