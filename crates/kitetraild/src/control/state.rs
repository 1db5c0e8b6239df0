//! The state of the control loop and how it moves on.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use kitetrail_core::{
    ShardId, Time,
    config::{Revision, RevisionInForce},
    fleet::{Fleet, Liveness},
    membership::{Heartbeat, Membership},
    placement::{Placer, PolicyTable, ReliefSettings},
    shard::{Action, EndpointSet, Event, Shard},
    table::{Key, Record},
};
use kitetrail_platform::{BoxList, HttpBoxList, HttpTable, HttpWorkers, TableService};
use kitetrail_policy::{Program, TaskFacts, evaluate};
use kitetrail_proto::peer;
use tokio::sync::mpsc;

use super::{
    Message, OperatorRequest, PeerMessage,
    operations::{Author, BoxRevision, BoxStatus, Operations, OperatorError, revision_of},
    placer::ChosenPlacer,
    shard_io::ShardIo,
};
use crate::{
    callers::SharedRouter,
    clock::Clock,
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
        }
        let ids: Vec<ShardId> = self.shards.keys().cloned().collect();
        for id in ids {
            self.drive(&id, Event::Tick);
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

    fn publish(&mut self, set: EndpointSet, now: Time) {
        let message = peer::EndpointSet::from(set.clone());
        self.router.borrow_mut().set_endpoints(set, now);
        for info in self.membership.peers() {
            let (peers, message, address) = (Rc::clone(&self.peers), message.clone(), info.peer);
            self.metrics.note_peer_message("publish");
            tokio::task::spawn_local(async move {
                if let Err(error) = peers.publish(address, message).await {
                    log::debug!("peer: {address} can't be told endpoints: {}", error.message());
                }
            });
        }
    }

    fn read_box_list(&self) {
        let (box_list, sender) = (Rc::clone(&self.box_list), self.sender.clone());
        tokio::task::spawn_local(async move {
            match box_list.list().await {
                Ok(fleet) => {
                    let _ = sender.send(Message::Fleet(fleet)).await;
                }
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

    /// Swaps heartbeats with a few peers and works out who is to own what.
    fn begin_round(&mut self, now: Time) {
        let revision = self.configuration.number();
        let peers = self.membership.begin_round(self.draining, revision, now);
        let view = self.view();
        for info in peers {
            let (peers, view, sender) = (Rc::clone(&self.peers), view.clone(), self.sender.clone());
            self.metrics.note_peer_message("exchange");
            tokio::task::spawn_local(async move {
                match peers.exchange(info.peer, view).await {
                    Ok(view) => {
                        let _ = sender.send(Message::Heard(info.peer, view)).await;
                    }
                    Err(error) => log::debug!("peer: {} is silent: {}", info.id, error.message()),
                }
            });
        }
        let (boxes, place) = self.membership.place(now);
        self.router.borrow_mut().set_boxes(boxes, place);
        self.rank_shards(now);
    }

    fn rank_shards(&mut self, now: Time) {
        let ids: BTreeSet<ShardId> = self.shards.keys().cloned().collect();
        let owners = self.membership.owners(&ids, now);
        for id in ids {
            let ranked = owners.get(&id);
            let rank = ranked
                .and_then(|boxes| boxes.iter().position(|owner| *owner == self.settings.box_id));
            self.drive(&id, Event::Ranked(rank));
        }
    }

    fn view(&self) -> peer::View {
        let heartbeats = self.membership.heartbeats().into_iter().map(Into::into).collect();
        let sets = self.router.borrow().sets();
        let sets = sets.into_iter().map(|set| peer::SetDigest {
            shard: set.shard.to_string(),
            epoch: set.epoch.0,
            sequence: set.sequence,
        });
        peer::View { heartbeats, sets: sets.collect() }
    }

    /// Takes in a peer's view and asks it for what it knows better.
    fn hear(&mut self, from: std::net::SocketAddr, view: peer::View) {
        if self.merge(&view) {
            let (peers, sender) = (Rc::clone(&self.peers), self.sender.clone());
            self.metrics.note_peer_message("fetch");
            tokio::task::spawn_local(async move {
                if let Ok(knowledge) = peers.fetch(from).await {
                    let _ = sender.send(Message::Learned(knowledge)).await;
                }
            });
        }
    }

    /// Takes in a peer's view. Returns whether it knows something newer.
    fn merge(&mut self, view: &peer::View) -> bool {
        let now = self.clock.now();
        let heartbeats = view.heartbeats.iter().cloned().map(Heartbeat::try_from);
        let heartbeats: Vec<Heartbeat> = heartbeats.filter_map(Result::ok).collect();
        let newest = heartbeats.iter().map(|heartbeat| heartbeat.revision).max().unwrap_or(0);
        self.membership.merge(heartbeats, now);
        let known: BTreeMap<String, (u64, u64)> = self
            .router
            .borrow()
            .sets()
            .into_iter()
            .map(|set| (set.shard.to_string(), (set.epoch.0, set.sequence)))
            .collect();
        let newer_set = view.sets.iter().any(|set| {
            known.get(&set.shard).copied().unwrap_or_default() < (set.epoch, set.sequence)
        });
        newer_set || newest > self.configuration.number() || !self.configuration_known
    }

    fn learn(&mut self, knowledge: peer::Knowledge) {
        let now = self.clock.now();
        for set in knowledge.endpoint_sets {
            match EndpointSet::try_from(set) {
                Ok(set) => self.router.borrow_mut().set_endpoints(set, now),
                Err(error) => log::warn!("peer: {error}"),
            }
        }
        match knowledge.revision.map(Revision::try_from) {
            Some(Ok(revision)) => self.learn_configuration(Some(revision)),
            Some(Err(error)) => log::warn!("peer: {error}"),
            None => {}
        }
    }

    fn handle_peer(&mut self, message: PeerMessage) {
        let now = self.clock.now();
        match message {
            PeerMessage::Exchange(view, reply) => {
                self.merge(&view);
                let _ = reply.send(self.view());
            }
            PeerMessage::Publish(set) => match EndpointSet::try_from(set) {
                Ok(set) => self.router.borrow_mut().set_endpoints(set, now),
                Err(error) => log::warn!("peer: {error}"),
            },
            PeerMessage::Wake(shard) => {
                if let Ok(shard) = shard.parse::<ShardId>() {
                    self.drive(&shard, Event::Woken);
                }
            }
            PeerMessage::Announce(revision) => match Revision::try_from(revision) {
                Ok(revision) => self.learn_configuration(Some(revision)),
                Err(error) => log::warn!("peer: {error}"),
            },
            PeerMessage::Fetch(reply) => {
                let _ = reply.send(self.knowledge());
            }
        }
    }

    fn knowledge(&self) -> peer::Knowledge {
        let sets = self.router.borrow().sets();
        let revision = self.configuration.revision();
        peer::Knowledge {
            endpoint_sets: sets.into_iter().map(Into::into).collect(),
            revision: revision.and_then(|revision| peer::Revision::try_from(revision).ok()),
        }
    }

    /// Reads the revision in force from the table.
    fn read_configuration(&self) {
        let (table, sender) = (self.table.clone(), self.sender.clone());
        let known = self.configuration.number();
        let must_tell = !self.configuration_known;
        tokio::task::spawn_local(async move {
            let head = match table.read(&Key::config_head()).await {
                Ok(head) => head,
                Err(error) => return log::debug!("config: the head can't be read: {error}"),
            };
            let number = match head.map(|row| row.record) {
                Some(Record::ConfigHead { revision }) => revision,
                _ if must_tell => {
                    let _ = sender.send(Message::Configuration(None)).await;
                    return;
                }
                _ => return,
            };
            if number <= known {
                return;
            }
            match table.read(&Key::config_revision(number)).await {
                Ok(row) => {
                    let revision = row.and_then(revision_of);
                    let _ = sender.send(Message::Configuration(revision)).await;
                }
                Err(error) => log::debug!("config: revision {number} can't be read: {error}"),
            }
        });
    }

    fn learn_configuration(&mut self, revision: Option<Revision>) {
        self.configuration_known = true;
        let Some(revision) = revision else { return };
        let (number, author) = (revision.number, revision.author.clone());
        if self.configuration.offer(revision) {
            log::info!("config: revision {number} by {author} is in force");
            self.refresh_policy();
        }
    }

    /// Asks the policy anew if it changed, or if there are classes it wasn't asked about.
    fn refresh_policy(&mut self) {
        let number = self.configuration.number();
        if self.program.as_ref().is_none_or(|(compiled, _)| *compiled != number) {
            let text = self.configuration.revision().map(|r| r.configuration.policy.as_str());
            match Program::compile(text.unwrap_or_default()) {
                Ok(program) => self.program = Some((number, program)),
                Err(error) => return log::error!("policy: revision {number}: {error}"),
            }
        }
        let specs = self.shards.values().flat_map(Shard::specs);
        let tasks: BTreeSet<TaskFacts> = specs.map(TaskFacts::from).collect();
        if self.policy.revision == number && tasks == self.policy_tasks {
            return;
        }
        let Some((_, program)) = &self.program else { return };
        let evaluation = evaluate(program, number, &tasks, &self.policy);
        for fault in evaluation.faults {
            log::warn!("policy: revision {number}: {fault}");
            self.metrics.note_policy_fault(fault.function);
        }
        self.policy = evaluation.table;
        if let Some(revision) = self.configuration.revision() {
            self.policy.quotas = revision.configuration.quotas.clone();
        }
        self.policy_tasks = tasks;
        for shard in self.shards.values_mut() {
            shard.set_policy(self.policy.clone());
        }
    }

    fn handle_operator(&mut self, request: OperatorRequest) {
        let now = self.clock.now();
        match request {
            OperatorRequest::Ready(reply) => {
                let _ = reply.send(self.is_ready());
            }
            OperatorRequest::Status(reply) => {
                let _ = reply.send(Ok(self.status(now)));
            }
            OperatorRequest::Boxes(reply) => {
                let message = "the box list was not read yet; try again".to_owned();
                let fleet = self.fleet.clone();
                let _ = reply.send(fleet.ok_or(OperatorError::Unavailable { message }));
            }
            OperatorRequest::Configuration(reply) => {
                let message = "no configuration was accepted yet".to_owned();
                let revision = self.configuration.revision().cloned();
                let _ = reply.send(revision.ok_or(OperatorError::NotFound { message }));
            }
            OperatorRequest::ConfigurationStatus(reply) => {
                let _ = reply.send(Ok(self.revisions(now)));
            }
            request => self.start_operation(request),
        }
    }

    /// Starts a request that needs the table.
    fn start_operation(&self, request: OperatorRequest) {
        let operations = Operations {
            table: self.table.clone(),
            fleet: self.fleet.clone().unwrap_or_default(),
            racks_per_shard: self.settings.shards.racks_per_shard,
        };
        let (peers, sender) = (Rc::clone(&self.peers), self.sender.clone());
        let addresses: Vec<_> = self.membership.peers().map(|info| info.peer).collect();
        tokio::task::spawn_local(async move {
            let wake = |shards: Vec<ShardId>| {
                wake(peers.clone(), addresses.clone(), sender.clone(), shards)
            };
            match request {
                OperatorRequest::List(kind, reply) => {
                    let _ = reply.send(operations.list(kind).await);
                }
                OperatorRequest::Show(name, reply) => {
                    let _ = reply.send(operations.show(&name).await);
                }
                OperatorRequest::History(reply) => {
                    let _ = reply.send(operations.history().await);
                }
                OperatorRequest::Audit(reply) => {
                    let _ = reply.send(operations.audit().await);
                }
                OperatorRequest::Create(author, spec, reply) => {
                    let result = operations.create(&author, spec).await;
                    if let Ok(row) = &result {
                        let Author { who, change, .. } = &author;
                        log::info!("operator: {who} created {} by {change}", row.spec.name);
                        wake(row.shards.clone());
                    }
                    let _ = reply.send(result);
                }
                OperatorRequest::Cancel(author, name, reply) => {
                    let result = operations.cancel(&author, &name).await;
                    if let Ok(row) = &result {
                        let Author { who, change, .. } = &author;
                        log::info!("operator: {who} cancelled {name} by {change}");
                        wake(row.shards.clone());
                    }
                    let _ = reply.send(result);
                }
                OperatorRequest::Configure(new, reply) => {
                    let result = operations.configure(new).await;
                    if let Ok(revision) = &result {
                        announce(&peers, &addresses, &sender, revision).await;
                    }
                    let _ = reply.send(result);
                }
                OperatorRequest::Ready(_)
                | OperatorRequest::Status(_)
                | OperatorRequest::Boxes(_)
                | OperatorRequest::Configuration(_)
                | OperatorRequest::ConfigurationStatus(_) => {}
            }
        });
    }

    fn status(&self, now: Time) -> BoxStatus {
        let members = self.membership.members().map(|member| &member.heartbeat.id);
        BoxStatus {
            box_id: self.settings.box_id.clone(),
            revision: self.configuration.number(),
            shards: self.shards.values().map(|shard| shard.view(now)).collect(),
            services: self.router.borrow().views(now),
            boxes_up: members.filter(|id| self.membership.is_up(id, now)).cloned().collect(),
            requests: self.router.borrow().requests(),
        }
    }

    fn revisions(&self, now: Time) -> Vec<BoxRevision> {
        let members = self.membership.members();
        let revisions = members.map(|member| {
            let box_id = member.heartbeat.id.clone();
            let mine = box_id == self.settings.box_id;
            BoxRevision {
                revision: if mine {
                    self.configuration.number()
                } else {
                    member.heartbeat.revision
                },
                age_ms: if mine { 0 } else { now.since(member.grew_at).as_millis() as u64 },
                up: self.membership.is_up(&box_id, now),
                box_id,
            }
        });
        revisions.collect()
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

/// Tells whoever owns the shards to look into their inboxes.
fn wake(
    peers: Rc<PeerClients>,
    addresses: Vec<std::net::SocketAddr>,
    sender: mpsc::Sender<Message>,
    shards: Vec<ShardId>,
) {
    tokio::task::spawn_local(async move {
        for shard in shards {
            let message = Message::Peer(PeerMessage::Wake(shard.to_string()));
            let _ = sender.send(message).await;
            for address in &addresses {
                let _ = peers.wake(*address, shard.to_string()).await;
            }
        }
    });
}

/// Tells every box of an accepted revision.
async fn announce(
    peers: &Rc<PeerClients>,
    addresses: &[std::net::SocketAddr],
    sender: &mpsc::Sender<Message>,
    revision: &Revision,
) {
    let _ = sender.send(Message::Configuration(Some(revision.clone()))).await;
    let Ok(message) = peer::Revision::try_from(revision) else { return };
    for address in addresses.iter().copied() {
        let (peers, message) = (Rc::clone(peers), message.clone());
        tokio::task::spawn_local(async move { peers.announce(address, message).await });
    }
}
