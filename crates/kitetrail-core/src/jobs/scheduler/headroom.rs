//! Computes how much interference from best-effort tasks the serving tasks on a worker can take.

use super::{
    super::{instance::WorkerInstance, run::PlacedRun},
    free_capacity::{NEGLIGIBLE_EFFECT, added_stress, full_speed_loads},
    pace::TARGET_SHARE,
    tails::{ImageNo, TailModel},
};

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
    /// The difference between the stress at the target and the current stress, with all best-effort
    /// tasks beside it at full speed.
    stress: f64,
    /// The present penalty of the task.
    penalty: f64,
}

/// The serving tasks of one image on a worker.
#[derive(Debug, Clone)]
struct ServingTasks {
    image: ImageNo,
    /// The added stress that the most loaded of these tasks can take.
    spare_stress: f64,
    /// The stress that the best-effort tasks on the worker add, at full speed.
    added_stress: f64,
}

impl Headroom {
    pub(super) fn of(instance: &WorkerInstance, tails: &TailModel) -> Self {
        let serving_by_image = serving_by_image(instance, tails);
        let images = serving_by_image.iter().map(|serving| serving.image).collect::<Vec<_>>();
        let tolerance = tails.tolerance(&images, NEGLIGIBLE_EFFECT);
        Self { task_margins: task_margins(instance, tails), tolerance, serving_by_image }
    }

    /// Returns the share of its full speed at which a best-effort task would run, 0 to 1, if the
    /// own stress of the serving tasks rises by `stress_rise`.
    pub(super) fn expected_pace(
        &self,
        tails: &TailModel,
        image: ImageNo,
        load: f64,
        stress_rise: f64,
    ) -> f64 {
        let pace_limit = |serving: &ServingTasks| {
            let effect = tails.effect(image, serving.image);
            let spare_stress = serving.spare_stress - stress_rise - serving.added_stress;
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
    pub(super) fn added_penalty(&self, tails: &TailModel, image: ImageNo, load: f64) -> f64 {
        let added = |margin: &Margin| {
            let stress = tails.effect(image, margin.image) * load;
            penalty(margin.stress - stress) - margin.penalty
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

fn task_margins(instance: &WorkerInstance, tails: &TailModel) -> Vec<Margin> {
    let loads = full_speed_loads(instance);
    let margin = |run: &PlacedRun| {
        let added = loads
            .iter()
            .map(|&(best_effort_image, load)| tails.effect(best_effort_image, run.image) * load);
        let target_ms = run.tail_target_ms.unwrap_or(1) as f64;
        let stress_at_target = tails.stress_at(run.image, target_ms, 1.0);
        let stress = stress_at_target - run.own_stress.mean - added.sum::<f64>();
        Margin { image: run.image, stress, penalty: penalty(stress) }
    };
    instance.runs().values().filter(|run| run.is_serving()).map(margin).collect()
}

fn serving_by_image(instance: &WorkerInstance, tails: &TailModel) -> Vec<ServingTasks> {
    let loads = full_speed_loads(instance);
    let mut serving_by_image = Vec::<ServingTasks>::new();
    for run in instance.runs().values().filter(|run| run.is_serving()) {
        let target_ms = run.tail_target_ms.unwrap_or(1) as f64;
        let spare_stress =
            tails.stress_at(run.image, target_ms, TARGET_SHARE) - run.own_stress.mean;
        match serving_by_image.iter_mut().find(|serving| serving.image == run.image) {
            Some(same_image) => same_image.spare_stress = same_image.spare_stress.min(spare_stress),
            None => {
                let added_stress = added_stress(tails, &loads, run.image);
                serving_by_image.push(ServingTasks {
                    image: run.image,
                    spare_stress,
                    added_stress,
                });
            }
        }
    }
    serving_by_image
}
