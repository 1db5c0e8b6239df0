//! The status of a box, which other boxes can read while its main loop is busy.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use kitetrail_proto::jobs::PingAnswer;

/// The age up to which a status counts as that of a loop which is merely late. Shorter than leases, 4 s.
const MAX_STATUS_AGE: Duration = Duration::from_millis(3_000);

/// The status of a box, which other boxes can read while its main loop is busy.
///
/// An overloaded loop answers late. If other boxes waited for it, they would consider the box dead and
/// take the fleet over, which costs the next box, as slow as this one, a request to each worker. Four
/// boxes deposed each other within 8 s in this way. The loop therefore publishes its status here on each
/// iteration, and another thread answers pings.
#[derive(Debug, Clone)]
pub(in crate::fleet) struct PublishedStatus(Arc<Mutex<Snapshot>>);

#[derive(Debug)]
struct Snapshot {
    answer: PingAnswer,
    published_at: Instant,
}

impl PublishedStatus {
    /// Creates the status of a box whose loop has not published any yet.
    pub(in crate::fleet) fn new(incarnation: u64) -> Self {
        let answer = PingAnswer { incarnation, ..PingAnswer::default() };
        Self(Arc::new(Mutex::new(Snapshot { answer, published_at: Instant::now() })))
    }

    /// Returns the answer to a ping.
    ///
    /// A loop that has not published for long is reported like one that does not reach the store.
    pub(super) fn ping_answer(&self, now: Instant) -> PingAnswer {
        let published = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut answer = published.answer.clone();
        let age = now.saturating_duration_since(published.published_at);
        if age > MAX_STATUS_AGE {
            answer.store_silent_ms = answer.store_silent_ms.max(age.as_millis() as u64);
        }
        answer
    }

    /// Publishes the status of the box.
    pub(in crate::fleet) fn publish(&self, answer: PingAnswer) {
        let mut published = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *published = Snapshot { answer, published_at: Instant::now() };
    }

    /// Publishes the epoch in which the box owns the fleet, or for which it asks the store.
    pub(in crate::fleet) fn publish_epoch(&self, epoch: u64) {
        let mut published = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        published.answer.owns_epoch = epoch;
    }
}

#[cfg(test)]
mod tests;
