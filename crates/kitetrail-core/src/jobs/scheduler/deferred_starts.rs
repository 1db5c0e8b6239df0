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
        run::Phase,
    },
    Scheduler,
};

/// Starts that wait to be persisted, by job.
#[derive(Debug, Default)]
pub(super) struct DeferredStarts {
    waiting: BTreeMap<JobId, Vec<DeferredStart>>,
}

/// A start order and the worker that it goes to.
#[derive(Debug)]
pub(super) struct DeferredStart {
    instance: InstanceNo,
    order: StartOrder,
}

impl DeferredStarts {
    /// Removes and returns the starts that a batch with the progress of the given jobs persists.
    pub(super) fn take(&mut self, jobs: &[JobId]) -> Vec<DeferredStart> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        jobs.iter().filter_map(|job| self.waiting.remove(job)).flatten().collect()
    }
}

impl Scheduler {
    /// Defers a start order until it is persisted.
    pub(super) fn defer_start_until_persisted(&mut self, instance: InstanceNo, order: StartOrder) {
        let job = order.task.job;
        self.deferred_starts
            .waiting
            .entry(job)
            .or_default()
            .push(DeferredStart { instance, order });
        self.pending.record_start(job);
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
