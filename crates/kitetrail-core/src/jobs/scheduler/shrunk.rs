//! Takes back unsent starts from workers whose capacity shrinks while they run.
//!
//! Machines may lose processors or memory for a while. A worker that does not enforce its capacity
//! would be overcommitted by starts placed before; one that does refuses them a round trip later.
//! Tasks already running stay: they end by themselves, and stopping them would waste their work.

use super::{
    super::{instance::InstanceNo, names::TaskName, order::Order, run::Phase},
    Scheduler,
    free_capacity::is_overcommitted,
};

impl Scheduler {
    /// Takes back unsent starts, the last ones first, until the rest fits into the worker's
    /// capacity.
    pub(super) fn cancel_excess_starts(&mut self, instance_no: InstanceNo) {
        while let Some((task, run)) = self.last_unfit_start(instance_no) {
            if let Some(instance) = self.instances.get_mut(instance_no) {
                instance.orders.retain(|order| {
                    order.run() != (task, run) || !matches!(order, Order::Start(_))
                });
            }
            self.drop_run(instance_no, task, run);
            self.stop_gang(task, run);
        }
    }

    /// Returns the last unsent start for a worker that is overcommitted.
    fn last_unfit_start(&self, instance_no: InstanceNo) -> Option<(TaskName, u32)> {
        let instance =
            self.instances.get(instance_no).filter(|instance| is_overcommitted(instance))?;
        let unsent = instance.orders.iter().rev().find_map(|order| match order {
            Order::Start(start) => Some((start.task, start.run)),
            Order::Stop { .. } | Order::Pace { .. } => None,
        });
        let unpersisted =
            || instance.runs().iter().find(|(_, run)| run.phase == Phase::Unpersisted);
        unsent.or_else(|| unpersisted().map(|(&task, run)| (task, run.run)))
    }

    /// Stops the other members of a gang that has lost one, since they would wait for it.
    fn stop_gang(&mut self, lost: TaskName, run: u32) {
        if !self.step_spec(lost).is_some_and(|spec| spec.gang) {
            return;
        }
        let step = self.jobs.get(&lost.job).and_then(|job| job.step(lost.step_name()));
        let placed =
            step.into_iter().flat_map(|step| (0..).zip(&step.tasks)).flat_map(|(index, task)| {
                task.placed.iter().map(move |placed| (TaskName { index, ..lost }, *placed))
            });
        let members = placed.filter(|(_, placed)| placed.run == run).collect::<Vec<_>>();
        for (task, placed) in members {
            self.stop_run(placed.instance, task, placed.run);
        }
    }
}
