//! The worker as a state machine on its own clock.

use std::collections::{BTreeMap, VecDeque};

use kitetrail_core::{
    Attempt, Epoch, Resources, ShardId, SpecName, TaskClass, TaskId,
    task::SpecKind,
    worker::{
        DesiredState, SyncReply, SyncRequest, TaskOrder, TaskPhase, TaskReport, UsageSample,
        WorkerOrders,
    },
};

use super::Effects;
use crate::journal::WorkerEvent;

/// How fast a throttled task runs, and how much it still disturbs others.
const THROTTLED_SPEED: f64 = 0.3;
/// How long a task of a failing worker lasts, in milliseconds.
const FAILS_AFTER_MS: f64 = 50.0;
/// How often an answer is given in full although nothing but progress changed.
const FULL_ANSWER_MS: u64 = 10_000;
/// Classes whose name starts like this fail wherever they run.
const FAILING_CLASS: &str = "fail";

/// The habits of a worker.
#[derive(Debug, Clone)]
pub struct WorkerSettings {
    /// What it has.
    pub capacity: Resources,
    /// How late usage is reported, in milliseconds.
    pub report_lag_ms: u64,
    /// How often usage is measured, in milliseconds.
    pub sample_every_ms: u64,
    /// How long a checkpoint takes, in milliseconds.
    pub checkpoint_ms: u64,
    /// Whether every task fails.
    pub fail_tasks: bool,
    /// How classes disturb each other.
    pub effects: Effects,
}

/// The worker's state.
#[derive(Debug)]
pub struct WorkerModel {
    settings: WorkerSettings,
    boot: u64,
    now_ms: u64,
    owners: BTreeMap<ShardId, OwnerState>,
    runs: BTreeMap<(TaskId, Attempt), Run>,
    usage: VecDeque<(u64, ShardId, UsageSample)>,
    next_sample_ms: u64,
    events: Vec<(u64, WorkerEvent)>,
}

/// What the worker knows of a shard's owner.
#[derive(Debug, Default)]
struct OwnerState {
    epoch: Epoch,
    sequence: u64,
    /// The list of orders gone by.
    list: u64,
    /// What the last answer said, and which request it answered.
    told: Option<(u64, Vec<Told>)>,
    told_in_full_ms: u64,
}

/// The part of a report whose change is worth telling.
type Told = (TaskId, Attempt, TaskPhase, u64);

#[derive(Debug, Clone)]
struct Run {
    shard: ShardId,
    order: TaskOrder,
    phase: TaskPhase,
    progress_ms: f64,
    checkpoint_ms: u64,
    checkpoint_due_ms: Option<u64>,
}

impl WorkerModel {
    /// A worker that has just started. `boot` differs after each start.
    pub fn new(settings: WorkerSettings, boot: u64, now_ms: u64) -> Self {
        let capacity = settings.capacity;
        Self {
            settings,
            boot,
            now_ms,
            owners: BTreeMap::new(),
            runs: BTreeMap::new(),
            usage: VecDeque::new(),
            next_sample_ms: now_ms,
            events: vec![(now_ms, WorkerEvent::Boot { capacity })],
        }
    }

    /// Whether a replica of a service runs here.
    pub fn serves(&self, service: &SpecName) -> bool {
        let mut running = self.running();
        running.any(|run| run.order.kind == SpecKind::Service && run.order.task.spec == *service)
    }

    /// How much slower than alone a service's requests run now.
    pub fn slowdown_of(&self, service: &SpecName) -> f64 {
        let run = self.running().find(|run| run.order.task.spec == *service);
        run.map_or(1.0, |run| self.slowdown(run))
    }

    /// The tasks that run.
    pub fn running_tasks(&self) -> impl Iterator<Item = (&TaskId, Attempt, SpecKind)> {
        self.running().map(|run| (&run.order.task, run.order.attempt, run.order.kind))
    }

    /// What the running tasks take in all.
    pub fn given(&self) -> Resources {
        self.running().fold(Resources::default(), |sum, run| sum.saturating_add(&run.order.size))
    }

    /// What happened since the last call.
    pub fn take_events(&mut self) -> Vec<(u64, WorkerEvent)> {
        std::mem::take(&mut self.events)
    }

    /// Lets time pass: tasks progress, end, and lose their leases.
    pub fn advance(&mut self, now_ms: u64) {
        while self.now_ms < now_ms {
            let step_ms = (now_ms - self.now_ms).min(50);
            self.step(step_ms);
        }
    }

    /// Answers the owner of a shard.
    pub fn sync(&mut self, request: SyncRequest, now_ms: u64) -> SyncReply {
        self.advance(now_ms);
        let owner = self.owners.entry(request.shard.clone()).or_default();
        let newer = (request.epoch, request.sequence) > (owner.epoch, owner.sequence);
        if request.epoch > owner.epoch {
            *owner = OwnerState::default();
        }
        if newer {
            owner.epoch = request.epoch;
            owner.sequence = request.sequence;
        }
        if newer && request.boot == self.boot {
            self.obey(&request);
        }
        self.reply(&request)
    }

    fn running(&self) -> impl Iterator<Item = &Run> {
        self.runs.values().filter(|run| run.phase == TaskPhase::Running)
    }

    fn slowdown(&self, run: &Run) -> f64 {
        let others = self.running().filter(|other| other.order.task != run.order.task);
        let effects = others.map(|other| {
            let full = self.settings.effects.of(&run.order.class, &other.order.class);
            if other.order.want == DesiredState::Throttle { full * THROTTLED_SPEED } else { full }
        });
        1.0 + effects.sum::<f64>()
    }

    fn step(&mut self, step_ms: u64) {
        self.now_ms += step_ms;
        let now_ms = self.now_ms;
        let speeds: Vec<f64> = self.runs.values().map(|run| 1.0 / self.slowdown(run)).collect();
        let mut ended = Vec::new();
        for ((key, run), speed) in self.runs.iter_mut().zip(speeds) {
            if run.phase != TaskPhase::Running {
                continue;
            }
            let throttle =
                if run.order.want == DesiredState::Throttle { THROTTLED_SPEED } else { 1.0 };
            run.progress_ms += step_ms as f64 * speed * throttle;
            let fails =
                self.settings.fail_tasks || run.order.class.as_str().starts_with(FAILING_CLASS);
            let phase = match run.checkpoint_due_ms {
                _ if run.order.lease_until_ms <= now_ms => TaskPhase::Stopped,
                _ if fails && run.progress_ms >= FAILS_AFTER_MS => TaskPhase::Failed,
                _ if run.order.work_ms > 0 && run.progress_ms >= run.order.work_ms as f64 => {
                    TaskPhase::Done
                }
                Some(due_ms) if due_ms <= now_ms => {
                    run.checkpoint_ms = run.progress_ms as u64;
                    TaskPhase::Stopped
                }
                _ => continue,
            };
            ended.push((key.clone(), phase));
        }
        for (key, phase) in ended {
            self.end(&key, phase);
        }
        self.measure();
    }

    fn end(&mut self, key: &(TaskId, Attempt), phase: TaskPhase) {
        let Some(run) = self.runs.get_mut(key) else { return };
        run.phase = phase;
        let (task, attempt) = key.clone();
        let (done, checkpoint_ms) = (phase == TaskPhase::Done, run.checkpoint_ms);
        let unsaved_ms = (run.progress_ms as u64).saturating_sub(checkpoint_ms);
        let lost_ms = if done { 0 } else { unsaved_ms };
        let event = WorkerEvent::Stop { task, attempt, done, checkpoint_ms, lost_ms };
        self.events.push((self.now_ms, event));
    }

    /// Measures what runs together, to be reported late.
    fn measure(&mut self) {
        if self.now_ms < self.next_sample_ms {
            return;
        }
        self.next_sample_ms = self.now_ms + self.settings.sample_every_ms;
        let samples: Vec<_> = self.running().map(|run| self.sample(run)).collect();
        let due_ms = self.now_ms + self.settings.report_lag_ms;
        self.usage.extend(samples.into_iter().map(|(shard, sample)| (due_ms, shard, sample)));
    }

    fn sample(&self, run: &Run) -> (ShardId, UsageSample) {
        let others = self.running().filter(|other| other.order.task != run.order.task);
        let beside: Vec<TaskClass> = others.map(|other| other.order.class.clone()).collect();
        let sample = UsageSample {
            taken_ms: self.now_ms,
            task: run.order.task.clone(),
            class: run.order.class.clone(),
            used: run.order.size,
            slowdown: self.slowdown(run),
            beside,
        };
        (run.shard.clone(), sample)
    }

    fn obey(&mut self, request: &SyncRequest) {
        for settled in &request.settled {
            if self.runs.get(settled).is_some_and(|run| run.phase != TaskPhase::Running) {
                self.runs.remove(settled);
            }
        }
        match &request.wants {
            WorkerOrders::Listen => {}
            WorkerOrders::Orders { list, orders } => {
                self.obey_orders(&request.shard, orders);
                if let Some(owner) = self.owners.get_mut(&request.shard) {
                    owner.list = *list;
                }
            }
            WorkerOrders::Renew { list, lease_until_ms } => {
                let known = self.owners.get(&request.shard).is_some_and(|o| o.list == *list);
                let runs = self.runs.values_mut().filter(|run| run.shard == request.shard);
                for run in runs.filter(|run| known && run.phase == TaskPhase::Running) {
                    run.order.lease_until_ms = run.order.lease_until_ms.max(*lease_until_ms);
                }
            }
        }
    }

    fn obey_orders(&mut self, shard: &ShardId, orders: &[TaskOrder]) {
        let named = |task: &TaskId, attempt: Attempt| {
            orders.iter().any(|order| order.task == *task && order.attempt == attempt)
        };
        let unnamed: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| run.phase == TaskPhase::Running && run.shard == *shard)
            .filter(|((task, attempt), _)| !named(task, *attempt))
            .map(|(key, _)| key.clone())
            .collect();
        for key in unnamed {
            self.end(&key, TaskPhase::Stopped);
        }
        for order in orders {
            self.obey_order(shard, order);
        }
    }

    fn obey_order(&mut self, shard: &ShardId, order: &TaskOrder) {
        let key = (order.task.clone(), order.attempt);
        let Some(run) = self.runs.get_mut(&key) else { return self.begin(shard, order) };
        if run.phase != TaskPhase::Running {
            return;
        }
        run.order.lease_until_ms = run.order.lease_until_ms.max(order.lease_until_ms);
        run.order.want = order.want;
        match order.want {
            DesiredState::Stop => self.end(&key, TaskPhase::Stopped),
            DesiredState::Checkpoint => {
                let due_ms = self.now_ms + self.settings.checkpoint_ms;
                run.checkpoint_due_ms.get_or_insert(due_ms);
            }
            DesiredState::Run | DesiredState::Throttle => {}
        }
    }

    fn begin(&mut self, shard: &ShardId, order: &TaskOrder) {
        let runs = matches!(order.want, DesiredState::Run | DesiredState::Throttle)
            && order.lease_until_ms > self.now_ms;
        let run = Run {
            shard: shard.clone(),
            order: order.clone(),
            phase: if runs { TaskPhase::Running } else { TaskPhase::Stopped },
            progress_ms: order.resume_ms as f64,
            checkpoint_ms: order.resume_ms,
            checkpoint_due_ms: None,
        };
        if runs {
            let event = WorkerEvent::Start {
                task: order.task.clone(),
                attempt: order.attempt,
                exclusive: order.kind.is_exclusive(),
                size: order.size,
                resume_ms: order.resume_ms,
            };
            self.events.push((self.now_ms, event));
        }
        self.runs.insert((order.task.clone(), order.attempt), run);
    }

    fn reply(&mut self, request: &SyncRequest) -> SyncReply {
        let runs = self.runs.iter().filter(|(_, run)| run.shard == request.shard);
        let reports: Vec<TaskReport> = runs.map(|(key, run)| run.report(key)).collect();
        let now_ms = self.now_ms;
        let is_due = |(due_ms, shard, _): &(u64, ShardId, UsageSample)| {
            *due_ms <= now_ms && *shard == request.shard
        };
        let usage = self.usage.iter().filter(|entry| is_due(entry));
        let usage = usage.map(|(_, _, sample)| sample.clone()).collect();
        self.usage.retain(|entry| !is_due(entry));
        let owner = self.owners.entry(request.shard.clone()).or_default();
        SyncReply {
            boot: self.boot,
            clock_ms: now_ms,
            epoch: owner.epoch,
            sequence: request.sequence,
            list: owner.list,
            tasks: owner.tell(request, reports, now_ms),
            usage,
        }
    }
}

impl OwnerState {
    /// What to tell the owner: nothing if it has seen the same, apart from a full answer
    /// now and then for the progress made.
    fn tell(
        &mut self,
        request: &SyncRequest,
        reports: Vec<TaskReport>,
        now_ms: u64,
    ) -> Option<Vec<TaskReport>> {
        let told: Vec<Told> = reports
            .iter()
            .map(|report| (report.task.clone(), report.attempt, report.phase, report.checkpoint_ms))
            .collect();
        let now = Some((request.seen, told));
        let fresh = now_ms.saturating_sub(self.told_in_full_ms) < FULL_ANSWER_MS;
        let known = request.seen > 0 && self.told == now && fresh;
        self.told = now.map(|(_, told)| (request.sequence, told));
        if known {
            return None;
        }
        self.told_in_full_ms = now_ms;
        Some(reports)
    }
}

impl Run {
    fn report(&self, (task, attempt): &(TaskId, Attempt)) -> TaskReport {
        TaskReport {
            task: task.clone(),
            attempt: *attempt,
            phase: self.phase,
            kind: self.order.kind,
            class: self.order.class.clone(),
            size: self.order.size,
            checkpoint_ms: self.checkpoint_ms,
            progress_ms: self.progress_ms as u64,
        }
    }
}
