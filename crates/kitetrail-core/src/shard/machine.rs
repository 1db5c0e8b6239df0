//! Who owns the shard: watching, taking over, loading, owning, giving back.

use std::time::Duration;

use super::{
    Action, Decision, Event, LeaseRow, ShardSettings, ShardView,
    owner::{Owner, Reign},
    pending::{Pending, PendingStage, Resolution},
};
use crate::{
    BoxId, Epoch, OpId, ShardId, Time, Version,
    placement::{Placer, PolicyTable, ReliefSettings},
    table::{CommitAnswer, Condition, Key, Record, Transaction, Write},
};

/// How much longer each place in the ranking waits before it takes a shard over.
const WAIT_PER_RANK_MS: u64 = 500;
/// By how much more slowly, at most, a box looks whose turn is far off.
const MAX_POLL_PACE: usize = 7;
/// How long a box must be out of first place before it gives a shard back. Doubles each
/// time the box in first place does not take it.
const HAND_BACK_AFTER: Duration = Duration::from_secs(10);
/// The most times that doubles.
const MAX_HAND_BACK_DOUBLINGS: u32 = 6;
/// After how many conflicts with its own row unchanged an owner steps down.
const MAX_ODD_CONFLICTS: u32 = 3;

/// One box's part in one shard: `(state, event, now) -> actions`.
#[derive(Debug)]
pub struct Shard<P> {
    id: ShardId,
    me: BoxId,
    incarnation: u64,
    settings: ShardSettings,
    relief: ReliefSettings,
    placer: P,
    op_sequence: u64,
    rank: Option<usize>,
    out_of_first_since: Option<Time>,
    /// How often in a row a shard given back came back.
    vain_hand_backs: u32,
    gave_back: bool,
    /// The reign before, and since when no older owner was confirmed.
    last_reign: Option<(Epoch, Time)>,
    unix_ms: u64,
    draining: bool,
    read_in_flight: bool,
    last_read: Option<Time>,
    seen: Option<Seen>,
    fleet: Vec<crate::fleet::WorkerInfo>,
    role: Role,
}

/// The shard's row as last read, and since when it has been unchanged.
#[derive(Debug, Clone)]
struct Seen {
    version: Version,
    lease: Option<LeaseRow>,
    since: Time,
}

#[derive(Debug)]
enum Role {
    Watching,
    Acquiring { commit: Pending, epoch: Epoch },
    Loading { epoch: Epoch, version: Version, since: Time, asked: bool },
    Owning { owner: Box<Owner>, commit: Option<Pending>, hand_back: bool },
}

impl<P: Placer> Shard<P> {
    /// A box's part in a shard. It starts out watching.
    ///
    /// `incarnation` must differ between runs of one box.
    pub fn new(
        id: ShardId,
        me: BoxId,
        incarnation: u64,
        settings: ShardSettings,
        relief: ReliefSettings,
        placer: P,
    ) -> Self {
        Self {
            id,
            me,
            incarnation,
            settings,
            relief,
            placer,
            op_sequence: 0,
            rank: None,
            out_of_first_since: None,
            vain_hand_backs: 0,
            gave_back: false,
            last_reign: None,
            unix_ms: 0,
            draining: false,
            read_in_flight: false,
            last_read: None,
            seen: None,
            fleet: Vec::new(),
            role: Role::Watching,
        }
    }

    /// Whether this box owns the shard, as far as it knows.
    pub fn is_owner(&self) -> bool {
        matches!(self.role, Role::Owning { .. } | Role::Loading { .. })
    }

    /// Whether a planned stop may go on: the shard is not held any more.
    pub fn is_released(&self) -> bool {
        matches!(self.role, Role::Watching)
    }

    /// A summary for status pages.
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

    /// The specs of the tasks it owns that aren't at rest, one for each task.
    pub fn specs(&self) -> impl Iterator<Item = &crate::task::Spec> {
        let owner = match &self.role {
            Role::Owning { owner, .. } => Some(owner),
            _ => None,
        };
        owner.into_iter().flat_map(|owner| owner.specs())
    }

    /// What has been learned and which policy is in force.
    pub fn placer(&self) -> &P {
        &self.placer
    }

    /// Puts a policy in force.
    pub fn set_policy(&mut self, policy: PolicyTable) {
        self.placer.set_policy(policy);
        if let Role::Owning { owner, .. } = &mut self.role {
            owner.sort_queue(&self.placer);
        }
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        // What workers say is taken in at once and acted on at the next tick, so that the
        // work of a tick does not grow with the number of workers that speak.
        let waits = matches!(event, Event::WorkerReplied(..) | Event::WorkerSilent(_));
        match event {
            Event::Tick => {}
            Event::UnixTime(unix_ms) => {
                self.unix_ms = unix_ms;
                if let Role::Owning { owner, .. } = &mut self.role {
                    owner.set_unix_time(unix_ms, &self.settings);
                }
            }
            Event::Ranked(rank) => self.set_rank(rank, now),
            Event::FleetSeen(workers) => self.set_fleet(workers, now),
            Event::LeaseRead(row) => self.on_lease_read(row, now, &mut actions),
            Event::LeaseReadFailed => self.read_in_flight = false,
            Event::CommitAnswered(answer) => self.on_commit_answered(answer, now, &mut actions),
            Event::Loaded(rows) => self.on_loaded(rows, now, &mut actions),
            Event::LoadFailed => self.on_load_failed(),
            Event::InboxRead(items) => {
                if let Role::Owning { owner, .. } = &mut self.role {
                    owner.on_inbox(items, &self.placer, &mut actions);
                }
            }
            Event::InboxReadFailed => {
                if let Role::Owning { owner, .. } = &mut self.role {
                    owner.on_inbox_failed();
                }
            }
            Event::WorkerReplied(worker, reply) => {
                self.on_worker_replied(worker, reply, now, &mut actions);
            }
            Event::WorkerSilent(worker) => {
                if let Role::Owning { owner, .. } = &mut self.role {
                    owner.on_silent(&worker);
                }
            }
            Event::Woken => {
                if let Role::Owning { owner, .. } = &mut self.role {
                    owner.wake();
                }
            }
            Event::Drain => self.draining = true,
        }
        if !waits {
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
        self.out_of_first_since = match rank {
            Some(0) => {
                self.vain_hand_backs = 0;
                None
            }
            _ => self.out_of_first_since.or(Some(now)),
        };
    }

    fn set_fleet(&mut self, workers: Vec<crate::fleet::WorkerInfo>, now: Time) {
        self.fleet = workers;
        if let Role::Owning { owner, .. } = &mut self.role {
            owner.set_fleet(&self.fleet, now);
        }
    }

    fn next_op(&mut self) -> OpId {
        self.op_sequence += 1;
        OpId::new(&self.me, self.incarnation, self.op_sequence)
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
        if lease.as_ref().is_some_and(|l| l.owner.as_ref().is_some_and(|o| *o != self.me)) {
            self.gave_back = false;
        }
        if !unchanged {
            self.seen = Some(Seen { version, lease: lease.clone(), since: now });
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

    fn on_commit_answered(&mut self, answer: CommitAnswer, now: Time, actions: &mut Vec<Action>) {
        let commit = match &mut self.role {
            Role::Acquiring { commit, .. } | Role::Owning { commit: Some(commit), .. } => commit,
            Role::Watching | Role::Loading { .. } | Role::Owning { commit: None, .. } => return,
        };
        match answer {
            CommitAnswer::Committed(version) => {
                self.on_resolved(Resolution::Applied(version), now, actions);
            }
            CommitAnswer::Conflict => {
                commit.odd_conflicts += 1;
                commit.stage = PendingStage::ReadBack;
            }
            CommitAnswer::Unknown => commit.stage = PendingStage::ReadBack,
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
                if commit.odd_conflicts >= MAX_ODD_CONFLICTS {
                    return self.step_down(actions);
                }
                commit.stage = PendingStage::Sent;
                commit.sent = now;
                actions.push(Action::Commit(commit.transaction.clone()));
            }
        }
    }

    fn on_applied(&mut self, version: Version, now: Time, actions: &mut Vec<Action>) {
        match &mut self.role {
            Role::Acquiring { epoch, .. } => {
                self.role = Role::Loading { epoch: *epoch, version, since: now, asked: false };
            }
            Role::Owning { owner, commit, hand_back } => {
                let Some(pending) = commit.take() else { return };
                if *hand_back {
                    actions.push(Action::Log(Decision::HandedBack(owner.epoch())));
                    self.become_watcher();
                    self.gave_back = true;
                    return;
                }
                owner.on_committed(version, pending.sent, now);
            }
            Role::Watching | Role::Loading { .. } => {}
        }
    }

    fn on_loaded(&mut self, rows: Vec<crate::task::TaskRow>, now: Time, actions: &mut Vec<Action>) {
        let Role::Loading { epoch, version, since, .. } = self.role else { return };
        // If no one else owned the shard since this box did, the wait for what an older
        // owner may have renewed goes on; it does not begin anew.
        let others_confirmed = match self.last_reign {
            Some((last, others_confirmed)) if last.next() == epoch => others_confirmed,
            _ => since,
        };
        self.last_reign = Some((epoch, others_confirmed));
        let older_lapse = others_confirmed + self.settings.certain_lapse_of_older_owner();
        let lapse_at = older_lapse.max(since + self.settings.certain_lapse());
        let unix_ms = self.unix_ms;
        let reign = Reign { epoch, version, since, lapse_at, unix_ms };
        let mut owner = Owner::new(self.id.clone(), reign, rows, &self.placer);
        owner.set_fleet(&self.fleet, now);
        actions.push(Action::Log(Decision::TookOver(epoch)));
        self.out_of_first_since = self.out_of_first_since.map(|_| now);
        if std::mem::take(&mut self.gave_back) {
            self.vain_hand_backs = (self.vain_hand_backs + 1).min(MAX_HAND_BACK_DOUBLINGS);
        }
        self.role = Role::Owning { owner: Box::new(owner), commit: None, hand_back: false };
    }

    fn on_load_failed(&mut self) {
        if let Role::Loading { asked, .. } = &mut self.role {
            *asked = false;
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
        self.become_watcher();
    }

    fn become_watcher(&mut self) {
        self.role = Role::Watching;
        self.seen = None;
    }

    /// Takes every step that is due.
    fn advance(&mut self, now: Time, actions: &mut Vec<Action>) {
        match &mut self.role {
            Role::Watching => self.try_take_over(now, actions),
            Role::Acquiring { .. } => {}
            Role::Loading { asked: true, .. } => {}
            Role::Loading { asked, .. } => {
                *asked = true;
                actions.push(Action::Load);
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
        let watches = matches!(self.role, Role::Watching) && !self.draining;
        // Who is further back in the ranking looks less often, or reads would grow with
        // boxes times shards.
        let pace = self.rank.unwrap_or(MAX_POLL_PACE).clamp(1, MAX_POLL_PACE) as u32;
        let interval = if must_resolve {
            self.settings.poll_interval
        } else {
            self.settings.poll_interval * pace
        };
        let due = self.last_read.is_none_or(|at| now.since(at) >= interval);
        if due && !self.read_in_flight && (must_resolve || watches) {
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
            Some(LeaseRow { owner: Some(owner), .. }) => *owner != self.me,
            Some(LeaseRow { owner: None, .. }) | None => false,
        };
        let extra = Duration::from_millis(WAIT_PER_RANK_MS * rank as u64);
        let wait = if held { self.settings.shard_lease + extra } else { extra };
        if now.since(seen.since) < wait {
            return;
        }
        let base = seen.version;
        let epoch = self.seen_epoch().next();
        let lease = LeaseRow { owner: Some(self.me.clone()), epoch };
        let transaction = self.lease_transaction(base, lease);
        actions.push(Action::Commit(transaction.clone()));
        self.role = Role::Acquiring { commit: Pending::new(transaction, base, now), epoch };
    }

    /// A transaction that rewrites the shard's row and nothing else.
    fn lease_transaction(&mut self, base: Version, lease: LeaseRow) -> Transaction {
        let key = Key::lease(&self.id);
        Transaction {
            op: self.next_op(),
            conditions: vec![Condition { key: key.clone(), version: base }],
            writes: vec![Write { key, record: Some(Record::Lease(lease)) }],
        }
    }

    fn advance_owner(&mut self, now: Time, actions: &mut Vec<Action>) {
        let patience = HAND_BACK_AFTER * 2u32.pow(self.vain_hand_backs);
        let outranked = self.out_of_first_since.is_some_and(|since| now.since(since) >= patience);
        let wants_out = self.draining || outranked;
        let Role::Owning { owner, commit, hand_back } = &mut self.role else { return };
        owner.advance(&self.settings, &self.relief, &mut self.placer, wants_out, now, actions);
        if commit.is_some() {
            return;
        }
        let base = owner.version();
        let epoch = owner.epoch();
        if !wants_out && !owner.is_commit_due(&self.settings, now) {
            return;
        }
        let content = owner.next_commit(&self.settings, now);
        *hand_back = wants_out && owner.is_all_sent();
        let lease_owner = if *hand_back { None } else { Some(self.me.clone()) };
        let mut transaction = self.lease_transaction(base, LeaseRow { owner: lease_owner, epoch });
        transaction.conditions.extend(content.conditions);
        transaction.writes.extend(content.writes);
        actions.push(Action::Commit(transaction.clone()));
        if let Role::Owning { commit, .. } = &mut self.role {
            *commit = Some(Pending::new(transaction, base, now));
        }
    }
}
