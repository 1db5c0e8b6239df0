//! The implementations of the commands.

use std::{
    fs,
    path::Path,
    process,
    time::{SystemTime, UNIX_EPOCH},
};

use clap::CommandFactory;
use kitetrail_core::{
    Resources, SpecName,
    config::Configuration,
    jobs::{WorkerHold, WorkerRow},
    task::{Spec, SpecKind},
};
use serde_json::{Value, json};

use crate::{
    args::{
        Args, BoxCommand, ChangeArgs, Command, ConfigCommand, JobCommand, Output, PolicyCommand,
        ServiceCommand, StopArgs, TaskArgs, WatcherCommand, WorkerArgs, WorkerCommand,
    },
    client::Client,
    error::CliError,
    explain, policy,
    print::{Column, format_json, format_table},
};

const SPEC_COLUMNS: [Column; 7] = [
    ("NAME", "spec.name"),
    ("TEAM", "spec.team"),
    ("CLASS", "spec.class"),
    ("TASKS", "spec.tasks"),
    ("PRIORITY", "spec.priority"),
    ("SHARDS", "shards"),
    ("CANCELLED", "cancelled"),
];
const SUMMARY_COLUMNS: [Column; 6] = [
    ("NAME", "spec.spec.name"),
    ("QUEUED", "summary.queued"),
    ("PLACED", "summary.placed"),
    ("DONE", "summary.done"),
    ("FAILED", "summary.failed"),
    ("CANCELLED", "summary.cancelled"),
];
const TASK_COLUMNS: [Column; 4] =
    [("TASK", "task"), ("ATTEMPT", "attempt"), ("STAGE", "stage"), ("WORKER", "worker")];
const REVISION_COLUMNS: [Column; 3] =
    [("REVISION", "number"), ("AUTHOR", "author"), ("CHANGE", "change")];
const BOX_REVISION_COLUMNS: [Column; 4] =
    [("BOX", "box_id"), ("REVISION", "revision"), ("AGE_MS", "age_ms"), ("UP", "up")];
const WORKER_COLUMNS: [Column; 6] = [
    ("WORKER", "id"),
    ("ZONE", "zone"),
    ("RACK", "rack"),
    ("STATE", "state"),
    ("CPU_MILLIS", "capacity.cpu_millis"),
    ("MEMORY_MB", "capacity.memory_mb"),
];
const BOX_COLUMNS: [Column; 4] =
    [("BOX", "id"), ("ZONE", "zone"), ("STATE", "state"), ("PEER", "peer")];
const SHARD_COLUMNS: [Column; 6] = [
    ("SHARD", "shard"),
    ("OWNED", "owned"),
    ("EPOCH", "epoch"),
    ("QUEUED", "queued"),
    ("PLACED", "placed"),
    ("DETACHED", "detached"),
];
const SERVICE_COLUMNS: [Column; 5] = [
    ("SERVICE", "service"),
    ("ENDPOINTS", "endpoints"),
    ("EJECTED", "ejected"),
    ("QUEUED", "queued"),
    ("OUTSTANDING", "outstanding"),
];
const AUDIT_COLUMNS: [Column; 4] =
    [("AT_UNIX_MS", "at_unix_ms"), ("WHO", "who"), ("CHANGE", "change"), ("ACTION", "action")];
const OPERATOR_ROW_COLUMNS: [Column; 3] =
    [("ROW", "key"), ("HOLD", "row.hold"), ("VERSION", "version")];
const POLICY_TEST_COLUMNS: [Column; 8] = [
    ("CLASS", "class"),
    ("KIND", "kind"),
    ("RANK", "new.rank"),
    ("WAS", "in_force.rank"),
    ("SACRIFICE", "new.sacrifice"),
    ("WAS", "in_force.sacrifice"),
    ("APART_FROM", "apart_from"),
    ("DIFFERS", "differs"),
];

/// Runs a command and returns its output.
pub async fn run(args: Args) -> Result<String, CliError> {
    let client = Client::new(args.daemon, args.token);
    let output = args.output;
    match args.command {
        Command::Service(command) => run_service(&client, output, command).await,
        Command::Job(command) => run_job(&client, output, command).await,
        Command::Watcher(command) => run_watcher(&client, output, command).await,
        Command::Policy(command) => run_policy(&client, output, command).await,
        Command::Config(command) => run_config(&client, output, command).await,
        Command::Box(BoxCommand::List) => list_boxes(&client, output).await,
        Command::Worker(command) => run_worker(&client, output, command).await,
        Command::Audit => Ok(format_table(output, &client.get("/v1/audit").await?, &AUDIT_COLUMNS)),
        Command::Status => show_status(&client, output).await,
        Command::Explain { job, logs } => explain::explain(&job, &logs),
        Command::Completions { shell } => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Args::command(), "kitetrail", &mut text);
            Ok(String::from_utf8_lossy(&text).into_owned())
        }
    }
}

async fn run_service(
    client: &Client,
    output: Output,
    command: ServiceCommand,
) -> Result<String, CliError> {
    match command {
        ServiceCommand::Create { task, replicas } => {
            create_spec(client, output, SpecKind::Service, task, replicas, 0).await
        }
        ServiceCommand::List => list_specs(client, output, SpecKind::Service).await,
        ServiceCommand::Show(args) => show_spec(client, output, &args.name).await,
        ServiceCommand::Delete(args) => delete_spec(client, output, args).await,
    }
}

async fn run_job(client: &Client, output: Output, command: JobCommand) -> Result<String, CliError> {
    match command {
        JobCommand::Create { task, tasks, run_ms } => {
            create_spec(client, output, SpecKind::Job, task, tasks, run_ms).await
        }
        JobCommand::List => list_specs(client, output, SpecKind::Job).await,
        JobCommand::Show(args) => show_spec(client, output, &args.name).await,
        JobCommand::Cancel(args) => delete_spec(client, output, args).await,
    }
}

async fn run_watcher(
    client: &Client,
    output: Output,
    command: WatcherCommand,
) -> Result<String, CliError> {
    match command {
        WatcherCommand::Create { task } => {
            create_spec(client, output, SpecKind::Watcher, task, 1, 0).await
        }
        WatcherCommand::List => list_specs(client, output, SpecKind::Watcher).await,
        WatcherCommand::Show(args) => show_spec(client, output, &args.name).await,
        WatcherCommand::Delete(args) => delete_spec(client, output, args).await,
    }
}

async fn run_worker(
    client: &Client,
    output: Output,
    command: WorkerCommand,
) -> Result<String, CliError> {
    let (worker, hold) = match command {
        WorkerCommand::Cordon(WorkerArgs { worker }) => (worker, WorkerHold::Cordoned),
        WorkerCommand::Drain(WorkerArgs { worker }) => (worker, WorkerHold::Drained),
        WorkerCommand::Release(WorkerArgs { worker }) => {
            client.delete(&operator_row_path(&worker)).await?;
            return Ok(format!("{worker} is used again\n"));
        }
        WorkerCommand::List => {
            let rows = client.get("/v1/operator-rows").await?;
            return Ok(format_table(output, &rows, &OPERATOR_ROW_COLUMNS));
        }
    };
    let row = serde_json::to_value(WorkerRow { hold });
    let row = row.map_err(|error| CliError::Failed(error.to_string()))?;
    client.post(&operator_row_path(&worker), &row).await?;
    Ok(match hold {
        WorkerHold::Cordoned => format!("{worker} is cordoned\n"),
        WorkerHold::Drained => format!("{worker} is being drained\n"),
    })
}

fn operator_row_path(worker: &str) -> String {
    format!("/v1/operator-rows/worker/{worker}")
}

async fn run_policy(
    client: &Client,
    output: Output,
    command: PolicyCommand,
) -> Result<String, CliError> {
    match command {
        PolicyCommand::Check { file } => {
            policy::read(&file)?;
            Ok(format!("{} is valid\n", file.display()))
        }
        PolicyCommand::Test { file } => Ok(format_table(
            output,
            &policy::compare_with_policy_in_force(client, &file).await?,
            &POLICY_TEST_COLUMNS,
        )),
        PolicyCommand::Apply { file, change, author } => {
            let (text, _) = policy::read(&file)?;
            let (based_on, mut configuration) = fetch_revision_in_force(client).await?;
            configuration.policy = text;
            apply_configuration(client, output, configuration, based_on, change, author).await
        }
        PolicyCommand::Show => {
            let revision = client.get("/v1/config").await?;
            Ok(revision["configuration"]["policy"].as_str().unwrap_or_default().to_owned())
        }
        PolicyCommand::History => show_history(client, output).await,
    }
}

async fn run_config(
    client: &Client,
    output: Output,
    command: ConfigCommand,
) -> Result<String, CliError> {
    match command {
        ConfigCommand::Show => Ok(format_json(&client.get("/v1/config").await?)),
        ConfigCommand::Apply { file, based_on, change, author } => {
            let configuration = read_configuration(&file)?;
            let based_on = match based_on {
                Some(number) => number,
                None => fetch_revision_in_force(client).await?.0,
            };
            apply_configuration(client, output, configuration, based_on, change, author).await
        }
        ConfigCommand::History => show_history(client, output).await,
        ConfigCommand::Status => {
            let revisions = client.get("/v1/config/status").await?;
            Ok(format_table(output, &revisions, &BOX_REVISION_COLUMNS))
        }
    }
}

async fn create_spec(
    client: &Client,
    output: Output,
    kind: SpecKind,
    task: TaskArgs,
    tasks: u32,
    run_ms: u64,
) -> Result<String, CliError> {
    let TaskArgs { name, team, class, cpu, memory, accelerators, priority, change } = task;
    let class = match class {
        Some(class) => class,
        None => name.as_str().parse().map_err(|error| CliError::Usage(format!("{error}")))?,
    };
    let size = Resources { cpu_millis: cpu, memory_mb: memory, accelerators };
    let spec = Spec::builder()
        .name(name)
        .kind(kind)
        .team(team)
        .class(class)
        .tasks(tasks)
        .size(size)
        .expected_run_ms(run_ms)
        .priority(priority)
        .build();
    let body = json!({ "change": change_id_or_new(change), "spec": spec });
    Ok(format_table(output, &client.post("/v1/specs", &body).await?, &SPEC_COLUMNS))
}

async fn list_specs(client: &Client, output: Output, kind: SpecKind) -> Result<String, CliError> {
    let specs = client.get(&format!("/v1/specs?kind={kind}")).await?;
    Ok(format_table(output, &specs, &SPEC_COLUMNS))
}

async fn show_spec(client: &Client, output: Output, name: &SpecName) -> Result<String, CliError> {
    let status = client.get(&format!("/v1/specs/{name}")).await?;
    if output == Output::Json {
        return Ok(format_json(&status));
    }
    let summary = format_table(output, &status, &SUMMARY_COLUMNS);
    Ok(format!("{summary}\n{}", format_table(output, &status["tasks"], &TASK_COLUMNS)))
}

async fn delete_spec(client: &Client, output: Output, args: StopArgs) -> Result<String, CliError> {
    let change = change_id_or_new(args.change);
    let row = client.delete(&format!("/v1/specs/{}?change={change}", args.name)).await?;
    Ok(format_table(output, &row, &SPEC_COLUMNS))
}

async fn apply_configuration(
    client: &Client,
    output: Output,
    configuration: Configuration,
    based_on: u64,
    change: ChangeArgs,
    author: String,
) -> Result<String, CliError> {
    let body = json!({
        "change": change_id_or_new(change),
        "author": author,
        "based_on": based_on,
        "configuration": configuration,
    });
    Ok(format_table(output, &client.post("/v1/config", &body).await?, &REVISION_COLUMNS))
}

/// Returns the number and the configuration of the revision in force.
async fn fetch_revision_in_force(client: &Client) -> Result<(u64, Configuration), CliError> {
    match client.get("/v1/config").await {
        Ok(revision) => {
            let configuration = serde_json::from_value(revision["configuration"].clone())
                .map_err(|error| CliError::Failed(error.to_string()))?;
            Ok((revision["number"].as_u64().unwrap_or(0), configuration))
        }
        Err(CliError::NotFound(_)) => Ok((0, Configuration::default())),
        Err(error) => Err(error),
    }
}

async fn show_history(client: &Client, output: Output) -> Result<String, CliError> {
    Ok(format_table(output, &client.get("/v1/config/history").await?, &REVISION_COLUMNS))
}

async fn list_boxes(client: &Client, output: Output) -> Result<String, CliError> {
    let fleet = client.get("/v1/boxes").await?;
    if output == Output::Json {
        return Ok(format_json(&fleet));
    }
    let workers = format_table(output, &fleet["workers"], &WORKER_COLUMNS);
    Ok(format!("{workers}\n{}", format_table(output, &fleet["boxes"], &BOX_COLUMNS)))
}

async fn show_status(client: &Client, output: Output) -> Result<String, CliError> {
    let status = client.get("/v1/status").await?;
    if output == Output::Json {
        return Ok(format_json(&status));
    }
    let daemon = format_table(
        output,
        &status,
        &[
            ("BOX", "box_id"),
            ("REVISION", "revision"),
            ("REQUESTS", "requests"),
            ("UP", "boxes_up"),
        ],
    );
    let shards = format_table(output, &status["shards"], &SHARD_COLUMNS);
    let services = format_table(output, &status["services"], &SERVICE_COLUMNS);
    Ok(format!("{daemon}\n{shards}\n{services}"))
}

fn read_configuration(file: &Path) -> Result<Configuration, CliError> {
    let usage_error = |cause: String| CliError::Usage(format!("{}: {cause}", file.display()));
    let text = fs::read_to_string(file).map_err(|error| usage_error(error.to_string()))?;
    let value: Value =
        serde_json::from_str(&text).map_err(|error| usage_error(error.to_string()))?;
    serde_json::from_value(value).map_err(|error| usage_error(error.to_string()))
}

/// Returns the given id, or a new one that is unique to this run of the tool.
fn change_id_or_new(change: ChangeArgs) -> String {
    change.change.unwrap_or_else(|| {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        format!("cli-{}-{}", since_epoch.as_micros(), process::id())
    })
}
