//! The state machine of a shard's ownership: watching, acquiring, loading, owning, releasing.

use std::time::Duration;

use super::{
    Action, Decision, Event, LeaseRow, ShardSettings, ShardView,
    owner::{Owner, Takeover},
    pending_commit::{PendingCommit, PendingStage, Resolution},
};
use crate::{
    BoxId, Epoch, OpId, ShardId, Time, Version,
    placement::{Placer, PolicyTable, ReliefSettings},
    table::{CommitOutcome, Condition, Record, RowKey, Transaction, Write},
};

/// The additional delay per rank before a box takes a shard over, in milliseconds.
const TAKEOVER_DELAY_PER_RANK_MS: u64 = 500;
/// The largest factor by which a box of low rank extends the interval between reads.
const MAX_POLL_INTERVAL_FACTOR: usize = 7;
/// The time that a box must not be ranked first before it releases a shard. Doubles each
/// time the box ranked first does not take the shard over.
const HAND_BACK_DELAY: Duration = Duration::from_secs(10);
/// The largest number of doublings of [`HAND_BACK_DELAY`].
const MAX_HAND_BACK_DOUBLINGS: u32 = 6;
/// The number of conflicts, while the shard's own row is unchanged, after which an owner
/// steps down.
const MAX_UNCHANGED_CONFLICTS: u32 = 3;

/// The state machine of one box for one shard: `(state, event, now) -> actions`.
#[derive(Debug)]
pub struct Shard<P> {
    id: ShardId,
    box_id: BoxId,
    incarnation: u64,
    settings: ShardSettings,
    relief: ReliefSettings,
    placer: P,
    op_sequence: u64,
    rank: Option<usize>,
    not_first_since: Option<Time>,
    /// The number of consecutive releases after which no other box took the shard over.
    rejected_hand_backs: u32,
    handed_back: bool,
    /// The latest epoch that this box owned, and the time since which no other owner has
    /// been confirmed.
    last_ownership: Option<(Epoch, Time)>,
    unix_ms: u64,
    draining: bool,
    read_in_flight: bool,
    last_read: Option<Time>,
    seen: Option<SeenRow>,
    fleet: Vec<crate::fleet::WorkerInfo>,
    role: Role,
}

/// The shard's row as last read, and the time since which it is unchanged.
#[derive(Debug, Clone)]
struct SeenRow {
    version: Version,
    lease: Option<LeaseRow>,
    unchanged_since: Time,
}

#[derive(Debug)]
enum Role {
    Watching,
    Acquiring { commit: PendingCommit, epoch: Epoch },
    Loading { epoch: Epoch, version: Version, since: Time, load_requested: bool },
    Owning { owner: Box<Owner>, commit: Option<PendingCommit>, hand_back: bool },
}

impl<P: Placer> Shard<P> {
    /// Creates the state machine, which watches the shard first.
    ///
    /// `incarnation` must differ between processes of one box.
    pub fn new(
        id: ShardId,
        box_id: BoxId,
        incarnation: u64,
        settings: ShardSettings,
        relief: ReliefSettings,
        placer: P,
    ) -> Self {
        Self {
            id,
            box_id,
            incarnation,
            settings,
            relief,
            placer,
            op_sequence: 0,
            rank: None,
            not_first_since: None,
            rejected_hand_backs: 0,
            handed_back: false,
            last_ownership: None,
            unix_ms: 0,
            draining: false,
            read_in_flight: false,
            last_read: None,
            seen: None,
            fleet: Vec::new(),
            role: Role::Watching,
        }
    }

    /// Returns whether this box owns the shard, as far as it knows.
    pub fn is_owner(&self) -> bool {
        matches!(self.role, Role::Owning { .. } | Role::Loading { .. })
    }

    /// Returns whether the shard is released, so that a planned stop may proceed.
    pub fn is_released(&self) -> bool {
        matches!(self.role, Role::Watching)
    }

    /// Returns a summary for status pages.
    pub fn view(&self, now: Time) -> ShardView {
        let epoch = match &self.role {
            Role::Watching => self.seen_epoch(),
            Role::Acquiring { epoch, .. } | Role::Loading { epoch, .. } => *epoch,
            Role::Owning { owner, .. } => owner.epoch(),
        };
        let (queued, placed, detached) = match &self.role {
            Role::Owning { owner, .. } => {
                (owner.queued(), owner.placed(), owner.is_detached(&self.settings, now))
            }
            _ => (0, 0, false),
        };
        ShardView {
            shard: self.id.clone(),
            owned: self.is_owner(),
            epoch,
            queued,
            placed,
            detached,
        }
    }

    /// Returns the specs of the owned tasks that have not ended, one for each task.
    pub fn specs(&self) -> impl Iterator<Item = &crate::task::Spec> {
        let owner = match &self.role {
            Role::Owning { owner, .. } => Some(owner),
            _ => None,
        };
        owner.into_iter().flat_map(|owner| owner.specs())
    }

    /// Returns the placer, with the model it has learned and the policy in force.
    pub fn placer(&self) -> &P {
        &self.placer
    }

    /// Replaces the policy.
    pub fn set_policy(&mut self, policy: PolicyTable) {
        self.placer.set_policy(policy);
        if let Role::Owning { owner, .. } = &mut self.role {
            owner.sort_queue(&self.placer);
        }
    }

    /// Handles an event and returns the actions to perform.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        // Replies of workers are recorded at once and acted on at the next tick, so that the
        // number of scheduling passes does not grow with the number of workers.
        let deferred = matches!(event, Event::WorkerReplied(..) | Event::WorkerDidNotReply(_));
        match event {
            Event::Tick => {}
            Event::UnixTime(unix_ms) => {
                self.unix_ms = unix_ms;
                if let Role::Owning { owner, .. } = &mut self.role {
                    owner.set_unix_time(unix_ms, &self.settings);
                }
            }
            Event::RankChanged(rank) => self.set_rank(rank, now),
            Event::FleetUpdated(workers) => self.set_fleet(workers, now),
            Event::LeaseRead(row) => self.on_lease_read(row, now, &mut actions),
            Event::LeaseReadFailed => self.read_in_flight = false,
            Event::CommitAnswered(answer) => self.on_commit_answered(answer, now, &mut actions),
            Event::TasksRead(rows) => self.on_tasks_read(rows, now, &mut actions),
            Event::TasksReadFailed => self.on_tasks_read_failed(),
            Event::InboxRead(items) => {
                if let Role::Owning { owner, .. } = &mut self.role {
                    owner.on_inbox(items, &self.placer, &mut actions);
                }
            }
            Event::InboxReadFailed => {
                if let Role::Owning { owner, .. } = &mut self.role {
                    owner.on_inbox_read_failed();
                }
            }
            Event::WorkerReplied(worker, reply) => {
                self.on_worker_replied(worker, reply, now, &mut actions);
            }
            Event::WorkerDidNotReply(worker) => {
                if let Role::Owning { owner, .. } = &mut self.role {
                    owner.on_no_reply(&worker);
                }
            }
            Event::InboxChanged => {
                if let Role::Owning { owner, .. } = &mut self.role {
                    owner.wake();
                }
            }
            Event::Stop => self.draining = true,
        }
        if !deferred {
            self.advance(now, &mut actions);
        }
        actions
    }

    fn seen_epoch(&self) -> Epoch {
        let lease = self.seen.as_ref().and_then(|seen| seen.lease.as_ref());
        lease.map(|lease| lease.epoch).unwrap_or_default()
    }

    fn set_rank(&mut self, rank: Option<usize>, now: Time) {
        self.rank = rank;
        self.not_first_since = match rank {
            Some(0) => {
                self.rejected_hand_backs = 0;
                None
            }
            _ => self.not_first_since.or(Some(now)),
        };
    }

    fn set_fleet(&mut self, workers: Vec<crate::fleet::WorkerInfo>, now: Time) {
        self.fleet = workers;
        if let Role::Owning { owner, .. } = &mut self.role {
            owner.set_fleet(&self.fleet, now);
        }
    }

    fn next_op_id(&mut self) -> OpId {
        self.op_sequence += 1;
        OpId::new(&self.box_id, self.incarnation, self.op_sequence)
    }

    fn on_lease_read(
        &mut self,
        row: Option<(Version, OpId, LeaseRow)>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        self.read_in_flight = false;
        let (version, op, lease) = match row {
            Some((version, op, lease)) => (version, Some(op), Some(lease)),
            None => (Version(0), None, None),
        };
        let unchanged = self.seen.as_ref().is_some_and(|seen| seen.version == version);
        if lease
            .as_ref()
            .is_some_and(|lease| lease.owner.as_ref().is_some_and(|owner| *owner != self.box_id))
        {
            self.handed_back = false;
        }
        if !unchanged {
            self.seen = Some(SeenRow { version, lease: lease.clone(), unchanged_since: now });
        }
        match &mut self.role {
            Role::Acquiring { commit, .. } if commit.stage == PendingStage::ReadBack => {
                let resolution = commit.resolve(version, op.as_ref());
                self.on_resolved(resolution, now, actions);
            }
            Role::Owning { commit: Some(commit), .. } if commit.stage == PendingStage::ReadBack => {
                let resolution = commit.resolve(version, op.as_ref());
                self.on_resolved(resolution, now, actions);
            }
            Role::Owning { owner, .. }
                if lease.is_some_and(|lease| lease.epoch > owner.epoch()) =>
            {
                self.step_down(actions);
            }
            _ => {}
        }
    }

    fn on_commit_answered(&mut self, answer: CommitOutcome, now: Time, actions: &mut Vec<Action>) {
        let commit = match &mut self.role {
            Role::Acquiring { commit, .. } | Role::Owning { commit: Some(commit), .. } => commit,
            Role::Watching | Role::Loading { .. } | Role::Owning { commit: None, .. } => return,
        };
        match answer {
            CommitOutcome::Committed(version) => {
                self.on_resolved(Resolution::Applied(version), now, actions);
            }
            CommitOutcome::Conflict => {
                commit.unchanged_conflicts += 1;
                commit.stage = PendingStage::ReadBack;
            }
            CommitOutcome::Unknown => commit.stage = PendingStage::ReadBack,
        }
    }

    fn on_resolved(&mut self, resolution: Resolution, now: Time, actions: &mut Vec<Action>) {
        match resolution {
            Resolution::Applied(version) => self.on_applied(version, now, actions),
            Resolution::Superseded => self.step_down(actions),
            Resolution::NotApplied => {
                let commit = match &mut self.role {
                    Role::Acquiring { commit, .. } | Role::Owning { commit: Some(commit), .. } => {
                        commit
                    }
                    _ => return,
                };
                if commit.unchanged_conflicts >= MAX_UNCHANGED_CONFLICTS {
                    return self.step_down(actions);
                }
                commit.stage = PendingStage::Sent;
                commit.sent_at = now;
                actions.push(Action::Commit(commit.transaction.clone()));
            }
        }
    }

    fn on_applied(&mut self, version: Version, now: Time, actions: &mut Vec<Action>) {
        match &mut self.role {
            Role::Acquiring { epoch, .. } => {
                self.role =
                    Role::Loading { epoch: *epoch, version, since: now, load_requested: false };
            }
            Role::Owning { owner, commit, hand_back } => {
                let Some(pending) = commit.take() else { return };
                if *hand_back {
                    actions.push(Action::Log(Decision::Released(owner.epoch())));
                    self.reset_to_watching();
                    self.handed_back = true;
                    return;
                }
                owner.on_committed(version, pending.sent_at, now);
            }
            Role::Watching | Role::Loading { .. } => {}
        }
    }

    fn on_tasks_read(
        &mut self,
        rows: Vec<crate::task::TaskRow>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let Role::Loading { epoch, version, since, .. } = self.role else { return };
        // If no other box has owned the shard since this box did, the wait for leases that an
        // older owner may have renewed continues; it does not start over.
        let older_owner_gone_since = match self.last_ownership {
            Some((last, older_owner_gone_since)) if last.next() == epoch => older_owner_gone_since,
            _ => since,
        };
        self.last_ownership = Some((epoch, older_owner_gone_since));
        let older_owner_leases_end =
            older_owner_gone_since + self.settings.older_owner_lease_bound();
        let leases_end_at = older_owner_leases_end.max(since + self.settings.task_lease_bound());
        let unix_ms = self.unix_ms;
        let takeover = Takeover { epoch, version, since, leases_end_at, unix_ms };
        let mut owner = Owner::new(self.id.clone(), takeover, rows, &self.placer);
        owner.set_fleet(&self.fleet, now);
        actions.push(Action::Log(Decision::TookOver(epoch)));
        self.not_first_since = self.not_first_since.map(|_| now);
        if std::mem::take(&mut self.handed_back) {
            self.rejected_hand_backs = (self.rejected_hand_backs + 1).min(MAX_HAND_BACK_DOUBLINGS);
        }
        self.role = Role::Owning { owner: Box::new(owner), commit: None, hand_back: false };
    }

    fn on_tasks_read_failed(&mut self) {
        if let Role::Loading { load_requested, .. } = &mut self.role {
            *load_requested = false;
        }
    }

    fn on_worker_replied(
        &mut self,
        worker: crate::WorkerId,
        reply: crate::worker::SyncReply,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let Role::Owning { owner, .. } = &mut self.role else { return };
        if reply.epoch > owner.epoch() {
            return self.step_down(actions);
        }
        owner.on_reply(&worker, reply, &self.settings, &mut self.placer, now, actions);
    }

    fn step_down(&mut self, actions: &mut Vec<Action>) {
        let epoch = match &self.role {
            Role::Owning { owner, .. } => Some(owner.epoch()),
            Role::Loading { epoch, .. } => Some(*epoch),
            Role::Acquiring { .. } | Role::Watching => None,
        };
        actions.extend(epoch.map(|epoch| Action::Log(Decision::SteppedDown(epoch))));
        self.reset_to_watching();
    }

    fn reset_to_watching(&mut self) {
        self.role = Role::Watching;
        self.seen = None;
    }

    /// Performs every step that is due.
    fn advance(&mut self, now: Time, actions: &mut Vec<Action>) {
        match &mut self.role {
            Role::Watching => self.try_take_over(now, actions),
            Role::Acquiring { .. } => {}
            Role::Loading { load_requested: true, .. } => {}
            Role::Loading { load_requested, .. } => {
                *load_requested = true;
                actions.push(Action::ReadTasks);
            }
            Role::Owning { .. } => self.advance_owner(now, actions),
        }
        self.read_if_due(now, actions);
    }

    fn read_if_due(&mut self, now: Time, actions: &mut Vec<Action>) {
        let must_resolve = match &self.role {
            Role::Acquiring { commit, .. } | Role::Owning { commit: Some(commit), .. } => {
                commit.stage == PendingStage::ReadBack
            }
            _ => false,
        };
        let watching = matches!(self.role, Role::Watching) && !self.draining;
        // Boxes of lower rank read the row less often. Otherwise the number of reads would grow
        // with the number of boxes times the number of shards.
        let interval_factor =
            self.rank.unwrap_or(MAX_POLL_INTERVAL_FACTOR).clamp(1, MAX_POLL_INTERVAL_FACTOR) as u32;
        let interval = if must_resolve {
            self.settings.poll_interval
        } else {
            self.settings.poll_interval * interval_factor
        };
        let due = self.last_read.is_none_or(|at| now.since(at) >= interval);
        if due && !self.read_in_flight && (must_resolve || watching) {
            self.read_in_flight = true;
            self.last_read = Some(now);
            actions.push(Action::ReadLease);
        }
    }

    fn try_take_over(&mut self, now: Time, actions: &mut Vec<Action>) {
        let (Some(rank), Some(seen), false) = (self.rank, &self.seen, self.draining) else {
            return;
        };
        let held = match &seen.lease {
            Some(LeaseRow { owner: Some(owner), .. }) => *owner != self.box_id,
            Some(LeaseRow { owner: None, .. }) | None => false,
        };
        let rank_delay = Duration::from_millis(TAKEOVER_DELAY_PER_RANK_MS * rank as u64);
        let wait = if held { self.settings.shard_lease + rank_delay } else { rank_delay };
        if now.since(seen.unchanged_since) < wait {
            return;
        }
        let base = seen.version;
        let epoch = self.seen_epoch().next();
        let lease = LeaseRow { owner: Some(self.box_id.clone()), epoch };
        let transaction = self.lease_transaction(base, lease);
        actions.push(Action::Commit(transaction.clone()));
        self.role = Role::Acquiring { commit: PendingCommit::new(transaction, base, now), epoch };
    }

    /// Returns a transaction that rewrites only the shard's lease row.
    fn lease_transaction(&mut self, base: Version, lease: LeaseRow) -> Transaction {
        let key = RowKey::lease(&self.id);
        Transaction {
            op: self.next_op_id(),
            conditions: vec![Condition { key: key.clone(), version: base }],
            writes: vec![Write { key, record: Some(Record::Lease(lease)) }],
        }
    }

    fn advance_owner(&mut self, now: Time, actions: &mut Vec<Action>) {
        let hand_back_delay = HAND_BACK_DELAY * 2u32.pow(self.rejected_hand_backs);
        let outranked =
            self.not_first_since.is_some_and(|since| now.since(since) >= hand_back_delay);
        let releasing = self.draining || outranked;
        let Role::Owning { owner, commit, hand_back } = &mut self.role else { return };
        owner.advance(&self.settings, &self.relief, &mut self.placer, releasing, now, actions);
        if commit.is_some() {
            return;
        }
        let base = owner.version();
        let epoch = owner.epoch();
        if !releasing && !owner.is_commit_due(&self.settings, now) {
            return;
        }
        let content = owner.next_commit(&self.settings, now);
        *hand_back = releasing && owner.has_sent_all_changes();
        let lease_owner = if *hand_back { None } else { Some(self.box_id.clone()) };
        let mut transaction = self.lease_transaction(base, LeaseRow { owner: lease_owner, epoch });
        transaction.conditions.extend(content.conditions);
        transaction.writes.extend(content.writes);
        actions.push(Action::Commit(transaction.clone()));
        if let Role::Owning { commit, .. } = &mut self.role {
            *commit = Some(PendingCommit::new(transaction, base, now));
        }
    }
}
