//! The worker as a state machine with its own clock.

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

/// The speed of a throttled task, and its remaining effect on others, relative to an unthrottled task.
const THROTTLED_SPEED: f64 = 0.3;
/// The progress after which a failing task must_fail, in milliseconds of work.
const FAILING_TASK_RUN_MS: f64 = 50.0;
/// The interval between full reports while nothing but progress changes, in milliseconds.
const FULL_REPORT_INTERVAL_MS: u64 = 10_000;
/// The prefix of classes whose tasks fail on every worker.
const FAILING_CLASS_PREFIX: &str = "fail";

/// The settings of a worker.
#[derive(Debug, Clone)]
pub struct WorkerSettings {
    /// The capacity of the worker.
    pub capacity: Resources,
    /// The delay until usage is reported, in milliseconds.
    pub report_lag_ms: u64,
    /// The interval between usage samples, in milliseconds.
    pub sample_every_ms: u64,
    /// The duration of a checkpoint, in milliseconds.
    pub checkpoint_ms: u64,
    /// Whether every task must_fail.
    pub fail_tasks: bool,
    /// The interference between task classes.
    pub effects: Effects,
}

/// The state of the worker.
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

/// The state that the worker keeps for the owner of a shard.
#[derive(Debug, Default)]
struct OwnerState {
    epoch: Epoch,
    sequence: u64,
    /// The number of the last list of orders that was applied.
    list: u64,
    /// The last report, with the sequence number of the request that it answered.
    last_sent: Option<(u64, Vec<ReportDigest>)>,
    last_full_report_ms: u64,
}

/// The part of a report that causes a new report when it changes.
type ReportDigest = (TaskId, Attempt, TaskPhase, u64);

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
    /// Creates a worker that has just started. `boot` must differ for each start.
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

    /// Returns whether a replica of a service runs on this worker.
    pub fn serves(&self, service: &SpecName) -> bool {
        let mut running = self.active_runs();
        running.any(|run| run.order.kind == SpecKind::Service && run.order.task.spec == *service)
    }

    /// Returns the factor by which requests of a service are currently slower than without interference.
    pub fn slowdown_of(&self, service: &SpecName) -> f64 {
        let run = self.active_runs().find(|run| run.order.task.spec == *service);
        run.map_or(1.0, |run| self.slowdown(run))
    }

    /// Returns the running tasks.
    pub fn running_tasks(&self) -> impl Iterator<Item = (&TaskId, Attempt, SpecKind)> {
        self.active_runs().map(|run| (&run.order.task, run.order.attempt, run.order.kind))
    }

    /// Returns the total size of the running tasks.
    pub fn given(&self) -> Resources {
        self.active_runs()
            .fold(Resources::default(), |sum, run| sum.saturating_add(&run.order.size))
    }

    /// Returns the events since the last call, with their times in milliseconds.
    pub fn take_events(&mut self) -> Vec<(u64, WorkerEvent)> {
        std::mem::take(&mut self.events)
    }

    /// Advances the clock: tasks make progress, end, and are stopped when their leases expire.
    pub fn advance(&mut self, now_ms: u64) {
        while self.now_ms < now_ms {
            let step_ms = (now_ms - self.now_ms).min(50);
            self.step(step_ms);
        }
    }

    /// Processes a request from the owner of a shard.
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
            self.apply_request(&request);
        }
        self.reply(&request)
    }

    fn active_runs(&self) -> impl Iterator<Item = &Run> {
        self.runs.values().filter(|run| run.phase == TaskPhase::Running)
    }

    fn slowdown(&self, run: &Run) -> f64 {
        let others = self.active_runs().filter(|other| other.order.task != run.order.task);
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
            let must_fail = self.settings.fail_tasks
                || run.order.class.as_str().starts_with(FAILING_CLASS_PREFIX);
            let phase = match run.checkpoint_due_ms {
                _ if run.order.lease_until_ms <= now_ms => TaskPhase::Stopped,
                _ if must_fail && run.progress_ms >= FAILING_TASK_RUN_MS => TaskPhase::Failed,
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
            self.end_run(&key, phase);
        }
        self.sample_usage();
    }

    fn end_run(&mut self, key: &(TaskId, Attempt), phase: TaskPhase) {
        let Some(run) = self.runs.get_mut(key) else { return };
        run.phase = phase;
        let (task, attempt) = key.clone();
        let (done, checkpoint_ms) = (phase == TaskPhase::Done, run.checkpoint_ms);
        let unsaved_ms = (run.progress_ms as u64).saturating_sub(checkpoint_ms);
        let lost_ms = if done { 0 } else { unsaved_ms };
        let event = WorkerEvent::Stop { task, attempt, done, checkpoint_ms, lost_ms };
        self.events.push((self.now_ms, event));
    }

    /// Samples the usage of the running tasks when a sample is due. Samples are reported with a delay.
    fn sample_usage(&mut self) {
        if self.now_ms < self.next_sample_ms {
            return;
        }
        self.next_sample_ms = self.now_ms + self.settings.sample_every_ms;
        let samples: Vec<_> = self.active_runs().map(|run| self.usage_sample(run)).collect();
        let due_ms = self.now_ms + self.settings.report_lag_ms;
        self.usage.extend(samples.into_iter().map(|(shard, sample)| (due_ms, shard, sample)));
    }

    fn usage_sample(&self, run: &Run) -> (ShardId, UsageSample) {
        let others = self.active_runs().filter(|other| other.order.task != run.order.task);
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

    fn apply_request(&mut self, request: &SyncRequest) {
        for settled in &request.settled {
            if self.runs.get(settled).is_some_and(|run| run.phase != TaskPhase::Running) {
                self.runs.remove(settled);
            }
        }
        match &request.wants {
            WorkerOrders::Listen => {}
            WorkerOrders::Orders { list, orders } => {
                self.apply_orders(&request.shard, orders);
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

    fn apply_orders(&mut self, shard: &ShardId, orders: &[TaskOrder]) {
        let is_listed = |task: &TaskId, attempt: Attempt| {
            orders.iter().any(|order| order.task == *task && order.attempt == attempt)
        };
        let unlisted: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| run.phase == TaskPhase::Running && run.shard == *shard)
            .filter(|((task, attempt), _)| !is_listed(task, *attempt))
            .map(|(key, _)| key.clone())
            .collect();
        for key in unlisted {
            self.end_run(&key, TaskPhase::Stopped);
        }
        for order in orders {
            self.apply_order(shard, order);
        }
    }

    fn apply_order(&mut self, shard: &ShardId, order: &TaskOrder) {
        let key = (order.task.clone(), order.attempt);
        let Some(run) = self.runs.get_mut(&key) else { return self.start_run(shard, order) };
        if run.phase != TaskPhase::Running {
            return;
        }
        run.order.lease_until_ms = run.order.lease_until_ms.max(order.lease_until_ms);
        run.order.want = order.want;
        match order.want {
            DesiredState::Stop => self.end_run(&key, TaskPhase::Stopped),
            DesiredState::Checkpoint => {
                let due_ms = self.now_ms + self.settings.checkpoint_ms;
                run.checkpoint_due_ms.get_or_insert(due_ms);
            }
            DesiredState::Run | DesiredState::Throttle => {}
        }
    }

    fn start_run(&mut self, shard: &ShardId, order: &TaskOrder) {
        let can_start = matches!(order.want, DesiredState::Run | DesiredState::Throttle)
            && order.lease_until_ms > self.now_ms;
        let run = Run {
            shard: shard.clone(),
            order: order.clone(),
            phase: if can_start { TaskPhase::Running } else { TaskPhase::Stopped },
            progress_ms: order.resume_ms as f64,
            checkpoint_ms: order.resume_ms,
            checkpoint_due_ms: None,
        };
        if can_start {
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
            tasks: owner.reports_to_send(request, reports, now_ms),
            usage,
        }
    }
}

impl OwnerState {
    /// Returns the reports to send to the owner.
    ///
    /// Returns `None` if the owner has already received the same state, except that a full report is due
    /// at intervals to report progress.
    fn reports_to_send(
        &mut self,
        request: &SyncRequest,
        reports: Vec<TaskReport>,
        now_ms: u64,
    ) -> Option<Vec<TaskReport>> {
        let digest: Vec<ReportDigest> = reports
            .iter()
            .map(|report| (report.task.clone(), report.attempt, report.phase, report.checkpoint_ms))
            .collect();
        let current = Some((request.seen, digest));
        let full_report_is_recent =
            now_ms.saturating_sub(self.last_full_report_ms) < FULL_REPORT_INTERVAL_MS;
        let is_unchanged = request.seen > 0 && self.last_sent == current && full_report_is_recent;
        self.last_sent = current.map(|(_, digest)| (request.sequence, digest));
        if is_unchanged {
            return None;
        }
        self.last_full_report_ms = now_ms;
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
