//! The daemon's command-line arguments.

use std::path::PathBuf;

use clap::Parser;

/// Schedules latency-critical and batch work, and routes callers' requests.
#[derive(Debug, Parser)]
#[command(name = "kitetraild", version)]
pub struct Args {
    /// The settings, as TOML.
    #[arg(long)]
    pub settings: PathBuf,
    /// Check the settings and stop.
    #[arg(long)]
    pub check: bool,
}
