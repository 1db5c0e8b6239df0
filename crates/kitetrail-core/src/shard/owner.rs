//! The scheduling decisions of a shard's owner.

mod commit;
mod inbox;
mod place;
mod relief;
mod reply;
mod sync;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Action, Decision, Grant, PlacedEndpoint, ShardSettings, event::RequeueReason,
    worker_state::WorkerState,
};
use crate::{
    Attempt, Epoch, ShardId, TaskId, Time, Version, WorkerId,
    fleet::{Liveness, WorkerInfo},
    placement::{Placer, ReliefSettings},
    table::{Condition, RowKey, Write},
    task::{TaskRow, TaskStage},
};

/// The time that a replaced replica has to finish its requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest time that a new owner waits for the first replies of its workers.
const WARM_UP: Duration = Duration::from_secs(1);
/// The largest number of queued tasks that one step tries to place.
const MAX_EXAMINED_PER_STEP: usize = 512;
/// The largest number of ended tasks whose rows one step removes.
const MAX_REMOVED_PER_STEP: usize = 100;
/// The time for which a task is not placed on the worker it was evicted from.
const AVOID_AFTER_EVICTION: Duration = Duration::from_secs(30);
/// The time that an urgent task waits for preempted tasks to stop before more are preempted.
const PREEMPTION_TIMEOUT: Duration = Duration::from_secs(3);
/// The number of workers in a row that are lost, each just as a job's task had started there,
/// after which the job fails. A worker that fails for another reason rarely does so at that
/// moment.
const MAX_CRASHED_WORKERS: usize = 4;
/// The number of runs after which a job with a failed run fails. It applies when there are too
/// few workers to tell whether the job or a worker causes the failures.
const MAX_RUNS: u32 = 8;

/// The rows of a transaction other than the shard's lease row.
#[derive(Debug, Default)]
pub(super) struct CommitContent {
    pub conditions: Vec<Condition>,
    pub writes: Vec<Write>,
}

/// The result of taking a shard over.
#[derive(Debug, Clone, Copy)]
pub(super) struct Takeover {
    /// The epoch of the new owner.
    pub epoch: Epoch,
    /// The version that the takeover gave to the shard's lease row.
    pub version: Version,
    /// The time at which the takeover was confirmed.
    pub since: Time,
    /// The time at which every lease that an earlier owner could have renewed has certainly
    /// expired.
    pub leases_end_at: Time,
    /// The time of day, in milliseconds since 1970, or zero if it is unknown.
    pub unix_ms: u64,
}

/// The owner of a shard during one epoch.
#[derive(Debug)]
pub(super) struct Owner {
    shard: ShardId,
    epoch: Epoch,
    version: Version,
    /// The time at which the latest transaction known to have taken effect was sent.
    last_confirmed_commit: Time,
    last_commit: Time,
    was_detached: bool,
    rows: BTreeMap<TaskId, TaskRow>,
    /// The tasks whose rows changed since they were last sent to the table.
    dirty: BTreeSet<TaskId>,
    /// The tasks whose rows were sent to the table in a transaction that is not answered yet.
    committing: BTreeSet<TaskId>,
    queue: BTreeSet<QueueKey>,
    workers: BTreeMap<WorkerId, WorkerState>,
    avoided_workers: BTreeMap<TaskId, (WorkerId, Time)>,
    preempting_since: BTreeMap<TaskId, Time>,
    inbox: InboxState,
    published: Vec<PlacedEndpoint>,
    publish_sequence: u64,
    owned_since: Time,
    warmed_up: bool,
    placed_count: usize,
    /// The latest time of day received, in milliseconds since 1970, or zero if none was received.
    unix_ms: u64,
    /// The ended tasks, ordered by the time of day at which they ended.
    ended_tasks: BTreeSet<(u64, TaskId)>,
}

/// The position of a task in the queue: by priority and rank, highest first, then by id.
type QueueKey = (Reverse<(u8, u8)>, TaskId);

#[derive(Debug, Default)]
struct InboxState {
    last_read: Option<Time>,
    in_flight: bool,
    /// The messages that were handled. They are deleted in the transaction that stores
    /// their effects.
    handled: BTreeMap<RowKey, Version>,
    /// The handled messages whose deletion was sent.
    deleting: Vec<RowKey>,
}

/// A run that has certainly stopped.
#[derive(Debug, Clone)]
struct EndedRun {
    worker: WorkerId,
    task: TaskId,
    attempt: Attempt,
    /// The progress that the run saved, in milliseconds of work.
    checkpoint_ms: u64,
    end: RunEnd,
    crash: CrashEvidence,
}

/// Whether a task may have crashed the worker that it was ordered on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CrashEvidence {
    /// The task was ordered, and the worker was lost just as the task had started there.
    Suspected,
    /// The worker replied again after it had reported the task as running, or reported its end.
    Refuted,
    /// An earlier owner may have ordered the task.
    Unknown,
}

impl CrashEvidence {
    /// Returns the evidence from a run that is lost with its worker.
    fn of(grant: &Grant) -> Self {
        match grant.first_order_sequence {
            _ if grant.confirmed_running => Self::Refuted,
            Some(_) => Self::Suspected,
            None => Self::Unknown,
        }
    }
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    Done,
    Failed,
    Stopped(RequeueReason),
}

impl Owner {
    /// Creates the owner after a takeover, with the rows loaded from the table.
    pub fn new<P: Placer>(
        shard: ShardId,
        takeover: Takeover,
        rows: Vec<TaskRow>,
        placer: &P,
    ) -> Self {
        let Takeover { epoch, version, since, leases_end_at, unix_ms } = takeover;
        let mut owner = Self {
            shard,
            epoch,
            version,
            last_confirmed_commit: since,
            last_commit: since,
            was_detached: false,
            rows: BTreeMap::new(),
            dirty: BTreeSet::new(),
            committing: BTreeSet::new(),
            queue: BTreeSet::new(),
            workers: BTreeMap::new(),
            avoided_workers: BTreeMap::new(),
            preempting_since: BTreeMap::new(),
            inbox: InboxState::default(),
            published: Vec::new(),
            publish_sequence: 0,
            owned_since: since,
            warmed_up: false,
            placed_count: 0,
            unix_ms,
            ended_tasks: BTreeSet::new(),
        };
        for row in rows {
            owner.load_task(row, leases_end_at, since, placer);
        }
        owner
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the version of the shard's lease row.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the number of queued tasks.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of placed tasks.
    pub fn placed(&self) -> usize {
        self.placed_count
    }

    /// Returns whether no commit has been confirmed for longer than the shard's lease.
    pub fn is_detached(&self, settings: &ShardSettings, now: Time) -> bool {
        now.since(self.last_confirmed_commit) > settings.shard_lease
    }

    /// Returns whether leases of jobs and watchers may still be renewed.
    fn may_renew_exclusive(&self, settings: &ShardSettings, now: Time) -> bool {
        now.since(self.last_confirmed_commit) < settings.detached_renewal
    }

    /// Returns whether `attempt` is the current run of a task and is placed on the given worker.
    fn is_current(&self, task: &TaskId, attempt: Attempt, on: &WorkerId) -> bool {
        let row = self.rows.get(task);
        row.is_some_and(|row| row.attempt == attempt && row.worker() == Some(on))
    }

    fn load_task<P: Placer>(&mut self, row: TaskRow, leases_end_at: Time, now: Time, placer: &P) {
        match &row.stage {
            TaskStage::Queued => {
                self.queue.insert(queue_key(&row, placer));
            }
            TaskStage::Placed { worker, boot } => {
                let state = self.workers.entry(worker.clone());
                let state = state.or_insert_with(|| WorkerState::new(leases_end_at, now));
                state.ledger.insert_unchecked(row.id.clone(), row.attempt, Grant::of(&row, *boot));
                self.placed_count += 1;
            }
            TaskStage::Ended(_) => {
                let ended_ms =
                    if row.ended_unix_ms == 0 { self.unix_ms } else { row.ended_unix_ms };
                self.ended_tasks.insert((ended_ms, row.id.clone()));
            }
        }
        self.rows.insert(row.id.clone(), row);
    }

    /// Updates the workers from the box list.
    pub fn set_fleet(&mut self, fleet: &[WorkerInfo], now: Time) {
        for info in fleet {
            let state = self.workers.entry(info.id.clone());
            let state = state.or_insert_with(|| WorkerState::new(now, now));
            state.ledger.set_capacity(info.capacity);
            state.info = Some(info.clone());
        }
        for (id, state) in &mut self.workers {
            let listed = fleet.iter().any(|info| info.id == *id);
            match &mut state.info {
                Some(info) if !listed => info.state = Liveness::Dead,
                _ => {}
            }
        }
        self.workers.retain(|id, state| {
            !state.ledger.is_empty() || fleet.iter().any(|info| info.id == *id)
        });
    }

    /// Updates the time of day and removes the rows of ended tasks whose retention time is over.
    pub fn set_unix_time(&mut self, unix_ms: u64, settings: &ShardSettings) {
        if self.unix_ms == 0 {
            let undated = std::mem::take(&mut self.ended_tasks);
            let dated = undated.into_iter().map(|(at, task)| (at.max(unix_ms), task));
            self.ended_tasks = dated.collect();
        }
        self.unix_ms = unix_ms;
        let retained_from_ms = unix_ms.saturating_sub(settings.ended_retention.as_millis() as u64);
        for _ in 0..MAX_REMOVED_PER_STEP {
            match self.ended_tasks.first() {
                Some((ended_ms, _)) if *ended_ms < retained_from_ms => {}
                _ => return,
            }
            let Some((_, task)) = self.ended_tasks.pop_first() else { return };
            self.rows.remove(&task);
            self.dirty.insert(task);
        }
    }

    /// Returns the specs of the tasks that have not ended, one for each task.
    pub fn specs(&self) -> impl Iterator<Item = &crate::task::Spec> {
        self.rows.values().filter(|row| !row.is_ended()).map(|row| &row.spec)
    }

    /// Rebuilds the queue order after a change of policy.
    pub fn sort_queue<P: Placer>(&mut self, placer: &P) {
        let queued = self.queue.iter().filter_map(|(_, id)| self.rows.get(id));
        self.queue = queued.map(|row| queue_key(row, placer)).collect();
    }

    /// Performs every step that is due.
    pub fn advance<P: Placer>(
        &mut self,
        settings: &ShardSettings,
        relief: &ReliefSettings,
        placer: &mut P,
        releasing: bool,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        self.log_attachment_change(settings, now, actions);
        self.update_warm_up(now);
        self.handle_silent_workers(settings, placer, now, actions);
        if !self.is_detached(settings, now) && !releasing && self.warmed_up {
            self.drain_leaving_workers(placer, now, actions);
            self.relieve_workers(relief, placer, now, actions);
            self.place(settings, placer, now, actions);
        }
        self.sync_workers(settings, now, actions);
        self.publish(actions);
        self.read_inbox(settings, releasing, now, actions);
    }

    /// Ends the warm-up after a takeover once all live workers have replied or the time is over.
    /// Without it, decisions would depend on the few workers that replied first.
    fn update_warm_up(&mut self, now: Time) {
        let mut live = self.workers.values().filter(|state| state.is_live());
        let all_replied = !self.workers.is_empty() && live.all(|state| state.last_reply.is_some());
        self.warmed_up |= all_replied || now.since(self.owned_since) >= WARM_UP;
    }

    fn log_attachment_change(
        &mut self,
        settings: &ShardSettings,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let detached = self.is_detached(settings, now);
        if detached != self.was_detached {
            self.was_detached = detached;
            let decision =
                if detached { Decision::TableUnreachable } else { Decision::TableReachable };
            actions.push(Action::Log(decision));
        }
    }
}

fn queue_key<P: Placer>(row: &TaskRow, placer: &P) -> QueueKey {
    let rank = placer.policy().rule(&row.spec.class, row.spec.kind).rank;
    (Reverse((row.spec.priority, rank)), row.id.clone())
}
