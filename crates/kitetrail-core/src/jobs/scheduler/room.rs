//! What a worker has left, worked out once between two changes of what runs there.

use std::cell::OnceCell;

use super::{
    super::{life::Life, run::RunThere, spec::StepSpec},
    headroom::Headroom,
    tails::{ImageNo, Load, TailModel},
};
use crate::{Accelerators, CpuMillis, MemoryMb, Resources};

/// The share of a worker's processor time that may be taken, with what fills at full speed, in
/// percent.
const MOST_TAKEN_PERCENT: u32 = 110;
/// Effects below this are not worth slowing anything for: they are within the noise of gauges.
pub(in crate::jobs) const SLIGHT_EFFECT: f64 = 0.5;

/// What fills is started where at least this share of its processor time is left, in percent.
const LEAST_LEFT_PERCENT: u32 = 80;

/// What a worker has left.
#[derive(Debug, Clone)]
pub(in crate::jobs) struct Room {
    pub(super) left: Left,
    /// A suspect runs there alone.
    pub(super) has_lone_suspect: bool,
    /// How many tasks run there that reserve processors and end by themselves.
    pub(super) short_tasks: u32,
    /// The share of the processor time that is not reserved, 0 to 1.
    pub(super) free_share: f64,
    /// The share of the processor time that what fills finds there, 0 to 1.
    pub(super) fill_share: f64,
    /// What serves there, worked out when it is first asked for: few workers are looked at so closely
    /// before something changes there again.
    headroom: OnceCell<Headroom>,
}

/// What of a worker's capacity is left.
#[derive(Debug, Clone, Copy)]
pub(in crate::jobs) struct Left {
    /// What is not reserved.
    pub(super) free: Resources,
    /// The processor time that what fills finds there, in thousandths of a core.
    cpu_left_to_fill: u32,
}

impl Left {
    /// Whether a task finds memory, accelerators and processor time there.
    ///
    /// One that fills reserves no processor time: it is started where it finds enough.
    pub(super) fn fits(&self, spec: &StepSpec) -> bool {
        let Resources { cpu_millis, memory_mb, accelerators } = spec.size;
        match spec.fills {
            true => {
                memory_mb <= self.free.memory_mb
                    && accelerators <= self.free.accelerators
                    && self.cpu_left_to_fill >= cpu_millis.0 * LEAST_LEFT_PERCENT / 100
            }
            false => spec.size.fits_in(&self.free),
        }
    }

    /// The same, once `others` of its size have found theirs.
    pub(super) fn fits_beside(&self, spec: &StepSpec, others: u32) -> bool {
        let mut left = *self;
        for _ in 0..others {
            match left.free.checked_sub(&spec.size) {
                Some(free) => left.free = free,
                None => return false,
            }
        }
        left.fits(spec)
    }
}

impl Room {
    pub(super) fn of(life: &Life) -> Self {
        let Taken { reserved, used_millis, filled_millis, short_tasks } = Taken::of(life);
        let capacity = life.entry.capacity;
        let cpu = capacity.cpu_millis.0;
        let free = left(&capacity, &reserved);
        let most_taken = cpu / 100 * MOST_TAKEN_PERCENT;
        let cpu_left_to_fill = most_taken.saturating_sub(used_millis + filled_millis);
        let share = |left: u32| f64::from(left) / f64::from(cpu.max(1));
        Self {
            left: Left { free, cpu_left_to_fill },
            has_lone_suspect: life.runs().values().any(|run| run.alone),
            short_tasks,
            free_share: share(free.cpu_millis.0),
            fill_share: share(cpu_left_to_fill),
            headroom: OnceCell::new(),
        }
    }

    /// What serves on the worker whose room this is.
    pub(super) fn headroom(&self, life: &Life, tails: &TailModel) -> &Headroom {
        self.headroom.get_or_init(|| Headroom::of(life, tails))
    }
}

/// What the runs on a worker take.
#[derive(Debug, Clone, Copy, Default)]
struct Taken {
    /// What is reserved. What fills reserves memory, not processor time.
    reserved: Resources,
    /// The processor time that is in use of what is reserved, in thousandths of a core.
    used_millis: u32,
    /// The processor time of what fills, at full speed, in thousandths of a core.
    filled_millis: u32,
    /// How many of them are short: they reserve processors and end by themselves.
    short_tasks: u32,
}

impl Taken {
    fn of(life: &Life) -> Self {
        let mut taken = Self::default();
        for run in life.runs().values() {
            let cpu_millis = run.size.cpu_millis.0;
            let reserved_millis = if run.fills { 0 } else { cpu_millis };
            taken.filled_millis += cpu_millis - reserved_millis;
            taken.short_tasks += u32::from(!run.fills && !run.lasts);
            taken.used_millis += if run.fills { 0 } else { used_millis(run) };
            let reserved = Resources { cpu_millis: CpuMillis(reserved_millis), ..run.size };
            taken.reserved = taken.reserved.saturating_add(&reserved);
        }
        taken
    }
}

/// Whether what runs on a worker, is about to or is being stopped takes more than the worker has.
pub(super) fn is_over_room(life: &Life) -> bool {
    !Taken::of(life).reserved.fits_in(&life.entry.capacity)
}

/// The processor time that a run uses of what is reserved for it, in thousandths of a core: of a task
/// that serves its load, all of any other.
fn used_millis(run: &RunThere) -> u32 {
    let share = if run.serves() { run.own_stress.mean.min(1.0) } else { 1.0 };
    (f64::from(run.size.cpu_millis.0) * share) as u32
}

fn left(capacity: &Resources, reserved: &Resources) -> Resources {
    let cpu_millis = capacity.cpu_millis.0.saturating_sub(reserved.cpu_millis.0);
    let memory_mb = capacity.memory_mb.0.saturating_sub(reserved.memory_mb.0);
    let accelerators = capacity.accelerators.0.saturating_sub(reserved.accelerators.0);
    Resources {
        cpu_millis: CpuMillis(cpu_millis),
        memory_mb: MemoryMb(memory_mb),
        accelerators: Accelerators(accelerators),
    }
}

/// What the tasks that fill on a worker use at full speed, by image.
pub(super) fn full_loads(life: &Life) -> Vec<Load> {
    loads_by(life, |run| f64::from(run.size.cpu_millis.0))
}

/// What the tasks that fill on a worker use, by image, as a share of all it has.
pub(super) fn loads_by(life: &Life, millis: impl Fn(&RunThere) -> f64) -> Vec<Load> {
    let capacity = capacity_millis(life);
    let mut loads = Vec::<Load>::new();
    for run in life.runs().values().filter(|run| run.fills) {
        let load = millis(run) / capacity;
        match loads.iter_mut().find(|(image, _)| *image == run.image) {
            Some((_, sum)) => *sum += load,
            None => loads.push((run.image, load)),
        }
    }
    loads
}

/// The stress that what fills adds to an image that serves.
pub(super) fn added(tails: &TailModel, loads: &[Load], serves: ImageNo) -> f64 {
    let effects = loads.iter().map(|&(fills, load)| (tails.effect(fills, serves), load));
    effects.filter(|(effect, _)| *effect >= SLIGHT_EFFECT).map(|(effect, load)| effect * load).sum()
}

/// All processor time of a worker, in thousandths of a core.
pub(super) fn capacity_millis(life: &Life) -> f64 {
    f64::from(life.entry.capacity.cpu_millis.0.max(1))
}
