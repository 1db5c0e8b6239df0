//! One life of a worker: what is known of it and what it was told.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt::{self, Display, Formatter},
    sync::Arc,
    time::Duration,
};

use super::{
    event::{Order, Report},
    names::{LifeId, TaskName},
    scheduler::{
        room::Room,
        tails::{Estimate, ImageNo},
    },
};
use crate::{Resources, Time};

/// The number of a worker's life in one scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LifeNo(pub u32);

impl Display for LifeNo {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "life-{}", self.0)
    }
}

/// What a worker says of itself in the list of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEntry {
    /// This life of it.
    pub id: LifeId,
    /// The machine it lives on, if it names one.
    pub machine: Option<String>,
    /// The service whose tasks it runs.
    pub service: String,
    /// Where it answers, as host and port.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// The rack it stands in, empty if it names none.
    pub rack: String,
    /// It is about to leave.
    pub draining: bool,
    /// While it drains: how long it stays at least, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// What it has.
    pub capacity: Resources,
    /// What steps may ask for.
    pub labels: Vec<String>,
}

/// How far the order to start a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The order waits or is on its way.
    Ordered,
    /// The order was not answered: it may run, now or later.
    Doubtful {
        /// A report under this token or a higher one tells for good.
        settled_by: u64,
    },
    /// It runs, confirmed at the given moment.
    Running(Time),
}

/// How the percent of a run has risen.
#[derive(Debug, Clone, Copy)]
pub(super) struct Progress {
    /// Its percent when it was first heard of: above 0 if it went on from a checkpoint.
    pub(super) from_percent: u32,
    pub(super) percent: u32,
    /// When it rose last, or the run began.
    pub(super) rose_at: Time,
}

impl Progress {
    pub(super) fn new(now: Time) -> Self {
        Self { from_percent: 0, percent: 0, rose_at: now }
    }
}

/// A run on a worker, as believed.
#[derive(Debug, Clone)]
pub(super) struct RunThere {
    pub(super) run: u32,
    pub(super) phase: Phase,
    pub(super) size: Resources,
    pub(super) fills: bool,
    pub(super) serves: bool,
    pub(super) stopping: bool,
    pub(super) keeps_progress: bool,
    pub(super) lasts: bool,
    pub(super) tail_target_ms: Option<u64>,
    pub(super) image: ImageNo,
    pub(super) percent: u32,
    pub(super) progress: Progress,
    pub(super) gauge: Option<u32>,
    /// The share of its speed that it was last told, in percent.
    pub(super) paced_percent: u8,
    /// For a run that serves: the stress of its own load.
    pub(super) own_stress: Estimate,
    /// When its gauge was learned from.
    pub(super) learned_at: Option<Time>,
    /// Since when every report shows its tail above its target.
    pub(super) over_since: Option<Time>,
}

/// One life of a worker.
#[derive(Debug)]
pub(super) struct Life {
    pub(super) entry: Arc<WorkerEntry>,
    pub(super) listed: bool,
    /// The store holds that tasks may be started here.
    pub(super) recorded: bool,
    /// Its first report in this scheduler has come.
    pub(super) known: bool,
    pub(super) heard_at: Option<Time>,
    /// The worker's clock minus ours, in milliseconds, as of its last answer.
    clock_ahead_ms: Option<i64>,
    /// By now every run there has certainly lost its lease, unless it is renewed.
    pub(super) lapses_at: Time,
    pub(super) token: u64,
    runs: BTreeMap<TaskName, RunThere>,
    /// What is left, unless something changed since.
    pub(super) room: Option<Room>,
    pub(super) orders: VecDeque<Order>,
    pub(super) order_sent: bool,
    pub(super) hold_sent: bool,
    pub(super) next_hold_at: Option<Time>,
    /// Holds in a row that brought nothing.
    pub(super) silent: u32,
    pub(super) ends_seen: u64,
    pub(super) ends_kept: u64,
    pub(super) ends_told: u64,
    /// Failed runs in a row, over all tasks.
    pub(super) failures: u32,
    pub(super) set_aside_until: Option<Time>,
    pub(super) set_aside_times: u32,
    /// Runs that filled here and ended a moment ago: gauges still tell of them. The image, the
    /// processor time in thousandths of a core, and when.
    pub(super) just_ended: Vec<(ImageNo, u32, Time)>,
    /// The share of their speed that runs of an image that fills have, in percent, since when.
    pub(super) paces: BTreeMap<ImageNo, (u8, Time)>,
}

impl Life {
    pub(super) fn new(entry: WorkerEntry, token: u64, lapses_at: Time, now: Time) -> Self {
        Self {
            entry: Arc::new(entry),
            listed: true,
            recorded: false,
            known: false,
            heard_at: None,
            clock_ahead_ms: None,
            lapses_at,
            token,
            runs: BTreeMap::new(),
            room: None,
            orders: VecDeque::new(),
            order_sent: false,
            hold_sent: false,
            next_hold_at: Some(now),
            silent: 0,
            ends_seen: 0,
            ends_kept: 0,
            ends_told: 0,
            failures: 0,
            set_aside_until: None,
            set_aside_times: 0,
            just_ended: Vec::new(),
            paces: BTreeMap::new(),
        }
    }

    pub(super) fn id(&self) -> &LifeId {
        &self.entry.id
    }

    /// Whether new work may go there.
    pub(super) fn takes_work(&self, now: Time) -> bool {
        let set_aside = self.set_aside_until.is_some_and(|until| now < until);
        self.known
            && self.recorded
            && self.listed
            && !self.entry.draining
            && self.silent == 0
            && !set_aside
    }

    /// What runs there, as believed.
    pub(super) fn runs(&self) -> &BTreeMap<TaskName, RunThere> {
        &self.runs
    }

    pub(super) fn serves(&self) -> bool {
        self.runs.values().any(|run| run.serves)
    }

    pub(super) fn fills(&self) -> bool {
        self.runs.values().any(|run| run.fills)
    }

    /// The worker's clock at our moment `now`, in milliseconds; `None` before it was heard.
    pub(super) fn clock_ms(&self, now: Time) -> Option<u64> {
        let ahead_ms = self.clock_ahead_ms?;
        Some(now.as_ms().saturating_add_signed(ahead_ms))
    }

    /// A run, to note how it goes. What it takes stays the same.
    pub(super) fn run_mut(&mut self, task: TaskName) -> Option<&mut RunThere> {
        self.runs.get_mut(&task)
    }

    /// All runs, to note how they go.
    pub(super) fn runs_mut(&mut self) -> impl Iterator<Item = (TaskName, &mut RunThere)> {
        self.runs.iter_mut().map(|(&task, run)| (task, run))
    }

    pub(super) fn insert_run(&mut self, task: TaskName, run: RunThere) {
        self.room = None;
        self.runs.insert(task, run);
    }

    pub(super) fn remove_run(&mut self, task: TaskName) -> Option<RunThere> {
        self.room = None;
        self.runs.remove(&task)
    }

    pub(super) fn take_runs(&mut self) -> BTreeMap<TaskName, RunThere> {
        self.room = None;
        std::mem::take(&mut self.runs)
    }

    /// Takes note that the worker answered.
    pub(super) fn note_heard(&mut self, clock_ms: u64, now: Time) {
        self.heard_at = Some(now);
        self.silent = 0;
        self.clock_ahead_ms = Some(clock_ms as i64 - now.as_ms() as i64);
    }

    pub(super) fn heard_ago_ms(&self, now: Time) -> Option<u64> {
        self.heard_at.map(|at| now.since(at).as_millis() as u64)
    }

    /// Takes note that runs may be leased until `lease` after now.
    pub(super) fn note_leased(&mut self, lease: Duration, now: Time) {
        self.lapses_at = self.lapses_at.max(now + lease);
    }

    /// Copies what a report says of runs that are known to run.
    pub(super) fn note_running(&mut self, report: &Report) {
        for reported in &report.running {
            let run = self.runs.get_mut(&reported.task).filter(|run| run.run == reported.run);
            if let Some(run) = run {
                run.percent = reported.percent;
                run.gauge = reported.gauge;
            }
        }
    }
}
