//! One life of a worker: what is known of it and what it was told.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt::{self, Display, Formatter},
    mem,
    sync::Arc,
    time::Duration,
};

use super::{
    names::{LifeId, TaskName},
    order::Order,
    report::Report,
    run::{Phase, RunThere},
    scheduler::{CLOCK_SLOW_PERCENT, crashed::Suspect, room::Room, tails::ImageNo},
    worker_entry::WorkerEntry,
};
use crate::Time;

/// Clocks are told in whole milliseconds, and ours is read in them.
const CLOCK_ROUNDING_MS: i64 = 2;

/// The number of a worker's life in one scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LifeNo(pub u32);

impl Display for LifeNo {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "life-{}", self.0)
    }
}

/// Whether a worker stands in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Listing {
    /// The list was not read yet.
    Unread,
    /// It stands there.
    Listed,
    /// An entry stands there that is not the worker's own, or not whole. The worker gets nothing new until its next
    /// heartbeat puts that right; what it runs goes on under the entry before.
    Unusable,
    /// Its entry went for want of heartbeats while the store was well: the worker crashed, or does
    /// not reach the store and serves on.
    Lapsed,
    /// Its entry went otherwise.
    Gone {
        /// From when on it is certain that it did not just lapse with the store in trouble: the
        /// worker left, or is about to.
        certain_at: Time,
    },
}

/// Why everything that ran in a life is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LifeEnd {
    /// Another life answers where it did.
    AnotherAnswers,
    /// A life that came after it answers on its machine.
    LaterAnswers,
    /// Its worker started again under its id.
    StartedAgain,
    /// It is not listed and silent, and its leases are over: it crashed for good, left, or is cut off.
    Gone,
}

impl LifeEnd {
    pub(super) fn why(self) -> &'static str {
        match self {
            Self::AnotherAnswers => "over: it answers as another life",
            Self::LaterAnswers => "over: a later life answers on its machine",
            Self::StartedAgain => "over: it started again under its id",
            Self::Gone => "gone: not listed, silent, its lease is over",
        }
    }
}

/// Whether the owner may give leases on a worker.
///
/// Of a worker that it does not hear any more it keeps that it gives none, so that the next owner need not outwait it there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Leasing {
    Allowed,
    /// Not any more, and that is kept or about to be.
    Ended,
    /// Not yet: that it does again is not kept yet.
    Resumed,
}

/// The pace of the runs of an image that fills on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Pace {
    /// The share of their speed, in percent.
    pub(super) percent: u8,
    /// When it was changed last.
    pub(super) since: Time,
}

/// A run that filled and ended a moment ago: gauges still tell of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct JustEnded {
    pub(super) image: ImageNo,
    /// The processor time it used, in thousandths of a core.
    pub(super) cpu_millis: u32,
    pub(super) at: Time,
}

/// An order on its way.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentOrder {
    pub(super) at: Time,
    /// It starts something, so that something may end there.
    pub(super) starts: bool,
}

/// What a worker's clock showed in an answer.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock_ms: u64,
    /// When the question left and when the answer was heard: the clock was read in between.
    asked_at: Time,
    heard_at: Time,
}

impl ClockReading {
    /// The clock minus ours, in milliseconds.
    fn ahead_ms(self) -> i64 {
        self.clock_ms as i64 - self.heard_at.as_ms() as i64
    }

    /// Whether another reading, heard after this one, may be of the same clock.
    ///
    /// Answers pass each other: the other may have been read before this one, if it was asked for before this one was heard.
    fn agrees_with(self, other: Self) -> bool {
        let ms = |moment: Time| moment.as_ms() as i64;
        let passed_ms = other.clock_ms as i64 - self.clock_ms as i64;
        let least_ms = ms(other.asked_at) - ms(self.heard_at);
        let most_ms = ms(other.heard_at) - ms(self.asked_at);
        let slack_ms = most_ms * i64::from(CLOCK_SLOW_PERCENT) / 100 + CLOCK_ROUNDING_MS;
        (least_ms - slack_ms..=most_ms + slack_ms).contains(&passed_ms)
    }
}

/// One life of a worker.
#[derive(Debug)]
pub(super) struct Life {
    pub(super) entry: Arc<WorkerEntry>,
    pub(super) listing: Listing,
    /// The store holds that tasks may be started here.
    pub(super) recorded: bool,
    /// Since when this scheduler has known of it: it had begun by then.
    known_since: Time,
    /// Its first report in this scheduler has come.
    pub(super) known: bool,
    /// When it answered last.
    pub(super) heard_at: Option<Time>,
    /// The worker's clock as of its last answer.
    clock: Option<ClockReading>,
    /// Another life under its id is known, and no answer has shown yet which of them is over. Nothing is ordered meanwhile.
    pub(super) contested: bool,
    /// By now every run there has certainly lost its lease, unless it is renewed.
    pub(super) lapses_at: Time,
    pub(super) leasing: Leasing,
    /// Its row that is on its way to the store says that it gets no lease.
    pub(super) sent_not_leased: bool,
    /// It is silent past that moment, and the store has not confirmed this owner since.
    pub(super) lapse_unconfirmed: bool,
    /// The fencing token of the next order.
    pub(super) token: u64,
    runs: BTreeMap<TaskName, RunThere>,
    /// What is left, unless something changed since.
    pub(super) room: Option<Room>,
    /// Orders that wait until the one on its way is answered.
    pub(super) orders: VecDeque<Order>,
    pub(super) order_sent: Option<SentOrder>,
    pub(super) hold_sent: bool,
    pub(super) next_hold_at: Option<Time>,
    /// Its availability zone is being evacuated.
    pub(super) zone_evacuated: bool,
    /// When it was last looked for room for what would be lost as the worker leaves.
    pub(super) evacuated_at: Option<Time>,
    /// Holds in a row that brought nothing.
    pub(super) silent: u32,
    /// When the first of them brought nothing, or an order before it.
    pub(super) silent_since: Option<Time>,
    /// Its machine crashed of late.
    pub(super) fell_of_late: bool,
    /// Runs that may have made it fall silent and were given up since.
    pub(super) suspects: Vec<Suspect>,
    /// Tasks that the owner before was about to start here, each as one that may crash it.
    pub(super) begun_before: Vec<TaskName>,
    /// One of them brought nothing while the owner was not late itself.
    pub(super) silent_for_sure: bool,
    /// The number of the last end that was heard of.
    pub(super) ends_seen: u64,
    /// The number of the last end that is kept for good.
    pub(super) ends_kept: u64,
    /// The number of the last end that the worker was told is kept.
    pub(super) ends_told: u64,
    /// Failed runs in a row, over all tasks.
    pub(super) failures: u32,
    /// It gets no new work before.
    pub(super) set_aside_until: Option<Time>,
    /// How often in a row it was set aside since its runs failed.
    pub(super) set_aside_times: u32,
    pub(super) just_ended: Vec<JustEnded>,
    pub(super) paces: BTreeMap<ImageNo, Pace>,
}

impl Life {
    pub(super) fn new(entry: WorkerEntry, token: u64, lapses_at: Time, now: Time) -> Self {
        Self {
            entry: Arc::new(entry),
            listing: Listing::Listed,
            recorded: false,
            known_since: now,
            known: false,
            heard_at: None,
            clock: None,
            contested: false,
            lapses_at,
            leasing: Leasing::Allowed,
            sent_not_leased: false,
            lapse_unconfirmed: false,
            token,
            runs: BTreeMap::new(),
            room: None,
            orders: VecDeque::new(),
            order_sent: None,
            hold_sent: false,
            next_hold_at: Some(now),
            zone_evacuated: false,
            evacuated_at: None,
            silent: 0,
            silent_since: None,
            fell_of_late: false,
            suspects: Vec::new(),
            begun_before: Vec::new(),
            silent_for_sure: false,
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

    /// Whether another life answers, or seems to, where this one does: only one of them lives.
    pub(super) fn shares_place(&self, other: &WorkerEntry) -> bool {
        let same_machine = other.machine.is_some() && self.entry.machine == other.machine;
        let same_place = self.entry.address == other.address || same_machine;
        self.entry.key() != other.key() && (self.id() == &other.id || same_place)
    }

    /// Whether it had begun before a moment and was not heard since: a life that answers a question
    /// sent at that moment from the same place came after it.
    pub(super) fn precedes(&self, moment: Time) -> bool {
        self.known_since <= moment && self.heard_at.is_none_or(|heard_at| heard_at < moment)
    }

    /// Whether new work may go there.
    pub(super) fn takes_work(&self, now: Time) -> bool {
        let set_aside = self.set_aside_until.is_some_and(|until| now < until);
        self.known
            && self.recorded
            && self.listing == Listing::Listed
            && !self.entry.draining
            && !self.zone_evacuated
            && self.silent == 0
            && self.leasing == Leasing::Allowed
            && !self.contested
            && !set_aside
    }

    /// Whether it is missing from the list, or was not told of yet.
    pub(super) fn is_missing(&self) -> bool {
        match self.listing {
            Listing::Listed | Listing::Unusable => false,
            Listing::Unread | Listing::Lapsed | Listing::Gone { .. } => true,
        }
    }

    /// Whether it is about to leave: it said so, or its entry went for good and it still answers.
    pub(super) fn is_leaving(&self, now: Time) -> bool {
        match self.listing {
            _ if self.entry.draining => true,
            Listing::Gone { certain_at } => certain_at <= now && self.silent == 0,
            Listing::Unread | Listing::Listed | Listing::Unusable | Listing::Lapsed => false,
        }
    }

    /// Whether time alone has changed something: its lease ran out, a hold is due, or it is to be emptied.
    pub(super) fn needs_check(&self, now: Time) -> bool {
        let hold_is_due = !self.hold_sent && self.next_hold_at.is_some_and(|at| at <= now);
        hold_is_due || self.lapses_at <= now || self.is_leaving(now)
    }

    /// What runs there, as believed.
    pub(super) fn runs(&self) -> &BTreeMap<TaskName, RunThere> {
        &self.runs
    }

    pub(super) fn serves(&self) -> bool {
        self.runs.values().any(RunThere::serves)
    }

    pub(super) fn fills(&self) -> bool {
        self.runs.values().any(|run| run.fills)
    }

    /// Whether a tail was above its target when it was last told, with something that fills beside it.
    pub(super) fn may_do_harm(&self) -> bool {
        self.fills() && self.runs.values().any(|run| run.over_since.is_some())
    }

    /// The worker's clock at our moment `now`, in milliseconds; `None` before it was heard.
    pub(super) fn clock_ms(&self, now: Time) -> Option<u64> {
        let ahead_ms = self.clock?.ahead_ms();
        Some(now.as_ms().saturating_add_signed(ahead_ms))
    }

    /// Whether an answer may be of this life, by the clock that it shows. `true` before any clock was heard.
    pub(super) fn clock_agrees(&self, clock_ms: u64, asked_at: Time, now: Time) -> bool {
        let reading = ClockReading { clock_ms, asked_at, heard_at: now };
        self.clock.is_none_or(|clock| clock.agrees_with(reading))
    }

    /// The number of the last end that a hold may tell is kept; 0 if there is nothing new to tell, or the hold may reach a
    /// later life, whose ends have other numbers and would be dropped unheard.
    pub(super) fn ends_to_tell(&self) -> u64 {
        let is_sure = self.known && self.silent == 0 && !self.contested;
        if is_sure && self.ends_kept > self.ends_told { self.ends_kept } else { 0 }
    }

    /// Whether the order on its way, if any, starts something.
    pub(super) fn start_is_on_its_way(&self) -> bool {
        self.order_sent.is_some_and(|order| order.starts)
    }

    /// A run, to note how it goes. What it takes stays the same.
    pub(super) fn run_mut(&mut self, task: TaskName, run: u32) -> Option<&mut RunThere> {
        self.runs.get_mut(&task).filter(|there| there.run == run)
    }

    /// All runs, to note how they go.
    pub(super) fn runs_mut(&mut self) -> impl Iterator<Item = (TaskName, &mut RunThere)> {
        self.runs.iter_mut().map(|(&task, run)| (task, run))
    }

    pub(super) fn insert_run(&mut self, task: TaskName, run: RunThere) {
        self.room = None;
        self.runs.insert(task, run);
    }

    /// Takes a run out, if it is there.
    pub(super) fn remove_run(&mut self, task: TaskName, run: u32) -> Option<RunThere> {
        self.run_mut(task, run)?;
        self.room = None;
        self.runs.remove(&task)
    }

    pub(super) fn take_runs(&mut self) -> BTreeMap<TaskName, RunThere> {
        self.room = None;
        mem::take(&mut self.runs)
    }

    /// Takes note that the worker answered, to a question that left at a moment.
    pub(super) fn note_heard(&mut self, clock_ms: u64, asked_at: Time, now: Time) {
        self.heard_at = Some(now);
        self.silent = 0;
        self.silent_since = None;
        self.suspects.clear();
        self.silent_for_sure = false;
        self.lapse_unconfirmed = false;
        self.clock = Some(ClockReading { clock_ms, asked_at, heard_at: now });
    }

    pub(super) fn heard_ago_ms(&self, now: Time) -> Option<u64> {
        self.heard_at.map(|at| now.since(at).as_millis() as u64)
    }

    /// Takes note that runs may be leased until `lease` after now.
    pub(super) fn note_leased(&mut self, lease: Duration, now: Time) {
        self.lapses_at = self.lapses_at.max(now + lease);
    }

    /// Takes note that a run was confirmed to run.
    pub(super) fn note_confirmed(&mut self, task: TaskName, run: u32, now: Time) {
        if let Some(there) = self.run_mut(task, run).filter(|there| !there.is_running()) {
            there.phase = Phase::Running(now);
        }
    }

    /// Whether the order to start a run has left, so that it may have begun.
    pub(super) fn was_sent(&self, task: TaskName, run: &RunThere) -> bool {
        let waits = |order: &Order| matches!(order, Order::Start(start) if start.task == task);
        match run.phase {
            Phase::Unkept => false,
            Phase::Ordered => !self.orders.iter().any(waits),
            Phase::Doubtful { .. } | Phase::Running(_) => true,
        }
    }

    /// For how long a run is known to have run here: from when its start was confirmed to the worker's last answer.
    /// `None` if no start was confirmed.
    pub(super) fn known_to_run(&self, run: &RunThere) -> Option<Duration> {
        let Phase::Running(since) = run.phase else { return None };
        Some(self.heard_at.map_or(Duration::ZERO, |heard_at| heard_at.since(since)))
    }

    /// Copies what a report says of runs that are known to run.
    pub(super) fn note_running(&mut self, report: &Report) {
        for reported in &report.running {
            if let Some(run) = self.run_mut(reported.task, reported.run) {
                run.percent = reported.percent;
                run.gauge = reported.gauge;
            }
        }
    }
}
