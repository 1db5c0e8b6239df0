//! Watches the owner of the fleet and tells when it is lost.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_platform::PlatformError;
use kitetrail_proto::jobs::{PingAnswer, PingRequest};
use tokio::time;
use tonic::{Code, Status};

use super::{
    Platform,
    owner::WITHOUT_STORE,
    peers,
    rows::{self, HeadRow, OwnerRow},
    shared::{OwnerView, Shared},
    takeover::{self, Claim, Predecessor},
};

/// How often the owner is asked how it stands: see `docs/design/platform.md`, "Ownership".
pub(super) const PING_EVERY: Duration = Duration::from_millis(400);
/// An owner that does not answer, and has written nothing for so long, is taken for lost: more
/// than two of its heartbeats.
const LOST_AFTER: Duration = Duration::from_millis(800);
/// The same for an owner whose box answers that nothing listens there: more than one heartbeat.
const LOST_AFTER_REFUSAL: Duration = Duration::from_millis(400);
/// An owner that said that it lags is left so many times its lag longer: it answers and writes late, and a
/// takeover costs another box, as slow, a question to each worker.
const PATIENCE_PER_LAG: u32 = 4;
/// But no longer than this: with the time until it is doubted and a takeover, its workers' leases, 4 s, just
/// run out if it is gone after all.
const LONGEST_LATE_PATIENCE: Duration = Duration::from_millis(2_000);
/// How long other boxes leave the place to the one that the owner left it to: it takes some 100 ms.
const SUCCESSOR_WAIT: Duration = Duration::from_millis(400);
/// An owner that has not reached the store for so long, in milliseconds, is taken for lost if others
/// reach it: see `docs/design/platform.md`, "Ownership".
const STORE_SILENT_MS: u64 = 1_200;
/// How often the owner's last write is read while the owner is in doubt: more than once in the
/// shortest wait, [`LOST_AFTER_REFUSAL`].
const READ_EVERY: Duration = Duration::from_millis(180);
/// How long to wait after a call to the store that failed.
pub(super) const RETRY: Duration = Duration::from_millis(150);

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
                takeover::own(&shared, claim).await;
                shared.claim_epoch(0);
            }
            Ok(None) => {
                let _ = time::timeout(PING_EVERY, shared.follow_asked.notified()).await;
            }
            Err(error) => {
                log::debug!("owner: can't be told: {error}");
                time::sleep(RETRY).await;
            }
        }
    }
}

/// Looks at the owner once. Returns a claim if this box should take over.
async fn watch_owner<P: Platform>(shared: &Rc<Shared<P>>) -> Result<Option<Claim>, PlatformError> {
    let asked = shared.asked_to_follow.get() >= shared.owner().epoch.max(1);
    if !asked && believed_owner_is_fine(shared).await {
        return Ok(None);
    }
    let Some((owner, version)) = rows::read_owner(shared).await? else {
        let head_version = rows::read_head(shared).await?.map_or(0, |(_, version)| version);
        return Ok(claim(shared, None, head_version, Duration::ZERO));
    };
    let address = Some(owner.address).filter(|_| !owner.released);
    shared.offer_owner(OwnerView { epoch: owner.epoch, address }, "store");
    let verdict = judge(shared, &owner).await;
    let patience = match verdict {
        Verdict::Fine => return Ok(None),
        Verdict::Stopped => Duration::ZERO,
        Verdict::Refused => LOST_AFTER_REFUSAL,
        Verdict::Silent => LOST_AFTER + late_patience(shared),
    };
    log::info!(epoch = owner.epoch, verdict:? = verdict; "owner: suspected");
    let LastWrite::Unmoved(head) = last_write(shared, &owner, patience).await? else {
        return Ok(None);
    };
    if leaves_to_others(shared, &owner, version).await? {
        return Ok(None);
    }
    let earlier_renew_for_ms = head.and_then(|(head, _)| head.earlier_renew_for_ms);
    let earlier_renew_for = earlier_renew_for_ms.map_or(WITHOUT_STORE, Duration::from_millis);
    let head_version = head.map_or(0, |(_, version)| version);
    // What refuses connections may be the way to the owner, not its end.
    let last = Predecessor { row: owner, version, stopped: verdict == Verdict::Stopped };
    Ok(claim(shared, Some(last), head_version, earlier_renew_for))
}

/// How much longer an owner that said that it is late is left without a sign of life.
fn late_patience<P: Platform>(shared: &Shared<P>) -> Duration {
    shared.owner_lag().saturating_mul(PATIENCE_PER_LAG).min(LONGEST_LATE_PATIENCE)
}

/// Waits where others should come first; whether one of them did.
async fn leaves_to_others<P: Platform>(
    shared: &Rc<Shared<P>>,
    owner: &OwnerRow,
    version: u64,
) -> Result<bool, PlatformError> {
    let own = shared.settings.listen.peers;
    let wait = match owner.successor {
        Some(successor) if owner.released && successor == own => return Ok(false),
        _ if shared.asked_to_follow.get() == owner.epoch => return Ok(false),
        Some(_) if owner.released => SUCCESSOR_WAIT,
        _ => Duration::ZERO,
    };
    let wait = wait.max(shared.settings.strength.claim_wait(owner.strongest));
    if wait.is_zero() {
        return Ok(false);
    }
    time::sleep(wait).await;
    let found = rows::read_owner(shared).await?;
    Ok(found.is_some_and(|(_, found)| found != version))
}

/// Asks the owner that this box believes in how it stands.
async fn believed_owner_is_fine<P: Platform>(shared: &Rc<Shared<P>>) -> bool {
    let view = shared.owner();
    let other = view.address.filter(|&address| address != shared.settings.listen.peers);
    let Some(address) = other else { return false };
    let Ok(answer) = ping(shared, address).await else { return false };
    note_ping(shared, address, &answer).await;
    answer.owns_epoch == view.epoch && answer.store_silent_ms < STORE_SILENT_MS
}

/// Whether an owner certainly renews no leases any more, by what its box answers.
pub(super) async fn has_stopped<P: Platform>(shared: &Rc<Shared<P>>, owner: &OwnerRow) -> bool {
    judge(shared, owner).await == Verdict::Stopped
}

/// Asks the owner that the store names how it stands.
async fn judge<P: Platform>(shared: &Rc<Shared<P>>, owner: &OwnerRow) -> Verdict {
    // This box, which does not own the fleet now, or an earlier life of it. Incarnations alone
    // don't tell: boxes that start together may draw the same one.
    let asked = shared.asked_to_follow.get() == owner.epoch;
    if owner.released || asked || owner.address == shared.settings.listen.peers {
        return Verdict::Stopped;
    }
    match ping(shared, owner.address).await {
        Ok(answer) if answer.incarnation != owner.incarnation => Verdict::Stopped,
        Ok(answer) if answer.owns_epoch != owner.epoch => Verdict::Stopped,
        Ok(answer) if answer.store_silent_ms < STORE_SILENT_MS => Verdict::Fine,
        Ok(_) => Verdict::Silent,
        Err(status) if status.code() == Code::Unavailable => Verdict::Refused,
        Err(_) => Verdict::Silent,
    }
}

async fn ping<P: Platform>(
    shared: &Rc<Shared<P>>,
    address: SocketAddr,
) -> Result<PingAnswer, Status> {
    let view = shared.owner();
    let request = PingRequest {
        epoch: view.epoch,
        owner_address: view.address_text(),
        config_version: shared.config_version(),
        address: shared.settings.listen.peers.to_string(),
        strength_workers: shared.settings.strength.0,
        up_ms: shared.up_ms(),
        stopping: shared.draining.get(),
    };
    shared.peers.ping(address, request).await
}

/// Learns from what the owner said of itself, and tells it a newer configuration.
async fn note_ping<P: Platform>(shared: &Rc<Shared<P>>, address: SocketAddr, answer: &PingAnswer) {
    shared.note_told_owner(answer.epoch, &answer.owner_address);
    if answer.owns_epoch != 0 {
        shared.note_pending(answer.pending.clone().into_iter());
        shared.note_owner_lag(Duration::from_millis(answer.lag_ms));
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

/// What was seen of the owner's last write over some time.
enum LastWrite {
    /// The owner has written.
    Moved,
    /// It stayed this one, with its version, if there is any. Only an owner that writes nothing more after it may be
    /// replaced, so a takeover depends on this version, however long it waits for other boxes.
    Unmoved(Option<(HeadRow, u64)>),
}

/// Looks for some time whether the owner writes, unless it asks this box to follow it.
async fn last_write<P: Platform>(
    shared: &Rc<Shared<P>>,
    owner: &OwnerRow,
    patience: Duration,
) -> Result<LastWrite, PlatformError> {
    let first = rows::read_head(shared).await?;
    let started = Instant::now();
    while started.elapsed() < patience && shared.asked_to_follow.get() != owner.epoch {
        time::sleep(READ_EVERY).await;
        if rows::read_head(shared).await? != first {
            return Ok(LastWrite::Moved);
        }
    }
    Ok(LastWrite::Unmoved(first))
}

/// What a takeover needs to know; `None` if this box is stopping.
fn claim<P: Platform>(
    shared: &Shared<P>,
    predecessor: Option<Predecessor>,
    head_version: u64,
    earlier_renew_for: Duration,
) -> Option<Claim> {
    let claim = Claim { predecessor, head_version, earlier_renew_for };
    (!shared.draining.get()).then_some(claim)
}
