//! Callers' requests on their way to the owner of the fleet, wherever it is.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_core::jobs::{JobId, JobSpec, JobState, Outcome, ProgressRecord, QueueTerms};
use kitetrail_platform::fleet::{RowName, RowStore, StoredRow};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use super::{Platform, owner::OwnerMessage, rows, shared::Shared};

/// How long to wait before the owner is asked again, if nothing is heard of another one.
const RETRY: Duration = Duration::from_millis(60);
/// How long one try may take. The owner answers within some 20 ms if the store does.
const TRY: Duration = Duration::from_millis(900);
/// How long to wait for the owner before a job's state is read from the store instead.
const STATE_FALLBACK: Duration = Duration::from_millis(300);

/// What a caller wants of the owner.
#[derive(Debug, Clone)]
pub(super) enum Call {
    /// Take a job.
    Submit { job: JobId, queue: QueueTerms, spec: Rc<JobSpec> },
    /// Cancel a job.
    Cancel { job: JobId },
    /// Tell a job's state.
    State { job: JobId },
}

/// What the owner says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Answer {
    /// The job is kept.
    Accepted,
    /// The job is cancelled, or had ended.
    Cancelled,
    /// There is no such job.
    UnknownJob,
    /// How the job stands.
    State(JobState),
    /// The owner can't keep it. Nothing was done, nor will be.
    Refused,
    /// Nobody was found who owns the fleet. Nothing was done.
    NotRun,
    /// It may have been done.
    InDoubt,
    /// The asked box does not own the fleet. Nothing was done.
    NotOwner,
}

/// Brings a call to the owner and its answer back, or gives up.
pub(super) async fn answer<P: Platform>(
    shared: &Rc<Shared<P>>,
    call: Call,
    give_up_at: Instant,
) -> Answer {
    let started = Instant::now();
    let mut in_doubt = false;
    loop {
        let left = give_up_at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return if in_doubt { Answer::InDoubt } else { Answer::NotRun };
        }
        let answered = try_while_owner_stays(shared, &call, left.min(TRY)).await;
        match answered {
            Answer::NotOwner | Answer::NotRun => {}
            Answer::InDoubt => in_doubt = true,
            Answer::UnknownJob if let Call::State { job } = call => {
                return confirm_unknown(shared, job).await;
            }
            // An earlier try may be kept still.
            Answer::Refused if in_doubt => return Answer::InDoubt,
            answer => return answer,
        }
        if let Call::State { job } = &call
            && started.elapsed() >= STATE_FALLBACK
            && let Some(answer) = read_state(shared, *job).await
        {
            return answer;
        }
        let changed = shared.owner_changed.notified();
        let _ = time::timeout(RETRY.min(left), changed).await;
    }
}

/// Asks the owner once, and gives up when another owner is believed in.
async fn try_while_owner_stays<P: Platform>(
    shared: &Rc<Shared<P>>,
    call: &Call,
    within: Duration,
) -> Answer {
    let changed = shared.owner_changed.notified();
    tokio::select! {
        answer = try_once(shared, call, within) => answer,
        () = changed => Answer::InDoubt,
    }
}

/// Asks the owner once, in this box or in another one.
async fn try_once<P: Platform>(shared: &Rc<Shared<P>>, call: &Call, within: Duration) -> Answer {
    let local = shared.local_owner.borrow().clone();
    let owner = shared.owner();
    match (local, owner.address) {
        (Some(owner), _) => ask_local(owner, call.clone(), within).await,
        (None, Some(address)) if address != shared.settings.listen.peers => {
            let (answer, view) = shared.peers.call(address, call, within).await;
            shared.note_told_view(view);
            answer
        }
        _ => Answer::NotRun,
    }
}

/// Asks the owner in this process.
pub(super) async fn ask_local(
    owner: mpsc::Sender<OwnerMessage>,
    call: Call,
    within: Duration,
) -> Answer {
    let (reply, answer) = oneshot::channel();
    if owner.try_send(OwnerMessage::Call(call, reply)).is_err() {
        return Answer::NotRun;
    }
    match time::timeout(within, answer).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) | Err(_) => Answer::InDoubt,
    }
}

/// What is said of a job that the owner does not know: it is denied only if the store denies it too.
///
/// What an owner knows was read from the store when it took over; a fault on that way must not lose
/// an accepted job. Few ask for jobs that nobody knows.
async fn confirm_unknown<P: Platform>(shared: &Rc<Shared<P>>, job: JobId) -> Answer {
    match read_state(shared, job).await {
        Some(Answer::UnknownJob) => Answer::UnknownJob,
        Some(kept) => {
            log::error!(
                job = job.to_string(), epoch = shared.owner().epoch, state:? = kept;
                "job: kept, and unknown to the owner"
            );
            kept
        }
        None => Answer::InDoubt,
    }
}

/// What the store says of a job, while no owner answers.
async fn read_state<P: Platform>(shared: &Rc<Shared<P>>, job: JobId) -> Option<Answer> {
    let name = job.to_string();
    let progress = read_row(shared, &rows::progress_row(&name)).await?;
    if let Some(progress) = progress {
        return state_of(&progress);
    }
    if read_row(shared, &rows::job_row(&name)).await?.is_some() {
        return Some(Answer::State(JobState::Queued));
    }
    // It may have ended between the two: then its progress came as the other row went.
    match read_row(shared, &rows::progress_row(&name)).await? {
        Some(progress) => state_of(&progress),
        None => {
            log::info!(job = name, epoch = shared.owner().epoch; "job: unknown to the store");
            Some(Answer::UnknownJob)
        }
    }
}

/// A row, `None` in it if it is absent; `None` if the store does not tell.
async fn read_row<P: Platform>(
    shared: &Rc<Shared<P>>,
    name: &RowName,
) -> Option<Option<StoredRow>> {
    let row = shared.services.store.read(name).await;
    shared.note_store(&row);
    row.ok()
}

/// What the row that holds a job's progress says of it.
fn state_of(row: &StoredRow) -> Option<Answer> {
    let progress = rows::decode::<ProgressRecord>(row);
    let progress = progress.inspect_err(|error| log::error!("store: a row can't be read: {error}"));
    Some(Answer::State(match progress.ok()?.outcome {
        Outcome::Open => JobState::Running,
        Outcome::Completed => JobState::Completed,
        Outcome::Failed => JobState::Failed,
        Outcome::Cancelled => JobState::Cancelled,
    }))
}
