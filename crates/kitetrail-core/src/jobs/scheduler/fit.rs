//! How well a worker suits a task.

use std::time::Duration;

use super::{
    super::{
        life::{Life, LifeNo},
        names::TaskName,
        run::RunThere,
        spec::StepSpec,
    },
    lateness::Lateness,
    pace::SWING,
    room::{Room, added, capacity_millis, full_loads},
    short_work::ShortWork,
    tails::{ImageNo, TailModel},
};
use crate::Time;

/// Weight of a worker's fullness, 0 to 1, when workers are compared. The unit of the other weights.
const FULLNESS: f64 = 1.0;
/// Weight of something that would disturb, or be disturbed, by what the task does.
const DISTURBANCE: f64 = 3.0;
/// Weight of a worker where other images could fill as well: a task that many workers suit leaves
/// those free that suit many images.
const SCARCITY: f64 = 0.25;
/// What fills is started where it is let work at this share of its speed at least: it holds memory.
const LEAST_PACE: f64 = 0.5;
/// The same for a task that loses its progress when it is stopped: it can't be moved.
const LEAST_PACE_UNMOVED: f64 = 0.8;
/// Weight of serving tasks of other images. Where tasks of one image serve together, each image that
/// fills finds workers where it disturbs nothing.
const OTHER_IMAGE: f64 = 0.6;
/// Weight of being away from the data: the task takes up to twice as long.
const FAR: f64 = 4.0;
/// Weight of the worker on which the task failed last.
const FAILED_THERE: f64 = 8.0;

/// Weight of each run that would be lost with the worker if a suspect crashed it, above all other weights: suspects go
/// where nothing runs, or as little as can be.
const LOST_BESIDE: f64 = 50.0;
/// The same for a run that lasts: users wait for it to be back.
const LOST_LASTING_BESIDE: f64 = 150.0;

/// The same for a machine that crashed of late: it may crash again by itself, and speak against a task that is blameless.
const FELL_OF_LATE: f64 = 25.0;

/// The same for each second since the worker was heard: it may have crashed since, and speak against the task as well.
const UNHEARD_FOR_S: f64 = 4.0;

/// A task that looks for a worker.
pub(super) struct Fit<'a> {
    pub(super) name: TaskName,
    pub(super) spec: &'a StepSpec,
    /// The service whose workers run it.
    pub(super) service: &'a str,
    pub(super) image: ImageNo,
    /// Where other members of its gang are about to be placed.
    pub(super) members: &'a [LifeNo],
    /// The rack that they are in.
    pub(super) rack: Option<&'a str>,
    /// Where it failed, or was slow.
    pub(super) avoid: Option<LifeNo>,
    pub(super) now: Time,
    /// It may crash its worker.
    pub(super) runs_alone: bool,
    /// How late its job is: what is hopeless takes places that are worse.
    pub(super) lateness: Lateness,
    pub(super) tails: &'a TailModel,
    pub(super) short_work: &'a ShortWork,
}

impl Fit<'_> {
    /// How well a worker suits the task, less is better; `None` if it does not.
    pub(super) fn score(&self, no: LifeNo, life: &Life, room: &Room) -> Option<f64> {
        let spec = self.spec;
        let labelled = spec.label.as_ref().is_none_or(|label| life.entry.labels.contains(label));
        if !labelled || !self.has_room(no, life, room) {
            return None;
        }
        let disturbance = self.disturbance(life, room)?;
        let fullness = match (spec.fills, spec.lasts) {
            (true, _) => 1.0 - room.fill_share,
            // What lasts is packed, so that room for large tasks stays in one piece; so is short work of
            // which few tasks fit on a worker. Other short work spreads, so that what fills is left some.
            (false, true) => room.free_share,
            (false, false) if self.short_work.is_coarse() => room.free_share,
            (false, false) => 1.0 - room.free_share,
        };
        let far = spec.near_rack.as_ref().is_some_and(|near| !life.entry.labels.contains(near));
        let apart = spec.same_rack && self.rack.is_some_and(|rack| rack != life.entry.rack);
        let far = if far || apart { FAR } else { 0.0 };
        let failed = if self.avoid == Some(no) { FAILED_THERE } else { 0.0 };
        let lost = if self.runs_alone { lost_beside(life, self.now) } else { 0.0 };
        Some(FULLNESS * fullness + DISTURBANCE * disturbance + far + failed + lost)
    }

    /// How much of what the worker runs would disturb the task, or be disturbed by it; `None` if so
    /// much that the task should wait instead.
    fn disturbance(&self, life: &Life, room: &Room) -> Option<f64> {
        let spec = self.spec;
        let load = f64::from(spec.size.cpu_millis.0) / capacity_millis(life);
        match (spec.fills, spec.tail_target_ms.is_some()) {
            (true, _) => {
                let least = if spec.keeps_progress { LEAST_PACE } else { LEAST_PACE_UNMOVED };
                let headroom = room.headroom(life, self.tails);
                let pace = |swing| headroom.expected_pace(self.tails, self.image, load, swing);
                if pace(0.0) < least {
                    return None;
                }
                let harm = headroom.added_harm(self.tails, self.image, load);
                let slowed = 1.0 - pace(SWING);
                let bearable = harm <= self.lateness.most_harm();
                bearable.then_some(slowed + harm + SCARCITY * headroom.tolerance)
            }
            (_, true) => {
                let stress = added(self.tails, &full_loads(life), self.image).min(1.0);
                let foreign = room.headroom(life, self.tails).is_foreign(self.image);
                Some(stress + if foreign { OTHER_IMAGE } else { 0.0 })
            }
            _ => Some(0.0),
        }
    }

    /// Whether a worker with room for the task has room for it beside what is about to be placed there.
    fn has_room(&self, no: LifeNo, life: &Life, room: &Room) -> bool {
        if life.runs().contains_key(&self.name) || room.has_lone_suspect {
            return false;
        }
        let members_here = self.members.iter().filter(|&&member| member == no).count() as u32;
        if self.runs_alone && members_here > 0 {
            return false;
        }
        !self.has_most_siblings(life, members_here)
            && room.left.fits_beside(self.spec, members_here)
    }

    /// Whether a worker has as many tasks of the step as it may have.
    fn has_most_siblings(&self, life: &Life, members_here: u32) -> bool {
        let Some(most) = self.spec.max_per_worker else { return false };
        let same_step = |other: &&TaskName| other.step_name() == self.name.step_name();
        let siblings = life.runs().keys().filter(same_step).count() as u32;
        siblings + members_here >= most
    }
}

/// How bad a place a worker is for a task that may crash it.
fn lost_beside(life: &Life, now: Time) -> f64 {
    let unheard_for = life.heard_at.map_or(Duration::ZERO, |heard_at| now.since(heard_at));
    let unheard = UNHEARD_FOR_S * unheard_for.as_secs_f64();
    let fell = if life.fell_of_late { FELL_OF_LATE } else { 0.0 };
    let weight = |run: &RunThere| if run.lasts { LOST_LASTING_BESIDE } else { LOST_BESIDE };
    fell + unheard + life.runs().values().map(weight).sum::<f64>()
}
