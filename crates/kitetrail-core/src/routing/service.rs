//! The requests and endpoints of one service as this box sees them.

use std::time::Duration;

use super::{EndpointId, queue::Queue, retry_budget::RetryBudget};
use crate::Time;

/// Over how long the rate of answers is smoothed.
const RATE_WINDOW_S: f64 = 1.0;
/// The part of the longest wait that is left under overload.
const OVERLOADED_PART: u32 = 8;
/// How many of a hundred requests are refused when overload begins, and when it is over.
const OVERLOAD_PERCENT: (u32, u32) = (10, 2);
/// The shortest time after which to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The longest time after which to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The requests and endpoints of one service as this box sees them.
#[derive(Debug)]
pub(super) struct Service {
    /// Its endpoints in this box's availability zone.
    pub local: Vec<EndpointId>,
    /// Its endpoints elsewhere.
    pub remote: Vec<EndpointId>,
    /// Its requests that wait.
    pub queue: Queue,
    /// Its retries.
    pub budget: RetryBudget,
    /// How many of its requests are on their way.
    pub outstanding: usize,
    /// Whether many requests were refused of late.
    overloaded: bool,
    answers_per_s: f64,
    rated_at: Time,
    answered: u32,
    refused: u32,
}

impl Service {
    /// A service without endpoints or requests.
    pub fn new(retry_percent: u32, now: Time) -> Self {
        Self {
            local: Vec::new(),
            remote: Vec::new(),
            queue: Queue::default(),
            budget: RetryBudget::new(retry_percent),
            outstanding: 0,
            overloaded: false,
            answers_per_s: 0.0,
            rated_at: now,
            answered: 0,
            refused: 0,
        }
    }

    /// How many endpoints it has.
    pub fn endpoints(&self) -> usize {
        self.local.len() + self.remote.len()
    }

    /// How long a new request may wait.
    ///
    /// A queue that comes and goes evens out bursts. One that stands only makes every
    /// request late, so while many are refused the wait is short.
    pub fn allowed_wait(&self, longest: Duration) -> Duration {
        if self.overloaded { longest / OVERLOADED_PART } else { longest }
    }

    /// The expected wait behind so many requests.
    pub fn expected_wait(&self, ahead: usize) -> Duration {
        let rate = self.answers_per_s.max(1.0);
        Duration::from_secs_f64((ahead as f64 / rate).min(3_600.0))
    }

    /// When a request that is refused now should come back: when what waits is served,
    /// later the more requests are being refused.
    pub fn retry_after(&self) -> Duration {
        let pressure = f64::from(self.refused) / f64::from(self.answered.max(1));
        let wait = self.expected_wait(self.queue.len()).as_secs_f64() + pressure.min(30.0);
        Duration::from_secs_f64(wait).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Takes in an answer.
    pub fn note_answer(&mut self, now: Time) {
        self.answered += 1;
        self.rate(now);
    }

    /// Takes in a refusal.
    pub fn note_refused(&mut self, now: Time) {
        self.refused += 1;
        self.rate(now);
    }

    /// Works out the rate of answers from time to time.
    pub fn rate(&mut self, now: Time) {
        let passed_s = now.since(self.rated_at).as_secs_f64();
        if passed_s < RATE_WINDOW_S / 4.0 {
            return;
        }
        let weight = (passed_s / RATE_WINDOW_S).min(1.0);
        let rate = f64::from(self.answered) / passed_s;
        self.answers_per_s += (rate - self.answers_per_s) * weight;
        self.rated_at = now;
        let (begins, ends) = OVERLOAD_PERCENT;
        let threshold = if self.overloaded { ends } else { begins };
        self.overloaded = self.refused * 100 > (self.answered + self.refused) * threshold;
        self.answered = 0;
        self.refused = 0;
    }
}
