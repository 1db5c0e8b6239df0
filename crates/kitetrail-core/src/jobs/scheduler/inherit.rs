//! Restores the state that an owner inherits from its predecessor.

use std::{collections::BTreeMap, time::Duration};

use super::{
    super::{
        instance::{Leasing, Listing, WorkerInstance},
        job::Job,
        names::{InstanceKey, TaskName},
        operator_rows::OperatorRows,
        progress_key::ProgressKey,
        record::{EffectsRecord, InstanceRecord, JobRecord, Outcome, ProgressRecord},
        worker_entry::WorkerEntry,
    },
    Scheduler,
};
use crate::{Resources, Time};

/// The range of run numbers reserved for each owner. The predecessor may have used numbers that
/// nobody reports.
const RUN_NUMBERS_PER_EPOCH: u32 = 1_000;

/// The state that an owner inherits from its predecessor.
#[derive(Debug, Default)]
pub struct InheritedState {
    /// Jobs with a persisted specification, each with the parts of its progress that were persisted.
    pub jobs: Vec<(JobRecord, Vec<ProgressRecord>)>,
    /// The progress of all other jobs. Ended jobs are remembered; an open job without a readable
    /// specification is ignored.
    pub ended_progress: Vec<ProgressRecord>,
    /// Worker instances on which tasks may be running.
    pub instances: Vec<InstanceRecord>,
    /// The learned interference between images.
    pub interference: EffectsRecord,
    /// How long earlier owners may continue to renew leases.
    pub earlier_renewal: Duration,
    /// The longest lease that earlier owners granted, unless none was longer than the shortest one.
    pub longest_lease: Option<Duration>,
    /// The operators' rows in force.
    pub operator_rows: OperatorRows,
}

impl Scheduler {
    pub(super) fn inherit(&mut self, inheritance: InheritedState) {
        let run_floor = u32::try_from(self.epoch.saturating_sub(1))
            .unwrap_or(u32::MAX / RUN_NUMBERS_PER_EPOCH)
            .saturating_mul(RUN_NUMBERS_PER_EPOCH);
        self.operator_rows = inheritance.operator_rows;
        self.tails.import(&inheritance.interference);
        for (record, progress) in inheritance.jobs {
            if let Some(ended) = progress.iter().find(|part| part.outcome != Outcome::Open) {
                self.record_ended_job(ended.id, ended.outcome, ended.ended_unix_ms);
                let parts = progress.iter().filter(|part| part.part > 0);
                parts.for_each(|part| self.pending.delete_progress(part.key()));
                continue;
            }
            let accepted_unix_ms = record.accepted_unix_ms;
            let is_current = |part: &ProgressRecord| {
                part.accepted_unix_ms.is_none_or(|accepted_ms| accepted_ms == accepted_unix_ms)
            };
            let (progress, stale) = progress.into_iter().partition::<Vec<_>, _>(is_current);
            stale.iter().for_each(|part| self.pending.delete_progress(part.key()));
            let job = Job::restore(record, progress, run_floor, self.now, self.unix_ms);
            if job.is_stored_undivided {
                self.record_undivided_progress(&job);
            }
            self.insert_job(job);
        }
        let (ended, open) = inheritance
            .ended_progress
            .into_iter()
            .partition::<Vec<_>, _>(|progress| progress.outcome != Outcome::Open);
        for ProgressRecord { id, outcome, ended_unix_ms, .. } in ended {
            self.record_ended_job(id, outcome, ended_unix_ms);
        }
        for part in open.iter().filter(|part| self.ended_jobs.contains_key(&part.id)) {
            self.pending.delete_progress(part.key());
        }
        self.longest_lease = inheritance.longest_lease.unwrap_or_default().max(self.longest_lease);
        let own_expiry = self.now + self.longest_lease_expiry_delay();
        self.restore_losses();
        let mut recorded_starts = self.recorded_starts_by_worker();
        for record in inheritance.instances {
            let starts_here = recorded_starts.remove(&record.key()).unwrap_or_default();
            // This includes workers that are not listed: their entries expire while they are cut
            // off together with an owner.
            let renewed_for = match record.not_leased {
                true => Duration::ZERO,
                false => inheritance.earlier_renewal,
            };
            self.add_inherited_instance(record, starts_here, own_expiry + renewed_for);
        }
        for tasks in recorded_starts.into_values() {
            self.drop_recorded_starts(&tasks);
        }
    }

    /// Requests that all parts of a job's progress are persisted, after an earlier release wrote it
    /// undivided. Rows are written in the order in which they are requested, so that the first one
    /// is overwritten last.
    fn record_undivided_progress(&mut self, job: &Job) {
        for part in 1..job.parts.count() {
            self.pending.record_progress(ProgressKey { job: job.id, part });
        }
    }

    /// Handles the news that no earlier owner has renewed leases since a given time.
    pub(super) fn handle_earlier_owners_stopped(&mut self, stopped_at: Time) {
        let expires_at = stopped_at + self.longest_lease_expiry_delay();
        for &instance_no in &self.unconfirmed_instances {
            // Those that have answered have leases of this owner.
            let has_earlier_lease =
                |instance: &&mut WorkerInstance| !instance.contested && !instance.has_reported();
            if let Some(instance) = self.instances.get_mut(instance_no).filter(has_earlier_lease) {
                instance.leases_expire_by = instance.leases_expire_by.min(expires_at);
            }
        }
    }

    /// Returns the tasks that the previous owner had recorded as about to start because they may
    /// crash their worker, by worker instance.
    fn recorded_starts_by_worker(&self) -> BTreeMap<InstanceKey, Vec<TaskName>> {
        let mut by_worker = BTreeMap::<_, Vec<_>>::new();
        for (task, start) in self.jobs.values().flat_map(Job::begun_tasks) {
            by_worker.entry(start.instance()).or_default().push(task);
        }
        by_worker
    }

    /// Adds a worker instance used by an earlier owner. Only its address is known.
    fn add_inherited_instance(
        &mut self,
        record: InstanceRecord,
        inherited_starts: Vec<TaskName>,
        leases_expire_by: Time,
    ) {
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
        let instance_no = self.insert_instance(entry, leases_expire_by);
        if let Some(instance) = self.instances.get_mut(instance_no) {
            instance.listing = Listing::Unread;
            instance.is_persisted = true;
            instance.leasing = leasing;
            instance.inherited_starts = inherited_starts;
        }
        self.unconfirmed_instances.insert(instance_no);
        self.mark_contested(instance_no);
    }
}
