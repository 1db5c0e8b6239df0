use kitetrail_core::ByteSize;

use super::MachineLimits;

#[test]
fn shares_leave_the_larger_part_of_the_machine_to_the_process_itself() {
    for (memory_mb, max_descriptors) in [(160, 4_100), (260, 4_100), (512, 8_192), (1_024, 16_384)]
    {
        let limits = MachineLimits { memory: ByteSize(memory_mb * 1_000_000), max_descriptors };
        let connections = limits.max_connections() as u64;
        let shares = limits.request_memory().0 + limits.job_memory().0 + connections * 32 * 1_024;
        assert!(shares <= limits.memory.0 * 5 / 8, "{memory_mb} MB: {shares} bytes");
        assert!(connections <= max_descriptors / 4);
        assert!(connections >= 1_000, "{memory_mb} MB: {connections} connections");
    }
}
