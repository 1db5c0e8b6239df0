//! One instance of a worker: its known state, the orders for it and its runs.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt::{self, Display, Formatter},
    mem,
    sync::Arc,
    time::Duration,
};

use super::{
    names::{TaskName, WorkerName},
    operator_rows::WorkerHold,
    order::Order,
    report::Report,
    run::{Phase, PlacedRun},
    scheduler::{
        MAX_CLOCK_SLOWDOWN_PERCENT, free_capacity::FreeCapacity, tails::ImageNo,
        worker_health::WorkerHealth,
    },
    spec::WorkKind,
    worker_entry::WorkerEntry,
};
use crate::Time;

/// The rounding error of two clock readings, each in whole milliseconds.
const CLOCK_ROUNDING_MS: i64 = 2;
/// The time within which a worker has answered a poll without waiting, on the way there included.
const IMMEDIATE_ANSWER_MS: u64 = 5;

/// The number of a worker instance, unique within one scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceNo(pub u32);

impl Display for InstanceNo {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "life-{}", self.0)
    }
}

/// Whether a worker instance is listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Listing {
    /// The list has not been read yet.
    Unread,
    /// The instance is listed.
    Listed,
    /// The listed entry is incomplete or not the worker's own. The worker gets no new work until
    /// its next heartbeat corrects the entry; its runs continue under the previous entry.
    Unusable,
    /// The entry expired for lack of heartbeats while the store was healthy: the worker has
    /// crashed, or can't reach the store and continues to run its tasks.
    Expired,
    /// The entry was removed for another reason.
    Removed {
        /// The time from which it is certain that the entry did not just expire during an outage of
        /// the store: the worker has left, or is about to.
        certain_at: Time,
    },
}

/// Why all runs of a worker instance are over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum InstanceEnd {
    /// Another instance answers at its address.
    AnotherAnswers,
    /// A later instance answers on its machine.
    LaterAnswers,
    /// The worker started again under the same id.
    StartedAgain,
    /// The instance is not listed, does not answer, and its leases have expired: it has crashed,
    /// left, or is cut off.
    Gone,
}

impl InstanceEnd {
    pub(super) fn why(self) -> &'static str {
        match self {
            Self::AnotherAnswers => "over: another instance answers at its address",
            Self::LaterAnswers => "over: a later instance answers on its machine",
            Self::StartedAgain => "over: the worker started again under its id",
            Self::Gone => "gone: not listed, not answering, its lease has expired",
        }
    }
}

/// Whether the owner may grant leases to a worker instance.
///
/// For an instance that no longer answers, the owner stores that it grants none. The next owner
/// then does not have to wait for leases of this owner there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Leasing {
    Allowed,
    /// No more leases are granted, which is stored or about to be.
    Ended,
    /// Leases may be granted again once that is stored.
    Resumed,
    /// The worker is leaving and runs nothing. Its record is removed, since nothing is started there
    /// any more.
    Retired,
}

/// The throttling of the best-effort runs of one image on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Pace {
    /// The share of full speed, in percent.
    pub(super) percent: u8,
    /// The time of the last change.
    pub(super) since: Time,
}

/// A best-effort run that has just ended: the gauges still reflect it.
#[derive(Debug, Clone, Copy)]
pub(super) struct JustEnded {
    pub(super) image: ImageNo,
    /// The processor time that it used, in thousandths of a core.
    pub(super) cpu_millis: u32,
    pub(super) at: Time,
}

/// An order that was sent and is not answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentOrder {
    pub(super) at: Time,
    /// Whether the order starts a run, so that the worker may soon report a new run end.
    pub(super) starts: bool,
}

/// When a worker gave its last report, and how closely it was observed before.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastReport {
    /// The worker's clock, in milliseconds.
    pub(super) clock_ms: u64,
    pub(super) received_at: Time,
    /// The time before the report in which no poll waited at the worker, if the worker answered at
    /// once; zero if it waited for the change that it reports.
    pub(super) unobserved: Duration,
}

/// A worker's clock as given in an answer.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock_ms: u64,
    /// The times at which the request was sent and the answer received: the clock was read in
    /// between.
    sent_at: Time,
    received_at: Time,
}

impl ClockReading {
    /// Returns the worker's clock minus the scheduler's clock, in milliseconds.
    fn offset_ms(self) -> i64 {
        self.clock_ms as i64 - self.received_at.as_ms() as i64
    }

    /// Returns whether another reading, received after this one, may be of the same clock.
    ///
    /// Answers may overtake each other: the other clock may have been read first if its request was
    /// sent before this answer was received.
    fn agrees_with(self, other: Self) -> bool {
        let ms = |time: Time| time.as_ms() as i64;
        let elapsed_ms = other.clock_ms as i64 - self.clock_ms as i64;
        let min_ms = ms(other.sent_at) - ms(self.received_at);
        let max_ms = ms(other.received_at) - ms(self.sent_at);
        let tolerance_ms = max_ms * i64::from(MAX_CLOCK_SLOWDOWN_PERCENT) / 100 + CLOCK_ROUNDING_MS;
        (min_ms - tolerance_ms..=max_ms + tolerance_ms).contains(&elapsed_ms)
    }
}

/// One instance of a worker.
#[derive(Debug)]
pub(super) struct WorkerInstance {
    pub(super) entry: Arc<WorkerEntry>,
    pub(super) listing: Listing,
    /// Whether the store holds the record that tasks may be started here.
    pub(super) is_persisted: bool,
    /// The time at which this scheduler learned of the instance, which had started by then.
    known_since: Time,
    /// The worker's clock in its first report to this scheduler, in milliseconds.
    pub(super) first_report_clock_ms: Option<u64>,
    /// The time of its last answer.
    pub(super) last_answer_at: Option<Time>,
    /// The worker's clock in its last answer.
    clock: Option<ClockReading>,
    /// Whether another instance under the same id is known and no answer has shown yet which of
    /// them is over. No orders are sent meanwhile.
    pub(super) contested: bool,
    /// The time by which every lease there has certainly expired, unless renewed.
    pub(super) leases_expire_by: Time,
    pub(super) leasing: Leasing,
    /// Whether its row that is being written says that it gets no lease.
    pub(super) sent_not_leased: bool,
    /// Whether it has not answered until `leases_expire_by`, and the store has not confirmed this
    /// owner since.
    pub(super) expiry_unconfirmed: bool,
    /// The fencing token of the next order.
    pub(super) token: u64,
    runs: BTreeMap<TaskName, PlacedRun>,
    /// The free resources; `None` if they must be computed again.
    pub(super) free_capacity: Option<FreeCapacity>,
    /// The orders that wait until the sent one is answered.
    pub(super) orders: VecDeque<Order>,
    pub(super) order_in_flight: Option<SentOrder>,
    pub(super) poll_in_flight: bool,
    pub(super) next_poll_at: Option<Time>,
    /// Whether its availability zone is being evacuated.
    pub(super) zone_evacuated: bool,
    /// How operators took it out of use, if they did.
    pub(super) hold: Option<WorkerHold>,
    /// The time of the last search for other room for the tasks that would be lost when the worker
    /// leaves.
    pub(super) last_evacuation_attempt_at: Option<Time>,
    /// The number of unanswered polls in a row.
    pub(super) unanswered_polls: u32,
    /// The time at which the first of them, or an order before it, counted as unanswered.
    pub(super) unanswered_since: Option<Time>,
    /// Whether its machine crashed recently.
    pub(super) crashed_recently: bool,
    /// The tasks that the previous owner was about to start here with a stored start, since they
    /// may crash their worker.
    pub(super) inherited_starts: Vec<TaskName>,
    /// Whether one of the polls went unanswered while the owner itself did not lag.
    pub(super) silent_while_owner_on_time: bool,
    pub(super) last_report: Option<LastReport>,
    /// Whether its last report did not list all of its ends.
    pub(super) has_unlisted_ends: bool,
    /// The number of the last run end that the worker reported.
    pub(super) last_end_received: u64,
    /// The number of the last run end that is persisted.
    pub(super) last_end_persisted: u64,
    /// The number of the last run end that was acknowledged to the worker as persisted.
    pub(super) last_end_acknowledged: u64,
    /// The number of failed runs in a row, over all tasks.
    pub(super) failures: u32,
    /// The time before which it gets no new work because its runs failed.
    pub(super) quarantined_until: Option<Time>,
    /// The number of times in a row that it was quarantined because its runs failed.
    pub(super) quarantine_count: u32,
    /// Whether it is slower, or fails more often, than its peers.
    pub(super) health: WorkerHealth,
    pub(super) just_ended: Vec<JustEnded>,
    pub(super) paces: BTreeMap<ImageNo, Pace>,
}

impl WorkerInstance {
    pub(super) fn new(entry: WorkerEntry, token: u64, leases_expire_by: Time, now: Time) -> Self {
        Self {
            entry: Arc::new(entry),
            listing: Listing::Listed,
            is_persisted: false,
            known_since: now,
            first_report_clock_ms: None,
            last_answer_at: None,
            clock: None,
            contested: false,
            leases_expire_by,
            leasing: Leasing::Allowed,
            sent_not_leased: false,
            expiry_unconfirmed: false,
            token,
            runs: BTreeMap::new(),
            free_capacity: None,
            orders: VecDeque::new(),
            order_in_flight: None,
            poll_in_flight: false,
            next_poll_at: Some(now),
            zone_evacuated: false,
            hold: None,
            last_evacuation_attempt_at: None,
            unanswered_polls: 0,
            unanswered_since: None,
            crashed_recently: false,
            inherited_starts: Vec::new(),
            silent_while_owner_on_time: false,
            last_report: None,
            has_unlisted_ends: false,
            last_end_received: 0,
            last_end_persisted: 0,
            last_end_acknowledged: 0,
            failures: 0,
            quarantined_until: None,
            quarantine_count: 0,
            health: WorkerHealth::default(),
            just_ended: Vec::new(),
            paces: BTreeMap::new(),
        }
    }

    pub(super) fn id(&self) -> &WorkerName {
        &self.entry.id
    }

    /// Returns whether another entry has the id, the address or the machine of this instance: then
    /// only one of them is alive.
    pub(super) fn conflicts_with(&self, other: &WorkerEntry) -> bool {
        let same_machine = other.machine.is_some() && self.entry.machine == other.machine;
        let same_place = self.entry.address == other.address || same_machine;
        self.entry.key() != other.key() && (self.id() == &other.id || same_place)
    }

    /// Returns whether the instance had started before a moment and has not answered since. An
    /// instance at the same address that answers a request sent at that moment is a later one.
    pub(super) fn precedes(&self, moment: Time) -> bool {
        self.known_since <= moment
            && self.last_answer_at.is_none_or(|last_answer_at| last_answer_at < moment)
    }

    /// Returns whether its first report to this scheduler has arrived.
    pub(super) fn has_reported(&self) -> bool {
        self.first_report_clock_ms.is_some()
    }

    /// Returns whether new work may be placed here.
    pub(super) fn accepts_work(&self, now: Time) -> bool {
        let quarantined = self.quarantined_until.is_some_and(|until| now < until);
        self.has_reported()
            && self.is_persisted
            && self.listing == Listing::Listed
            && !self.entry.draining
            && !self.is_closed_to_starts()
            && self.unanswered_polls == 0
            && self.leasing == Leasing::Allowed
            && !self.contested
            && !quarantined
    }

    /// Returns whether operators allow no starts here.
    pub(super) fn is_closed_to_starts(&self) -> bool {
        self.zone_evacuated || self.hold.is_some()
    }

    /// Returns whether long tasks are to move to other workers.
    pub(super) fn must_be_emptied(&self) -> bool {
        self.zone_evacuated || self.hold == Some(WorkerHold::Drained)
    }

    /// Returns whether the instance is missing from the list, or the list has not been read yet.
    pub(super) fn is_missing(&self) -> bool {
        match self.listing {
            Listing::Listed | Listing::Unusable => false,
            Listing::Unread | Listing::Expired | Listing::Removed { .. } => true,
        }
    }

    /// Returns whether the worker is about to leave: it is draining, or its entry was removed for
    /// good and it still answers.
    pub(super) fn is_leaving(&self, now: Time) -> bool {
        match self.listing {
            _ if self.entry.draining => true,
            Listing::Removed { certain_at } => certain_at <= now && self.unanswered_polls == 0,
            Listing::Unread | Listing::Listed | Listing::Unusable | Listing::Expired => false,
        }
    }

    /// Returns whether the worker is draining and certainly runs nothing: no order is open, and all
    /// ends of its runs are persisted.
    pub(super) fn has_drained(&self) -> bool {
        self.entry.draining
            && self.has_reported()
            && !self.contested
            && self.unanswered_polls == 0
            && self.runs.is_empty()
            && self.orders.is_empty()
            && self.order_in_flight.is_none()
            && !self.has_unlisted_ends
            && self.last_end_persisted >= self.last_end_received
    }

    /// Returns whether the passing of time requires action: its lease has expired, a poll is due,
    /// or the worker is leaving and its tasks must move.
    pub(super) fn needs_check(&self, now: Time) -> bool {
        let poll_is_due =
            !self.poll_in_flight && self.next_poll_at.is_some_and(|due_at| due_at <= now);
        poll_is_due || self.leases_expire_by <= now || self.is_leaving(now)
    }

    /// Returns the runs here, as far as known.
    pub(super) fn runs(&self) -> &BTreeMap<TaskName, PlacedRun> {
        &self.runs
    }

    pub(super) fn has_serving(&self) -> bool {
        self.runs.values().any(PlacedRun::is_serving)
    }

    pub(super) fn has_best_effort(&self) -> bool {
        self.runs.values().any(|run| run.is_best_effort)
    }

    /// Returns whether some run reserves processor time and ends by itself.
    pub(super) fn has_short_tasks(&self) -> bool {
        self.runs.values().any(|run| run.kind() == WorkKind::Short)
    }

    /// Returns whether a tail latency was above its target in the last report, with a best-effort
    /// run beside it.
    pub(super) fn exceeds_tail_target(&self) -> bool {
        self.has_best_effort() && self.runs.values().any(|run| run.above_target_since.is_some())
    }

    /// Returns the worker's clock at the scheduler's time `now`, in milliseconds; `None` before its
    /// first answer.
    pub(super) fn clock_ms(&self, now: Time) -> Option<u64> {
        let offset_ms = self.clock?.offset_ms();
        Some(now.as_ms().saturating_add_signed(offset_ms))
    }

    /// Returns whether an answer may come from this instance, judging by the clock in it; `true`
    /// before the first answer.
    pub(super) fn clock_agrees(&self, clock_ms: u64, sent_at: Time, now: Time) -> bool {
        let reading = ClockReading { clock_ms, sent_at, received_at: now };
        self.clock.is_none_or(|clock| clock.agrees_with(reading))
    }

    /// Returns the number of the last run end that a poll may acknowledge. Returns 0 if there is
    /// nothing new to acknowledge, or the poll may reach a later instance: that one numbers its
    /// ends from 1 and would drop ends that were never received.
    pub(super) fn end_to_acknowledge(&self) -> u64 {
        let is_sure = self.has_reported() && self.unanswered_polls == 0 && !self.contested;
        if is_sure && self.last_end_persisted > self.last_end_acknowledged {
            self.last_end_persisted
        } else {
            0
        }
    }

    /// Returns whether an order that starts a run was sent and is not answered.
    pub(super) fn has_start_in_flight(&self) -> bool {
        self.order_in_flight.is_some_and(|order| order.starts)
    }

    /// Returns a run for updates of its state. Its size must not change, since the free resources
    /// are not computed again.
    pub(super) fn run_mut(&mut self, task: TaskName, run: u32) -> Option<&mut PlacedRun> {
        self.runs.get_mut(&task).filter(|known| known.run == run)
    }

    /// Returns all runs for updates of their state. Their sizes must not change.
    pub(super) fn runs_mut(&mut self) -> impl Iterator<Item = (TaskName, &mut PlacedRun)> {
        self.runs.iter_mut().map(|(&task, run)| (task, run))
    }

    pub(super) fn insert_run(&mut self, task: TaskName, run: PlacedRun) {
        self.free_capacity = None;
        self.runs.insert(task, run);
    }

    /// Removes a run, if present.
    pub(super) fn remove_run(&mut self, task: TaskName, run: u32) -> Option<PlacedRun> {
        self.run_mut(task, run)?;
        self.free_capacity = None;
        self.runs.remove(&task)
    }

    pub(super) fn take_runs(&mut self) -> BTreeMap<TaskName, PlacedRun> {
        self.free_capacity = None;
        mem::take(&mut self.runs)
    }

    /// Records when the worker gave a report in answer to a poll sent at `sent_at`, before the answer
    /// itself is recorded.
    pub(super) fn record_report(&mut self, clock_ms: u64, sent_at: Time, now: Time) {
        let waited_ms = self.clock_ms(sent_at).map(|sent_ms| clock_ms.saturating_sub(sent_ms));
        let was_immediate = waited_ms.is_some_and(|ms| ms <= IMMEDIATE_ANSWER_MS);
        let last = self.last_report.filter(|_| was_immediate);
        let unobserved = last.map_or(Duration::ZERO, |last| sent_at.since(last.received_at));
        self.last_report = Some(LastReport { clock_ms, received_at: now, unobserved });
    }

    /// Records an answer of the worker to a request sent at `sent_at`.
    pub(super) fn record_answer(&mut self, clock_ms: u64, sent_at: Time, now: Time) {
        self.last_answer_at = Some(now);
        self.unanswered_polls = 0;
        self.unanswered_since = None;
        self.silent_while_owner_on_time = false;
        self.expiry_unconfirmed = false;
        self.clock = Some(ClockReading { clock_ms, sent_at, received_at: now });
    }

    pub(super) fn last_answer_age_ms(&self, now: Time) -> Option<u64> {
        self.last_answer_at.map(|last_answer_at| now.since(last_answer_at).as_millis() as u64)
    }

    /// Records that runs may be leased until `lease` after now.
    pub(super) fn extend_leases(&mut self, lease: Duration, now: Time) {
        self.leases_expire_by = self.leases_expire_by.max(now + lease);
    }

    /// Records that a run was confirmed to run.
    pub(super) fn mark_running(&mut self, task: TaskName, run: u32, now: Time) {
        if let Some(known) = self.run_mut(task, run).filter(|known| !known.is_running()) {
            known.phase = Phase::Running(now);
        }
    }

    /// Returns whether the order to start a run was sent, so that the run may have started.
    pub(super) fn was_sent(&self, task: TaskName, run: &PlacedRun) -> bool {
        let waits = |order: &Order| matches!(order, Order::Start(start) if start.task == task);
        match run.phase {
            Phase::Unpersisted => false,
            Phase::Ordered => !self.orders.iter().any(waits),
            Phase::StartUnanswered { .. } | Phase::Running(_) => true,
        }
    }

    /// Returns the time that a run is known to have run here, from the confirmation of its start to
    /// the worker's last answer; `None` if its start was not confirmed.
    pub(super) fn confirmed_run_time(&self, run: &PlacedRun) -> Option<Duration> {
        let Phase::Running(since) = run.phase else { return None };
        Some(
            self.last_answer_at
                .map_or(Duration::ZERO, |last_answer_at| last_answer_at.since(since)),
        )
    }

    /// Copies the percent and gauge of each known run from a report.
    pub(super) fn update_running(&mut self, report: &Report) {
        for reported in &report.running {
            if let Some(run) = self.run_mut(reported.task, reported.run) {
                run.percent = reported.percent;
                run.gauge = reported.gauge;
            }
        }
    }
}
