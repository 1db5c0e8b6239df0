//! Forwards callers' requests to the owner of the fleet, in this process or in another box.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_core::jobs::{
    JobId, JobSpec, JobState, Outcome, ProgressRecord, QueueTerms, RetryDelay,
};
use kitetrail_platform::fleet::{RowName, RowStore, StoredRow};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use super::{Platform, call_times::CallTimes, owner::OwnerMessage, rows, shared::Shared};

/// The delay before the owner is called again, unless another owner becomes known earlier.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// The time after which a job's state is read from the store if the owner has not answered.
const STATE_FALLBACK_AFTER: Duration = Duration::from_millis(300);

/// A caller's request to the owner.
#[derive(Debug, Clone)]
pub(super) enum Call {
    /// Submits a job. The owner may use the caller's time until `answer_by`, if it is given.
    Submit { job: JobId, queue: QueueTerms, spec: Rc<JobSpec>, answer_by: Option<Instant> },
    /// Cancels a job.
    Cancel { job: JobId },
    /// Queries a job's state.
    State { job: JobId },
}

impl Call {
    /// Returns the time that the owner may use to answer, if the call limits it.
    pub(super) fn time_left(&self) -> Option<Duration> {
        match self {
            Self::Submit { answer_by, .. } => {
                answer_by.map(|by| by.saturating_duration_since(Instant::now()))
            }
            Self::Cancel { .. } | Self::State { .. } => None,
        }
    }
}

/// The owner's answer to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Answer {
    /// The job is stored.
    Accepted,
    /// The job is cancelled, or had already ended.
    Cancelled,
    /// No job has this id.
    UnknownJob,
    /// The job's state.
    State(JobState),
    /// The owner can't accept the job. The call had no effect and will have none. Its caller is asked
    /// to return after a time, if the owner gives one.
    Refused(Option<RetryDelay>),
    /// No owner of the fleet was found. The call had no effect.
    NotRun,
    /// The call may have taken effect.
    InDoubt,
    /// The called box does not own the fleet. The call had no effect.
    NotOwner,
}

/// Forwards a call to the owner until it is answered or its time is over.
pub(super) async fn call_owner<P: Platform>(
    shared: &Rc<Shared<P>>,
    call: Call,
    times: CallTimes,
) -> Answer {
    let started = Instant::now();
    let mut in_doubt = false;
    loop {
        let now = Instant::now();
        let times = shared.stop_limit().map_or(times, |end| times.ending_by(end));
        if times.time_left(now).is_zero() || !in_doubt && times.gives_up_search(now) {
            return if in_doubt { Answer::InDoubt } else { Answer::NotRun };
        }
        let attempt = tokio::select! {
            answer = attempt_until_owner_changes(shared, &call, times.attempt_timeout(now)) => answer,
            () = shared.stop_limit_reached() => Answer::InDoubt,
        };
        match attempt {
            Answer::NotOwner | Answer::NotRun => {}
            Answer::InDoubt => in_doubt = true,
            Answer::UnknownJob if let Call::State { job } = call => {
                return confirm_unknown(shared, job).await;
            }
            // An earlier attempt may still take effect.
            Answer::Refused(_) if in_doubt => return Answer::InDoubt,
            answer => return answer,
        }
        if let Call::State { job } = &call
            && started.elapsed() >= STATE_FALLBACK_AFTER
            && let Some(answer) = read_state_from_store(shared, *job).await
        {
            return answer;
        }
        let owner_change = shared.owner_changed.notified();
        let delay = times.time_left(Instant::now()).min(RETRY_DELAY);
        let _ = time::timeout(delay, owner_change).await;
    }
}

/// Calls the owner once and stops waiting when another owner becomes known.
async fn attempt_until_owner_changes<P: Platform>(
    shared: &Rc<Shared<P>>,
    call: &Call,
    timeout: Duration,
) -> Answer {
    let owner_change = shared.owner_changed.notified();
    tokio::select! {
        answer = attempt_call(shared, call, timeout) => answer,
        () = owner_change => Answer::InDoubt,
    }
}

/// Calls the owner once, in this box or in another one.
async fn attempt_call<P: Platform>(
    shared: &Rc<Shared<P>>,
    call: &Call,
    timeout: Duration,
) -> Answer {
    let local = shared.owner_inbox.borrow().clone();
    let owner = shared.owner();
    let (answer, epoch, source) = match (local, owner.address) {
        (Some(owner), _) => {
            let epoch = shared.claimed_epoch();
            let answer = call_local_owner(owner, call.clone(), timeout).await;
            (answer, epoch, shared.settings.listen.peers.to_string())
        }
        (None, Some(address)) if address != shared.settings.listen.peers => {
            let (answer, view) = shared.peers.call(address, call, timeout).await;
            shared.record_reported_view(view);
            (answer, view.epoch, address.to_string())
        }
        _ => return Answer::NotRun,
    };
    if let Call::State { job } = call {
        log_if_failed(*job, answer, epoch, &source);
    }
    answer
}

/// Logs that a job is shown to a caller as failed. The owner's log says why it failed.
///
/// `epoch` is the one of the owner that is known to the source: the address of the owner that answered,
/// or `store` if this box read the row itself.
fn log_if_failed(job: JobId, answer: Answer, epoch: u64, source: &str) {
    if answer == Answer::State(JobState::Failed) {
        log::info!(
            job = job.to_string(), epoch = epoch, source = source;
            "job: shown as failed"
        );
    }
}

/// Calls the owner in this process.
pub(super) async fn call_local_owner(
    owner: mpsc::Sender<OwnerMessage>,
    call: Call,
    timeout: Duration,
) -> Answer {
    let (reply, answer) = oneshot::channel();
    if owner.try_send(OwnerMessage::Call(call, reply)).is_err() {
        return Answer::NotRun;
    }
    match time::timeout(timeout, answer).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) | Err(_) => Answer::InDoubt,
    }
}

/// Returns the answer for a job that the owner does not know, after a check in the store.
///
/// The owner read its jobs from the store at its takeover. A fault on that path must not deny an
/// accepted job. Queries for unknown jobs are rare, so the extra reads cost little.
async fn confirm_unknown<P: Platform>(shared: &Rc<Shared<P>>, job: JobId) -> Answer {
    match read_state_from_store(shared, job).await {
        Some(Answer::UnknownJob) => Answer::UnknownJob,
        Some(persisted) => {
            log::error!(
                job = job.to_string(), epoch = shared.owner().epoch, state:? = persisted;
                "job: persisted, but unknown to the owner"
            );
            persisted
        }
        None => Answer::InDoubt,
    }
}

/// Returns a job's state from the store, `None` if the store can't be read.
async fn read_state_from_store<P: Platform>(shared: &Rc<Shared<P>>, job: JobId) -> Option<Answer> {
    let answer = read_state(shared, job).await?;
    log_if_failed(job, answer, shared.owner().epoch, "store");
    Some(answer)
}

async fn read_state<P: Platform>(shared: &Rc<Shared<P>>, job: JobId) -> Option<Answer> {
    let name = job.to_string();
    let progress = read_row(shared, &rows::progress_row_name(&name)).await?;
    if let Some(progress) = progress {
        return state_from_progress(&progress);
    }
    if read_row(shared, &rows::job_row_name(&name)).await?.is_some() {
        return Some(Answer::State(JobState::Queued));
    }
    // The job may have ended between the two reads: its progress row is written as its job row
    // is deleted.
    match read_row(shared, &rows::progress_row_name(&name)).await? {
        Some(progress) => state_from_progress(&progress),
        None => {
            log::info!(job = name, epoch = shared.owner().epoch; "job: unknown to the store");
            Some(Answer::UnknownJob)
        }
    }
}

/// Reads a row. Returns `Some(None)` if it is absent and `None` if the store can't be read.
async fn read_row<P: Platform>(
    shared: &Rc<Shared<P>>,
    name: &RowName,
) -> Option<Option<StoredRow>> {
    let row = shared.services.store.read(name).await;
    shared.record_store_result(&row);
    row.ok()
}

/// Returns a job's state from its progress row.
fn state_from_progress(row: &StoredRow) -> Option<Answer> {
    let progress = rows::decode::<ProgressRecord>(row);
    let progress = progress.inspect_err(|error| log::error!("store: a row can't be read: {error}"));
    Some(Answer::State(match progress.ok()?.outcome {
        Outcome::Open => JobState::Running,
        Outcome::Completed => JobState::Completed,
        Outcome::Failed => JobState::Failed,
        Outcome::Cancelled => JobState::Cancelled,
    }))
}

#[cfg(test)]
mod tests;
