//! What waits for a worker and what was started, by kind of work, told once a second.

use std::{mem, time::Duration};

use super::{
    super::{
        event::Action,
        job::Job,
        note::Note,
        spec::{StepSpec, WorkKind},
    },
    Scheduler,
};
use crate::Time;

/// How often it is told. An operator reads by it what an overload is made of; a line a second and kind is
/// little beside the hundreds of lines that a busy owner writes.
const TOLD_EVERY: Duration = Duration::from_millis(1_000);

/// Tasks of one kind of work, by whether their jobs can still end in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ByTimeliness {
    pub(super) in_time: u32,
    pub(super) late: u32,
}

impl ByTimeliness {
    fn add(&mut self, tasks: u32, in_time: bool) {
        let count = if in_time { &mut self.in_time } else { &mut self.late };
        *count += tasks;
    }
}

/// Tasks of one kind that wait.
#[derive(Debug, Clone, Copy, Default)]
struct Waiting {
    tasks: ByTimeliness,
    /// The age of the oldest of their jobs.
    oldest: Duration,
}

/// What was started since it was told last.
#[derive(Debug, Default)]
pub(super) struct Started {
    tasks: [ByTimeliness; WorkKind::ALL.len()],
    told_at: Time,
}

impl Started {
    pub(super) fn note(&mut self, kind: WorkKind, in_time: bool) {
        self.tasks[kind as usize].add(1, in_time);
    }
}

impl Scheduler {
    /// Tells what waits and what was started, if it is time to.
    pub(super) fn tell_backlog_if_due(&mut self) {
        if self.now.since(self.started.told_at) < TOLD_EVERY {
            return;
        }
        self.tell_unkept();
        let waiting = self.waiting_by_kind();
        let started = mem::take(&mut self.started.tasks);
        self.started.told_at = self.now;
        let lag_ms = self.overload.lag().as_millis() as u64;
        for kind in WorkKind::ALL {
            let (waiting, started) = (waiting[kind as usize], started[kind as usize]);
            if waiting.tasks == ByTimeliness::default() && started == ByTimeliness::default() {
                continue;
            }
            self.out.push(Action::Note(Note::Backlog {
                kind,
                waiting_in_time: waiting.tasks.in_time,
                waiting_late: waiting.tasks.late,
                oldest_ms: waiting.oldest.as_millis() as u64,
                started_in_time: started.in_time,
                started_late: started.late,
                lag_ms,
            }));
        }
    }

    /// Tells what waits to be kept for good, if anything does.
    fn tell_unkept(&mut self) {
        if self.pending.is_empty() && self.pending.unkept_ends() == 0 {
            return;
        }
        self.out.push(Action::Note(Note::Unkept {
            records: self.pending.len() as u64,
            ends: self.pending.unkept_ends() as u64,
            batch_sent_ago_ms: self.pending.sent_ago(self.now).map(|ago| ago.as_millis() as u64),
        }));
    }

    fn waiting_by_kind(&self) -> [Waiting; WorkKind::ALL.len()] {
        let mut waiting = [Waiting::default(); WorkKind::ALL.len()];
        let jobs = self.open.iter().filter_map(|(_, _, id)| self.jobs.get(id));
        for job in jobs.filter(|job| job.may_wait) {
            let (in_time, age) = (job.can_be_in_time(self.now), self.now.since(job.accepted_at));
            for (spec, tasks) in unplaced(job) {
                let kind = &mut waiting[spec.kind() as usize];
                kind.tasks.add(tasks, in_time);
                kind.oldest = kind.oldest.max(age);
            }
        }
        waiting
    }
}

/// The steps of a job whose turn has come and that have tasks waiting, and how many.
fn unplaced(job: &Job) -> impl Iterator<Item = (&StepSpec, u32)> {
    let due = job.occurrences.values().flat_map(|occurrence| {
        let steps = job.spec.steps.iter().zip(&occurrence.steps);
        steps.filter(|(spec, _)| occurrence.is_due(spec))
    });
    due.map(|(spec, step)| (spec, step.unplaced())).filter(|(_, tasks)| *tasks > 0)
}
