//! What the scheduler is told of the list of workers, and of the store.

use std::time::Duration;

use kitetrail_core::{
    CpuMillis, Resources,
    jobs::{Discovery, Event, WorkerEntry},
};

use super::{FakeWorker, World};

/// Less than the time between two heartbeats of a worker.
const BETWEEN_HEARTBEATS: Duration = Duration::from_millis(700);
/// Entries lapse after three heartbeats of silence.
const LAPSES_AFTER: Duration = Duration::from_millis(3_300);

impl World {
    /// Tells the scheduler of all workers.
    pub fn list_all(&mut self) {
        let entry = |worker: &FakeWorker| Discovery::Listed(Box::new(worker.entry.clone()));
        let all = self.workers.values().filter(|worker| !worker.gone).map(entry).collect();
        self.tell(Event::Discovered(all));
    }

    /// A worker crashes and lives anew on its machine under another id. Returns the entry of the life
    /// that is over.
    pub fn reborn(&mut self, id: &str, new_id: &str) -> WorkerEntry {
        let worker = self.workers.remove(id).expect("the fleet has this worker");
        let entry = WorkerEntry { id: new_id.into(), ..worker.entry.clone() };
        self.workers.insert(new_id.to_owned(), FakeWorker::with_entry(entry));
        self.over.insert(id.to_owned());
        worker.entry
    }

    /// Tells the scheduler that a worker's entry is in the list, or changed there.
    pub fn list(&mut self, entry: WorkerEntry) {
        self.tell(Event::Discovered(vec![Discovery::Listed(Box::new(entry))]));
    }

    /// A worker has other cores from now on, in thousandths, and says so in the list.
    pub fn set_cores(&mut self, id: &str, cpu_millis: u32) {
        let now = self.now;
        let worker = self.worker(id);
        worker.had_cores.push((now, worker.entry.capacity.cpu_millis.0));
        worker.entry.capacity =
            Resources { cpu_millis: CpuMillis(cpu_millis), ..worker.entry.capacity };
        let entry = worker.entry.clone();
        self.list(entry);
    }

    /// Tells the scheduler that a worker's entry is one that names no worker to use.
    pub fn list_unusable(&mut self, id: &str) {
        self.tell(Event::Discovered(vec![Discovery::Unusable(id.into())]));
    }

    /// Tells the scheduler that a worker withdrew its entry from the list, between two heartbeats.
    pub fn unlist(&mut self, id: &str) {
        self.unlist_after(id, BETWEEN_HEARTBEATS);
    }

    /// Tells the scheduler that a worker's entry lapsed for want of heartbeats.
    pub fn lapse(&mut self, id: &str) {
        self.unlist_after(id, LAPSES_AFTER);
    }

    fn unlist_after(&mut self, id: &str, silent_for: Duration) {
        self.worker(id).gone = true;
        let gone = Discovery::Gone { id: id.into(), silent_for: Some(silent_for) };
        self.tell(Event::Discovered(vec![gone]));
    }

    /// Tells the scheduler that a worker's entry is in the list again.
    pub fn relist(&mut self, id: &str) {
        self.worker(id).gone = false;
        let entry = self.worker(id).entry.clone();
        self.list(entry);
    }

    /// Tells the scheduler that the store is in trouble, or was until now.
    pub fn trouble_store(&mut self) {
        self.tell(Event::StoreTrouble { until: self.now });
    }
}
