//! The limits of the machine that a process runs on, and the shares of them that callers may take.

use kitetrail_core::ByteSize;

/// The share of the memory for requests that are received or answered, as a divisor.
const REQUEST_SHARE_DIVISOR: u64 = 8;
/// The share of the memory for accepted jobs, as a divisor.
const JOB_SHARE_DIVISOR: u64 = 4;
/// The share of the memory and of the descriptors for callers' connections, as a divisor. The rest of the descriptors is
/// for connections to workers, to other boxes and to the store: an owner has about two for each worker.
const CONNECTION_SHARE_DIVISOR: u64 = 4;
/// The memory of a connection with full buffers, apart from the bodies of its requests.
const CONNECTION_BYTES: u64 = 32 * 1_024;

/// The limits of the machine that a process runs on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// The memory. A process that exceeds it is killed.
    pub memory: ByteSize,
    /// The number of descriptors that a process may open.
    pub max_descriptors: u64,
}

impl MachineLimits {
    /// Returns the memory for requests that are received or answered.
    pub fn request_memory(&self) -> ByteSize {
        ByteSize(self.memory.0 / REQUEST_SHARE_DIVISOR)
    }

    /// Returns the memory for accepted jobs.
    pub fn job_memory(&self) -> ByteSize {
        ByteSize(self.memory.0 / JOB_SHARE_DIVISOR)
    }

    /// Returns the number of connections that callers may open.
    pub fn max_connections(&self) -> usize {
        let by_memory = self.memory.0 / CONNECTION_SHARE_DIVISOR / CONNECTION_BYTES;
        let by_descriptors = self.max_descriptors / CONNECTION_SHARE_DIVISOR;
        usize::try_from(by_memory.min(by_descriptors)).unwrap_or(usize::MAX).max(1)
    }
}

#[cfg(test)]
mod tests;
