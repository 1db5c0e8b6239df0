//! Takes work off workers that are silent, about to go, or under pressure.

use super::{CrashSign, DRAIN, EndedRun, Owner, RunEnd};
use crate::placement::Step;
use crate::{
    Time,
    placement::{Band, Placer, ReliefSettings, Resident},
    shard::{Action, Decision, ShardSettings, event::RequeueReason, worker_state::WorkerState},
    task::Kind,
    worker::Want,
};

impl Owner {
    /// Gives up runs that have certainly stopped, and replaces services sooner.
    pub(super) fn give_up_silent_workers<P: Placer>(
        &mut self,
        settings: &ShardSettings,
        placer: &P,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let mut lapsed = Vec::new();
        let mut replaced = Vec::new();
        let attached = !self.is_detached(settings, now);
        for (id, state) in &self.workers {
            let silent = !state.is_responsive(settings, now)
                && now.since(self.silent_since(state)) >= settings.service_failover;
            let all_lapsed = now >= state.lapse_at;
            for ((task, attempt), grant) in state.ledger.iter().filter(|_| silent) {
                match grant.kind {
                    _ if all_lapsed => lapsed.push(EndedRun {
                        worker: id.clone(),
                        task: task.clone(),
                        attempt: *attempt,
                        checkpoint_ms: 0,
                        how: RunEnd::Stopped(RequeueReason::LeaseLapsed),
                        crash: CrashSign::of(grant),
                    }),
                    Kind::Service if attached && self.is_current(task, *attempt, id) => {
                        replaced.push(task.clone());
                    }
                    _ => {}
                }
            }
        }
        for ended in lapsed {
            self.end_run(&ended, settings, placer, now, actions);
        }
        for task in replaced {
            self.requeue(&task, RequeueReason::WorkerSilent, placer, actions);
        }
    }

    /// The moment from which a worker's silence counts.
    pub(super) fn silent_since(&self, state: &WorkerState) -> Time {
        state.heard.map_or(self.since, |heard| heard.at)
    }

    /// Moves work off workers that are about to go.
    pub(super) fn empty_leaving_workers<P: Placer>(
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
                    Kind::Service if current => {
                        grant.drain_until = Some(now + DRAIN);
                        replaced.push(task.clone());
                    }
                    Kind::Job | Kind::Watcher
                        if current && matches!(grant.want, Want::Run | Want::Throttle) =>
                    {
                        grant.want = Want::Checkpoint;
                        changed = true;
                    }
                    _ => {}
                }
            }
            if changed {
                state.due = now;
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
            let band = Band::of(state.ledger.used(), &state.capacity());
            for step in state.relief.step(placer, relief, &residents, band, now) {
                let Step { task, attempt, want } = step;
                let Some(grant) = state.ledger.get_mut(&task, attempt) else { continue };
                grant.want = want;
                state.due = now;
                let worker = id.clone();
                let reason = match want {
                    Want::Run => "worker is calm".to_owned(),
                    _ => format!("class {} is blamed for a slow service", grant.class),
                };
                actions.push(Action::Log(Decision::Relieved { task, worker, want, reason }));
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
