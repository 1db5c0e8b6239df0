//! The removal of work from workers that don't reply, are leaving, or run services too slowly.

use super::{CrashEvidence, DRAIN_TIMEOUT, EndedRun, Owner, RunEnd};
use crate::placement::ReliefStep;
use crate::{
    Time,
    placement::{LoadBand, Placer, ReliefSettings, Resident},
    shard::{Action, Decision, ShardSettings, event::RequeueReason, worker_state::WorkerState},
    task::SpecKind,
    worker::DesiredState,
};

impl Owner {
    /// Ends the runs of silent workers once they have certainly stopped. Replaces the services of
    /// such workers earlier, after `service_failover`.
    pub(super) fn handle_silent_workers<P: Placer>(
        &mut self,
        settings: &ShardSettings,
        placer: &P,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let mut expired = Vec::new();
        let mut replaced = Vec::new();
        let attached = !self.is_detached(settings, now);
        for (id, state) in &self.workers {
            let silent = !state.is_responsive(settings, now)
                && now.since(self.last_contact(state)) >= settings.service_failover;
            let all_expired = now >= state.leases_end_at;
            for ((task, attempt), grant) in state.ledger.iter().filter(|_| silent) {
                match grant.kind {
                    _ if all_expired => expired.push(EndedRun {
                        worker: id.clone(),
                        task: task.clone(),
                        attempt: *attempt,
                        checkpoint_ms: 0,
                        end: RunEnd::Stopped(RequeueReason::LeaseExpired),
                        crash: CrashEvidence::of(grant),
                    }),
                    SpecKind::Service if attached && self.is_current(task, *attempt, id) => {
                        replaced.push(task.clone());
                    }
                    _ => {}
                }
            }
        }
        for ended in expired {
            self.end_run(&ended, settings, placer, now, actions);
        }
        for task in replaced {
            self.requeue(&task, RequeueReason::WorkerUnresponsive, placer, actions);
        }
    }

    /// Returns the time of the worker's latest reply, or of the takeover if it has not replied.
    pub(super) fn last_contact(&self, state: &WorkerState) -> Time {
        state.last_reply.map_or(self.owned_since, |last_reply| last_reply.received_at)
    }

    /// Moves work off workers that are leaving.
    pub(super) fn drain_leaving_workers<P: Placer>(
        &mut self,
        placer: &P,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let mut replaced = Vec::new();
        for (id, state) in self.workers.iter_mut().filter(|(_, state)| state.is_leaving()) {
            let mut changed = false;
            for ((task, attempt), grant) in state.ledger.iter_mut() {
                let row = self.rows.get(task);
                let current = row.is_some_and(|r| r.attempt == *attempt && r.worker() == Some(id));
                match grant.kind {
                    SpecKind::Service if current => {
                        grant.drain_until = Some(now + DRAIN_TIMEOUT);
                        replaced.push(task.clone());
                    }
                    SpecKind::Job | SpecKind::Watcher
                        if current
                            && matches!(grant.want, DesiredState::Run | DesiredState::Throttle) =>
                    {
                        grant.want = DesiredState::Checkpoint;
                        changed = true;
                    }
                    _ => {}
                }
            }
            if changed {
                state.next_sync = now;
            }
        }
        for task in replaced {
            self.requeue(&task, RequeueReason::Evicted, placer, actions);
        }
    }

    pub(super) fn relieve_workers<P: Placer>(
        &mut self,
        relief: &ReliefSettings,
        placer: &P,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        for (id, state) in &mut self.workers {
            let residents = residents_of(&state.ledger);
            let band = LoadBand::of(state.ledger.used(), &state.capacity());
            for step in state.relief.step(placer, relief, &residents, band, now) {
                let ReliefStep { task, attempt, want } = step;
                let Some(grant) = state.ledger.get_mut(&task, attempt) else { continue };
                grant.want = want;
                state.next_sync = now;
                let worker = id.clone();
                let reason = match want {
                    DesiredState::Run => "services on the worker are no longer slow".to_owned(),
                    _ => format!("class {} slows another class on the worker", grant.class),
                };
                actions.push(Action::Log(Decision::WantChanged { task, worker, want, reason }));
            }
        }
    }
}

fn residents_of(ledger: &crate::shard::Ledger) -> Vec<Resident> {
    let running = ledger.iter().filter(|(_, grant)| grant.running);
    running
        .map(|((task, attempt), grant)| Resident {
            task: task.clone(),
            attempt: *attempt,
            kind: grant.kind,
            class: grant.class.clone(),
            want: grant.want,
            unsaved_ms: grant.unsaved_ms,
        })
        .collect()
}
