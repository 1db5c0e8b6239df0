//! Reports what holds the processor time of the fleet, and the gaps that are left.

use super::{
    super::{event::Action, instance::WorkerInstance, log_entry::LogEntry, spec::WorkKind},
    Scheduler,
};

/// The processor time of some workers, in thousandths of a core, by what holds it.
#[derive(Debug, Clone, Copy, Default)]
struct Occupancy {
    workers: u32,
    total_millis: u64,
    short_millis: u64,
    long_running_millis: u64,
    free_millis: u64,
    large_gaps: u32,
}

impl Occupancy {
    fn add(&mut self, instance: &WorkerInstance, large_millis: u32) {
        let total_millis = instance.entry.capacity.cpu_millis.0;
        let mut reserved_millis = 0;
        for run in instance.runs().values() {
            let run_millis = u64::from(run.size.cpu_millis.0);
            let held_millis = match run.kind() {
                WorkKind::Short => &mut self.short_millis,
                WorkKind::LongRunning => &mut self.long_running_millis,
                WorkKind::BestEffort => continue,
            };
            *held_millis += run_millis;
            reserved_millis += run_millis;
        }
        let free_millis = u64::from(total_millis).saturating_sub(reserved_millis);
        self.workers += 1;
        self.total_millis += u64::from(total_millis);
        self.free_millis += free_millis;
        self.large_gaps += free_millis.checked_div(large_millis.into()).unwrap_or(0) as u32;
    }
}

impl Scheduler {
    /// Reports the occupancy of the workers that take work.
    pub(super) fn report_occupancy(&mut self) {
        let large_task_millis = self.gaps.large_millis();
        let mut occupancy = Occupancy::default();
        for instance in self.instances.values().filter(|instance| instance.accepts_work(self.now)) {
            occupancy.add(instance, large_task_millis);
        }
        let Occupancy {
            workers,
            total_millis,
            short_millis,
            long_running_millis,
            free_millis,
            large_gaps,
        } = occupancy;
        self.actions.push(Action::Log(LogEntry::Occupancy {
            workers,
            total_millis,
            short_millis,
            long_running_millis,
            free_millis,
            large_task_millis,
            large_gaps,
        }));
    }
}
