//! Decides whether gaps for the larger short tasks are scarce.

use super::{super::load_parts::LoadPart, Scheduler, pass::PlacementPass};

/// The number of sizes that are remembered: those of the last few jobs.
const REMEMBERED_SIZES: usize = 128;
/// The tasks in a hundred that are larger than a large task.
const LARGER_THAN_LARGE_PERCENT: usize = 10;
/// The number of sizes by which the use of a gap is judged: quantiles of the remembered ones.
const QUANTILES: usize = 8;
/// The least reserve of gaps that short tasks can use, as a part of the fleet. Most long-running
/// tasks are placed before the first short one, when nothing is known of their need.
const MIN_RESERVE_SHARE: f64 = 0.14;

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
    /// The sizes at equal steps of their distribution, in thousandths of a core; empty before any
    /// task was seen.
    quantiles_millis: Vec<u32>,
    /// How much short tasks lack gaps: 0 with twice the reserve, 1 with the reserve or less.
    scarcity: f64,
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

    /// Returns how much of a gap short tasks can use, in thousandths of a core: the mean over their
    /// sizes. Before any was seen, one is expected to need a whole worker.
    fn usable_millis(&self, gap_millis: u32, capacity_millis: u32) -> f64 {
        let whole_worker = [capacity_millis];
        let sizes = match self.quantiles_millis.as_slice() {
            [] => &whole_worker,
            quantiles => quantiles,
        };
        let usable = sizes.iter().map(|&size| f64::from(gap_millis / size.max(1) * size));
        usable.sum::<f64>() / sizes.len() as f64
    }

    /// Returns how much processor time short tasks lose for each unit that a task takes from a gap:
    /// 0 if none of them could use it, 1 if they could use all of it, and more if the rest is too
    /// small for them; 0 while they have more than enough.
    pub(super) fn loss(&self, gap_millis: u32, task_millis: u32, capacity_millis: u32) -> f64 {
        if self.scarcity == 0.0 {
            return 0.0;
        }
        let left_millis = gap_millis.saturating_sub(task_millis);
        let lost_millis = self.usable_millis(gap_millis, capacity_millis)
            - self.usable_millis(left_millis, capacity_millis);
        self.scarcity * lost_millis / f64::from(task_millis.max(1))
    }

    /// Updates how scarce gaps are with the gap and the capacity of each worker, and the reserve that
    /// short tasks need by what they used lately, in thousandths of a core.
    fn update_scarcity(&mut self, gaps: impl Iterator<Item = (u32, u32)>, needed_millis: f64) {
        self.update_quantiles();
        let (mut usable_millis, mut total_millis) = (0.0, 0.0);
        for (gap_millis, capacity_millis) in gaps {
            usable_millis += self.usable_millis(gap_millis, capacity_millis);
            total_millis += f64::from(capacity_millis);
        }
        let reserve_millis = needed_millis.max(MIN_RESERVE_SHARE * total_millis).max(1.0);
        self.scarcity = (2.0 - usable_millis / reserve_millis).clamp(0.0, 1.0);
    }

    fn update_quantiles(&mut self) {
        let mut sizes = self.recent_millis.clone();
        if sizes.is_empty() {
            return;
        }
        sizes.sort_unstable();
        let quantile = |no: usize| sizes[(2 * no + 1) * sizes.len() / (2 * QUANTILES)];
        self.quantiles_millis = (0..QUANTILES).map(quantile).collect();
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
        let workers = self.instances.values().filter(|instance| instance.accepts_work(self.now));
        let gaps = workers.filter_map(|instance| {
            let capacity_millis = instance.entry.capacity.cpu_millis.0;
            Some((instance.free_capacity.as_ref()?.gap_millis, capacity_millis))
        });
        self.gaps.update_scarcity(gaps, self.short_tasks.reserve_millis());
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
