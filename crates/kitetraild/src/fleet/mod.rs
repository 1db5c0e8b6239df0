//! Runs the jobs of a fleet: every box accepts calls, and one of them owns the fleet and schedules it.
//!
//! All persisted state is in the platform's store. Boxes persist nothing of their own.

mod call_times;
mod calls;
mod committer;
mod config_watch;
mod connection_limits;
mod evacuation;
mod front;
mod log_entries;
mod operator_rows;
mod operators;
mod owner;
mod ownership;
mod peers;
mod predecessor;
mod relief_watch;
mod responses;
mod rows;
mod run;
mod scan;
mod settings;
mod shared;
mod speed_probe;
mod store_probe;
mod takeover;
mod workers_watch;

use kitetrail_platform::{
    SilenceCounts,
    fleet::{JobCodec, OperatorSource, RowStore, WorkerControl, WorkerList},
};

pub use connection_limits::{ConnectionLimits, ResponsePromises};
pub use run::run;
pub use settings::{FleetSettings, Listen};

/// The platform's services, as one type.
pub trait Platform: 'static {
    /// The store, which also lists workers and holds the operators' configuration and requests.
    type Store: RowStore + WorkerList + OperatorSource + Clone + 'static;
    /// The client that sends orders to workers.
    type Workers: WorkerControl + Clone + 'static;
    /// The codec of job requests and responses.
    type Codec: JobCodec + Clone + 'static;
}

/// The platform's services.
#[derive(Debug, Clone)]
pub struct Services<P: Platform> {
    /// The store.
    pub store: P::Store,
    /// The client that sends orders to workers.
    pub workers: P::Workers,
    /// The codec of job requests and responses.
    pub codec: P::Codec,
    /// The counts of connections found unresponsive, including those of the services.
    pub silences: SilenceCounts,
}
