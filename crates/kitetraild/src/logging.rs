//! The log: one line on standard error for each decision.

use logforth::{
    append::{Async, Stderr, Stdout, asynchronous::AsyncBuilder},
    layout::{JsonLayout, TextLayout},
    record::LevelFilter,
};
use serde::Deserialize;

/// From which severity on lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Faults alone.
    Error,
    /// Faults and oddities.
    Warn,
    /// Decisions too.
    #[default]
    Info,
    /// Messages between processes too.
    Debug,
}

/// How lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Starts the log.
pub fn start(level: Level, format: Format) {
    let severity = severity(level);
    let stderr = match format {
        Format::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        Format::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(LevelFilter::MoreSevereEqual(severity)).append(stderr))
        .apply();
}

/// How many lines may wait to be written. With lines of some 350 bytes, 1.5 MB at most.
const WAITING_LINES: usize = 4_096;

/// Starts a log of JSON lines on standard output that never holds the process up.
///
/// A thread of its own writes; while it is held up, lines past the limit are dropped.
pub fn start_bounded(level: Level) {
    let filter = LevelFilter::MoreSevereEqual(severity(level));
    let stdout = bounded(Stdout::default().with_layout(JsonLayout::default()));
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(stdout))
        .apply();
}

fn bounded(stdout: Stdout) -> Async {
    AsyncBuilder::new("log")
        .buffered_lines_limit(Some(WAITING_LINES))
        .overflow_drop_incoming()
        .append(stdout)
        .build()
}

fn severity(level: Level) -> logforth::record::Level {
    match level {
        Level::Error => logforth::record::Level::Error,
        Level::Warn => logforth::record::Level::Warn,
        Level::Info => logforth::record::Level::Info,
        Level::Debug => logforth::record::Level::Debug,
    }
}
