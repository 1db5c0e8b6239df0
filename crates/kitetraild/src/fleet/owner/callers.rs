//! Handles callers' requests to the owner.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_core::jobs::{Event, JobId, JobRequestId};
use tokio::sync::oneshot;

use super::{
    super::{
        Platform,
        calls::{Answer, Call},
    },
    Owner,
};

/// An owner whose last write is older than this does not report a job as unknown: another owner may have
/// taken over the fleet, which happens at least 0.4 s after the last write, and accepted the job. Usually
/// the last write is at most about 300 ms old.
const RECENT_WRITE_LIMIT: Duration = Duration::from_millis(400);

impl<P: Platform> Owner<P> {
    /// Handles a caller's request.
    pub(super) fn handle_call(&mut self, call: Call, reply: oneshot::Sender<Answer>) {
        let request = JobRequestId(self.next_request);
        self.next_request += 1;
        match call {
            Call::Submit { job, queue, spec, answer_by } => {
                self.waiting_callers.insert(request, reply);
                let spec = Box::new(Rc::unwrap_or_clone(spec));
                let time_left = |by: Instant| by.saturating_duration_since(Instant::now());
                let answer_by = answer_by.map(|by| self.shared.clock.now() + time_left(by));
                self.handle(Event::Submit { request, job, queue, spec, answer_by });
            }
            Call::Cancel { job } => {
                self.waiting_callers.insert(request, reply);
                self.handle(Event::Cancel { request, job });
            }
            Call::State { job } => {
                let _ = reply.send(self.state_answer(job));
            }
        }
    }

    /// Returns the answer to a request for the state of a job.
    fn state_answer(&self, job: JobId) -> Answer {
        match self.scheduler.state(job) {
            Some(state) => Answer::State(state),
            None => self.unknown_job_answer(job),
        }
    }

    /// Returns the answer for a job that this owner does not know.
    ///
    /// Each such answer is logged: an accepted job that is later reported as unknown was lost, and the line
    /// shows which owner answered and whether it was sure.
    pub(super) fn unknown_job_answer(&self, job: JobId) -> Answer {
        let confirmed_ago = self.shared.confirmed_owner_ago();
        let sure = confirmed_ago.is_some_and(|ago| ago <= RECENT_WRITE_LIMIT);
        log::info!(
            job = job.to_string(), epoch = self.shared.claimed_epoch(),
            owned_ago_ms:? = confirmed_ago.map(|ago| ago.as_millis()), sure = sure;
            "job: unknown to the owner"
        );
        match sure {
            true => Answer::UnknownJob,
            false => Answer::InDoubt,
        }
    }

    /// Answers a waiting caller, unless it was answered before.
    pub(super) fn reply(&mut self, request: JobRequestId, answer: Answer) {
        if let Some(reply) = self.waiting_callers.remove(&request) {
            let _ = reply.send(answer);
        }
    }
}
