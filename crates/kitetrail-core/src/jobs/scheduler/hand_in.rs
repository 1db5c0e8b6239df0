//! Applies the decisions about jobs that wait for the store.

use std::time::Duration;

use super::{
    super::{
        event::{Action, SubmitAnswer},
        hand_in::{HandInDecision, HandInForecast},
        job::Job,
        load_parts::LoadPart,
        log_entry::LogEntry,
        names::JobId,
        retry_delay::RetryDelay,
        spec::{JobSpec, QueueTerms},
    },
    Scheduler,
};
use crate::{ByteSize, Time};

impl Scheduler {
    /// Decides whether a new job is accepted. Returns the refusal otherwise.
    pub(super) fn admit(&mut self, id: JobId, answer_by: Option<Time>) -> Result<(), SubmitAnswer> {
        let Some(answer_by) = answer_by else {
            let refused = SubmitAnswer::Refused { retry_after: None };
            return if self.accepts_jobs() { Ok(()) } else { Err(refused) };
        };
        let forecast = self.hand_in_forecast(Some(answer_by));
        let time_left = answer_by.since(self.now);
        let decision = match self.overload.accepts_jobs() {
            true => forecast.decide(time_left, id),
            false => forecast.refuse(time_left, id),
        };
        self.log_hand_in(id, time_left, &forecast, decision, false);
        match decision {
            HandInDecision::Wait | HandInDecision::WaitLast => Ok(()),
            HandInDecision::Refuse(delay) => {
                Err(SubmitAnswer::Refused { retry_after: Some(delay) })
            }
        }
    }

    /// Decides whether there is memory for a new job. Returns the refusal otherwise.
    pub(super) fn admit_to_memory(
        &mut self,
        id: JobId,
        queue: &QueueTerms,
        spec: &JobSpec,
        answer_by: Option<Time>,
    ) -> Result<(), SubmitAnswer> {
        let job_bytes = Job::memory_bytes_of(spec);
        if self.accepted_memory.admits(&queue.name, job_bytes, self.queues.len()) {
            return Ok(());
        }
        self.actions.push(Action::Log(LogEntry::JobMemoryUsedUp {
            job: id,
            queue: queue.name.clone(),
            job_size: ByteSize(job_bytes as u64),
            used: self.accepted_memory.used(),
            capacity: self.accepted_memory.capacity(),
        }));
        let time_left = answer_by.map(|answer_by| answer_by.since(self.now));
        let retry_after = time_left.map(|left| RetryDelay::choose(Duration::ZERO, left, id));
        Err(SubmitAnswer::Refused { retry_after })
    }

    /// Refuses waiting jobs that can't be persisted in time any more, or whose callers had better
    /// return later.
    pub(super) fn review_waiting_jobs(&mut self) {
        if !self.pending.has_unsent() {
            return;
        }
        let forecast = self.hand_in_forecast(None);
        let review = |id: JobId| {
            let time_left = self.jobs.get(&id)?.answer_by?.since(self.now);
            match forecast.review(time_left, id) {
                HandInDecision::Wait | HandInDecision::WaitLast => None,
                HandInDecision::Refuse(delay) => Some((id, time_left, delay)),
            }
        };
        for (id, time_left, delay) in self.pending.unsent().filter_map(review).collect::<Vec<_>>() {
            for id in self.pending.take_unsent(|unsent| unsent == id) {
                let decision = HandInDecision::Refuse(delay);
                self.log_hand_in(id, time_left, &forecast, decision, true);
                self.refuse_unsent_job(id, Some(delay));
            }
        }
    }

    /// Returns the forecast for a job whose answer is of use until `answer_by`, or for the first of
    /// those that wait.
    fn hand_in_forecast(&self, answer_by: Option<Time>) -> HandInForecast {
        let goes_before = |id: &JobId| {
            let job = self.jobs.get(id);
            answer_by.is_some() && job.is_some_and(|job| job.answer_by <= answer_by)
        };
        let jobs_before = self.pending.unsent().filter(goes_before).count();
        let batches_before = jobs_before / self.pending.new_jobs_per_batch(self.now);
        HandInForecast {
            lag: self.overload.lag(),
            batch_time: self.pending.usual_batch_time(self.now),
            in_flight_for: self.pending.sent_ago(self.now),
            batches_before: batches_before as u32,
            refuses_while_silent: self.settings.parts.has(LoadPart::QuickRefusal),
        }
    }

    fn log_hand_in(
        &mut self,
        job: JobId,
        time_left: Duration,
        forecast: &HandInForecast,
        decision: HandInDecision,
        waited: bool,
    ) {
        self.actions.push(Action::Log(LogEntry::HandIn {
            job,
            time_left_ms: time_left.as_millis() as u64,
            expected_ms: forecast.expected_time().as_millis() as u64,
            decision,
            waited,
        }));
    }
}
