//! Takes callers' requests to the owner and answers them.

use std::rc::Rc;

use std::time::Duration;

use kitetrail_core::jobs::{Event, JobId, RequestNo};
use tokio::sync::oneshot;

use super::{
    super::{
        Platform,
        calls::{Answer, Call},
    },
    Owner,
};

/// An owner that did not write for so long does not say that a job is unknown: another owner may have
/// taken the fleet over meanwhile, which takes 0.4 s at least after the last write, and taken the job.
/// Usually the last write is some 300 ms old at most.
const SURE_WITHIN: Duration = Duration::from_millis(400);

impl<P: Platform> Owner<P> {
    /// Takes a caller's request.
    pub(super) fn call(&mut self, call: Call, reply: oneshot::Sender<Answer>) {
        let request = RequestNo(self.next_request);
        self.next_request += 1;
        match call {
            Call::Submit { job, queue, spec } => {
                self.waiting.insert(request, reply);
                let spec = Box::new(Rc::unwrap_or_clone(spec));
                self.handle(Event::Submit { request, job, queue, spec });
            }
            Call::Cancel { job } => {
                self.waiting.insert(request, reply);
                self.handle(Event::Cancel { request, job });
            }
            Call::State { job } => {
                let _ = reply.send(self.state(job));
            }
        }
    }

    /// How a job stands, as far as this owner can tell.
    fn state(&self, job: JobId) -> Answer {
        match self.scheduler.state(job) {
            Some(state) => Answer::State(state),
            None => self.unknown(job),
        }
    }

    /// What is said of a job that this owner does not know.
    ///
    /// Each denial is a line: a job that was accepted and is denied later was lost, and the line tells
    /// by whom and how sure the owner was.
    pub(super) fn unknown(&self, job: JobId) -> Answer {
        let owned_ago = self.shared.owned_ago();
        let sure = owned_ago.is_some_and(|owned_ago| owned_ago <= SURE_WITHIN);
        log::info!(
            job = job.to_string(), epoch = self.shared.claimed_epoch(),
            owned_ago_ms:? = owned_ago.map(|owned_ago| owned_ago.as_millis()), sure = sure;
            "job: unknown to the owner"
        );
        match sure {
            true => Answer::UnknownJob,
            false => Answer::InDoubt,
        }
    }

    /// Answers a caller who waits, unless it was answered before.
    pub(super) fn reply(&mut self, request: RequestNo, answer: Answer) {
        if let Some(reply) = self.waiting.remove(&request) {
            let _ = reply.send(answer);
        }
    }
}
