//! Scores how well a worker suits a task.

use std::time::Duration;

use super::{
    super::{
        instance::{InstanceNo, WorkerInstance},
        names::TaskName,
        run::PlacedRun,
        spec::StepSpec,
    },
    free_capacity::{FreeCapacity, added_stress, capacity_millis, full_speed_loads},
    gaps::Gaps,
    headroom::{PaceAt, Window},
    lateness::Lateness,
    tails::{ImageNo, TailModel},
    worker_health::Suitability,
};
use crate::Time;

/// Weight of the share of a worker that is in use, 0 to 1. The unit of all other weights.
const FULLNESS_WEIGHT: f64 = 1.0;
/// Weight of the interference between the task and the tasks on the worker.
const INTERFERENCE_WEIGHT: f64 = 3.0;
/// Weight of the share of best-effort images that the worker tolerates: a task that suits many
/// workers leaves free those that suit many images.
const SCARCITY_WEIGHT: f64 = 0.25;
/// The least share of its full speed at which a best-effort task is started. It holds memory
/// however slowly it runs.
const MIN_PACE: f64 = 0.5;
/// The same for a task that loses its progress when it is stopped, and therefore can't be moved.
const MIN_PACE_IMMOVABLE: f64 = 0.8;
/// Weight of serving tasks of other images on the worker. Where tasks of one image share workers,
/// each best-effort image finds workers on which it interferes with nothing.
const OTHER_IMAGE_WEIGHT: f64 = 0.6;
/// Weight of what short tasks lose of the gaps that they can use, in units of what the task takes.
const GAP_LOSS_WEIGHT: f64 = 1.0;
/// Weight of a worker away from the task's data or gang, where the task takes up to twice as long.
const REMOTE_WEIGHT: f64 = 4.0;
/// Weight of the worker on which the task failed last.
const FAILED_RUN_WEIGHT: f64 = 8.0;

/// Weight of each run on the worker for a task suspected of crashing workers, since the run would
/// be lost with the worker. It exceeds all other weights: such tasks go where nothing runs, or as
/// little as possible.
const LOST_RUN_WEIGHT: f64 = 50.0;
/// The same for a long-running run, whose users wait for its restart.
const LOST_LONG_RUNNING_WEIGHT: f64 = 150.0;

/// Weight, for such a task, of a machine that crashed recently: it may crash again by itself, which
/// would count against a task that did not cause it.
const RECENT_CRASH_WEIGHT: f64 = 25.0;

/// Weight, for such a task, of each second since the worker last reported: it may have crashed
/// since, which would count against the task as well.
const SILENCE_WEIGHT_PER_S: f64 = 4.0;

/// A task to be placed, with all that its score on a worker depends on.
pub(super) struct Fit<'a> {
    pub(super) name: TaskName,
    pub(super) spec: &'a StepSpec,
    /// The service whose workers run the task.
    pub(super) service: &'a str,
    pub(super) image: ImageNo,
    /// The workers chosen for other members of its gang in this pass.
    pub(super) members: &'a [InstanceNo],
    /// The rack of these workers.
    pub(super) rack: Option<&'a str>,
    /// The worker on which the task failed or was slow.
    pub(super) avoided_instance: Option<InstanceNo>,
    pub(super) now: Time,
    /// Whether the task is suspected of crashing workers and must run alone.
    pub(super) runs_alone: bool,
    /// How late the job is: hopelessly late jobs accept worse workers.
    pub(super) lateness: Lateness,
    pub(super) tails: &'a TailModel,
    /// The sizes of short tasks, whose gaps long-running tasks should leave.
    pub(super) gaps: &'a Gaps,
    /// Whether short tasks are packed rather than spread.
    pub(super) packs_short_tasks: bool,
    /// What the task means for a worker on probation.
    pub(super) suitability: Suitability,
}

impl Fit<'_> {
    /// Returns how well a worker suits the task, where lower is better, or `None` if it can't run
    /// it.
    pub(super) fn score(
        &self,
        instance_no: InstanceNo,
        instance: &WorkerInstance,
        free_capacity: &FreeCapacity,
    ) -> Option<f64> {
        let spec = self.spec;
        let has_label =
            spec.label.as_ref().is_none_or(|label| instance.entry.labels.contains(label));
        if !has_label || !self.has_room(instance_no, instance, free_capacity) {
            return None;
        }
        let interference = self.interference(instance, free_capacity)?;
        let fullness = match (spec.best_effort, spec.long_running) {
            (true, _) => 1.0 - free_capacity.best_effort_share,
            // Long-running tasks are packed, so that room for large tasks is not fragmented. So are
            // short tasks of which few fit on a worker. Other short tasks are spread, so that every
            // worker keeps some capacity for best-effort tasks.
            (false, true) => free_capacity.free_share,
            (false, false) if self.packs_short_tasks => free_capacity.free_share,
            (false, false) => 1.0 - free_capacity.free_share,
        };
        let gap_loss = match spec.long_running && !spec.best_effort {
            true => self.gaps.loss(
                free_capacity.gap_millis,
                spec.size.cpu_millis.0,
                instance.entry.capacity.cpu_millis.0,
            ),
            false => 0.0,
        };
        let is_far =
            spec.near_rack.as_ref().is_some_and(|near| !instance.entry.labels.contains(near));
        let splits_gang =
            spec.same_rack && self.rack.is_some_and(|rack| rack != instance.entry.rack);
        let remote_cost = if is_far || splits_gang { REMOTE_WEIGHT } else { 0.0 };
        let failed_run_cost =
            if self.avoided_instance == Some(instance_no) { FAILED_RUN_WEIGHT } else { 0.0 };
        let suspect_cost = if self.runs_alone { crash_cost(instance, self.now) } else { 0.0 };
        Some(
            FULLNESS_WEIGHT * fullness
                + INTERFERENCE_WEIGHT * interference
                + GAP_LOSS_WEIGHT * gap_loss
                + remote_cost
                + failed_run_cost
                + suspect_cost,
        )
    }

    /// Returns the interference between the task and the tasks on the worker, or `None` if it is so
    /// high that the task should wait instead.
    fn interference(&self, instance: &WorkerInstance, free_capacity: &FreeCapacity) -> Option<f64> {
        let spec = self.spec;
        let load = f64::from(spec.size.cpu_millis.0) / capacity_millis(instance);
        match (spec.best_effort, spec.tail_target_ms.is_some()) {
            (true, _) => {
                let min_pace = if spec.keeps_progress { MIN_PACE } else { MIN_PACE_IMMOVABLE };
                let headroom = free_capacity.headroom(instance, self.tails, self.now);
                let window = Window::covering(Duration::from_millis(spec.estimate_ms));
                let pace = |at| headroom.expected_pace(self.tails, self.image, load, at);
                if pace(PaceAt::Start) < min_pace {
                    return None;
                }
                let penalty = headroom.added_penalty(self.tails, self.image, load, window);
                let slowed = 1.0 - pace(PaceAt::Peak(window));
                let is_acceptable = penalty <= self.lateness.max_added_penalty();
                is_acceptable.then_some(slowed + penalty + SCARCITY_WEIGHT * headroom.tolerance)
            }
            (_, true) => {
                let stress =
                    added_stress(self.tails, &full_speed_loads(instance), self.image).min(1.0);
                let serves_only_others = free_capacity
                    .headroom(instance, self.tails, self.now)
                    .serves_only_other_images(self.image);
                Some(stress + if serves_only_others { OTHER_IMAGE_WEIGHT } else { 0.0 })
            }
            _ => Some(0.0),
        }
    }

    /// Returns whether a worker with room for the task still has it once the gang members chosen
    /// for it are started.
    fn has_room(
        &self,
        instance_no: InstanceNo,
        instance: &WorkerInstance,
        free_capacity: &FreeCapacity,
    ) -> bool {
        if instance.runs().contains_key(&self.name) || free_capacity.has_lone_suspect {
            return false;
        }
        let members_on_worker =
            self.members.iter().filter(|&&member| member == instance_no).count() as u32;
        if self.runs_alone && members_on_worker > 0 {
            return false;
        }
        !self.is_at_step_limit(instance, members_on_worker)
            && free_capacity.free.fits_beside(self.spec, members_on_worker)
    }

    /// Returns whether a worker already runs as many tasks of the step as `max_per_worker` allows.
    fn is_at_step_limit(&self, instance: &WorkerInstance, members_on_worker: u32) -> bool {
        let Some(max_tasks) = self.spec.max_per_worker else { return false };
        let same_step = |other: &&TaskName| other.step_name() == self.name.step_name();
        let step_tasks = instance.runs().keys().filter(same_step).count() as u32;
        step_tasks + members_on_worker >= max_tasks
    }
}

/// Returns the cost of placing a task suspected of crashing workers on a worker.
fn crash_cost(instance: &WorkerInstance, now: Time) -> f64 {
    let silent_for =
        instance.last_answer_at.map_or(Duration::ZERO, |last_answer_at| now.since(last_answer_at));
    let silence_cost = SILENCE_WEIGHT_PER_S * silent_for.as_secs_f64();
    let recent_crash_cost = if instance.crashed_recently { RECENT_CRASH_WEIGHT } else { 0.0 };
    let weight = |run: &PlacedRun| {
        if run.is_long_running { LOST_LONG_RUNNING_WEIGHT } else { LOST_RUN_WEIGHT }
    };
    recent_crash_cost + silence_cost + instance.runs().values().map(weight).sum::<f64>()
}
