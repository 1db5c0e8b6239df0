//! The daemon: settings, sockets, timers and the loop that owns the core.
//!
//! Everything runs on one thread. Requests touch the router between two waits; all
//! other decisions are made by one loop, fed by a channel.

pub mod args;
pub mod callers;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod fleet;
pub mod logging;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod settings;
