//! Simulates successive owners of the fleet, and the records that the store holds for them.

use std::{collections::BTreeSet, time::Duration};

use kitetrail_core::{
    ByteSize, Time,
    jobs::{
        Event, InheritedState, JobId, JobRecord, LoadParts, MAX_RENEWAL_WITHOUT_STORE, ProgressKey,
        ProgressRecord, Record, Scheduler, SchedulerSettings,
    },
};

use super::{CLOCK_ZERO_UNIX_MS, STEP, SimulatedFleet};

/// The largest number of records in a batch: the store allows 100 entries, of which the owner's own rows need a few.
const MAX_BATCH_RECORDS: usize = 95;
/// The most bytes of a row.
const MAX_ROW_BYTES: usize = 64 * 1_024;
/// The most bytes of a batch, in which rows are encoded as base64.
const MAX_BATCH_BYTES: usize = 1_000_000;

/// The time for which an owner goes on without the store.
pub(super) const MAX_UNCONFIRMED: Duration = Duration::from_secs(12);
/// The time from a takeover until the leases of the previous owner have certainly expired: the time for which it grants
/// leases of full length, and one lease on a worker's clock.
pub const EARLIER_LEASES_EXPIRE_AFTER_MS: u64 =
    MAX_RENEWAL_WITHOUT_STORE.as_millis() as u64 + 4_000 * 102 / 100 + 100;

impl SimulatedFleet {
    /// Replaces the scheduler with that of a new owner, as after the death of the previous one.
    pub fn take_over(&mut self, epoch: u64, earlier_owners_stopped: bool) {
        self.replace_scheduler(epoch, earlier_owners_stopped);
        self.report_all_listed();
    }

    /// Like [`Self::take_over`], with an event that the new scheduler handles before it knows any worker.
    pub fn take_over_with(&mut self, epoch: u64, earlier_owners_stopped: bool, first: Event) {
        self.replace_scheduler(epoch, earlier_owners_stopped);
        self.send_event(first);
        self.report_all_listed();
    }

    /// Lets time pass without an owner: workers run on, and nobody gets their answers.
    pub fn advance_without_owner(&mut self, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        while self.now < until {
            self.now = self.now + STEP;
            for worker in self.workers.values_mut() {
                worker.work(self.now);
            }
        }
    }

    /// Replaces the scheduler with that of a new owner, which knows no worker yet.
    pub(super) fn replace_scheduler(&mut self, epoch: u64, earlier_owners_stopped: bool) {
        self.batches.clear();
        self.order_answers.clear();
        for worker in self.workers.values_mut() {
            worker.current_poll = None;
            worker.earlier_polls.clear();
        }
        let earlier_renewal = match earlier_owners_stopped {
            true => Duration::ZERO,
            false => MAX_RENEWAL_WITHOUT_STORE,
        };
        let job_with_progress =
            |job: &JobRecord| (job.clone(), self.progress_of(job.id).cloned().collect());
        let ended = self
            .progress
            .values()
            .filter(|progress| !self.jobs.contains_key(&progress.id))
            .cloned();
        let inheritance = InheritedState {
            jobs: self.jobs.values().map(job_with_progress).collect(),
            ended_progress: ended.collect(),
            instances: self.instances.values().cloned().collect(),
            interference: self.effects.clone(),
            earlier_renewal,
            longest_lease: self.longest_lease.map(|lease| Duration::from_millis(lease.max_ms)),
            operator_rows: self.operator_rows.clone(),
        };
        self.scheduler = scheduler(epoch, inheritance, self.now, &self.parts);
        // Its claim is a write of its own.
        self.send_event(Event::OwnershipConfirmed { sent_at: self.now });
    }

    /// Commits the batches that are due. While there are none, an owner writes to confirm its ownership.
    pub(super) fn step_store(&mut self) {
        if !self.store_down && self.batches.is_empty() {
            self.send_event(Event::OwnershipConfirmed { sent_at: self.now });
        }
        while !self.store_down && self.batches.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, batch, records)) = self.batches.pop_front() else { return };
            let refused = records.iter().filter(|record| (self.refuses_record)(record));
            let refused = refused.map(Record::subject).collect::<BTreeSet<_>>();
            for record in records {
                if !refused.contains(&record.subject()) {
                    self.apply_record(record);
                }
            }
            if !refused.is_empty() {
                self.send_event(Event::RecordsRefused(refused.into_iter().collect()));
            }
            self.send_event(Event::Committed(batch));
        }
    }

    /// Applies a record to the contents of the store.
    pub(super) fn apply_record(&mut self, record: Record) {
        match record {
            Record::Job(job) => drop(self.jobs.insert(job.id, job)),
            Record::Progress(progress) => drop(self.progress.insert(progress.key(), progress)),
            Record::RemoveJob(id) => {
                assert!(self.jobs.remove(&id).is_some(), "a dropped row must exist");
            }
            Record::PutInstance(instance) => {
                drop(self.instances.insert(instance.key().to_string(), instance))
            }
            Record::RemoveInstance(instance) => drop(self.instances.remove(&instance.to_string())),
            Record::Effects(effects) => self.effects = effects,
            Record::LongestLease(lease) => self.longest_lease = Some(lease),
            Record::RemoveProgress(key) => drop(self.progress.remove(&key)),
        }
    }

    /// Returns the stored parts of the progress of a job.
    pub fn progress_of(&self, job: JobId) -> impl Iterator<Item = &ProgressRecord> {
        self.progress
            .range(ProgressKey::first(job)..)
            .map(|(_, part)| part)
            .take_while(move |part| part.id == job)
    }
}

/// Panics if the store does not accept a batch: it has too many records, or one of them is too large.
pub(super) fn check_batch(records: &[Record]) {
    assert!(records.len() <= MAX_BATCH_RECORDS, "{} records in a batch", records.len());
    let mut batch_bytes = 0;
    for record in records {
        let json = match record {
            Record::Job(job) => serde_json::to_string(job),
            Record::Progress(progress) => serde_json::to_string(progress),
            Record::PutInstance(instance) => serde_json::to_string(instance),
            Record::Effects(effects) => serde_json::to_string(effects),
            Record::LongestLease(lease) => serde_json::to_string(lease),
            Record::RemoveJob(_) | Record::RemoveInstance(_) | Record::RemoveProgress(_) => {
                continue;
            }
        };
        let row_bytes = json.expect("records can be encoded").len();
        assert!(row_bytes <= MAX_ROW_BYTES, "a row of {row_bytes} bytes");
        batch_bytes += row_bytes * 4 / 3;
    }
    assert!(batch_bytes <= MAX_BATCH_BYTES, "a batch of {batch_bytes} bytes");
}

/// The memory for accepted jobs: that of an owner on a large machine.
const JOB_MEMORY: ByteSize = ByteSize(256_000_000);

/// Creates the scheduler of an owner.
pub(super) fn scheduler(
    epoch: u64,
    inheritance: InheritedState,
    now: Time,
    parts: &LoadParts,
) -> Scheduler {
    let settings = SchedulerSettings {
        max_lease: Duration::from_secs(6),
        ended_job_retention: Duration::from_secs(120),
        worker_heartbeat: Duration::from_millis(1_100),
        parts: parts.clone(),
        job_memory: JOB_MEMORY,
    };
    Scheduler::new(settings, epoch, inheritance, now, CLOCK_ZERO_UNIX_MS + now.as_ms())
}
