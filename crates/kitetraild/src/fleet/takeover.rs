//! Takes over ownership of the fleet, runs the owner, and releases ownership on shutdown.

use std::{
    cell::Cell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_core::{
    Time,
    jobs::{
        EffectsRecord, InheritedState, InstanceRecord, JobId, JobRecord, LeaseRecord, Outcome,
        ProgressRecord, Scheduler, SchedulerSettings,
    },
    succession::{BoxStrength, EarlierOwners},
};
use kitetrail_platform::{
    PlatformError,
    fleet::{RowStore, RowTransaction, TransactionAnswer},
};
use kitetrail_proto::jobs::TakeOverAnswer;
use tokio::{sync::mpsc, task, time};
use tonic::Status;

use super::{
    Platform,
    committer::{Batch, Committer, HEARTBEAT},
    evacuation, operator_rows,
    owner::{Owner, OwnerMessage, OwnershipEnd},
    ownership::STORE_RETRY_DELAY,
    predecessor,
    relief_watch::{self, ReliefWatch},
    rows::{self, HeadRow, OwnerRow},
    scan,
    shared::{OwnerView, Shared},
    workers_watch,
};
use crate::clock::unix_ms;

/// The capacity of the owner's message queue.
const INBOX_CAPACITY: usize = 8_192;
/// The capacity of the writer's batch queue. One is enough: the scheduler creates a batch only
/// after the previous one is committed.
const BATCH_QUEUE_CAPACITY: usize = 1;
/// How long a releasing owner waits for its writer: two heartbeats. Shortly after that, other boxes
/// consider it lost anyway.
const LAST_WRITE_TIMEOUT: Duration = HEARTBEAT.saturating_mul(2);
/// The timeout of the request to the successor to take over. Longer than the successor's own limit
/// for answering.
pub(super) const TAKE_OVER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The owner that is replaced in a takeover.
pub(super) struct Predecessor {
    pub(super) row: OwnerRow,
    pub(super) version: u64,
    /// Whether it certainly renews no more leases.
    pub(super) stopped: bool,
    /// How long after its last write it grants leases of full length.
    pub(super) renew_for: Duration,
}

/// The state that a takeover replaces, with the row versions it depends on.
pub(super) struct Claim {
    pub(super) predecessor: Option<Predecessor>,
    pub(super) head_version: u64,
    /// How long owners before the predecessor may continue to renew leases.
    pub(super) earlier_renew_for: Duration,
}

impl Claim {
    /// Returns the earlier owners, as of a time after the claim was committed.
    fn earlier_owners(&self, now: Time) -> EarlierOwners {
        let last = self.predecessor.as_ref().filter(|predecessor| !predecessor.stopped);
        let last_renews_for = last.map_or(Duration::ZERO, |predecessor| predecessor.renew_for);
        EarlierOwners::new(self.earlier_renew_for, last.is_none(), last_renews_for, now)
    }
}

/// Takes over the fleet, unless another box does so first, and owns it until ownership is lost or released.
pub(super) async fn run_as_owner<P: Platform>(shared: &Rc<Shared<P>>, claim: Claim) {
    let started = Instant::now();
    let (row, version) = match acquire(shared, &claim).await {
        Ok(Some(acquired)) => acquired,
        Ok(None) => return,
        Err(error) => {
            log::warn!("owner: failed to take over the fleet: {error}");
            return time::sleep(STORE_RETRY_DELAY).await;
        }
    };
    let ended = run_owner(shared, &row, version, claim, started).await;
    *shared.owner_inbox.borrow_mut() = None;
    log::info!(epoch = row.epoch, ended:? = ended; "owner: no longer owns the fleet");
}

/// Reads the state that the previous owner left, retrying until it succeeds. Returns `None` if this
/// box is stopping.
async fn load_with_retries<P: Platform>(shared: &Rc<Shared<P>>) -> Option<InheritedState> {
    loop {
        match load(shared).await {
            Ok(inheritance) => return Some(inheritance),
            Err(error) if shared.draining.get() => {
                log::warn!("owner: stopping before the jobs could be read: {error}");
                return None;
            }
            Err(error) => {
                log::warn!("owner: failed to read the jobs: {error}");
                time::sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Runs the owner and its helper tasks until ownership is lost or released.
///
/// The writer runs from the start, also while the stored state is read: successful writes confirm
/// that this box still owns the fleet.
async fn run_owner<P: Platform>(
    shared: &Rc<Shared<P>>,
    row: &OwnerRow,
    head_version: u64,
    claim: Claim,
    started: Instant,
) -> OwnershipEnd {
    let (sender, inbox) = mpsc::channel(INBOX_CAPACITY);
    let (batches, to_write) = mpsc::channel(BATCH_QUEUE_CAPACITY);
    let earlier_owners = Rc::new(Cell::new(claim.earlier_owners(shared.clock.now())));
    let committer = Committer::new(
        Rc::clone(shared),
        row.epoch,
        Rc::clone(&earlier_owners),
        head_version,
        sender.clone(),
    );
    let mut committer = task::spawn_local(committer.run(to_write));
    // The list of workers is read at the same time as the stored state. The scheduler gets it from the inbox.
    let watcher = task::spawn_local(workers_watch::run(Rc::clone(shared), sender.clone()));
    let ended = match load_inheritance(shared).await {
        Some(mut inheritance) => {
            inheritance.earlier_renewal = earlier_owners.get().may_renew_for(shared.clock.now());
            log::info!(
                epoch = row.epoch, jobs = inheritance.jobs.len(), ended = inheritance.ended_progress.len(), lives = inheritance.instances.len(),
                earlier_renew_for_ms = inheritance.earlier_renewal.as_millis() as u64, after_ms = started.elapsed().as_millis() as u64;
                "owner: owns the fleet"
            );
            let watch =
                predecessor::watch(Rc::clone(shared), claim, earlier_owners, sender.clone());
            let watch = task::spawn_local(watch);
            let rows_watch = operator_rows::watch(Rc::clone(shared), sender.clone());
            let rows_watch = task::spawn_local(rows_watch);
            let ended = run_scheduler(shared, row, inheritance, (sender, inbox), batches).await;
            watch.abort();
            rows_watch.abort();
            ended
        }
        None => OwnershipEnd::NotRead,
    };
    watcher.abort();
    match ended {
        OwnershipEnd::Released => {
            // The batch channel is closed, so the writer ends after its current batch.
            let _ = time::timeout(LAST_WRITE_TIMEOUT, &mut committer).await;
            committer.abort();
            let successor = choose_successor(shared);
            release_fleet(shared, row, successor).await;
            if let Some(successor) = successor {
                request_takeover(shared, successor, row.epoch).await;
            }
        }
        OwnershipEnd::LeftTo(successor) => {
            committer.abort();
            request_takeover(shared, successor, row.epoch).await;
        }
        OwnershipEnd::Relieved(successor, pause) => {
            committer.abort();
            relief_watch::request_takeover(shared, successor, row.epoch, pause).await;
        }
        OwnershipEnd::Deposed | OwnershipEnd::NotRead => committer.abort(),
    }
    shared.write_pending_since.set(None);
    shared.confirmed_owner_at.set(None);
    shared.own_lag_ms.set(0);
    shared.metrics.record_evacuated_runs_left(0);
    ended
}

/// Loads the state that the previous owner left and waits until the evacuated zones are known.
/// Returns `None` if this box is stopping.
async fn load_inheritance<P: Platform>(shared: &Rc<Shared<P>>) -> Option<InheritedState> {
    let inheritance = load_with_retries(shared).await?;
    evacuation::wait_until_known(shared).await.then_some(inheritance)
}

/// Runs the scheduler until ownership is lost or released.
async fn run_scheduler<P: Platform>(
    shared: &Rc<Shared<P>>,
    row: &OwnerRow,
    inheritance: InheritedState,
    (sender, inbox): (mpsc::Sender<OwnerMessage>, mpsc::Receiver<OwnerMessage>),
    batches: mpsc::Sender<Batch>,
) -> OwnershipEnd {
    let scheduler = new_scheduler(shared, row.epoch, inheritance);
    *shared.owner_inbox.borrow_mut() = Some(sender.clone());
    shared.adopt_owner(OwnerView { epoch: row.epoch, address: Some(row.address) }, "self");
    let relief = ReliefWatch::new(shared, row.epoch);
    Owner::new(Rc::clone(shared), scheduler, (sender, inbox), batches, relief).run().await
}

/// Returns the best box to own the fleet after this one.
fn choose_successor<P: Platform>(shared: &Shared<P>) -> Option<SocketAddr> {
    shared.candidates.borrow().successors(shared.clock.now()).into_iter().next()
}

/// Asks a box to take over the fleet, now that this one has stopped, and records the new owner.
async fn request_takeover<P: Platform>(shared: &Shared<P>, successor: SocketAddr, epoch: u64) {
    let answer = shared.peers.take_over(successor, epoch, TAKE_OVER_TIMEOUT).await;
    record_takeover(shared, successor, epoch, answer);
}

/// Records the answer of a box that was asked to take over.
pub(super) fn record_takeover<P: Platform>(
    shared: &Shared<P>,
    successor: SocketAddr,
    epoch: u64,
    answer: Result<TakeOverAnswer, Status>,
) {
    let peer = successor.to_string();
    match answer {
        Ok(answer) => {
            log::info!(peer = peer, epoch = epoch, by = answer.epoch; "owner: followed");
            shared.record_reported_owner(answer.epoch, &answer.owner_address);
        }
        Err(status) => {
            log::warn!(
                peer = peer, epoch = epoch;
                "owner: failed to ask a box to take over: {status}"
            );
        }
    }
}

/// Creates the scheduler of an epoch from the state that the previous owner left.
fn new_scheduler<P: Platform>(
    shared: &Rc<Shared<P>>,
    epoch: u64,
    inheritance: InheritedState,
) -> Scheduler {
    let settings = SchedulerSettings {
        max_lease: shared.settings.max_lease,
        ended_job_retention: shared.settings.ended_job_retention,
        worker_heartbeat: shared.settings.worker_heartbeat,
        parts: shared.settings.parts.clone(),
        job_memory: shared.settings.machine.job_memory(),
    };
    let now = shared.clock.now();
    Scheduler::new(settings, epoch, inheritance, now, unix_ms())
}

/// Writes this box as the owner of the fleet to the store. Returns `None` if another box was first.
async fn acquire<P: Platform>(
    shared: &Rc<Shared<P>>,
    claim: &Claim,
) -> Result<Option<(OwnerRow, u64)>, PlatformError> {
    let owner = claim.predecessor.as_ref();
    let (epoch, version) = owner.map_or((0, 0), |owner| (owner.row.epoch, owner.version));
    let strongest = owner.map(|owner| owner.row.strongest).unwrap_or_default();
    let row = new_owner_row(shared, epoch + 1, strongest);
    shared.set_claimed_epoch(row.epoch);
    shared.takeover_requested_epoch.set(0);
    let earlier = claim.earlier_owners(Time::ZERO).may_renew_for(Time::ZERO);
    let head = HeadRow::new(row.epoch, 0, earlier.as_millis() as u64);
    let transaction = RowTransaction {
        expected: vec![
            (rows::owner_row_name(), version),
            (rows::head_row_name(), claim.head_version),
        ],
        puts: vec![
            (rows::owner_row_name(), rows::encode(&row)?),
            (rows::head_row_name(), rows::encode(&head)?),
        ],
        removes: Vec::new(),
    };
    let began_at = shared.clock.now();
    let answer = shared.services.store.transact(&transaction).await;
    shared.record_store_result(&answer);
    match answer? {
        TransactionAnswer::Done { version } => {
            shared.confirmed_owner_at.set(Some(began_at));
            Ok(Some((row, version)))
        }
        TransactionAnswer::Conflict { rows } => {
            // An earlier attempt whose answer was lost may have succeeded.
            let own_write =
                rows.iter().find(|found| rows::decode(found).ok().as_ref() == Some(&row));
            shared.confirmed_owner_at.set(own_write.map(|_| began_at));
            Ok(own_write.map(|found| (row.clone(), found.version)))
        }
    }
}

/// Returns the owner row of this box for an epoch, where `strongest` is the greatest strength of the
/// owners so far.
fn new_owner_row<P: Platform>(shared: &Shared<P>, epoch: u64, strongest: BoxStrength) -> OwnerRow {
    OwnerRow {
        epoch,
        box_name: shared.settings.box_name.clone(),
        incarnation: shared.incarnation,
        address: shared.settings.listen.peers,
        released: false,
        successor: None,
        strongest: strongest.max(shared.settings.strength),
    }
}

/// Writes that the fleet may be taken over at once, by the successor if one is given, otherwise by any box.
async fn release_fleet<P: Platform>(
    shared: &Rc<Shared<P>>,
    row: &OwnerRow,
    successor: Option<SocketAddr>,
) {
    let strongest = shared.candidates.borrow().strongest(shared.clock.now()).max(row.strongest);
    let released = OwnerRow { released: true, successor, strongest, ..row.clone() };
    if let Err(error) = write_release(shared, row, &released).await {
        log::warn!(epoch = row.epoch; "owner: failed to release the fleet: {error}");
    }
}

/// Writes the released row, unless the owner row has changed.
async fn write_release<P: Platform>(
    shared: &Rc<Shared<P>>,
    row: &OwnerRow,
    released: &OwnerRow,
) -> Result<(), PlatformError> {
    let found = rows::read_owner(shared).await?;
    let Some((_, version)) = found.filter(|(found, _)| found.as_ref() == Some(row)) else {
        return Ok(());
    };
    let transaction = RowTransaction {
        expected: vec![(rows::owner_row_name(), version)],
        puts: vec![(rows::owner_row_name(), rows::encode(released)?)],
        removes: Vec::new(),
    };
    shared.services.store.transact(&transaction).await.map(|_| ())
}

/// Reads the state that the previous owner left.
async fn load<P: Platform>(shared: &Rc<Shared<P>>) -> Result<InheritedState, PlatformError> {
    // Read one table after the other, since they share the box's link.
    let instances =
        scan::read_records(shared, rows::INCARNATIONS_TABLE, InstanceRecord::key).await?;
    let progress = scan::read_records(shared, rows::PROGRESS_TABLE, ProgressRecord::key).await?;
    let jobs = scan::read_records(shared, rows::JOBS_TABLE, |job: &JobRecord| job.id).await?;
    let mut progress = progress_by_job(progress);
    let mut inheritance = InheritedState {
        interference: load_effects(shared).await?,
        longest_lease: load_longest_lease(shared).await?,
        operator_rows: operator_rows::load(shared).await?,
        instances,
        ..InheritedState::default()
    };
    for job in jobs {
        if let Err(error) = job.spec.check() {
            log::error!(job = job.id.to_string(); "owner: a job that no box accepts is ignored: {error}");
            continue;
        }
        let mut parts = progress.remove(&job.id).unwrap_or_default();
        parts.retain(|part| is_progress_of(&job, part));
        inheritance.jobs.push((job, parts));
    }
    inheritance.ended_progress = progress.into_values().flatten().collect();
    for unreadable in
        inheritance.ended_progress.iter().filter(|progress| progress.outcome == Outcome::Open)
    {
        log::error!(
            job = unreadable.id.to_string();
            "owner: the specification of an open job can't be read"
        );
    }
    Ok(inheritance)
}

/// Returns whether a job can have made this progress. Other progress is logged: it may name any number of occurrences.
fn is_progress_of(job: &JobRecord, part: &ProgressRecord) -> bool {
    let occurrences = job.spec.occurrences();
    let is_possible = part.done_before <= occurrences
        && part.occurrences.keys().all(|&occurrence| occurrence < occurrences);
    if !is_possible {
        log::error!(key = part.key().to_string(); "owner: progress of other occurrences is ignored");
    }
    is_possible
}

/// Returns the parts of the progress of each job.
fn progress_by_job(parts: Vec<ProgressRecord>) -> BTreeMap<JobId, Vec<ProgressRecord>> {
    let mut by_job = BTreeMap::<_, Vec<_>>::new();
    for part in parts {
        by_job.entry(part.id).or_default().push(part);
    }
    by_job
}

/// Reads what the previous owner learned about images. Returns an empty record if the row can't be
/// decoded, since the scheduler relearns it within seconds.
async fn load_effects<P: Platform>(shared: &Rc<Shared<P>>) -> Result<EffectsRecord, PlatformError> {
    match rows::read_decoded::<_, EffectsRecord>(shared, &rows::effects_row_name()).await {
        Ok(effects) => Ok(effects.map(|(effects, _)| effects).unwrap_or_default()),
        Err(error @ PlatformError::Malformed { .. }) => {
            log::error!(
                "owner: the learned effects of images can't be decoded and are discarded: {error}"
            );
            Ok(EffectsRecord::default())
        }
        Err(error) => Err(error),
    }
}

/// Reads the longest lease that earlier owners granted. If the row can't be decoded, that is the longest one that
/// workers grant.
async fn load_longest_lease<P: Platform>(
    shared: &Rc<Shared<P>>,
) -> Result<Option<Duration>, PlatformError> {
    match rows::read_decoded::<_, LeaseRecord>(shared, &rows::lease_row_name()).await {
        Ok(lease) => Ok(lease.map(|(lease, _)| Duration::from_millis(lease.max_ms))),
        Err(error @ PlatformError::Malformed { .. }) => {
            log::error!("owner: the longest lease of earlier owners can't be decoded: {error}");
            Ok(Some(shared.settings.max_lease))
        }
        Err(error) => Err(error),
    }
}

/// Releases the fleet in an orderly way, if this box owns it.
pub(super) async fn release_if_owner<P: Platform>(shared: &Rc<Shared<P>>) {
    let owner = shared.owner_inbox.borrow().clone();
    if let Some(owner) = owner {
        let _ = owner.send(OwnerMessage::Release).await;
    }
}
