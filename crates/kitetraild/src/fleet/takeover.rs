//! Takes the fleet over, owns it, and gives it up in order.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_core::{
    Time,
    jobs::{EffectsRecord, Inheritance, Outcome, ProgressRecord, Scheduler, SchedulerSettings},
    succession::{BoxStrength, EarlierOwners},
};
use kitetrail_platform::{
    PlatformError,
    fleet::{RowStore, RowTransaction, TransactionAnswer},
};
use tokio::{sync::mpsc, task, time};

use super::{
    Platform,
    committer::{Batch, Committer, HEARTBEAT},
    evacuation,
    owner::{Ended, Owner, OwnerMessage, WITHOUT_STORE},
    ownership::RETRY,
    predecessor,
    rows::{self, HeadRow, OwnerRow},
    scan,
    shared::{OwnerView, Shared},
    workers_watch,
};
use crate::clock::unix_ms;

/// How many messages to the owner may wait.
const INBOX: usize = 8_192;
/// How many batches may wait for the writer: the scheduler makes the next one after an answer.
const BATCHES: usize = 1;
/// How long an owner that gives the fleet up waits for its writer: two heartbeats. A little later
/// other boxes take it for lost anyway.
const LAST_WRITE_LIMIT: Duration = HEARTBEAT.saturating_mul(2);
/// How long the box that follows may take to say so. Longer than it takes itself.
const FOLLOW_LIMIT: Duration = Duration::from_millis(1_000);

/// The owner that a takeover replaces.
pub(super) struct Predecessor {
    pub(super) row: OwnerRow,
    pub(super) version: u64,
    /// It certainly renews no leases any more.
    pub(super) stopped: bool,
}

/// What a takeover replaces: rows with their versions.
pub(super) struct Claim {
    pub(super) predecessor: Option<Predecessor>,
    pub(super) head_version: u64,
    /// How long owners before the predecessor may go on to renew leases.
    pub(super) earlier_renew_for: Duration,
}

impl Claim {
    /// The owners before, as of a moment after the claim was kept.
    fn earlier_owners(&self, now: Time) -> EarlierOwners {
        let stopped = self.predecessor.as_ref().is_none_or(|it| it.stopped);
        EarlierOwners::new(self.earlier_renew_for, stopped, WITHOUT_STORE, now)
    }
}

/// Takes the fleet over, if nobody else is quicker, and owns it until it is lost or given up.
pub(super) async fn own<P: Platform>(shared: &Rc<Shared<P>>, claim: Claim) {
    let started = Instant::now();
    let (row, version) = match take(shared, &claim).await {
        Ok(Some(taken)) => taken,
        Ok(None) => return,
        Err(error) => {
            log::warn!("owner: the fleet can't be taken over: {error}");
            return time::sleep(RETRY).await;
        }
    };
    let ended = serve(shared, &row, version, claim, started).await;
    *shared.local_owner.borrow_mut() = None;
    log::info!(epoch = row.epoch, ended:? = ended; "owner: owns the fleet no more");
}

/// Reads what the owner before has left, however often that fails; `None` if this box is stopping.
async fn load_until_read<P: Platform>(shared: &Rc<Shared<P>>) -> Option<Inheritance> {
    loop {
        match load(shared).await {
            Ok(inheritance) => return Some(inheritance),
            Err(error) if shared.draining.get() => {
                log::warn!("owner: stops before it could read the jobs: {error}");
                return None;
            }
            Err(error) => {
                log::warn!("owner: the jobs can't be read: {error}");
                time::sleep(RETRY).await;
            }
        }
    }
}

/// Runs the owner and its helpers until the fleet is lost or given up.
///
/// It writes from the start, also while it reads what was kept: the store's answers tell it that it owns the fleet still.
async fn serve<P: Platform>(
    shared: &Rc<Shared<P>>,
    row: &OwnerRow,
    head_version: u64,
    claim: Claim,
    started: Instant,
) -> Ended {
    let (sender, inbox) = mpsc::channel(INBOX);
    let (batches, to_write) = mpsc::channel(BATCHES);
    let earlier_owners = Rc::new(Cell::new(claim.earlier_owners(shared.clock.now())));
    let committer = Committer::new(
        Rc::clone(shared),
        row.epoch,
        Rc::clone(&earlier_owners),
        head_version,
        sender.clone(),
    );
    let mut committer = task::spawn_local(committer.run(to_write));
    let ended = match inherit(shared).await {
        Some(mut inheritance) => {
            inheritance.leases_renewed_for = earlier_owners.get().may_renew_for(shared.clock.now());
            log::info!(
                epoch = row.epoch, jobs = inheritance.jobs.len(), ended = inheritance.ended.len(), lives = inheritance.lives.len(),
                earlier_renew_for_ms = inheritance.leases_renewed_for.as_millis() as u64, after_ms = started.elapsed().as_millis() as u64;
                "owner: owns the fleet"
            );
            let watch =
                predecessor::watch(Rc::clone(shared), claim, earlier_owners, sender.clone());
            let watch = task::spawn_local(watch);
            let ended = decide(shared, row, inheritance, (sender, inbox), batches).await;
            watch.abort();
            ended
        }
        None => Ended::NotRead,
    };
    match ended {
        Ended::Released => {
            // The batches' channel is closed: the writer ends after what it has in hand.
            let _ = time::timeout(LAST_WRITE_LIMIT, &mut committer).await;
            committer.abort();
            let successor = successor(shared);
            release(shared, row, successor).await;
            if let Some(successor) = successor {
                ask_to_follow(shared, successor, row.epoch).await;
            }
        }
        Ended::LeftTo(successor) => {
            committer.abort();
            ask_to_follow(shared, successor, row.epoch).await;
        }
        Ended::Deposed | Ended::NotRead => committer.abort(),
    }
    shared.writes_since.set(None);
    shared.owned_at.set(None);
    shared.own_lag_ms.set(0);
    shared.metrics.note_evacuated_runs_left(0);
    ended
}

/// What the owner before has left, once all that an owner has to know is known; `None` if this box is stopping.
async fn inherit<P: Platform>(shared: &Rc<Shared<P>>) -> Option<Inheritance> {
    let inheritance = load_until_read(shared).await?;
    evacuation::until_known(shared).await.then_some(inheritance)
}

/// Decides for the fleet until it is lost or given up.
async fn decide<P: Platform>(
    shared: &Rc<Shared<P>>,
    row: &OwnerRow,
    inheritance: Inheritance,
    (sender, inbox): (mpsc::Sender<OwnerMessage>, mpsc::Receiver<OwnerMessage>),
    batches: mpsc::Sender<Batch>,
) -> Ended {
    let scheduler = scheduler(shared, row.epoch, inheritance);
    let watcher = task::spawn_local(workers_watch::run(Rc::clone(shared), sender.clone()));
    *shared.local_owner.borrow_mut() = Some(sender.clone());
    shared.offer_owner(OwnerView { epoch: row.epoch, address: Some(row.address) }, "self");
    let ended = Owner::new(Rc::clone(shared), scheduler, (sender, inbox), batches).run().await;
    watcher.abort();
    ended
}

/// The best box to follow this one.
fn successor<P: Platform>(shared: &Shared<P>) -> Option<SocketAddr> {
    shared.candidates.borrow().successors(shared.clock.now()).into_iter().next()
}

/// Asks a box to own the fleet, now that this one has stopped, and learns whether it does.
async fn ask_to_follow<P: Platform>(shared: &Shared<P>, successor: SocketAddr, epoch: u64) {
    let peer = successor.to_string();
    match shared.peers.take_over(successor, epoch, FOLLOW_LIMIT).await {
        Ok(answer) => {
            log::info!(peer = peer, epoch = epoch, by = answer.epoch; "owner: followed");
            shared.note_told_owner(answer.epoch, &answer.owner_address);
        }
        Err(status) => {
            log::warn!(peer = peer, epoch = epoch; "owner: can't ask a box to follow: {status}");
        }
    }
}

/// The scheduler of an epoch, with what the owner before has left.
fn scheduler<P: Platform>(
    shared: &Rc<Shared<P>>,
    epoch: u64,
    inheritance: Inheritance,
) -> Scheduler {
    let settings = SchedulerSettings {
        longest_lease: shared.settings.longest_lease,
        remember_ended: shared.settings.remember_ended,
        worker_heartbeat: shared.settings.worker_heartbeat,
    };
    let now = shared.clock.now();
    Scheduler::new(settings, epoch, inheritance, now, unix_ms())
}

/// Writes that this box owns the fleet. `None`: somebody else was quicker.
async fn take<P: Platform>(
    shared: &Rc<Shared<P>>,
    claim: &Claim,
) -> Result<Option<(OwnerRow, u64)>, PlatformError> {
    let owner = claim.predecessor.as_ref();
    let (epoch, version) = owner.map_or((0, 0), |it| (it.row.epoch, it.version));
    let strongest = owner.map(|it| it.row.strongest).unwrap_or_default();
    let row = own_row(shared, epoch + 1, strongest);
    shared.claim_epoch(row.epoch);
    shared.asked_to_follow.set(0);
    let earlier = claim.earlier_owners(Time::ZERO).may_renew_for(Time::ZERO);
    let earlier_renew_for_ms = Some(earlier.as_millis() as u64);
    let head = HeadRow { epoch: row.epoch, write: 0, earlier_renew_for_ms };
    let transaction = RowTransaction {
        expected: vec![(rows::owner_row(), version), (rows::head_row(), claim.head_version)],
        puts: vec![
            (rows::owner_row(), rows::encode(&row)?),
            (rows::head_row(), rows::encode(&head)?),
        ],
        removes: Vec::new(),
    };
    let began_at = shared.clock.now();
    let answer = shared.services.store.transact(&transaction).await;
    shared.note_store(&answer);
    match answer? {
        TransactionAnswer::Done { version } => {
            shared.owned_at.set(Some(began_at));
            Ok(Some((row, version)))
        }
        TransactionAnswer::Conflict { rows } => {
            // An earlier try, whose answer was lost, may have done it.
            let ours = rows.iter().find(|it| rows::decode(it).ok().as_ref() == Some(&row));
            shared.owned_at.set(ours.map(|_| began_at));
            Ok(ours.map(|it| (row.clone(), it.version)))
        }
    }
}

/// This box as the owner of an epoch, after owners of the given strength at most.
fn own_row<P: Platform>(shared: &Shared<P>, epoch: u64, strongest: BoxStrength) -> OwnerRow {
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

/// Writes that the fleet may be taken over at once, by a box or by any.
async fn release<P: Platform>(
    shared: &Rc<Shared<P>>,
    row: &OwnerRow,
    successor: Option<SocketAddr>,
) {
    let strongest = shared.candidates.borrow().strongest(shared.clock.now()).max(row.strongest);
    let released = OwnerRow { released: true, successor, strongest, ..row.clone() };
    if let Err(error) = write_release(shared, row, &released).await {
        log::warn!(epoch = row.epoch; "owner: can't say that the fleet is free: {error}");
    }
}

/// Writes that, unless another owner is named there by now.
async fn write_release<P: Platform>(
    shared: &Rc<Shared<P>>,
    row: &OwnerRow,
    released: &OwnerRow,
) -> Result<(), PlatformError> {
    let found = rows::read_owner(shared).await?;
    let Some((_, version)) = found.filter(|(found, _)| found == row) else { return Ok(()) };
    let transaction = RowTransaction {
        expected: vec![(rows::owner_row(), version)],
        puts: vec![(rows::owner_row(), rows::encode(released)?)],
        removes: Vec::new(),
    };
    shared.services.store.transact(&transaction).await.map(|_| ())
}

/// Reads what the owner before has left.
async fn load<P: Platform>(shared: &Rc<Shared<P>>) -> Result<Inheritance, PlatformError> {
    // One after the other: all share the box's link.
    let lives = scan::part(shared, rows::LIVES).await?;
    let progress = scan::part(shared, rows::PROGRESS).await?;
    let jobs = scan::part(shared, rows::JOBS).await?;
    let mut progress = rows::decode_all::<ProgressRecord>(&progress);
    let mut inheritance = Inheritance {
        effects: load_effects(shared).await?,
        lives: rows::decode_all(&lives).into_values().collect(),
        ..Inheritance::default()
    };
    for (key, job) in rows::decode_all(&jobs) {
        inheritance.jobs.push((job, progress.remove(&key)));
    }
    inheritance.ended = progress.into_values().collect();
    for lost in inheritance.ended.iter().filter(|it| it.outcome == Outcome::Open) {
        log::error!(job = lost.id.to_string(); "owner: what an open job asked for can't be read");
    }
    Ok(inheritance)
}

/// What the owner before has learned of images; nothing if that can't be read, since it is learned
/// anew within seconds.
async fn load_effects<P: Platform>(shared: &Rc<Shared<P>>) -> Result<EffectsRecord, PlatformError> {
    match rows::read::<_, EffectsRecord>(shared, &rows::effects_row()).await {
        Ok(effects) => Ok(effects.map(|(effects, _)| effects).unwrap_or_default()),
        Err(error @ PlatformError::Malformed { .. }) => {
            log::error!("owner: what was learned of images can't be read and is left: {error}");
            Ok(EffectsRecord::default())
        }
        Err(error) => Err(error),
    }
}

/// Gives the fleet up in order, if this box owns it.
pub(super) async fn give_up<P: Platform>(shared: &Rc<Shared<P>>) {
    let owner = shared.local_owner.borrow().clone();
    if let Some(owner) = owner {
        let _ = owner.send(OwnerMessage::Release).await;
    }
}
