//! Reports the waiting and the started tasks by kind of work, once a second.

use std::{mem, time::Duration};

use super::{
    super::{
        event::Action,
        job::Job,
        log_entry::LogEntry,
        spec::{StepSpec, WorkKind},
    },
    Scheduler,
};
use crate::Time;

/// The interval between two reports. Operators read from them what an overload consists of. One
/// line per second and kind is little beside the hundreds of lines that a busy owner logs.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The number of tasks of one kind of work, by whether their jobs can still complete in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct TaskCounts {
    pub(super) in_time: u32,
    pub(super) late: u32,
}

impl TaskCounts {
    fn add(&mut self, tasks: u32, in_time: bool) {
        let count = if in_time { &mut self.in_time } else { &mut self.late };
        *count += tasks;
    }
}

/// The waiting tasks of one kind of work.
#[derive(Debug, Clone, Copy, Default)]
struct Waiting {
    tasks: TaskCounts,
    /// The age of the oldest of their jobs.
    oldest: Duration,
    /// The processor time of all of them, in thousandths of a core.
    millis: u64,
    /// The processor time of the largest of them, in thousandths of a core.
    largest_millis: u32,
}

/// The tasks started since the last report.
#[derive(Debug, Default)]
pub(super) struct StartedTasks {
    tasks: [TaskCounts; WorkKind::ALL.len()],
    reported_at: Time,
}

impl StartedTasks {
    pub(super) fn record(&mut self, kind: WorkKind, in_time: bool) {
        self.tasks[kind as usize].add(1, in_time);
    }
}

impl Scheduler {
    /// Reports the waiting and the started tasks if a report is due.
    pub(super) fn report_backlog_if_due(&mut self) {
        if self.now.since(self.start_counts.reported_at) < REPORT_INTERVAL {
            return;
        }
        self.report_unpersisted();
        self.report_occupancy();
        self.report_turnarounds();
        let waiting = self.waiting_by_kind();
        let started = mem::take(&mut self.start_counts.tasks);
        self.start_counts.reported_at = self.now;
        let lag_ms = self.overload.lag().as_millis() as u64;
        for kind in WorkKind::ALL {
            let (waiting, started) = (waiting[kind as usize], started[kind as usize]);
            if waiting.tasks == TaskCounts::default() && started == TaskCounts::default() {
                continue;
            }
            self.actions.push(Action::Log(LogEntry::Backlog {
                kind,
                waiting_in_time: waiting.tasks.in_time,
                waiting_late: waiting.tasks.late,
                oldest_ms: waiting.oldest.as_millis() as u64,
                waiting_millis: waiting.millis,
                largest_waiting_millis: waiting.largest_millis,
                started_in_time: started.in_time,
                started_late: started.late,
                lag_ms,
            }));
        }
    }

    /// Reports the records that wait to be persisted, if there are any.
    fn report_unpersisted(&mut self) {
        if self.pending.is_empty() && self.pending.unpersisted_ends() == 0 {
            return;
        }
        self.actions.push(Action::Log(LogEntry::Unpersisted {
            records: self.pending.len() as u64,
            ends: self.pending.unpersisted_ends() as u64,
            batch_sent_ago_ms: self.pending.sent_ago(self.now).map(|ago| ago.as_millis() as u64),
        }));
    }

    fn waiting_by_kind(&self) -> [Waiting; WorkKind::ALL.len()] {
        let mut waiting = [Waiting::default(); WorkKind::ALL.len()];
        let jobs = self.open_jobs.iter().filter_map(|(_, _, id)| self.jobs.get(id));
        for job in jobs.filter(|job| job.may_have_waiting_tasks) {
            let (in_time, age) = (job.can_be_in_time(self.now), self.now.since(job.accepted_at));
            for (spec, tasks) in unplaced_steps(job) {
                let kind = &mut waiting[spec.kind() as usize];
                kind.tasks.add(tasks, in_time);
                kind.oldest = kind.oldest.max(age);
                let task_millis = spec.size.cpu_millis.0;
                kind.millis += u64::from(tasks) * u64::from(task_millis);
                kind.largest_millis = kind.largest_millis.max(task_millis);
            }
        }
        waiting
    }
}

/// Returns the steps of a job that are due and have unplaced tasks, with the number of these tasks.
fn unplaced_steps(job: &Job) -> impl Iterator<Item = (&StepSpec, u32)> {
    let due = job.occurrences.values().flat_map(|occurrence| {
        let steps = job.spec.steps.iter().zip(&occurrence.steps);
        steps.filter(|(spec, _)| occurrence.is_due(spec))
    });
    due.map(|(spec, step)| (spec, step.unplaced())).filter(|(_, tasks)| *tasks > 0)
}
