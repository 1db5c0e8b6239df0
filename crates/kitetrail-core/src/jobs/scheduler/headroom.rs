//! Computes how much interference from best-effort tasks the serving tasks on a worker can take.

use std::time::Duration;

use super::{
    super::{instance::WorkerInstance, run::PlacedRun},
    free_capacity::{NEGLIGIBLE_EFFECT, added_stress, full_speed_loads},
    pace::{OWN_STRESS_RISE, TARGET_SHARE},
    tails::{ImageNo, TailModel},
};
use crate::Time;

/// The times for which loads are looked up ahead. A best-effort task uses the shortest that covers
/// it.
const WINDOWS: [Duration; 3] =
    [Duration::from_secs(1), Duration::from_secs(2), Duration::from_secs(5)];
/// The distance to the stress at which a serving task reaches its target, below which a penalty
/// is counted. The penalty grows with the square of the distance closed, up to 1 at the target. The own load
/// of a task varies by about 0.2 of stress within seconds, so its lowest and highest values differ
/// by twice that.
const PENALTY_MARGIN: f64 = 0.4;

/// The serving tasks on a worker, and how much interference from best-effort tasks they can take.
#[derive(Debug, Clone)]
pub(super) struct Headroom {
    /// The serving tasks on the worker, by image.
    serving_by_image: Vec<ServingTasks>,
    /// The margin of each serving task on the worker.
    task_margins: Vec<Margin>,
    /// The share of all best-effort images that interfere with nothing on the worker, 0 to 1.
    pub(super) tolerance: f64,
}

/// How much more stress one serving task can take.
#[derive(Debug, Clone, Copy)]
struct Margin {
    image: ImageNo,
    /// The difference between the stress at the target and the highest stress within each of
    /// `WINDOWS`, with all best-effort tasks beside it at full speed. Without a forecast the current
    /// stress counts.
    stress: [f64; WINDOWS.len()],
    /// The penalty of the task without another best-effort task.
    penalty: [f64; WINDOWS.len()],
}

/// When the pace of a best-effort task is looked at.
#[derive(Debug, Clone, Copy)]
pub(super) enum PaceAt {
    /// With the current load of the serving tasks.
    Start,
    /// With the highest load expected while the task runs.
    Peak(Window),
}

/// A time for which loads are looked up ahead: an index of `WINDOWS`.
#[derive(Debug, Clone, Copy)]
pub(super) struct Window(usize);

impl Window {
    /// Returns the window that covers a run time.
    pub(super) fn covering(run_time: Duration) -> Self {
        let covering = WINDOWS.iter().position(|window| *window >= run_time);
        Self(covering.unwrap_or(WINDOWS.len() - 1))
    }
}

/// The serving tasks of one image on a worker.
#[derive(Debug, Clone)]
struct ServingTasks {
    image: ImageNo,
    /// The added stress that the most loaded of these tasks can take.
    spare_stress: f64,
    /// The same at the highest load expected within each of `WINDOWS`.
    spare_at_peak: [f64; WINDOWS.len()],
    /// The stress that the best-effort tasks on the worker add, at full speed.
    added_stress: f64,
}

impl Headroom {
    pub(super) fn of(instance: &WorkerInstance, tails: &TailModel, now: Time) -> Self {
        let serving_by_image = serving_by_image(instance, tails, now);
        let images = serving_by_image.iter().map(|serving| serving.image).collect::<Vec<_>>();
        let tolerance = tails.tolerance(&images, NEGLIGIBLE_EFFECT);
        Self { task_margins: task_margins(instance, tails, now), tolerance, serving_by_image }
    }

    /// Returns the share of its full speed at which a best-effort task would run, 0 to 1.
    pub(super) fn expected_pace(
        &self,
        tails: &TailModel,
        image: ImageNo,
        load: f64,
        at: PaceAt,
    ) -> f64 {
        let pace_limit = |serving: &ServingTasks| {
            let effect = tails.effect(image, serving.image);
            let spare_stress = match at {
                PaceAt::Start => serving.spare_stress,
                PaceAt::Peak(Window(index)) => serving.spare_at_peak[index],
            };
            let spare_stress = spare_stress - serving.added_stress;
            if effect < NEGLIGIBLE_EFFECT {
                1.0
            } else {
                (spare_stress / (effect * load)).clamp(0.0, 1.0)
            }
        };
        self.serving_by_image.iter().map(pace_limit).fold(1.0, f64::min)
    }

    /// Returns the penalty that a best-effort task would add to all serving tasks on the worker: 1 for
    /// each serving task that it would take from far below its target to its target.
    pub(super) fn added_penalty(
        &self,
        tails: &TailModel,
        image: ImageNo,
        load: f64,
        Window(index): Window,
    ) -> f64 {
        let added = |margin: &Margin| {
            let stress = tails.effect(image, margin.image) * load;
            penalty(margin.stress[index] - stress) - margin.penalty[index]
        };
        self.task_margins.iter().map(added).sum()
    }

    /// Returns whether the worker runs serving tasks, but none of the given image.
    pub(super) fn serves_only_other_images(&self, image: ImageNo) -> bool {
        !self.serving_by_image.is_empty()
            && self.serving_by_image.iter().all(|serving| serving.image != image)
    }
}

/// Returns the penalty of a serving task whose stress is `margin` below the stress at its target.
fn penalty(margin: f64) -> f64 {
    let excess = (1.0 - margin / PENALTY_MARGIN).max(0.0);
    excess * excess
}

fn task_margins(instance: &WorkerInstance, tails: &TailModel, now: Time) -> Vec<Margin> {
    let loads = full_speed_loads(instance);
    let margin = |run: &PlacedRun| {
        let added = loads
            .iter()
            .map(|&(best_effort_image, load)| tails.effect(best_effort_image, run.image) * load);
        let target_ms = run.tail_target_ms.unwrap_or(1) as f64;
        let stress_at_target = tails.stress_at(run.image, target_ms, 1.0);
        let current = stress_at_target - run.own_stress.mean - added.sum::<f64>();
        let stress = WINDOWS.map(|window| current - expected_rise(run, now, window).unwrap_or(0.0));
        Margin { image: run.image, stress, penalty: stress.map(penalty) }
    };
    instance.runs().values().filter(|run| run.is_serving()).map(margin).collect()
}

/// Returns how far the load of a serving task is expected to rise within a window, if it can be
/// forecast.
fn expected_rise(run: &PlacedRun, now: Time, window: Duration) -> Option<f64> {
    run.load_forecast?.rise_within(now, window)
}

fn serving_by_image(instance: &WorkerInstance, tails: &TailModel, now: Time) -> Vec<ServingTasks> {
    let loads = full_speed_loads(instance);
    let mut serving_by_image = Vec::<ServingTasks>::new();
    for run in instance.runs().values().filter(|run| run.is_serving()) {
        let target_ms = run.tail_target_ms.unwrap_or(1) as f64;
        let spare_stress =
            tails.stress_at(run.image, target_ms, TARGET_SHARE) - run.own_stress.mean;
        let spare_at_peak = WINDOWS.map(|window| {
            spare_stress - expected_rise(run, now, window).unwrap_or(OWN_STRESS_RISE)
        });
        match serving_by_image.iter_mut().find(|serving| serving.image == run.image) {
            Some(same_image) => {
                same_image.spare_stress = same_image.spare_stress.min(spare_stress);
                for (least, spare) in same_image.spare_at_peak.iter_mut().zip(spare_at_peak) {
                    *least = least.min(spare);
                }
            }
            None => {
                let added_stress = added_stress(tails, &loads, run.image);
                serving_by_image.push(ServingTasks {
                    image: run.image,
                    spare_stress,
                    spare_at_peak,
                    added_stress,
                });
            }
        }
    }
    serving_by_image
}
