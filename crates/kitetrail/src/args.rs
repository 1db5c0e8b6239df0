//! The command line.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args as ClapArgs, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use kitetrail_core::{Accelerators, CpuMillis, MemoryMb, SpecName, TaskClass, TeamId};

/// Drives kitetrail: create services, batch jobs and watchers, and state what matters by
/// policies.
///
/// Exit codes: 0 done, 1 failed, 2 wrong usage or input, 3 not found, 4 someone else was
/// first, 5 impossible on this fleet, 6 nothing was changed because a part does not
/// answer, 7 not known whether the change took effect, 8 not allowed.
#[derive(Debug, Parser)]
#[command(name = "kitetrail", version)]
pub struct Args {
    /// The operators' address of any daemon.
    #[arg(long, env = "KITETRAIL_DAEMON", default_value = "127.0.0.1:7002", global = true)]
    pub daemon: SocketAddr,
    /// The token that says who you are, where the daemon asks for one.
    #[arg(long, env = "KITETRAIL_TOKEN", hide_env_values = true, global = true)]
    pub token: Option<String>,
    /// How to print the answer.
    #[arg(long, value_enum, default_value_t = Output::Text, global = true)]
    pub output: Output,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// How to print an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Services, which answer callers.
    #[command(subcommand)]
    Service(ServiceCommand),
    /// Batch jobs, which run to completion.
    #[command(subcommand)]
    Job(JobCommand),
    /// Watchers, which always run in exactly one place.
    #[command(subcommand)]
    Watcher(WatcherCommand),
    /// The program that states what matters.
    #[command(subcommand)]
    Policy(PolicyCommand),
    /// The configuration: policy and quotas.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Workers and entry boxes.
    #[command(subcommand)]
    Box(BoxCommand),
    /// How the daemon is doing.
    Status,
    /// Who changed what.
    Audit,
    /// What happened to a job, from the logs of all boxes.
    Explain {
        /// The job's id.
        job: String,
        /// The logs, one file a box.
        #[arg(long, num_args = 1.., required = true)]
        logs: Vec<PathBuf>,
    },
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// What each task takes and to whom it belongs.
#[derive(Debug, ClapArgs)]
pub struct TaskArgs {
    /// The name.
    pub name: SpecName,
    /// The team that owns it.
    #[arg(long)]
    pub team: TeamId,
    /// The class its tasks belong to: tasks that behave alike. The name if left out.
    #[arg(long)]
    pub class: Option<TaskClass>,
    /// Processors of each task, as `2` cores or `500m` thousandths.
    #[arg(long, default_value = "1")]
    pub cpu: CpuMillis,
    /// Memory of each task, as `512MiB` or `4GiB`.
    #[arg(long, default_value = "1GiB")]
    pub memory: MemoryMb,
    /// Whole accelerators of each task.
    #[arg(long, default_value = "0")]
    pub accelerators: Accelerators,
    /// How much it matters. Higher goes first; from 200 on it may displace other work.
    #[arg(long, default_value_t = 0)]
    pub priority: u8,
    /// The id of the change.
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// The id of a change.
#[derive(Debug, ClapArgs)]
pub struct ChangeArgs {
    /// An id for this change. Running the command again with the same id is safe.
    #[arg(long)]
    pub change: Option<String>,
}

/// Services, which answer callers.
#[derive(Debug, Subcommand)]
pub enum ServiceCommand {
    /// Create a service.
    Create {
        /// What each task takes.
        #[command(flatten)]
        task: TaskArgs,
        /// How many replicas to keep.
        #[arg(long, default_value_t = 1)]
        replicas: u32,
    },
    /// List all services.
    List,
    /// Show a service and its replicas.
    Show(NameArgs),
    /// Stop a service for good.
    Delete(StopArgs),
}

/// Batch jobs, which run to completion.
#[derive(Debug, Subcommand)]
pub enum JobCommand {
    /// Create a job.
    Create {
        /// What each task takes.
        #[command(flatten)]
        task: TaskArgs,
        /// How many tasks it has.
        #[arg(long, default_value_t = 1)]
        tasks: u32,
        /// How long a task is expected to run, in milliseconds.
        #[arg(long, default_value_t = 0)]
        run_ms: u64,
    },
    /// List all jobs.
    List,
    /// Show a job and its tasks.
    Show(NameArgs),
    /// Stop a job for good.
    Cancel(StopArgs),
}

/// Watchers, which always run in exactly one place.
#[derive(Debug, Subcommand)]
pub enum WatcherCommand {
    /// Create a watcher.
    Create {
        /// What each task takes.
        #[command(flatten)]
        task: TaskArgs,
    },
    /// List all watchers.
    List,
    /// Show a watcher.
    Show(NameArgs),
    /// Stop a watcher for good.
    Delete(StopArgs),
}

/// A name.
#[derive(Debug, ClapArgs)]
pub struct NameArgs {
    /// The name.
    pub name: SpecName,
}

/// A name and the id of a change.
#[derive(Debug, ClapArgs)]
pub struct StopArgs {
    /// The name.
    pub name: SpecName,
    /// The id of the change.
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// The program that states what matters.
#[derive(Debug, Subcommand)]
pub enum PolicyCommand {
    /// Check a policy without applying it.
    Check {
        /// The policy.
        file: PathBuf,
    },
    /// Show what a policy answers for the classes that exist, and where that differs from
    /// the policy in force.
    Test {
        /// The policy.
        file: PathBuf,
    },
    /// Put a policy in force.
    Apply {
        /// The policy.
        file: PathBuf,
        /// The id of the change.
        #[command(flatten)]
        change: ChangeArgs,
        /// Your name, for the record.
        #[arg(long, env = "USER", default_value = "operator")]
        author: String,
    },
    /// Show the policy in force.
    Show,
    /// List all that were accepted.
    History,
}

/// The configuration: policy and quotas.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Show the configuration in force.
    Show,
    /// Put a configuration, as JSON, in force.
    Apply {
        /// The configuration.
        file: PathBuf,
        /// The revision it was made from. The one in force if left out.
        #[arg(long)]
        based_on: Option<u64>,
        /// The id of the change.
        #[command(flatten)]
        change: ChangeArgs,
        /// Your name, for the record.
        #[arg(long, env = "USER", default_value = "operator")]
        author: String,
    },
    /// List all revisions.
    History,
    /// Show which box has which revision in force.
    Status,
}

/// Workers and entry boxes.
#[derive(Debug, Subcommand)]
pub enum BoxCommand {
    /// List the workers and entry boxes.
    List,
}
