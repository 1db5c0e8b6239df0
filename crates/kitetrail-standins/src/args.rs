//! The command-line arguments of the stand-ins.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args as ClapArgs, Parser, Subcommand};

/// Small stand-ins for the platform, for tests and the quickstart.
#[derive(Debug, Parser)]
#[command(name = "kitetrail-standins", version)]
pub struct Args {
    /// The stand-in to run.
    #[command(subcommand)]
    pub role: Role,
}

/// The stand-in to run.
#[derive(Debug, Subcommand)]
pub enum Role {
    /// The transactional table and the object store.
    Table(TableArgs),
    /// The list of boxes, which shows changes with a delay.
    BoxList(BoxListArgs),
    /// A worker with its endpoint.
    Worker(WorkerArgs),
    /// Callers: an open-loop load generator that checks every answer.
    Caller(CallerArgs),
    /// Checks the journals of workers and callers for broken promises.
    Judge(JudgeArgs),
    /// Draws plots from the output of the measurement scripts.
    Plot(PlotArgs),
}

/// The transactional table and the object store.
#[derive(Debug, ClapArgs)]
pub struct TableArgs {
    /// The listen address.
    #[arg(long)]
    pub listen: SocketAddr,
}

/// The list of boxes, which shows changes with a delay.
#[derive(Debug, ClapArgs)]
pub struct BoxListArgs {
    /// The listen address.
    #[arg(long)]
    pub listen: SocketAddr,
    /// The TOML file that lists the boxes.
    #[arg(long)]
    pub fleet: PathBuf,
    /// The delay until a change becomes visible, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    pub lag_ms: u64,
}

/// A worker with its endpoint.
#[derive(Debug, ClapArgs)]
pub struct WorkerArgs {
    /// The id of the worker.
    #[arg(long)]
    pub id: String,
    /// The listen address of the control interface.
    #[arg(long)]
    pub control: SocketAddr,
    /// The listen address of the endpoint.
    #[arg(long)]
    pub endpoint: SocketAddr,
    /// The CPU capacity, in cores as `16` or in thousandths of a core as `500m`.
    #[arg(long, default_value = "16")]
    pub cpu: String,
    /// The memory capacity, as `60GiB`.
    #[arg(long, default_value = "60GiB")]
    pub memory: String,
    /// The number of accelerators.
    #[arg(long, default_value = "0")]
    pub accelerators: String,
    /// The maximum number of requests that the endpoint runs at a time.
    #[arg(long, default_value_t = 8)]
    pub slots: usize,
    /// The maximum number of waiting requests. The endpoint rejects further ones.
    #[arg(long, default_value_t = 8)]
    pub backlog: usize,
    /// The maximum number of connections that the endpoint accepts.
    #[arg(long, default_value_t = 60)]
    pub connections: usize,
    /// The run time of requests that do not set one, in microseconds.
    #[arg(long, default_value_t = 2000)]
    pub work_us: u64,
    /// The factor by which the endpoint is slower than others.
    #[arg(long, default_value_t = 1.0)]
    pub slowness: f64,
    /// The delay until usage is reported, in milliseconds.
    #[arg(long, default_value_t = 2000)]
    pub report_lag_ms: u64,
    /// The journal file of the worker.
    #[arg(long)]
    pub journal: PathBuf,
    /// The TOML file with the slowdowns between classes, as tables `[victim] aggressor = 0.5`.
    #[arg(long)]
    pub effects: Option<PathBuf>,
    /// Fail every task.
    #[arg(long)]
    pub fail_tasks: bool,
    /// The fault of the endpoint.
    #[arg(long, default_value = "none")]
    pub fault: EndpointFault,
    /// The interval of the fault: 1 affects each request, 3 every third one.
    #[arg(long, default_value_t = 1)]
    pub fault_every: u64,
}

/// The fault of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum EndpointFault {
    /// No fault.
    None,
    /// The endpoint closes the connection after it has read and run the request.
    CloseAfterRun,
    /// The body ends before its announced length.
    Truncate,
    /// The answer contains the id and the body of another request.
    Swap,
    /// The endpoint answers with status 500 immediately.
    FailFast,
    /// The answer arrives after the deadline of the caller.
    Late,
}

/// Callers: an open-loop load generator that checks every answer.
#[derive(Debug, ClapArgs)]
pub struct CallerArgs {
    /// The addresses of the entry boxes, or of an endpoint for direct calls.
    #[arg(long, required = true, value_delimiter = ',')]
    pub targets: Vec<SocketAddr>,
    /// The service to call.
    #[arg(long)]
    pub service: String,
    /// The number of requests per second.
    #[arg(long, default_value_t = 50.0)]
    pub rate: f64,
    /// The total number of requests.
    #[arg(long, default_value_t = 500)]
    pub count: u64,
    /// The percentage of requests that must not run more than once.
    #[arg(long, default_value_t = 50)]
    pub once_percent: u32,
    /// The percentage of those requests that are sent again to another entry box if the answer was not
    /// `done`.
    #[arg(long, default_value_t = 0)]
    pub resend_percent: u32,
    /// The timeout of each request, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    pub timeout_ms: u64,
    /// The run time of each request at the endpoint, in microseconds.
    #[arg(long, default_value_t = 2000)]
    pub work_us: u64,
    /// The size of each answer, in bytes.
    #[arg(long, default_value_t = 200)]
    pub answer_bytes: usize,
    /// The journal file of the answers.
    #[arg(long)]
    pub journal: Option<PathBuf>,
    /// The prefix of the request ids.
    #[arg(long, default_value = "r")]
    pub prefix: String,
    /// The seed of the arrival times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Checks the journals of workers and callers for broken promises.
#[derive(Debug, ClapArgs)]
pub struct JudgeArgs {
    /// The journal files of the workers.
    #[arg(long, value_delimiter = ',')]
    pub workers: Vec<PathBuf>,
    /// The journal files of the callers.
    #[arg(long, value_delimiter = ',')]
    pub callers: Vec<PathBuf>,
    /// A job whose tasks must each have completed exactly once, as `name:tasks`.
    #[arg(long)]
    pub job: Vec<String>,
}

/// Draws plots from the output of the measurement scripts.
#[derive(Debug, ClapArgs)]
pub struct PlotArgs {
    /// The file with the output of `scripts/measure-requests load`.
    #[arg(long)]
    pub from: PathBuf,
    /// The folder to which the plots are written.
    #[arg(long)]
    pub to: PathBuf,
}
