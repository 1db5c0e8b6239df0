//! The owner of the fleet: one loop that feeds the scheduler and does what it asks for.

mod actions;
mod callers;

use std::{collections::HashMap, net::SocketAddr, ops::ControlFlow, rc::Rc, time::Duration};

use kitetrail_core::{
    Time,
    jobs::{Event, RequestNo, Scheduler},
};
use tokio::{
    sync::{mpsc, oneshot},
    time::{self, MissedTickBehavior},
};

use super::{
    Platform,
    calls::{Answer, Call},
    committer::Batch,
    shared::Shared,
    store_doubt::StoreDoubt,
};
use crate::clock::unix_ms;

/// How often time alone is looked at: leases, holds that are due, back-offs. Well below the shortest
/// pause between holds, 120 ms.
const TICK: Duration = Duration::from_millis(20);
/// How often other parts of the box are told how things stand. What callers are told of jobs that
/// wait may be 2 s old.
const PUBLISH_EVERY: Duration = Duration::from_millis(250);
/// A tick that comes so late tells that the process was held up: what came meanwhile goes first.
const HELD_UP: Duration = Duration::from_millis(150);
/// How long an owner goes on without the store. Longer than most outages that the platform tells of
/// (4 to 5 s); a new owner waits so much longer for workers that live and that it can't reach.
pub(super) const WITHOUT_STORE: Duration = Duration::from_millis(7_000);

/// What the owner's loop is told.
#[derive(Debug)]
pub(super) enum OwnerMessage {
    /// A caller's request.
    Call(Call, oneshot::Sender<Answer>),
    /// Something happened.
    Event(Event),
    /// A batch is kept.
    Committed(u64),
    /// Another owner took the fleet over, or must have.
    Deposed(&'static str),
    /// Give the fleet up in order.
    Release,
    /// The store was asked by this box and others: one of them reaches it and this one does not, or
    /// none.
    StoreAsked(Option<SocketAddr>),
}

/// What the owner's loop woke up for.
#[derive(Debug)]
enum WokenBy {
    /// A message; `None`: nobody can send any more.
    Message(Option<OwnerMessage>),
    /// Time.
    Tick,
}

/// How an owner ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ended {
    /// Another owner took over.
    Deposed,
    /// The box stops, and could not read what the owner before has left.
    NotRead,
    /// It gave the fleet up in order.
    Released,
    /// It does not reach the store and left the fleet to a box that does.
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
    /// Callers who handed a job in or cancelled one, and wait for the answer.
    waiting: HashMap<RequestNo, oneshot::Sender<Answer>>,
    /// A batch is on its way to the store.
    unkept: bool,
    /// Another owner took the fleet over.
    deposed: bool,
    /// It was told to give the fleet up.
    releasing: bool,
    doubt: StoreDoubt,
    /// When time alone was looked at last, or would have been.
    ticked_at: Time,
    /// When other parts of the box were told last how things stand.
    published_at: Time,
    /// Until when the scheduler was told that the store was in trouble.
    told_trouble_until: Option<Time>,
    /// The version of the configuration that the scheduler was told.
    told_config: Option<u64>,
    /// The revision of the evacuated zones that the scheduler was told.
    told_evacuations: Option<u64>,
    /// How many runs are left in evacuated zones, as told last.
    told_runs_left: u64,
    /// The last tick was left out because the process had been held up.
    tick_left_out: bool,
}

impl<P: Platform> Owner<P> {
    pub(super) fn new(
        shared: Rc<Shared<P>>,
        scheduler: Scheduler,
        (sender, inbox): (mpsc::Sender<OwnerMessage>, mpsc::Receiver<OwnerMessage>),
        batches: mpsc::Sender<Batch>,
    ) -> Self {
        let ticked_at = shared.clock.now();
        Self {
            shared,
            scheduler,
            inbox,
            sender,
            batches,
            next_request: 0,
            waiting: HashMap::new(),
            unkept: false,
            deposed: false,
            releasing: false,
            doubt: StoreDoubt::default(),
            ticked_at,
            published_at: Time::ZERO,
            told_trouble_until: None,
            told_config: None,
            told_evacuations: None,
            told_runs_left: 0,
            tick_left_out: false,
        }
    }

    /// Owns the fleet until told otherwise.
    pub(super) async fn run(mut self) -> Ended {
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let woken_by = tokio::select! {
                message = self.inbox.recv() => WokenBy::Message(message),
                _ = ticks.tick() => WokenBy::Tick,
            };
            self.follow_operators();
            let taken = match woken_by {
                WokenBy::Message(Some(message)) => self.take(message),
                WokenBy::Message(None) => ControlFlow::Break(Ended::Deposed),
                WokenBy::Tick => self.take_all_and_tick(),
            };
            if let ControlFlow::Break(ended) = taken {
                return ended;
            }
            if self.deposed {
                return Ended::Deposed;
            }
            if self.releasing && !self.unkept {
                return Ended::Released;
            }
        }
    }

    fn take(&mut self, message: OwnerMessage) -> ControlFlow<Ended> {
        match message {
            OwnerMessage::Deposed(why) => {
                log::warn!(why = why; "owner: deposed");
                return ControlFlow::Break(Ended::Deposed);
            }
            OwnerMessage::Release => self.releasing = true,
            OwnerMessage::StoreAsked(Some(_)) if !StoreDoubt::is_due(&self.shared) => {
                // A write was done meanwhile, on another connection.
                self.doubt.note_asked(self.shared.clock.now());
            }
            OwnerMessage::StoreAsked(Some(successor)) => {
                log::warn!(
                    peer = successor.to_string(), waits_ms = self.shared.write_waits_ms();
                    "owner: leaves the fleet to a box that reaches the store"
                );
                return ControlFlow::Break(Ended::LeftTo(successor));
            }
            OwnerMessage::StoreAsked(None) => self.doubt.note_asked(self.shared.clock.now()),
            OwnerMessage::Call(_, reply) if self.releasing => {
                let _ = reply.send(Answer::NotOwner);
            }
            OwnerMessage::Call(call, reply) => self.call(call, reply),
            OwnerMessage::Event(event) => {
                // Entries may go from the list because of it.
                self.tell_store_trouble();
                if !self.handle(event) {
                    return ControlFlow::Break(Ended::Deposed);
                }
            }
            OwnerMessage::Committed(batch) => {
                self.unkept = false;
                self.handle(Event::Committed(batch));
            }
        }
        ControlFlow::Continue(())
    }

    /// Takes what waits, then looks at what time alone changes: an answer that is here already must
    /// not be taken for missing.
    fn take_all_and_tick(&mut self) -> ControlFlow<Ended> {
        for _ in 0..self.inbox.len() {
            let Ok(message) = self.inbox.try_recv() else { break };
            self.take(message)?;
        }
        let now = self.shared.clock.now();
        let since_last = now.since(self.ticked_at);
        let held_up = since_last >= HELD_UP;
        self.ticked_at = now;
        if !self.handle(Event::Lagged(since_last.saturating_sub(TICK))) {
            return ControlFlow::Break(Ended::Deposed);
        }
        if held_up && !self.tick_left_out {
            self.tick_left_out = true;
            return ControlFlow::Continue(());
        }
        self.tick_left_out = false;
        self.tick()
    }

    fn tick(&mut self) -> ControlFlow<Ended> {
        self.tell_store_trouble();
        if !self.handle(Event::Tick) {
            return ControlFlow::Break(Ended::Deposed);
        }
        self.shared.own_lag_ms.set(self.scheduler.lag().as_millis() as u64);
        self.shared.publish_status();
        self.publish_if_due();
        self.doubt.ask_if_due(&self.shared, &self.sender);
        self.make_way();
        ControlFlow::Continue(())
    }

    /// Gives the fleet up if a box that can carry much more asks how this one stands.
    fn make_way(&mut self) {
        let own = self.shared.settings.strength;
        let candidates = self.shared.candidates.borrow();
        if self.releasing {
            return;
        }
        if let Some(stronger) = candidates.much_stronger(own, self.shared.clock.now()) {
            log::info!(
                peer = stronger.to_string(), own = own.to_string();
                "owner: makes way for a stronger box"
            );
            self.releasing = true;
        }
    }

    /// Tells the scheduler until when the store was in trouble, if that is news to it.
    fn tell_store_trouble(&mut self) {
        let until = self.shared.store_trouble_until();
        if let Some(until) = until.filter(|_| until > self.told_trouble_until) {
            self.told_trouble_until = Some(until);
            self.handle(Event::StoreTrouble { until });
        }
    }

    /// Feeds the scheduler and does what it asks for. `false`: deposed.
    ///
    /// An owner that the store has not confirmed for too long decides nothing more, whatever it is told: after it stood still
    /// answers may wait that are read before time is looked at.
    fn handle(&mut self, event: Event) -> bool {
        let now = self.shared.clock.now();
        if self.is_unconfirmed_too_long(now) {
            self.deposed = true;
        }
        if !self.deposed {
            let actions = self.scheduler.handle(event, now, unix_ms());
            self.deposed |= !actions.into_iter().all(|action| self.act(action));
        }
        !self.deposed
    }

    fn is_unconfirmed_too_long(&self, now: Time) -> bool {
        let confirmed_ago = self.shared.owned_at.get().map(|at| now.since(at));
        let too_long = confirmed_ago.is_none_or(|ago| ago > WITHOUT_STORE);
        if too_long && !self.deposed {
            log::warn!(
                confirmed_ago_ms:? = confirmed_ago.map(|ago| ago.as_millis());
                "owner: gives up, the store has not confirmed it"
            );
        }
        too_long
    }

    /// Puts in force what operators ask for, where it changed.
    ///
    /// Compared each time, and not waited for beside messages: a notice that comes together with a message
    /// would be lost.
    fn follow_operators(&mut self) {
        let evacuations = Some(self.shared.evacuated.revision());
        if evacuations != self.told_evacuations {
            self.told_evacuations = evacuations;
            let zones = self.shared.evacuated.zones();
            self.handle(Event::Evacuated(zones));
        }
        let config = self.shared.config().filter(|it| Some(it.version) != self.told_config);
        if let Some(config) = config {
            self.told_config = Some(config.version);
            self.handle(Event::Queues(config.queues()));
        }
    }

    /// Tells other parts of the box how things stand.
    fn publish_if_due(&mut self) {
        let now = self.shared.clock.now();
        if now.since(self.published_at) >= PUBLISH_EVERY {
            self.published_at = now;
            self.publish();
        }
    }

    fn publish(&mut self) {
        let runs_left = self.scheduler.runs_in_evacuated_zones();
        if runs_left != self.told_runs_left {
            self.told_runs_left = runs_left;
            self.shared.metrics.note_evacuated_runs_left(runs_left);
        }
        let counts = self.scheduler.pending_by_queue();
        let counts = counts.into_iter().map(|(queue, count)| (queue.to_string(), count));
        self.shared.note_pending(counts);
    }
}
