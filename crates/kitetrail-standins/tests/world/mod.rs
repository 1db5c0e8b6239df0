//! Simulates boxes, workers and the table on virtual time. The network between them delays,
//! reorders, duplicates and loses messages.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(missing_docs, reason = "used by tests only")]
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod checks;
mod faults;
mod views;

use std::{
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    fmt::Write as _,
    net::SocketAddr,
};

use kitetrail_core::{
    Attempt, BoxId, OpId, Resources, ShardId, SpecName, TaskId, Time, WorkerId,
    fleet::{Liveness, WorkerInfo},
    placement::{InterferenceAware, Placer, ReliefSettings},
    shard::{Action, Event, Shard, ShardSettings},
    table::{CommitOutcome, KeyPrefix, Record, RowKey, Transaction, Write},
    task::{InboxItem, Spec, SpecKind},
    worker::SyncRequest,
};
use kitetrail_standins::{
    table::{OpaqueTransaction, TableModel},
    worker::{Effects, WorkerModel, WorkerSettings},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The time that a box waits for the answer to a request, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;
/// The interval between ticks of all boxes and workers, in milliseconds.
const TICK_MS: u64 = 50;

/// The conditions of the network, and whether the table is down.
#[derive(Debug, Clone)]
pub struct NetworkConditions {
    pub min_delay_ms: u64,
    pub max_delay_ms: u64,
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub table_down: bool,
}

impl NetworkConditions {
    pub fn reliable() -> Self {
        Self {
            min_delay_ms: 1,
            max_delay_ms: 1,
            loss_percent: 0,
            duplicate_percent: 0,
            table_down: false,
        }
    }
}

/// A message in flight.
#[derive(Debug, Clone)]
enum Message {
    Tick,
    ToTable { node: usize, incarnation: u64, request_id: u64, action: Action },
    ToWorker { node: usize, incarnation: u64, request_id: u64, worker: usize, request: SyncRequest },
    Answer { node: usize, incarnation: u64, request_id: u64, event: Event },
}

#[derive(Debug)]
struct ScheduledMessage {
    at_ms: u64,
    sequence: u64,
    message: Message,
}

impl PartialEq for ScheduledMessage {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.sequence) == (other.at_ms, other.sequence)
    }
}

impl Eq for ScheduledMessage {}

impl PartialOrd for ScheduledMessage {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledMessage {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at_ms, other.sequence).cmp(&(self.at_ms, self.sequence))
    }
}

/// The state of one box in the shard.
struct Node<P> {
    shard: Shard<P>,
    incarnation: u64,
    alive: bool,
    paused: bool,
    /// The numbers of the workers that the box can't reach.
    disconnected_workers: BTreeSet<usize>,
    /// The workers that receive requests of the box but whose replies are lost.
    workers_with_lost_replies: BTreeSet<usize>,
    table_disconnected: bool,
    clock_offset_ms: u64,
    /// The requests whose answers the box still waits for.
    pending_requests: BTreeSet<u64>,
    /// The messages that arrived while the box was paused.
    undelivered: Vec<Message>,
}

struct WorkerState {
    model: WorkerModel,
    settings: WorkerSettings,
    boots: u64,
    up: bool,
    paused: bool,
    clock_offset_ms: u64,
}

/// The simulation. Its seed determines every random choice.
pub struct Simulation<P = InterferenceAware> {
    pub now_ms: u64,
    pub network: NetworkConditions,
    pub log: String,
    /// Whether boxes receive new ranks when other boxes pause or stop, as membership would send
    /// them.
    pub update_ranks: bool,
    settings: ShardSettings,
    shard: ShardId,
    queue: BinaryHeap<ScheduledMessage>,
    sequence: u64,
    last_request_id: u64,
    rng: ChaCha8Rng,
    table: TableModel,
    nodes: Vec<Node<P>>,
    workers: Vec<WorkerState>,
    worker_infos: Vec<WorkerInfo>,
    start_counts: BTreeMap<(TaskId, Attempt), u32>,
    completion_counts: BTreeMap<TaskId, u32>,
    change_count: u64,
    placer: P,
    /// The work done after the last checkpoint and lost, in milliseconds.
    pub lost_ms: u64,
}

impl Simulation {
    pub fn new(seed: u64, nodes: usize, workers: usize, settings: ShardSettings) -> Self {
        let placer = InterferenceAware::default();
        Simulation::with_placer(
            seed,
            nodes,
            workers,
            settings,
            placer,
            worker_settings(Effects::default()),
        )
    }
}

/// Returns the settings of the workers in a small simulation.
pub fn worker_settings(effects: Effects) -> WorkerSettings {
    WorkerSettings {
        capacity: Resources::new(4_000, 8_192, 1),
        report_lag_ms: 2_000,
        sample_every_ms: 500,
        checkpoint_ms: 200,
        fail_tasks: false,
        effects,
    }
}

impl<P: Placer + Clone> Simulation<P> {
    pub fn with_placer(
        seed: u64,
        nodes: usize,
        workers: usize,
        settings: ShardSettings,
        placer: P,
        worker_settings: WorkerSettings,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let capacity = worker_settings.capacity;
        let mut sim = Self {
            now_ms: 1_000,
            network: NetworkConditions::reliable(),
            log: String::new(),
            update_ranks: true,
            settings: settings.clone(),
            shard: "zone-a:0".parse().unwrap(),
            queue: BinaryHeap::new(),
            sequence: 0,
            last_request_id: 0,
            table: TableModel::default(),
            nodes: Vec::new(),
            workers: Vec::new(),
            worker_infos: (0..workers).map(|number| worker_info(number, capacity)).collect(),
            start_counts: BTreeMap::new(),
            completion_counts: BTreeMap::new(),
            change_count: 0,
            placer: placer.clone(),
            lost_ms: 0,
            rng: ChaCha8Rng::seed_from_u64(seed + 1),
        };
        for number in 0..workers {
            let clock_offset_ms = rng.random_range(0..50_000);
            let model = WorkerModel::new(
                worker_settings.clone(),
                number as u64 * 1_000 + 1,
                sim.now_ms + clock_offset_ms,
            );
            sim.workers.push(WorkerState {
                model,
                settings: worker_settings.clone(),
                boots: 1,
                up: true,
                paused: false,
                clock_offset_ms,
            });
        }
        for number in 0..nodes {
            let clock_offset_ms = rng.random_range(0..50_000);
            sim.nodes.push(Node {
                shard: new_shard(&sim.shard, number, 1, &settings, placer.clone()),
                incarnation: 1,
                alive: true,
                paused: false,
                disconnected_workers: BTreeSet::new(),
                workers_with_lost_replies: BTreeSet::new(),
                table_disconnected: false,
                clock_offset_ms,
                pending_requests: BTreeSet::new(),
                undelivered: Vec::new(),
            });
            sim.send_initial_events(number);
        }
        sim.schedule(sim.now_ms, Message::Tick);
        sim
    }

    /// Submits a spec as an operator would.
    pub fn submit(&mut self, spec: Spec) {
        let count = spec.tasks;
        self.write_to_inbox(InboxItem::Submit { spec, first: 0, count });
    }

    /// Cancels a spec as an operator would.
    pub fn cancel(&mut self, spec: &SpecName) {
        self.write_to_inbox(InboxItem::Cancel { spec: spec.clone() });
    }

    /// Advances the time by `ms` milliseconds and checks the promises after every event.
    pub fn run_for_ms(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while self.queue.peek().is_some_and(|scheduled| scheduled.at_ms <= until_ms) {
            let Some(scheduled) = self.queue.pop() else { break };
            self.now_ms = scheduled.at_ms;
            self.deliver(scheduled.message);
            self.check();
        }
        self.now_ms = until_ms;
    }

    fn log_line(&mut self, text: String) {
        let _ = writeln!(self.log, "{:>6} {text}", self.now_ms - 1_000);
    }

    fn send_initial_events(&mut self, node: usize) {
        self.handle_event(node, Event::RankChanged(Some(node)));
        self.handle_event(node, Event::FleetUpdated(self.worker_infos.clone()));
    }

    fn write_to_inbox(&mut self, item: InboxItem) {
        self.change_count += 1;
        let op = OpId::from_change(&format!("change-{}", self.change_count));
        let key = RowKey::inbox(&self.shard, &op);
        let write = Write { key, record: Some(Record::Inbox { item }) };
        let transaction = Transaction { op, conditions: Vec::new(), writes: vec![write] };
        self.table.commit(to_opaque(&transaction));
    }

    fn schedule(&mut self, at_ms: u64, message: Message) {
        self.sequence += 1;
        self.queue.push(ScheduledMessage { at_ms, sequence: self.sequence, message });
    }

    /// Sends a message with the delays, losses and duplicates of the network conditions.
    fn send_over_network(&mut self, message: Message) {
        let NetworkConditions {
            min_delay_ms, max_delay_ms, loss_percent, duplicate_percent, ..
        } = self.network;
        if self.rng.random_range(0..100) < loss_percent {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < duplicate_percent);
        for _ in 0..copies {
            let delay_ms = self.rng.random_range(min_delay_ms..=max_delay_ms);
            self.schedule(self.now_ms + delay_ms, message.clone());
        }
    }

    fn handle_event(&mut self, node: usize, event: Event) {
        let state = &mut self.nodes[node];
        if !state.alive {
            return;
        }
        let now = Time::from_ms(self.now_ms + state.clock_offset_ms);
        let actions = state.shard.handle(event, now);
        for action in actions {
            self.execute(node, action);
        }
    }

    fn execute(&mut self, node: usize, action: Action) {
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        let incarnation = self.nodes[node].incarnation;
        let (timeout, message) = match action {
            Action::Log(decision) => return self.log_line(format!("box-{node} {decision}")),
            Action::Publish(set) => {
                let endpoints: Vec<String> = set
                    .endpoints
                    .iter()
                    .map(|placed| {
                        format!(
                            "{}@{}{}",
                            placed.service,
                            placed.worker,
                            if placed.leaving { " leaving" } else { "" }
                        )
                    })
                    .collect();
                return self.log_line(format!("box-{node} publishes [{}]", endpoints.join(", ")));
            }
            Action::Sync(worker_info, request) => {
                let worker = self
                    .worker_infos
                    .iter()
                    .position(|candidate| candidate.id == worker_info.id)
                    .unwrap();
                let message = Message::ToWorker { node, incarnation, request_id, worker, request };
                (Event::WorkerDidNotReply(worker_info.id), message)
            }
            action => {
                let timeout = match &action {
                    Action::ReadLease => Event::LeaseReadFailed,
                    Action::ReadTasks => Event::TasksReadFailed,
                    Action::ReadInbox => Event::InboxReadFailed,
                    _ => Event::CommitAnswered(CommitOutcome::Unknown),
                };
                (timeout, Message::ToTable { node, incarnation, request_id, action })
            }
        };
        self.nodes[node].pending_requests.insert(request_id);
        self.send_over_network(message);
        let timeout = Message::Answer { node, incarnation, request_id, event: timeout };
        self.schedule(self.now_ms + TIMEOUT_MS, timeout);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Tick => self.tick(),
            Message::ToTable { node, incarnation, request_id, action } => {
                if !self.network.table_down && !self.nodes[node].table_disconnected {
                    let event = self.execute_on_table(action);
                    self.send_over_network(Message::Answer {
                        node,
                        incarnation,
                        request_id,
                        event,
                    });
                }
            }
            Message::ToWorker { node, incarnation, request_id, worker, request } => {
                let state = &mut self.workers[worker];
                if state.up
                    && !state.paused
                    && !self.nodes[node].disconnected_workers.contains(&worker)
                {
                    let clock_ms = self.now_ms + state.clock_offset_ms;
                    let reply = state.model.sync(request, clock_ms);
                    self.collect_events(worker);
                    if self.nodes[node].workers_with_lost_replies.contains(&worker) {
                        return;
                    }
                    let id = self.worker_infos[worker].id.clone();
                    let event = Event::WorkerReplied(id, reply);
                    self.send_over_network(Message::Answer {
                        node,
                        incarnation,
                        request_id,
                        event,
                    });
                }
            }
            Message::Answer { node, incarnation, request_id, event } => {
                if self.nodes[node].paused {
                    self.nodes[node].undelivered.push(Message::Answer {
                        node,
                        incarnation,
                        request_id,
                        event,
                    });
                    return;
                }
                let is_pending = self.nodes[node].incarnation == incarnation
                    && self.nodes[node].pending_requests.remove(&request_id);
                if is_pending {
                    self.handle_event(node, event);
                }
            }
        }
    }

    fn tick(&mut self) {
        for worker in 0..self.workers.len() {
            let state = &mut self.workers[worker];
            if state.up && !state.paused {
                state.model.advance(self.now_ms + state.clock_offset_ms);
                self.collect_events(worker);
            }
        }
        let mut rank = 0;
        for node in 0..self.nodes.len() {
            if self.nodes[node].paused || !self.nodes[node].alive {
                continue;
            }
            if self.update_ranks {
                self.handle_event(node, Event::RankChanged(Some(rank)));
            }
            rank += 1;
            self.handle_event(node, Event::Tick);
        }
        self.schedule(self.now_ms + TICK_MS, Message::Tick);
    }

    fn execute_on_table(&mut self, action: Action) -> Event {
        match action {
            Action::ReadLease => {
                let row = self.table.read(RowKey::lease(&self.shard).as_str()).cloned();
                Event::LeaseRead(row.map(|row| {
                    let record = serde_json::from_value(row.record).unwrap();
                    let Record::Lease(lease) = record else { panic!("the row is not a lease") };
                    (row.version, row.op, lease)
                }))
            }
            Action::ReadTasks => Event::TasksRead(self.task_rows()),
            Action::ReadInbox => {
                let rows = self.table.scan(KeyPrefix::inbox(&self.shard).as_str());
                let items = rows.into_iter().map(|row| {
                    let record = serde_json::from_value(row.record).unwrap();
                    let Record::Inbox { item } = record else {
                        panic!("the row is not an inbox item")
                    };
                    (row.key, row.version, item)
                });
                Event::InboxRead(items.collect())
            }
            Action::Commit(transaction) => {
                Event::CommitAnswered(self.table.commit(to_opaque(&transaction)))
            }
            Action::Sync(..) | Action::Publish(_) | Action::Log(_) => Event::Tick,
        }
    }
}

fn new_shard<P: Placer>(
    id: &ShardId,
    number: usize,
    incarnation: u64,
    settings: &ShardSettings,
    placer: P,
) -> Shard<P> {
    let box_id: BoxId = format!("box-{number}").parse().unwrap();
    let relief = ReliefSettings::default();
    Shard::new(id.clone(), box_id, incarnation, settings.clone(), relief, placer)
}

fn worker_info(number: usize, capacity: Resources) -> WorkerInfo {
    let address: SocketAddr = format!("127.0.0.1:{}", 20_000 + number).parse().unwrap();
    WorkerInfo {
        id: format!("worker-{number}").parse::<WorkerId>().unwrap(),
        control: address,
        endpoint: address,
        zone: "zone-a".parse().unwrap(),
        rack: 0,
        capacity,
        state: Liveness::Live,
    }
}

fn to_opaque(transaction: &Transaction) -> OpaqueTransaction {
    serde_json::from_value(serde_json::to_value(transaction).unwrap()).unwrap()
}

/// Returns a spec whose tasks need one CPU and 1 GiB of memory each.
pub fn spec(name: &str, kind: SpecKind, tasks: u32, run_ms: u64) -> Spec {
    Spec::builder()
        .name(name.parse().unwrap())
        .kind(kind)
        .team("desk".parse().unwrap())
        .class(name.parse().unwrap())
        .tasks(tasks)
        .size(Resources::new(1_000, 1_024, 0))
        .expected_run_ms(run_ms)
        .build()
}
