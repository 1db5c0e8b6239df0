//! Decides whether gaps for the larger short tasks are scarce.

use super::{super::load_parts::LoadPart, Scheduler, pass::PlacementPass};

/// The number of sizes that are remembered: those of the last few jobs.
const REMEMBERED_SIZES: usize = 128;
/// The tasks in a hundred that are larger than a large task.
const LARGER_THAN_LARGE_PERCENT: usize = 10;

/// The sizes of short tasks, and whether gaps for the larger ones are scarce.
///
/// Short tasks that are spread over all workers leave a little on each, where the larger ones find
/// no room although there is enough in all. Whether that matters depends on the gaps that are left
/// and not on the size of an empty worker.
#[derive(Debug, Default)]
pub(super) struct Gaps {
    /// The processor time of the last tasks, in thousandths of a core, in a ring.
    recent_millis: Vec<u32>,
    next: usize,
    are_scarce: bool,
}

impl Gaps {
    /// Records the size of a short task that starts or found no room.
    pub(super) fn record_size(&mut self, cpu_millis: u32) {
        match self.recent_millis.get_mut(self.next) {
            Some(oldest) => *oldest = cpu_millis,
            None => self.recent_millis.push(cpu_millis),
        }
        self.next = (self.next + 1) % REMEMBERED_SIZES;
    }

    /// Returns the processor time that all but the largest tenth of the tasks need at most, in
    /// thousandths of a core; 0 before any task was seen.
    pub(super) fn large_millis(&self) -> u32 {
        let mut sizes = self.recent_millis.clone();
        sizes.sort_unstable();
        let larger = sizes.len() * LARGER_THAN_LARGE_PERCENT / 100;
        sizes.len().checked_sub(larger + 1).map_or(0, |index| sizes[index])
    }

    /// Updates the decision with the free processor time of each worker, in thousandths of a core,
    /// and the number of short tasks that run or wait. Gaps are scarce if fewer large tasks fit in
    /// them than there are tasks now: that many come again while these run.
    pub(super) fn update(&mut self, free_millis: impl Iterator<Item = u32>, tasks: u32) {
        let large_millis = self.large_millis();
        let fitting = |free_millis: u32| free_millis / large_millis.max(1);
        self.are_scarce = large_millis > 0 && free_millis.map(fitting).sum::<u32>() < tasks;
    }

    pub(super) fn are_scarce(&self) -> bool {
        self.are_scarce
    }
}

impl Scheduler {
    /// Updates whether gaps for the larger short tasks are scarce.
    pub(super) fn update_gaps(&mut self, pass: &PlacementPass) {
        if !self.settings.parts.has(LoadPart::Shares) {
            return;
        }
        let running = self.instances.values().filter_map(|each| each.free_capacity.as_ref());
        let running = running.map(|free_capacity| free_capacity.short_tasks).sum::<u32>();
        self.gaps.update(pass.free_millis(), running);
    }

    /// Returns whether short tasks are packed rather than spread.
    pub(super) fn packs_short_tasks(&self) -> bool {
        self.short_tasks.is_packed() || self.gaps.are_scarce()
    }
}
