//! The request router of one box.

mod endpoints;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::{
    Balancer, EndpointId, EndpointState, Exchange, IncomingRequest, Outcome, Rejection,
    RejectionReason, RequestId, RouterSettings, RoutingDecision, queue::QueuedRequest,
    service::Service,
};
use crate::{
    Epoch, ShardId, SpecName, Time, WorkerId,
    shard::{EndpointSet, PlacedEndpoint},
};

/// The time after which a caller should retry a request to a service without endpoints.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(1);

/// The state machine that routes the requests of one box: `(state, event, now) -> decision`.
#[derive(Debug)]
pub struct Router<B> {
    settings: RouterSettings,
    balancer: B,
    rng: ChaCha8Rng,
    boxes: u32,
    box_index: u32,
    sets: BTreeMap<ShardId, KnownSet>,
    leaving: BTreeSet<WorkerId>,
    services: HashMap<SpecName, Service>,
    endpoints: Vec<EndpointState>,
    by_address: HashMap<(SpecName, SocketAddr), EndpointId>,
    requests: HashMap<RequestId, Request>,
}

#[derive(Debug)]
struct KnownSet {
    epoch: Epoch,
    sequence: u64,
    endpoints: Vec<PlacedEndpoint>,
}

#[derive(Debug)]
struct Request {
    incoming: IncomingRequest,
    sends: u32,
    sent_at: Time,
    tried: Vec<EndpointId>,
    /// Whether the request may have reached an endpoint that did not refuse it.
    may_have_run: bool,
}

/// A summary of a service for status pages.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceView {
    /// The service.
    pub service: SpecName,
    /// The number of endpoints that this box knows.
    pub endpoints: usize,
    /// The number of ejected endpoints.
    pub ejected: usize,
    /// The number of requests queued on this box.
    pub queued: usize,
    /// The number of this box's requests in flight.
    pub outstanding: usize,
}

impl<B: Balancer> Router<B> {
    /// Creates a router without endpoints.
    pub fn new(settings: RouterSettings, balancer: B, seed: u64) -> Self {
        Self {
            settings,
            balancer,
            rng: ChaCha8Rng::seed_from_u64(seed),
            boxes: 1,
            box_index: 0,
            sets: BTreeMap::new(),
            leaving: BTreeSet::new(),
            services: HashMap::new(),
            endpoints: Vec::new(),
            by_address: HashMap::new(),
            requests: HashMap::new(),
        }
    }

    /// Returns the state of an endpoint.
    pub fn endpoint(&self, id: EndpointId) -> &EndpointState {
        &self.endpoints[id.0]
    }

    /// Returns the number of connections that this box may open to one endpoint.
    pub fn max_idle_connections(&self) -> u32 {
        (self.settings.connections_per_endpoint / self.boxes.max(1)).max(1)
    }

    /// Returns the number of requests that are queued or in flight.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns a summary of each service, ordered by name.
    pub fn service_views(&self, now: Time) -> Vec<ServiceView> {
        let mut views: Vec<ServiceView> = self
            .services
            .iter()
            .map(|(name, service)| ServiceView {
                service: name.clone(),
                endpoints: service.endpoint_count(),
                ejected: self.ejected_count(service, now),
                queued: service.queue.len(),
                outstanding: service.outstanding,
            })
            .collect();
        views.sort_by(|a, b| a.service.cmp(&b.service));
        views
    }

    /// Returns the newest known endpoint set of each shard.
    pub fn endpoint_sets(&self) -> Vec<EndpointSet> {
        let sets = self.sets.iter().map(|(shard, known)| EndpointSet {
            shard: shard.clone(),
            epoch: known.epoch,
            sequence: known.sequence,
            endpoints: known.endpoints.clone(),
        });
        sets.collect()
    }

    /// Handles a new request.
    pub fn route(&mut self, incoming: IncomingRequest, now: Time) -> RoutingDecision {
        let Some(service) = self.services.get(&incoming.service) else {
            return no_endpoint();
        };
        if service.endpoint_count() == 0 {
            return no_endpoint();
        }
        if incoming.deadline <= now {
            return RoutingDecision::Reject(Rejection {
                outcome: Outcome::NotRun,
                reason: RejectionReason::Deadline,
                retry_after: service.retry_after(),
            });
        }
        let number = incoming.number;
        let request =
            Request { incoming, sends: 0, sent_at: now, tried: Vec::new(), may_have_run: false };
        self.requests.insert(number, request);
        self.admit(number, now)
    }

    /// Handles the end of an exchange, which frees its slot.
    pub fn on_exchange_end(
        &mut self,
        number: RequestId,
        endpoint: EndpointId,
        exchange: Exchange,
        now: Time,
    ) -> RoutingDecision {
        let Some(request) = self.requests.get_mut(&number) else { return RoutingDecision::Forward };
        let latency = now.since(request.sent_at);
        request.may_have_run |= exchange == Exchange::Lost;
        let service_name = request.incoming.service.clone();
        self.record_exchange(&service_name, endpoint, exchange, latency, now);
        match exchange {
            Exchange::Answered | Exchange::Failed => {
                self.requests.remove(&number);
                RoutingDecision::Forward
            }
            Exchange::Refused | Exchange::NotSent => {
                self.resend(number, RejectionReason::Refused, now)
            }
            Exchange::Lost | Exchange::CallerDisconnected => {
                self.resend(number, RejectionReason::Lost, now)
            }
        }
    }

    /// Rejects a request whose deadline passed during its exchange with `endpoint`.
    pub fn reject_in_flight(
        &mut self,
        number: RequestId,
        endpoint: EndpointId,
        now: Time,
    ) -> Rejection {
        let retry_after = self.drop_request(number, Some(endpoint), Exchange::Lost, now);
        Rejection { outcome: Outcome::Unknown, reason: RejectionReason::Deadline, retry_after }
    }

    /// Drops a request whose caller disconnected.
    pub fn drop_disconnected(
        &mut self,
        number: RequestId,
        endpoint: Option<EndpointId>,
        now: Time,
    ) {
        self.drop_request(number, endpoint, Exchange::CallerDisconnected, now);
    }

    /// Removes a request. Returns the time after which a similar request should be retried.
    fn drop_request(
        &mut self,
        number: RequestId,
        endpoint: Option<EndpointId>,
        exchange: Exchange,
        now: Time,
    ) -> Duration {
        let Some(request) = self.requests.remove(&number) else { return NO_ENDPOINT_RETRY };
        let name = &request.incoming.service;
        if let Some(endpoint) = endpoint {
            let latency = now.since(request.sent_at);
            self.record_exchange(name, endpoint, exchange, latency, now);
        }
        let Some(service) = self.services.get_mut(name) else { return NO_ENDPOINT_RETRY };
        service.queue.remove(number);
        service.retry_after()
    }

    /// Removes the requests from the queues that can be sent now, and returns them.
    pub fn take_ready(&mut self, now: Time) -> Vec<(RequestId, EndpointId)> {
        let mut ready = Vec::new();
        let waiting: Vec<SpecName> = self
            .services
            .iter()
            .filter(|(_, service)| !service.queue.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for name in waiting {
            while let Some(endpoint) = self.pick(&name, &[], now) {
                let Some(service) = self.services.get_mut(&name) else { break };
                let Some(waiting) = service.queue.pop() else { break };
                self.record_send(waiting.number, endpoint, now);
                ready.push((waiting.number, endpoint));
            }
        }
        ready
    }

    /// Removes the requests whose wait is over, and returns them with their final answers.
    pub fn reject_expired(&mut self, now: Time) -> Vec<(RequestId, Rejection)> {
        let mut rejection = Vec::new();
        for service in self.services.values_mut() {
            service.update_rate(now);
            for waiting in service.queue.expire(now) {
                service.record_rejection(now);
                rejection.push((waiting.number, service.retry_after()));
            }
        }
        rejection
            .into_iter()
            .filter_map(|(number, retry_after)| {
                let request = self.requests.remove(&number)?;
                let reason = match request.incoming.deadline <= now {
                    true => RejectionReason::Deadline,
                    false => RejectionReason::Overload,
                };
                Some((number, request.reject(reason, retry_after)))
            })
            .collect()
    }

    /// Removes the least important request from a service's queue if its rank is below `rank`.
    fn displace(&mut self, service: &SpecName, rank: u8, now: Time) -> Option<RequestId> {
        let service = self.services.get_mut(service)?;
        let displaced = service.queue.pop_below(rank)?;
        service.record_rejection(now);
        Some(displaced.number)
    }

    /// Sends a request at once, queues it, or rejects it.
    fn admit(&mut self, number: RequestId, now: Time) -> RoutingDecision {
        let Some(request) = self.requests.get(&number) else { return RoutingDecision::Forward };
        let incoming = request.incoming.clone();
        let tried = request.tried.clone();
        let must_queue = self.settings.limits
            && self.services.get(&incoming.service).is_some_and(|service| {
                !service.queue.is_empty() && service.queue.ahead_of(incoming.rank) > 0
            });
        if !must_queue && let Some(endpoint) = self.pick(&incoming.service, &tried, now) {
            self.record_send(number, endpoint, now);
            return RoutingDecision::Send(endpoint);
        }
        self.enqueue(&incoming, now)
    }

    fn enqueue(&mut self, incoming: &IncomingRequest, now: Time) -> RoutingDecision {
        let settings = &self.settings;
        let Some(service) = self.services.get_mut(&incoming.service) else {
            return self.reject(incoming.number, RejectionReason::NoEndpoint, now);
        };
        let allowed = service.allowed_wait(settings.max_queue_wait);
        let wait = service.expected_wait(service.queue.ahead_of(incoming.rank));
        let left = incoming.deadline.since(now);
        if wait > left.min(allowed) {
            return self.reject(incoming.number, RejectionReason::Overload, now);
        }
        let wait_deadline = (now + allowed).min(incoming.deadline);
        let full = service.queue.len() >= settings.max_queued;
        service.queue.push(incoming.rank, QueuedRequest { number: incoming.number, wait_deadline });
        if !full {
            return RoutingDecision::Wait;
        }
        match self.displace(&incoming.service, u8::MAX, now) {
            Some(number) if number == incoming.number => {
                self.reject(number, RejectionReason::Overload, now)
            }
            Some(number) => {
                self.expire_now(number, incoming, now);
                RoutingDecision::Wait
            }
            None => RoutingDecision::Wait,
        }
    }

    /// Queues a displaced request again with an expired wait, so that the next
    /// [`Router::expire`] answers it.
    fn expire_now(&mut self, number: RequestId, incoming: &IncomingRequest, now: Time) {
        if let Some(service) = self.services.get_mut(&incoming.service) {
            service.queue.push(0, QueuedRequest { number, wait_deadline: now });
        }
    }

    /// Resends a request if that is safe and within the retry budget, or rejects it.
    fn resend(&mut self, number: RequestId, reason: RejectionReason, now: Time) -> RoutingDecision {
        let Some(request) = self.requests.get(&number) else { return RoutingDecision::Forward };
        let incoming = &request.incoming;
        let safe = incoming.repeatable || !request.may_have_run;
        let before_deadline = now < incoming.deadline;
        let sends_left = request.sends < self.settings.max_sends;
        let service = self.services.get_mut(&incoming.service);
        let try_withdraw_retry = || service.is_some_and(|service| service.budget.try_withdraw());
        match safe && sends_left {
            true if !before_deadline => self.reject(number, RejectionReason::Deadline, now),
            true if try_withdraw_retry() => self.admit(number, now),
            _ => self.reject(number, reason, now),
        }
    }

    fn reject(&mut self, number: RequestId, reason: RejectionReason, now: Time) -> RoutingDecision {
        let Some(request) = self.requests.remove(&number) else { return no_endpoint() };
        let retry_after = match self.services.get_mut(&request.incoming.service) {
            Some(service) => {
                service.record_rejection(now);
                service.retry_after()
            }
            None => NO_ENDPOINT_RETRY,
        };
        RoutingDecision::Reject(request.reject(reason, retry_after))
    }

    /// Chooses an endpoint with capacity. Endpoints in this box's availability zone are
    /// preferred unless an endpoint in another zone has a lower cost including the penalty.
    fn pick(&mut self, service: &SpecName, tried: &[EndpointId], now: Time) -> Option<EndpointId> {
        let Self { balancer, endpoints, rng, services, settings, .. } = self;
        let service = services.get(service)?;
        let mut pick = |among: &[EndpointId]| {
            let first = balancer.pick(among, endpoints, rng, now)?;
            match tried.contains(&first) {
                true => balancer.pick(among, endpoints, rng, now),
                false => Some(first),
            }
        };
        if !settings.limits {
            let all: Vec<EndpointId> =
                service.local.iter().chain(&service.remote).copied().collect();
            return pick(&all);
        }
        let Some(local) = pick(&service.local) else { return pick(&service.remote) };
        let penalty_us = settings.cross_zone_cost.as_micros() as f64;
        if endpoints[local.0].cost(now) <= penalty_us * 2.0 {
            return Some(local);
        }
        let mut pick = |among: &[EndpointId]| balancer.pick(among, endpoints, rng, now);
        match pick(&service.remote) {
            Some(remote)
                if endpoints[remote.0].cost(now) + penalty_us < endpoints[local.0].cost(now) =>
            {
                Some(remote)
            }
            _ => Some(local),
        }
    }

    fn record_send(&mut self, number: RequestId, endpoint: EndpointId, now: Time) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.sends += 1;
        request.sent_at = now;
        request.tried.push(endpoint);
        self.endpoints[endpoint.0].record_sent();
        if let Some(service) = self.services.get_mut(&request.incoming.service) {
            service.outstanding += 1;
            if request.sends == 1 {
                service.budget.record_first_send();
            }
        }
    }

    fn record_exchange(
        &mut self,
        name: &SpecName,
        endpoint: EndpointId,
        exchange: Exchange,
        latency: Duration,
        now: Time,
    ) {
        let ceiling = f64::from(self.max_idle_connections());
        let state = &mut self.endpoints[endpoint.0];
        state.record_finished();
        let eject = match exchange {
            Exchange::Answered => {
                state.record_success(latency, ceiling, now);
                false
            }
            Exchange::Refused => {
                state.record_refusal(now);
                false
            }
            Exchange::CallerDisconnected => false,
            Exchange::Failed | Exchange::NotSent | Exchange::Lost => {
                state.record_failure(&self.settings, now)
            }
        };
        let Some(service) = self.services.get_mut(name) else { return };
        service.outstanding = service.outstanding.saturating_sub(1);
        if matches!(exchange, Exchange::Answered | Exchange::Failed) {
            service.record_answer(now);
        }
        if eject && self.settings.limits {
            self.eject(name, endpoint, now);
        }
    }

    /// Ejects an endpoint unless too many endpoints of the service are already ejected.
    fn eject(&mut self, name: &SpecName, endpoint: EndpointId, now: Time) {
        let Some(service) = self.services.get(name) else { return };
        let allowed = service.endpoint_count() * self.settings.max_ejected_percent / 100;
        if self.ejected_count(service, now) < allowed {
            self.endpoints[endpoint.0].eject(&self.settings, now);
        }
    }

    fn ejected_count(&self, service: &Service, now: Time) -> usize {
        let all = service.local.iter().chain(&service.remote);
        all.filter(|id| self.endpoints[id.0].is_ejected(now)).count()
    }
}

impl Request {
    fn reject(&self, reason: RejectionReason, retry_after: Duration) -> Rejection {
        let outcome = if self.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        Rejection { outcome, reason, retry_after }
    }
}

fn no_endpoint() -> RoutingDecision {
    RoutingDecision::Reject(Rejection {
        outcome: Outcome::NotRun,
        reason: RejectionReason::NoEndpoint,
        retry_after: NO_ENDPOINT_RETRY,
    })
}
