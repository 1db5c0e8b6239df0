//! One placement pass over the waiting jobs: the candidate workers, and the steps that found no
//! room.

use std::ops::Add;

use super::{
    super::{
        instance::{InstanceNo, WorkerInstance},
        room::Room,
        spec::StepSpec,
    },
    Scheduler,
    free_capacity::Remaining,
    lateness::Lateness,
};
use crate::Resources;

/// A worker that takes work, and its remaining capacity when the pass began.
#[derive(Debug)]
struct Candidate {
    instance_no: InstanceNo,
    left: Remaining,
}

/// The state of one placement pass over the waiting jobs.
///
/// On a full fleet most workers have no room for most tasks. Their remaining capacity is collected
/// once, so that they are skipped by comparing a few numbers in contiguous memory.
#[derive(Debug)]
pub(super) struct PlacementPass {
    candidates: Vec<Candidate>,
    /// The steps that found no room, so that it is not searched for again.
    steps_without_room: Vec<(StepSpec, Lateness)>,
    /// The sizes of the long-running tasks that found no room, without those that need at least as
    /// much as another.
    pub(super) long_running_without_room: Vec<Resources>,
    /// How many more tasks may be started in this pass.
    pub(super) starts_left: u32,
    /// An upper bound of the short tasks that found no room: of a step that found some, all tasks
    /// are counted.
    pub(super) short_waiting: u32,
    /// Whether some task found no room.
    pub(super) found_no_room: bool,
}

impl PlacementPass {
    /// Returns the workers that may have room for a task. Workers only get fuller during a pass, so
    /// one without room when it began has none now.
    pub(super) fn with_room_for(&self, spec: &StepSpec) -> impl Iterator<Item = InstanceNo> {
        let with_room = self.candidates.iter().filter(|candidate| candidate.left.fits(spec));
        with_room.map(|candidate| candidate.instance_no)
    }

    /// Returns the room that was free when the pass began.
    pub(super) fn free_room(&self) -> Room {
        let free = self.candidates.iter().map(|candidate| candidate.left.room());
        free.fold(Room::default(), Room::add)
    }

    /// Returns the free processor time of each worker when the pass began, in thousandths of a
    /// core.
    pub(super) fn free_millis(&self) -> impl Iterator<Item = u32> {
        self.candidates.iter().map(|candidate| candidate.left.free.cpu_millis.0)
    }

    /// Returns whether a step needs at least as much as one that found no room, and is otherwise
    /// equivalent.
    pub(super) fn has_no_room_for(&self, spec: &StepSpec, lateness: Lateness) -> bool {
        self.steps_without_room.iter().any(|(unplaced, unplaced_lateness)| {
            unplaced.best_effort == spec.best_effort
                && unplaced_lateness.max_added_penalty() >= lateness.max_added_penalty()
                && unplaced.image == spec.image
                && unplaced.size.fits_in(&spec.size)
                && (unplaced.max_per_worker.is_none() && unplaced.label.is_none())
        })
    }

    /// Records that a step found no room for some of its tasks.
    pub(super) fn record_no_room(&mut self, spec: StepSpec, lateness: Lateness) {
        self.found_no_room = true;
        let wanted = &mut self.long_running_without_room;
        if spec.long_running && !wanted.iter().any(|size| size.fits_in(&spec.size)) {
            wanted.push(spec.size);
        }
        // Room is kept only for short tasks whose jobs can complete in time, however many late ones
        // wait.
        if !spec.best_effort && !spec.long_running && lateness == Lateness::InTime {
            self.short_waiting += spec.count;
        }
        if spec.label.is_none() && spec.max_per_worker.is_none() {
            self.steps_without_room.push((spec, lateness));
        }
    }
}

impl Scheduler {
    /// Begins a placement pass over the waiting jobs.
    pub(super) fn begin_pass(&mut self) -> PlacementPass {
        self.refresh_rooms();
        let candidate = |(instance_no, instance): (InstanceNo, &WorkerInstance)| {
            let free_capacity =
                instance.free_capacity.as_ref().filter(|_| instance.accepts_work(self.now))?;
            Some(Candidate { instance_no, left: free_capacity.free })
        };
        let candidates = self.instances.iter().filter_map(candidate).collect();
        PlacementPass {
            candidates,
            steps_without_room: Vec::new(),
            long_running_without_room: Vec::new(),
            starts_left: self.overload.starts_per_pass(),
            short_waiting: 0,
            found_no_room: false,
        }
    }
}
