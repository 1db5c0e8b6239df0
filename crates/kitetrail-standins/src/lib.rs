//! Small stand-ins for the platform, used by tests and the quickstart.
//!
//! Each stand-in runs as a process of its own. The underlying models are plain state machines, so that
//! tests with virtual time can use the same models.

pub mod args;
pub mod box_list;
pub mod caller;
pub mod journal;
pub mod judge;
pub mod plot;
pub mod server;
pub mod table;
pub mod worker;
