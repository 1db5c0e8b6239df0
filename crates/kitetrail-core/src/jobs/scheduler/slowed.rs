//! Moves runs that fill and are slowed for long.

use std::time::Duration;

use super::{
    super::{
        life::{Life, LifeNo},
        names::TaskName,
        run::RunThere,
        spec::StepSpec,
    },
    Scheduler,
    room::capacity_millis,
};
use crate::Time;

/// What works at no more than this share of its speed is moved if it can be, in percent.
const SLOWED_PERCENT: u8 = 40;
/// After so long: a load that swings comes back by itself within seconds.
const SLOWED_FOR: Duration = Duration::from_millis(700);
/// The share of its speed that makes a move worth the time to stop and to start again, 0 to 1.
const WORTH_MOVING: f64 = 0.85;
/// What is done so far is not moved, in percent.
const NEARLY_DONE_PERCENT: u32 = 85;
/// How many tasks a worker is relieved of after one report.
const MOVES_AT_ONCE: usize = 2;

impl Scheduler {
    /// Stops what fills and is slowed for long, if it keeps its progress and would be let work
    /// faster elsewhere.
    pub(super) fn move_slowed(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get(no).filter(|_| self.overload.may_move()) else { return };
        let now = self.now;
        let runs = life.runs().iter().filter(|(_, run)| is_slowed(life, run, now));
        let runs = runs.map(|(&task, run)| (task, run.run)).take(MOVES_AT_ONCE);
        for (task, run) in runs.collect::<Vec<_>>() {
            let Some(spec) = self.step_spec(task).cloned() else { continue };
            let better = self.choose(task, &spec, &[]).filter(|&other| other != no);
            let pace = better.and_then(|other| self.expected_pace(other, task, &spec));
            if pace.is_some_and(|pace| pace >= WORTH_MOVING) {
                self.avoid(task, no);
                self.move_run(no, task, run, "moved: what it fills beside leaves it little");
            }
        }
    }

    /// The share of its full speed that a task that fills would be let work at on a worker, 0 to 1.
    fn expected_pace(&mut self, no: LifeNo, name: TaskName, spec: &StepSpec) -> Option<f64> {
        self.refresh_rooms();
        let life = self.lives.get(no)?;
        let image = *self.jobs.get(&name.job)?.images.get(name.step as usize)?;
        let load = f64::from(spec.size.cpu_millis.0) / capacity_millis(life);
        let headroom = life.room.as_ref()?.headroom(life, &self.tails);
        Some(headroom.expected_pace(&self.tails, image, load, 0.0))
    }
}

/// Whether a run is slowed for long, can be moved and has enough left to do.
fn is_slowed(life: &Life, run: &RunThere, now: Time) -> bool {
    let movable = run.fills && run.keeps_progress && !run.stopping;
    let slowed = life
        .paces
        .get(&run.image)
        .is_some_and(|pace| pace.percent <= SLOWED_PERCENT && now.since(pace.since) >= SLOWED_FOR);
    movable && run.percent < NEARLY_DONE_PERCENT && slowed
}
