//! The router of one box.

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
    Arrival, Balancer, EndpointId, EndpointState, Exchange, GivenUp, Outcome, Reason,
    RequestNumber, RouterSettings, Verdict, queue::Waiting, service::Service,
};
use crate::{
    Epoch, ShardId, SpecName, Time, WorkerId,
    shard::{EndpointSet, PlacedEndpoint},
};

/// After how long without any endpoint a caller should come back.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(1);

/// Routes the requests of one box: `(state, event, now) -> verdict`.
#[derive(Debug)]
pub struct Router<B> {
    settings: RouterSettings,
    balancer: B,
    rng: ChaCha8Rng,
    boxes: u32,
    place: u32,
    sets: BTreeMap<ShardId, KnownSet>,
    leaving: BTreeSet<WorkerId>,
    services: HashMap<SpecName, Service>,
    endpoints: Vec<EndpointState>,
    by_address: HashMap<(SpecName, SocketAddr), EndpointId>,
    requests: HashMap<RequestNumber, Request>,
}

#[derive(Debug)]
struct KnownSet {
    epoch: Epoch,
    sequence: u64,
    endpoints: Vec<PlacedEndpoint>,
}

#[derive(Debug)]
struct Request {
    arrival: Arrival,
    sends: u32,
    sent_at: Time,
    tried: Vec<EndpointId>,
    /// Whether a send may have reached an endpoint that did not refuse it.
    may_have_run: bool,
}

/// A summary of a service for status pages.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceView {
    /// The service.
    pub service: SpecName,
    /// How many endpoints this box knows.
    pub endpoints: usize,
    /// How many of them are ejected.
    pub ejected: usize,
    /// How many requests wait in this box.
    pub queued: usize,
    /// How many requests of this box are on their way.
    pub outstanding: usize,
}

impl<B: Balancer> Router<B> {
    /// A router that knows no endpoints yet.
    pub fn new(settings: RouterSettings, balancer: B, seed: u64) -> Self {
        Self {
            settings,
            balancer,
            rng: ChaCha8Rng::seed_from_u64(seed),
            boxes: 1,
            place: 0,
            sets: BTreeMap::new(),
            leaving: BTreeSet::new(),
            services: HashMap::new(),
            endpoints: Vec::new(),
            by_address: HashMap::new(),
            requests: HashMap::new(),
        }
    }

    /// What is known of an endpoint.
    pub fn endpoint(&self, id: EndpointId) -> &EndpointState {
        &self.endpoints[id.0]
    }

    /// How many connections this box may hold to one endpoint.
    pub fn connection_share(&self) -> u32 {
        (self.settings.connections_per_endpoint / self.boxes.max(1)).max(1)
    }

    /// How many requests are queued or on their way.
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// A summary of each service, by name.
    pub fn views(&self, now: Time) -> Vec<ServiceView> {
        let mut views: Vec<ServiceView> = self
            .services
            .iter()
            .map(|(name, service)| ServiceView {
                service: name.clone(),
                endpoints: service.endpoints(),
                ejected: self.ejected(service, now),
                queued: service.queue.len(),
                outstanding: service.outstanding,
            })
            .collect();
        views.sort_by(|a, b| a.service.cmp(&b.service));
        views
    }

    /// The endpoints told by each shard, newest first known.
    pub fn sets(&self) -> Vec<EndpointSet> {
        let sets = self.sets.iter().map(|(shard, known)| EndpointSet {
            shard: shard.clone(),
            epoch: known.epoch,
            sequence: known.sequence,
            endpoints: known.endpoints.clone(),
        });
        sets.collect()
    }

    /// Takes in a new request.
    pub fn offer(&mut self, arrival: Arrival, now: Time) -> Verdict {
        let Some(service) = self.services.get(&arrival.service) else {
            return no_endpoint();
        };
        if service.endpoints() == 0 {
            return no_endpoint();
        }
        if arrival.deadline <= now {
            return Verdict::GiveUp(GivenUp {
                outcome: Outcome::NotRun,
                reason: Reason::Deadline,
                retry_after: service.retry_after(),
            });
        }
        let number = arrival.number;
        let request =
            Request { arrival, sends: 0, sent_at: now, tried: Vec::new(), may_have_run: false };
        self.requests.insert(number, request);
        self.admit(number, now)
    }

    /// Takes in how an exchange went. The connection's slot is free again.
    pub fn finish(
        &mut self,
        number: RequestNumber,
        endpoint: EndpointId,
        exchange: Exchange,
        now: Time,
    ) -> Verdict {
        let Some(request) = self.requests.get_mut(&number) else { return Verdict::Deliver };
        let took = now.since(request.sent_at);
        request.may_have_run |= exchange == Exchange::Lost;
        let service_name = request.arrival.service.clone();
        self.note_exchange(&service_name, endpoint, exchange, took, now);
        match exchange {
            Exchange::Answered | Exchange::Failed => {
                self.requests.remove(&number);
                Verdict::Deliver
            }
            Exchange::Refused | Exchange::NotSent => self.send_again(number, Reason::Refused, now),
            Exchange::Lost | Exchange::CallerGone => self.send_again(number, Reason::Lost, now),
        }
    }

    /// Gives a request up whose time ran out while it was on its way to `endpoint`.
    pub fn time_out(&mut self, number: RequestNumber, endpoint: EndpointId, now: Time) -> GivenUp {
        let retry_after = self.drop_request(number, Some(endpoint), Exchange::Lost, now);
        GivenUp { outcome: Outcome::Unknown, reason: Reason::Deadline, retry_after }
    }

    /// Drops a request whose caller has gone.
    pub fn abandon(&mut self, number: RequestNumber, endpoint: Option<EndpointId>, now: Time) {
        self.drop_request(number, endpoint, Exchange::CallerGone, now);
    }

    /// Forgets a request. Returns when a like one should come back.
    fn drop_request(
        &mut self,
        number: RequestNumber,
        endpoint: Option<EndpointId>,
        exchange: Exchange,
        now: Time,
    ) -> Duration {
        let Some(request) = self.requests.remove(&number) else { return NO_ENDPOINT_RETRY };
        let name = &request.arrival.service;
        if let Some(endpoint) = endpoint {
            let took = now.since(request.sent_at);
            self.note_exchange(name, endpoint, exchange, took, now);
        }
        let Some(service) = self.services.get_mut(name) else { return NO_ENDPOINT_RETRY };
        service.queue.remove(number);
        service.retry_after()
    }

    /// Requests that waited and can be sent now.
    pub fn take_ready(&mut self, now: Time) -> Vec<(RequestNumber, EndpointId)> {
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
                self.note_send(waiting.number, endpoint, now);
                ready.push((waiting.number, endpoint));
            }
        }
        ready
    }

    /// Requests that may not wait any longer, with their final answers.
    pub fn expire(&mut self, now: Time) -> Vec<(RequestNumber, GivenUp)> {
        let mut given_up = Vec::new();
        for service in self.services.values_mut() {
            service.rate(now);
            for waiting in service.queue.expire(now) {
                service.note_refused(now);
                given_up.push((waiting.number, service.retry_after()));
            }
        }
        given_up
            .into_iter()
            .filter_map(|(number, retry_after)| {
                let request = self.requests.remove(&number)?;
                let reason = match request.arrival.deadline <= now {
                    true => Reason::Deadline,
                    false => Reason::Overload,
                };
                Some((number, request.give_up(reason, retry_after)))
            })
            .collect()
    }

    /// Takes the request out of a service's queue that matters least, if it matters less
    /// than `rank`.
    fn displace(&mut self, service: &SpecName, rank: u8, now: Time) -> Option<RequestNumber> {
        let service = self.services.get_mut(service)?;
        let displaced = service.queue.pop_less_than(rank)?;
        service.note_refused(now);
        Some(displaced.number)
    }

    /// Sends a request at once, lets it wait, or gives it up.
    fn admit(&mut self, number: RequestNumber, now: Time) -> Verdict {
        let Some(request) = self.requests.get(&number) else { return Verdict::Deliver };
        let arrival = request.arrival.clone();
        let tried = request.tried.clone();
        let must_queue = self.settings.limits
            && self.services.get(&arrival.service).is_some_and(|service| {
                !service.queue.is_empty() && service.queue.ahead_of(arrival.rank) > 0
            });
        if !must_queue && let Some(endpoint) = self.pick(&arrival.service, &tried, now) {
            self.note_send(number, endpoint, now);
            return Verdict::Send(endpoint);
        }
        self.enqueue(&arrival, now)
    }

    fn enqueue(&mut self, arrival: &Arrival, now: Time) -> Verdict {
        let settings = &self.settings;
        let Some(service) = self.services.get_mut(&arrival.service) else {
            return self.give_up(arrival.number, Reason::NoEndpoint, now);
        };
        let allowed = service.allowed_wait(settings.max_queue_wait);
        let wait = service.expected_wait(service.queue.ahead_of(arrival.rank));
        let left = arrival.deadline.since(now);
        if wait > left.min(allowed) {
            return self.give_up(arrival.number, Reason::Overload, now);
        }
        let until = (now + allowed).min(arrival.deadline);
        let full = service.queue.len() >= settings.max_queued;
        service.queue.push(arrival.rank, Waiting { number: arrival.number, until });
        if !full {
            return Verdict::Wait;
        }
        match self.displace(&arrival.service, u8::MAX, now) {
            Some(number) if number == arrival.number => self.give_up(number, Reason::Overload, now),
            Some(number) => {
                self.expire_now(number, arrival, now);
                Verdict::Wait
            }
            None => Verdict::Wait,
        }
    }

    /// Puts a displaced request back with no time left, so that the next
    /// [`Router::expire`] answers it.
    fn expire_now(&mut self, number: RequestNumber, by: &Arrival, now: Time) {
        if let Some(service) = self.services.get_mut(&by.service) {
            service.queue.push(0, Waiting { number, until: now });
        }
    }

    /// Sends a request again if that is safe and within budget, or gives it up.
    fn send_again(&mut self, number: RequestNumber, reason: Reason, now: Time) -> Verdict {
        let Some(request) = self.requests.get(&number) else { return Verdict::Deliver };
        let arrival = &request.arrival;
        let safe = arrival.repeatable || !request.may_have_run;
        let in_time = now < arrival.deadline;
        let sends_left = request.sends < self.settings.max_sends;
        let service = self.services.get_mut(&arrival.service);
        let affordable = || service.is_some_and(|service| service.budget.try_take());
        match safe && sends_left {
            true if !in_time => self.give_up(number, Reason::Deadline, now),
            true if affordable() => self.admit(number, now),
            _ => self.give_up(number, reason, now),
        }
    }

    fn give_up(&mut self, number: RequestNumber, reason: Reason, now: Time) -> Verdict {
        let Some(request) = self.requests.remove(&number) else { return no_endpoint() };
        let retry_after = match self.services.get_mut(&request.arrival.service) {
            Some(service) => {
                service.note_refused(now);
                service.retry_after()
            }
            None => NO_ENDPOINT_RETRY,
        };
        Verdict::GiveUp(request.give_up(reason, retry_after))
    }

    /// An endpoint with room: this zone first, another one when that is better.
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
        let penalty_us = settings.other_zone_cost.as_micros() as f64;
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

    fn note_send(&mut self, number: RequestNumber, endpoint: EndpointId, now: Time) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.sends += 1;
        request.sent_at = now;
        request.tried.push(endpoint);
        self.endpoints[endpoint.0].note_sent();
        if let Some(service) = self.services.get_mut(&request.arrival.service) {
            service.outstanding += 1;
            if request.sends == 1 {
                service.budget.note_first_send();
            }
        }
    }

    fn note_exchange(
        &mut self,
        name: &SpecName,
        endpoint: EndpointId,
        exchange: Exchange,
        took: Duration,
        now: Time,
    ) {
        let ceiling = f64::from(self.connection_share());
        let state = &mut self.endpoints[endpoint.0];
        state.note_over();
        let eject = match exchange {
            Exchange::Answered => {
                state.note_success(took, ceiling, now);
                false
            }
            Exchange::Refused => {
                state.note_refusal(now);
                false
            }
            Exchange::CallerGone => false,
            Exchange::Failed | Exchange::NotSent | Exchange::Lost => {
                state.note_failure(&self.settings, now)
            }
        };
        let Some(service) = self.services.get_mut(name) else { return };
        service.outstanding = service.outstanding.saturating_sub(1);
        if matches!(exchange, Exchange::Answered | Exchange::Failed) {
            service.note_answer(now);
        }
        if eject && self.settings.limits {
            self.eject(name, endpoint, now);
        }
    }

    /// Ejects an endpoint unless too many are ejected already.
    fn eject(&mut self, name: &SpecName, endpoint: EndpointId, now: Time) {
        let Some(service) = self.services.get(name) else { return };
        let allowed = service.endpoints() * self.settings.ejected_share_percent / 100;
        if self.ejected(service, now) < allowed {
            self.endpoints[endpoint.0].eject(&self.settings, now);
        }
    }

    fn ejected(&self, service: &Service, now: Time) -> usize {
        let all = service.local.iter().chain(&service.remote);
        all.filter(|id| self.endpoints[id.0].is_ejected(now)).count()
    }
}

impl Request {
    fn give_up(&self, reason: Reason, retry_after: Duration) -> GivenUp {
        let outcome = if self.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        GivenUp { outcome, reason, retry_after }
    }
}

fn no_endpoint() -> Verdict {
    Verdict::GiveUp(GivenUp {
        outcome: Outcome::NotRun,
        reason: Reason::NoEndpoint,
        retry_after: NO_ENDPOINT_RETRY,
    })
}
