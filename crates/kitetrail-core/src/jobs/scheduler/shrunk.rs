//! Workers whose room shrinks while they run: starts that were placed by the old room and have not left are taken back.
//!
//! Answers machines that lose processors or memory for a while. A worker that does not guard its room would be brought over
//! it; one that does refuses the start, a round trip later. What runs already stays: it ends by itself, and a stop would
//! throw its work away.

use super::{
    super::{life::LifeNo, names::TaskName, order::Order, run::Phase},
    Scheduler,
    room::is_over_room,
};

impl Scheduler {
    /// Takes back starts that have not left, the last ones first, until what is left fits into a worker's room.
    pub(super) fn take_back_unfit(&mut self, no: LifeNo) {
        while let Some((task, run)) = self.last_unfit_start(no) {
            if let Some(life) = self.lives.get_mut(no) {
                life.orders.retain(|order| {
                    order.run() != (task, run) || !matches!(order, Order::Start(_))
                });
            }
            self.drop_run(no, task, run);
            self.stop_gang(task, run);
        }
    }

    /// The last start that has not left for a worker which has too little room.
    fn last_unfit_start(&self, no: LifeNo) -> Option<(TaskName, u32)> {
        let life = self.lives.get(no).filter(|life| is_over_room(life))?;
        let waiting = life.orders.iter().rev().find_map(|order| match order {
            Order::Start(start) => Some((start.task, start.run)),
            Order::Stop { .. } | Order::Pace { .. } => None,
        });
        let unkept = || life.runs().iter().find(|(_, run)| run.phase == Phase::Unkept);
        waiting.or_else(|| unkept().map(|(&task, run)| (task, run.run)))
    }

    /// Stops the other members of a gang that has lost one: they would wait for it.
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
            self.stop_run(placed.life, task, placed.run);
        }
    }
}
