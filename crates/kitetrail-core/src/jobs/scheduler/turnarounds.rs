//! Measures how long completed runs held their room, and reports it once a second.

use std::mem;

use super::{
    super::{
        event::Action,
        instance::WorkerInstance,
        log_entry::LogEntry,
        run::PlacedRun,
        spec::WorkKind,
        turnaround::{Turnaround, TurnaroundSummary},
    },
    Scheduler,
};
use crate::Time;

/// The turnarounds of the runs that were completed since the last report, by kind of work.
#[derive(Debug, Default)]
pub(super) struct Turnarounds {
    completed: [Vec<Turnaround>; WorkKind::ALL.len()],
}

impl Turnarounds {
    pub(super) fn record(&mut self, kind: WorkKind, turnaround: Turnaround) {
        self.completed[kind as usize].push(turnaround);
    }
}

impl Scheduler {
    /// Reports the turnarounds of the runs that were completed since the last report.
    pub(super) fn report_turnarounds(&mut self) {
        for kind in WorkKind::ALL {
            let completed = mem::take(&mut self.turnarounds.completed[kind as usize]);
            if !completed.is_empty() {
                let summary = TurnaroundSummary::of(kind, &completed);
                self.actions.push(Action::Log(LogEntry::Turnaround(summary)));
            }
        }
    }
}

/// Returns the turnaround of a run whose end is in the last report of its worker; `None` if this
/// owner has not seen its start confirmed.
pub(super) fn turnaround(
    run: &PlacedRun,
    instance: &WorkerInstance,
    now: Time,
) -> Option<Turnaround> {
    let report = instance.last_report?;
    Some(Turnaround {
        held_ms: now.since(run.placed_at).as_millis() as u64,
        queued_ms: run.queued?.as_millis() as u64,
        worked_ms: report.clock_ms.checked_sub(run.started_clock_ms?)?,
        unobserved_ms: report.unobserved.as_millis() as u64,
    })
}
