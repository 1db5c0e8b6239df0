//! The owner of the fleet: one loop that passes events to the scheduler and executes its actions.

mod actions;
mod callers;

use std::{collections::HashMap, net::SocketAddr, ops::ControlFlow, rc::Rc, time::Duration};

use kitetrail_core::{
    Time,
    jobs::{Event, JobRequestId, RecordSubject, Scheduler},
    owner_relief::{ReliefPause, SuccessorAnswer},
};
use tokio::{
    sync::{mpsc, oneshot},
    time::{self, MissedTickBehavior},
};

use super::{
    Platform,
    calls::{Answer, Call},
    committer::Batch,
    relief_watch::ReliefWatch,
    shared::Shared,
    store_probe::StoreProbe,
};
use crate::clock::unix_ms;

/// The interval of the timer that drives leases, due polls and back-offs. It is well below the shortest
/// pause between polls, 120 ms.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The interval at which counts are published to other components of the box. Callers may get counts of
/// waiting jobs that are 2 s old.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(250);
/// A tick that comes this late means that the process was stalled. Messages that arrived meanwhile are
/// handled before the tick.
const STALL_THRESHOLD: Duration = Duration::from_millis(150);
/// How long an owner continues without confirmation by the store. Longer than most outages that the
/// platform documents (4 to 5 s). The leases that it grants meanwhile get shorter and shorter, see
/// [`kitetrail_core::jobs::MAX_RENEWAL_WITHOUT_STORE`].
pub(super) const MAX_UNCONFIRMED: Duration = Duration::from_millis(7_000);

/// A message to the owner's loop.
#[derive(Debug)]
pub(super) enum OwnerMessage {
    /// A caller's request.
    Call(Call, oneshot::Sender<Answer>),
    /// An event for the scheduler.
    Event(Event),
    /// A batch was committed, except for the records about subjects that the store permanently refuses.
    Committed(u64, Vec<RecordSubject>),
    /// The writer can commit nothing more: another owner took over, or the store refuses a write
    /// permanently. The text is the reason.
    Deposed(&'static str),
    /// A request to release the fleet in an orderly way.
    Release,
    /// The result of asking other boxes for the store: a box that reaches it while this one does not, or
    /// `None`.
    StoreProbed(Option<SocketAddr>),
    /// The answer of a box that was asked whether it can relieve this owner; `None` if it can't or did not answer.
    ReliefAnswered(SocketAddr, Option<SuccessorAnswer>),
}

/// The cause of an iteration of the owner's loop.
#[derive(Debug)]
enum WakeCause {
    /// A message; `None` if the channel is closed.
    Message(Option<OwnerMessage>),
    /// The timer.
    Tick,
}

/// The way in which ownership ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OwnershipEnd {
    /// Another owner took over or may have, or this one can commit nothing more.
    Deposed,
    /// The box is stopping and could not read the state that the previous owner left.
    NotRead,
    /// It released the fleet in an orderly way.
    Released,
    /// It has too little processor time and leaves the fleet to a faster box, which keeps a pause before it may be
    /// relieved.
    Relieved(SocketAddr, ReliefPause),
    /// It can't reach the store and left the fleet to a box that can.
    LeftTo(SocketAddr),
}

/// The owner of the fleet.
pub(super) struct Owner<P: Platform> {
    shared: Rc<Shared<P>>,
    scheduler: Scheduler,
    inbox: mpsc::Receiver<OwnerMessage>,
    sender: mpsc::Sender<OwnerMessage>,
    batches: mpsc::Sender<Batch>,
    next_request: u64,
    /// The callers that wait for the answer to a submission or cancellation.
    waiting_callers: HashMap<JobRequestId, oneshot::Sender<Answer>>,
    /// Whether a batch is being written to the store.
    commit_in_flight: bool,
    /// Whether this owner must make no more decisions, since another one took over or may have.
    deposed: bool,
    /// Whether the fleet is to be released.
    releasing: bool,
    store_probe: StoreProbe,
    relief: Option<ReliefWatch>,
    /// The time of the last tick, including a skipped one.
    last_tick_at: Time,
    /// The time at which counts were last published to other components of the box.
    last_published_at: Time,
    /// The end of the store outage as last passed to the scheduler.
    sent_trouble_until: Option<Time>,
    /// When the last committed write was sent, as last passed to the scheduler.
    sent_confirmation: Option<Time>,
    /// The version of the configuration last passed to the scheduler.
    sent_config: Option<u64>,
    /// The revision of the evacuated zones last passed to the scheduler.
    sent_evacuations: Option<u64>,
    /// The last published number of runs left in evacuated zones.
    published_runs_left: u64,
    /// Whether the last tick was skipped because the process had been stalled.
    tick_skipped: bool,
}

impl<P: Platform> Owner<P> {
    pub(super) fn new(
        shared: Rc<Shared<P>>,
        scheduler: Scheduler,
        (sender, inbox): (mpsc::Sender<OwnerMessage>, mpsc::Receiver<OwnerMessage>),
        batches: mpsc::Sender<Batch>,
        relief: Option<ReliefWatch>,
    ) -> Self {
        let last_tick_at = shared.clock.now();
        Self {
            shared,
            scheduler,
            inbox,
            sender,
            batches,
            next_request: 0,
            waiting_callers: HashMap::new(),
            commit_in_flight: false,
            deposed: false,
            releasing: false,
            store_probe: StoreProbe::default(),
            relief,
            last_tick_at,
            last_published_at: Time::ZERO,
            sent_trouble_until: None,
            sent_confirmation: None,
            sent_config: None,
            sent_evacuations: None,
            published_runs_left: 0,
            tick_skipped: false,
        }
    }

    /// Runs the loop until ownership ends.
    pub(super) async fn run(mut self) -> OwnershipEnd {
        let mut ticks = time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let wake_cause = tokio::select! {
                message = self.inbox.recv() => WakeCause::Message(message),
                _ = ticks.tick() => WakeCause::Tick,
            };
            self.send_operator_changes();
            let handled = match wake_cause {
                WakeCause::Message(Some(message)) => self.handle_message(message),
                WakeCause::Message(None) => ControlFlow::Break(OwnershipEnd::Deposed),
                WakeCause::Tick => self.drain_inbox_and_tick(),
            };
            if let ControlFlow::Break(ended) = handled {
                return ended;
            }
            if self.deposed {
                return OwnershipEnd::Deposed;
            }
            if self.releasing && !self.commit_in_flight {
                return OwnershipEnd::Released;
            }
        }
    }

    fn handle_message(&mut self, message: OwnerMessage) -> ControlFlow<OwnershipEnd> {
        match message {
            OwnerMessage::Deposed(why) => {
                log::warn!(why = why; "owner: deposed");
                return ControlFlow::Break(OwnershipEnd::Deposed);
            }
            OwnerMessage::Release => self.releasing = true,
            OwnerMessage::StoreProbed(Some(_)) if !StoreProbe::is_store_suspect(&self.shared) => {
                // A write was committed meanwhile, on another connection.
                self.store_probe.record_probe_end(self.shared.clock.now());
            }
            OwnerMessage::StoreProbed(Some(successor)) => {
                log::warn!(
                    peer = successor.to_string(), waits_ms = self.shared.write_pending_ms();
                    "owner: releasing the fleet to a box that reaches the store"
                );
                return ControlFlow::Break(OwnershipEnd::LeftTo(successor));
            }
            OwnerMessage::StoreProbed(None) => {
                self.store_probe.record_probe_end(self.shared.clock.now())
            }
            // The box is stopping, which hands the fleet over as well.
            OwnerMessage::ReliefAnswered(..) if self.releasing => {}
            OwnerMessage::ReliefAnswered(successor, answer) => {
                let relief = self.relief.as_mut();
                let pause =
                    relief.and_then(|relief| relief.record_answer(&self.shared, successor, answer));
                if let Some(pause) = pause {
                    return ControlFlow::Break(OwnershipEnd::Relieved(successor, pause));
                }
            }
            OwnerMessage::Call(_, reply) if self.releasing => {
                let _ = reply.send(Answer::NotOwner);
            }
            OwnerMessage::Call(call, reply) => self.handle_call(call, reply),
            OwnerMessage::Event(event) => {
                // Workers may be missing from the list because of a store outage.
                self.send_store_trouble();
                if !self.handle(event) {
                    return ControlFlow::Break(OwnershipEnd::Deposed);
                }
            }
            OwnerMessage::Committed(batch, refused) => {
                self.commit_in_flight = false;
                if !refused.is_empty() {
                    self.handle(Event::RecordsRefused(refused));
                }
                self.handle(Event::Committed(batch));
            }
        }
        ControlFlow::Continue(())
    }

    /// Handles all waiting messages before the tick, so that an answer that has already arrived is not
    /// considered missing.
    fn drain_inbox_and_tick(&mut self) -> ControlFlow<OwnershipEnd> {
        for _ in 0..self.inbox.len() {
            let Ok(message) = self.inbox.try_recv() else { break };
            self.handle_message(message)?;
        }
        let now = self.shared.clock.now();
        let since_last = now.since(self.last_tick_at);
        let stalled = since_last >= STALL_THRESHOLD;
        self.last_tick_at = now;
        let lag = since_last.saturating_sub(TICK_INTERVAL);
        if let Some(relief) = &mut self.relief {
            relief.record_lag(lag, now);
        }
        if !self.handle(Event::OwnerLagged(lag)) {
            return ControlFlow::Break(OwnershipEnd::Deposed);
        }
        if stalled && !self.tick_skipped {
            self.tick_skipped = true;
            return ControlFlow::Continue(());
        }
        self.tick_skipped = false;
        self.tick()
    }

    fn tick(&mut self) -> ControlFlow<OwnershipEnd> {
        self.send_store_trouble();
        self.send_confirmation();
        if !self.handle(Event::Tick) {
            return ControlFlow::Break(OwnershipEnd::Deposed);
        }
        self.shared.own_lag_ms.set(self.scheduler.lag().as_millis() as u64);
        self.shared.publish_status();
        self.publish_if_due();
        self.store_probe.probe_if_due(&self.shared, &self.sender);
        self.yield_to_stronger_box();
        if let Some(relief) = self.relief.as_mut().filter(|_| !self.releasing) {
            relief.check(&self.shared, self.published_runs_left > 0, &self.sender);
        }
        ControlFlow::Continue(())
    }

    /// Releases the fleet if a much stronger box pings this one.
    fn yield_to_stronger_box(&mut self) {
        let own_strength = self.shared.settings.strength;
        let candidates = self.shared.candidates.borrow();
        if self.releasing {
            return;
        }
        if let Some(stronger) =
            candidates.much_stronger_candidate(own_strength, self.shared.clock.now())
        {
            log::info!(
                peer = stronger.to_string(), own = own_strength.to_string();
                "owner: releasing the fleet to a stronger box"
            );
            self.releasing = true;
        }
    }

    /// Passes the end of the store outage to the scheduler, if it changed.
    fn send_store_trouble(&mut self) {
        let until = self.shared.store_trouble_until();
        if let Some(until) = until.filter(|_| until > self.sent_trouble_until) {
            self.sent_trouble_until = Some(until);
            self.handle(Event::StoreUnavailable { until });
        }
    }

    /// Passes to the scheduler when the last committed write was sent, if that changed.
    fn send_confirmation(&mut self) {
        let sent_at = self.shared.confirmed_owner_at.get();
        if let Some(sent_at) = sent_at.filter(|_| sent_at != self.sent_confirmation) {
            self.sent_confirmation = Some(sent_at);
            self.handle(Event::OwnershipConfirmed { sent_at });
        }
    }

    /// Passes an event to the scheduler and executes its actions. Returns `false` if this owner is deposed.
    ///
    /// An owner that the store has not confirmed for too long makes no more decisions on any event: after a suspension,
    /// waiting answers may be read before the timer is checked.
    fn handle(&mut self, event: Event) -> bool {
        let now = self.shared.clock.now();
        if self.is_unconfirmed_too_long(now) {
            self.deposed = true;
        }
        if !self.deposed {
            let actions = self.scheduler.handle(event, now, unix_ms());
            self.deposed |= !actions.into_iter().all(|action| self.execute(action));
        }
        !self.deposed
    }

    fn is_unconfirmed_too_long(&self, now: Time) -> bool {
        let confirmed_ago = self.shared.confirmed_owner_at.get().map(|time| now.since(time));
        let too_long = confirmed_ago.is_none_or(|ago| ago > MAX_UNCONFIRMED);
        if too_long && !self.deposed {
            log::warn!(
                confirmed_ago_ms:? = confirmed_ago.map(|ago| ago.as_millis());
                "owner: giving up ownership, the store has not confirmed it in time"
            );
        }
        too_long
    }

    /// Passes changes of evacuated zones and of the configuration to the scheduler.
    ///
    /// Versions are compared in each iteration instead of waiting for a notification: one that arrives together with a
    /// message would be lost.
    fn send_operator_changes(&mut self) {
        let evacuations = Some(self.shared.evacuated.revision());
        if evacuations != self.sent_evacuations {
            self.sent_evacuations = evacuations;
            let zones = self.shared.evacuated.zones();
            self.handle(Event::EvacuatedZonesChanged(zones));
        }
        let config = self.shared.config().filter(|config| Some(config.version) != self.sent_config);
        if let Some(config) = config {
            self.sent_config = Some(config.version);
            self.handle(Event::QueuesChanged(config.queues()));
        }
    }

    /// Publishes counts to other components of the box, at most once per interval.
    fn publish_if_due(&mut self) {
        let now = self.shared.clock.now();
        if now.since(self.last_published_at) >= PUBLISH_INTERVAL {
            self.last_published_at = now;
            self.publish();
        }
    }

    fn publish(&mut self) {
        let runs_left = self.scheduler.runs_in_evacuated_zones();
        if runs_left != self.published_runs_left {
            self.published_runs_left = runs_left;
            self.shared.metrics.record_evacuated_runs_left(runs_left);
        }
        let counts = self.scheduler.unstarted_jobs_by_queue();
        let counts = counts.into_iter().map(|(queue, count)| (queue.to_string(), count));
        self.shared.record_pending(counts);
    }
}
