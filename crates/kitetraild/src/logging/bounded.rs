//! A log that drops lines instead of blocking the process.

use std::{
    fmt::Debug,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use logforth::{
    Append, Diagnostic, Error,
    append::{Async, asynchronous::AsyncBuilder},
    record::{Level, Record},
};

use super::LineBudget;

/// The maximum number of queued lines. With lines of about 350 bytes, the queue takes at most 1.5
/// MB.
const MAX_QUEUED_LINES: u64 = 4_096;

/// A counter of the lines that a log dropped.
#[derive(Debug, Clone, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// Returns the number of lines that were dropped since the process started.
    pub fn lines(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Creates an appender that writes on a separate thread, and the counter of its dropped lines.
pub(super) fn new_appender(writer: impl Append) -> (BoundedAppender, DroppedLines) {
    let written = Arc::new(AtomicU64::new(0));
    let counting_writer = CountingWriter { writer, written: Arc::clone(&written) };
    let queue = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(MAX_QUEUED_LINES as usize + 1))
        .overflow_drop_incoming()
        .append(counting_writer)
        .build();
    let dropped_lines = DroppedLines::default();
    let budget = Mutex::new(LineBudget::new(Instant::now()));
    let enqueued = AtomicU64::new(0);
    let appender =
        BoundedAppender { queue, budget, enqueued, written, dropped_lines: dropped_lines.clone() };
    (appender, dropped_lines)
}

/// An appender that queues lines for the writing thread, up to a number and a rate.
#[derive(Debug)]
pub(super) struct BoundedAppender {
    queue: Async,
    budget: Mutex<LineBudget>,
    enqueued: AtomicU64,
    written: Arc<AtomicU64>,
    dropped_lines: DroppedLines,
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let is_severe = record.level() >= Level::Warn;
        let queued_lines = self
            .enqueued
            .load(Ordering::Relaxed)
            .saturating_sub(self.written.load(Ordering::Relaxed));
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if queued_lines >= MAX_QUEUED_LINES || !budget.allows(Instant::now(), is_severe) {
            self.dropped_lines.0.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        drop(budget);
        self.enqueued.fetch_add(1, Ordering::Relaxed);
        let appended = self.queue.append(record, diagnostics);
        if appended.is_err() {
            // The queue rejected the line, so it does not count as queued.
            self.enqueued.fetch_sub(1, Ordering::Relaxed);
            self.dropped_lines.0.fetch_add(1, Ordering::Relaxed);
        }
        appended
    }

    fn flush(&self) -> Result<(), Error> {
        self.queue.flush()
    }
}

/// An appender that counts the lines that it writes.
#[derive(Debug)]
struct CountingWriter<A> {
    writer: A,
    written: Arc<AtomicU64>,
}

impl<A: Append> Append for CountingWriter<A> {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let appended = self.writer.append(record, diagnostics);
        self.written.fetch_add(1, Ordering::Relaxed);
        appended
    }

    fn flush(&self) -> Result<(), Error> {
        self.writer.flush()
    }
}
