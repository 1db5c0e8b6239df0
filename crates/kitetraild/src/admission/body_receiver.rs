//! Receives the bodies of requests within a memory budget.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt::Display,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;
use tokio::{sync::Notify, time};

use super::memory_budget::{MemoryBudget, Reservation, SHORT_REQUEST_BYTES};

/// The smallest buffer of a body.
const MIN_BUFFER_BYTES: usize = 1_024;

/// Why a body was not received. Nothing of the request was passed on.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[error("the body has more than {0} bytes")]
    TooLong(usize),
    /// The body did not arrive in time.
    #[error("the body did not arrive within {0:?}")]
    TooSlow(Duration),
    /// The memory for requests is used up.
    #[error("the memory for requests is used up")]
    NoMemory,
    /// The connection failed.
    #[error("the body can't be read: {0}")]
    Unreadable(String),
}

/// A complete body and the memory reserved for it.
#[derive(Debug)]
pub struct ReceivedBody {
    /// The contents.
    pub contents: Vec<u8>,
    /// The memory of the request, which the contents take.
    pub reservation: Reservation,
}

/// A body of which a part has arrived.
#[derive(Debug)]
struct Reception {
    contents: Vec<u8>,
    reservation: Reservation,
    last_progress_at: Instant,
    evicted: Rc<Notify>,
}

/// Receives the bodies of requests within a memory budget.
///
/// When the budget is used up, the body that holds much and has not progressed for long is evicted, rather than one that
/// is arriving.
#[derive(Debug)]
pub struct BodyReceiver {
    budget: MemoryBudget,
    receptions: RefCell<BTreeMap<u64, Reception>>,
    next_id: Cell<u64>,
    evictions: Cell<u64>,
}

impl BodyReceiver {
    /// Creates a receiver that uses a budget.
    pub fn new(budget: MemoryBudget) -> Self {
        let (receptions, next_id) = (RefCell::default(), Cell::new(0));
        Self { budget, receptions, next_id, evictions: Cell::new(0) }
    }

    /// Returns the budget.
    pub fn budget(&self) -> &MemoryBudget {
        &self.budget
    }

    /// Returns the number of bodies evicted so far.
    pub fn evictions(&self) -> u64 {
        self.evictions.get()
    }

    /// Receives a body of at most `max_bytes` bytes within a timeout.
    pub async fn receive<B>(
        &self,
        body: B,
        max_bytes: usize,
        timeout: Duration,
    ) -> Result<ReceivedBody, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Display,
    {
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(BodyError::TooLong(max_bytes));
        }
        let reception = self.begin();
        let received = time::timeout(timeout, reception.collect(body, max_bytes)).await;
        received.unwrap_or(Err(BodyError::TooSlow(timeout)))
    }

    /// Changes the memory of a request that was received, evicting bodies if the budget is used up. Returns `false`,
    /// without a change, if the budget does not hold it.
    pub fn resize(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        let mut receptions = self.receptions.borrow_mut();
        while !reservation.try_resize(bytes) {
            if !self.evict_one(&mut receptions, None, bytes) {
                return false;
            }
        }
        true
    }

    fn begin(&self) -> ReceptionGuard<'_> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let evicted = Rc::new(Notify::new());
        let reception = Reception {
            contents: Vec::new(),
            reservation: self.budget.empty_reservation(),
            last_progress_at: Instant::now(),
            evicted: Rc::clone(&evicted),
        };
        self.receptions.borrow_mut().insert(id, reception);
        ReceptionGuard { receiver: self, id, evicted }
    }

    /// Appends a frame to a body, evicting others if the budget is used up.
    fn append(&self, id: u64, frame: &[u8], max_bytes: usize) -> Result<(), BodyError> {
        let mut receptions = self.receptions.borrow_mut();
        let reception = receptions.get(&id).ok_or(BodyError::NoMemory)?;
        let length = reception.contents.len() + frame.len();
        if length > max_bytes {
            return Err(BodyError::TooLong(max_bytes));
        }
        // The buffer doubles, so that a body in small frames is copied only a few times.
        let buffer_bytes =
            length.next_power_of_two().clamp(MIN_BUFFER_BYTES, max_bytes.max(length));
        while !Self::try_grow(&mut receptions, id, buffer_bytes) {
            if !self.evict_one(&mut receptions, Some(id), buffer_bytes) {
                return Err(BodyError::NoMemory);
            }
        }
        if let Some(reception) = receptions.get_mut(&id) {
            reception.contents.extend_from_slice(frame);
            reception.last_progress_at = Instant::now();
        }
        Ok(())
    }

    /// Grows the buffer of a body. Returns whether the budget holds it.
    fn try_grow(receptions: &mut BTreeMap<u64, Reception>, id: u64, buffer_bytes: usize) -> bool {
        let Some(Reception { contents, reservation, .. }) = receptions.get_mut(&id) else {
            return false;
        };
        let grows = buffer_bytes > contents.capacity();
        if grows && !reservation.try_resize(buffer_bytes) {
            return false;
        }
        if grows {
            contents.reserve_exact(buffer_bytes - contents.len());
        }
        true
    }

    /// Evicts the body that has held the most memory for the longest time without progress, for a request of a given
    /// size. Returns whether there was one.
    ///
    /// Long bodies are evicted first. A short body is only evicted for another short one.
    fn evict_one(
        &self,
        receptions: &mut BTreeMap<u64, Reception>,
        for_id: Option<u64>,
        request_bytes: usize,
    ) -> bool {
        let now = Instant::now();
        let is_short = request_bytes <= SHORT_REQUEST_BYTES;
        let candidates = receptions.iter().filter(|&(&id, reception)| {
            let held = reception.reservation.bytes();
            Some(id) != for_id && (held > SHORT_REQUEST_BYTES || is_short && held > 0)
        });
        let waste = |reception: &Reception| {
            let idle = now.saturating_duration_since(reception.last_progress_at);
            let held = reception.reservation.bytes();
            (held > SHORT_REQUEST_BYTES, idle.as_micros() * held as u128)
        };
        let victim = candidates.max_by_key(|(_, reception)| waste(reception)).map(|(&id, _)| id);
        let Some(victim) = victim.and_then(|id| receptions.remove(&id)) else { return false };
        self.evictions.set(self.evictions.get() + 1);
        victim.evicted.notify_one();
        true
    }
}

/// A body that is being received. It is forgotten when this is dropped, at any end of the request.
struct ReceptionGuard<'a> {
    receiver: &'a BodyReceiver,
    id: u64,
    evicted: Rc<Notify>,
}

impl ReceptionGuard<'_> {
    async fn collect<B>(&self, mut body: B, max_bytes: usize) -> Result<ReceivedBody, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Display,
    {
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.evicted.notified() => return Err(BodyError::NoMemory),
            };
            match frame {
                Some(Ok(frame)) => {
                    // Trailers are not used.
                    if let Ok(data) = frame.into_data() {
                        self.receiver.append(self.id, data.chunk(), max_bytes)?;
                    }
                }
                Some(Err(error)) => return Err(BodyError::Unreadable(error.to_string())),
                None => return self.finish(),
            }
        }
    }

    fn finish(&self) -> Result<ReceivedBody, BodyError> {
        let reception = self.receiver.receptions.borrow_mut().remove(&self.id);
        let Reception { contents, reservation, .. } = reception.ok_or(BodyError::NoMemory)?;
        Ok(ReceivedBody { contents, reservation })
    }
}

impl Drop for ReceptionGuard<'_> {
    fn drop(&mut self) {
        self.receiver.receptions.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
