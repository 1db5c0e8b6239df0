//! The log, with one line for each decision.

mod bounded;
mod budget;

use std::{sync::mpsc, thread, time::Duration};

use logforth::{
    append::{Stderr, Stdout},
    layout::{JsonLayout, TextLayout},
    record::LevelFilter,
};
use serde::Deserialize;

pub use bounded::DroppedLines;
pub use budget::LineBudget;

/// How long a process that ends waits until its last lines are written. A blocked reader of the log
/// must not delay the stop further.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// The lowest severity of the lines that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Only errors.
    Error,
    /// Errors and warnings.
    Warn,
    /// Errors, warnings and decisions.
    #[default]
    Info,
    /// Everything, including communication between processes.
    Debug,
}

/// The format of the lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Starts a log on standard error.
pub fn start(level: Level, format: Format) {
    let minimum_severity = minimum_severity(level);
    let stderr = match format {
        Format::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        Format::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch.filter(LevelFilter::MoreSevereEqual(minimum_severity)).append(stderr)
        })
        .apply();
}

/// Starts a log of JSON lines on standard output that never blocks the process.
///
/// A separate thread writes the lines. Lines that exceed the rate limit or find the queue full are
/// dropped and counted: see [`DroppedLines`].
pub fn start_nonblocking(level: Level) -> DroppedLines {
    let filter = LevelFilter::MoreSevereEqual(minimum_severity(level));
    let stdout = Stdout::default().with_layout(JsonLayout::default());
    let (bounded, dropped_lines) = bounded::new_appender(stdout);
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(bounded))
        .apply();
    dropped_lines
}

/// Flushes the queued lines, for at most `FLUSH_TIMEOUT`.
pub fn flush_with_timeout() {
    let (done, flushed) = mpsc::channel();
    thread::spawn(move || {
        log::logger().flush();
        let _ = done.send(());
    });
    let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
}

fn minimum_severity(level: Level) -> logforth::record::Level {
    match level {
        Level::Error => logforth::record::Level::Error,
        Level::Warn => logforth::record::Level::Warn,
        Level::Info => logforth::record::Level::Info,
        Level::Debug => logforth::record::Level::Debug,
    }
}
