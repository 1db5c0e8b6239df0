//! Who owns the fleet: watches the owner, and takes the fleet over when it is lost.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_core::jobs::{EffectsRecord, Inheritance, Scheduler, SchedulerSettings};
use kitetrail_platform::{
    PlatformError,
    fleet::{RowStore, RowTransaction, StoredRow, TransactionAnswer},
};
use kitetrail_proto::jobs::{PingAnswer, PingRequest};
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use super::{
    Platform,
    committer::{Committer, HEARTBEAT},
    owner::{Ended, Owner, OwnerMessage, WITHOUT_STORE},
    peers,
    rows::{self, HeadRow, OwnerRow},
    shared::{OwnerView, Shared},
    workers_watch,
};
use crate::clock::unix_ms;

/// How often the owner is asked how it stands.
const PING_EVERY: Duration = Duration::from_millis(400);
/// How long the owner may take to answer that.
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// An owner that does not answer, and has written nothing for so long, is taken for lost: more
/// than two of its heartbeats.
const LOST_AFTER: Duration = Duration::from_millis(1_100);
/// The same for an owner whose box answers that nothing listens there.
const LOST_AFTER_REFUSAL: Duration = Duration::from_millis(550);
/// An owner that has not reached the store for so long is taken for lost if others reach it.
const STORE_SILENT_MS: u64 = 1_200;
/// How often the owner's last write is read while the owner is in doubt.
const READ_EVERY: Duration = Duration::from_millis(180);
/// How long to wait after a call to the store that failed.
const RETRY: Duration = Duration::from_millis(150);
/// How many messages to the owner may wait.
const INBOX: usize = 8_192;

/// What is to be done about the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// It owns the fleet and does its work.
    Fine,
    /// It certainly renews no leases any more.
    Stopped,
    /// It may be lost: nothing listens where it answered.
    Refused,
    /// It may be lost.
    Silent,
}

/// Watches the owner, and owns the fleet when it is this box's turn, until the box stops.
pub(super) async fn run<P: Platform>(shared: Rc<Shared<P>>) {
    loop {
        match watch_owner(&shared).await {
            Ok(Some(claim)) => {
                own(&shared, claim).await;
                shared.claimed_epoch.set(0);
            }
            Ok(None) => tokio::time::sleep(PING_EVERY).await,
            Err(error) => {
                log::debug!("owner: can't be told: {error}");
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

/// The rows that a claim replaces.
struct Claim {
    owner: Option<(OwnerRow, u64)>,
    head_version: u64,
    predecessor_stopped: bool,
}

/// Looks at the owner once. Returns a claim if this box should take over.
async fn watch_owner<P: Platform>(shared: &Rc<Shared<P>>) -> Result<Option<Claim>, PlatformError> {
    let view = shared.owner();
    let other = view.address.filter(|&address| address != shared.settings.listen.peers);
    if let Some(address) = other
        && let Ok(answer) = ping(shared, address).await
    {
        note_ping(shared, address, &answer).await;
        if answer.owns_epoch == view.epoch && answer.store_silent_ms < STORE_SILENT_MS {
            return Ok(None);
        }
    }
    let Some((owner, version)) = read::<_, OwnerRow>(shared, &rows::owner_row()).await? else {
        return claim(shared, None, true).await;
    };
    let address = Some(owner.address).filter(|_| !owner.released);
    shared.offer_owner(OwnerView { epoch: owner.epoch, address }, "store");
    let verdict = judge(shared, &owner).await;
    let patience = match verdict {
        Verdict::Fine => return Ok(None),
        Verdict::Stopped => Duration::ZERO,
        Verdict::Refused => LOST_AFTER_REFUSAL,
        Verdict::Silent => LOST_AFTER,
    };
    log::info!(epoch = owner.epoch, verdict:? = verdict; "owner: in doubt");
    if !patience.is_zero() && writes_within(shared, patience).await? {
        return Ok(None);
    }
    let stopped = matches!(verdict, Verdict::Stopped | Verdict::Refused);
    claim(shared, Some((owner, version)), stopped).await
}

async fn judge<P: Platform>(shared: &Rc<Shared<P>>, owner: &OwnerRow) -> Verdict {
    // This box, which does not own the fleet now, or an earlier life of it. Incarnations alone
    // don't tell: boxes that start together may draw the same one.
    if owner.released || owner.address == shared.settings.listen.peers {
        return Verdict::Stopped;
    }
    match ping(shared, owner.address).await {
        Ok(answer) if answer.incarnation != owner.incarnation => Verdict::Stopped,
        Ok(answer) if answer.owns_epoch != owner.epoch => Verdict::Stopped,
        Ok(answer) if answer.store_silent_ms < STORE_SILENT_MS => Verdict::Fine,
        Ok(_) => Verdict::Silent,
        Err(status) if status.code() == tonic::Code::Unavailable => Verdict::Refused,
        Err(_) => Verdict::Silent,
    }
}

async fn ping<P: Platform>(
    shared: &Rc<Shared<P>>,
    address: std::net::SocketAddr,
) -> Result<PingAnswer, tonic::Status> {
    let view = shared.owner();
    let request = PingRequest {
        epoch: view.epoch,
        owner_address: view.address.map(|address| address.to_string()).unwrap_or_default(),
        config_version: shared.config_version(),
    };
    shared.peers.ping(address, request, PING_TIMEOUT).await
}

/// Learns from what the owner said of itself, and tells it a newer configuration.
async fn note_ping<P: Platform>(
    shared: &Rc<Shared<P>>,
    address: std::net::SocketAddr,
    answer: &PingAnswer,
) {
    let told = OwnerView { epoch: answer.epoch, address: answer.owner_address.parse().ok() };
    if told.epoch > shared.owner().epoch && told.address.is_some() {
        shared.offer_owner(told, "peer");
    }
    if answer.owns_epoch != 0 {
        *shared.pending.borrow_mut() = answer.pending.clone().into_iter().collect();
    }
    let version = shared.config_version();
    let exchanged = match answer.config_version {
        theirs if theirs > version => {
            let fetched = shared.peers.fetch_config(address).await;
            fetched.map(|config| peers::take_config(shared, &config))
        }
        theirs if theirs < version => {
            shared.peers.offer_config(address, peers::encode_config(shared)).await
        }
        _ => Ok(()),
    };
    if let Err(status) = exchanged {
        log::debug!(peer = address.to_string(); "config: can't be exchanged: {status}");
    }
}

/// Whether the owner writes within a time.
async fn writes_within<P: Platform>(
    shared: &Rc<Shared<P>>,
    patience: Duration,
) -> Result<bool, PlatformError> {
    let started = Instant::now();
    let first = read::<_, HeadRow>(shared, &rows::head_row()).await?.map(|(_, version)| version);
    while started.elapsed() < patience {
        tokio::time::sleep(READ_EVERY).await;
        let head = read::<_, HeadRow>(shared, &rows::head_row()).await?;
        if head.map(|(_, version)| version) != first {
            return Ok(true);
        }
    }
    Ok(false)
}

async fn claim<P: Platform>(
    shared: &Rc<Shared<P>>,
    owner: Option<(OwnerRow, u64)>,
    predecessor_stopped: bool,
) -> Result<Option<Claim>, PlatformError> {
    if shared.draining.get() {
        return Ok(None);
    }
    let head = read::<_, HeadRow>(shared, &rows::head_row()).await?;
    let head_version = head.map_or(0, |(_, version)| version);
    Ok(Some(Claim { owner, head_version, predecessor_stopped }))
}

/// Takes the fleet over, if nobody else is quicker, and owns it until it is lost or given up.
async fn own<P: Platform>(shared: &Rc<Shared<P>>, claim: Claim) {
    let started = Instant::now();
    let predecessor_stopped = claim.predecessor_stopped;
    let (row, version) = match take(shared, claim).await {
        Ok(Some(taken)) => taken,
        Ok(None) => return,
        Err(error) => {
            log::warn!("owner: the fleet can't be taken over: {error}");
            return tokio::time::sleep(RETRY).await;
        }
    };
    let inheritance = loop {
        match load(shared, predecessor_stopped).await {
            Ok(inheritance) => break inheritance,
            Err(error) if shared.draining.get() => {
                return log::warn!("owner: stops before it could read the jobs: {error}");
            }
            Err(error) => {
                log::warn!("owner: the jobs can't be read: {error}");
                tokio::time::sleep(RETRY).await;
            }
        }
    };
    log::info!(
        epoch = row.epoch, jobs = inheritance.jobs.len(), lives = inheritance.lives.len(),
        predecessor_stopped = predecessor_stopped, after_ms = started.elapsed().as_millis() as u64;
        "owner: owns the fleet"
    );
    let ended = serve(shared, &row, version, inheritance).await;
    *shared.local_owner.borrow_mut() = None;
    log::info!(epoch = row.epoch, ended:? = ended; "owner: owns the fleet no more");
}

async fn serve<P: Platform>(
    shared: &Rc<Shared<P>>,
    row: &OwnerRow,
    head_version: u64,
    inheritance: Inheritance,
) -> Ended {
    let settings = SchedulerSettings {
        longest_lease: shared.settings.longest_lease,
        remember_ended: shared.settings.remember_ended,
        renew_without_store: WITHOUT_STORE,
    };
    let now = shared.clock.now();
    let scheduler = Scheduler::new(settings, row.epoch, inheritance, now, unix_ms());
    let (sender, inbox) = mpsc::channel(INBOX);
    let (batches, to_write) = mpsc::channel(1);
    let committer = Committer {
        shared: Rc::clone(shared),
        epoch: row.epoch,
        head_version,
        write: 0,
        owner: sender.clone(),
        usual: Duration::ZERO,
    };
    let committer = tokio::task::spawn_local(committer.run(to_write));
    let watcher = tokio::task::spawn_local(workers_watch::run(Rc::clone(shared), sender.clone()));
    *shared.local_owner.borrow_mut() = Some((row.epoch, sender.clone()));
    shared.offer_owner(OwnerView { epoch: row.epoch, address: Some(row.address) }, "self");
    let ended = Owner::new(Rc::clone(shared), scheduler, (sender, inbox), batches).run().await;
    watcher.abort();
    match ended {
        Ended::Released => {
            // The batches' channel is closed: the writer ends after what it has in hand.
            let _ = tokio::time::timeout(HEARTBEAT * 2, committer).await;
            release(shared, row).await;
        }
        Ended::Deposed => committer.abort(),
    }
    ended
}

/// Writes that this box owns the fleet. `None`: somebody else was quicker.
async fn take<P: Platform>(
    shared: &Rc<Shared<P>>,
    claim: Claim,
) -> Result<Option<(OwnerRow, u64)>, PlatformError> {
    let (epoch, version) = claim.owner.map_or((0, 0), |(row, version)| (row.epoch, version));
    let row = OwnerRow {
        epoch: epoch + 1,
        box_name: shared.settings.box_name.clone(),
        incarnation: shared.incarnation,
        address: shared.settings.listen.peers,
        released: false,
    };
    shared.claimed_epoch.set(row.epoch);
    let head = HeadRow { epoch: row.epoch, write: 0 };
    let transaction = RowTransaction {
        expected: vec![(rows::owner_row(), version), (rows::head_row(), claim.head_version)],
        puts: vec![(rows::owner_row(), encode(&row)?), (rows::head_row(), encode(&head)?)],
        removes: Vec::new(),
    };
    let answer = shared.services.store.transact(&transaction).await;
    shared.note_store(&answer);
    match answer? {
        TransactionAnswer::Done { version } => Ok(Some((row, version))),
        TransactionAnswer::Conflict { rows } => {
            // An earlier try, whose answer was lost, may have done it.
            let ours = rows.iter().find(|it| rows::decode(it).ok().as_ref() == Some(&row));
            Ok(ours.map(|it| (row.clone(), it.version)))
        }
    }
}

/// Writes that the fleet may be taken over at once.
async fn release<P: Platform>(shared: &Rc<Shared<P>>, row: &OwnerRow) {
    let released = async {
        let Some((found, version)) = read::<_, OwnerRow>(shared, &rows::owner_row()).await? else {
            return Ok(());
        };
        if found != *row {
            return Ok(());
        }
        let row = OwnerRow { released: true, ..row.clone() };
        let transaction = RowTransaction {
            expected: vec![(rows::owner_row(), version)],
            puts: vec![(rows::owner_row(), encode(&row)?)],
            removes: Vec::new(),
        };
        shared.services.store.transact(&transaction).await.map(|_| ())
    };
    if let Err(error) = released.await {
        log::warn!(epoch = row.epoch; "owner: can't say that the fleet is free: {error}");
    }
}

/// Reads what the owner before has left.
async fn load<P: Platform>(
    shared: &Rc<Shared<P>>,
    predecessor_stopped: bool,
) -> Result<Inheritance, PlatformError> {
    let store = &shared.services.store;
    let (jobs, progress, lives) = tokio::try_join!(
        store.scan(rows::JOBS, rows::PART),
        store.scan(rows::PROGRESS, rows::PART),
        store.scan(rows::LIVES, rows::PART),
    )?;
    let mut progress = decode_all::<kitetrail_core::jobs::ProgressRecord>(&progress.0);
    let mut inheritance = Inheritance { predecessor_stopped, ..Inheritance::default() };
    let effects = read::<_, EffectsRecord>(shared, &rows::effects_row()).await?;
    inheritance.effects = effects.map(|(effects, _)| effects).unwrap_or_default();
    inheritance.lives = decode_all(&lives.0).into_values().collect();
    for (key, job) in decode_all(&jobs.0) {
        inheritance.jobs.push((job, progress.remove(&key)));
    }
    Ok(inheritance)
}

fn decode_all<T: DeserializeOwned>(rows: &[StoredRow]) -> std::collections::BTreeMap<String, T> {
    let decode = |row: &StoredRow| {
        let decoded = rows::decode(row).map(|value| (row.key.clone(), value));
        let key = row.key.as_str();
        decoded
            .inspect_err(|error| log::error!(key = key; "store: a row can't be read: {error}"))
            .ok()
    };
    rows.iter().filter_map(decode).collect()
}

async fn read<P: Platform, T: DeserializeOwned>(
    shared: &Rc<Shared<P>>,
    name: &kitetrail_platform::fleet::RowName,
) -> Result<Option<(T, u64)>, PlatformError> {
    let row = shared.services.store.read(name).await;
    shared.note_store(&row);
    let Some(row) = row? else { return Ok(None) };
    let value = rows::decode(&row).map_err(malformed)?;
    Ok(Some((value, row.version)))
}

fn encode(value: &impl serde::Serialize) -> Result<Vec<u8>, PlatformError> {
    serde_json::to_vec(value).map_err(malformed)
}

fn malformed(error: serde_json::Error) -> PlatformError {
    PlatformError::Malformed { service: "store", cause: error.to_string() }
}

/// Gives the fleet up in order, if this box owns it.
pub(super) async fn give_up<P: Platform>(shared: &Rc<Shared<P>>) {
    let owner = shared.local_owner.borrow().clone();
    if let Some((_, owner)) = owner {
        let _ = owner.send(OwnerMessage::Release).await;
    }
}
