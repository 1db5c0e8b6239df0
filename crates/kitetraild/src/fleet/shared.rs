//! The state that the components of one box share, all on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_core::{
    Time,
    evacuation::EvacuationChange,
    fleet_config::FleetConfig,
    owner_relief::{BoxSpeeds, ReliefPause, WorkTime},
    succession::Candidates,
};
use kitetrail_platform::PlatformError;
use kitetrail_proto::jobs::PingAnswer;
use tokio::{
    sync::{Notify, Semaphore, mpsc},
    time,
};

use super::{
    FleetSettings, Platform, Services,
    evacuation::{EvacuatedZones, EvacuationSource},
    owner::OwnerMessage,
    peers::{PeerClients, PublishedStatus},
};
use crate::{
    admission::{BodyReceiver, ConnectionTable, MemoryBudget},
    clock::Clock,
    metrics::Metrics,
};

/// The HTTP statuses of a store that can't serve requests now: too many requests, and unavailable.
/// Any other refusal shows that it is working.
const BUSY_STATUSES: [u16; 2] = [429, 503];

/// The age up to which counts of waiting jobs are used: callers may get counts that are 2 s old.
const MAX_PENDING_AGE: Duration = Duration::from_millis(2_000);

/// The age up to which the lag reported by the owner is used. The owner is pinged every 0.4 s, so one lost answer
/// and one late answer fit into this time.
const MAX_LAG_AGE: Duration = Duration::from_millis(1_500);

/// The time before the end of a stopping box that is reserved for sending the last responses: about ten
/// times what a response takes on a box that is slowed eight times.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(300);

/// The owner of the fleet, as far as this box knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct OwnerView {
    pub(super) epoch: u64,
    /// The address where the owner answers other boxes.
    pub(super) address: Option<SocketAddr>,
}

impl OwnerView {
    /// Creates the view that another box reports.
    pub(super) fn from_report(epoch: u64, address: &str) -> Self {
        Self { epoch, address: address.parse().ok() }
    }

    /// Returns the address as it is sent to other boxes and logged. It is empty if there is none.
    pub(super) fn address_text(&self) -> String {
        self.address.map(|address| address.to_string()).unwrap_or_default()
    }
}

/// The state that the components of one box share.
pub(super) struct Shared<P: Platform> {
    pub(super) settings: FleetSettings,
    pub(super) services: Services<P>,
    pub(super) clock: Clock,
    started_at: Time,
    pub(super) incarnation: u64,
    pub(super) metrics: Metrics,
    pub(super) peers: PeerClients,
    /// The bodies of callers' requests that are being received.
    pub(super) bodies: BodyReceiver,
    /// The connections of callers.
    pub(super) connections: Rc<ConnectionTable>,
    /// Held while a long body is decoded, so that other tasks get their turn between two of them.
    pub(super) decode_turn: Semaphore,
    config: RefCell<Option<Rc<FleetConfig>>>,
    /// The zones evacuated by operators.
    pub(super) evacuated: EvacuatedZones,
    owner: Cell<OwnerView>,
    pub(super) owner_changed: Notify,
    /// The owner's inbox, while this box owns the fleet.
    pub(super) owner_inbox: RefCell<Option<mpsc::Sender<OwnerMessage>>>,
    /// The epoch in which this box owns the fleet or has just claimed it; 0 if neither.
    ///
    /// It is set before the claim is sent to the store: other boxes may read the row before the answer
    /// arrives.
    claimed_epoch: Cell<u64>,
    /// The last reported numbers of accepted jobs that have not begun, by queue, and the time of the report.
    pending_counts: RefCell<Option<(BTreeMap<String, u64>, Time)>>,
    /// The status of this box as reported to others.
    pub(super) status: PublishedStatus,
    /// How far this box as the owner lags behind its events, in milliseconds; 0 if it is not the owner.
    pub(super) own_lag_ms: Cell<u64>,
    /// The lag that the owner last reported, and the time of the report.
    reported_owner_lag: Cell<Option<(Duration, Time)>>,
    /// The boxes that ping this one, and so could own the fleet after it.
    pub(super) candidates: RefCell<Candidates<SocketAddr>>,
    /// The epoch of an owner that has stopped and asked this box to take over; 0 if none.
    pub(super) takeover_requested_epoch: Cell<u64>,
    pub(super) takeover_requested: Notify,
    /// The latest time at which this box certainly owned the fleet: the start of a write that was
    /// committed.
    pub(super) confirmed_owner_at: Cell<Option<Time>>,
    /// The time since which a write of the owner has been pending in the store.
    pub(super) write_pending_since: Cell<Option<Time>>,
    /// The time of the store's last answer.
    store_answered_at: Cell<Time>,
    /// Whether the last call to the store got no answer.
    store_unreachable: Cell<bool>,
    /// The time at which the store answered again after a call that got no answer.
    store_recovered_at: Cell<Option<Time>>,
    /// How long this box takes for the reference work; `None` if not measured.
    pub(super) own_work_time: Cell<Option<WorkTime>>,
    /// What other boxes said of their speed.
    pub(super) box_speeds: RefCell<BoxSpeeds<SocketAddr>>,
    /// The epoch of an owner that asked this box to relieve it, and the pause until the next relief.
    pub(super) relief_requested: Cell<Option<(u64, ReliefPause)>>,
    /// Whether the box was asked to stop.
    pub(super) draining: Cell<bool>,
    /// The latest time at which the box ends, once it was asked to stop.
    stop_deadline: Cell<Option<Instant>>,
    stop_requested: Notify,
    /// The number of callers' requests that are not answered yet.
    pub(super) requests_in_progress: Cell<usize>,
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
            connections: ConnectionTable::new(settings.machine.max_connections()),
            decode_turn: Semaphore::new(1),
            bodies: BodyReceiver::new(MemoryBudget::new(settings.machine.request_memory())),
            settings,
            services,
            config: RefCell::default(),
            evacuated: EvacuatedZones::default(),
            owner: Cell::default(),
            owner_changed: Notify::new(),
            owner_inbox: RefCell::default(),
            claimed_epoch: Cell::new(0),
            pending_counts: RefCell::default(),
            status: PublishedStatus::new(incarnation),
            own_lag_ms: Cell::new(0),
            reported_owner_lag: Cell::new(None),
            candidates: RefCell::default(),
            takeover_requested_epoch: Cell::new(0),
            takeover_requested: Notify::new(),
            confirmed_owner_at: Cell::new(None),
            write_pending_since: Cell::new(None),
            store_answered_at: Cell::new(clock.now()),
            store_unreachable: Cell::new(false),
            store_recovered_at: Cell::new(None),
            own_work_time: Cell::new(None),
            box_speeds: RefCell::default(),
            relief_requested: Cell::new(None),
            draining: Cell::new(false),
            stop_deadline: Cell::new(None),
            stop_requested: Notify::new(),
            requests_in_progress: Cell::new(0),
        })
    }

    /// Returns the epoch in which this box owns the fleet or has just claimed it; 0 if neither.
    pub(super) fn claimed_epoch(&self) -> u64 {
        self.claimed_epoch.get()
    }

    /// Sets the claimed epoch, and reports it to other boxes from now on.
    pub(super) fn set_claimed_epoch(&self, epoch: u64) {
        self.claimed_epoch.set(epoch);
        self.status.publish_epoch(epoch);
    }

    /// Publishes the status of this box for other boxes.
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
                _ => self.pending_counts().into_iter().collect(),
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

    /// Applies a configuration if it is newer than the current one.
    pub(super) fn apply_if_newer(&self, config: FleetConfig, source: &'static str) {
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

    /// Records the evacuation requests returned by a call that began at `asked_at`.
    pub(super) fn record_evacuations(
        &self,
        source: EvacuationSource,
        version: u64,
        changes: Vec<EvacuationChange>,
        asked_at: Time,
    ) {
        if let Some(zones) = self.evacuated.record(source, version, changes, asked_at) {
            self.metrics.record_evacuated_zones(zones as u64);
        }
    }

    pub(super) fn owner(&self) -> OwnerView {
        self.owner.get()
    }

    /// Adopts a reported owner unless its epoch is lower than that of the known one.
    pub(super) fn adopt_owner(&self, view: OwnerView, source: &'static str) {
        let before = self.owner.get();
        if view.epoch < before.epoch || view == before {
            return;
        }
        let address = view.address_text();
        log::info!(
            epoch = view.epoch, before = before.epoch, address = address.as_str(), source = source;
            "owner: the known owner changed"
        );
        self.owner.set(view);
        self.publish_status();
        self.owner_changed.notify_waiters();
    }

    /// Records the owner that another box reports.
    pub(super) fn record_reported_owner(&self, epoch: u64, address: &str) {
        self.record_reported_view(OwnerView::from_report(epoch, address));
    }

    /// Records the owner that another box reports, as a parsed view.
    pub(super) fn record_reported_view(&self, reported: OwnerView) {
        if reported.epoch > self.owner().epoch && reported.address.is_some() {
            self.adopt_owner(reported, "peer");
        }
    }

    /// Returns the number of accepted jobs of a queue that have not begun; `None` if the owner has not
    /// reported counts recently.
    pub(super) fn pending_jobs_of(&self, queue: &str) -> Option<u64> {
        let pending_counts = self.pending_counts.borrow();
        let (counts, reported_at) = pending_counts.as_ref()?;
        let fresh = self.clock.now().since(*reported_at) <= MAX_PENDING_AGE;
        fresh.then(|| counts.get(queue).copied().unwrap_or(0))
    }

    /// Returns all counts that the owner last reported.
    pub(super) fn pending_counts(&self) -> BTreeMap<String, u64> {
        self.pending_counts.borrow().as_ref().map(|(counts, _)| counts.clone()).unwrap_or_default()
    }

    /// Records the counts that the owner reports.
    pub(super) fn record_pending(&self, counts: impl Iterator<Item = (String, u64)>) {
        *self.pending_counts.borrow_mut() = Some((counts.collect(), self.clock.now()));
    }

    /// Returns how far the owner lags behind its events, by its last recent report.
    pub(super) fn owner_lag(&self) -> Duration {
        let fresh = |(_, reported_at): &(Duration, Time)| {
            self.clock.now().since(*reported_at) <= MAX_LAG_AGE
        };
        self.reported_owner_lag.get().filter(fresh).map(|(lag, _)| lag).unwrap_or_default()
    }

    /// Records the lag that the owner reports.
    pub(super) fn record_owner_lag(&self, lag: Duration) {
        self.reported_owner_lag.set(Some((lag, self.clock.now())));
    }

    /// Records whether a call to the store got an answer.
    pub(super) fn record_store_result<T>(&self, result: &Result<T, PlatformError>) {
        let answered = match result {
            Ok(_) => true,
            Err(PlatformError::Refused { status, .. }) => !BUSY_STATUSES.contains(status),
            Err(_) => false,
        };
        if answered {
            self.store_answered_at.set(self.clock.now());
        }
        if self.store_unreachable.get() == answered {
            self.store_unreachable.set(!answered);
            let cause = result.as_ref().err().map(ToString::to_string).unwrap_or_default();
            match answered {
                true => {
                    self.store_recovered_at.set(Some(self.clock.now()));
                    log::info!("store: regained");
                }
                false => log::warn!(cause = cause.as_str(); "store: lost"),
            }
        }
    }

    /// Returns the time until which calls to the store got no answer: the present while they get none.
    pub(super) fn store_trouble_until(&self) -> Option<Time> {
        match self.store_unreachable.get() {
            true => Some(self.clock.now()),
            false => self.store_recovered_at.get(),
        }
    }

    /// Returns how long ago this box certainly owned the fleet.
    pub(super) fn confirmed_owner_ago(&self) -> Option<Duration> {
        self.confirmed_owner_at.get().map(|confirmed_at| self.clock.now().since(confirmed_at))
    }

    /// Returns how long a write of the owner has been pending in the store, in milliseconds.
    pub(super) fn write_pending_ms(&self) -> u64 {
        let now = self.clock.now();
        self.write_pending_since.get().map_or(0, |since| now.since(since).as_millis() as u64)
    }

    /// Returns the uptime of this box, in milliseconds.
    pub(super) fn up_ms(&self) -> u64 {
        self.clock.now().since(self.started_at).as_millis() as u64
    }

    /// Returns the time since the store's last answer, in milliseconds.
    pub(super) fn store_silent_ms(&self) -> u64 {
        self.clock.now().since(self.store_answered_at.get()).as_millis() as u64
    }

    /// Records that the box was asked to stop, and the latest time at which it ends.
    pub(super) fn record_stop_requested(&self, deadline: Instant) {
        self.stop_deadline.set(Some(deadline));
        self.draining.set(true);
        self.stop_requested.notify_waiters();
    }

    /// Returns the latest time at which calls are answered, once the box was asked to stop, so that callers
    /// still get a response.
    pub(super) fn stop_limit(&self) -> Option<Instant> {
        let deadline = self.stop_deadline.get()?;
        Some(deadline.checked_sub(SHUTDOWN_RESERVE).unwrap_or(deadline))
    }

    /// Waits until the box was asked to stop and this time has passed.
    pub(super) async fn stop_limit_reached(&self) {
        let stop_requested = self.stop_requested.notified();
        if self.stop_limit().is_none() {
            stop_requested.await;
        }
        if let Some(limit) = self.stop_limit() {
            time::sleep_until(limit.into()).await;
        }
    }

    /// Returns whether the platform may route new connections to this box.
    pub(super) fn is_ready(&self) -> bool {
        !self.draining.get() && self.config.borrow().is_some()
    }
}
