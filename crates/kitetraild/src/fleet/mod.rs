//! Runs the jobs of a fleet: every box takes calls, one of them owns the fleet.
//!
//! What must last lives in the platform's store. Boxes keep nothing of their own.

mod calls;
mod committer;
mod config_watch;
mod connection_limits;
mod evacuation;
mod front;
mod notes;
mod operators;
mod owner;
mod ownership;
mod peers;
mod predecessor;
mod responses;
mod rows;
mod run;
mod scan;
mod settings;
mod shared;
mod store_doubt;
mod takeover;
mod workers_watch;

use kitetrail_platform::{
    SilenceCounts,
    fleet::{JobCodec, OperatorSource, RowStore, WorkerControl, WorkerList},
};

pub use connection_limits::{ConnectionLimits, Promises};
pub use run::run;
pub use settings::{FleetSettings, Listen};

/// The platform's services, as one type.
pub trait Platform: 'static {
    /// The store, which also lists workers and holds what operators ask for.
    type Store: RowStore + WorkerList + OperatorSource + Clone + 'static;
    /// Orders to workers.
    type Workers: WorkerControl + Clone + 'static;
    /// How callers write jobs.
    type Codec: JobCodec + Clone + 'static;
}

/// The platform's services.
#[derive(Debug, Clone)]
pub struct Services<P: Platform> {
    /// The store.
    pub store: P::Store,
    /// Orders to workers.
    pub workers: P::Workers,
    /// How callers write jobs.
    pub codec: P::Codec,
    /// How often connections were found silent, those of the services included.
    pub silences: SilenceCounts,
}
