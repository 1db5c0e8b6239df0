//! How a box stands, as it tells others without waiting for its own loop.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use kitetrail_proto::jobs::PingAnswer;

/// How long a loop that did not say how it stands is still taken for one that is late. Shorter than leases, 4 s.
const LATE_AT_MOST: Duration = Duration::from_millis(3_000);

/// How a box stands, as it tells others without waiting for its own loop.
///
/// A loop that has too much to do answers late. If that were all that others see of it, they would take it
/// for lost and take the fleet over, which costs another box, as slow, a question to each worker; four
/// boxes deposed each other so within 8 s. So the loop leaves here how it stands each time it gets
/// round, and another thread answers.
#[derive(Debug, Clone)]
pub(in crate::fleet) struct BoxStatus(Arc<Mutex<Published>>);

#[derive(Debug)]
struct Published {
    answer: PingAnswer,
    at: Instant,
}

impl BoxStatus {
    /// A box that has said nothing yet.
    pub(in crate::fleet) fn new(incarnation: u64) -> Self {
        let answer = PingAnswer { incarnation, ..PingAnswer::default() };
        Self(Arc::new(Mutex::new(Published { answer, at: Instant::now() })))
    }

    /// What is told to a box that asks.
    ///
    /// A loop that has not got round for long is no better than one that does not reach the store.
    pub(super) fn answer(&self, now: Instant) -> PingAnswer {
        let published = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut answer = published.answer.clone();
        let silent = now.saturating_duration_since(published.at);
        if silent > LATE_AT_MOST {
            answer.store_silent_ms = answer.store_silent_ms.max(silent.as_millis() as u64);
        }
        answer
    }

    /// Takes note of how the box stands.
    pub(in crate::fleet) fn publish(&self, answer: PingAnswer) {
        let mut published = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *published = Published { answer, at: Instant::now() };
    }

    /// Takes note of the epoch in which the box owns the fleet, or asks the store for it.
    pub(in crate::fleet) fn publish_epoch(&self, epoch: u64) {
        let mut published = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        published.answer.owns_epoch = epoch;
    }
}

#[cfg(test)]
mod tests;
