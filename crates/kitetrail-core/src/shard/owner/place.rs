//! The placement of queued tasks on workers.

use std::{collections::BTreeMap, ops::Bound};

use super::{MAX_EXAMINED_PER_STEP, Owner, PREEMPTION_TIMEOUT, QueueKey};
use crate::{
    Attempt, Resources, SpecName, TaskId, TeamId, Time, WorkerId,
    placement::{AllowedRelief, Choice, PlacementCandidate, Placer},
    shard::{
        Action, Decision, Grant, ShardSettings,
        worker_state::{LastReply, WorkerState},
    },
    task::{Spec, SpecKind, TaskRow, TaskStage},
    worker::DesiredState,
};

impl Owner {
    /// Places queued tasks on workers, the most important ones first.
    ///
    /// The tasks of a spec are adjacent in the queue. When one of them fits on no worker, the
    /// rest are skipped, so that they don't delay the tasks behind them.
    pub(super) fn place<P: Placer>(
        &mut self,
        settings: &ShardSettings,
        placer: &P,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        self.avoided_workers.retain(|_, (_, until)| now < *until);
        let mut usage = self.team_usage(placer);
        let mut next = self.queue.first().cloned();
        let mut examined = 0;
        while let Some(key) = next.filter(|_| examined < MAX_EXAMINED_PER_STEP) {
            examined += 1;
            let placed = self.place_one(&key, &mut usage, settings, placer, now, actions);
            let after = if placed { key } else { last_of_spec(&key) };
            next = self.queue.range((Bound::Excluded(after), Bound::Unbounded)).next().cloned();
        }
    }

    /// Places one task on a worker. Returns whether a worker was found.
    fn place_one<P: Placer>(
        &mut self,
        key: &QueueKey,
        usage: &mut TeamUsage,
        settings: &ShardSettings,
        placer: &P,
        now: Time,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(row) = self.rows.get(&key.1) else { return false };
        if !usage.try_add(&row.spec, placer) {
            return false;
        }
        if let Some((worker, boot, reason)) = self.choose(row, settings, placer, now) {
            self.grant(key, worker, boot, reason, actions);
            return true;
        }
        usage.subtract(&row.spec);
        if row.spec.priority >= settings.urgent_priority {
            self.preempt_for(&key.1, settings, placer, now, actions);
        }
        false
    }

    /// Returns the resources that the jobs of each team hold in this shard. The result is empty
    /// if no team has a quota.
    fn team_usage<P: Placer>(&self, placer: &P) -> TeamUsage {
        let mut usage = TeamUsage::default();
        let quotas = &placer.policy().quotas;
        if quotas.is_empty() {
            return usage;
        }
        let placed = self.rows.values().filter(|row| row.worker().is_some());
        for row in placed.filter(|row| row.spec.kind == SpecKind::Job) {
            usage.add(&row.spec);
        }
        usage
    }

    /// Returns a worker for a task, with the boot number of its process and the reason for the
    /// choice.
    pub(super) fn choose<P: Placer>(
        &self,
        row: &TaskRow,
        settings: &ShardSettings,
        placer: &P,
        now: Time,
    ) -> Option<(WorkerId, u64, String)> {
        let avoided = self.avoided_workers.get(&row.id).map(|(worker, _)| worker);
        let eligible: Vec<(&WorkerId, &WorkerState, LastReply)> = self
            .workers
            .iter()
            .filter(|(_, state)| state.is_live() && !state.is_quarantined(now))
            .filter(|(_, state)| state.is_responsive(settings, now))
            .filter(|(_, state)| row.spec.size.fits_in(&state.ledger.free()))
            .filter(|(id, _)| !row.failed_on.contains(id) || self.workers.len() == 1)
            .filter(|(_, state)| {
                row.spec.kind != SpecKind::Service || !has_replica(state, &row.id.spec)
            })
            .filter(|(id, state)| {
                Some(*id) != avoided && state.ledger.get(&row.id, row.attempt).is_none()
            })
            .filter_map(|(id, state)| Some((id, state, state.last_reply?)))
            .collect();
        let racks = self.siblings_by_rack(&row.id.spec);
        let candidates: Vec<PlacementCandidate<'_>> = eligible
            .iter()
            .map(|(id, state, _)| PlacementCandidate {
                worker: id,
                capacity: state.capacity(),
                free: state.ledger.free(),
                classes: state.ledger.classes(),
                siblings_on_worker: state.ledger.count_of(&row.id.spec),
                siblings_in_rack: state
                    .info
                    .as_ref()
                    .and_then(|info| racks.get(&info.rack).copied())
                    .unwrap_or(0),
            })
            .collect();
        let Choice { index, reason } = placer.choose(row, &candidates)?;
        let (id, _, last_reply) = eligible.get(index)?;
        Some(((*id).clone(), last_reply.boot, reason))
    }

    pub(super) fn siblings_by_rack(&self, spec: &SpecName) -> BTreeMap<u16, u32> {
        let mut racks = BTreeMap::new();
        for state in self.workers.values() {
            if let Some(info) = &state.info {
                *racks.entry(info.rack).or_insert(0) += state.ledger.count_of(spec);
            }
        }
        racks
    }

    pub(super) fn grant(
        &mut self,
        key: &QueueKey,
        worker: WorkerId,
        boot: u64,
        reason: String,
        actions: &mut Vec<Action>,
    ) {
        let task = key.1.clone();
        let (Some(row), Some(state)) = (self.rows.get_mut(&task), self.workers.get_mut(&worker))
        else {
            return;
        };
        let attempt = row.attempt;
        if !state.ledger.try_grant(task.clone(), attempt, Grant::of(row, boot)) {
            return;
        }
        row.stage = TaskStage::Placed { worker: worker.clone(), boot };
        self.placed_count += 1;
        self.queue.remove(key);
        self.preempting_since.remove(&task);
        self.dirty.insert(task.clone());
        actions.push(Action::Log(Decision::Placed { task, attempt, worker, reason }));
    }

    /// Preempts tasks for an urgent task on the worker where that loses the least work.
    pub(super) fn preempt_for<P: Placer>(
        &mut self,
        task: &TaskId,
        settings: &ShardSettings,
        placer: &P,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let waited = self.preempting_since.get(task).map(|since| now.since(*since));
        if waited.is_some_and(|waited| waited < PREEMPTION_TIMEOUT) {
            return;
        }
        let Some(row) = self.rows.get(task) else { return };
        let best = self
            .workers
            .iter()
            .filter(|(_, state)| state.is_live() && state.is_responsive(settings, now))
            .filter_map(|(id, state)| Some((id, preemption_victims(row, state, placer)?)))
            .min_by_key(|(_, (cost, _))| *cost);
        let Some((worker, (_, victims))) = best else { return };
        let worker = worker.clone();
        self.preempting_since.insert(task.clone(), now);
        let Some(state) = self.workers.get_mut(&worker) else { return };
        state.next_sync = now;
        for (victim, attempt) in victims {
            if let Some(grant) = state.ledger.get_mut(&victim, attempt) {
                grant.want = DesiredState::Checkpoint;
            }
            actions.push(Action::Log(Decision::WantChanged {
                task: victim,
                worker: worker.clone(),
                want: DesiredState::Checkpoint,
                reason: format!("preempted for urgent task {task}"),
            }));
        }
    }
}

/// Returns the queue position behind all tasks of the same spec.
fn last_of_spec((importance, id): &QueueKey) -> QueueKey {
    (*importance, TaskId { spec: id.spec.clone(), index: u32::MAX })
}

/// The resources that the jobs of each team hold.
#[derive(Debug, Default)]
struct TeamUsage(BTreeMap<TeamId, Resources>);

impl TeamUsage {
    fn add(&mut self, spec: &Spec) {
        let usage = self.0.entry(spec.team.clone()).or_default();
        *usage = usage.saturating_add(&spec.size);
    }

    fn subtract(&mut self, spec: &Spec) {
        if let Some(usage) = self.0.get_mut(&spec.team) {
            *usage = usage.checked_sub(&spec.size).unwrap_or_default();
        }
    }

    /// Adds a task unless that would exceed its team's quota. Returns whether it fits.
    fn try_add<P: Placer>(&mut self, spec: &Spec, placer: &P) -> bool {
        let quota = match placer.policy().quotas.get(&spec.team) {
            Some(quota) if spec.kind == SpecKind::Job => quota,
            _ => return true,
        };
        let usage = self.0.get(&spec.team).copied().unwrap_or_default();
        if !usage.saturating_add(&spec.size).fits_in(quota) {
            return false;
        }
        self.add(spec);
        true
    }
}

/// Returns whether a worker already has a replica of a service. A worker's endpoint can't
/// serve two.
fn has_replica(state: &WorkerState, service: &SpecName) -> bool {
    state.ledger.count_of(service) > 0
}

/// Returns the cost of evicting tasks from a worker until the task of `row` fits, and the tasks
/// to evict. Returns `None` if eviction can't free enough resources or none is needed.
fn preemption_victims<P: Placer>(
    row: &TaskRow,
    state: &WorkerState,
    placer: &P,
) -> Option<(u64, Vec<(TaskId, Attempt)>)> {
    let rank = placer.policy().rule(&row.spec.class, row.spec.kind).rank;
    let mut evictable: Vec<_> = state
        .ledger
        .iter()
        .filter(|(_, grant)| matches!(grant.want, DesiredState::Run | DesiredState::Throttle))
        .filter(|(_, grant)| {
            let rule = placer.policy().rule(&grant.class, grant.kind);
            rule.sacrifice == AllowedRelief::Evict && (rule.rank < rank || row.spec.priority > 0)
        })
        .collect();
    evictable.sort_by_key(|(_, grant)| grant.unsaved_ms);
    let mut free = state.ledger.free();
    let mut cost = 0;
    let mut chosen = Vec::new();
    for ((task, attempt), grant) in evictable {
        if row.spec.size.fits_in(&free) {
            break;
        }
        free = free.saturating_add(&grant.size);
        cost += grant.unsaved_ms + 1;
        chosen.push((task.clone(), *attempt));
    }
    (row.spec.size.fits_in(&free) && !chosen.is_empty()).then_some((cost, chosen))
}
