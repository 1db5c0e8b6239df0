//! Entries in the list of workers that name no worker to use.
//!
//! An entry may be written by somebody else than its worker: without fields, with other ones, or for a service that
//! nobody uses. Nothing is started on its worker until an entry comes that can be its own; workers
//! renew theirs with each heartbeat. What runs there goes on: its worker still answers under the entry before, and
//! only an answer, or a lease that is over, tells that a run ended.

use std::mem;

use super::{
    super::{
        life::{LifeNo, Listing},
        names::LifeId,
        worker_entry::WorkerEntry,
    },
    Scheduler,
};

impl Scheduler {
    /// The entry of a worker can't be its own, or is not whole.
    pub(super) fn note_unusable(&mut self, id: &LifeId) {
        self.of_unused_services.remove(id);
        for no in self.lives.of_worker(id).to_vec() {
            self.note_life_unusable(no);
        }
    }

    fn note_life_unusable(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get_mut(no) else { return };
        if life.listing == Listing::Unusable {
            return;
        }
        life.listing = Listing::Unusable;
        self.note_belief(no, "not used, its entry can't be its own");
    }

    /// Whether a worker runs a service that no queue uses.
    pub(super) fn serves_nobody(&self, entry: &WorkerEntry) -> bool {
        let uses = |service: &str| service == entry.service;
        let configured = self.queues.values().any(|queue| uses(&queue.service));
        let open = || self.jobs.values().any(|job| job.is_open() && uses(&job.queue.service));
        // Before the first configuration nothing is known of services.
        !self.queues.is_empty() && !configured && !open()
    }

    /// The entry of a worker names a service that no queue uses.
    pub(super) fn note_unused_service(&mut self, entry: WorkerEntry) {
        self.note_unusable(&entry.id);
        self.of_unused_services.insert(entry.id.clone(), entry);
    }

    /// Looks again at entries whose service no queue used: the queues are other ones now.
    pub(super) fn list_used_services(&mut self) {
        for (_, entry) in mem::take(&mut self.of_unused_services) {
            match self.serves_nobody(&entry) {
                true => drop(self.of_unused_services.insert(entry.id.clone(), entry)),
                false => self.listed(entry),
            }
        }
    }
}
