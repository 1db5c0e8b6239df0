//! What serves on a worker, and how much of what fills beside it that can take.

use super::{
    super::{life::Life, run::RunThere},
    pace::AIM,
    room::{SLIGHT_EFFECT, added, full_loads},
    tails::{ImageNo, TailModel},
};

/// Stress this far below the target of a serving task starts to count as harm, and harm grows with the
/// square from there to 1 at the target. Own loads swing by some two tenths in seconds, twice that
/// between their lowest and highest.
const HARM_FROM: f64 = 0.4;

/// What serves on a worker, and how much of what fills beside it that can take.
#[derive(Debug, Clone)]
pub(super) struct Headroom {
    /// What serves there, by image.
    serving: Vec<Serving>,
    /// What each task that serves there can take still.
    margins: Vec<Margin>,
    /// The share of all images that fill which disturb nothing there, 0 to 1.
    pub(super) tolerance: f64,
}

/// What one task that serves can take still.
#[derive(Debug, Clone, Copy)]
struct Margin {
    image: ImageNo,
    /// The stress between what it is under, with all that fills beside it, and its target.
    stress: f64,
    /// How much it is harmed by now.
    harm: f64,
}

/// The tasks of one image that serve on a worker.
#[derive(Debug, Clone)]
struct Serving {
    image: ImageNo,
    /// How much stress the most stressed of them can take beside its own.
    left: f64,
    /// What fills there adds, at full speed.
    added: f64,
}

impl Headroom {
    pub(super) fn of(life: &Life, tails: &TailModel) -> Self {
        let serving = serving(life, tails);
        let images = serving.iter().map(|serving| serving.image).collect::<Vec<_>>();
        let tolerance = tails.tolerance(&images, SLIGHT_EFFECT);
        Self { margins: margins(life, tails), tolerance, serving }
    }

    /// The share of its full speed that a task that fills would be let work at, 0 to 1, if the own
    /// stress of what serves there rises by `swing`.
    pub(super) fn expected_pace(
        &self,
        tails: &TailModel,
        image: ImageNo,
        load: f64,
        swing: f64,
    ) -> f64 {
        let pace_beside = |serving: &Serving| {
            let effect = tails.effect(image, serving.image);
            let left = serving.left - swing - serving.added;
            if effect < SLIGHT_EFFECT { 1.0 } else { (left / (effect * load)).clamp(0.0, 1.0) }
        };
        self.serving.iter().map(pace_beside).fold(1.0, f64::min)
    }

    /// How much harm a task that fills would add to all that serves there: 1 for each task that it
    /// would take from far below its target to its target.
    pub(super) fn added_harm(&self, tails: &TailModel, image: ImageNo, load: f64) -> f64 {
        let added = |margin: &Margin| {
            let stress = tails.effect(image, margin.image) * load;
            harm(margin.stress - stress) - margin.harm
        };
        self.margins.iter().map(added).sum()
    }

    /// Whether something of another image serves there, and nothing of this one.
    pub(super) fn is_foreign(&self, image: ImageNo) -> bool {
        !self.serving.is_empty() && self.serving.iter().all(|serving| serving.image != image)
    }
}

/// How much a task that serves is harmed with so much stress left to its target.
fn harm(margin: f64) -> f64 {
    let depth = (1.0 - margin / HARM_FROM).max(0.0);
    depth * depth
}

fn margins(life: &Life, tails: &TailModel) -> Vec<Margin> {
    let loads = full_loads(life);
    let margin = |run: &RunThere| {
        let added = loads.iter().map(|&(fills, load)| tails.effect(fills, run.image) * load);
        let target_ms = run.tail_target_ms.unwrap_or(1) as f64;
        let most = tails.stress_at(run.image, target_ms, 1.0);
        let stress = most - run.own_stress.mean - added.sum::<f64>();
        Margin { image: run.image, stress, harm: harm(stress) }
    };
    life.runs().values().filter(|run| run.serves()).map(margin).collect()
}

fn serving(life: &Life, tails: &TailModel) -> Vec<Serving> {
    let loads = full_loads(life);
    let mut serving = Vec::<Serving>::new();
    for run in life.runs().values().filter(|run| run.serves()) {
        let target_ms = run.tail_target_ms.unwrap_or(1) as f64;
        let left = tails.stress_at(run.image, target_ms, AIM) - run.own_stress.mean;
        match serving.iter_mut().find(|serving| serving.image == run.image) {
            Some(known) => known.left = known.left.min(left),
            None => {
                let added = added(tails, &loads, run.image);
                serving.push(Serving { image: run.image, left, added });
            }
        }
    }
    serving
}
