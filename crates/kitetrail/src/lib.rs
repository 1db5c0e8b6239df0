//! The command-line tool for operators.

pub mod args;
mod client;
mod commands;
mod error;
mod explain;
mod policy;
mod print;

pub use commands::run;
pub use error::CliError;
