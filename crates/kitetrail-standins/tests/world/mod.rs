//! Several owners, workers and the table on virtual time, with a network between them
//! that delays, reorders, doubles and loses messages.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(missing_docs, reason = "shared by tests alone")]
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

/// How long an asker waits for an answer.
const TIMEOUT_MS: u64 = 1_000;
/// How often each owner and worker is ticked.
const TICK_MS: u64 = 50;

/// How the network and the table behave.
#[derive(Debug, Clone)]
pub struct Weather {
    pub min_delay_ms: u64,
    pub max_delay_ms: u64,
    pub lose_percent: u32,
    pub double_percent: u32,
    pub table_down: bool,
}

impl Weather {
    pub fn calm() -> Self {
        Self {
            min_delay_ms: 1,
            max_delay_ms: 1,
            lose_percent: 0,
            double_percent: 0,
            table_down: false,
        }
    }
}

/// One thing that is on its way.
#[derive(Debug, Clone)]
enum Message {
    Tick,
    ToTable { node: usize, run: u64, ask: u64, action: Action },
    ToWorker { node: usize, run: u64, ask: u64, worker: usize, request: SyncRequest },
    Answer { node: usize, run: u64, ask: u64, event: Event },
}

#[derive(Debug)]
struct Due {
    at_ms: u64,
    order: u64,
    message: Message,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.order) == (other.at_ms, other.order)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at_ms, other.order).cmp(&(self.at_ms, self.order))
    }
}

/// One box's part in the shard.
struct Node<P> {
    shard: Shard<P>,
    run: u64,
    alive: bool,
    paused: bool,
    /// What it can't reach: workers by number, and the table.
    cut_workers: BTreeSet<usize>,
    /// The workers whose answers don't come back, although requests arrive.
    muted_workers: BTreeSet<usize>,
    cut_table: bool,
    clock_offset_ms: u64,
    /// The asks whose answers it still waits for.
    open: BTreeSet<u64>,
    /// What arrived while it was paused.
    held: Vec<Message>,
}

struct WorkerNode {
    model: WorkerModel,
    settings: WorkerSettings,
    boots: u64,
    up: bool,
    paused: bool,
    clock_offset_ms: u64,
}

/// The world. Every choice comes from the seed.
pub struct World<P = InterferenceAware> {
    pub now_ms: u64,
    pub weather: Weather,
    pub log: String,
    /// Whether boxes notice which of them are up, as membership would tell them.
    pub rerank: bool,
    settings: ShardSettings,
    shard: ShardId,
    queue: BinaryHeap<Due>,
    order: u64,
    asks: u64,
    rng: ChaCha8Rng,
    table: TableModel,
    nodes: Vec<Node<P>>,
    workers: Vec<WorkerNode>,
    infos: Vec<WorkerInfo>,
    started: BTreeMap<(TaskId, Attempt), u32>,
    completed: BTreeMap<TaskId, u32>,
    changes: u64,
    placer: P,
    /// The work that was done and not saved, in milliseconds.
    pub lost_ms: u64,
}

impl World {
    pub fn new(seed: u64, nodes: usize, workers: usize, settings: ShardSettings) -> Self {
        let placer = InterferenceAware::default();
        World::with(seed, nodes, workers, settings, placer, worker_settings(Effects::default()))
    }
}

/// The settings of the workers of a small world.
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

impl<P: Placer + Clone> World<P> {
    pub fn with(
        seed: u64,
        nodes: usize,
        workers: usize,
        settings: ShardSettings,
        placer: P,
        worker_settings: WorkerSettings,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let capacity = worker_settings.capacity;
        let mut world = Self {
            now_ms: 1_000,
            weather: Weather::calm(),
            log: String::new(),
            rerank: true,
            settings: settings.clone(),
            shard: "zone-a:0".parse().unwrap(),
            queue: BinaryHeap::new(),
            order: 0,
            asks: 0,
            table: TableModel::default(),
            nodes: Vec::new(),
            workers: Vec::new(),
            infos: (0..workers).map(|number| info(number, capacity)).collect(),
            started: BTreeMap::new(),
            completed: BTreeMap::new(),
            changes: 0,
            placer: placer.clone(),
            lost_ms: 0,
            rng: ChaCha8Rng::seed_from_u64(seed + 1),
        };
        for number in 0..workers {
            let clock_offset_ms = rng.random_range(0..50_000);
            let model = WorkerModel::new(
                worker_settings.clone(),
                number as u64 * 1_000 + 1,
                world.now_ms + clock_offset_ms,
            );
            world.workers.push(WorkerNode {
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
            world.nodes.push(Node {
                shard: new_shard(&world.shard, number, 1, &settings, placer.clone()),
                run: 1,
                alive: true,
                paused: false,
                cut_workers: BTreeSet::new(),
                muted_workers: BTreeSet::new(),
                cut_table: false,
                clock_offset_ms,
                open: BTreeSet::new(),
                held: Vec::new(),
            });
            world.introduce(number);
        }
        world.send(world.now_ms, Message::Tick);
        world
    }

    /// Submits a spec as an operator would.
    pub fn submit(&mut self, spec: Spec) {
        let count = spec.tasks;
        self.put_into_inbox(InboxItem::Submit { spec, first: 0, count });
    }

    /// Cancels a spec as an operator would.
    pub fn cancel(&mut self, spec: &SpecName) {
        self.put_into_inbox(InboxItem::Cancel { spec: spec.clone() });
    }

    /// Lets time pass, checking the promises after every event.
    pub fn run_ms(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while self.queue.peek().is_some_and(|due| due.at_ms <= until_ms) {
            let Some(due) = self.queue.pop() else { break };
            self.now_ms = due.at_ms;
            self.deliver(due.message);
            self.check();
        }
        self.now_ms = until_ms;
    }

    fn note(&mut self, text: String) {
        let _ = writeln!(self.log, "{:>6} {text}", self.now_ms - 1_000);
    }

    fn introduce(&mut self, node: usize) {
        self.drive(node, Event::RankChanged(Some(node)));
        self.drive(node, Event::FleetUpdated(self.infos.clone()));
    }

    fn put_into_inbox(&mut self, item: InboxItem) {
        self.changes += 1;
        let op = OpId::from_change(&format!("change-{}", self.changes));
        let key = RowKey::inbox(&self.shard, &op);
        let write = Write { key, record: Some(Record::Inbox { item }) };
        let transaction = Transaction { op, conditions: Vec::new(), writes: vec![write] };
        self.table.commit(opaque(&transaction));
    }

    fn send(&mut self, at_ms: u64, message: Message) {
        self.order += 1;
        self.queue.push(Due { at_ms, order: self.order, message });
    }

    /// Sends with the weather's delays, losses and doubles.
    fn send_through_weather(&mut self, message: Message) {
        let Weather { min_delay_ms, max_delay_ms, lose_percent, double_percent, .. } = self.weather;
        if self.rng.random_range(0..100) < lose_percent {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < double_percent);
        for _ in 0..copies {
            let delay_ms = self.rng.random_range(min_delay_ms..=max_delay_ms);
            self.send(self.now_ms + delay_ms, message.clone());
        }
    }

    fn drive(&mut self, node: usize, event: Event) {
        let state = &mut self.nodes[node];
        if !state.alive {
            return;
        }
        let now = Time::from_ms(self.now_ms + state.clock_offset_ms);
        let actions = state.shard.handle(event, now);
        for action in actions {
            self.start(node, action);
        }
    }

    fn start(&mut self, node: usize, action: Action) {
        self.asks += 1;
        let ask = self.asks;
        let run = self.nodes[node].run;
        let (silence, message) = match action {
            Action::Log(decision) => return self.note(format!("box-{node} {decision}")),
            Action::Publish(set) => {
                let endpoints: Vec<String> = set
                    .endpoints
                    .iter()
                    .map(|e| {
                        format!(
                            "{}@{}{}",
                            e.service,
                            e.worker,
                            if e.leaving { " leaving" } else { "" }
                        )
                    })
                    .collect();
                return self.note(format!("box-{node} publishes [{}]", endpoints.join(", ")));
            }
            Action::Sync(info, request) => {
                let worker = self.infos.iter().position(|known| known.id == info.id).unwrap();
                let message = Message::ToWorker { node, run, ask, worker, request };
                (Event::WorkerDidNotReply(info.id), message)
            }
            action => {
                let silence = match &action {
                    Action::ReadLease => Event::LeaseReadFailed,
                    Action::ReadTasks => Event::TasksReadFailed,
                    Action::ReadInbox => Event::InboxReadFailed,
                    _ => Event::CommitAnswered(CommitOutcome::Unknown),
                };
                (silence, Message::ToTable { node, run, ask, action })
            }
        };
        self.nodes[node].open.insert(ask);
        self.send_through_weather(message);
        let silence = Message::Answer { node, run, ask, event: silence };
        self.send(self.now_ms + TIMEOUT_MS, silence);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Tick => self.tick(),
            Message::ToTable { node, run, ask, action } => {
                if !self.weather.table_down && !self.nodes[node].cut_table {
                    let event = self.ask_table(action);
                    self.send_through_weather(Message::Answer { node, run, ask, event });
                }
            }
            Message::ToWorker { node, run, ask, worker, request } => {
                let state = &mut self.workers[worker];
                if state.up && !state.paused && !self.nodes[node].cut_workers.contains(&worker) {
                    let clock_ms = self.now_ms + state.clock_offset_ms;
                    let reply = state.model.sync(request, clock_ms);
                    self.collect_events(worker);
                    if self.nodes[node].muted_workers.contains(&worker) {
                        return;
                    }
                    let id = self.infos[worker].id.clone();
                    let event = Event::WorkerReplied(id, reply);
                    self.send_through_weather(Message::Answer { node, run, ask, event });
                }
            }
            Message::Answer { node, run, ask, event } => {
                if self.nodes[node].paused {
                    self.nodes[node].held.push(Message::Answer { node, run, ask, event });
                    return;
                }
                let current = self.nodes[node].run == run && self.nodes[node].open.remove(&ask);
                if current {
                    self.drive(node, event);
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
            if self.rerank {
                self.drive(node, Event::RankChanged(Some(rank)));
            }
            rank += 1;
            self.drive(node, Event::Tick);
        }
        self.send(self.now_ms + TICK_MS, Message::Tick);
    }

    fn ask_table(&mut self, action: Action) -> Event {
        match action {
            Action::ReadLease => {
                let row = self.table.read(RowKey::lease(&self.shard).as_str()).cloned();
                Event::LeaseRead(row.map(|row| {
                    let record = serde_json::from_value(row.record).unwrap();
                    let Record::Lease(lease) = record else { panic!("not a lease") };
                    (row.version, row.op, lease)
                }))
            }
            Action::ReadTasks => Event::TasksRead(self.rows()),
            Action::ReadInbox => {
                let rows = self.table.scan(KeyPrefix::inbox(&self.shard).as_str());
                let items = rows.into_iter().map(|row| {
                    let record = serde_json::from_value(row.record).unwrap();
                    let Record::Inbox { item } = record else { panic!("not a message") };
                    (row.key, row.version, item)
                });
                Event::InboxRead(items.collect())
            }
            Action::Commit(transaction) => {
                Event::CommitAnswered(self.table.commit(opaque(&transaction)))
            }
            Action::Sync(..) | Action::Publish(_) | Action::Log(_) => Event::Tick,
        }
    }
}

fn new_shard<P: Placer>(
    id: &ShardId,
    number: usize,
    run: u64,
    settings: &ShardSettings,
    placer: P,
) -> Shard<P> {
    let me: BoxId = format!("box-{number}").parse().unwrap();
    let relief = ReliefSettings::default();
    Shard::new(id.clone(), me, run, settings.clone(), relief, placer)
}

fn info(number: usize, capacity: Resources) -> WorkerInfo {
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

fn opaque(transaction: &Transaction) -> OpaqueTransaction {
    serde_json::from_value(serde_json::to_value(transaction).unwrap()).unwrap()
}

/// A spec of one size, for tests.
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
