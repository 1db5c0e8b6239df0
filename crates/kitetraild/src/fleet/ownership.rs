//! Watches the owner of the fleet and takes over when it is lost.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_core::owner_relief::WorkTime;
use kitetrail_platform::PlatformError;
use kitetrail_proto::jobs::{PingAnswer, PingRequest};
use tokio::time;
use tonic::{Code, Status};

use super::{
    Platform,
    owner::MAX_UNCONFIRMED,
    peers,
    rows::{self, HeadRow, OwnerRow},
    shared::{OwnerView, Shared},
    takeover::{self, Claim, Predecessor},
};

/// The interval between pings to the owner: see `docs/design/platform.md`, "Ownership".
pub(super) const PING_INTERVAL: Duration = Duration::from_millis(400);
/// An owner that does not answer pings is considered lost after it has not written for this long:
/// more than two of its heartbeats.
const SILENT_OWNER_TIMEOUT: Duration = Duration::from_millis(800);
/// The same limit for an owner whose host refuses connections: more than one heartbeat.
const REFUSED_OWNER_TIMEOUT: Duration = Duration::from_millis(400);
/// The limit for a lagging owner is extended by this multiple of the lag it reported: it answers and writes late, and a
/// takeover would make another box, equally slow, query every worker.
const LAG_EXTENSION_FACTOR: u32 = 4;
/// The longest extension for a lagging owner. Together with the time until it is suspected and a takeover, its
/// workers' leases of 4 s only just expire if the owner is in fact gone.
const MAX_LAG_EXTENSION: Duration = Duration::from_millis(2_000);
/// How long other boxes wait for the designated successor to take over, which takes about 100 ms.
const SUCCESSOR_WAIT: Duration = Duration::from_millis(400);
/// An owner that has not reached the store for this long, in milliseconds, is considered lost if others
/// reach the store: see `docs/design/platform.md`, "Ownership".
const STORE_SILENT_LIMIT_MS: u64 = 1_200;
/// The interval at which the owner's last write is read while the owner is suspected: more than once
/// within the shortest limit, [`REFUSED_OWNER_TIMEOUT`].
const HEAD_POLL_INTERVAL: Duration = Duration::from_millis(180);
/// The delay after a call to the store that failed.
pub(super) const STORE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The assessed state of the owner. It decides whether, and after what time, the owner is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnerState {
    /// It owns the fleet and is working.
    Fine,
    /// It certainly renews no more leases.
    Stopped,
    /// It may be lost: its address refuses connections.
    Refused,
    /// It may be lost: it does not answer, or can't reach the store.
    Silent,
}

/// Watches the owner, and takes over the fleet when it is lost, until the box stops.
pub(super) async fn run<P: Platform>(shared: Rc<Shared<P>>) {
    loop {
        match check_owner(&shared).await {
            Ok(Some(claim)) => {
                takeover::run_as_owner(&shared, claim).await;
                shared.set_claimed_epoch(0);
            }
            Ok(None) => {
                let _ = time::timeout(PING_INTERVAL, shared.takeover_requested.notified()).await;
            }
            Err(error) => {
                log::debug!("owner: failed to check the owner: {error}");
                time::sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Checks the owner once. Returns a claim if this box should take over.
async fn check_owner<P: Platform>(shared: &Rc<Shared<P>>) -> Result<Option<Claim>, PlatformError> {
    let takeover_requested = shared.takeover_requested_epoch.get() >= shared.owner().epoch.max(1);
    if !takeover_requested && known_owner_is_fine(shared).await {
        return Ok(None);
    }
    let Some((owner, version)) = rows::read_owner(shared).await? else {
        let head_version = rows::read_head(shared).await?.map_or(0, |(_, version)| version);
        return Ok(new_claim(shared, None, head_version, Duration::ZERO));
    };
    let (owner, verdict) = match owner {
        Some(owner) => {
            let address = Some(owner.address).filter(|_| !owner.released);
            shared.adopt_owner(OwnerView { epoch: owner.epoch, address }, "store");
            let verdict = assess(shared, &owner).await;
            (owner, verdict)
        }
        None => (read_unknown_owner(shared).await?, OwnerState::Silent),
    };
    let timeout = match verdict {
        OwnerState::Fine => return Ok(None),
        OwnerState::Stopped => Duration::ZERO,
        OwnerState::Refused => REFUSED_OWNER_TIMEOUT,
        OwnerState::Silent => SILENT_OWNER_TIMEOUT + lag_extension(shared),
    };
    log::info!(epoch = owner.epoch, verdict:? = verdict; "owner: suspected");
    let LastWrite::Unchanged(head) = watch_last_write(shared, &owner, timeout).await? else {
        return Ok(None);
    };
    if yield_to_other_boxes(shared, &owner, version).await? {
        return Ok(None);
    }
    let (last_write, head_version) = head.unzip();
    let last_write = last_write.flatten();
    let earlier_renew_for_ms = last_write.and_then(|head| head.earlier_renew_for_ms);
    let earlier_renew_for = earlier_renew_for_ms.map_or(MAX_UNCONFIRMED, Duration::from_millis);
    let renew_for_ms = last_write.and_then(|head| head.renew_for_ms);
    let renew_for = renew_for_ms.map_or(MAX_UNCONFIRMED, Duration::from_millis);
    // A refused connection may come from the network path, and does not prove that the owner stopped.
    let stopped = verdict == OwnerState::Stopped;
    let predecessor = Predecessor { row: owner, version, stopped, renew_for };
    Ok(new_claim(shared, Some(predecessor), head_version.unwrap_or(0), earlier_renew_for))
}

/// Returns the owner whose row can't be decoded. Its last write has the same epoch.
async fn read_unknown_owner<P: Platform>(
    shared: &Rc<Shared<P>>,
) -> Result<OwnerRow, PlatformError> {
    let last_write = rows::read_head(shared).await?.and_then(|(last_write, _)| last_write);
    let owner = last_write.map(|head| OwnerRow::of_unknown_box(head.epoch));
    owner.ok_or_else(|| PlatformError::Malformed {
        service: "store",
        cause: "neither the owner nor its last write can be decoded".to_owned(),
    })
}

/// Returns how much the limit without writes is extended for an owner that reported lag.
fn lag_extension<P: Platform>(shared: &Shared<P>) -> Duration {
    shared.owner_lag().saturating_mul(LAG_EXTENSION_FACTOR).min(MAX_LAG_EXTENSION)
}

/// Waits if other boxes have precedence, and returns whether one of them took over.
async fn yield_to_other_boxes<P: Platform>(
    shared: &Rc<Shared<P>>,
    owner: &OwnerRow,
    version: u64,
) -> Result<bool, PlatformError> {
    let own = shared.settings.listen.peers;
    let wait = match owner.successor {
        Some(successor) if owner.released && successor == own => return Ok(false),
        _ if shared.takeover_requested_epoch.get() == owner.epoch => return Ok(false),
        Some(_) if owner.released => SUCCESSOR_WAIT,
        _ => Duration::ZERO,
    };
    let wait = wait.max(shared.settings.strength.claim_delay(owner.strongest));
    if wait.is_zero() {
        return Ok(false);
    }
    time::sleep(wait).await;
    let found = rows::read_owner(shared).await?;
    Ok(found.is_some_and(|(_, found)| found != version))
}

/// Pings the owner that this box knows and returns whether it is working.
async fn known_owner_is_fine<P: Platform>(shared: &Rc<Shared<P>>) -> bool {
    let view = shared.owner();
    let other_address = view.address.filter(|&address| address != shared.settings.listen.peers);
    let Some(address) = other_address else { return false };
    let Ok(answer) = ping(shared, address).await else { return false };
    process_ping_answer(shared, address, &answer).await;
    answer.owns_epoch == view.epoch && answer.store_silent_ms < STORE_SILENT_LIMIT_MS
}

/// Pings an owner's box and returns whether that owner certainly renews no more leases.
pub(super) async fn has_stopped<P: Platform>(shared: &Rc<Shared<P>>, owner: &OwnerRow) -> bool {
    assess(shared, owner).await == OwnerState::Stopped
}

/// Assesses the owner named in the store by pinging it.
async fn assess<P: Platform>(shared: &Rc<Shared<P>>, owner: &OwnerRow) -> OwnerState {
    // A row with this box's address was written by this process, which does not own the fleet now, or by an
    // earlier one. Incarnations alone can't show that: boxes that start together may have the same one.
    let takeover_requested = shared.takeover_requested_epoch.get() == owner.epoch;
    if owner.released || takeover_requested || owner.address == shared.settings.listen.peers {
        return OwnerState::Stopped;
    }
    match ping(shared, owner.address).await {
        Ok(answer) if answer.incarnation != owner.incarnation => OwnerState::Stopped,
        Ok(answer) if answer.owns_epoch != owner.epoch => OwnerState::Stopped,
        Ok(answer) if answer.store_silent_ms < STORE_SILENT_LIMIT_MS => OwnerState::Fine,
        Ok(_) => OwnerState::Silent,
        Err(status) if status.code() == Code::Unavailable => OwnerState::Refused,
        Err(_) => OwnerState::Silent,
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
        work_time_us: shared.own_work_time.get().map(WorkTime::as_us),
    };
    shared.peers.ping(address, request).await
}

/// Records what the owner reported, and exchanges configurations if the versions differ.
async fn process_ping_answer<P: Platform>(
    shared: &Rc<Shared<P>>,
    address: SocketAddr,
    answer: &PingAnswer,
) {
    shared.record_reported_owner(answer.epoch, &answer.owner_address);
    if answer.owns_epoch != 0 {
        shared.record_pending(answer.pending.clone().into_iter());
        shared.record_owner_lag(Duration::from_millis(answer.lag_ms));
    }
    let version = shared.config_version();
    let exchanged = match answer.config_version {
        owner_version if owner_version > version => {
            let fetched = shared.peers.fetch_config(address).await;
            fetched.map(|config| peers::apply_config(shared, &config))
        }
        owner_version if owner_version < version => {
            shared.peers.offer_config(address, peers::encode_config(shared)).await
        }
        _ => Ok(()),
    };
    if let Err(status) = exchanged {
        log::debug!(
            peer = address.to_string();
            "config: failed to exchange it with the owner: {status}"
        );
    }
}

/// The result of watching the owner's last write for some time.
enum LastWrite {
    /// The owner wrote again.
    Changed,
    /// The owner wrote nothing, and this is its last write with its version, if there is any. Only an owner that writes
    /// nothing after it may be replaced, so a takeover depends on this version, however long it waits for other boxes.
    Unchanged(Option<(Option<HeadRow>, u64)>),
}

/// Watches for some time whether the owner writes. Ends early if the owner asks this box to take over.
async fn watch_last_write<P: Platform>(
    shared: &Rc<Shared<P>>,
    owner: &OwnerRow,
    timeout: Duration,
) -> Result<LastWrite, PlatformError> {
    let first = rows::read_head(shared).await?;
    let started = Instant::now();
    while started.elapsed() < timeout && shared.takeover_requested_epoch.get() != owner.epoch {
        time::sleep(HEAD_POLL_INTERVAL).await;
        if rows::read_head(shared).await? != first {
            return Ok(LastWrite::Changed);
        }
    }
    Ok(LastWrite::Unchanged(first))
}

/// Returns a claim to take over; `None` if this box is stopping.
fn new_claim<P: Platform>(
    shared: &Shared<P>,
    predecessor: Option<Predecessor>,
    head_version: u64,
    earlier_renew_for: Duration,
) -> Option<Claim> {
    let claim = Claim { predecessor, head_version, earlier_renew_for };
    (!shared.draining.get()).then_some(claim)
}
