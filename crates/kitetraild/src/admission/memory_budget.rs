//! A budget for the memory of the requests that a process receives and answers.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use kitetrail_core::ByteSize;

/// The part of the budget that only short requests may use, as a divisor. Ordinary requests are short, so they find room
/// while long ones wait for theirs.
const SHORT_SHARE_DIVISOR: usize = 4;
/// The size up to which a request is short, in bytes.
pub(super) const SHORT_REQUEST_BYTES: usize = 16 * 1_024;

/// The memory that all requests of a process may take together. Clones share one budget.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    usage: Arc<Usage>,
}

#[derive(Debug)]
struct Usage {
    capacity_bytes: usize,
    reserved_bytes: AtomicUsize,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is reserved.
    pub fn new(capacity: ByteSize) -> Self {
        let capacity_bytes = usize::try_from(capacity.0).unwrap_or(usize::MAX);
        Self { usage: Arc::new(Usage { capacity_bytes, reserved_bytes: AtomicUsize::new(0) }) }
    }

    /// Returns the size of the budget.
    pub fn capacity(&self) -> ByteSize {
        ByteSize(self.usage.capacity_bytes as u64)
    }

    /// Returns the reserved memory.
    pub fn reserved(&self) -> ByteSize {
        ByteSize(self.usage.reserved_bytes.load(Ordering::Relaxed) as u64)
    }

    /// Returns an empty reservation.
    pub fn empty_reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }

    /// Reserves memory for a request. Returns `None` if the budget does not hold it.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.empty_reservation();
        reservation.try_resize(bytes).then_some(reservation)
    }

    /// Returns the most that may be reserved in total when a request of this size grows.
    fn limit_bytes(&self, request_bytes: usize) -> usize {
        let capacity_bytes = self.usage.capacity_bytes;
        match request_bytes <= SHORT_REQUEST_BYTES {
            true => capacity_bytes,
            false => capacity_bytes - capacity_bytes / SHORT_SHARE_DIVISOR,
        }
    }
}

/// The memory reserved for one request. It returns to the budget when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    /// Returns the reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the size of the reservation. Returns `false`, without a change, if the budget does not hold it.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let limit = self.budget.limit_bytes(bytes);
        let resized = |reserved: usize| {
            let total = (reserved - self.bytes).checked_add(bytes)?;
            (bytes <= self.bytes || total <= limit).then_some(total)
        };
        let reserved_bytes = &self.budget.usage.reserved_bytes;
        let updated = reserved_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, resized);
        if updated.is_ok() {
            self.bytes = bytes;
        }
        updated.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.usage.reserved_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
