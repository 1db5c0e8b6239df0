//! Writes down what was sent, answered and run.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

/// The end of a run, as its worker saw it.
#[derive(Debug, Clone)]
pub struct EndOfRun {
    pub how: &'static str,
    pub lasts: bool,
}

/// The start of a run, as its worker saw it.
#[derive(Debug, Clone)]
pub struct StartOfRun {
    pub at: Duration,
    pub task: String,
}

/// The record of a play.
pub struct Recorder {
    started: Instant,
    file: Mutex<BufWriter<File>>,
    pub ends: Mutex<Vec<EndOfRun>>,
    pub starts: Mutex<Vec<StartOfRun>>,
    /// Whether each run is written down, not only counted.
    pub each_run: bool,
}

impl Recorder {
    pub fn new(path: &Path, each_run: bool) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
            ends: Mutex::default(),
            starts: Mutex::default(),
            each_run,
        })
    }

    /// Returns the time since the start of the play.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line.
    pub fn note(&self, line: &str) {
        let mut file = self.file.lock().expect("lock");
        let _ = writeln!(file, "{:8.3} s  {line}", self.now().as_secs_f64());
        let _ = file.flush();
    }

    pub fn start(&self, worker: &str, task: &str, run: u64) {
        if self.each_run {
            self.note(&format!("worker {worker} starts {task}/{run}"));
        }
        let start = StartOfRun { at: self.now(), task: task.to_owned() };
        self.starts.lock().expect("lock").push(start);
    }

    pub fn end(&self, worker: &str, task: &str, run: u64, how: &'static str, lasts: bool) {
        if self.each_run {
            self.note(&format!("worker {worker} ends {task}/{run}: {how}"));
        }
        let end = EndOfRun { how, lasts };
        self.ends.lock().expect("lock").push(end);
    }
}
