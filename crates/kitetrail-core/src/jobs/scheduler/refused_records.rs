//! Handles records that the store permanently refuses, so that they cost their subject and nothing
//! else.

use super::{
    super::{
        end_cause::EndCause,
        event::Action,
        log_entry::LogEntry,
        names::{InstanceKey, JobId},
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

    /// Refuses a new job, or fails one whose progress can't be stored: a later owner would run its
    /// tasks again.
    fn handle_refused_job(&mut self, id: JobId) {
        let Some(batch) = &mut self.pending.in_flight else { return };
        batch.outcomes.retain(|&(job, _)| job != id);
        let new_jobs = batch.new_jobs.len();
        batch.new_jobs.retain(|&job| job != id);
        if batch.new_jobs.len() < new_jobs {
            self.refuse_unsent_job(id, None);
        } else if self.jobs.get(&id).is_some_and(|job| job.is_open()) {
            self.end_job(id, EndCause::RecordRefused);
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
