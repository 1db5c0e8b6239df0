//! Reports changes in the list of workers, and outages of the store, to the scheduler.

use std::time::Duration;

use kitetrail_core::{
    CpuMillis, Resources,
    jobs::{Event, WorkerEntry, WorkerListChange},
};

use super::{FakeWorker, SimulatedFleet};

/// A silence shorter than the interval between two heartbeats of a worker.
const BETWEEN_HEARTBEATS: Duration = Duration::from_millis(700);
/// The silence after which an entry expires: three heartbeats.
const EXPIRY_DELAY: Duration = Duration::from_millis(3_300);

impl SimulatedFleet {
    /// Sends the entries of all listed workers to the scheduler.
    pub fn report_all_listed(&mut self) {
        let entry = |worker: &FakeWorker| WorkerListChange::Listed(Box::new(worker.entry.clone()));
        let all = self.workers.values().filter(|worker| !worker.unlisted).map(entry).collect();
        self.send_event(Event::WorkerListChanged(all));
    }

    /// Replaces a worker with a new instance on the same machine under another id, as after a crash. Returns the
    /// entry of the old instance.
    pub fn replace_instance(&mut self, id: &str, new_id: &str) -> WorkerEntry {
        let worker = self.workers.remove(id).expect("the fleet has this worker");
        let entry = WorkerEntry { id: new_id.into(), ..worker.entry.clone() };
        self.workers.insert(new_id.to_owned(), FakeWorker::with_entry(entry));
        self.replaced_instances.insert(id.to_owned());
        worker.entry
    }

    /// Reports to the scheduler that a worker's entry was listed or changed.
    pub fn report_listed(&mut self, entry: WorkerEntry) {
        self.send_event(Event::WorkerListChanged(vec![WorkerListChange::Listed(Box::new(entry))]));
    }

    /// Changes the cores of a worker, in thousandths, and its entry in the list.
    pub fn set_cores(&mut self, id: &str, cpu_millis: u32) {
        let now = self.now;
        let worker = self.worker(id);
        worker.earlier_cores.push((now, worker.entry.capacity.cpu_millis.0));
        worker.entry.capacity =
            Resources { cpu_millis: CpuMillis(cpu_millis), ..worker.entry.capacity };
        let entry = worker.entry.clone();
        self.report_listed(entry);
    }

    /// Reports to the scheduler that a worker's entry is unusable.
    pub fn report_unusable(&mut self, id: &str) {
        self.send_event(Event::WorkerListChanged(vec![WorkerListChange::Unusable(id.into())]));
    }

    /// Reports to the scheduler that a worker withdrew its entry between two heartbeats.
    pub fn report_withdrawn(&mut self, id: &str) {
        self.report_removed(id, BETWEEN_HEARTBEATS);
    }

    /// Reports to the scheduler that a worker's entry expired without heartbeats.
    pub fn report_expired(&mut self, id: &str) {
        self.report_removed(id, EXPIRY_DELAY);
    }

    fn report_removed(&mut self, id: &str, silent_for: Duration) {
        self.worker(id).unlisted = true;
        let removal = WorkerListChange::Removed { id: id.into(), silent_for: Some(silent_for) };
        self.send_event(Event::WorkerListChanged(vec![removal]));
    }

    /// Reports to the scheduler that a worker's entry is listed again.
    pub fn report_relisted(&mut self, id: &str) {
        self.worker(id).unlisted = false;
        let entry = self.worker(id).entry.clone();
        self.report_listed(entry);
    }

    /// Reports to the scheduler that the store is unavailable, or was until now.
    pub fn report_store_outage(&mut self) {
        self.send_event(Event::StoreUnavailable { until: self.now });
    }
}
