//! What the parts of one box share: all on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_core::{
    Time, evacuation::EvacuationChange, fleet_config::FleetConfig, succession::Candidates,
};
use kitetrail_platform::PlatformError;
use kitetrail_proto::jobs::PingAnswer;
use tokio::sync::{Notify, mpsc};

use super::{
    FleetSettings, Platform, Services,
    evacuation::{EvacuatedZones, Source},
    owner::OwnerMessage,
    peers::{BoxStatus, PeerClients},
};
use crate::{clock::Clock, metrics::Metrics};

/// The statuses by which a store says that it can't serve now: too many requests, and unavailable.
/// Any other refusal shows that it is at work.
const BUSY_STATUSES: [u16; 2] = [429, 503];

/// How long counts of jobs that wait are told on: callers may be told counts that are 2 s old.
const PENDING_HOLDS_FOR: Duration = Duration::from_millis(2_000);

/// How long what the owner says of its lag is believed. It is asked every 0.4 s; one answer that is lost and
/// one that is late fit in.
const LAG_HOLDS_FOR: Duration = Duration::from_millis(1_500);

/// Who owns the fleet, as far as this box knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct OwnerView {
    pub(super) epoch: u64,
    /// Where the owner answers other boxes.
    pub(super) address: Option<SocketAddr>,
}

impl OwnerView {
    /// What another box tells of the owner.
    pub(super) fn told(epoch: u64, address: &str) -> Self {
        Self { epoch, address: address.parse().ok() }
    }

    /// The address as it is written to other boxes and to the log; empty if there is none.
    pub(super) fn address_text(&self) -> String {
        self.address.map(|address| address.to_string()).unwrap_or_default()
    }
}

/// What the parts of one box share.
pub(super) struct Shared<P: Platform> {
    pub(super) settings: FleetSettings,
    pub(super) services: Services<P>,
    pub(super) clock: Clock,
    started_at: Time,
    pub(super) incarnation: u64,
    pub(super) metrics: Metrics,
    pub(super) peers: PeerClients,
    config: RefCell<Option<Rc<FleetConfig>>>,
    /// The zones that operators have evacuated.
    pub(super) evacuated: EvacuatedZones,
    owner: Cell<OwnerView>,
    pub(super) owner_changed: Notify,
    /// The owner's inbox, while this box owns the fleet.
    pub(super) local_owner: RefCell<Option<mpsc::Sender<OwnerMessage>>>,
    /// The epoch that this box owns the fleet in, or has just asked the store for; 0: neither.
    ///
    /// Set before the store is asked: other boxes may read the row before its answer is here.
    claimed_epoch: Cell<u64>,
    /// Accepted jobs that have not begun, by queue, as the owner told last, and when that was.
    pending: RefCell<Option<(BTreeMap<String, u64>, Time)>>,
    /// How this box stands, as told to others.
    pub(super) status: BoxStatus,
    /// How far this box lags behind its events as the owner, in milliseconds; 0 while it is none.
    pub(super) own_lag_ms: Cell<u64>,
    /// How far the owner said that it lags, and when.
    told_lag: Cell<Option<(Duration, Time)>>,
    /// The boxes that ask this one how it stands: those that could own the fleet after it.
    pub(super) candidates: RefCell<Candidates<SocketAddr>>,
    /// The epoch of an owner that has stopped and asked this box to follow it; 0: none.
    pub(super) asked_to_follow: Cell<u64>,
    pub(super) follow_asked: Notify,
    /// This box owned the fleet at this moment for certain: a write of its own was done after it.
    pub(super) owned_at: Cell<Option<Time>>,
    /// Since when a write of the owner waits for the store.
    pub(super) writes_since: Cell<Option<Time>>,
    /// When the store answered last.
    store_heard_at: Cell<Time>,
    /// The last call to the store brought no answer.
    store_lost: Cell<bool>,
    /// When the store answered again after a call that brought no answer.
    store_regained_at: Cell<Option<Time>>,
    /// The box was told to stop.
    pub(super) draining: Cell<bool>,
    /// When it ends at the latest, once it was told to stop.
    pub(super) ends_at: Cell<Option<Instant>>,
    /// Requests of callers that are not answered yet.
    pub(super) in_progress: Cell<usize>,
}

impl<P: Platform> Shared<P> {
    pub(super) fn new(
        settings: FleetSettings,
        services: Services<P>,
        clock: Clock,
        incarnation: u64,
        metrics: Metrics,
    ) -> Rc<Self> {
        Rc::new(Self {
            started_at: clock.now(),
            clock,
            incarnation,
            metrics,
            peers: PeerClients::new(settings.limits, services.silences.clone()),
            settings,
            services,
            config: RefCell::default(),
            evacuated: EvacuatedZones::default(),
            owner: Cell::default(),
            owner_changed: Notify::new(),
            local_owner: RefCell::default(),
            claimed_epoch: Cell::new(0),
            pending: RefCell::default(),
            status: BoxStatus::new(incarnation),
            own_lag_ms: Cell::new(0),
            told_lag: Cell::new(None),
            candidates: RefCell::default(),
            asked_to_follow: Cell::new(0),
            follow_asked: Notify::new(),
            owned_at: Cell::new(None),
            writes_since: Cell::new(None),
            store_heard_at: Cell::new(clock.now()),
            store_lost: Cell::new(false),
            store_regained_at: Cell::new(None),
            draining: Cell::new(false),
            ends_at: Cell::new(None),
            in_progress: Cell::new(0),
        })
    }

    /// The epoch that this box owns the fleet in, or has just asked the store for; 0: neither.
    pub(super) fn claimed_epoch(&self) -> u64 {
        self.claimed_epoch.get()
    }

    /// Sets that epoch, and tells it to others from now on.
    pub(super) fn claim_epoch(&self, epoch: u64) {
        self.claimed_epoch.set(epoch);
        self.status.publish_epoch(epoch);
    }

    /// Leaves for others how this box stands.
    pub(super) fn publish_status(&self) {
        let owner = self.owner();
        let owns_epoch = self.claimed_epoch.get();
        self.status.publish(PingAnswer {
            incarnation: self.incarnation,
            owns_epoch,
            epoch: owner.epoch,
            owner_address: owner.address_text(),
            store_silent_ms: self.store_silent_ms(),
            config_version: self.config_version(),
            pending: match owns_epoch {
                0 => HashMap::new(),
                _ => self.pending().into_iter().collect(),
            },
            lag_ms: self.own_lag_ms.get(),
        });
    }

    pub(super) fn config(&self) -> Option<Rc<FleetConfig>> {
        self.config.borrow().clone()
    }

    pub(super) fn config_version(&self) -> u64 {
        self.config.borrow().as_ref().map_or(0, |config| config.version)
    }

    /// Puts a configuration in force if it is newer than the one in force.
    pub(super) fn offer_config(&self, config: FleetConfig, source: &'static str) {
        let before = self.config_version();
        if self.config.borrow().is_some() && config.version <= before {
            return;
        }
        log::info!(
            version = config.version, before = before, source = source,
            queues = config.routes.len();
            "config: in force"
        );
        *self.config.borrow_mut() = Some(Rc::new(config));
    }

    /// Takes note of what a call told of zones to evacuate, that began at a moment.
    pub(super) fn note_evacuations(
        &self,
        source: Source,
        version: u64,
        changes: Vec<EvacuationChange>,
        asked_at: Time,
    ) {
        if let Some(zones) = self.evacuated.note(source, version, changes, asked_at) {
            self.metrics.note_evacuated_zones(zones as u64);
        }
    }

    pub(super) fn owner(&self) -> OwnerView {
        self.owner.get()
    }

    /// Believes in an owner if its epoch is higher than that of the one believed in.
    pub(super) fn offer_owner(&self, view: OwnerView, source: &'static str) {
        let before = self.owner.get();
        if view.epoch < before.epoch || view == before {
            return;
        }
        let address = view.address_text();
        log::info!(
            epoch = view.epoch, before = before.epoch, address = address.as_str(), source = source;
            "owner: another owner is believed in"
        );
        self.owner.set(view);
        self.publish_status();
        self.owner_changed.notify_waiters();
    }

    /// Takes note of the owner that another box tells of.
    pub(super) fn note_told_owner(&self, epoch: u64, address: &str) {
        self.note_told_view(OwnerView::told(epoch, address));
    }

    /// The same, for a view that was read already.
    pub(super) fn note_told_view(&self, told: OwnerView) {
        if told.epoch > self.owner().epoch && told.address.is_some() {
            self.offer_owner(told, "peer");
        }
    }

    /// How many accepted jobs of a queue have not begun; `None` if the owner told none of late.
    pub(super) fn pending_of(&self, queue: &str) -> Option<u64> {
        let pending = self.pending.borrow();
        let (counts, told_at) = pending.as_ref()?;
        let fresh = self.clock.now().since(*told_at) <= PENDING_HOLDS_FOR;
        fresh.then(|| counts.get(queue).copied().unwrap_or(0))
    }

    /// All counts that the owner told last.
    pub(super) fn pending(&self) -> BTreeMap<String, u64> {
        self.pending.borrow().as_ref().map(|(counts, _)| counts.clone()).unwrap_or_default()
    }

    /// Takes note of what the owner told.
    pub(super) fn note_pending(&self, counts: impl Iterator<Item = (String, u64)>) {
        *self.pending.borrow_mut() = Some((counts.collect(), self.clock.now()));
    }

    /// How far the owner lags behind its events, as it said of late.
    pub(super) fn owner_lag(&self) -> Duration {
        let fresh = |(_, at): &(Duration, Time)| self.clock.now().since(*at) <= LAG_HOLDS_FOR;
        self.told_lag.get().filter(fresh).map(|(lag, _)| lag).unwrap_or_default()
    }

    /// Takes note of how far the owner says that it lags.
    pub(super) fn note_owner_lag(&self, lag: Duration) {
        self.told_lag.set(Some((lag, self.clock.now())));
    }

    /// Takes note of what a call to the store brought.
    pub(super) fn note_store<T>(&self, result: &Result<T, PlatformError>) {
        let answered = match result {
            Ok(_) => true,
            Err(PlatformError::Refused { status, .. }) => !BUSY_STATUSES.contains(status),
            Err(_) => false,
        };
        if answered {
            self.store_heard_at.set(self.clock.now());
        }
        if self.store_lost.get() == answered {
            self.store_lost.set(!answered);
            let cause = result.as_ref().err().map(ToString::to_string).unwrap_or_default();
            match answered {
                true => {
                    self.store_regained_at.set(Some(self.clock.now()));
                    log::info!("store: regained");
                }
                false => log::warn!(cause = cause.as_str(); "store: lost"),
            }
        }
    }

    /// Until when calls to the store brought no answer: the present while they bring none.
    pub(super) fn store_trouble_until(&self) -> Option<Time> {
        match self.store_lost.get() {
            true => Some(self.clock.now()),
            false => self.store_regained_at.get(),
        }
    }

    /// How long ago this box owned the fleet for certain.
    pub(super) fn owned_ago(&self) -> Option<Duration> {
        self.owned_at.get().map(|at| self.clock.now().since(at))
    }

    /// How long a write of the owner has waited for the store, in milliseconds.
    pub(super) fn write_waits_ms(&self) -> u64 {
        let now = self.clock.now();
        self.writes_since.get().map_or(0, |since| now.since(since).as_millis() as u64)
    }

    /// How long ago this box started, in milliseconds.
    pub(super) fn up_ms(&self) -> u64 {
        self.clock.now().since(self.started_at).as_millis() as u64
    }

    /// How long the store has not answered, in milliseconds.
    pub(super) fn store_silent_ms(&self) -> u64 {
        self.clock.now().since(self.store_heard_at.get()).as_millis() as u64
    }

    /// Whether the platform may give this box new connections.
    pub(super) fn is_ready(&self) -> bool {
        !self.draining.get() && self.config.borrow().is_some()
    }
}
