//! Checks and compares policies.

use std::{collections::BTreeSet, fs, path::Path};

use kitetrail_core::{
    placement::PolicyTable,
    task::{Spec, SpecKind},
};
use kitetrail_policy::{Program, TaskFacts, evaluate};
use serde_json::{Value, json};

use crate::{client::Client, error::CliError};

/// Reads and compiles a policy. Returns its text and the compiled program.
pub fn read(file: &Path) -> Result<(String, Program), CliError> {
    let text = fs::read_to_string(file).map_err(|cause| {
        CliError::Usage(format!("{}: {cause}; check the path and its permissions", file.display()))
    })?;
    match Program::compile(&text) {
        Ok(program) => Ok((text, program)),
        Err(error) => Err(CliError::Usage(format!("{}: {error}", file.display()))),
    }
}

/// Evaluates a policy for each existing class, next to the policy in force.
pub async fn compare_with_policy_in_force(client: &Client, file: &Path) -> Result<Value, CliError> {
    let (_, new) = read(file)?;
    let in_force = match client.get("/v1/config").await {
        Ok(revision) => revision["configuration"]["policy"].as_str().unwrap_or("").to_owned(),
        Err(CliError::NotFound(_)) => String::new(),
        Err(error) => return Err(error),
    };
    let old = Program::compile(&in_force).map_err(|error| CliError::Failed(error.to_string()))?;
    let tasks = fetch_tasks(client).await?;
    let empty_table = PolicyTable::default();
    let (old, new) =
        (evaluate(&old, 0, &tasks, &empty_table), evaluate(&new, 0, &tasks, &empty_table));
    let mut rows = Vec::new();
    for task in &tasks {
        let (old_rule, new_rule) =
            (old.table.rule(&task.class, task.kind), new.table.rule(&task.class, task.kind));
        let apart: Vec<&str> = new
            .table
            .apart
            .iter()
            .filter(|(class, _)| *class == task.class)
            .map(|(_, other)| other.as_str())
            .collect();
        rows.push(json!({
            "class": task.class,
            "kind": task.kind,
            "in_force": old_rule,
            "new": new_rule,
            "apart_from": apart,
            "differs": old_rule != new_rule,
        }));
    }
    for fault in &new.faults {
        eprintln!("warning: {fault}");
    }
    Ok(Value::Array(rows))
}

async fn fetch_tasks(client: &Client) -> Result<BTreeSet<TaskFacts>, CliError> {
    let mut tasks = BTreeSet::new();
    for kind in [SpecKind::Service, SpecKind::Job, SpecKind::Watcher] {
        let rows = client.get(&format!("/v1/specs?kind={kind}")).await?;
        for row in rows.as_array().into_iter().flatten() {
            let spec: Result<Spec, _> = serde_json::from_value(row["spec"].clone());
            tasks.extend(spec.ok().map(|spec| TaskFacts::from(&spec)));
        }
    }
    Ok(tasks)
}
