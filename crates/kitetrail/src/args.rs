//! The command-line arguments.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args as ClapArgs, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use kitetrail_core::{Accelerators, CpuMillis, MemoryMb, SpecName, TaskClass, TeamId};

/// Manages kitetrail: services, batch jobs, watchers, policies and configuration.
///
/// Exit codes: 0 success, 1 failure, 2 wrong usage or input, 3 not found, 4 conflict with another
/// change, 5 impossible on this fleet, 6 nothing was changed because a component does not respond,
/// 7 unknown whether the change took effect, 8 not allowed.
#[derive(Debug, Parser)]
#[command(name = "kitetrail", version)]
pub struct Args {
    /// The address of the operator interface of any daemon.
    #[arg(long, env = "KITETRAIL_DAEMON", default_value = "127.0.0.1:7002", global = true)]
    pub daemon: SocketAddr,
    /// The token that authenticates you, if the daemon requires one.
    #[arg(long, env = "KITETRAIL_TOKEN", hide_env_values = true, global = true)]
    pub token: Option<String>,
    /// The output format.
    #[arg(long, value_enum, default_value_t = Output::Text, global = true)]
    pub output: Output,
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Tables for people.
    Text,
    /// JSON for programs.
    Json,
}

/// The command to run.
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
    /// The policy: a program that ranks tasks and limits how they share workers.
    #[command(subcommand)]
    Policy(PolicyCommand),
    /// The configuration: policy and quotas.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Workers and entry boxes.
    #[command(subcommand)]
    Box(BoxCommand),
    /// Workers of the users' platform: take one out of use, or back into use.
    #[command(subcommand)]
    Worker(WorkerCommand),
    /// Show the status of the daemon.
    Status,
    /// List who made which change.
    Audit,
    /// Show the history of a job, from the logs of all boxes.
    Explain {
        /// The job's id.
        job: String,
        /// The log files, one for each box.
        #[arg(long, num_args = 1.., required = true)]
        logs: Vec<PathBuf>,
    },
    /// Print the completion script for a shell.
    Completions {
        /// The name of the shell.
        shell: Shell,
    },
}

/// The properties shared by all tasks: owner, class, resources and priority.
#[derive(Debug, ClapArgs)]
pub struct TaskArgs {
    /// The name.
    pub name: SpecName,
    /// The team that owns it.
    #[arg(long)]
    pub team: TeamId,
    /// The class of its tasks; tasks of one class behave alike. Defaults to the name.
    #[arg(long)]
    pub class: Option<TaskClass>,
    /// The CPU of each task, in cores as `2` or in thousandths of a core as `500m`.
    #[arg(long, default_value = "1")]
    pub cpu: CpuMillis,
    /// The memory of each task, as `512MiB` or `4GiB`.
    #[arg(long, default_value = "1GiB")]
    pub memory: MemoryMb,
    /// The number of accelerators of each task, a whole number.
    #[arg(long, default_value = "0")]
    pub accelerators: Accelerators,
    /// The priority. Higher values are scheduled first; values from 200 may displace other work.
    #[arg(long, default_value_t = 0)]
    pub priority: u8,
    /// The id of the change.
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// The id of a change.
#[derive(Debug, ClapArgs)]
pub struct ChangeArgs {
    /// An id for this change. It is safe to repeat the command with the same id.
    #[arg(long)]
    pub change: Option<String>,
}

/// Services, which answer callers.
#[derive(Debug, Subcommand)]
pub enum ServiceCommand {
    /// Create a service.
    Create {
        /// The properties shared by all tasks.
        #[command(flatten)]
        task: TaskArgs,
        /// The number of replicas to keep running.
        #[arg(long, default_value_t = 1)]
        replicas: u32,
    },
    /// List all services.
    List,
    /// Show a service and its replicas.
    Show(NameArgs),
    /// Stop a service permanently.
    Delete(StopArgs),
}

/// Batch jobs, which run to completion.
#[derive(Debug, Subcommand)]
pub enum JobCommand {
    /// Create a job.
    Create {
        /// The properties shared by all tasks.
        #[command(flatten)]
        task: TaskArgs,
        /// The number of tasks.
        #[arg(long, default_value_t = 1)]
        tasks: u32,
        /// The expected run time of a task, in milliseconds.
        #[arg(long, default_value_t = 0)]
        run_ms: u64,
    },
    /// List all jobs.
    List,
    /// Show a job and its tasks.
    Show(NameArgs),
    /// Cancel a job permanently.
    Cancel(StopArgs),
}

/// Watchers, which always run in exactly one place.
#[derive(Debug, Subcommand)]
pub enum WatcherCommand {
    /// Create a watcher.
    Create {
        /// The properties shared by all tasks.
        #[command(flatten)]
        task: TaskArgs,
    },
    /// List all watchers.
    List,
    /// Show a watcher.
    Show(NameArgs),
    /// Stop a watcher permanently.
    Delete(StopArgs),
}

/// The name of a service, job or watcher.
#[derive(Debug, ClapArgs)]
pub struct NameArgs {
    /// The name.
    pub name: SpecName,
}

/// The name of a service, job or watcher, and the id of a change.
#[derive(Debug, ClapArgs)]
pub struct StopArgs {
    /// The name.
    pub name: SpecName,
    /// The id of the change.
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// Workers of the users' platform: take one out of use, or back into use.
#[derive(Debug, Subcommand)]
pub enum WorkerCommand {
    /// Start nothing more on a worker. What runs there ends by itself.
    Cordon(WorkerArgs),
    /// Start nothing more on a worker, and move its long tasks to others.
    Drain(WorkerArgs),
    /// Use a worker again.
    Release(WorkerArgs),
    /// List all workers that are cordoned or drained.
    List,
}

/// The name of a worker.
#[derive(Debug, ClapArgs)]
pub struct WorkerArgs {
    /// The id of the worker, or the name of its machine for all workers that start there.
    pub worker: String,
}

/// The policy: a program that ranks tasks and limits how they share workers.
#[derive(Debug, Subcommand)]
pub enum PolicyCommand {
    /// Check a policy without applying it.
    Check {
        /// The policy file.
        file: PathBuf,
    },
    /// Show the results of a policy for the existing classes, and where they differ from the policy in
    /// force.
    Test {
        /// The policy file.
        file: PathBuf,
    },
    /// Put a policy in force.
    Apply {
        /// The policy file.
        file: PathBuf,
        /// The id of the change.
        #[command(flatten)]
        change: ChangeArgs,
        /// Your name, recorded as the author of the revision.
        #[arg(long, env = "USER", default_value = "operator")]
        author: String,
    },
    /// Show the policy in force.
    Show,
    /// List all accepted revisions.
    History,
}

/// The configuration: policy and quotas.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Show the configuration in force.
    Show,
    /// Put a configuration in force.
    Apply {
        /// The configuration file, as JSON.
        file: PathBuf,
        /// The revision that the configuration is based on. Defaults to the revision in force.
        #[arg(long)]
        based_on: Option<u64>,
        /// The id of the change.
        #[command(flatten)]
        change: ChangeArgs,
        /// Your name, recorded as the author of the revision.
        #[arg(long, env = "USER", default_value = "operator")]
        author: String,
    },
    /// List all revisions.
    History,
    /// Show the revision in force on each box.
    Status,
}

/// Workers and entry boxes.
#[derive(Debug, Subcommand)]
pub enum BoxCommand {
    /// List the workers and entry boxes.
    List,
}
