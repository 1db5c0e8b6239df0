//! The kitetrail daemon: settings, sockets, timers and the loop that owns the core.
//!
//! Everything runs on one thread. Request handlers use the router between two await points. All
//! other decisions are made by one control loop, which receives messages over a channel.

pub mod admission;
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
