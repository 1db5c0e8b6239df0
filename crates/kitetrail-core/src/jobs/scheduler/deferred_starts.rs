//! Defers start orders until a record of them is persisted.
//!
//! If an owner dies between a start and the detection that its worker crashed, the next owner would
//! not count the crash. Starts of tasks under which a worker has crashed are therefore persisted
//! before they are ordered. After a takeover that found crashed workers, the same applies once to
//! tasks that may have been running there. A persisted start costs one row and waits for one batch;
//! starts of other tasks are not persisted.

use std::collections::BTreeMap;

use super::{
    super::{
        instance::InstanceNo,
        names::JobId,
        order::{Order, StartOrder},
        progress_key::ProgressKey,
        record::ProgressRecord,
        run::Phase,
    },
    Scheduler,
};

/// Starts that wait to be persisted, by the part of the progress that holds them.
#[derive(Debug, Default)]
pub(super) struct DeferredStarts {
    waiting: BTreeMap<ProgressKey, Vec<DeferredStart>>,
}

/// A start order and the worker that it goes to.
#[derive(Debug)]
pub(super) struct DeferredStart {
    instance: InstanceNo,
    order: StartOrder,
}

impl DeferredStarts {
    /// Removes and returns the starts that a batch with the given progress persists.
    pub(super) fn take(&mut self, progress: &[ProgressRecord]) -> Vec<DeferredStart> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let starts = progress.iter().filter_map(|progress| self.waiting.remove(&progress.key()));
        starts.flatten().collect()
    }

    /// Puts back a start whose record was refused.
    fn put_back(&mut self, key: ProgressKey, start: DeferredStart) {
        self.waiting.entry(key).or_default().push(start);
    }

    /// Drops the starts of a job that has ended.
    pub(super) fn remove_job(&mut self, job: JobId) {
        self.waiting.retain(|key, _| key.job != job);
    }
}

impl Scheduler {
    /// Defers a start order until it is persisted.
    pub(super) fn defer_start_until_persisted(&mut self, instance: InstanceNo, order: StartOrder) {
        let Some(job) = self.jobs.get(&order.task.job) else { return };
        let key = job.progress_key(order.task);
        let starts = self.deferred_starts.waiting.entry(key).or_default();
        starts.push(DeferredStart { instance, order });
        self.pending.record_start(key);
    }

    /// Puts the starts of a job back that the batch in flight was to persist: its progress was
    /// refused.
    pub(super) fn put_back_starts(&mut self, id: JobId) {
        let Some(batch) = &mut self.pending.in_flight else { return };
        let Some(job) = self.jobs.get(&id) else { return };
        for start in batch.starts.extract_if(.., |start| start.order.task.job == id) {
            self.deferred_starts.put_back(job.progress_key(start.order.task), start);
        }
    }

    /// Sends the start orders that are now persisted, except those cancelled meanwhile.
    pub(super) fn send_persisted_starts(&mut self, starts: Vec<DeferredStart>) {
        for DeferredStart { instance: instance_no, order } in starts {
            let instance = self.instances.get_mut(instance_no);
            let run = instance.and_then(|instance| instance.run_mut(order.task, order.run));
            let Some(run) = run.filter(|run| run.phase == Phase::Unpersisted) else { continue };
            run.phase = Phase::Ordered;
            self.queue_order(instance_no, Order::Start(order));
        }
    }
}
