//! Handles records that the store permanently refuses, so that they cost their subject and nothing
//! else.

use super::{
    super::{
        end_cause::EndCause,
        event::Action,
        log_entry::LogEntry,
        names::{InstanceKey, JobId},
        progress_key::ProgressKey,
        record::RecordSubject,
    },
    Scheduler,
};

impl Scheduler {
    /// Handles the commit of the batch in flight without the records about some subjects.
    pub(super) fn handle_refused_records(&mut self, subjects: Vec<RecordSubject>) {
        for subject in subjects {
            self.actions.push(Action::Log(LogEntry::RecordRefused { subject: subject.clone() }));
            match subject {
                RecordSubject::Job(id) => self.handle_refused_job(id),
                RecordSubject::Instance(key) => self.handle_refused_instance(&key),
                RecordSubject::LongestLease => {
                    if let Some(batch) = &mut self.pending.in_flight {
                        batch.longest_lease = None;
                    }
                }
                // They are learned again.
                RecordSubject::Effects => {}
            }
        }
    }

    /// Refuses a new job. The records of others are written again later, as the refusal may be a
    /// mistake; if it lasts, the job fails, since a later owner would run its tasks again.
    fn handle_refused_job(&mut self, id: JobId) {
        let Some(batch) = &mut self.pending.in_flight else { return };
        let new_jobs = batch.new_jobs.len();
        batch.new_jobs.retain(|&job| job != id);
        let refused = batch.progress.extract_if(.., |(key, _)| key.job == id);
        let parts = refused.map(|(key, _)| key.part).collect::<Vec<_>>();
        if batch.new_jobs.len() < new_jobs {
            return self.refuse_unsent_job(id, None);
        }
        if parts.is_empty() {
            // Only the deletion of rows that mean nothing any more was refused.
            return;
        }
        self.put_back_starts(id);
        let Some(job) = self.jobs.get(&id) else { return };
        if self.pending.record_refused(job, parts, self.now) && job.is_open() {
            self.end_job(id, EndCause::RecordRefused);
        }
    }

    /// Requests that records are written again which the store refused some time ago.
    pub(super) fn retry_refused_records(&mut self) {
        for (id, parts) in self.pending.take_refused(self.now) {
            match self.jobs.get(&id) {
                Some(job) if job.is_open() => parts
                    .into_iter()
                    .for_each(|part| self.pending.record_progress(ProgressKey { job: id, part })),
                Some(_) => self.pending.record_job_ended(id),
                None => self.pending.forget_refused(id),
            }
        }
    }

    /// Leaves a worker instance without a record, so that no tasks are started there.
    fn handle_refused_instance(&mut self, key: &InstanceKey) {
        let instances = &self.instances;
        if let Some(batch) = &mut self.pending.in_flight {
            batch.instances.retain(|&instance_no| {
                instances.get(instance_no).is_none_or(|instance| instance.entry.key() != *key)
            });
        }
    }
}
