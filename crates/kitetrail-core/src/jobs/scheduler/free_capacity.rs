//! The remaining capacity of a worker, computed once between two changes of what runs on it.

use std::cell::OnceCell;

use super::{
    super::{instance::WorkerInstance, room::Room, run::PlacedRun, spec::StepSpec},
    headroom::Headroom,
    tails::{ImageNo, Load, TailModel},
};
use crate::{Accelerators, CpuMillis, MemoryMb, Resources, Time};

/// The most processor time of a worker that may be committed, with best-effort tasks at full speed,
/// in percent of its capacity.
const MAX_COMMITTED_PERCENT: u32 = 110;
/// Effects below this are ignored: they are within the noise of the gauges.
pub(in crate::jobs) const NEGLIGIBLE_EFFECT: f64 = 0.5;

/// The most runs on a worker: all tasks of the largest job. Tasks that ask for nothing fit in any number.
const MAX_RUNS_PER_WORKER: u32 = 10_000;
/// The share of a best-effort task's processor time that must be left on the worker where it
/// starts, in percent.
const MIN_CPU_PERCENT: u32 = 80;

/// The remaining capacity of a worker, and what else its score depends on.
#[derive(Debug, Clone)]
pub(in crate::jobs) struct FreeCapacity {
    pub(super) free: Remaining,
    /// Whether a task suspected of crashing workers runs alone on the worker.
    pub(super) has_lone_suspect: bool,
    /// The number of short tasks on the worker: those that reserve processor time and end by
    /// themselves.
    pub(super) short_tasks: u32,
    /// The processor time that is left beside long-running tasks, in thousandths of a core: the
    /// largest gap that short tasks can find once those there have ended.
    pub(super) gap_millis: u32,
    /// The share of the processor time that is not reserved, 0 to 1.
    pub(super) free_share: f64,
    /// The share of the processor time that is left for best-effort tasks, 0 to 1.
    pub(super) best_effort_share: f64,
    /// The headroom of the serving tasks, computed when it is first needed: few workers are
    /// examined so closely before something changes on them.
    headroom: OnceCell<Headroom>,
}

/// The remaining resources of a worker.
#[derive(Debug, Clone, Copy)]
pub(in crate::jobs) struct Remaining {
    /// The resources that are not reserved.
    pub(super) free: Resources,
    /// The processor time that is left for best-effort tasks, in thousandths of a core.
    best_effort_millis_left: u32,
    /// The number of tasks that may be started there, whatever their size.
    starts_left: u32,
}

impl Remaining {
    /// Returns whether a task finds enough memory, accelerators and processor time.
    ///
    /// A best-effort task reserves no processor time: it is started where enough is left.
    pub(super) fn fits(&self, spec: &StepSpec) -> bool {
        let Resources { cpu_millis, memory_mb, accelerators } = spec.size;
        match spec.best_effort {
            _ if self.starts_left == 0 => false,
            true => {
                memory_mb <= self.free.memory_mb
                    && accelerators <= self.free.accelerators
                    && u64::from(self.best_effort_millis_left)
                        >= u64::from(cpu_millis.0) * u64::from(MIN_CPU_PERCENT) / 100
            }
            false => spec.size.fits_in(&self.free),
        }
    }

    /// Returns the room that is left.
    pub(super) fn room(&self) -> Room {
        Room {
            cpu_millis: self.free.cpu_millis.0.into(),
            best_effort_millis: self.best_effort_millis_left.into(),
            memory_mb: self.free.memory_mb.0.into(),
        }
    }

    /// The same, after `others` tasks of the same size have been placed.
    pub(super) fn fits_beside(&self, spec: &StepSpec, others: u32) -> bool {
        let mut left = *self;
        left.starts_left = left.starts_left.saturating_sub(others);
        for _ in 0..others {
            match left.free.checked_sub(&spec.size) {
                Some(free) => left.free = free,
                None => return false,
            }
        }
        left.fits(spec)
    }
}

impl FreeCapacity {
    pub(super) fn of(instance: &WorkerInstance) -> Self {
        let Usage { reserved, long_running_millis, used_millis, best_effort_millis, short_tasks } =
            Usage::of(instance);
        let capacity = instance.entry.capacity;
        let cpu = capacity.cpu_millis.0;
        let free = subtract(&capacity, &reserved);
        let max_committed = cpu / 100 * MAX_COMMITTED_PERCENT;
        let best_effort_millis_left =
            max_committed.saturating_sub(used_millis + best_effort_millis);
        let runs = u32::try_from(instance.runs().len()).unwrap_or(u32::MAX);
        let starts_left = MAX_RUNS_PER_WORKER.saturating_sub(runs);
        let share = |left: u32| f64::from(left) / f64::from(cpu.max(1));
        Self {
            free: Remaining { free, best_effort_millis_left, starts_left },
            has_lone_suspect: instance.runs().values().any(|run| run.alone),
            short_tasks,
            gap_millis: cpu.saturating_sub(long_running_millis),
            free_share: share(free.cpu_millis.0),
            best_effort_share: share(best_effort_millis_left),
            headroom: OnceCell::new(),
        }
    }

    /// Returns the headroom of the serving tasks on `instance`, the worker that this belongs to.
    pub(super) fn headroom(
        &self,
        instance: &WorkerInstance,
        tails: &TailModel,
        now: Time,
    ) -> &Headroom {
        self.headroom.get_or_init(|| Headroom::of(instance, tails, now))
    }
}

/// The resources taken by the runs on a worker.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    /// The reserved resources. Best-effort tasks reserve memory, but no processor time.
    reserved: Resources,
    /// The processor time reserved by long-running tasks, in thousandths of a core.
    long_running_millis: u32,
    /// The used part of the reserved processor time, in thousandths of a core.
    used_millis: u32,
    /// The processor time of best-effort tasks at full speed, in thousandths of a core.
    best_effort_millis: u32,
    /// The number of short tasks: those that reserve processor time and end by themselves.
    short_tasks: u32,
}

impl Usage {
    fn of(instance: &WorkerInstance) -> Self {
        let mut usage = Self::default();
        for run in instance.runs().values() {
            let cpu_millis = run.size.cpu_millis.0;
            let reserved_millis = if run.is_best_effort { 0 } else { cpu_millis };
            usage.best_effort_millis += cpu_millis - reserved_millis;
            usage.short_tasks += u32::from(!run.is_best_effort && !run.is_long_running);
            usage.long_running_millis += if run.is_long_running { reserved_millis } else { 0 };
            usage.used_millis += if run.is_best_effort { 0 } else { used_millis(run) };
            let reserved = Resources { cpu_millis: CpuMillis(reserved_millis), ..run.size };
            usage.reserved = usage.reserved.saturating_add(&reserved);
        }
        usage
    }
}

/// Returns whether the runs on a worker, including those being started or stopped, reserve more
/// than it has.
pub(super) fn is_overcommitted(instance: &WorkerInstance) -> bool {
    !Usage::of(instance).reserved.fits_in(&instance.entry.capacity)
}

/// Returns the processor time that a run uses of its reservation, in thousandths of a core: the own
/// load of a serving task, and all of it for any other.
fn used_millis(run: &PlacedRun) -> u32 {
    let share = if run.is_serving() { run.own_stress.mean.min(1.0) } else { 1.0 };
    (f64::from(run.size.cpu_millis.0) * share) as u32
}

fn subtract(capacity: &Resources, reserved: &Resources) -> Resources {
    let cpu_millis = capacity.cpu_millis.0.saturating_sub(reserved.cpu_millis.0);
    let memory_mb = capacity.memory_mb.0.saturating_sub(reserved.memory_mb.0);
    let accelerators = capacity.accelerators.0.saturating_sub(reserved.accelerators.0);
    Resources {
        cpu_millis: CpuMillis(cpu_millis),
        memory_mb: MemoryMb(memory_mb),
        accelerators: Accelerators(accelerators),
    }
}

/// Returns the load of the best-effort tasks on a worker at full speed, by image.
pub(super) fn full_speed_loads(instance: &WorkerInstance) -> Vec<Load> {
    loads_by(instance, |run| f64::from(run.size.cpu_millis.0))
}

/// Returns the load of the best-effort tasks on a worker, by image, as a share of its capacity.
pub(super) fn loads_by(instance: &WorkerInstance, millis: impl Fn(&PlacedRun) -> f64) -> Vec<Load> {
    let capacity = capacity_millis(instance);
    let mut loads = Vec::<Load>::new();
    for run in instance.runs().values().filter(|run| run.is_best_effort) {
        let load = millis(run) / capacity;
        match loads.iter_mut().find(|(image, _)| *image == run.image) {
            Some((_, sum)) => *sum += load,
            None => loads.push((run.image, load)),
        }
    }
    loads
}

/// Returns the stress that best-effort tasks add to a serving image.
pub(super) fn added_stress(tails: &TailModel, loads: &[Load], serving_image: ImageNo) -> f64 {
    let effects = loads
        .iter()
        .map(|&(best_effort_image, load)| (tails.effect(best_effort_image, serving_image), load));
    effects
        .filter(|(effect, _)| *effect >= NEGLIGIBLE_EFFECT)
        .map(|(effect, load)| effect * load)
        .sum()
}

/// Returns the processor time of a worker, in thousandths of a core.
pub(super) fn capacity_millis(instance: &WorkerInstance) -> f64 {
    f64::from(instance.entry.capacity.cpu_millis.0.max(1))
}
