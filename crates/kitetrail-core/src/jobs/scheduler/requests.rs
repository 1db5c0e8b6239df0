//! Handles callers' requests: job submission and cancellation, queue updates, schedules and expiry
//! of old jobs.

use super::{
    super::{
        end_cause::EndCause,
        event::{Action, CancelAnswer, JobRequestId, SubmitAnswer},
        job::Job,
        load_parts::LoadPart,
        log_entry::LogEntry,
        names::JobId,
        progress_key::ProgressKey,
        retry_delay::RetryDelay,
        spec::{JobSpec, QueueTerms},
    },
    Scheduler,
};
use crate::Time;

impl Scheduler {
    /// Accepts a new job, or answers that it is already known or that it can't be accepted.
    pub(super) fn submit(
        &mut self,
        request: JobRequestId,
        id: JobId,
        queue: QueueTerms,
        spec: JobSpec,
        answer_by: Option<Time>,
    ) {
        let answer_by = answer_by.filter(|_| self.settings.parts.has(LoadPart::HandIn));
        let tasks = spec.steps.iter().map(|step| u64::from(step.count)).sum();
        let ended = self.ended_jobs.contains_key(&id);
        let is_known = ended || self.jobs.contains_key(&id);
        let entry =
            LogEntry::Submitted { job: id, queue: queue.name.clone(), tasks, known: is_known };
        self.actions.push(Action::Log(entry));
        match self.jobs.get_mut(&id) {
            _ if ended => self.actions.push(Action::AnswerSubmit(request, SubmitAnswer::Accepted)),
            Some(job) if job.is_persisted => {
                self.actions.push(Action::AnswerSubmit(request, SubmitAnswer::Accepted));
            }
            Some(job) => {
                job.submit_waiters.push(request);
                job.answer_by = job.answer_by.max(answer_by);
            }
            None => match self
                .admit_to_memory(id, &queue, &spec, answer_by)
                .and_then(|()| self.admit(id, answer_by))
            {
                Ok(()) => {
                    let queue = self.newest_terms(queue);
                    let mut job = Job::new(id, queue, spec, self.now, self.unix_ms);
                    job.submit_waiters.push(request);
                    job.answer_by = answer_by;
                    self.insert_job(job);
                    self.pending.add_job(id);
                    self.pending.cancel_deletion(id);
                }
                Err(refused) => self.actions.push(Action::AnswerSubmit(request, refused)),
            },
        }
    }

    /// Returns whether a new job can be accepted, so that a box that waits for the usual time is
    /// answered in time.
    pub(super) fn accepts_jobs(&self) -> bool {
        let lag = self.overload.lag();
        self.overload.accepts_jobs() && !self.pending.would_persist_too_late(lag, self.now)
    }

    /// Cancels a job. The caller is answered once that is persisted.
    pub(super) fn cancel(&mut self, request: JobRequestId, id: JobId) {
        match self.jobs.get_mut(&id) {
            None if self.ended_jobs.contains_key(&id) => {
                self.actions.push(Action::AnswerCancel(request, CancelAnswer::Done));
            }
            None => self.actions.push(Action::AnswerCancel(request, CancelAnswer::Unknown(id))),
            Some(job) => {
                job.cancel_waiters.push(request);
                if job.is_open() {
                    self.end_job(id, EndCause::CancelledByCaller);
                }
            }
        }
    }

    /// Returns the newest known terms of a queue, given those of the box that a caller asked. That
    /// box may have an older configuration than this one, or a newer one.
    fn newest_terms(&self, given: QueueTerms) -> QueueTerms {
        let known = self.queues.get(&given.name);
        let newer = known.filter(|known| known.config_version > given.config_version);
        newer.cloned().unwrap_or(given)
    }

    /// Applies the operators' queue settings, also to open jobs, unless these have newer ones.
    pub(super) fn update_queues(&mut self, queues: Vec<QueueTerms>) {
        self.queues = queues.into_iter().map(|queue| (queue.name.clone(), queue)).collect();
        for job in self.jobs.values_mut().filter(|job| job.is_open()) {
            let queue = self.queues.get(&job.queue.name);
            let is_current = |queue: &&QueueTerms| queue.config_version >= job.queue.config_version;
            if let Some(queue) = queue.filter(is_current) {
                self.open_jobs.remove(&(job.queue.priority, job.due_at, job.id));
                job.queue = queue.clone();
                self.open_jobs.insert((job.queue.priority, job.due_at, job.id));
            }
        }
        self.list_newly_used_services();
        self.placement_needed = true;
    }

    /// Sets the outcome of a job and stops its remaining runs.
    pub(super) fn end_job(&mut self, id: JobId, cause: EndCause) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        self.open_jobs.remove(&(job.queue.priority, job.due_at, id));
        job.outcome = cause.outcome();
        job.ended_unix_ms = Some(self.unix_ms);
        self.actions.push(Action::Log(LogEntry::JobEnded {
            job: id,
            state: cause.state(),
            cause,
            after_ms: self.now.since(job.accepted_at).as_millis() as u64,
            objective_ms: job.objective_ms(),
        }));
        self.pending.record_job_ended(id);
        self.clear_zone_checks(id);
        // All runs of a completed job have ended or are already being stopped.
        if cause != EndCause::Completed {
            self.stop_job_runs(id);
        }
    }

    /// Refuses jobs that were not sent to the store yet if the store does not answer, except those
    /// whose callers' time is known.
    pub(super) fn refuse_unsent_jobs(&mut self) {
        if !self.pending.is_store_stuck(self.now) {
            return;
        }
        let jobs = &self.jobs;
        let has_no_limit = |id| jobs.get(&id).is_none_or(|job| job.answer_by.is_none());
        for id in self.pending.take_unsent(has_no_limit) {
            self.refuse_unsent_job(id, None);
        }
    }

    /// Refuses a job that was taken back before it was sent to the store.
    pub(super) fn refuse_unsent_job(&mut self, id: JobId, retry_after: Option<RetryDelay>) {
        let Some(job) = self.remove_job(id) else { return };
        self.open_jobs.remove(&(job.queue.priority, job.due_at, id));
        let refused = SubmitAnswer::Refused { retry_after };
        let refuse = |request| Action::AnswerSubmit(request, refused);
        self.actions.extend(job.submit_waiters.into_iter().map(refuse));
        let cancelled = |request| Action::AnswerCancel(request, CancelAnswer::Unknown(id));
        self.actions.extend(job.cancel_waiters.into_iter().map(cancelled));
    }

    /// Starts the scheduled occurrences that are due.
    pub(super) fn start_due_occurrences(&mut self) {
        let unix_ms = self.unix_ms;
        let scheduled = |job: &&mut Job| job.is_open() && job.spec.schedule.is_some();
        for job in self.jobs.values_mut().filter(scheduled) {
            while let Some((next, _)) =
                job.next_due_unix_ms().filter(|&(_, due_ms)| due_ms <= unix_ms)
            {
                job.begin(next);
                self.placement_needed = true;
            }
        }
    }

    /// Removes jobs that ended longer ago than the retention time.
    pub(super) fn remove_expired_jobs(&mut self) {
        let remembered_ms = self.settings.ended_job_retention.as_millis() as u64;
        while let Some(&(ended_unix_ms, id)) = self.ended_by_time.first()
            && ended_unix_ms + remembered_ms <= self.unix_ms
        {
            self.ended_by_time.pop_first();
            self.ended_jobs.remove(&id);
            self.pending.delete_progress(ProgressKey::first(id));
        }
    }

    fn stop_job_runs(&mut self, id: JobId) {
        let runs = self.instances.iter().flat_map(|(instance_no, worker)| {
            let of_job = worker.runs().iter().filter(move |(task, _)| task.job == id);
            of_job.map(move |(&task, run)| (instance_no, task, run.run))
        });
        for (instance_no, task, run) in runs.collect::<Vec<_>>() {
            self.stop_run(instance_no, task, run);
        }
    }
}
