//! The state that this box keeps for one service.

use std::time::Duration;

use super::{EndpointId, queue::Queue, retry_budget::RetryBudget};
use crate::Time;

/// The time over which the rate of answers is smoothed, in seconds.
const RATE_WINDOW_S: f64 = 1.0;
/// The divisor of the longest wait during overload.
const OVERLOADED_WAIT_DIVISOR: u32 = 8;
/// The percentages of rejected requests above which overload begins and up to which it ends.
const OVERLOAD_PERCENT: (u32, u32) = (10, 2);
/// The shortest time after which a caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The longest time after which a caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The requests and endpoints of one service, as far as this box knows them.
#[derive(Debug)]
pub(super) struct Service {
    /// The endpoints in this box's availability zone.
    pub local: Vec<EndpointId>,
    /// The endpoints in other availability zones.
    pub remote: Vec<EndpointId>,
    /// The queued requests.
    pub queue: Queue,
    /// The retry budget.
    pub budget: RetryBudget,
    /// The number of this box's requests in flight.
    pub outstanding: usize,
    /// Whether many requests were rejected recently.
    overloaded: bool,
    answers_per_s: f64,
    rate_updated_at: Time,
    answered: u32,
    rejected: u32,
}

impl Service {
    /// Creates a service without endpoints or requests.
    pub fn new(retry_percent: u32, now: Time) -> Self {
        Self {
            local: Vec::new(),
            remote: Vec::new(),
            queue: Queue::default(),
            budget: RetryBudget::new(retry_percent),
            outstanding: 0,
            overloaded: false,
            answers_per_s: 0.0,
            rate_updated_at: now,
            answered: 0,
            rejected: 0,
        }
    }

    /// Returns the number of endpoints.
    pub fn endpoint_count(&self) -> usize {
        self.local.len() + self.remote.len()
    }

    /// Returns the time that a new request may wait.
    ///
    /// A short-lived queue smooths bursts. A standing queue only delays every request, so the
    /// wait is short while many requests are rejected.
    pub fn allowed_wait(&self, longest: Duration) -> Duration {
        if self.overloaded { longest / OVERLOADED_WAIT_DIVISOR } else { longest }
    }

    /// Returns the expected wait behind `ahead` requests.
    pub fn expected_wait(&self, ahead: usize) -> Duration {
        let rate = self.answers_per_s.max(1.0);
        Duration::from_secs_f64((ahead as f64 / rate).min(3_600.0))
    }

    /// Returns the time after which a request that is rejected now should be retried: once the
    /// queue has been served, and later the more requests are rejected.
    pub fn retry_after(&self) -> Duration {
        let pressure = f64::from(self.rejected) / f64::from(self.answered.max(1));
        let wait = self.expected_wait(self.queue.len()).as_secs_f64() + pressure.min(30.0);
        Duration::from_secs_f64(wait).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Records an answer.
    pub fn record_answer(&mut self, now: Time) {
        self.answered += 1;
        self.update_rate(now);
    }

    /// Records a rejected request.
    pub fn record_rejection(&mut self, now: Time) {
        self.rejected += 1;
        self.update_rate(now);
    }

    /// Updates the rate of answers and the overload state, at most every quarter of the window.
    pub fn update_rate(&mut self, now: Time) {
        let passed_s = now.since(self.rate_updated_at).as_secs_f64();
        if passed_s < RATE_WINDOW_S / 4.0 {
            return;
        }
        let weight = (passed_s / RATE_WINDOW_S).min(1.0);
        let rate = f64::from(self.answered) / passed_s;
        self.answers_per_s += (rate - self.answers_per_s) * weight;
        self.rate_updated_at = now;
        let (begins, ends) = OVERLOAD_PERCENT;
        let threshold = if self.overloaded { ends } else { begins };
        self.overloaded = self.rejected * 100 > (self.answered + self.rejected) * threshold;
        self.answered = 0;
        self.rejected = 0;
    }
}
