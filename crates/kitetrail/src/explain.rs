//! The history of a job, from the logs of all boxes.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::error::CliError;

/// The message prefixes of events that concern a whole box rather than one job.
const CONTEXT_PREFIXES: [&str; 3] = ["owner:", "store:", "daemon:"];

/// A line in the log of a box.
#[derive(Debug, Deserialize)]
struct Line {
    timestamp: String,
    message: String,
    #[serde(default)]
    kvs: Map<String, Value>,
}

/// A log line with the name of the box that wrote it.
#[derive(Debug)]
struct Entry {
    source: String,
    line: Line,
}

/// Returns the events of a job in order of time, with the events of its workers and of all boxes in the
/// same period.
///
/// Each file contains the log of one box as JSON lines. Other lines are skipped and counted.
pub fn explain(job: &str, files: &[PathBuf]) -> Result<String, CliError> {
    let mut entries = Vec::new();
    let mut unreadable_lines = 0;
    for file in files {
        unreadable_lines += read_log(file, &mut entries)?;
    }
    entries.sort_by(|a, b| a.line.timestamp.cmp(&b.line.timestamp));
    let is_of_job = |entry: &&Entry| entry.line.text_field("job") == Some(job);
    let first = entries.iter().find(is_of_job).map(|entry| entry.line.timestamp.clone());
    let last = entries.iter().rfind(is_of_job).map(|entry| entry.line.timestamp.clone());
    let (Some(first), Some(last)) = (first, last) else {
        return Err(CliError::NotFound(format!(
            "no log line mentions job {job}; give the logs of all boxes from the time of the job"
        )));
    };
    let workers =
        entries.iter().filter(is_of_job).filter_map(|entry| entry.line.text_field("worker"));
    let workers = workers.map(str::to_owned).collect::<BTreeSet<_>>();
    let is_relevant = |entry: &&Entry| {
        let line = &entry.line;
        let during_job = (&first..=&last).contains(&&line.timestamp);
        let is_of_worker = line.text_field("job").is_none()
            && line.text_field("worker").is_some_and(|worker| workers.contains(worker));
        let is_context = CONTEXT_PREFIXES.iter().any(|part| line.message.starts_with(part));
        line.text_field("job") == Some(job) || (during_job && (is_of_worker || is_context))
    };
    let mut report = entries.iter().filter(is_relevant).map(Entry::format).collect::<String>();
    if let Some(last) = entries.iter().rfind(is_of_job) {
        report += &format!("last decision: {}", last.format());
    }
    if unreadable_lines > 0 {
        report += &format!("{unreadable_lines} lines could not be read\n");
    }
    Ok(report)
}

/// Reads the log of a box. Returns the number of lines that could not be parsed.
fn read_log(file: &Path, entries: &mut Vec<Entry>) -> Result<usize, CliError> {
    let text = fs::read_to_string(file).map_err(|cause| {
        CliError::Usage(format!("{}: {cause}; check the path and its permissions", file.display()))
    })?;
    let source = file.file_stem().map(|name| name.to_string_lossy().into_owned());
    let source = source.unwrap_or_default();
    let mut unreadable_lines = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match serde_json::from_str(line) {
            Ok(line) => entries.push(Entry { source: source.clone(), line }),
            Err(_) => unreadable_lines += 1,
        }
    }
    Ok(unreadable_lines)
}

impl Line {
    fn text_field(&self, name: &str) -> Option<&str> {
        self.kvs.get(name).and_then(Value::as_str)
    }
}

impl Entry {
    fn format(&self) -> String {
        let fields =
            self.line.kvs.iter().filter(|(name, _)| *name != "job").map(|(name, value)| {
                let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
                format!("  {name}={value}")
            });
        let time = self.line.timestamp.get(11..23).unwrap_or(&self.line.timestamp);
        format!("{time}  {}  {}{}\n", self.source, self.line.message, fields.collect::<String>())
    }
}
