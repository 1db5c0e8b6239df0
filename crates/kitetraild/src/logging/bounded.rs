//! A log that leaves lines out rather than hold anybody up.

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

/// How many lines may wait to be written. With lines of some 350 bytes, 1.5 MB at most.
const WAITING_LINES: u64 = 4_096;

/// How many lines a log left out.
#[derive(Debug, Clone, Default)]
pub struct LeftOut(Arc<AtomicU64>);

impl LeftOut {
    /// How many since the process started.
    pub fn lines(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A log that writes on a thread of its own, and what it leaves out.
pub(super) fn bounded(writer: impl Append) -> (Bounded, LeftOut) {
    let written = Arc::new(AtomicU64::new(0));
    let counted = Counted { writer, written: Arc::clone(&written) };
    let waiting = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(WAITING_LINES as usize + 1))
        .overflow_drop_incoming()
        .append(counted)
        .build();
    let left_out = LeftOut::default();
    let budget = Mutex::new(LineBudget::new(Instant::now()));
    let sent = AtomicU64::new(0);
    let bounded = Bounded { waiting, budget, sent, written, left_out: left_out.clone() };
    (bounded, left_out)
}

/// Lets lines wait for their writer, up to a number and a rate.
#[derive(Debug)]
pub(super) struct Bounded {
    waiting: Async,
    budget: Mutex<LineBudget>,
    sent: AtomicU64,
    written: Arc<AtomicU64>,
    left_out: LeftOut,
}

impl Append for Bounded {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let severe = record.level() >= Level::Warn;
        let waiting =
            self.sent.load(Ordering::Relaxed).saturating_sub(self.written.load(Ordering::Relaxed));
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting >= WAITING_LINES || !budget.allows(Instant::now(), severe) {
            self.left_out.0.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        drop(budget);
        self.sent.fetch_add(1, Ordering::Relaxed);
        let appended = self.waiting.append(record, diagnostics);
        if appended.is_err() {
            // It waits for nobody.
            self.sent.fetch_sub(1, Ordering::Relaxed);
            self.left_out.0.fetch_add(1, Ordering::Relaxed);
        }
        appended
    }

    fn flush(&self) -> Result<(), Error> {
        self.waiting.flush()
    }
}

/// Counts the lines that are written.
#[derive(Debug)]
struct Counted<A> {
    writer: A,
    written: Arc<AtomicU64>,
}

impl<A: Append> Append for Counted<A> {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let appended = self.writer.append(record, diagnostics);
        self.written.fetch_add(1, Ordering::Relaxed);
        appended
    }

    fn flush(&self) -> Result<(), Error> {
        self.writer.flush()
    }
}
