//! The state that an owner keeps for one worker.

use std::collections::BTreeSet;

use super::{Ledger, ShardSettings};
use crate::{
    Attempt, Resources, SpecName, TaskId, Time,
    fleet::{Liveness, WorkerInfo},
    placement::ReliefState,
    worker::{SyncReply, TaskOrder, TaskReport, WorkerOrders},
};

/// The number of specs that must fail on a worker, without a success between them, before
/// the worker is quarantined.
const FAILED_SPECS_BEFORE_QUARANTINE: usize = 3;

/// The latest reply of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LastReply {
    /// The boot number of the worker process.
    pub boot: u64,
    /// The worker's clock when the reply was received, or earlier, in milliseconds.
    pub clock_ms: u64,
    /// The time at which the reply was received.
    pub received_at: Time,
}

/// The state that an owner keeps for one worker.
#[derive(Debug)]
pub(super) struct WorkerState {
    /// The worker's latest entry in the box list, once one was read.
    pub info: Option<WorkerInfo>,
    /// The resources granted to runs.
    pub ledger: Ledger,
    /// The latest reply in this epoch.
    pub last_reply: Option<LastReply>,
    /// The time at which every lease the worker may hold has certainly expired.
    pub leases_end_at: Time,
    /// Whether a sync request is in flight.
    pub in_flight: bool,
    /// The time at which the next sync request is due.
    pub next_sync: Time,
    /// The slowdown of the classes on the worker, and the steps taken against it.
    pub relief: ReliefState,
    /// The ended runs that the worker still reports.
    pub unsettled: Vec<(TaskId, Attempt)>,
    sequence_sent: u64,
    sequence_seen: u64,
    /// The latest list of orders, without lease times.
    orders: Vec<TaskOrder>,
    list_number: u64,
    /// The number of the list that the worker follows.
    acknowledged_list_number: u64,
    failed_specs: BTreeSet<SpecName>,
    quarantines: u32,
    quarantined_until: Option<Time>,
}

impl WorkerState {
    /// Creates the state of a worker that has not replied in this epoch.
    pub fn new(leases_end_at: Time, now: Time) -> Self {
        Self {
            info: None,
            ledger: Ledger::default(),
            last_reply: None,
            leases_end_at,
            in_flight: false,
            next_sync: now,
            relief: ReliefState::default(),
            unsettled: Vec::new(),
            sequence_sent: 0,
            sequence_seen: 0,
            orders: Vec::new(),
            list_number: 0,
            acknowledged_list_number: 0,
            failed_specs: BTreeSet::new(),
            quarantines: 0,
            quarantined_until: None,
        }
    }

    /// Returns whether the worker replied within `service_failover`.
    pub fn is_responsive(&self, settings: &ShardSettings, now: Time) -> bool {
        self.last_reply
            .is_some_and(|last_reply| now.since(last_reply.received_at) < settings.service_failover)
    }

    /// Returns whether the box list shows the worker as live.
    pub fn is_live(&self) -> bool {
        self.info.as_ref().is_some_and(|info| info.state == Liveness::Live)
    }

    /// Returns whether the box list shows the worker as leaving.
    pub fn is_leaving(&self) -> bool {
        self.info.as_ref().is_some_and(|info| info.state == Liveness::Leaving)
    }

    /// Returns whether the worker is quarantined.
    pub fn is_quarantined(&self, now: Time) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }

    /// Returns the capacity of the worker.
    pub fn capacity(&self) -> Resources {
        self.info.as_ref().map(|info| info.capacity).unwrap_or_default()
    }

    /// Returns the sequence number of the next request to the worker.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence_sent += 1;
        self.sequence_sent
    }

    /// Returns the sequence number of the request whose reply was the latest accepted.
    pub fn last_seen_sequence(&self) -> u64 {
        self.sequence_seen
    }

    /// Returns the shortest encoding of the orders: a renewal if the worker already follows the
    /// same orders, the full list otherwise.
    ///
    /// Without `renewal` the leases of the orders differ, so the full list is sent.
    pub fn encode_orders(&mut self, orders: Vec<TaskOrder>, renewal: Option<u64>) -> WorkerOrders {
        let without_lease = |order: &TaskOrder| TaskOrder { lease_until_ms: 0, ..order.clone() };
        let without_leases: Vec<TaskOrder> = orders.iter().map(without_lease).collect();
        let list_is_current = self.list_number > 0
            && self.acknowledged_list_number == self.list_number
            && without_leases == self.orders;
        match renewal {
            Some(lease_until_ms) if list_is_current => {
                WorkerOrders::Renew { list: self.list_number, lease_until_ms }
            }
            _ => {
                self.list_number += 1;
                self.orders = without_leases;
                WorkerOrders::Orders { list: self.list_number, orders }
            }
        }
    }

    /// Records the header of a reply. Returns whether the reply is newer than those before.
    ///
    /// From this reply on, the worker refuses older owners, and every lease that it holds
    /// ends within one task lease of the clock it reports.
    pub fn accept_reply(&mut self, reply: &SyncReply, settings: &ShardSettings, now: Time) -> bool {
        if reply.sequence <= self.sequence_seen {
            return false;
        }
        self.sequence_seen = reply.sequence;
        self.acknowledged_list_number = reply.list;
        self.last_reply =
            Some(LastReply { boot: reply.boot, clock_ms: reply.clock_ms, received_at: now });
        self.leases_end_at = now + settings.task_lease_bound();
        true
    }

    /// Records that a run failed. Returns the duration of the quarantine if the worker should
    /// be quarantined.
    pub fn record_failure(
        &mut self,
        spec: &SpecName,
        settings: &ShardSettings,
        now: Time,
    ) -> Option<std::time::Duration> {
        self.failed_specs.insert(spec.clone());
        if self.failed_specs.len() < FAILED_SPECS_BEFORE_QUARANTINE {
            return None;
        }
        self.failed_specs.clear();
        let quarantine = settings.quarantine * 2u32.pow(self.quarantines.min(8));
        let quarantine = quarantine.min(settings.quarantine_max);
        self.quarantines += 1;
        self.quarantined_until = Some(now + quarantine);
        Some(quarantine)
    }

    /// Records that a run succeeded.
    pub fn record_success(&mut self) {
        self.failed_specs.clear();
        self.quarantines = 0;
    }

    /// Ends the quarantine at once.
    pub fn end_quarantine(&mut self) {
        self.quarantined_until = None;
    }

    /// Replaces the list of ended runs that the worker still reports.
    pub fn set_unsettled(&mut self, tasks: &[TaskReport]) {
        let ended = tasks.iter().filter(|report| report.phase != crate::worker::TaskPhase::Running);
        self.unsettled = ended.map(|report| (report.task.clone(), report.attempt)).collect();
    }
}
