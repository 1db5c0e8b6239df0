//! Small stand-ins for the platform, used by tests and the quickstart.
//!
//! Each runs as a process of its own. The models behind them are plain state machines,
//! so that tests on virtual time can use the same ones.

pub mod args;
pub mod box_list;
pub mod caller;
pub mod journal;
pub mod judge;
pub mod plot;
pub mod server;
pub mod table;
pub mod worker;
