//! Starts that leave once it is kept that they do.
//!
//! Answers owners that die between a start and the news that its worker crashed: the next one would count nothing. The starts
//! of a task under which a worker crashed are kept before they are ordered; so are, once after a takeover that found workers
//! crashed, those of the tasks of which nobody knows whether they ran there. A start costs a row and waits for one
//! batch; starts of other tasks are not kept.

use std::collections::BTreeMap;

use super::{
    super::{
        life::LifeNo,
        names::JobId,
        order::{Order, StartOrder},
        run::Phase,
    },
    Scheduler,
};

/// Starts that wait until they are kept, by job.
#[derive(Debug, Default)]
pub(super) struct KeptStarts {
    waiting: BTreeMap<JobId, Vec<KeptStart>>,
}

/// An order to start, and the worker that it goes to.
#[derive(Debug)]
pub(super) struct KeptStart {
    life: LifeNo,
    order: StartOrder,
}

impl KeptStarts {
    /// Takes out the starts that a batch keeps which holds the progress of some jobs.
    pub(super) fn take(&mut self, jobs: &[JobId]) -> Vec<KeptStart> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        jobs.iter().filter_map(|job| self.waiting.remove(job)).flatten().collect()
    }
}

impl Scheduler {
    /// Holds an order to start back until it is kept.
    pub(super) fn order_once_kept(&mut self, life: LifeNo, order: StartOrder) {
        let job = order.task.job;
        self.kept_starts.waiting.entry(job).or_default().push(KeptStart { life, order });
        self.pending.note_soon(job);
    }

    /// Sends the starts of a batch that is kept, but for those that were taken back meanwhile.
    pub(super) fn order_kept(&mut self, starts: Vec<KeptStart>) {
        for KeptStart { life: no, order } in starts {
            let life = self.lives.get_mut(no);
            let run = life.and_then(|life| life.run_mut(order.task, order.run));
            let Some(run) = run.filter(|run| run.phase == Phase::Unkept) else { continue };
            run.phase = Phase::Ordered;
            self.order(no, Order::Start(order));
        }
    }
}
