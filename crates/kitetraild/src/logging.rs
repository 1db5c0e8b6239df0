//! The log: one line on standard error for each decision.

use logforth::{
    append::Stderr,
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
    let severity = match level {
        Level::Error => logforth::record::Level::Error,
        Level::Warn => logforth::record::Level::Warn,
        Level::Info => logforth::record::Level::Info,
        Level::Debug => logforth::record::Level::Debug,
    };
    let stderr = match format {
        Format::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        Format::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(LevelFilter::MoreSevereEqual(severity)).append(stderr))
        .apply();
}
