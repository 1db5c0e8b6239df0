//! What is done when a worker's services suffer: throttle first, then evict.

use std::{collections::BTreeMap, time::Duration};

use bon::Builder;

use super::{Band, Placer, Sacrifice};
use crate::{Attempt, TaskClass, TaskId, Time, task::Kind, worker::Want};

/// The part of the harm a task does that goes away when it is throttled.
const THROTTLE_RELIEF: f64 = 0.7;
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

/// One thing to be done about a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub attempt: Attempt,
    /// What is wanted of it.
    pub want: Want,
}

impl Step {
    fn new(resident: &Resident, want: Want) -> Self {
        Self { task: resident.task.clone(), attempt: resident.attempt, want }
    }
}

/// A class that suffers more than it may.
struct Pressure {
    victim: TaskClass,
    rank: u8,
    excess: f64,
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

    /// The next step, if one is due: which tasks, and what is wanted of them.
    ///
    /// A step is as large as the pressure, as far as the blame is known, and is given time
    /// to show its effect before the next.
    pub fn step<P: Placer>(
        &mut self,
        placer: &P,
        settings: &ReliefSettings,
        residents: &[Resident],
        band: Band,
        now: Time,
    ) -> Vec<Step> {
        if !settings.enabled {
            return Vec::new();
        }
        self.slowdown.retain(|class, _| residents.iter().any(|r| r.class == *class));
        if let Some(pressure) = self.pressure(placer, residents, 100) {
            self.calm_since = None;
            if !self.step_is_due(settings, now) {
                return Vec::new();
            }
            let steps = relieve(placer, residents, &pressure, band);
            self.last_step = if steps.is_empty() { self.last_step } else { Some(now) };
            return steps;
        }
        if self.pressure(placer, residents, settings.calm_percent).is_some() {
            self.calm_since = None;
            return Vec::new();
        }
        self.lift(settings, residents, now).into_iter().collect()
    }

    fn step_is_due(&self, settings: &ReliefSettings, now: Time) -> bool {
        self.last_step.is_none_or(|at| now.since(at) >= settings.throttle_patience)
    }

    /// The class that suffers the most beyond the given part of what it may suffer.
    fn pressure<P: Placer>(
        &self,
        placer: &P,
        residents: &[Resident],
        percent: u32,
    ) -> Option<Pressure> {
        let of = |resident: &Resident| {
            let rule = placer.policy().rule(&resident.class, resident.kind);
            let allowed = rule.max_slowdown * f64::from(percent) / 100.0;
            let excess = self.slowdown(&resident.class) - allowed;
            Pressure { victim: resident.class.clone(), rank: rule.rank, excess }
        };
        let pressures = residents.iter().map(of).filter(|pressure| pressure.excess > 0.0);
        pressures.max_by(|a, b| a.excess.total_cmp(&b.excess))
    }

    /// Lifts one throttle after a calm while.
    fn lift(
        &mut self,
        settings: &ReliefSettings,
        residents: &[Resident],
        now: Time,
    ) -> Option<Step> {
        let calm_since = *self.calm_since.get_or_insert(now);
        if now.since(calm_since) < settings.calm_before_lift {
            return None;
        }
        let throttled = residents.iter().find(|resident| resident.want == Want::Throttle)?;
        self.calm_since = Some(now);
        Some(Step::new(throttled, Want::Run))
    }
}

/// The cheapest step that helps: throttle the most blamed; when all are throttled, evict
/// those that lose least for the relief they bring.
fn relieve<P: Placer>(
    placer: &P,
    residents: &[Resident],
    pressure: &Pressure,
    band: Band,
) -> Vec<Step> {
    let victim = &pressure.victim;
    let may = |resident: &Resident, sacrifice: Sacrifice| {
        let rule = placer.policy().rule(&resident.class, resident.kind);
        resident.class != *victim && rule.rank < pressure.rank && rule.sacrifice >= sacrifice
    };
    let blame = |resident: &Resident| placer.blame(victim, &resident.class, band);
    let mut able: Vec<&Resident> = residents
        .iter()
        .filter(|resident| resident.want == Want::Run && may(resident, Sacrifice::Throttle))
        .collect();
    able.sort_by(|a, b| blame(b).total_cmp(&blame(a)).then(a.unsaved_ms.cmp(&b.unsaved_ms)));
    if !able.is_empty() {
        let relief = |resident: &Resident| blame(resident) * THROTTLE_RELIEF;
        return enough(&able, pressure.excess, relief, Want::Throttle);
    }
    able = residents
        .iter()
        .filter(|resident| resident.want == Want::Throttle && may(resident, Sacrifice::Evict))
        .collect();
    let cost = |resident: &Resident| cost_of_eviction(placer, victim, resident, band);
    able.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
    enough(
        &able,
        pressure.excess,
        |resident| blame(resident) * (1.0 - THROTTLE_RELIEF),
        Want::Checkpoint,
    )
}

/// The first few tasks whose relief together is expected to cover the excess, at least one.
fn enough(
    able: &[&Resident],
    excess: f64,
    relief: impl Fn(&Resident) -> f64,
    want: Want,
) -> Vec<Step> {
    let mut covered = 0.0;
    let mut steps = Vec::new();
    for resident in able {
        steps.push(Step::new(resident, want));
        covered += relief(resident);
        if covered >= excess {
            break;
        }
    }
    steps
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
