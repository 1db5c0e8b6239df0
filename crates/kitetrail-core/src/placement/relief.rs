//! The relief of a worker whose services are too slow: throttle other tasks first, then evict them.

use std::{collections::BTreeMap, time::Duration};

use bon::Builder;

use super::{AllowedRelief, LoadBand, Placer};
use crate::{Attempt, TaskClass, TaskId, Time, task::SpecKind, worker::DesiredState};

/// The share of a task's effect on others that is removed by throttling it.
const THROTTLE_RELIEF: f64 = 0.7;
/// The weight of a new sample in the smoothed slowdown.
const SMOOTHING: f64 = 0.3;

/// The settings of relief.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct ReliefSettings {
    /// Whether relief is enabled. It is disabled only for baselines.
    #[builder(default = true)]
    pub enabled: bool,
    /// The shortest time between two steps, so that a throttle can take effect before a task
    /// is evicted.
    #[builder(default = Duration::from_secs(4))]
    pub min_step_interval: Duration,
    /// The time for which all slowdowns on a worker must stay below `calm_percent` before one
    /// throttle is lifted.
    #[builder(default = Duration::from_secs(10))]
    pub lift_delay: Duration,
    /// The share of the allowed slowdown up to which a worker counts as calm, in percent.
    #[builder(default = 85)]
    pub calm_percent: u32,
}

impl Default for ReliefSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// A task on the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resident {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub attempt: Attempt,
    /// The kind of the task.
    pub kind: SpecKind,
    /// The class of the task.
    pub class: TaskClass,
    /// The state that the owner currently requests of the run.
    pub want: DesiredState,
    /// The work that an eviction would lose, in milliseconds.
    pub unsaved_ms: u64,
}

/// A change of the state that is requested of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReliefStep {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub attempt: Attempt,
    /// The new requested state.
    pub want: DesiredState,
}

impl ReliefStep {
    fn new(resident: &Resident, want: DesiredState) -> Self {
        Self { task: resident.task.clone(), attempt: resident.attempt, want }
    }
}

/// A class whose slowdown exceeds its limit.
struct Pressure {
    victim: TaskClass,
    rank: u8,
    excess: f64,
}

/// The slowdown of the classes on one worker, and the time of the latest step against it.
#[derive(Debug, Clone, Default)]
pub struct ReliefState {
    slowdown: BTreeMap<TaskClass, f64>,
    last_step: Option<Time>,
    calm_since: Option<Time>,
}

impl ReliefState {
    /// Records a measured slowdown of a class on this worker.
    pub fn observe(&mut self, class: &TaskClass, slowdown: f64) {
        let smoothed = self.slowdown.entry(class.clone()).or_insert(slowdown);
        *smoothed += (slowdown - *smoothed) * SMOOTHING;
    }

    /// Returns the smoothed slowdown of a class, or 1.0 if it was never measured.
    pub fn slowdown(&self, class: &TaskClass) -> f64 {
        self.slowdown.get(class).copied().unwrap_or(1.0)
    }

    /// Returns the changes to the requested states of tasks that are due now.
    ///
    /// Enough tasks are changed at once to cover the excess slowdown, as far as their effects
    /// are known. The next changes wait until these had time to take effect.
    pub fn step<P: Placer>(
        &mut self,
        placer: &P,
        settings: &ReliefSettings,
        residents: &[Resident],
        band: LoadBand,
        now: Time,
    ) -> Vec<ReliefStep> {
        if !settings.enabled {
            return Vec::new();
        }
        self.slowdown.retain(|class, _| residents.iter().any(|resident| resident.class == *class));
        if let Some(pressure) = self.pressure(placer, residents, 100) {
            self.calm_since = None;
            if !self.is_step_due(settings, now) {
                return Vec::new();
            }
            let steps = relief_steps(placer, residents, &pressure, band);
            self.last_step = if steps.is_empty() { self.last_step } else { Some(now) };
            return steps;
        }
        if self.pressure(placer, residents, settings.calm_percent).is_some() {
            self.calm_since = None;
            return Vec::new();
        }
        self.lift_throttle(settings, residents, now).into_iter().collect()
    }

    fn is_step_due(&self, settings: &ReliefSettings, now: Time) -> bool {
        self.last_step.is_none_or(|at| now.since(at) >= settings.min_step_interval)
    }

    /// Returns the class with the largest excess over the given percentage of its allowed
    /// slowdown.
    fn pressure<P: Placer>(
        &self,
        placer: &P,
        residents: &[Resident],
        percent: u32,
    ) -> Option<Pressure> {
        let pressure_on = |resident: &Resident| {
            let rule = placer.policy().rule(&resident.class, resident.kind);
            let allowed = rule.max_slowdown * f64::from(percent) / 100.0;
            let excess = self.slowdown(&resident.class) - allowed;
            Pressure { victim: resident.class.clone(), rank: rule.rank, excess }
        };
        let pressures = residents.iter().map(pressure_on).filter(|pressure| pressure.excess > 0.0);
        pressures.max_by(|a, b| a.excess.total_cmp(&b.excess))
    }

    /// Lifts one throttle once the worker has been calm for long enough.
    fn lift_throttle(
        &mut self,
        settings: &ReliefSettings,
        residents: &[Resident],
        now: Time,
    ) -> Option<ReliefStep> {
        let calm_since = *self.calm_since.get_or_insert(now);
        if now.since(calm_since) < settings.lift_delay {
            return None;
        }
        let throttled =
            residents.iter().find(|resident| resident.want == DesiredState::Throttle)?;
        self.calm_since = Some(now);
        Some(ReliefStep::new(throttled, DesiredState::Run))
    }
}

/// Returns the cheapest changes that help: throttle the tasks with the largest effect or,
/// once all are throttled, evict those that lose the least work per unit of relief.
fn relief_steps<P: Placer>(
    placer: &P,
    residents: &[Resident],
    pressure: &Pressure,
    band: LoadBand,
) -> Vec<ReliefStep> {
    let victim = &pressure.victim;
    let allows = |resident: &Resident, sacrifice: AllowedRelief| {
        let rule = placer.policy().rule(&resident.class, resident.kind);
        resident.class != *victim && rule.rank < pressure.rank && rule.sacrifice >= sacrifice
    };
    let expected_effect =
        |resident: &Resident| placer.expected_effect(victim, &resident.class, band);
    let mut eligible: Vec<&Resident> = residents
        .iter()
        .filter(|resident| {
            resident.want == DesiredState::Run && allows(resident, AllowedRelief::Throttle)
        })
        .collect();
    eligible.sort_by(|a, b| {
        expected_effect(b).total_cmp(&expected_effect(a)).then(a.unsaved_ms.cmp(&b.unsaved_ms))
    });
    if !eligible.is_empty() {
        let relief = |resident: &Resident| expected_effect(resident) * THROTTLE_RELIEF;
        return steps_to_cover(&eligible, pressure.excess, relief, DesiredState::Throttle);
    }
    eligible = residents
        .iter()
        .filter(|resident| {
            resident.want == DesiredState::Throttle && allows(resident, AllowedRelief::Evict)
        })
        .collect();
    let cost = |resident: &Resident| eviction_cost(placer, victim, resident, band);
    eligible.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
    steps_to_cover(
        &eligible,
        pressure.excess,
        |resident| expected_effect(resident) * (1.0 - THROTTLE_RELIEF),
        DesiredState::Checkpoint,
    )
}

/// Returns steps for the first tasks whose combined relief is expected to cover the excess,
/// and for at least one task if there is any.
fn steps_to_cover(
    eligible: &[&Resident],
    excess: f64,
    relief: impl Fn(&Resident) -> f64,
    want: DesiredState,
) -> Vec<ReliefStep> {
    let mut covered = 0.0;
    let mut steps = Vec::new();
    for resident in eligible {
        steps.push(ReliefStep::new(resident, want));
        covered += relief(resident);
        if covered >= excess {
            break;
        }
    }
    steps
}

/// Returns the work that an eviction loses per unit of relief.
fn eviction_cost<P: Placer>(
    placer: &P,
    victim: &TaskClass,
    resident: &Resident,
    band: LoadBand,
) -> f64 {
    let relief = placer.expected_effect(victim, &resident.class, band).max(0.01);
    (resident.unsaved_ms as f64 + 1.0) / relief
}
