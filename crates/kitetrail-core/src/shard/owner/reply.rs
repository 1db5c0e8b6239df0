//! The handling of replies from workers.

use super::{
    AVOID_AFTER_EVICTION, CrashEvidence, EndedRun, MAX_CRASHED_WORKERS, MAX_RUNS, Owner, RunEnd,
    queue_key,
};
use crate::{
    TaskId, Time, WorkerId,
    placement::{LoadBand, Placer},
    shard::{Action, Decision, Grant, ShardSettings, event::RequeueReason},
    task::{SpecKind, TaskEnding, TaskStage},
    worker::{DesiredState, SyncReply, TaskPhase, TaskReport},
};

impl Owner {
    /// Records that a worker did not reply.
    pub(in crate::shard) fn on_no_reply(&mut self, worker: &WorkerId) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.in_flight = false;
        }
    }

    /// Handles a worker's reply.
    pub(in crate::shard) fn on_reply<P: Placer>(
        &mut self,
        id: &WorkerId,
        reply: SyncReply,
        settings: &ShardSettings,
        placer: &mut P,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.workers.get_mut(id) else { return };
        state.in_flight = false;
        let first_reply = state.last_reply.is_none();
        if !state.accept_reply(&reply, settings, now) {
            return;
        }
        state.ledger.record_answer(reply.boot);
        if first_reply {
            state.next_sync = now;
        }
        let band = LoadBand::of(state.ledger.used(), &state.capacity());
        for sample in &reply.usage {
            placer.observe(sample, band);
            state.relief.observe(&sample.class, sample.slowdown);
        }
        let Some(tasks) = &reply.tasks else { return };
        state.set_unsettled(tasks);
        let ends = self.reconcile(id, &reply, tasks);
        for ended in ends {
            self.end_run(&ended, settings, placer, now, actions);
        }
    }

    /// Records which runs the worker reports as running and returns those that have ended.
    pub(super) fn reconcile(
        &mut self,
        id: &WorkerId,
        reply: &SyncReply,
        tasks: &[TaskReport],
    ) -> Vec<EndedRun> {
        let mut ends = Vec::new();
        for report in tasks {
            ends.extend(self.reconcile_report(id, report, reply.boot));
        }
        let Some(state) = self.workers.get(id) else { return ends };
        for ((task, attempt), grant) in state.ledger.iter() {
            let reported =
                tasks.iter().any(|report| report.task == *task && report.attempt == *attempt);
            let reason = match grant.first_order_sequence {
                _ if grant.boot != reply.boot => RequeueReason::WorkerRestarted,
                Some(first_order_sequence)
                    if !reported && first_order_sequence <= reply.sequence =>
                {
                    RequeueReason::NotRunning
                }
                _ => continue,
            };
            ends.push(EndedRun {
                worker: id.clone(),
                task: task.clone(),
                attempt: *attempt,
                checkpoint_ms: 0,
                end: RunEnd::Stopped(reason),
                crash: match reason {
                    RequeueReason::WorkerRestarted => CrashEvidence::of(grant),
                    _ => CrashEvidence::Refuted,
                },
            });
        }
        ends
    }

    pub(super) fn reconcile_report(
        &mut self,
        id: &WorkerId,
        report: &TaskReport,
        boot: u64,
    ) -> Option<EndedRun> {
        let state = self.workers.get_mut(id)?;
        let grant = state.ledger.get_mut(&report.task, report.attempt);
        let end = match (report.phase, grant) {
            (TaskPhase::Running, Some(grant)) => {
                grant.running = true;
                grant.first_order_sequence.get_or_insert(0);
                grant.unsaved_ms = report.progress_ms.saturating_sub(report.checkpoint_ms);
                return None;
            }
            (TaskPhase::Running, None) => {
                let grant = Grant::for_unknown_run(report, boot);
                state.ledger.insert_unchecked(report.task.clone(), report.attempt, grant);
                return None;
            }
            (TaskPhase::Done, _) => RunEnd::Done,
            (TaskPhase::Failed, _) => RunEnd::Failed,
            (TaskPhase::Stopped, Some(grant)) if grant.want == DesiredState::Checkpoint => {
                RunEnd::Stopped(RequeueReason::Evicted)
            }
            (TaskPhase::Stopped, _) => RunEnd::Stopped(RequeueReason::NotRunning),
        };
        Some(EndedRun {
            worker: id.clone(),
            task: report.task.clone(),
            attempt: report.attempt,
            checkpoint_ms: report.checkpoint_ms,
            end,
            crash: CrashEvidence::Refuted,
        })
    }

    /// Releases a run that has certainly stopped, and ends or requeues its task.
    pub(super) fn end_run<P: Placer>(
        &mut self,
        ended: &EndedRun,
        settings: &ShardSettings,
        placer: &P,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let EndedRun { worker, task, attempt, checkpoint_ms, end, .. } = ended;
        let current = self.is_current(task, *attempt, worker);
        let released = match self.workers.get_mut(worker) {
            Some(state) => state.ledger.release(task, *attempt).is_some(),
            None => false,
        };
        if !current {
            return self.accept_late_end(ended, placer, actions);
        }
        debug_assert!(released, "a placed task must hold a grant");
        self.update_worker_health(ended, settings, now, actions);
        let Some(row) = self.rows.get_mut(task) else { return };
        row.checkpoint_ms = row.checkpoint_ms.max(*checkpoint_ms);
        // A crashed worker reports nothing, so a run that is lost with it can't count as failed.
        match ended.crash {
            CrashEvidence::Suspected => row.crashed_on.push(worker.clone()),
            CrashEvidence::Refuted => row.crashed_on.clear(),
            CrashEvidence::Unknown => {}
        }
        let crash_limit_reached = row.crashed_on.len() >= MAX_CRASHED_WORKERS;
        let kind = row.spec.kind;
        let failures_exhausted = row.failed_on.len() as u32 >= settings.max_failures
            || row.failed_on.len() as u32 >= 1 && row.attempt.0 >= MAX_RUNS;
        match *end {
            RunEnd::Done if !kind.is_restarted_when_done() => {
                self.finish(task, TaskEnding::Done, actions)
            }
            _ if row.cancelled => self.finish(task, TaskEnding::Cancelled, actions),
            RunEnd::Failed if kind == SpecKind::Job && failures_exhausted => {
                self.finish(task, TaskEnding::Failed, actions);
            }
            RunEnd::Stopped(_) if kind == SpecKind::Job && crash_limit_reached => {
                self.finish(task, TaskEnding::Failed, actions);
            }
            RunEnd::Done => self.requeue(task, RequeueReason::Restarted, placer, actions),
            RunEnd::Failed => self.requeue(task, RequeueReason::Failed, placer, actions),
            RunEnd::Stopped(reason) => {
                if reason == RequeueReason::Evicted {
                    let until = now + AVOID_AFTER_EVICTION;
                    self.avoided_workers.insert(task.clone(), (worker.clone(), until));
                }
                self.requeue(task, reason, placer, actions);
            }
        }
    }

    /// Accepts the success of a run that was already requeued, unless its task has been placed
    /// again.
    pub(super) fn accept_late_end<P: Placer>(
        &mut self,
        ended: &EndedRun,
        placer: &P,
        actions: &mut Vec<Action>,
    ) {
        let EndedRun { task, attempt, end, .. } = ended;
        let Some(row) = self.rows.get(task) else { return };
        let still_queued = row.stage == TaskStage::Queued && row.attempt == attempt.next();
        if *end == RunEnd::Done && row.spec.kind == SpecKind::Job && still_queued {
            self.queue.remove(&queue_key(row, placer));
            self.finish(task, TaskEnding::Done, actions);
        }
    }

    /// Attributes a failed run to its task or to its worker, and quarantines faulty workers.
    pub(super) fn update_worker_health(
        &mut self,
        ended: &EndedRun,
        settings: &ShardSettings,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let EndedRun { worker, task, end, .. } = ended;
        let quarantined = self.workers.values().filter(|state| state.is_quarantined(now)).count();
        let allowed = self.workers.len() * settings.quarantine_share_percent as usize / 100;
        let Some(state) = self.workers.get_mut(worker) else { return };
        match end {
            RunEnd::Done => return state.record_success(),
            RunEnd::Stopped(_) => return,
            RunEnd::Failed => {}
        }
        let quarantine = state.record_failure(&task.spec, settings, now);
        if let Some(row) = self.rows.get_mut(task)
            && !row.failed_on.contains(worker)
        {
            row.failed_on.push(worker.clone());
        }
        let Some(quarantine) = quarantine else { return };
        if quarantined >= allowed {
            return state.end_quarantine();
        }
        let duration_ms = quarantine.as_millis() as u64;
        let worker = worker.clone();
        for row in self.rows.values_mut().filter(|row| !row.is_ended()) {
            row.failed_on.retain(|other| *other != worker);
        }
        actions.push(Action::Log(Decision::Quarantined { worker, duration_ms }));
    }

    pub(super) fn finish(&mut self, task: &TaskId, ending: TaskEnding, actions: &mut Vec<Action>) {
        let Some(row) = self.rows.get_mut(task) else { return };
        if row.worker().is_some() {
            self.placed_count -= 1;
        }
        row.stage = TaskStage::Ended(ending.clone());
        row.ended_unix_ms = self.unix_ms;
        self.ended_tasks.insert((self.unix_ms, task.clone()));
        self.avoided_workers.remove(task);
        self.preempting_since.remove(task);
        self.dirty.insert(task.clone());
        actions.push(Action::Log(Decision::Ended { task: task.clone(), ending }));
    }

    /// Returns a placed task to the queue as its next run.
    pub(super) fn requeue<P: Placer>(
        &mut self,
        task: &TaskId,
        reason: RequeueReason,
        placer: &P,
        actions: &mut Vec<Action>,
    ) {
        let Some(row) = self.rows.get_mut(task) else { return };
        row.attempt = row.attempt.next();
        row.stage = TaskStage::Queued;
        self.placed_count -= 1;
        self.queue.insert(queue_key(row, placer));
        self.dirty.insert(task.clone());
        let attempt = row.attempt;
        actions.push(Action::Log(Decision::Requeued { task: task.clone(), attempt, reason }));
    }
}
