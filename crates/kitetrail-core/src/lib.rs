//! Implements every decision of kitetrail as state machines that do no input or output.
//!
//! Each state machine takes an event and the current time and returns actions. The crate
//! opens no socket, reads no clock, never sleeps and uses no ambient randomness, so any
//! program can drive it: the daemon, a test on virtual time or an external test bench.

pub mod audit;
pub mod calls;
pub mod config;
pub mod evacuation;
pub mod fleet;
pub mod fleet_config;
pub mod ids;
pub mod jobs;
pub mod membership;
pub mod owner_relief;
pub mod placement;
pub mod routing;
pub mod shard;
pub mod succession;
pub mod table;
pub mod task;
pub mod time;
pub mod units;
pub mod worker;

pub use ids::{
    Attempt, BoxId, Epoch, InvalidId, OpId, ShardId, SpecName, TaskClass, TaskId, TeamId, Version,
    WorkerId, ZoneId,
};
pub use time::Time;
pub use units::{Accelerators, ByteSize, CpuMillis, InvalidSize, MemoryMb, Resources};
