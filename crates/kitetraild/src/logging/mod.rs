//! The log: one line for each decision.

mod bounded;
mod budget;

use std::{sync::mpsc, thread, time::Duration};

use logforth::{
    append::{Stderr, Stdout},
    layout::{JsonLayout, TextLayout},
    record::LevelFilter,
};
use serde::Deserialize;

pub use bounded::LeftOut;
pub use budget::LineBudget;

/// How long a process that ends waits for its last lines. A reader that is stuck holds no stop up.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

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

/// Starts a log of JSON lines on standard output that never holds the process up.
///
/// A thread of its own writes. Lines past a rate, and those that find too many waiting, are left out
/// and counted: see [`LeftOut`].
pub fn start_bounded(level: Level) -> LeftOut {
    let filter = LevelFilter::MoreSevereEqual(severity(level));
    let stdout = Stdout::default().with_layout(JsonLayout::default());
    let (bounded, left_out) = bounded::bounded(stdout);
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(bounded))
        .apply();
    left_out
}

/// Writes the lines that wait, if that is soon done.
pub fn flush_soon() {
    let (done, flushed) = mpsc::channel();
    thread::spawn(move || {
        log::logger().flush();
        let _ = done.send(());
    });
    let _ = flushed.recv_timeout(FLUSH_LIMIT);
}

fn severity(level: Level) -> logforth::record::Level {
    match level {
        Level::Error => logforth::record::Level::Error,
        Level::Warn => logforth::record::Level::Warn,
        Level::Info => logforth::record::Level::Info,
        Level::Debug => logforth::record::Level::Debug,
    }
}
