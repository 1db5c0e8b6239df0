//! The decisions of a shard's owner: what runs where, and what becomes of it.

mod commit;
mod inbox;
mod place;
mod relieve;
mod reply;
mod speak;

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
    table::{Condition, Key, Write},
    task::{Stage, TaskRow},
};

/// How long a replaced replica may finish its requests.
const DRAIN: Duration = Duration::from_secs(10);
/// How long an owner waits for the first words of its workers.
const SETTLE_IN: Duration = Duration::from_secs(1);
/// How many placements are tried at a time.
const MAX_TRIES: usize = 512;
/// How many tasks at rest are forgotten at a time.
const MAX_FORGOTTEN: usize = 100;
/// How long a task keeps away from the worker it was evicted from.
const AVOID_AFTER_EVICTION: Duration = Duration::from_secs(30);
/// How long room made for an urgent task is waited for before more is made.
const PREEMPTION_PATIENCE: Duration = Duration::from_secs(3);
/// How many workers that are lost in a row, each just as a job's task had started there, end the job. A worker that is lost
/// by itself seldom hits a task just then.
const MAX_CRASHES: usize = 4;
/// How many failed runs end a job, if there are too few workers to tell.
const MAX_RUNS_ANYWHERE: u32 = 8;

/// The rows of a transaction besides the shard's own.
#[derive(Debug, Default)]
pub(super) struct CommitContent {
    pub conditions: Vec<Condition>,
    pub writes: Vec<Write>,
}

/// The beginning of a reign.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reign {
    /// Its number.
    pub epoch: Epoch,
    /// The version that the takeover gave the shard's row.
    pub version: Version,
    /// When the takeover was confirmed.
    pub since: Time,
    /// When every lease that an earlier owner could have renewed has certainly lapsed.
    pub lapse_at: Time,
    /// The time of day, in milliseconds since 1970, or zero.
    pub unix_ms: u64,
}

/// The owner of a shard during one reign.
#[derive(Debug)]
pub(super) struct Owner {
    shard: ShardId,
    epoch: Epoch,
    version: Version,
    /// When the last transaction known to have taken effect was sent.
    confirmed: Time,
    last_commit: Time,
    was_detached: bool,
    rows: BTreeMap<TaskId, TaskRow>,
    /// Rows that changed since they were last sent to the table.
    dirty: BTreeSet<TaskId>,
    /// Rows that were sent to the table and not answered yet.
    committing: BTreeSet<TaskId>,
    queue: BTreeSet<QueueKey>,
    workers: BTreeMap<WorkerId, WorkerState>,
    avoid: BTreeMap<TaskId, (WorkerId, Time)>,
    preempting: BTreeMap<TaskId, Time>,
    inbox: InboxState,
    published: Vec<PlacedEndpoint>,
    publish_sequence: u64,
    since: Time,
    settled_in: bool,
    placed_count: usize,
    /// The time of day when it was last told, in milliseconds since 1970.
    unix_ms: u64,
    /// The tasks at rest, by the time of day when they came to it.
    at_rest: BTreeSet<(u64, TaskId)>,
}

type QueueKey = (Reverse<(u8, u8)>, TaskId);

#[derive(Debug, Default)]
struct InboxState {
    last_read: Option<Time>,
    in_flight: bool,
    /// Messages acted on, to be deleted together with what they led to.
    taken: BTreeMap<Key, Version>,
    /// Of those, the ones whose deletion was sent.
    deleting: Vec<Key>,
}

/// A run that has certainly stopped.
#[derive(Debug, Clone)]
struct EndedRun {
    worker: WorkerId,
    task: TaskId,
    attempt: Attempt,
    /// The progress it saved, in milliseconds of work.
    checkpoint_ms: u64,
    how: RunEnd,
    crash: CrashSign,
}

/// Whether a task may have crashed the worker that was to run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CrashSign {
    /// It was ordered, and its worker was lost just as it had started there.
    Suspected,
    /// Its worker answered after it had reported it running, or reported its end.
    Refuted,
    /// An earlier owner may have ordered it.
    Unknown,
}

impl CrashSign {
    /// Of a run that is lost with its worker.
    fn of(grant: &Grant) -> Self {
        match grant.ordered_at {
            _ if grant.runs_on => Self::Refuted,
            Some(_) => Self::Suspected,
            None => Self::Unknown,
        }
    }
}

/// How a run came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    Done,
    Failed,
    Stopped(RequeueReason),
}

impl Owner {
    /// The owner after a takeover.
    pub fn new<P: Placer>(shard: ShardId, reign: Reign, rows: Vec<TaskRow>, placer: &P) -> Self {
        let Reign { epoch, version, since, lapse_at, unix_ms } = reign;
        let mut owner = Self {
            shard,
            epoch,
            version,
            confirmed: since,
            last_commit: since,
            was_detached: false,
            rows: BTreeMap::new(),
            dirty: BTreeSet::new(),
            committing: BTreeSet::new(),
            queue: BTreeSet::new(),
            workers: BTreeMap::new(),
            avoid: BTreeMap::new(),
            preempting: BTreeMap::new(),
            inbox: InboxState::default(),
            published: Vec::new(),
            publish_sequence: 0,
            since,
            settled_in: false,
            placed_count: 0,
            unix_ms,
            at_rest: BTreeSet::new(),
        };
        for row in rows {
            owner.adopt(row, lapse_at, since, placer);
        }
        owner
    }

    /// The reign.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The version of the shard's row.
    pub fn version(&self) -> Version {
        self.version
    }

    /// How many tasks wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// How many tasks are placed.
    pub fn placed(&self) -> usize {
        self.placed_count
    }

    /// Whether the table has been silent for longer than the shard's lease.
    pub fn is_detached(&self, settings: &ShardSettings, now: Time) -> bool {
        now.since(self.confirmed) > settings.shard_lease
    }

    /// Whether jobs and watchers may still be renewed.
    fn may_renew_exclusive(&self, settings: &ShardSettings, now: Time) -> bool {
        now.since(self.confirmed) < settings.detached_renewal
    }

    /// Whether `attempt` is the present run of a task, placed on the given worker.
    fn is_current(&self, task: &TaskId, attempt: Attempt, on: &WorkerId) -> bool {
        let row = self.rows.get(task);
        row.is_some_and(|row| row.attempt == attempt && row.worker() == Some(on))
    }

    fn adopt<P: Placer>(&mut self, row: TaskRow, lapse_at: Time, now: Time, placer: &P) {
        match &row.stage {
            Stage::Queued => {
                self.queue.insert(queue_key(&row, placer));
            }
            Stage::Placed { worker, boot } => {
                let state = self.workers.entry(worker.clone());
                let state = state.or_insert_with(|| WorkerState::new(lapse_at, now));
                state.ledger.force(row.id.clone(), row.attempt, Grant::of(&row, *boot));
                self.placed_count += 1;
            }
            Stage::Ended(_) => {
                let ended_ms =
                    if row.ended_unix_ms == 0 { self.unix_ms } else { row.ended_unix_ms };
                self.at_rest.insert((ended_ms, row.id.clone()));
            }
        }
        self.rows.insert(row.id.clone(), row);
    }

    /// Follows the box list.
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

    /// Takes in the time of day, by which tasks at rest are forgotten.
    pub fn set_unix_time(&mut self, unix_ms: u64, settings: &ShardSettings) {
        if self.unix_ms == 0 {
            let undated = std::mem::take(&mut self.at_rest);
            let dated = undated.into_iter().map(|(at, task)| (at.max(unix_ms), task));
            self.at_rest = dated.collect();
        }
        self.unix_ms = unix_ms;
        let until_ms = unix_ms.saturating_sub(settings.ended_retention.as_millis() as u64);
        for _ in 0..MAX_FORGOTTEN {
            match self.at_rest.first() {
                Some((ended_ms, _)) if *ended_ms < until_ms => {}
                _ => return,
            }
            let Some((_, task)) = self.at_rest.pop_first() else { return };
            self.rows.remove(&task);
            self.dirty.insert(task);
        }
    }

    /// The specs of its tasks that aren't at rest.
    pub fn specs(&self) -> impl Iterator<Item = &crate::task::Spec> {
        self.rows.values().filter(|row| !row.is_ended()).map(|row| &row.spec)
    }

    /// Sorts the queue anew after a change of policy.
    pub fn sort_queue<P: Placer>(&mut self, placer: &P) {
        let queued = self.queue.iter().filter_map(|(_, id)| self.rows.get(id));
        self.queue = queued.map(|row| queue_key(row, placer)).collect();
    }

    /// Takes every step that is due.
    pub fn advance<P: Placer>(
        &mut self,
        settings: &ShardSettings,
        relief: &ReliefSettings,
        placer: &mut P,
        wants_out: bool,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        self.note_attachment(settings, now, actions);
        self.settle_in(now);
        self.give_up_silent_workers(settings, placer, now, actions);
        if !self.is_detached(settings, now) && !wants_out && self.settled_in {
            self.empty_leaving_workers(placer, now, actions);
            self.relieve_workers(relief, placer, now, actions);
            self.place(settings, placer, now, actions);
        }
        self.sync_workers(settings, now, actions);
        self.publish(actions);
        self.read_inbox(settings, wants_out, now, actions);
    }

    /// Waits after a takeover until the workers were heard, so that decisions don't
    /// rest on the few that answered first.
    fn settle_in(&mut self, now: Time) {
        let mut live = self.workers.values().filter(|state| state.is_live());
        let heard_all = !self.workers.is_empty() && live.all(|state| state.heard.is_some());
        self.settled_in |= heard_all || now.since(self.since) >= SETTLE_IN;
    }

    fn note_attachment(&mut self, settings: &ShardSettings, now: Time, actions: &mut Vec<Action>) {
        let detached = self.is_detached(settings, now);
        if detached != self.was_detached {
            self.was_detached = detached;
            let decision = if detached { Decision::Detached } else { Decision::Attached };
            actions.push(Action::Log(decision));
        }
    }
}

fn queue_key<P: Placer>(row: &TaskRow, placer: &P) -> QueueKey {
    let rank = placer.policy().rule(&row.spec.class, row.spec.kind).rank;
    (Reverse((row.spec.priority, rank)), row.id.clone())
}
