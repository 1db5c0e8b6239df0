//! The state of the control loop and how it moves on.

mod answers;
mod gossip;
mod revision;

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use kitetrail_core::{
    ShardId, Time,
    config::RevisionInForce,
    fleet::{Fleet, Liveness},
    membership::Membership,
    placement::{Placer, PolicyTable, ReliefSettings},
    shard::{Action, Event, Shard},
};
use kitetrail_platform::{BoxList, HttpBoxList, HttpTable, HttpWorkers};
use kitetrail_policy::{Program, TaskFacts};
use tokio::sync::mpsc;

use super::{Message, placer::ChosenPlacer, shard_io::ShardIo};
use crate::{
    callers::SharedRouter,
    clock::{Clock, unix_ms},
    metrics::Metrics,
    peers::PeerClients,
    settings::{PlacerChoice, Settings},
};

/// How often shards are asked what is due.
const TICK: Duration = Duration::from_millis(50);
/// How often heartbeats are swapped and shares worked out.
const ROUND: Duration = Duration::from_secs(1);
/// How often the configuration is read from the table.
const CONFIGURATION_POLL: Duration = Duration::from_secs(5);

/// What the control loop is made of.
pub struct ControlParts {
    /// The settings.
    pub settings: Rc<Settings>,
    /// The clock.
    pub clock: Clock,
    /// The run of this box.
    pub incarnation: u64,
    /// The router, shared with the callers' side.
    pub router: SharedRouter,
    /// The counters.
    pub metrics: Metrics,
    /// Whether this box may be sent requests, for others to see.
    pub ready: Rc<Cell<bool>>,
    /// The way to the loop.
    pub sender: mpsc::Sender<Message>,
}

/// The control loop.
pub struct Control {
    settings: Rc<Settings>,
    clock: Clock,
    incarnation: u64,
    router: SharedRouter,
    metrics: Metrics,
    ready: Rc<Cell<bool>>,
    sender: mpsc::Sender<Message>,
    io: Rc<ShardIo>,
    peers: Rc<PeerClients>,
    box_list: Rc<HttpBoxList>,
    table: HttpTable,
    membership: Membership,
    shards: BTreeMap<ShardId, Shard<ChosenPlacer>>,
    fleet: Option<Fleet>,
    configuration: RevisionInForce,
    /// Whether the table or a peer said which revision is in force, even if none is.
    configuration_known: bool,
    program: Option<(u64, Program)>,
    policy: PolicyTable,
    policy_tasks: BTreeSet<TaskFacts>,
    draining: bool,
    next_round: Time,
    next_box_list: Time,
    next_configuration: Time,
}

impl Control {
    /// A loop that knows nothing yet.
    pub fn new(parts: ControlParts) -> Self {
        let ControlParts { settings, clock, incarnation, router, metrics, ready, sender } = parts;
        let platform = &settings.platform;
        let table = HttpTable::new(platform.table, platform.table_timeout_ms.get());
        let io = ShardIo {
            table: table.clone(),
            workers: HttpWorkers::new(platform.worker_timeout_ms.get()),
            control: sender.clone(),
            metrics: metrics.clone(),
        };
        let box_list = HttpBoxList::new(platform.box_list, platform.table_timeout_ms.get());
        let now = clock.now();
        let membership = Membership::new(settings.box_id.clone(), incarnation, incarnation, now);
        Self {
            settings,
            clock,
            incarnation,
            router,
            metrics,
            ready,
            sender,
            io: Rc::new(io),
            peers: Rc::default(),
            box_list: Rc::new(box_list),
            table,
            membership,
            shards: BTreeMap::new(),
            fleet: None,
            configuration: RevisionInForce::default(),
            configuration_known: false,
            program: None,
            policy: PolicyTable::default(),
            policy_tasks: BTreeSet::new(),
            draining: false,
            next_round: now,
            next_box_list: now,
            next_configuration: now,
        }
    }

    /// Runs until a planned stop has given everything back.
    pub async fn run(mut self, mut messages: mpsc::Receiver<Message>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !self.is_drained() {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
        log::info!("control: all shards are given back");
    }

    fn is_drained(&self) -> bool {
        self.draining && self.shards.values().all(Shard::is_released)
    }

    fn is_ready(&self) -> bool {
        self.configuration_known && self.fleet.is_some() && !self.draining
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Shard(shard, event) => self.drive(&shard, event),
            Message::Fleet(fleet) => self.set_fleet(fleet),
            Message::Configuration(revision) => self.learn_configuration(revision),
            Message::Peer(message) => self.handle_peer(message),
            Message::Heard(from, view) => self.hear(from, view),
            Message::Learned(knowledge) => self.learn(knowledge),
            Message::Operator(request) => self.handle_operator(request),
            Message::Drain => self.drain(),
        }
        self.ready.set(self.is_ready());
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if now >= self.next_box_list {
            self.next_box_list = now + self.settings.platform.box_list_poll_ms.get();
            self.read_box_list();
        }
        if now >= self.next_configuration {
            let pause = if self.configuration_known { CONFIGURATION_POLL } else { ROUND };
            self.next_configuration = now + pause;
            self.read_configuration();
        }
        if now >= self.next_round {
            self.next_round = now + ROUND;
            self.begin_round(now);
            self.refresh_policy();
            self.tell_time();
        }
        let ids: Vec<ShardId> = self.shards.keys().cloned().collect();
        for id in ids {
            self.drive(&id, Event::Tick);
        }
    }

    /// Tells all shards the time of day.
    fn tell_time(&mut self) {
        let ids: Vec<ShardId> = self.shards.keys().cloned().collect();
        for id in ids {
            self.drive(&id, Event::UnixTime(unix_ms()));
        }
    }

    /// Tells a shard what happened and does what it wants.
    fn drive(&mut self, id: &ShardId, event: Event) {
        let now = self.clock.now();
        let Some(shard) = self.shards.get_mut(id) else { return };
        for action in shard.handle(event, now) {
            match action {
                Action::Log(decision) => self.io.note(id, &decision),
                Action::Publish(set) => self.publish(set, now),
                action => self.io.start(id.clone(), action),
            }
        }
    }

    fn read_box_list(&self) {
        let (box_list, sender) = (Rc::clone(&self.box_list), self.sender.clone());
        tokio::task::spawn_local(async move {
            match box_list.changes().await {
                Ok(Some(fleet)) => {
                    let _ = sender.send(Message::Fleet(fleet)).await;
                }
                Ok(None) => {}
                Err(error) => log::warn!("member: the box list can't be read: {error}"),
            }
        });
    }

    fn set_fleet(&mut self, fleet: Fleet) {
        let now = self.clock.now();
        let racks_per_shard = self.settings.shards.racks_per_shard;
        self.membership.set_listed(fleet.boxes.clone());
        let mut by_shard: BTreeMap<ShardId, Vec<_>> = BTreeMap::new();
        for worker in &fleet.workers {
            by_shard.entry(worker.shard(racks_per_shard)).or_default().push(worker.clone());
        }
        let leaving = fleet.workers.iter().filter(|worker| worker.state != Liveness::Live);
        let leaving = leaving.map(|worker| worker.id.clone()).collect();
        self.router.borrow_mut().set_leaving(leaving, now);
        for (id, workers) in by_shard {
            if !self.shards.contains_key(&id) {
                let shard = self.new_shard(&id);
                self.shards.insert(id.clone(), shard);
            }
            self.drive(&id, Event::FleetSeen(workers));
        }
        self.fleet = Some(fleet);
    }

    fn new_shard(&self, id: &ShardId) -> Shard<ChosenPlacer> {
        let choice = self.settings.shards.placer;
        let mut placer = ChosenPlacer::new(choice);
        placer.set_policy(self.policy.clone());
        let enabled = choice == PlacerChoice::InterferenceAware;
        Shard::new(
            id.clone(),
            self.settings.box_id.clone(),
            self.incarnation,
            self.settings.shard_settings(),
            ReliefSettings::builder().enabled(enabled).build(),
            placer,
        )
    }

    fn drain(&mut self) {
        self.draining = true;
        log::info!("control: giving all shards back");
        let ids: Vec<ShardId> = self.shards.keys().cloned().collect();
        for id in ids {
            self.drive(&id, Event::Drain);
        }
        self.begin_round(self.clock.now());
    }
}
