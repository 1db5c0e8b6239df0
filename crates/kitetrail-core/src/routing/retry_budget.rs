//! Retries as a share of traffic.

/// What one retry takes from the budget.
const RETRY_COST: u32 = 100;
/// The most that can be saved up, in retries.
const MAX_SAVED: u32 = 20;

/// A budget that grows with first sends and shrinks with retries and hedges.
#[derive(Debug, Clone)]
pub(super) struct RetryBudget {
    percent: u32,
    saved: u32,
}

impl RetryBudget {
    /// A budget of so many retries for each hundred requests, full to begin with.
    pub fn new(percent: u32) -> Self {
        Self { percent, saved: MAX_SAVED * RETRY_COST }
    }

    /// Takes in that a request was sent for the first time.
    pub fn note_first_send(&mut self) {
        self.saved = (self.saved + self.percent).min(MAX_SAVED * RETRY_COST);
    }

    /// Takes one retry out if there is one.
    pub fn try_take(&mut self) -> bool {
        match self.saved.checked_sub(RETRY_COST) {
            Some(rest) => {
                self.saved = rest;
                true
            }
            None => false,
        }
    }
}
