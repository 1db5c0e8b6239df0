//! The command line of the stand-ins.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args as ClapArgs, Parser, Subcommand};

/// Small stand-ins for the platform, for tests and the quickstart.
#[derive(Debug, Parser)]
#[command(name = "kitetrail-standins", version)]
pub struct Args {
    /// Which stand-in to run.
    #[command(subcommand)]
    pub role: Role,
}

/// Which stand-in to run.
#[derive(Debug, Subcommand)]
pub enum Role {
    /// The transactional table and the object store.
    Table(TableArgs),
    /// The lagging list of boxes.
    BoxList(BoxListArgs),
    /// A worker with its endpoint.
    Worker(WorkerArgs),
    /// Callers: an open-loop load that checks every answer.
    Caller(CallerArgs),
    /// Checks what workers and callers wrote down against the promises.
    Judge(JudgeArgs),
    /// Draws plots of what the measurement scripts printed.
    Plot(PlotArgs),
}

/// The transactional table and the object store.
#[derive(Debug, ClapArgs)]
pub struct TableArgs {
    /// Where to listen.
    #[arg(long)]
    pub listen: SocketAddr,
}

/// The lagging list of boxes.
#[derive(Debug, ClapArgs)]
pub struct BoxListArgs {
    /// Where to listen.
    #[arg(long)]
    pub listen: SocketAddr,
    /// The boxes, as TOML.
    #[arg(long)]
    pub fleet: PathBuf,
    /// How late changes show, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    pub lag_ms: u64,
}

/// A worker with its endpoint.
#[derive(Debug, ClapArgs)]
pub struct WorkerArgs {
    /// Its name.
    #[arg(long)]
    pub id: String,
    /// Where its control interface listens.
    #[arg(long)]
    pub control: SocketAddr,
    /// Where its endpoint listens.
    #[arg(long)]
    pub endpoint: SocketAddr,
    /// Its processors, as `16` or `500m`.
    #[arg(long, default_value = "16")]
    pub cpu: String,
    /// Its memory, as `60GiB`.
    #[arg(long, default_value = "60GiB")]
    pub memory: String,
    /// Its accelerators.
    #[arg(long, default_value = "0")]
    pub accelerators: String,
    /// How many requests its endpoint runs at a time.
    #[arg(long, default_value_t = 8)]
    pub slots: usize,
    /// How many requests its endpoint keeps waiting before it refuses.
    #[arg(long, default_value_t = 8)]
    pub backlog: usize,
    /// How many connections its endpoint accepts.
    #[arg(long, default_value_t = 60)]
    pub connections: usize,
    /// How long a request takes when it doesn't say, in microseconds.
    #[arg(long, default_value_t = 2000)]
    pub work_us: u64,
    /// How much slower its endpoint is than others.
    #[arg(long, default_value_t = 1.0)]
    pub slowness: f64,
    /// How late usage is reported, in milliseconds.
    #[arg(long, default_value_t = 2000)]
    pub report_lag_ms: u64,
    /// The file that records what it did.
    #[arg(long)]
    pub journal: PathBuf,
    /// How classes disturb each other, as TOML tables `[victim] aggressor = 0.5`.
    #[arg(long)]
    pub effects: Option<PathBuf>,
    /// Fail every task.
    #[arg(long)]
    pub fail_tasks: bool,
    /// How requests go wrong.
    #[arg(long, default_value = "none")]
    pub fault: EndpointFault,
    /// Every how many requests the fault strikes.
    #[arg(long, default_value_t = 1)]
    pub fault_every: u64,
}

/// How an endpoint's answers go wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum EndpointFault {
    /// They don't.
    None,
    /// The connection closes after the request was read and run.
    CloseAfterRun,
    /// The body ends before its announced length.
    Truncate,
    /// The answer carries another request's id and body.
    Swap,
    /// Every request is answered with status 500 at once.
    FailFast,
    /// The answer comes after the caller's deadline.
    Late,
}

/// Callers: an open-loop load that checks every answer.
#[derive(Debug, ClapArgs)]
pub struct CallerArgs {
    /// The entry boxes, or an endpoint for a direct call.
    #[arg(long, required = true, value_delimiter = ',')]
    pub targets: Vec<SocketAddr>,
    /// The service to call.
    #[arg(long)]
    pub service: String,
    /// How many requests a second.
    #[arg(long, default_value_t = 50.0)]
    pub rate: f64,
    /// How many requests in all.
    #[arg(long, default_value_t = 500)]
    pub count: u64,
    /// How many of a hundred must not be repeated.
    #[arg(long, default_value_t = 50)]
    pub once_percent: u32,
    /// How many of a hundred of those are sent again, by another entry box, when the
    /// answer was not `done`.
    #[arg(long, default_value_t = 0)]
    pub resend_percent: u32,
    /// How long each may take, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    pub timeout_ms: u64,
    /// How long each takes at the endpoint, in microseconds.
    #[arg(long, default_value_t = 2000)]
    pub work_us: u64,
    /// How many bytes each answer has.
    #[arg(long, default_value_t = 200)]
    pub answer_bytes: usize,
    /// The file that records each answer.
    #[arg(long)]
    pub journal: Option<PathBuf>,
    /// The start of each request's id.
    #[arg(long, default_value = "r")]
    pub prefix: String,
    /// The seed of the arrival times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Checks what workers and callers wrote down against the promises.
#[derive(Debug, ClapArgs)]
pub struct JudgeArgs {
    /// What workers wrote down.
    #[arg(long, value_delimiter = ',')]
    pub workers: Vec<PathBuf>,
    /// What callers wrote down.
    #[arg(long, value_delimiter = ',')]
    pub callers: Vec<PathBuf>,
    /// A job each of whose tasks must have run to its end exactly once, as `name:tasks`.
    #[arg(long)]
    pub job: Vec<String>,
}

/// Draws plots of what the measurement scripts printed.
#[derive(Debug, ClapArgs)]
pub struct PlotArgs {
    /// What `scripts/measure-requests load` printed.
    #[arg(long)]
    pub from: PathBuf,
    /// The folder that gets the plots.
    #[arg(long)]
    pub to: PathBuf,
}
