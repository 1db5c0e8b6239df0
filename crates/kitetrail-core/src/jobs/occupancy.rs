//! What holds the processor time of workers, and the gaps that are left.

use crate::ByteSize;

/// The processor time of some workers, in thousandths of a core, by what holds it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// The number of workers.
    pub workers: u32,
    /// All of their processor time.
    pub total_millis: u64,
    /// The part that short tasks reserve.
    pub short_millis: u64,
    /// The part that long-running tasks reserve.
    pub long_running_millis: u64,
    /// The part that is not reserved.
    pub free_millis: u64,
    /// The size of a large short task: nine of ten recent ones are not larger.
    pub large_task_millis: u32,
    /// The number of such tasks that fit in what is not reserved.
    pub large_gaps: u32,
    /// The memory that the accepted jobs take in the owner.
    pub job_memory: ByteSize,
}
