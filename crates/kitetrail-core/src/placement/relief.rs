//! What is done when a worker's services suffer: throttle first, then evict.

use std::{collections::BTreeMap, time::Duration};

use bon::Builder;

use super::{Band, Placer, Sacrifice};
use crate::{Attempt, TaskClass, TaskId, Time, task::Kind, worker::Want};

/// The share of a new sample in the smoothed slowdown.
const SMOOTHING: f64 = 0.3;

/// When relief is given and taken back.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct ReliefSettings {
    /// Whether relief is given at all. Off for a baseline only.
    #[builder(default = true)]
    pub enabled: bool,
    /// How long a throttle is given to help before a task is evicted.
    #[builder(default = Duration::from_secs(4))]
    pub throttle_patience: Duration,
    /// How long a worker must be calm before a throttle is lifted.
    #[builder(default = Duration::from_secs(10))]
    pub calm_before_lift: Duration,
    /// The part of the allowed slowdown under which a worker counts as calm, in percent.
    #[builder(default = 85)]
    pub calm_percent: u32,
}

impl Default for ReliefSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// A task on the worker, as relief sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resident {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub attempt: Attempt,
    /// Its kind.
    pub kind: Kind,
    /// Its class.
    pub class: TaskClass,
    /// What the owner wants of it now.
    pub want: Want,
    /// The work an eviction would lose, in milliseconds.
    pub unsaved_ms: u64,
}

/// The pressure on one worker and what was done about it.
#[derive(Debug, Clone, Default)]
pub struct Relief {
    slowdown: BTreeMap<TaskClass, f64>,
    last_step: Option<Time>,
    calm_since: Option<Time>,
}

impl Relief {
    /// Takes in the slowdown measured of a class on this worker.
    pub fn observe(&mut self, class: &TaskClass, slowdown: f64) {
        let smoothed = self.slowdown.entry(class.clone()).or_insert(slowdown);
        *smoothed += (slowdown - *smoothed) * SMOOTHING;
    }

    /// The smoothed slowdown of a class, 1.0 if it was never measured.
    pub fn slowdown(&self, class: &TaskClass) -> f64 {
        self.slowdown.get(class).copied().unwrap_or(1.0)
    }

    /// The next step, if one is due: which task, and what is wanted of it.
    ///
    /// One step is taken at a time and given time to show its effect.
    pub fn step<P: Placer>(
        &mut self,
        placer: &P,
        settings: &ReliefSettings,
        residents: &[Resident],
        band: Band,
        now: Time,
    ) -> Option<(TaskId, Attempt, Want)> {
        if !settings.enabled {
            return None;
        }
        self.slowdown.retain(|class, _| residents.iter().any(|r| r.class == *class));
        let pressed = self.pressed_class(placer, residents, 100);
        match pressed {
            Some(victim) if self.step_is_due(settings, now) => {
                self.calm_since = None;
                let step = relieve(placer, residents, &victim, band)?;
                self.last_step = Some(now);
                Some(step)
            }
            Some(_) => {
                self.calm_since = None;
                None
            }
            None if self.pressed_class(placer, residents, settings.calm_percent).is_some() => {
                self.calm_since = None;
                None
            }
            None => self.lift(settings, residents, now),
        }
    }

    fn step_is_due(&self, settings: &ReliefSettings, now: Time) -> bool {
        self.last_step.is_none_or(|at| now.since(at) >= settings.throttle_patience)
    }

    /// The class that suffers the most beyond the given part of what it may suffer.
    fn pressed_class<P: Placer>(
        &self,
        placer: &P,
        residents: &[Resident],
        percent: u32,
    ) -> Option<TaskClass> {
        let excess = |resident: &Resident| {
            let allowed = placer.policy().rule(&resident.class, resident.kind).max_slowdown;
            self.slowdown(&resident.class) - allowed * f64::from(percent) / 100.0
        };
        residents
            .iter()
            .map(|resident| (excess(resident), resident))
            .filter(|(excess, _)| *excess > 0.0)
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, resident)| resident.class.clone())
    }

    /// Lifts one throttle after a calm while.
    fn lift(
        &mut self,
        settings: &ReliefSettings,
        residents: &[Resident],
        now: Time,
    ) -> Option<(TaskId, Attempt, Want)> {
        let calm_since = *self.calm_since.get_or_insert(now);
        if now.since(calm_since) < settings.calm_before_lift {
            return None;
        }
        let throttled = residents.iter().find(|resident| resident.want == Want::Throttle)?;
        self.calm_since = Some(now);
        Some((throttled.task.clone(), throttled.attempt, Want::Run))
    }
}

/// The cheapest step that helps `victim`: throttle the most blamed, then evict it.
fn relieve<P: Placer>(
    placer: &P,
    residents: &[Resident],
    victim: &TaskClass,
    band: Band,
) -> Option<(TaskId, Attempt, Want)> {
    let victim_rank = residents
        .iter()
        .filter(|resident| resident.class == *victim)
        .map(|resident| placer.policy().rule(victim, resident.kind).rank)
        .max()?;
    let may = |resident: &&Resident, sacrifice: Sacrifice| {
        let rule = placer.policy().rule(&resident.class, resident.kind);
        resident.class != *victim && rule.rank < victim_rank && rule.sacrifice >= sacrifice
    };
    let throttle = residents
        .iter()
        .filter(|resident| resident.want == Want::Run && may(resident, Sacrifice::Throttle))
        .max_by(|a, b| {
            let blame = |r: &Resident| placer.blame(victim, &r.class, band);
            blame(a).total_cmp(&blame(b)).then(b.unsaved_ms.cmp(&a.unsaved_ms))
        });
    if let Some(resident) = throttle {
        return Some((resident.task.clone(), resident.attempt, Want::Throttle));
    }
    residents
        .iter()
        .filter(|resident| resident.want == Want::Throttle && may(resident, Sacrifice::Evict))
        .min_by(|a, b| {
            cost_of_eviction(placer, victim, a, band)
                .total_cmp(&cost_of_eviction(placer, victim, b, band))
        })
        .map(|resident| (resident.task.clone(), resident.attempt, Want::Checkpoint))
}

/// The work lost for each unit of relief.
fn cost_of_eviction<P: Placer>(
    placer: &P,
    victim: &TaskClass,
    resident: &Resident,
    band: Band,
) -> f64 {
    let relief = placer.blame(victim, &resident.class, band).max(0.01);
    (resident.unsaved_ms as f64 + 1.0) / relief
}
