//! What an owner knows of one worker.

use std::collections::BTreeSet;

use super::{Ledger, ShardSettings};
use crate::{
    Attempt, Resources, SpecName, TaskId, Time,
    fleet::{Liveness, WorkerInfo},
    placement::Relief,
    worker::{Order, SyncReply, TaskReport, Wants},
};

/// How many specs must fail on a worker, without a success between, to call it bad.
const BAD_WORKER_SPECS: usize = 3;

/// The last word of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Heard {
    /// The worker's run.
    pub boot: u64,
    /// The worker's clock at that moment or earlier, in milliseconds.
    pub clock_ms: u64,
    /// When it was heard.
    pub at: Time,
}

/// What an owner knows of one worker.
#[derive(Debug)]
pub(super) struct WorkerState {
    /// What the box list says, once it did.
    pub info: Option<WorkerInfo>,
    /// What it has been given.
    pub ledger: Ledger,
    /// Its last word in this reign.
    pub heard: Option<Heard>,
    /// When every lease it may hold has certainly lapsed.
    pub lapse_at: Time,
    /// Whether a request is on its way.
    pub in_flight: bool,
    /// When it is to be spoken to next.
    pub due: Time,
    /// The pressure on it.
    pub relief: Relief,
    /// The ends it reported that it still keeps.
    pub unsettled: Vec<(TaskId, Attempt)>,
    sequence_sent: u64,
    sequence_seen: u64,
    /// The last list of orders, without its leases, and its number.
    orders: Vec<Order>,
    list: u64,
    /// The list the worker goes by.
    list_heard: u64,
    failed_specs: BTreeSet<SpecName>,
    rests: u32,
    rest_until: Option<Time>,
}

impl WorkerState {
    /// A worker that was not heard yet in this reign.
    pub fn new(lapse_at: Time, now: Time) -> Self {
        Self {
            info: None,
            ledger: Ledger::default(),
            heard: None,
            lapse_at,
            in_flight: false,
            due: now,
            relief: Relief::default(),
            unsettled: Vec::new(),
            sequence_sent: 0,
            sequence_seen: 0,
            orders: Vec::new(),
            list: 0,
            list_heard: 0,
            failed_specs: BTreeSet::new(),
            rests: 0,
            rest_until: None,
        }
    }

    /// Whether the worker was heard within the given time.
    pub fn is_responsive(&self, settings: &ShardSettings, now: Time) -> bool {
        self.heard.is_some_and(|heard| now.since(heard.at) < settings.service_failover)
    }

    /// Whether the box list has the worker as up and staying.
    pub fn is_live(&self) -> bool {
        self.info.as_ref().is_some_and(|info| info.state == Liveness::Live)
    }

    /// Whether the box list has the worker as about to go.
    pub fn is_leaving(&self) -> bool {
        self.info.as_ref().is_some_and(|info| info.state == Liveness::Leaving)
    }

    /// Whether the worker rests after failures.
    pub fn rests(&self, now: Time) -> bool {
        self.rest_until.is_some_and(|until| now < until)
    }

    /// What the worker has.
    pub fn capacity(&self) -> Resources {
        self.info.as_ref().map(|info| info.capacity).unwrap_or_default()
    }

    /// The number of the next request to it.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence_sent += 1;
        self.sequence_sent
    }

    /// The request whose answer is the latest that was taken in.
    pub fn seen(&self) -> u64 {
        self.sequence_seen
    }

    /// The shortest way to say what is wanted: a renewal if the worker goes by the same
    /// orders already, the orders otherwise.
    ///
    /// Without `renewal` the leases of the orders differ, and they are said in full.
    pub fn say(&mut self, orders: Vec<Order>, renewal: Option<u64>) -> Wants {
        let without_lease = |order: &Order| Order { lease_until_ms: 0, ..order.clone() };
        let bare: Vec<Order> = orders.iter().map(without_lease).collect();
        let known = self.list > 0 && self.list_heard == self.list && bare == self.orders;
        match renewal {
            Some(lease_until_ms) if known => Wants::Renew { list: self.list, lease_until_ms },
            _ => {
                self.list += 1;
                self.orders = bare;
                Wants::Orders { list: self.list, orders }
            }
        }
    }

    /// Takes in the head of a reply. Returns whether it is news.
    ///
    /// From here on the worker refuses older owners, and every lease that it holds
    /// ends within one task lease of the clock it reports.
    pub fn hear(&mut self, reply: &SyncReply, settings: &ShardSettings, now: Time) -> bool {
        if reply.sequence <= self.sequence_seen {
            return false;
        }
        self.sequence_seen = reply.sequence;
        self.list_heard = reply.list;
        self.heard = Some(Heard { boot: reply.boot, clock_ms: reply.clock_ms, at: now });
        self.lapse_at = now + settings.certain_lapse();
        true
    }

    /// Takes in that a run failed. Returns how long the worker should rest, if it
    /// should.
    pub fn note_failure(
        &mut self,
        spec: &SpecName,
        settings: &ShardSettings,
        now: Time,
    ) -> Option<std::time::Duration> {
        self.failed_specs.insert(spec.clone());
        if self.failed_specs.len() < BAD_WORKER_SPECS {
            return None;
        }
        self.failed_specs.clear();
        let rest = settings.quarantine * 2u32.pow(self.rests.min(8));
        let rest = rest.min(settings.quarantine_max);
        self.rests += 1;
        self.rest_until = Some(now + rest);
        Some(rest)
    }

    /// Takes in that a run ended well.
    pub fn note_success(&mut self) {
        self.failed_specs.clear();
        self.rests = 0;
    }

    /// Ends the rest at once.
    pub fn end_rest(&mut self) {
        self.rest_until = None;
    }

    /// The ends the worker reported that it still keeps.
    pub fn keep_unsettled(&mut self, tasks: &[TaskReport]) {
        let ended = tasks.iter().filter(|report| report.phase != crate::worker::Phase::Running);
        self.unsettled = ended.map(|report| (report.task.clone(), report.attempt)).collect();
    }
}
