//! The memory that accepted jobs take, and which new jobs it has room for.

use std::collections::BTreeMap;

use super::super::{job::Job, names::QueueName};
use crate::ByteSize;

/// The size up to which a job is short, in bytes: about two hundred tasks.
const SHORT_JOB_BYTES: usize = 64 * 1_024;
/// The part of the memory that only short jobs may take, as a divisor.
const SHORT_SHARE_DIVISOR: usize = 4;
/// The part of the memory up to which jobs are accepted from any queue, as a divisor. Beyond it, each queue has an equal
/// share.
const COMMON_SHARE_DIVISOR: usize = 2;

/// The memory that accepted jobs take.
///
/// Accepted jobs are kept until they have ended, also by each later owner. New ones are refused while they still can be.
#[derive(Debug, Default)]
pub(super) struct AcceptedMemory {
    capacity_bytes: usize,
    used_bytes: usize,
    used_by_queue: BTreeMap<QueueName, usize>,
}

impl AcceptedMemory {
    pub(super) fn new(capacity: ByteSize) -> Self {
        let capacity_bytes = usize::try_from(capacity.0).unwrap_or(usize::MAX);
        Self { capacity_bytes, ..Self::default() }
    }

    pub(super) fn capacity(&self) -> ByteSize {
        ByteSize(self.capacity_bytes as u64)
    }

    pub(super) fn used(&self) -> ByteSize {
        ByteSize(self.used_bytes as u64)
    }

    /// Returns whether there is room for a new job of this size, where `queues` is the number of queues.
    pub(super) fn admits(&self, queue: &QueueName, job_bytes: usize, queues: usize) -> bool {
        let limit_bytes = match job_bytes <= SHORT_JOB_BYTES {
            true => self.capacity_bytes,
            false => self.capacity_bytes - self.capacity_bytes / SHORT_SHARE_DIVISOR,
        };
        let total_bytes = self.used_bytes.saturating_add(job_bytes);
        let queue_bytes = self.used_by_queue.get(queue).copied().unwrap_or(0);
        let is_common = total_bytes <= self.capacity_bytes / COMMON_SHARE_DIVISOR;
        let is_in_share = queue_bytes.saturating_add(job_bytes) <= limit_bytes / queues.max(1);
        total_bytes <= limit_bytes && (is_common || is_in_share)
    }

    pub(super) fn add(&mut self, job: &Job) {
        self.used_bytes += job.memory_bytes;
        *self.used_by_queue.entry(job.queue.name.clone()).or_default() += job.memory_bytes;
    }

    pub(super) fn remove(&mut self, job: &Job) {
        self.used_bytes -= job.memory_bytes;
        if let Some(queue_bytes) = self.used_by_queue.get_mut(&job.queue.name) {
            *queue_bytes -= job.memory_bytes;
            if *queue_bytes == 0 {
                self.used_by_queue.remove(&job.queue.name);
            }
        }
    }
}

#[cfg(test)]
mod tests;
