//! The owner of the fleet: one loop that feeds the scheduler and does what it asks for.

use std::{
    collections::HashMap, net::SocketAddr, ops::ControlFlow, pin::pin, rc::Rc, sync::Arc,
    time::Duration,
};

use kitetrail_core::{
    Time,
    jobs::{
        Action, CancelAnswer, Event, Hold, HoldFailure, JobId, LifeNo, Order, RequestNo, Scheduler,
        SubmitAnswer, WorkerEntry,
    },
};
use kitetrail_platform::{fleet::WorkerControl, within};
use tokio::{
    sync::{mpsc, oneshot},
    task,
    time::{self, MissedTickBehavior},
};

use super::{
    Platform,
    calls::{Answer, Call},
    committer::Batch,
    notes,
    shared::Shared,
    store_doubt,
};
use crate::clock::unix_ms;

/// How often time alone is looked at: leases, holds that are due, back-offs.
const TICK: Duration = Duration::from_millis(20);
/// An owner that the store has not answered for so long does not say that a job is unknown:
/// another owner may have taken it.
const SURE_WITHIN_MS: u64 = 1_200;
/// How often other parts of the box are told how things stand. What callers are told of jobs that
/// wait may be 2 s old.
const PUBLISH_EVERY: Duration = Duration::from_millis(250);
/// How much longer than it may wait a worker may take to answer a hold before it counts as silent.
const HOLD_SLACK: Duration = Duration::from_millis(300);
/// How long an answer that comes late is still read: what it says has ended has ended for good, and
/// must not run again. Longer than leases last.
const LATE_REPORT: Duration = Duration::from_millis(4_500);
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

/// How an owner ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ended {
    /// Another owner took over.
    Deposed,
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
    /// It was told to give the fleet up.
    releasing: bool,
    doubt: store_doubt::StoreDoubt,
    /// When time alone was looked at last, or would have been.
    ticked_at: Time,
    /// When other parts of the box were told last how things stand.
    published_at: Time,
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
            releasing: false,
            doubt: store_doubt::StoreDoubt::default(),
            ticked_at,
            published_at: Time::ZERO,
            tick_left_out: false,
        }
    }

    /// Owns the fleet until told otherwise.
    pub(super) async fn run(mut self) -> Ended {
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.configure();
        loop {
            let taken = tokio::select! {
                message = self.inbox.recv() => match message {
                    Some(message) => self.take(message),
                    None => ControlFlow::Break(Ended::Deposed),
                },
                _ = ticks.tick() => self.take_all_and_tick(),
                () = self.shared.config_changed.notified() => {
                    self.configure();
                    ControlFlow::Continue(())
                }
            };
            if let ControlFlow::Break(ended) = taken {
                return ended;
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
        let held_up = now.since(self.ticked_at) >= HELD_UP;
        self.ticked_at = now;
        if held_up && !self.tick_left_out {
            self.tick_left_out = true;
            return ControlFlow::Continue(());
        }
        self.tick_left_out = false;
        self.tick()
    }

    fn tick(&mut self) -> ControlFlow<Ended> {
        if !self.handle(Event::Tick) {
            return ControlFlow::Break(Ended::Deposed);
        }
        self.publish_if_due();
        self.doubt.ask_if_due(&self.shared, &self.sender);
        self.make_way();
        match self.store_lost_too_long() {
            true => ControlFlow::Break(Ended::Deposed),
            false => ControlFlow::Continue(()),
        }
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

    fn store_lost_too_long(&self) -> bool {
        let silent_ms = self.shared.store_silent_ms();
        let too_long = u128::from(silent_ms) > WITHOUT_STORE.as_millis();
        if too_long {
            log::warn!(silent_ms = silent_ms; "owner: gives up, the store has not answered");
        }
        too_long
    }

    fn configure(&mut self) {
        if let Some(config) = self.shared.config() {
            self.handle(Event::Queues(config.queues()));
        }
    }

    fn call(&mut self, call: Call, reply: oneshot::Sender<Answer>) {
        let request = RequestNo(self.next_request);
        self.next_request += 1;
        match call {
            Call::Submit { job, queue, spec } => {
                self.waiting.insert(request, reply);
                let spec = Box::new(Rc::unwrap_or_clone(spec));
                self.handle(Event::Submit { request, job, queue, spec });
            }
            Call::Cancel { job } => {
                self.waiting.insert(request, reply);
                self.handle(Event::Cancel { request, job });
            }
            Call::State { job } => {
                let _ = reply.send(self.state(job));
            }
        }
    }

    /// How a job stands, as far as this owner can tell.
    fn state(&self, job: JobId) -> Answer {
        match self.scheduler.state(job) {
            Some(state) => Answer::State(state),
            None => self.unknown(),
        }
    }

    /// What is said of a job that this owner does not know.
    fn unknown(&self) -> Answer {
        match self.shared.store_silent_ms() {
            silent_ms if silent_ms <= SURE_WITHIN_MS => Answer::UnknownJob,
            _ => Answer::InDoubt,
        }
    }

    /// Feeds the scheduler and does what it asks for. `false`: deposed.
    fn handle(&mut self, event: Event) -> bool {
        let actions = self.scheduler.handle(event, self.shared.clock.now(), unix_ms());
        actions.into_iter().all(|action| self.act(action))
    }

    /// Does what the scheduler asks for. `false`: deposed.
    fn act(&mut self, action: Action) -> bool {
        match action {
            Action::Order { life, entry, token, lease_until_ms, order } => {
                self.send_order(life, entry, token, lease_until_ms, order);
            }
            Action::Hold { life, entry, hold } => self.send_hold(life, entry, hold),
            Action::Commit { batch, records } => {
                self.unkept = true;
                // One batch is on its way at most, and the channel has room for one.
                if self.batches.try_send(Batch { number: batch, records }).is_err() {
                    log::error!("owner: the writer takes no batch");
                    return false;
                }
            }
            Action::AnswerSubmit(request, SubmitAnswer::Accepted) => {
                self.reply(request, Answer::Accepted);
            }
            Action::AnswerSubmit(request, SubmitAnswer::Refused) => {
                self.reply(request, Answer::Refused);
            }
            Action::AnswerCancel(request, CancelAnswer::Done) => {
                self.reply(request, Answer::Cancelled);
            }
            Action::AnswerCancel(request, CancelAnswer::Unknown) => {
                self.reply(request, self.unknown());
            }
            Action::Note(note) => notes::write(&note),
            Action::Deposed => {
                log::warn!("owner: deposed, a worker has seen a higher fencing token");
                return false;
            }
        }
        true
    }

    fn send_order(
        &self,
        life: LifeNo,
        entry: Arc<WorkerEntry>,
        token: u64,
        lease_until_ms: u64,
        order: Order,
    ) {
        self.shared.metrics.note_decision("order");
        let (workers, sender) = (self.shared.services.workers.clone(), self.sender.clone());
        task::spawn_local(async move {
            let answer = workers.order(&entry, token, lease_until_ms, &order).await;
            let event = Event::OrderAnswered { life, order, answer };
            let _ = sender.send(OwnerMessage::Event(event)).await;
        });
    }

    fn send_hold(&self, life: LifeNo, entry: Arc<WorkerEntry>, hold: Hold) {
        self.shared.metrics.note_decision("hold");
        let (workers, sender) = (self.shared.services.workers.clone(), self.sender.clone());
        let sent_at = self.shared.clock.now();
        task::spawn_local(async move {
            let patience = Duration::from_millis(hold.wait_ms.into()) + HOLD_SLACK;
            let mut call = pin!(workers.hold(&entry, &hold, patience + LATE_REPORT));
            let answer = within(patience, call.as_mut()).await;
            let late = answer.is_none();
            let answer = answer.unwrap_or(Err(HoldFailure::Unanswered));
            let event = Event::Held { life, hold, sent_at, answer };
            let _ = sender.send(OwnerMessage::Event(event)).await;
            if late && let Ok(report) = call.await {
                let event = Event::LateEnds { life, ended: report.ended };
                let _ = sender.send(OwnerMessage::Event(event)).await;
            }
        });
    }

    fn reply(&mut self, request: RequestNo, answer: Answer) {
        if let Some(reply) = self.waiting.remove(&request) {
            let _ = reply.send(answer);
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

    fn publish(&self) {
        let counts = self.scheduler.pending_by_queue();
        let counts = counts.into_iter().map(|(queue, count)| (queue.to_string(), count));
        self.shared.note_pending(counts);
    }
}
