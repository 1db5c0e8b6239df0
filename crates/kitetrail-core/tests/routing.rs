//! Simulations of the router on virtual time, with fake endpoints of given latency and results.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{collections::BTreeMap, fmt::Write as _, time::Duration};

use expect_test::expect_file;
use kitetrail_core::{
    Epoch, Time,
    routing::{
        EndpointId, Exchange, IncomingRequest, Outcome, PowerOfTwo, RequestId, Router,
        RouterSettings, RoutingDecision,
    },
    shard::{EndpointSet, PlacedEndpoint},
};

const SLOTS: u32 = 8;

/// How a fake endpoint behaves.
#[derive(Clone, Copy)]
struct Behaviour {
    latency_ms: u64,
    exchange: Exchange,
}

const HEALTHY: Behaviour = Behaviour { latency_ms: 20, exchange: Exchange::Answered };

/// A router, fake endpoints and the exchanges in flight.
struct Simulation {
    router: Router<PowerOfTwo>,
    behaviours: Vec<Behaviour>,
    now_ms: u64,
    offered: u64,
    running: Vec<(u64, RequestId, EndpointId)>,
    repeatable: bool,
    counts: BTreeMap<&'static str, u64>,
    sends_to: BTreeMap<u64, u64>,
    longest_wait_ms: u64,
    offered_at: BTreeMap<RequestId, u64>,
}

impl Simulation {
    fn new(behaviours: Vec<Behaviour>) -> Self {
        let settings = RouterSettings::builder().zone("zone-0".parse().unwrap()).build();
        let mut simulation = Self {
            router: Router::new(settings, PowerOfTwo, 1),
            behaviours,
            now_ms: 1_000,
            offered: 0,
            running: Vec::new(),
            repeatable: true,
            counts: BTreeMap::new(),
            sends_to: BTreeMap::new(),
            longest_wait_ms: 0,
            offered_at: BTreeMap::new(),
        };
        simulation.publish(1, &[]);
        simulation
    }

    fn publish(&mut self, sequence: u64, leaving: &[usize]) {
        let placed = (0..self.behaviours.len()).map(|number| PlacedEndpoint {
            service: "validate".parse().unwrap(),
            worker: format!("worker-{number}").parse().unwrap(),
            zone: "zone-0".parse().unwrap(),
            address: ([127, 0, 0, 1], number as u16).into(),
            leaving: leaving.contains(&number),
        });
        let endpoints = placed.collect();
        let shard = "zone-0:0".parse().unwrap();
        let set = EndpointSet { shard, epoch: Epoch(1), sequence, endpoints };
        self.router.set_endpoints(set, self.now());
    }

    fn now(&self) -> Time {
        Time::from_ms(self.now_ms)
    }

    fn count(&mut self, outcome: &'static str) {
        *self.counts.entry(outcome).or_default() += 1;
    }

    /// Offers requests at a constant rate for a while, each with a deadline of one second.
    fn offer(&mut self, requests_per_s: u64, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        let mut due = 0;
        while self.now_ms < until_ms {
            due += requests_per_s;
            while due >= 1_000 {
                due -= 1_000;
                self.offer_request();
            }
            self.advance_one_ms();
        }
    }

    fn offer_request(&mut self) {
        self.offered += 1;
        let incoming = IncomingRequest {
            number: RequestId(self.offered),
            service: "validate".parse().unwrap(),
            repeatable: self.repeatable,
            rank: 100,
            deadline: self.now() + Duration::from_secs(1),
        };
        self.offered_at.insert(incoming.number, self.now_ms);
        let decision = self.router.route(incoming.clone(), self.now());
        self.apply_decision(incoming.number, decision);
    }

    fn advance_one_ms(&mut self) {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        let ended: Vec<_> = self.running.extract_if(.., |(at, ..)| *at <= now_ms).collect();
        for (_, number, endpoint) in ended {
            let exchange = self.behaviour(endpoint).exchange;
            let decision = self.router.on_exchange_end(number, endpoint, exchange, self.now());
            self.apply_decision(number, decision);
        }
        for (number, rejection) in self.router.reject_expired(self.now()) {
            self.apply_decision(number, RoutingDecision::Reject(rejection));
        }
        for (number, endpoint) in self.router.take_ready(self.now()) {
            self.apply_decision(number, RoutingDecision::Send(endpoint));
        }
    }

    fn apply_decision(&mut self, number: RequestId, decision: RoutingDecision) {
        match decision {
            RoutingDecision::Send(endpoint) => {
                let state = self.router.endpoint(endpoint);
                let port = u64::from(state.address.port());
                assert!(state.outstanding() <= 60, "exceeds the connections per endpoint");
                *self.sends_to.entry(port).or_default() += 1;
                let at_ms = self.now_ms + self.behaviour(endpoint).latency_ms;
                self.running.push((at_ms, number, endpoint));
            }
            RoutingDecision::Wait => {}
            RoutingDecision::Forward => self.count("done"),
            RoutingDecision::Reject(rejection) => {
                let waited_ms = self.now_ms - self.offered_at[&number];
                self.longest_wait_ms = self.longest_wait_ms.max(waited_ms);
                assert!(rejection.retry_after >= Duration::from_millis(100));
                self.count(match rejection.outcome {
                    Outcome::NotRun => "not-run",
                    Outcome::Unknown => "unknown",
                    Outcome::Done => "done",
                });
            }
        }
    }

    fn behaviour(&self, endpoint: EndpointId) -> Behaviour {
        self.behaviours[usize::from(self.router.endpoint(endpoint).address.port())]
    }

    fn summary(&self, scenario: &str) -> String {
        let mut text = format!("{scenario}\n    offered {}", self.offered);
        for (outcome, count) in &self.counts {
            let _ = write!(text, ", {outcome} {count}");
        }
        let _ = writeln!(text, "\n    longest wait before a rejection {} ms", self.longest_wait_ms);
        let _ = writeln!(text, "    sends to each endpoint {:?}", self.sends_to);
        text
    }
}

#[test]
fn simulated_routing_matches_the_golden_file() {
    let mut report = String::new();

    let mut simulation = Simulation::new(vec![HEALTHY; 4]);
    simulation.offer(800, 5_000);
    report += &simulation.summary("half the load that fits");

    let mut simulation = Simulation::new(vec![HEALTHY; 4]);
    simulation.offer(16_000, 5_000);
    report += &simulation.summary("ten times the load that fits");

    let slow = Behaviour { latency_ms: 400, ..HEALTHY };
    let mut simulation = Simulation::new(vec![HEALTHY, HEALTHY, HEALTHY, slow]);
    simulation.offer(400, 5_000);
    report += &simulation.summary("one endpoint is twenty times slower");

    let failing = Behaviour { latency_ms: 1, exchange: Exchange::Failed };
    let mut simulation = Simulation::new(vec![HEALTHY, HEALTHY, HEALTHY, failing]);
    simulation.offer(400, 5_000);
    report += &simulation.summary("one endpoint fails everything fast");

    let mut simulation = Simulation::new(vec![failing; 4]);
    simulation.offer(400, 5_000);
    report += &simulation.summary("all endpoints fail everything fast");

    let mut simulation = Simulation::new(vec![slow; 4]);
    simulation.offer(800, 5_000);
    report += &simulation.summary("all endpoints are slow");

    let losing = Behaviour { latency_ms: 20, exchange: Exchange::Lost };
    let mut simulation = Simulation::new(vec![HEALTHY, HEALTHY, HEALTHY, losing]);
    simulation.repeatable = false;
    simulation.offer(400, 5_000);
    report += &simulation.summary("one endpoint loses answers to calls that must not be repeated");

    let mut simulation = Simulation::new(vec![HEALTHY, HEALTHY, HEALTHY, losing]);
    simulation.offer(400, 5_000);
    report += &simulation.summary("one endpoint loses answers to calls that may be repeated");

    let refusing = Behaviour { latency_ms: 1, exchange: Exchange::Refused };
    let mut simulation = Simulation::new(vec![refusing; 4]);
    simulation.repeatable = false;
    simulation.offer(400, 5_000);
    report += &simulation.summary("all endpoints refuse");

    expect_file!["golden/routing.txt"].assert_eq(&report);
}

/// P7: an endpoint that is known to be leaving receives no requests, not even queued ones.
#[test]
fn leaving_endpoint_receives_no_requests() {
    let mut simulation = Simulation::new(vec![HEALTHY; 2]);
    simulation.offer(3_000, 500);
    simulation.publish(2, &[0]);
    let before = simulation.sends_to[&0];
    simulation.offer(3_000, 2_000);
    assert_eq!(simulation.sends_to[&0], before);
    simulation.publish(3, &[]);
    simulation.offer(3_000, 500);
    assert!(simulation.sends_to[&0] > before, "receives requests again once it stays");
}

#[test]
fn shares_of_all_boxes_sum_to_the_slots() {
    for boxes in 1..=8u32 {
        let mut simulation = Simulation::new(vec![HEALTHY; 5]);
        let mut sums = [0.0; 5];
        for box_index in 0..boxes {
            simulation.router.set_boxes(boxes, box_index);
            for (number, sum) in sums.iter_mut().enumerate() {
                *sum += simulation.router.endpoint(EndpointId(number)).share();
            }
        }
        assert_eq!(sums, [f64::from(SLOTS); 5], "{boxes} boxes");
    }
}

/// An endpoint set that arrives late must not replace a newer one.
#[test]
fn older_endpoint_set_is_ignored() {
    let mut simulation = Simulation::new(vec![HEALTHY; 2]);
    simulation.publish(5, &[0]);
    simulation.publish(4, &[]);
    simulation.offer(100, 1_000);
    assert_eq!(simulation.sends_to.get(&0), None);
}
