//! What an owner takes over from the one before.

use std::{collections::BTreeMap, time::Duration};

use super::{
    super::{
        job::Job,
        life::{Leasing, Listing},
        names::{LifeKey, TaskName},
        record::{EffectsRecord, JobRecord, LifeRecord, Outcome, ProgressRecord},
        worker_entry::WorkerEntry,
    },
    Scheduler,
    crashed::Suspect,
};
use crate::{Resources, Time};

/// How many runs' numbers each owner leaves to the one before, which may have used some that
/// nobody reports.
const RUNS_PER_EPOCH: u32 = 1_000;

/// What an owner takes over from the one before.
#[derive(Debug, Default)]
pub struct Inheritance {
    /// The jobs of which it is kept what was asked for, each with its progress if any was kept.
    pub jobs: Vec<(JobRecord, Option<ProgressRecord>)>,
    /// The progress of all other jobs. Those that ended are remembered; one that is open and whose
    /// steps can't be read is left out.
    pub ended: Vec<ProgressRecord>,
    /// Workers' lives on which tasks may run.
    pub lives: Vec<LifeRecord>,
    /// What was learned of how images disturb each other.
    pub effects: EffectsRecord,
    /// How long owners before may go on to renew leases.
    pub leases_renewed_for: Duration,
}

impl Scheduler {
    pub(super) fn inherit(&mut self, inheritance: Inheritance) {
        let run_floor = u32::try_from(self.epoch.saturating_sub(1))
            .unwrap_or(u32::MAX / RUNS_PER_EPOCH)
            .saturating_mul(RUNS_PER_EPOCH);
        self.tails.import(&inheritance.effects);
        for (record, progress) in inheritance.jobs {
            if let Some(ended) = progress.as_ref().filter(|it| it.outcome != Outcome::Open) {
                self.insert_ended(ended.id, ended.outcome, ended.ended_unix_ms);
                continue;
            }
            let job = Job::restore(record, progress, run_floor, self.now, self.unix_ms);
            self.insert_job(job);
        }
        let ended = inheritance.ended.into_iter().filter(|it| it.outcome != Outcome::Open);
        for ProgressRecord { id, outcome, ended_unix_ms, .. } in ended {
            self.insert_ended(id, outcome, ended_unix_ms);
        }
        let given_until = self.now + self.lapse_after();
        let mut begun = self.begun_by_worker();
        for record in inheritance.lives {
            let begun_here = begun.remove(&record.key()).unwrap_or_default();
            // Also of workers that are not listed: their entries lapse while they are cut off together with an owner.
            let renewed_for = match record.not_leased {
                true => Duration::ZERO,
                false => inheritance.leases_renewed_for,
            };
            self.inherit_life(record, begun_here, given_until + renewed_for);
        }
        // Their workers' lives are over, and nobody kept how these runs ended.
        for (worker, tasks) in begun {
            self.note_crash(&worker, tasks.into_iter().map(Suspect::begun).collect());
        }
    }

    /// Takes note that no owner before renewed leases after a moment.
    pub(super) fn note_earlier_owners_stopped(&mut self, at: Time) {
        let over_at = at + self.lapse_after();
        for &no in &self.unheard {
            if let Some(life) = self.lives.get_mut(no).filter(|life| !life.contested) {
                life.lapses_at = life.lapses_at.min(over_at);
            }
        }
    }

    /// The tasks that the owner before was about to start as ones that may crash their worker.
    fn begun_by_worker(&self) -> BTreeMap<LifeKey, Vec<TaskName>> {
        let mut by_worker = BTreeMap::<_, Vec<_>>::new();
        for (task, begun) in self.jobs.values().flat_map(Job::begun_tasks) {
            by_worker.entry(begun.life()).or_default().push(task);
        }
        by_worker
    }

    /// A life that an earlier owner used; where it answers is all we know.
    fn inherit_life(&mut self, record: LifeRecord, begun_before: Vec<TaskName>, lapses_at: Time) {
        let leasing = if record.not_leased { Leasing::Ended } else { Leasing::Allowed };
        let entry = WorkerEntry {
            id: record.id,
            incarnation: record.incarnation,
            machine: None,
            service: record.service,
            address: record.address,
            zone: String::new(),
            rack: String::new(),
            draining: false,
            remaining_ms: None,
            capacity: Resources::default(),
            labels: Vec::new(),
        };
        let no = self.insert_life(entry, lapses_at);
        if let Some(life) = self.lives.get_mut(no) {
            life.listing = Listing::Unread;
            life.recorded = true;
            life.leasing = leasing;
            life.begun_before = begun_before;
        }
        self.unheard.insert(no);
        self.contest(no);
    }
}
