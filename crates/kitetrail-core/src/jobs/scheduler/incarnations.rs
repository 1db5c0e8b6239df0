//! Tracks workers that restart under the same id: which instance is over, and what is known of
//! each.
//!
//! A restarted worker has lost all earlier state and restarts its end numbers and its clock. Each
//! start is therefore a separate instance here, with its own numbers, runs and leases;
//! timestamps and numbers of one instance never apply to another.
//!
//! Neither a list entry nor a start time shows which of two instances is over: entries arrive
//! late, and the wall clock may have been set back. An answer does: an instance that answers a
//! request sent after the other one was last heard from is the later one. Until then the
//! instances are contested. They get no orders and no acknowledgements of ends, and both are
//! polled under a fencing token above all tokens sent before, so that whichever is alive refuses
//! orders in flight.

use std::time::Duration;

use super::{
    super::{
        event::Action,
        instance::{InstanceEnd, InstanceNo, Listing},
        log_entry::LogEntry,
        names::{Incarnation, WorkerName},
        report::Report,
        run::Phase,
        steps::Placement,
        worker_entry::WorkerEntry,
    },
    Scheduler,
};
use crate::Time;

/// The source of the answer to a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReportSource {
    /// The instance that was asked.
    ThisInstance,
    /// Another instance of the same worker.
    Another(Incarnation),
    /// An earlier instance; the one that was asked has answered since the request was sent.
    Earlier,
    /// Unknown: the answer does not identify its incarnation, and more than one is known.
    Unknown,
}

/// The instance that executed an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Executor {
    /// The instance that the order was sent to.
    ThisInstance,
    /// Another instance of the same worker.
    Another(Incarnation),
    /// Unknown: the answer does not identify its incarnation, and either its clock differs or more
    /// than one instance is known.
    Unknown,
}

impl Scheduler {
    /// Returns the known instance that a list entry belongs to.
    ///
    /// An entry that does not identify its incarnation is attributed to the one that was listed
    /// last.
    pub(super) fn find_instance_for_entry(&self, entry: &WorkerEntry) -> Option<InstanceNo> {
        let instances = self.instances.of_worker(&entry.id);
        match entry.incarnation {
            Some(_) => self.find_instance(&entry.id, entry.incarnation),
            None => instances.last().copied(),
        }
    }

    fn find_instance(
        &self,
        id: &WorkerName,
        incarnation: Option<Incarnation>,
    ) -> Option<InstanceNo> {
        let matches_incarnation = |instance_no: InstanceNo| {
            self.instances
                .get(instance_no)
                .is_some_and(|instance| instance.entry.incarnation == incarnation)
        };
        self.instances
            .of_worker(id)
            .iter()
            .copied()
            .find(|&instance_no| matches_incarnation(instance_no))
    }

    /// Returns the source of the answer to a poll that was sent to an instance at a given time.
    pub(super) fn report_source(
        &self,
        instance_no: InstanceNo,
        sent_at: Time,
        report: &Report,
    ) -> ReportSource {
        let Some(instance) = self.instances.get(instance_no) else { return ReportSource::Unknown };
        let is_last = self.instances.of_worker(instance.id()).last() == Some(&instance_no);
        let answered_since =
            instance.last_answer_at.is_some_and(|last_answer_at| last_answer_at >= sent_at);
        match report.incarnation {
            None if instance.contested && !is_last => ReportSource::Unknown,
            None => ReportSource::ThisInstance,
            reported if reported == instance.entry.incarnation => ReportSource::ThisInstance,
            Some(_) if answered_since => ReportSource::Earlier,
            Some(incarnation) => ReportSource::Another(incarnation),
        }
    }

    /// Returns which instance executed an order, and records the answer if it is the one that
    /// the order was sent to.
    ///
    /// An answer that does not identify its incarnation is matched by its clock, which restarts
    /// with each one.
    pub(super) fn executor_of(
        &mut self,
        instance_no: InstanceNo,
        clock_ms: u64,
        incarnation: Option<Incarnation>,
        sent_at: Time,
    ) -> Executor {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(instance_no) else { return Executor::Unknown };
        let agrees = !instance.contested && instance.clock_agrees(clock_ms, sent_at, now);
        match incarnation {
            Some(other) if Some(other) != instance.entry.incarnation => {
                return Executor::Another(other);
            }
            None if !agrees => {
                // The poll in flight may acknowledge ends to the later instance that were never
                // received. A poll with a higher token is sent now, to arrive first if possible.
                instance.poll_in_flight = false;
                self.log_worker_state(instance_no, "asked again: its clock differs");
                return Executor::Unknown;
            }
            Some(_) | None => {}
        }
        instance.record_answer(clock_ms, sent_at, now);
        self.dismiss_losses_of_answering(instance_no);
        self.resume_leasing(instance_no);
        Executor::ThisInstance
    }

    /// Handles an answer from a different instance than the one that was asked.
    pub(super) fn handle_other_incarnation(
        &mut self,
        instance_no: InstanceNo,
        incarnation: Incarnation,
        sent_at: Time,
    ) {
        let Some(instance) = self.instances.get(instance_no) else { return };
        // Only its address is known. It may offer other resources than the previous instance,
        // and is not leaving just because that one was. It gets no work until its own entry is
        // read.
        let entry = WorkerEntry {
            incarnation: Some(incarnation),
            draining: false,
            remaining_ms: None,
            ..(*instance.entry).clone()
        };
        let precedes = instance.precedes(sent_at);
        match self.find_instance_for_entry(&entry) {
            Some(other)
                if precedes
                    && self.instances.get(other).is_some_and(|other| other.has_reported()) =>
            {
                self.log_worker_restart(instance_no, other);
                self.end_instance(instance_no, InstanceEnd::StartedAgain);
            }
            Some(other) => self.send_poll_now(other),
            None => {
                let key = entry.key();
                let other = self.insert_instance(entry, self.now);
                if let Some(instance) = self.instances.get_mut(other) {
                    instance.listing = Listing::Unread;
                }
                self.pending.add_instance(other, &key);
                self.mark_contested(other);
            }
        }
    }

    /// Marks the instances of a worker as contested if a new one joins others. Answers must show
    /// which of them are over.
    pub(super) fn mark_contested(&mut self, instance_no: InstanceNo) {
        let Some(instance) = self.instances.get(instance_no) else { return };
        let instances = self.instances.of_worker(&instance.id().clone()).to_vec();
        if instances.len() < 2 {
            return;
        }
        self.raise_shared_token(instance_no);
        // An order or poll with a lease time of the old clock may have reached the new instance.
        // Such a lease lasts at most as long as the longest lease that workers grant.
        let leased_until = self.now + self.max_lease_expiry_delay();
        if let Some(instance) = self.instances.get_mut(instance_no) {
            instance.leases_expire_by = instance.leases_expire_by.max(leased_until);
        }
        for contested in instances {
            if let Some(instance) = self.instances.get_mut(contested) {
                instance.contested = true;
            }
            self.log_worker_state(
                contested,
                "contested: another incarnation with its id was reported",
            );
            self.send_poll_now(contested);
        }
    }

    /// Sends a poll to a worker at once, unless one is in flight or the worker is silent.
    fn send_poll_now(&mut self, instance_no: InstanceNo) {
        if self.instances.get(instance_no).is_some_and(|instance| instance.unanswered_polls == 0) {
            self.schedule_poll_within(instance_no, Duration::ZERO);
            self.send_poll_if_due(instance_no);
        }
    }

    /// Ends the contested state of a worker once a single instance is left.
    pub(super) fn resolve_contest(&mut self, id: &WorkerName) {
        let [instance_no] = *self.instances.of_worker(id) else { return };
        let Some(instance) =
            self.instances.get_mut(instance_no).filter(|instance| instance.contested)
        else {
            return;
        };
        instance.contested = false;
        self.placement_needed = true;
        self.send_next_order(instance_no);
    }

    /// Raises the fencing token of all instances of a worker above every token sent there.
    /// Whichever is alive refuses everything sent before.
    pub(super) fn raise_shared_token(&mut self, instance_no: InstanceNo) {
        let Some(instance) = self.instances.get(instance_no) else { return };
        let instances = self.instances.of_worker(&instance.id().clone()).to_vec();
        let tokens = instances
            .iter()
            .filter_map(|&instance_no| self.instances.get(instance_no))
            .map(|instance| instance.token);
        let Some(highest) = tokens.max() else { return };
        for instance_no in instances {
            if let Some(instance) = self.instances.get_mut(instance_no) {
                instance.token = highest + 1;
            }
        }
    }

    /// Transfers runs that were ordered from one instance and are reported by its successor,
    /// which received the order. All other runs were lost with the earlier instance.
    pub(super) fn transfer_runs(&mut self, before: InstanceNo, after: InstanceNo, report: &Report) {
        let now = self.now;
        let running = report.running.iter().map(|reported| (reported.task, reported.run));
        let ended = report.ended.iter().map(|reported| (reported.task, reported.run));
        for (task, run) in running.chain(ended) {
            let instance = self.instances.get_mut(before);
            let Some(mut run_state) = instance.and_then(|instance| instance.remove_run(task, run))
            else {
                continue;
            };
            run_state.phase = Phase::Running(now);
            if let Some(instance) = self.instances.get_mut(after) {
                instance.insert_run(task, run_state);
            }
            let placed = self.task_mut(task).into_iter().flat_map(|task| &mut task.placed);
            for placement in
                placed.filter(|placed_run| **placed_run == Placement { instance: before, run })
            {
                placement.instance = after;
            }
        }
        if let Some(instance) = self.instances.get_mut(after) {
            instance.crashed_recently = true;
        }
    }

    /// Logs that a worker has restarted under the same id.
    pub(super) fn log_worker_restart(&mut self, before: InstanceNo, after: InstanceNo) {
        let Some(instance) = self.instances.get(before) else { return };
        if !instance.has_reported() && !self.unconfirmed_instances.contains(&before) {
            // The incarnation came from a late entry.
            return;
        }
        let now = self.instances.get(after).and_then(|instance| instance.entry.incarnation);
        let (worker, ends_seen) = (instance.id().clone(), instance.last_end_received);
        let (before, runs) = (instance.entry.incarnation, instance.runs().len() as u32);
        let entry = LogEntry::WorkerRestarted { worker, before, now, ends_seen, runs };
        self.actions.push(Action::Log(entry));
    }
}
