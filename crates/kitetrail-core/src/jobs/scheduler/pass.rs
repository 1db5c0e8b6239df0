//! One pass over the jobs that wait: which workers are looked at, and what found no room.

use super::{
    super::{
        life::{Life, LifeNo},
        spec::StepSpec,
    },
    Scheduler,
    lateness::Lateness,
    room::Left,
};

/// A worker that takes work, and what it had left when the pass began.
#[derive(Debug)]
struct Candidate {
    life: LifeNo,
    left: Left,
}

/// What holds for one pass over the jobs that wait.
///
/// On a full fleet most workers have no room for most tasks. What they have left is gathered once, so that
/// they are passed over by comparing a few numbers that lie side by side.
#[derive(Debug)]
pub(super) struct Pass {
    candidates: Vec<Candidate>,
    /// What was found to have no room, so that it is not looked for again.
    full: Vec<(StepSpec, Lateness)>,
    /// How many more tasks may be started.
    pub(super) starts_left: u32,
    /// How many short tasks found no room, at most: of a step that found some, all are counted.
    pub(super) short_waiting: u32,
}

impl Pass {
    /// The workers that may have room for a task. During the pass they only get fuller, so what had no room
    /// when it began has none.
    pub(super) fn with_room_for(&self, spec: &StepSpec) -> impl Iterator<Item = LifeNo> {
        let fitting = self.candidates.iter().filter(|candidate| candidate.left.fits(spec));
        fitting.map(|candidate| candidate.life)
    }

    /// Whether a step asks for no less than one that found no room, and is like it in all else.
    pub(super) fn has_no_room_for(&self, spec: &StepSpec, lateness: Lateness) -> bool {
        self.full.iter().any(|(full, late)| {
            full.fills == spec.fills
                && late.max_added_harm() >= lateness.max_added_harm()
                && full.image == spec.image
                && full.size.fits_in(&spec.size)
                && (full.max_per_worker.is_none() && full.label.is_none())
        })
    }

    /// Takes note that a step found no room for some of its tasks.
    pub(super) fn note_full(&mut self, spec: StepSpec, lateness: Lateness) {
        // Room is kept for short work that can be in time, not for what is late: however much of it waits.
        if !spec.fills && !spec.lasts && lateness == Lateness::InTime {
            self.short_waiting += spec.count;
        }
        if spec.label.is_none() && spec.max_per_worker.is_none() {
            self.full.push((spec, lateness));
        }
    }
}

impl Scheduler {
    /// Begins a pass over the jobs that wait.
    pub(super) fn begin_pass(&mut self) -> Pass {
        self.refresh_rooms();
        let candidate = |(no, life): (LifeNo, &Life)| {
            let room = life.room.as_ref().filter(|_| life.takes_work(self.now))?;
            Some(Candidate { life: no, left: room.left })
        };
        let candidates = self.lives.iter().filter_map(candidate).collect();
        Pass {
            candidates,
            full: Vec::new(),
            starts_left: self.overload.starts_per_pass(),
            short_waiting: 0,
        }
    }
}
