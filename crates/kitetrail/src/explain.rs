//! The story of one job, from the logs of all boxes.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::error::CliError;

/// Parts of a box that speak of its surroundings rather than of one job.
const SURROUNDINGS: [&str; 3] = ["owner:", "store:", "daemon:"];

/// A line of a box's log.
#[derive(Debug, Deserialize)]
struct Line {
    timestamp: String,
    message: String,
    #[serde(default)]
    kvs: Map<String, Value>,
}

/// A line and the box that wrote it.
#[derive(Debug)]
struct Entry {
    source: String,
    line: Line,
}

/// Tells what happened to a job, in order, with what its workers and boxes went through meanwhile.
///
/// Each file holds the log of one box, as JSON lines; what is not one is passed over and counted.
pub fn explain(job: &str, files: &[PathBuf]) -> Result<String, CliError> {
    let mut entries = Vec::new();
    let mut unreadable = 0;
    for file in files {
        unreadable += read(file, &mut entries)?;
    }
    entries.sort_by(|a, b| a.line.timestamp.cmp(&b.line.timestamp));
    let of_job = |entry: &&Entry| entry.line.text("job") == Some(job);
    let first = entries.iter().find(of_job).map(|entry| entry.line.timestamp.clone());
    let last = entries.iter().rfind(of_job).map(|entry| entry.line.timestamp.clone());
    let (Some(first), Some(last)) = (first, last) else {
        return Err(CliError::NotFound(format!(
            "no line speaks of job {job}; give the logs of all boxes of that time"
        )));
    };
    let workers = entries.iter().filter(of_job).filter_map(|entry| entry.line.text("worker"));
    let workers = workers.map(str::to_owned).collect::<BTreeSet<_>>();
    let tells = |entry: &&Entry| {
        let line = &entry.line;
        let meanwhile = (&first..=&last).contains(&&line.timestamp);
        let of_worker = line.text("job").is_none()
            && line.text("worker").is_some_and(|worker| workers.contains(worker));
        let around = SURROUNDINGS.iter().any(|part| line.message.starts_with(part));
        line.text("job") == Some(job) || (meanwhile && (of_worker || around))
    };
    let mut story = entries.iter().filter(tells).map(Entry::tell).collect::<String>();
    if let Some(last) = entries.iter().rfind(of_job) {
        story += &format!("last decision: {}", last.tell());
    }
    if unreadable > 0 {
        story += &format!("{unreadable} lines could not be read\n");
    }
    Ok(story)
}

/// Reads a box's log. Returns how many lines could not be read.
fn read(file: &Path, entries: &mut Vec<Entry>) -> Result<usize, CliError> {
    let text = fs::read_to_string(file).map_err(|cause| {
        CliError::Usage(format!("{}: {cause}; give a readable file", file.display()))
    })?;
    let source = file.file_stem().map(|name| name.to_string_lossy().into_owned());
    let source = source.unwrap_or_default();
    let mut unreadable = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match serde_json::from_str(line) {
            Ok(line) => entries.push(Entry { source: source.clone(), line }),
            Err(_) => unreadable += 1,
        }
    }
    Ok(unreadable)
}

impl Line {
    fn text(&self, name: &str) -> Option<&str> {
        self.kvs.get(name).and_then(Value::as_str)
    }
}

impl Entry {
    fn tell(&self) -> String {
        let told = self.line.kvs.iter().filter(|(name, _)| *name != "job").map(|(name, value)| {
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            format!("  {name}={value}")
        });
        let time = self.line.timestamp.get(11..23).unwrap_or(&self.line.timestamp);
        format!("{time}  {}  {}{}\n", self.source, self.line.message, told.collect::<String>())
    }
}
