//! The records that wait to be persisted, and the batch of them that is in flight.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    iter,
    time::Duration,
};

use super::{
    super::{
        instance::InstanceNo,
        job::Job,
        names::{InstanceKey, JobId},
        progress_key::ProgressKey,
        record::{Outcome, ProgressRecord},
    },
    deferred_starts::DeferredStart,
    instance_rows::InstanceRows,
    refused_progress::RefusedProgress,
    unique_queue::UniqueQueue,
    unpersisted_ends::{ReportedEnd, UnpersistedEnds},
};
use crate::Time;

/// The most entries in a batch. The store accepts 100 per transaction, and the owner's own rows
/// need a few of them.
const MAX_BATCH_ENTRIES: usize = 90;
/// The most entries that a new job takes: its specification and its progress.
const NEW_JOB_ENTRIES: usize = 2;
/// The entries that an ended job takes: its outcome, and the deletion of its specification.
const ENDED_JOB_ENTRIES: usize = 2;
/// The entries reserved in a full batch for each of new jobs, ended jobs and other jobs, so that
/// none of them waits for the others without end: callers wait for the first two, and workers
/// repeat ends until the last are persisted.
const RESERVED_ENTRIES: usize = MAX_BATCH_ENTRIES / 3;
/// The entries reserved for the progress of jobs while callers wait for a slow store: workers retain
/// ends that are not persisted, and callers have no time left.
const RESERVED_PROGRESS_WHILE_SLOW: usize = RESERVED_ENTRIES / 3;
/// The time for a batch from which the store counts as slow: several times as long as usual.
const SLOW_BATCH_TIME: Duration = Duration::from_millis(100);
/// The most entries for workers in a full batch, which go before all others: without these records
/// starts are delayed now, or all inherited jobs after the loss of this owner. The limit leaves
/// some entries to new jobs.
const MAX_WORKER_ENTRIES: usize = 20;
/// The most bytes of new jobs in a batch. The store accepts 1 MB per transaction, in which each
/// byte takes 1.4; half of the rest is left to other records.
const MAX_NEW_JOB_BYTES: usize = 350_000;
/// The bytes of progress in a batch from which no more is added. The last record may exceed it by
/// the size of a row.
const MAX_PROGRESS_BYTES: usize = 150_000;
/// The time after which a store that has not answered a batch counts as stuck, so that jobs are
/// refused at once with a time to retry. A batch usually takes 5 ms, and 300 ms when the store is
/// slow.
const STORE_STUCK_AFTER: Duration = Duration::from_millis(700);
/// The longest time to persist a new job for which it is accepted. Boxes wait 0.9 s for the owner's
/// answer; the rest of that is for the round trip.
const MAX_PERSIST_TIME: Duration = Duration::from_millis(700);

/// The records that wait to be persisted.
#[derive(Debug, Default)]
pub(super) struct PendingRecords {
    new_jobs: UniqueQueue<JobId>,
    /// Jobs that ended. Callers wait for those that they cancelled.
    ended: UniqueQueue<JobId>,
    /// Other new progress.
    ///
    /// The longest waiting job goes first, as in the queues above. In the order of their ids, jobs
    /// with high ids would be passed over for as long as the store lags behind.
    progress: UniqueQueue<ProgressKey>,
    /// The progress of ended jobs to delete. Of each job the first part, which holds the outcome,
    /// goes last.
    progress_to_delete: BTreeSet<(JobId, Reverse<u32>)>,
    instance_rows: InstanceRows,
    refused: RefusedProgress,
    /// The bound of the length of leases that is to be stored before longer ones are granted.
    longest_lease: Option<Duration>,
    /// Whether new jobs get more entries than progress while the store is slow.
    pub(super) prefers_new_jobs: bool,
    /// Whether a record is to be persisted without delay.
    pub(super) urgent: bool,
    unpersisted_ends: UnpersistedEnds,
    /// When the learned effects of images were last persisted.
    pub(super) effects_persisted_at: Time,
    next_batch: u64,
    pub(super) in_flight: Option<Batch>,
    pub(super) last_sent_at: Time,
    /// When the last persisted write was sent. Its commit proves that this owner owned the fleet at
    /// some moment since.
    confirmed_since: Option<Time>,
    /// Whether a batch is needed for its confirmation, even if it is empty.
    pub(super) confirmation_wanted: bool,
    /// How long the last persisted batch took, and when its answer arrived.
    last_batch_time: Duration,
    /// How long the batch before it took.
    previous_batch_time: Duration,
    last_persisted_at: Time,
}

/// A batch in flight, with what is settled once it is persisted.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) number: u64,
    pub(super) new_jobs: Vec<JobId>,
    pub(super) progress: Vec<(ProgressKey, Outcome)>,
    pub(super) instances: Vec<InstanceNo>,
    /// The bound of the length of leases that is stored with the batch.
    pub(super) longest_lease: Option<Duration>,
    /// Starts to order once the batch is persisted.
    pub(super) starts: Vec<DeferredStart>,
}

/// The records of one batch.
#[derive(Debug)]
pub(super) struct BatchRecords {
    pub(super) new_jobs: Vec<JobId>,
    pub(super) instances: Vec<InstanceNo>,
    pub(super) progress: Vec<ProgressRecord>,
    pub(super) ended_instances: Vec<InstanceKey>,
    pub(super) progress_to_delete: Vec<ProgressKey>,
    pub(super) longest_lease: Option<Duration>,
    /// Whether no other records wait to be persisted.
    pub(super) complete: bool,
}

impl PendingRecords {
    /// Takes as many records as fit into a batch, the most urgent first.
    pub(super) fn take_batch(&mut self, now: Time, jobs: &BTreeMap<JobId, Job>) -> BatchRecords {
        let (reserved_for_ended, reserved_for_progress) = self.reserved_entries(now);
        let mut room = MAX_BATCH_ENTRIES;
        let instances = self.instance_rows.take_writes(MAX_WORKER_ENTRIES);
        room -= instances.len();
        let new_jobs =
            self.take_new_jobs(&mut room, reserved_for_ended + reserved_for_progress, jobs);
        // The progress of a new job goes with it, since its caller is told that it is persisted.
        let progress_of_new_jobs = new_jobs.iter().copied().filter(|&id| self.remove_progress(id));
        let progress_of_new_jobs = progress_of_new_jobs.filter_map(|id| jobs.get(&id));
        let mut progress = progress_of_new_jobs.map(|job| job.progress(0)).collect::<Vec<_>>();
        self.take_ended(&mut progress, &mut room, reserved_for_progress, jobs);
        self.take_progress(&mut progress, &mut room, jobs);
        for key in progress.iter().map(ProgressRecord::key) {
            self.progress_to_delete.remove(&deletion(key));
        }
        let ended_instances = self.instance_rows.take_removals(room);
        room -= ended_instances.len();
        let to_delete = iter::from_fn(|| self.progress_to_delete.pop_first()).take(room);
        let progress_to_delete =
            to_delete.map(|(job, Reverse(part))| ProgressKey { job, part }).collect();
        let longest_lease = self.longest_lease.take();
        BatchRecords {
            new_jobs,
            instances,
            progress,
            ended_instances,
            progress_to_delete,
            longest_lease,
            complete: self.is_empty(),
        }
    }

    /// Returns the entries of the next batch that are reserved for ended jobs and for progress.
    fn reserved_entries(&self, now: Time) -> (usize, usize) {
        let is_slow = self.usual_batch_time(now) >= SLOW_BATCH_TIME;
        let most_progress = match self.prefers_new_jobs && is_slow {
            true => RESERVED_PROGRESS_WHILE_SLOW,
            false => RESERVED_ENTRIES,
        };
        let for_ended = (self.ended.len() * ENDED_JOB_ENTRIES).min(RESERVED_ENTRIES);
        (for_ended, self.progress.len().min(most_progress))
    }

    fn take_new_jobs(
        &mut self,
        room: &mut usize,
        reserved: usize,
        jobs: &BTreeMap<JobId, Job>,
    ) -> Vec<JobId> {
        // The sort is stable: jobs without a time keep the order of their submission.
        let mut waiting = self.new_jobs.iter().collect::<Vec<_>>();
        waiting.sort_by_key(|id| jobs.get(id).and_then(|job| job.answer_by));
        let mut waiting = waiting.into_iter();
        let (mut taken, mut bytes) = (Vec::new(), 0);
        while *room >= reserved + NEW_JOB_ENTRIES && bytes < MAX_NEW_JOB_BYTES {
            let Some(first) = waiting.find(|id| self.new_jobs.remove(id)) else { break };
            bytes += jobs.get(&first).map_or(0, |job| job.spec.stored_bytes());
            taken.push(first);
            *room -= NEW_JOB_ENTRIES;
        }
        taken
    }

    fn take_ended(
        &mut self,
        taken: &mut Vec<ProgressRecord>,
        room: &mut usize,
        reserved: usize,
        jobs: &BTreeMap<JobId, Job>,
    ) {
        while *room >= reserved + ENDED_JOB_ENTRIES {
            let Some(first) = self.ended.pop() else { break };
            if let Some(job) = jobs.get(&first) {
                self.take_end(taken, room, job);
            }
        }
    }

    fn take_progress(
        &mut self,
        taken: &mut Vec<ProgressRecord>,
        room: &mut usize,
        jobs: &BTreeMap<JobId, Job>,
    ) {
        let mut bytes = 0;
        while *room >= ENDED_JOB_ENTRIES && bytes < MAX_PROGRESS_BYTES {
            let Some(ProgressKey { job, part }) = self.progress.pop() else { break };
            match jobs.get(&job) {
                Some(job) if job.is_open() => {
                    let progress = job.progress(part);
                    bytes += progress.max_stored_bytes();
                    taken.push(progress);
                    *room -= 1;
                }
                // The end of a job replaces all of its progress.
                Some(job) => self.take_end(taken, room, job),
                None => {}
            }
        }
    }

    /// Takes the end of a job, instead of all of its other progress.
    fn take_end(&mut self, taken: &mut Vec<ProgressRecord>, room: &mut usize, job: &Job) {
        self.ended.remove(&job.id);
        for part in 0..job.parts.count() {
            self.progress.remove(&ProgressKey { job: job.id, part });
        }
        taken.push(job.progress(0));
        *room -= ENDED_JOB_ENTRIES;
    }

    /// Removes a job that was never persisted from those with new progress. Returns whether it was
    /// one of them.
    fn remove_progress(&mut self, id: JobId) -> bool {
        // Not `||`, since the job may be in both queues.
        self.progress.remove(&ProgressKey::first(id)) | self.ended.remove(&id)
    }

    /// Records that a batch is sent, and returns its number.
    pub(super) fn record_sent(&mut self, batch: impl FnOnce(u64) -> Batch, now: Time) -> u64 {
        let number = self.next_batch;
        self.next_batch += 1;
        self.last_sent_at = now;
        self.confirmation_wanted = false;
        self.in_flight = Some(batch(number));
        number
    }

    /// Records that the store has persisted a write of this owner that was sent at `sent_at`.
    pub(super) fn record_confirmation(&mut self, sent_at: Time) {
        self.confirmed_since = self.confirmed_since.max(Some(sent_at));
    }

    /// Returns how long ago the last persisted write was sent, `None` if there is none.
    pub(super) fn confirmed_ago(&self, now: Time) -> Option<Duration> {
        self.confirmed_since.map(|since| now.since(since))
    }

    /// Returns whether the store has confirmed this owner by a write sent at or after `moment`.
    pub(super) fn is_confirmed_since(&self, moment: Time) -> bool {
        self.confirmed_since.is_some_and(|since| since >= moment)
    }

    /// Requests a batch sent at or after `moment`, unless one is in flight.
    pub(super) fn want_confirmation_since(&mut self, moment: Time) {
        let in_flight = self.in_flight.is_some() && self.last_sent_at >= moment;
        self.confirmation_wanted |= !in_flight;
    }

    pub(super) fn add_job(&mut self, id: JobId) {
        self.new_jobs.push(id, self.unpersisted_ends.last_seq());
        self.urgent = true;
    }

    /// Records new progress, to be persisted soon.
    pub(super) fn record_progress(&mut self, key: ProgressKey) {
        let last_end = self.unpersisted_ends.last_seq();
        if !self.refused.defer(key, last_end) {
            self.progress.push(key, last_end);
        }
    }

    /// Records that the store refused the records of a persisted job in the batch in flight, with the
    /// given parts of its progress. Returns whether it has done so for too long to accept them ever.
    pub(super) fn record_refused(&mut self, job: &Job, parts: Vec<u32>, now: Time) -> bool {
        let changed_since = (0..job.parts.count())
            .filter(|&part| self.progress.remove(&ProgressKey { job: job.id, part }));
        let parts = parts.into_iter().chain(changed_since).collect::<Vec<_>>();
        self.refused.record(job.id, parts, self.unpersisted_ends.oldest_seq(), now)
    }

    /// Returns the jobs whose refused records are to be written again now, with the parts of their
    /// progress.
    pub(super) fn take_refused(&mut self, now: Time) -> Vec<(JobId, BTreeSet<u32>)> {
        self.refused.take_due(now)
    }

    /// Records that a part of the progress of a job is persisted.
    pub(super) fn record_persisted(&mut self, key: ProgressKey) {
        self.refused.record_persisted(key);
    }

    /// Forgets that records of a job were refused, since its outcome is persisted.
    pub(super) fn forget_refused(&mut self, id: JobId) {
        self.refused.remove(id);
    }

    /// Records that a start of a task waits until the progress of the task is persisted.
    pub(super) fn record_start(&mut self, key: ProgressKey) {
        self.record_progress(key);
        self.urgent = true;
    }

    /// Records that the job ended, to be persisted without delay.
    pub(super) fn record_job_ended(&mut self, id: JobId) {
        self.ended.push(id, self.unpersisted_ends.last_seq());
        self.urgent = true;
    }

    /// Deletes a part of the progress of a job whose end is persisted.
    pub(super) fn delete_progress(&mut self, key: ProgressKey) {
        self.progress_to_delete.insert(deletion(key));
    }

    /// Keeps the outcome of a job that was about to be deleted and is submitted again: its row is
    /// overwritten instead.
    pub(super) fn cancel_deletion(&mut self, id: JobId) {
        let first = ProgressKey::first(id);
        if self.progress_to_delete.remove(&deletion(first)) {
            self.record_progress(first);
        }
    }

    pub(super) fn add_instance(&mut self, instance_no: InstanceNo, key: &InstanceKey) {
        self.instance_rows.add(instance_no, key);
        self.urgent = true;
    }

    /// Requests that the row of a worker is soon written again.
    pub(super) fn rewrite_instance(&mut self, instance_no: InstanceNo) {
        self.instance_rows.rewrite(instance_no);
    }

    pub(super) fn remove_instance(
        &mut self,
        instance_no: InstanceNo,
        key: InstanceKey,
        is_persisted: bool,
    ) {
        self.instance_rows.remove(instance_no, key, is_persisted);
    }

    /// Requests that a bound of the length of leases is stored, unless it is being stored.
    pub(super) fn store_longest_lease(&mut self, lease: Duration) {
        let in_flight = self.in_flight.as_ref().and_then(|batch| batch.longest_lease);
        if in_flight.is_none_or(|in_flight| in_flight < lease) {
            self.longest_lease = Some(lease);
            self.urgent = true;
        }
    }

    /// Records an end that a worker reported, before the records that it changes.
    pub(super) fn record_end(&mut self, instance_no: InstanceNo, number: u64) {
        self.unpersisted_ends.push(instance_no, number);
    }

    /// Takes out the ends whose changes are all persisted, while no batch is in flight.
    pub(super) fn take_persisted_ends(&mut self) -> Vec<ReportedEnd> {
        debug_assert!(
            self.in_flight.is_none(),
            "the changes of a batch in flight are not persisted yet"
        );
        let waiting = self.ended.oldest().into_iter().chain(self.progress.oldest());
        let oldest = waiting.chain(self.refused.oldest_end()).min();
        self.unpersisted_ends.take_persisted(oldest)
    }

    /// Returns how long ago the batch in flight was sent, if there is one.
    pub(super) fn sent_ago(&self, now: Time) -> Option<Duration> {
        self.in_flight.as_ref().map(|_| now.since(self.last_sent_at))
    }

    /// Takes out the batch in flight, which is persisted, if it has the given number.
    pub(super) fn take_sent(&mut self, number: u64, now: Time) -> Option<Batch> {
        let batch = self.in_flight.take_if(|batch| batch.number == number)?;
        self.previous_batch_time = self.last_batch_time;
        self.last_batch_time = now.since(self.last_sent_at);
        self.record_confirmation(self.last_sent_at);
        self.last_persisted_at = now;
        Some(batch)
    }

    /// Returns the expected time for a batch, as far as it is known.
    ///
    /// The time of the last batch counts only for as long again: an idle fleet sends no other batch
    /// that could show that the store has recovered, and would refuse all jobs from then on.
    fn expected_batch_time(&self, now: Time) -> Duration {
        let batch_time =
            if self.is_batch_time_current(now) { self.last_batch_time } else { Duration::ZERO };
        batch_time.max(self.sent_ago(now).unwrap_or_default())
    }

    fn is_batch_time_current(&self, now: Time) -> bool {
        let next_at = if self.in_flight.is_some() { self.last_sent_at } else { now };
        next_at.since(self.last_persisted_at) < self.last_batch_time
    }

    /// Returns the usual time for a batch, zero if it is not known: the shorter of the last two, as
    /// one that the store left unanswered for seconds says nothing about the next.
    pub(super) fn usual_batch_time(&self, now: Time) -> Duration {
        match self.is_batch_time_current(now) {
            true => self.last_batch_time.min(self.previous_batch_time),
            false => Duration::ZERO,
        }
    }

    /// Returns the number of new jobs in a batch.
    pub(super) fn new_jobs_per_batch(&self, now: Time) -> usize {
        let (for_ended, for_progress) = self.reserved_entries(now);
        (MAX_BATCH_ENTRIES - for_ended - for_progress) / NEW_JOB_ENTRIES
    }

    /// Returns the number of full batches that the waiting new jobs take, at the fewest per batch.
    fn full_batches_of_new_jobs(&self) -> u32 {
        (self.new_jobs.len() / (RESERVED_ENTRIES / NEW_JOB_ENTRIES)) as u32
    }

    /// Returns whether a new job can't be persisted in the time that boxes wait for its answer, by
    /// the recent time for a batch.
    ///
    /// This covers a slow store as well as an owner whose batches wait for processor time: callers
    /// would give up without an answer, and their jobs would run for nobody.
    pub(super) fn would_persist_too_late(&self, lag: Duration, now: Time) -> bool {
        let in_flight = self.sent_ago(now);
        let batch_time = self.expected_batch_time(now);
        let wait_for_in_flight =
            in_flight.map_or(Duration::ZERO, |sent_ago| batch_time.saturating_sub(sent_ago));
        let batches = 1 + self.full_batches_of_new_jobs();
        lag + wait_for_in_flight + batch_time * batches >= MAX_PERSIST_TIME
    }

    /// Returns whether the store has not answered a batch for too long.
    pub(super) fn is_store_stuck(&self, now: Time) -> bool {
        self.sent_ago(now).is_some_and(|sent_ago| sent_ago >= STORE_STUCK_AFTER)
    }

    /// Returns whether new jobs were not sent yet.
    pub(super) fn has_unsent(&self) -> bool {
        !self.new_jobs.is_empty()
    }

    /// Returns the new jobs that were not sent yet.
    pub(super) fn unsent(&self) -> impl Iterator<Item = JobId> {
        self.new_jobs.iter()
    }

    /// Takes back new jobs that were not sent, which are certainly not persisted.
    pub(super) fn take_unsent(&mut self, is_taken: impl Fn(JobId) -> bool) -> Vec<JobId> {
        let mut taken = self.new_jobs.iter().filter(|&id| is_taken(id)).collect::<Vec<_>>();
        taken.retain(|id| self.new_jobs.remove(id));
        for &id in &taken {
            self.remove_progress(id);
        }
        taken
    }

    /// Returns an upper bound of the number of waiting records: one that is in two queues counts
    /// twice.
    pub(super) fn len(&self) -> usize {
        self.new_jobs.len()
            + self.ended.len()
            + self.progress.len()
            + self.progress_to_delete.len()
            + self.instance_rows.len()
            + self.refused.len()
    }

    /// Returns the number of ends whose changes are not all persisted yet.
    pub(super) fn unpersisted_ends(&self) -> usize {
        self.unpersisted_ends.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.new_jobs.is_empty()
            && self.ended.is_empty()
            && self.progress.is_empty()
            && self.progress_to_delete.is_empty()
            && self.instance_rows.is_empty()
            && self.longest_lease.is_none()
    }
}

/// Returns the entry of a part of the progress among those to delete.
fn deletion(key: ProgressKey) -> (JobId, Reverse<u32>) {
    (key.job, Reverse(key.part))
}
