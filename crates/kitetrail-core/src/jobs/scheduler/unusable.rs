//! Handles entries in the worker list that do not identify a usable worker.
//!
//! An entry may have been written by someone other than its worker: with missing or wrong fields,
//! or for a service that nobody uses. Nothing is started on such a worker until a plausible entry
//! arrives; workers renew their entries with each heartbeat. Existing runs continue: the worker
//! still answers at its previous address, and only an answer or an expired lease shows that a run
//! ended.

use std::mem;

use super::{
    super::{
        instance::{InstanceNo, Listing},
        names::WorkerName,
        worker_entry::WorkerEntry,
    },
    Scheduler,
};

impl Scheduler {
    /// Handles an entry that is incomplete or can't have been written by its worker.
    pub(super) fn handle_unusable_entry(&mut self, id: &WorkerName) {
        self.unused_service_entries.remove(id);
        for instance_no in self.instances.of_worker(id).to_vec() {
            self.mark_instance_unusable(instance_no);
        }
    }

    fn mark_instance_unusable(&mut self, instance_no: InstanceNo) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        if instance.listing == Listing::Unusable {
            return;
        }
        instance.listing = Listing::Unusable;
        self.log_worker_state(instance_no, "not used: its entry is unusable");
    }

    /// Returns whether a worker runs a service that no queue uses.
    pub(super) fn has_unused_service(&self, entry: &WorkerEntry) -> bool {
        let is_same_service = |service: &str| service == entry.service;
        let configured = self.queues.values().any(|queue| is_same_service(&queue.service));
        let has_open_job =
            || self.jobs.values().any(|job| job.is_open() && is_same_service(&job.queue.service));
        // Before the first configuration, the services in use are unknown.
        !self.queues.is_empty() && !configured && !has_open_job()
    }

    /// Handles an entry whose service no queue uses.
    pub(super) fn handle_unused_service(&mut self, entry: WorkerEntry) {
        self.handle_unusable_entry(&entry.id);
        self.unused_service_entries.insert(entry.id.clone(), entry);
    }

    /// Rechecks entries with an unused service after the queues have changed.
    pub(super) fn list_newly_used_services(&mut self) {
        for (_, entry) in mem::take(&mut self.unused_service_entries) {
            match self.has_unused_service(&entry) {
                true => drop(self.unused_service_entries.insert(entry.id.clone(), entry)),
                false => self.handle_listed_entry(entry),
            }
        }
    }
}
