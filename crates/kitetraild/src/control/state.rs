//! The state of the control loop and its transitions.

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

use super::{ControlMessage, placer::ChosenPlacer, shard_io::ShardIo};
use crate::{
    callers::SharedRouter,
    clock::{Clock, unix_ms},
    metrics::Metrics,
    peers::PeerClients,
    settings::{PlacerChoice, Settings},
};

/// The interval at which shards handle timers.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which heartbeats are exchanged and shard owners are ranked.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which the configuration is read from the table.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The parts from which a [`Control`] is created.
pub struct ControlParts {
    /// The settings.
    pub settings: Rc<Settings>,
    /// The clock.
    pub clock: Clock,
    /// The incarnation of this box.
    pub incarnation: u64,
    /// The router, shared with the caller server.
    pub router: SharedRouter,
    /// The metrics.
    pub metrics: Metrics,
    /// Whether this box is ready to receive requests, which the control loop updates.
    pub ready: Rc<Cell<bool>>,
    /// The sender of messages to the control loop.
    pub sender: mpsc::Sender<ControlMessage>,
}

/// The control loop.
pub struct Control {
    settings: Rc<Settings>,
    clock: Clock,
    incarnation: u64,
    router: SharedRouter,
    metrics: Metrics,
    ready: Rc<Cell<bool>>,
    sender: mpsc::Sender<ControlMessage>,
    io: Rc<ShardIo>,
    peers: Rc<PeerClients>,
    box_list: Rc<HttpBoxList>,
    table: HttpTable,
    membership: Membership,
    shards: BTreeMap<ShardId, Shard<ChosenPlacer>>,
    fleet: Option<Fleet>,
    configuration: RevisionInForce,
    /// Whether the table or a peer has reported the revision in force, even if it reported none.
    configuration_known: bool,
    program: Option<(u64, Program)>,
    policy: PolicyTable,
    policy_tasks: BTreeSet<TaskFacts>,
    draining: bool,
    next_heartbeat_round: Time,
    next_box_list: Time,
    next_configuration: Time,
}

impl Control {
    /// Creates a control loop without any knowledge of the fleet.
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
            next_heartbeat_round: now,
            next_box_list: now,
            next_configuration: now,
        }
    }

    /// Runs until a graceful shutdown has released all shards.
    pub async fn run(mut self, mut messages: mpsc::Receiver<ControlMessage>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !self.is_drained() {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
        log::info!("control: all shards are released");
    }

    fn is_drained(&self) -> bool {
        self.draining && self.shards.values().all(Shard::is_released)
    }

    fn is_ready(&self) -> bool {
        self.configuration_known && self.fleet.is_some() && !self.draining
    }

    fn handle_message(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Shard(shard, event) => self.handle_shard_event(&shard, event),
            ControlMessage::Fleet(fleet) => self.set_fleet(fleet),
            ControlMessage::Configuration(revision) => self.apply_configuration(revision),
            ControlMessage::Peer(message) => self.handle_peer(message),
            ControlMessage::PeerView(from, view) => self.handle_peer_view(from, view),
            ControlMessage::PeerKnowledge(knowledge) => self.merge_knowledge(knowledge),
            ControlMessage::Operator(request) => self.handle_operator(request),
            ControlMessage::Drain => self.drain(),
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
            let interval = if self.configuration_known {
                CONFIGURATION_POLL_INTERVAL
            } else {
                HEARTBEAT_INTERVAL
            };
            self.next_configuration = now + interval;
            self.read_configuration();
        }
        if now >= self.next_heartbeat_round {
            self.next_heartbeat_round = now + HEARTBEAT_INTERVAL;
            self.begin_heartbeat_round(now);
            self.refresh_policy();
            self.send_unix_time();
        }
        let ids: Vec<ShardId> = self.shards.keys().cloned().collect();
        for id in ids {
            self.handle_shard_event(&id, Event::Tick);
        }
    }

    /// Sends the Unix time to all shards.
    fn send_unix_time(&mut self) {
        let ids: Vec<ShardId> = self.shards.keys().cloned().collect();
        for id in ids {
            self.handle_shard_event(&id, Event::UnixTime(unix_ms()));
        }
    }

    /// Passes an event to a shard and performs the resulting actions.
    fn handle_shard_event(&mut self, id: &ShardId, event: Event) {
        let now = self.clock.now();
        let Some(shard) = self.shards.get_mut(id) else { return };
        for action in shard.handle(event, now) {
            match action {
                Action::Log(decision) => self.io.record_decision(id, &decision),
                Action::Publish(set) => self.publish(set, now),
                action => self.io.start_action(id.clone(), action),
            }
        }
    }

    fn read_box_list(&self) {
        let (box_list, sender) = (Rc::clone(&self.box_list), self.sender.clone());
        tokio::task::spawn_local(async move {
            match box_list.changes().await {
                Ok(Some(fleet)) => {
                    let _ = sender.send(ControlMessage::Fleet(fleet)).await;
                }
                Ok(None) => {}
                Err(error) => log::warn!("member: the box list can't be read: {error}"),
            }
        });
    }

    fn set_fleet(&mut self, fleet: Fleet) {
        let now = self.clock.now();
        let racks_per_shard = self.settings.shards.racks_per_shard;
        self.membership.set_box_list(fleet.boxes.clone());
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
            self.handle_shard_event(&id, Event::FleetUpdated(workers));
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
        log::info!("control: releasing all shards");
        let ids: Vec<ShardId> = self.shards.keys().cloned().collect();
        for id in ids {
            self.handle_shard_event(&id, Event::Stop);
        }
        self.begin_heartbeat_round(self.clock.now());
    }
}
