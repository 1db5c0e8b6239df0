//! Implements group commit: records that must survive the loss of all boxes go to the store one
//! batch at a time.

use std::{mem, time::Duration};

use super::{
    super::{
        event::{Action, CancelAnswer, SubmitAnswer},
        instance::InstanceNo,
        job::Job,
        names::JobId,
        progress_key::ProgressKey,
        record::{InstanceRecord, LeaseRecord, Outcome, ProgressRecord, Record},
        worker_entry::WorkerEntry,
    },
    Scheduler,
    pending::{Batch, BatchRecords},
};

/// The longest time that ends of runs wait to share a batch. Workers retain them meanwhile.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// The interval at which learned image interference is persisted along with required records. It
/// can be relearned within about ten seconds.
const EFFECTS_PERSIST_INTERVAL: Duration = Duration::from_millis(3_000);

impl Scheduler {
    /// Sends a batch if one is due and none is in flight.
    pub(super) fn commit_if_due(&mut self) {
        if self.pending.in_flight.is_some() {
            return;
        }
        if self.pending.is_empty() {
            // Ends that changed nothing need no record.
            self.acknowledge_persisted_ends();
        }
        let delay_elapsed = self.now.since(self.pending.last_sent_at) >= BATCH_DELAY;
        if self.pending.confirmation_wanted
            || !self.pending.is_empty() && (self.pending.urgent || delay_elapsed)
        {
            self.send_batch();
        }
    }

    /// Handles the confirmation that a batch is persisted.
    pub(super) fn handle_committed(&mut self, number: u64) {
        let Some(batch) = self.pending.take_sent(number, self.now) else { return };
        for &id in &batch.new_jobs {
            self.mark_job_persisted(id);
        }
        for (key, outcome) in batch.progress {
            match outcome {
                Outcome::Open => self.pending.record_persisted(key),
                _ => self.finish_persisted_job(key.job),
            }
        }
        if let Some(lease) = batch.longest_lease {
            self.record_longest_lease_persisted(lease);
        }
        for instance_no in batch.instances {
            self.mark_instance_persisted(instance_no);
        }
        self.send_persisted_starts(batch.starts);
        self.acknowledge_persisted_ends();
        // While room is divided, new jobs wait for the next pass, which places all in order.
        let may_place = self.overload.starts_per_pass() > 0 && !self.is_divided();
        if !batch.new_jobs.is_empty() && may_place {
            let mut pass = self.begin_pass();
            batch.new_jobs.into_iter().for_each(|id| self.place_job(id, &mut pass));
        }
        self.placement_needed = true;
    }

    /// Allows acknowledging the ends of runs whose changes are all persisted.
    fn acknowledge_persisted_ends(&mut self) {
        for end in self.pending.take_persisted_ends() {
            if let Some(instance) = self.instances.get_mut(end.instance) {
                instance.last_end_persisted = instance.last_end_persisted.max(end.number);
            }
        }
    }

    fn mark_job_persisted(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.is_persisted = true;
        let waiters = mem::take(&mut job.submit_waiters);
        let answer = |request| Action::AnswerSubmit(request, SubmitAnswer::Accepted);
        self.actions.extend(waiters.into_iter().map(answer));
    }

    /// Drops a job whose end is persisted; only its outcome is needed from now on.
    fn finish_persisted_job(&mut self, id: JobId) {
        let Some(mut job) = self.remove_job(id) else { return };
        self.deferred_starts.remove_job(id);
        self.pending.forget_refused(id);
        for &part in job.stored_parts.iter().filter(|&&part| part > 0) {
            self.pending.delete_progress(ProgressKey { job: id, part });
        }
        // The job was submitted and cancelled, and its end was persisted before its submission was.
        let submitted = mem::take(&mut job.submit_waiters).into_iter();
        let accepted = |request| Action::AnswerSubmit(request, SubmitAnswer::Accepted);
        self.actions.extend(submitted.map(accepted));
        let answer = |request| Action::AnswerCancel(request, CancelAnswer::Done);
        self.actions.extend(job.cancel_waiters.into_iter().map(answer));
        self.record_ended_job(id, job.outcome, job.ended_unix_ms);
    }

    fn send_batch(&mut self) {
        let mut taken = self.pending.take_batch(self.now, &self.jobs);
        self.mark_instances_sent(&taken.instances);
        for ProgressKey { job, part } in taken.progress.iter().map(ProgressRecord::key) {
            self.jobs.get_mut(&job).map(|job| job.stored_parts.insert(part));
        }
        let progress =
            taken.progress.iter().map(|progress| (progress.key(), progress.outcome)).collect();
        let starts = self.deferred_starts.take(&taken.progress);
        let mut records = self.records(&mut taken);
        if self.now.since(self.pending.effects_persisted_at) >= EFFECTS_PERSIST_INTERVAL {
            self.pending.effects_persisted_at = self.now;
            records.push(Record::Effects(self.tails.export()));
        }
        let complete = taken.complete;
        let BatchRecords { new_jobs, instances, longest_lease, .. } = taken;
        let batch = |number| Batch { number, new_jobs, progress, instances, longest_lease, starts };
        let batch = self.pending.record_sent(batch, self.now);
        self.pending.urgent = !complete;
        self.actions.push(Action::Commit { batch, records });
    }

    /// Returns the store records of a batch. Takes out the progress.
    fn records(&self, taken: &mut BatchRecords) -> Vec<Record> {
        let job = |id: &JobId| self.jobs.get(id);
        let used = |instance: &InstanceNo| {
            let instance = self.instances.get(*instance)?;
            let WorkerEntry { id, incarnation, address, service, .. } = (*instance.entry).clone();
            let not_leased = instance.sent_not_leased;
            Some(Record::PutInstance(InstanceRecord {
                id,
                incarnation,
                address,
                service,
                not_leased,
            }))
        };
        // For a job that has already ended, only its progress is persisted.
        let new_jobs = taken.new_jobs.iter().filter_map(job).filter(|job| job.is_open());
        let progress = mem::take(&mut taken.progress);
        let ended = progress.iter().filter(|progress| progress.outcome != Outcome::Open);
        let ended = ended.filter_map(|progress| job(&progress.id));
        let dropped = ended.filter(|job| job.is_persisted).map(|job| job.id).collect::<Vec<_>>();
        let mut records = Vec::new();
        records.extend(new_jobs.map(Job::record).map(Record::Job));
        records.extend(taken.instances.iter().filter_map(used));
        records.extend(progress.into_iter().map(Record::Progress));
        records.extend(dropped.into_iter().map(Record::RemoveJob));
        records.extend(taken.ended_instances.iter().cloned().map(Record::RemoveInstance));
        records.extend(taken.progress_to_delete.iter().copied().map(Record::RemoveProgress));
        let longest_lease = taken.longest_lease.map(|lease| lease.as_millis() as u64);
        records.extend(longest_lease.map(|max_ms| Record::LongestLease(LeaseRecord { max_ms })));
        records
    }
}
