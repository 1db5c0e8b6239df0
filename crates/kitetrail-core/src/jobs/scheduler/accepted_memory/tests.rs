use super::{super::super::names::QueueName, AcceptedMemory, SHORT_JOB_BYTES};
use crate::ByteSize;

/// The memory of these tests, in bytes.
const CAPACITY_BYTES: usize = 64 * SHORT_JOB_BYTES;
/// The size of a job that is not short, in bytes.
const LONG_JOB_BYTES: usize = 2 * SHORT_JOB_BYTES;

/// Fills the memory with jobs of a queue as far as they are admitted. Returns their number.
fn fill(memory: &mut AcceptedMemory, queue: &str, job_bytes: usize, queues: usize) -> usize {
    let queue = QueueName::from(queue);
    let mut jobs = 0;
    while memory.admits(&queue, job_bytes, queues) {
        memory.used_bytes += job_bytes;
        *memory.used_by_queue.entry(queue.clone()).or_default() += job_bytes;
        jobs += 1;
    }
    jobs
}

#[test]
fn long_jobs_leave_room_for_short_ones() {
    let mut memory = AcceptedMemory::new(ByteSize(CAPACITY_BYTES as u64));
    assert_eq!(fill(&mut memory, "packs", LONG_JOB_BYTES, 1), 24);
    assert_eq!(fill(&mut memory, "packs", SHORT_JOB_BYTES, 1), 16);
    assert_eq!(memory.used(), memory.capacity());
}

#[test]
fn one_full_queue_leaves_the_others_their_shares() {
    let mut memory = AcceptedMemory::new(ByteSize(CAPACITY_BYTES as u64));
    assert_eq!(fill(&mut memory, "packs", SHORT_JOB_BYTES, 3), 32);
    assert_eq!(fill(&mut memory, "checks", SHORT_JOB_BYTES, 3), 21);
    assert_eq!(fill(&mut memory, "watchers", SHORT_JOB_BYTES, 3), 11);
    assert!(memory.used() <= memory.capacity());
}
