//! The sync requests to workers and the publication of service endpoints.

use super::Owner;
use crate::{
    Time, WorkerId,
    fleet::Liveness,
    shard::{Action, EndpointSet, PlacedEndpoint, ShardSettings},
    task::SpecKind,
    worker::{DesiredState, SyncRequest, TaskOrder, WorkerOrders},
};

impl Owner {
    pub(super) fn sync_workers(
        &mut self,
        settings: &ShardSettings,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let ids: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, state)| !state.in_flight && state.next_sync <= now && state.info.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let request = self.sync_request(&id, settings, now);
            let Some(state) = self.workers.get_mut(&id) else { continue };
            state.in_flight = true;
            state.next_sync = now + settings.sync_interval;
            let Some(info) = state.info.clone() else { continue };
            actions.push(Action::Sync(info, request));
        }
    }

    /// Builds the request that holds all orders for a worker.
    pub(super) fn sync_request(
        &mut self,
        id: &WorkerId,
        settings: &ShardSettings,
        now: Time,
    ) -> SyncRequest {
        let renew_exclusive = self.may_renew_exclusive(settings, now);
        let mut request = SyncRequest {
            shard: self.shard.clone(),
            epoch: self.epoch,
            boot: 0,
            sequence: 0,
            seen: 0,
            wants: WorkerOrders::Listen,
            settled: Vec::new(),
        };
        let (rows, dirty, committing) = (&self.rows, &self.dirty, &self.committing);
        let Some(state) = self.workers.get_mut(id) else { return request };
        request.sequence = state.next_sequence();
        let Some(last_reply) = state.last_reply else { return request };
        request.boot = last_reply.boot;
        request.seen = state.last_seen_sequence();
        let lease_until_ms = last_reply.clock_ms + settings.task_lease.as_millis() as u64;
        let mut orders = Vec::new();
        let mut all_renewed = true;
        for ((task, attempt), grant) in state.ledger.iter_mut() {
            let row = rows.get(task).filter(|row| {
                row.attempt == *attempt && row.worker() == Some(id) && grant.boot == last_reply.boot
            });
            let durable = !dirty.contains(task) && !committing.contains(task);
            let draining = grant.drain_until.is_some_and(|until| now < until);
            let wanted = match row {
                Some(_) => durable || grant.running,
                None => draining,
            };
            if !wanted {
                continue;
            }
            grant.first_order_sequence.get_or_insert(request.sequence);
            let renew = !grant.kind.is_exclusive() || renew_exclusive;
            if renew {
                grant.lease_until_ms = lease_until_ms;
            }
            all_renewed &= renew;
            orders.push(TaskOrder {
                task: task.clone(),
                attempt: *attempt,
                want: if renew { grant.want } else { DesiredState::Checkpoint },
                kind: grant.kind,
                class: grant.class.clone(),
                size: grant.size,
                resume_ms: row.map_or(0, |row| row.checkpoint_ms),
                work_ms: row.map_or(0, |row| row.spec.expected_run_ms),
                lease_until_ms: grant.lease_until_ms,
            });
        }
        let settled = state.unsettled.iter().filter(|(task, attempt)| {
            let open = state.ledger.get(task, *attempt).is_some();
            !open && !dirty.contains(task) && !committing.contains(task)
        });
        request.settled = settled.cloned().collect();
        request.wants = state.encode_orders(orders, all_renewed.then_some(lease_until_ms));
        request
    }

    /// Publishes the endpoints of the shard's services to all boxes, once per epoch and after
    /// each change.
    ///
    /// A new owner waits for its workers to reply. Otherwise it would replace the set published
    /// by an older owner with an empty one.
    pub(super) fn publish(&mut self, actions: &mut Vec<Action>) {
        if !self.warmed_up {
            return;
        }
        let endpoints = self.endpoints();
        if endpoints == self.published && self.publish_sequence > 0 {
            return;
        }
        self.published = endpoints.clone();
        self.publish_sequence += 1;
        actions.push(Action::Publish(EndpointSet {
            shard: self.shard.clone(),
            epoch: self.epoch,
            sequence: self.publish_sequence,
            endpoints,
        }));
    }

    pub(super) fn endpoints(&self) -> Vec<PlacedEndpoint> {
        let mut endpoints = Vec::new();
        for (id, state) in &self.workers {
            let Some(info) = &state.info else { continue };
            let serving = state.ledger.iter().filter(|(_, grant)| {
                grant.kind == SpecKind::Service && grant.running && grant.want != DesiredState::Stop
            });
            for ((task, attempt), grant) in serving {
                let current = self.is_current(task, *attempt, id);
                if !current && grant.drain_until.is_none() {
                    continue;
                }
                endpoints.push(PlacedEndpoint {
                    service: task.spec.clone(),
                    worker: id.clone(),
                    zone: info.zone.clone(),
                    address: info.endpoint,
                    leaving: !current || info.state == Liveness::Leaving,
                });
            }
        }
        endpoints
    }
}
