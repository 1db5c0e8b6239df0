//! Maintains the list of workers and their instances.

use std::{sync::Arc, time::Duration};

use super::{
    super::{
        event::WorkerListChange,
        instance::{InstanceEnd, InstanceNo, Leasing, Listing, WorkerInstance},
        report::Report,
        run::PlacedRun,
        worker_entry::WorkerEntry,
    },
    Scheduler,
};
use crate::Time;

/// A run with at least this much progress, in percent, stays on a worker that is about to leave. The
/// worker remains for at least two seconds.
const MAX_PERCENT_TO_MOVE: u32 = 70;
/// How long after a lease has expired a lagging owner still waits for answers that it may not have
/// read. Work that waits longer is better restarted elsewhere.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(2_500);
/// The interval at which other placements are sought for the runs of a worker that is about to
/// leave. It remains for at least two seconds, and each search scores every worker.
const EVACUATION_INTERVAL: Duration = Duration::from_millis(250);

impl Scheduler {
    /// Handles changes in the list of workers.
    pub(super) fn handle_discovery(&mut self, changes: Vec<WorkerListChange>) {
        for change in changes {
            match change {
                WorkerListChange::Listed(entry) if self.has_unused_service(&entry) => {
                    self.handle_unused_service(*entry)
                }
                WorkerListChange::Listed(entry) => self.handle_listed_entry(*entry),
                WorkerListChange::Unusable(id) => self.handle_unusable_entry(&id),
                WorkerListChange::Removed { id, silent_for } => {
                    self.unused_service_entries.remove(&id);
                    self.handle_unlisted(&id, silent_for);
                }
                WorkerListChange::Complete => self.mark_unread_unlisted(),
            }
        }
        self.placement_needed = true;
    }

    /// Ends earlier instances at the place of one that answered a poll sent at a given time.
    pub(super) fn end_earlier_instances(
        &mut self,
        instance_no: InstanceNo,
        sent_at: Time,
        report: &Report,
    ) {
        let Some(instance) = self.instances.get(instance_no) else { return };
        let entry = Arc::clone(&instance.entry);
        for earlier in self.instances.conflicting_with(&entry) {
            let Some(other) = self.instances.get(earlier).filter(|other| other.precedes(sent_at))
            else {
                continue;
            };
            let same_id = other.id() == &entry.id;
            if same_id {
                self.transfer_runs(earlier, instance_no, report);
                self.log_worker_restart(earlier, instance_no);
            }
            let end = if same_id { InstanceEnd::StartedAgain } else { InstanceEnd::LaterAnswers };
            self.end_instance(earlier, end);
        }
    }

    /// Ends a worker instance and drops all of its runs for good.
    ///
    /// A crashed worker reports no ends, so the cause of the crash is derived here: a run lost with
    /// its worker may have caused the loss. That an instance is gone proves no crash.
    pub(super) fn end_instance(&mut self, instance_no: InstanceNo, end: InstanceEnd) {
        self.log_worker_state(instance_no, end.why());
        let suspects = self.crash_suspects(instance_no, Some(end));
        self.drop_all_runs(instance_no, end.why());
        let Some(instance) = self.instances.remove(instance_no) else { return };
        let key = instance.entry.key();
        let never_answered = self.unconfirmed_instances.remove(&instance_no);
        self.record_lost_worker(&instance);
        match end {
            _ if instance.entry.draining => self.dismiss_losses(&key),
            InstanceEnd::Gone => {
                self.unreported_workers.record_silent(&key, never_answered);
                self.record_losses(&instance.entry, suspects);
            }
            InstanceEnd::AnotherAnswers | InstanceEnd::LaterAnswers | InstanceEnd::StartedAgain => {
                self.unreported_workers.record_crashed(&key, never_answered);
                self.confirm_losses(&key, end.why());
                self.record_crash(&key, suspects, end.why());
            }
        }
        if instance.leasing != Leasing::Retired {
            self.pending.remove_instance(instance_no, key, instance.is_persisted);
        }
        self.resolve_contest(instance.id());
        self.placement_needed = true;
    }

    /// Applies time-based changes to an instance: expired leases and due polls.
    pub(super) fn check_instance(&mut self, instance_no: InstanceNo) {
        self.stop_leasing_if_silent(instance_no);
        self.retire_if_drained(instance_no);
        let lease_has_expired = self.silent_lease_has_expired(instance_no);
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let grace_is_over = self.now.since(instance.leases_expire_by) >= LATE_ANSWER_GRACE;
        match lease_has_expired {
            true if instance.is_missing() => {
                return self.end_instance(instance_no, InstanceEnd::Gone);
            }
            // The ends of its runs may be in answers that were received but not read, so a lagging
            // owner polls again.
            true if instance.silent_while_owner_on_time || grace_is_over => {
                self.drop_runs_of_silent_worker(instance_no);
            }
            _ => {}
        }
        self.send_poll_if_due(instance_no);
        self.evacuate_worker(instance_no);
    }

    /// Moves the runs that would be lost with a leaving worker, as capacity elsewhere allows.
    fn evacuate_worker(&mut self, instance_no: InstanceNo) {
        let now = self.now;
        let Some(instance) =
            self.instances.get_mut(instance_no).filter(|instance| instance.is_leaving(now))
        else {
            return;
        };
        if instance
            .last_evacuation_attempt_at
            .is_some_and(|time| now.since(time) < EVACUATION_INTERVAL)
        {
            return;
        }
        instance.last_evacuation_attempt_at = Some(now);
        let must_move = |run: &PlacedRun| {
            let saved = run.keeps_progress && run.percent < MAX_PERCENT_TO_MOVE;
            !run.stopping && run.is_running() && (run.is_long_running || saved)
        };
        let runs = instance.runs().iter().filter(|(_, run)| must_move(run));
        for (task, run) in runs.map(|(&task, run)| (task, run.run)).collect::<Vec<_>>() {
            let Some(spec) = self.step_spec(task).cloned() else { continue };
            if self.may_move_run(instance_no, task)
                && self.choose_worker(task, &spec, &[]).is_some()
            {
                self.move_run(instance_no, task, run, "moved: its worker is leaving");
            }
        }
    }

    pub(super) fn handle_listed_entry(&mut self, entry: WorkerEntry) {
        self.unused_service_entries.remove(&entry.id);
        match self.find_instance_for_entry(&entry) {
            Some(instance_no) => self.update_listed_instance(instance_no, entry),
            None => self.add_listed_instance(entry),
        }
    }

    /// Updates a known instance from its list entry, which may have changed.
    ///
    /// A draining instance never returns to service: an entry that says otherwise was written
    /// earlier and arrived late.
    fn update_listed_instance(&mut self, instance_no: InstanceNo, mut entry: WorkerEntry) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        entry.draining |= instance.entry.draining;
        entry.incarnation = instance.entry.incarnation;
        let was_listed = instance.listing == Listing::Listed;
        let state = match (entry.draining && !instance.entry.draining, was_listed) {
            (true, _) => Some("draining"),
            (false, false) => Some("listed again"),
            (false, true) => None,
        };
        let shrank = !instance.entry.capacity.fits_in(&entry.capacity);
        instance.listing = Listing::Listed;
        self.instances.replace_entry(instance_no, entry);
        self.instances.record_listed(instance_no);
        self.update_zone_status(instance_no);
        self.update_hold(instance_no);
        if shrank {
            self.cancel_excess_starts(instance_no);
        }
        if let Some(state) = state {
            self.log_worker_state(instance_no, state);
        }
    }

    /// Adds a new instance from its list entry.
    ///
    /// The entry does not prove that other instances at its place are over: entries of an ended
    /// instance may arrive after those of its successor. Answers to polls show which of them are
    /// alive.
    fn add_listed_instance(&mut self, entry: WorkerEntry) {
        // No other owner has leased on a worker that is new to the list, or the worker's record
        // would say so.
        let crashed_recently = self.has_lost_worker_at(&entry.address);
        let key = entry.key();
        let instance_no = self.insert_instance(entry, self.now);
        if let Some(instance) = self.instances.get_mut(instance_no) {
            instance.crashed_recently = crashed_recently;
        }
        self.pending.add_instance(instance_no, &key);
        self.log_worker_state(instance_no, "listed");
        self.mark_contested(instance_no);
        self.send_poll_if_due(instance_no);
    }

    pub(super) fn insert_instance(
        &mut self,
        entry: WorkerEntry,
        leases_expire_by: Time,
    ) -> InstanceNo {
        let lost_token = self.lost_worker_token(&entry.id);
        let token = lost_token.map_or(self.initial_token(), |token| token + 1);
        let instance_no =
            self.instances.push(WorkerInstance::new(entry, token, leases_expire_by, self.now));
        self.update_zone_status(instance_no);
        self.update_hold(instance_no);
        instance_no
    }
}
