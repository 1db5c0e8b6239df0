//! Bounds what callers may take of a process's memory and descriptors.

mod body_receiver;
mod connection_table;
mod machine_limits;
mod memory_budget;

pub use body_receiver::{BodyError, BodyReceiver, ReceivedBody};
pub use connection_table::{Connection, ConnectionTable, RequestGuard};
pub use machine_limits::MachineLimits;
pub use memory_budget::{MemoryBudget, Reservation};
