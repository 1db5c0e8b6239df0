//! Moves best-effort runs that have been slowed for long.

use std::time::Duration;

use super::{
    super::{
        instance::{InstanceNo, WorkerInstance},
        names::TaskName,
        run::PlacedRun,
        spec::StepSpec,
    },
    Scheduler,
    free_capacity::capacity_millis,
    headroom::PaceAt,
};
use crate::Time;

/// The pace at or below which a best-effort run is moved if possible, in percent.
const SLOWED_PERCENT: u8 = 40;
/// The time at that pace after which a run is moved: loads often drop again within seconds.
const SLOWED_TIME: Duration = Duration::from_millis(700);
/// The least expected pace elsewhere that justifies the time to stop and restart a run, 0 to 1.
const MIN_PACE_TO_MOVE: f64 = 0.85;
/// The progress from which a run is no longer moved, in percent.
const NEARLY_DONE_PERCENT: u32 = 85;
/// The most runs moved away from a worker after one report.
const MAX_MOVES_PER_REPORT: usize = 2;

impl Scheduler {
    /// Moves best-effort runs that have been slowed for long, if they keep their progress and would
    /// run faster elsewhere.
    pub(super) fn move_slowed(&mut self, from: InstanceNo) {
        let Some(instance) = self.instances.get(from).filter(|_| self.overload.may_move()) else {
            return;
        };
        let now = self.now;
        let runs = instance.runs().iter().filter(|(_, run)| is_slowed(instance, run, now));
        let runs = runs.map(|(&task, run)| (task, run.run)).take(MAX_MOVES_PER_REPORT);
        for (task, run) in runs.collect::<Vec<_>>() {
            let Some(spec) = self.step_spec(task).cloned() else { continue };
            let better_worker = self.choose_worker(task, &spec, &[]).filter(|&other| other != from);
            let pace = better_worker.and_then(|other| self.expected_pace(other, task, &spec));
            if pace.is_some_and(|pace| pace >= MIN_PACE_TO_MOVE) {
                self.avoid(task, from);
                self.move_run(from, task, run, "moved: slowed for too long beside serving tasks");
            }
        }
    }

    /// Returns the share of its full speed at which a best-effort task would run on a worker, 0 to
    /// 1.
    fn expected_pace(
        &mut self,
        instance_no: InstanceNo,
        name: TaskName,
        spec: &StepSpec,
    ) -> Option<f64> {
        self.refresh_rooms();
        let instance = self.instances.get(instance_no)?;
        let image = *self.jobs.get(&name.job)?.images.get(name.step as usize)?;
        let load = f64::from(spec.size.cpu_millis.0) / capacity_millis(instance);
        let headroom = instance.free_capacity.as_ref()?.headroom(instance, &self.tails, self.now);
        Some(headroom.expected_pace(&self.tails, image, load, PaceAt::Start))
    }
}

/// Returns whether a run has been slowed for long, can be moved and has enough work left.
fn is_slowed(instance: &WorkerInstance, run: &PlacedRun, now: Time) -> bool {
    let is_movable = run.is_best_effort && run.keeps_progress && !run.stopping;
    let slowed = instance
        .paces
        .get(&run.image)
        .is_some_and(|pace| pace.percent <= SLOWED_PERCENT && now.since(pace.since) >= SLOWED_TIME);
    is_movable && run.percent < NEARLY_DONE_PERCENT && slowed
}
