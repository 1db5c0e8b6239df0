//! A budget that limits retries to a share of the traffic.

/// The cost of one retry.
const RETRY_COST: u32 = 100;
/// The largest balance, in retries.
const MAX_BALANCE: u32 = 20;

/// A budget that grows with first sends and shrinks with retries and hedges.
#[derive(Debug, Clone)]
pub(super) struct RetryBudget {
    percent: u32,
    balance: u32,
}

impl RetryBudget {
    /// Creates a full budget that grows by `percent` retries for each hundred requests.
    pub fn new(percent: u32) -> Self {
        Self { percent, balance: MAX_BALANCE * RETRY_COST }
    }

    /// Records that a request was sent for the first time.
    pub fn record_first_send(&mut self) {
        self.balance = (self.balance + self.percent).min(MAX_BALANCE * RETRY_COST);
    }

    /// Withdraws one retry if the balance suffices. Returns whether it did.
    pub fn try_withdraw(&mut self) -> bool {
        match self.balance.checked_sub(RETRY_COST) {
            Some(remaining) => {
                self.balance = remaining;
                true
            }
            None => false,
        }
    }
}
