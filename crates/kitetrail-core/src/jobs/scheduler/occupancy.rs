//! Reports what holds the processor time of the fleet, and the gaps that are left.

use super::{
    super::{event::Action, log_entry::LogEntry, occupancy::Occupancy},
    Scheduler,
};

impl Scheduler {
    /// Reports the occupancy of the workers that take work.
    pub(super) fn report_occupancy(&mut self) {
        self.refresh_rooms();
        let large_task_millis = self.gaps.large_millis();
        let job_memory = self.accepted_memory.used();
        let mut occupancy = Occupancy { large_task_millis, job_memory, ..Occupancy::default() };
        for instance in self.instances.values().filter(|instance| instance.accepts_work(self.now)) {
            let Some(free_capacity) = &instance.free_capacity else { continue };
            let total_millis = instance.entry.capacity.cpu_millis.0;
            let free_millis = free_capacity.free.free.cpu_millis.0;
            let gap_millis = free_capacity.gap_millis;
            occupancy.workers += 1;
            occupancy.total_millis += u64::from(total_millis);
            occupancy.short_millis += u64::from(gap_millis.saturating_sub(free_millis));
            occupancy.long_running_millis += u64::from(total_millis.saturating_sub(gap_millis));
            occupancy.free_millis += u64::from(free_millis);
            occupancy.large_gaps += free_millis.checked_div(large_task_millis).unwrap_or(0);
        }
        self.actions.push(Action::Log(LogEntry::Occupancy(occupancy)));
    }
}
