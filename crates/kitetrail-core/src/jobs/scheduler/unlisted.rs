//! Handles workers whose entries disappear from the list, and distinguishes workers that left from
//! entries that the store lost.
//!
//! A worker that leaves withdraws its entry between two heartbeats. An entry that disappears after
//! three missed heartbeats expired: its worker crashed, can't reach the store, or the store had an
//! outage. In the last case the worker counts as gone if its entry is still missing some time after
//! the store's return. A worker that can't reach the store keeps running and answers us.

use std::time::Duration;

use super::{
    super::{
        instance::{InstanceNo, Listing},
        names::{TaskName, WorkerName},
        run::PlacedRun,
    },
    Scheduler,
};
use crate::Time;

/// How long after the store's return the entry of a live worker may still be missing: the
/// platform's two seconds, and 400 ms for the interval between our reads of the list.
const RELIST_GRACE_PERIOD: Duration = Duration::from_millis(2_400);
/// An entry that disappears after this many missed heartbeats has expired; a withdrawn one
/// disappears sooner. Entries expire after three heartbeats, and heartbeats are read up to 0.2 s
/// late.
const EXPIRE_AFTER_HEARTBEATS: u32 = 2;

impl Scheduler {
    /// Records that the store was unavailable until a given time.
    ///
    /// Workers whose entries disappeared during the outage, or within [`RELIST_GRACE_PERIOD`] of
    /// its end, may be alive.
    pub(super) fn record_store_outage(&mut self, until: Time) {
        self.store_outage_until = self.store_outage_until.max(Some(until));
        let (now, returns_by) = (self.now, until + RELIST_GRACE_PERIOD);
        for instance in self.instances.values_mut() {
            match &mut instance.listing {
                Listing::Removed { certain_at } if *certain_at > now => {
                    *certain_at = returns_by.max(*certain_at);
                }
                _ => {}
            }
        }
    }

    /// Handles the removal of a worker's entry from the list, given the time since its last
    /// heartbeat.
    pub(super) fn handle_unlisted(&mut self, id: &WorkerName, silent_for: Option<Duration>) {
        for instance_no in self.instances.of_worker(id).to_vec() {
            self.mark_unlisted(instance_no, self.classify_removal(silent_for));
        }
    }

    /// Marks workers as unlisted that earlier owners used and that the complete list does not
    /// contain.
    pub(super) fn mark_unread_unlisted(&mut self) {
        let unread =
            self.instances.iter().filter(|(_, instance)| instance.listing == Listing::Unread);
        for instance_no in unread.map(|(instance_no, _)| instance_no).collect::<Vec<_>>() {
            self.mark_unlisted(instance_no, self.classify_removal(None));
        }
    }

    /// Returns whether a run may be stopped and continued elsewhere because its worker leaves.
    ///
    /// A worker marked `draining` may be emptied at once. One that is only missing from the list
    /// may be healthy, so the number of missing tasks of a step must stay within the limit set by
    /// the caller.
    pub(super) fn may_move_run(&self, instance_no: InstanceNo, task: TaskName) -> bool {
        let draining =
            self.instances.get(instance_no).is_some_and(|instance| instance.entry.draining);
        let max_unavailable = self.step_spec(task).and_then(|spec| spec.max_unavailable);
        draining || max_unavailable.is_none_or(|limit| self.others_missing(task) < limit as usize)
    }

    /// Returns what the removal of an entry at this moment means.
    fn classify_removal(&self, silent_for: Option<Duration>) -> Listing {
        let now = self.now;
        let outage_until = self.store_outage_until;
        let expires_after = self.settings.worker_heartbeat * EXPIRE_AFTER_HEARTBEATS;
        let expired_after = silent_for.filter(|&silent_for| silent_for >= expires_after);
        let store_was_up =
            |silent_for| outage_until.is_none_or(|until| now.since(until) > silent_for);
        match expired_after {
            Some(silent_for) if store_was_up(silent_for) => Listing::Expired,
            _ => {
                let returns_by = outage_until.map(|until| until + RELIST_GRACE_PERIOD);
                Listing::Removed { certain_at: returns_by.map_or(now, |time| time.max(now)) }
            }
        }
    }

    fn mark_unlisted(&mut self, instance_no: InstanceNo, listing: Listing) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        instance.listing = listing;
        let state = match listing {
            Listing::Expired => "not listed: its heartbeats stopped",
            _ => "not listed",
        };
        self.log_worker_state(instance_no, state);
        self.schedule_poll_within(instance_no, Duration::ZERO);
    }

    /// Returns the number of other tasks of the step that are not known to be working.
    fn others_missing(&self, task: TaskName) -> usize {
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task.step_name()));
        let count = step.map_or(0, |step| step.tasks.len()) as u32;
        let others = (0..count).filter(|&index| index != task.index);
        others.filter(|&index| !self.reports_ready(TaskName { index, ..task })).count()
    }

    /// Returns whether a task is working according to its worker's last report and is not being
    /// stopped.
    fn reports_ready(&self, name: TaskName) -> bool {
        let placed =
            self.jobs.get(&name.job).and_then(|job| job.task(name)).map(|task| &task.placed);
        placed.into_iter().flatten().any(|placed| {
            let instance = self
                .instances
                .get(placed.instance)
                .filter(|instance| instance.unanswered_polls == 0);
            instance
                .and_then(|instance| instance.runs().get(&name))
                .is_some_and(PlacedRun::reports_ready)
        })
    }
}
