//! Measures the time of task starts, from submission to cancellation, at several shard sizes, and of one
//! usage report.

use std::{hint::black_box, net::SocketAddr, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use kitetrail_core::{
    Epoch, OpId, Resources, Time, Version,
    fleet::{Liveness, WorkerInfo},
    placement::{FirstFit, InterferenceAware, Placer, ReliefSettings},
    shard::{Action, Event, Shard, ShardSettings},
    table::{CommitOutcome, RowKey},
    task::{InboxItem, Spec, SpecKind},
    worker::{DesiredState, SyncReply, TaskPhase, TaskReport, UsageSample, WorkerOrders},
};

const WORKERS: [usize; 3] = [8, 65, 1_200];
/// The number of tasks that run on each worker before the measurement, as in the design target.
const TASKS_PER_WORKER: u32 = 11;
/// The number of tasks started in one iteration.
const TASKS_PER_ITERATION: u32 = 32;

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text} must be a name"))
}

fn worker_info(number: usize) -> WorkerInfo {
    let address: SocketAddr = ([127, 0, 0, 1], 1_000).into();
    WorkerInfo {
        id: name(&format!("worker-{number}")),
        control: address,
        endpoint: address,
        zone: name("zone-0"),
        rack: (number / 8) as u16,
        capacity: Resources::new(16_000, 61_440, 1),
        state: Liveness::Live,
    }
}

fn spec(text: &str, tasks: u32) -> Spec {
    Spec::builder()
        .name(name(text))
        .kind(SpecKind::Job)
        .team(name("desk"))
        .class(name(text))
        .tasks(tasks)
        .size(Resources::new(500, 512, 0))
        .build()
}

/// An owned shard that is driven without input or output.
struct DrivenShard<P> {
    shard: Shard<P>,
    now: Time,
    version: Version,
    submitted: u64,
}

impl<P: Placer> DrivenShard<P> {
    fn new(workers: usize, placer: P) -> Self {
        let settings = ShardSettings::default();
        let (id, local_id) = (name("zone-0:0"), name("entry-0"));
        let shard = Shard::new(id, local_id, 1, settings, ReliefSettings::default(), placer);
        let mut driven =
            Self { shard, now: Time::from_ms(1_000), version: Version(0), submitted: 0 };
        let infos = (0..workers).map(worker_info).collect();
        driven.drive(Event::FleetUpdated(infos));
        driven.drive(Event::RankChanged(Some(0)));
        for _ in 0..40 {
            driven.advance(250);
        }
        for number in 0..4 {
            let tasks = workers as u32 * TASKS_PER_WORKER / 4;
            driven.submit(spec(&format!("running-{number}"), tasks));
            for _ in 0..60 {
                driven.advance(250);
            }
        }
        driven
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        self.drive(Event::Tick);
    }

    fn submit(&mut self, spec: Spec) {
        self.submitted += 1;
        let op = OpId::from_change(&self.submitted.to_string());
        let key = RowKey::inbox(&name("zone-0:0"), &op);
        let count = spec.tasks;
        let item = InboxItem::Submit { spec, first: 0, count };
        self.drive(Event::InboxRead(vec![(key, Version(1), item)]));
    }

    fn cancel(&mut self, spec: &str) {
        let op = OpId::from_change(&format!("stop-{}", self.submitted));
        let key = RowKey::inbox(&name("zone-0:0"), &op);
        let item = InboxItem::Cancel { spec: name(spec) };
        self.drive(Event::InboxRead(vec![(key, Version(1), item)]));
    }

    /// Passes an event to the shard, and answers all actions that follow.
    fn drive(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.shard.handle(event, self.now) {
                events.extend(self.answer(action));
            }
        }
    }

    fn answer(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::ReadLease => Some(Event::LeaseRead(None)),
            Action::ReadTasks => Some(Event::TasksRead(Vec::new())),
            Action::ReadInbox => Some(Event::InboxRead(Vec::new())),
            Action::Commit(_) => {
                self.version = self.version.next();
                Some(Event::CommitAnswered(CommitOutcome::Committed(self.version)))
            }
            Action::Sync(worker, request) => {
                let (list, orders) = match &request.wants {
                    WorkerOrders::Orders { list, orders } => (*list, orders.as_slice()),
                    WorkerOrders::Listen | WorkerOrders::Renew { .. } => (0, &[][..]),
                };
                let tasks = orders.iter().map(|order| TaskReport {
                    task: order.task.clone(),
                    attempt: order.attempt,
                    phase: match order.want {
                        DesiredState::Run | DesiredState::Throttle => TaskPhase::Running,
                        DesiredState::Stop | DesiredState::Checkpoint => TaskPhase::Stopped,
                    },
                    kind: order.kind,
                    class: order.class.clone(),
                    size: order.size,
                    checkpoint_ms: 0,
                    progress_ms: 0,
                });
                let reply = SyncReply {
                    boot: 1,
                    clock_ms: self.now.as_ms(),
                    epoch: Epoch(1),
                    sequence: request.sequence,
                    list,
                    tasks: Some(tasks.collect()),
                    usage: Vec::new(),
                };
                Some(Event::WorkerReplied(worker.id, reply))
            }
            Action::Publish(_) | Action::Log(_) => None,
        }
    }
}

fn bench_task_starts<P: Placer + Clone + Default>(criterion: &mut Criterion, label: &str) {
    let mut group = criterion.benchmark_group(format!("{TASKS_PER_ITERATION}_task_starts_{label}"));
    group.sample_size(10);
    for workers in WORKERS {
        let id = BenchmarkId::from_parameter(workers);
        let mut driven = DrivenShard::new(workers, P::default());
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                let name = format!("new-{}", driven.submitted);
                driven.submit(spec(&name, TASKS_PER_ITERATION));
                driven.cancel(&name);
                driven.advance(250);
            });
        });
    }
    group.finish();
}

fn task_starts(criterion: &mut Criterion) {
    bench_task_starts::<FirstFit>(criterion, "first_fit");
    bench_task_starts::<InterferenceAware>(criterion, "interference_aware");
}

fn usage_report(criterion: &mut Criterion) {
    let mut placer = InterferenceAware::default();
    let beside: Vec<_> = (0..10).map(|n| name(&format!("class-{}", n % 4))).collect();
    let sample = UsageSample {
        taken_ms: 1,
        task: name("validate:0"),
        class: name("validate"),
        used: Resources::new(500, 512, 0),
        slowdown: 1.2,
        beside,
    };
    criterion.bench_function("usage_report", |bencher| {
        bencher.iter(|| {
            placer.observe(black_box(&sample), kitetrail_core::placement::LoadBand::Middle);
        });
    });
}

criterion_group!(benches, task_starts, usage_report);
criterion_main!(benches);
