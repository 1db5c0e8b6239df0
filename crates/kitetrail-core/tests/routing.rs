//! The router on virtual time, with fake endpoints that take so long and fail so often.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{collections::BTreeMap, fmt::Write as _, time::Duration};

use expect_test::expect_file;
use kitetrail_core::{
    Epoch, Time,
    routing::{
        Arrival, EndpointId, Exchange, Outcome, PowerOfTwo, RequestNumber, Router, RouterSettings,
        Verdict,
    },
    shard::{EndpointSet, PlacedEndpoint},
};

const SLOTS: u32 = 8;

/// How a fake endpoint behaves.
#[derive(Clone, Copy)]
struct Habit {
    takes_ms: u64,
    exchange: Exchange,
}

const GOOD: Habit = Habit { takes_ms: 20, exchange: Exchange::Answered };

/// Endpoints, a router and the exchanges between them.
struct Bench {
    router: Router<PowerOfTwo>,
    habits: Vec<Habit>,
    now_ms: u64,
    sent: u64,
    running: Vec<(u64, RequestNumber, EndpointId)>,
    repeatable: bool,
    counts: BTreeMap<&'static str, u64>,
    sends_to: BTreeMap<u64, u64>,
    longest_wait_ms: u64,
    offered_at: BTreeMap<RequestNumber, u64>,
}

impl Bench {
    fn new(habits: Vec<Habit>) -> Self {
        let settings = RouterSettings::builder().zone("zone-0".parse().unwrap()).build();
        let mut bench = Self {
            router: Router::new(settings, PowerOfTwo, 1),
            habits,
            now_ms: 1_000,
            sent: 0,
            running: Vec::new(),
            repeatable: true,
            counts: BTreeMap::new(),
            sends_to: BTreeMap::new(),
            longest_wait_ms: 0,
            offered_at: BTreeMap::new(),
        };
        bench.publish(1, &[]);
        bench
    }

    fn publish(&mut self, sequence: u64, leaving: &[usize]) {
        let placed = (0..self.habits.len()).map(|number| PlacedEndpoint {
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

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// Offers so many requests a second for a while, each with a second to live.
    fn offer(&mut self, per_s: u64, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        let mut due = 0;
        while self.now_ms < until_ms {
            due += per_s;
            while due >= 1_000 {
                due -= 1_000;
                self.offer_one();
            }
            self.step();
        }
    }

    fn offer_one(&mut self) {
        self.sent += 1;
        let arrival = Arrival {
            number: RequestNumber(self.sent),
            service: "validate".parse().unwrap(),
            repeatable: self.repeatable,
            rank: 100,
            deadline: self.now() + Duration::from_secs(1),
        };
        self.offered_at.insert(arrival.number, self.now_ms);
        let verdict = self.router.offer(arrival.clone(), self.now());
        self.follow(arrival.number, verdict);
    }

    fn step(&mut self) {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        let ended: Vec<_> = self.running.extract_if(.., |(at, ..)| *at <= now_ms).collect();
        for (_, number, endpoint) in ended {
            let exchange = self.habit(endpoint).exchange;
            let verdict = self.router.finish(number, endpoint, exchange, self.now());
            self.follow(number, verdict);
        }
        for (number, given_up) in self.router.expire(self.now()) {
            self.follow(number, Verdict::GiveUp(given_up));
        }
        for (number, endpoint) in self.router.take_ready(self.now()) {
            self.follow(number, Verdict::Send(endpoint));
        }
    }

    fn follow(&mut self, number: RequestNumber, verdict: Verdict) {
        match verdict {
            Verdict::Send(endpoint) => {
                let state = self.router.endpoint(endpoint);
                let port = u64::from(state.address.port());
                assert!(state.outstanding() <= 60, "never beyond the connections");
                *self.sends_to.entry(port).or_default() += 1;
                let at_ms = self.now_ms + self.habit(endpoint).takes_ms;
                self.running.push((at_ms, number, endpoint));
            }
            Verdict::Wait => {}
            Verdict::Deliver => self.count("done"),
            Verdict::GiveUp(given_up) => {
                let waited_ms = self.now_ms - self.offered_at[&number];
                self.longest_wait_ms = self.longest_wait_ms.max(waited_ms);
                assert!(given_up.retry_after >= Duration::from_millis(100));
                self.count(match given_up.outcome {
                    Outcome::NotRun => "not-run",
                    Outcome::Unknown => "unknown",
                    Outcome::Done => "done",
                });
            }
        }
    }

    fn habit(&self, endpoint: EndpointId) -> Habit {
        self.habits[usize::from(self.router.endpoint(endpoint).address.port())]
    }

    fn summary(&self, what: &str) -> String {
        let mut text = format!("{what}\n    offered {}", self.sent);
        for (outcome, count) in &self.counts {
            let _ = write!(text, ", {outcome} {count}");
        }
        let _ = writeln!(text, "\n    longest wait before giving up {} ms", self.longest_wait_ms);
        let _ = writeln!(text, "    sends to each endpoint {:?}", self.sends_to);
        text
    }
}

#[test]
fn sessions_of_the_router() {
    let mut told = String::new();

    let mut bench = Bench::new(vec![GOOD; 4]);
    bench.offer(800, 5_000);
    told += &bench.summary("half the load that fits");

    let mut bench = Bench::new(vec![GOOD; 4]);
    bench.offer(16_000, 5_000);
    told += &bench.summary("ten times the load that fits");

    let slow = Habit { takes_ms: 400, ..GOOD };
    let mut bench = Bench::new(vec![GOOD, GOOD, GOOD, slow]);
    bench.offer(400, 5_000);
    told += &bench.summary("one endpoint is twenty times slower");

    let failing = Habit { takes_ms: 1, exchange: Exchange::Failed };
    let mut bench = Bench::new(vec![GOOD, GOOD, GOOD, failing]);
    bench.offer(400, 5_000);
    told += &bench.summary("one endpoint fails everything fast");

    let mut bench = Bench::new(vec![failing; 4]);
    bench.offer(400, 5_000);
    told += &bench.summary("all endpoints fail everything fast");

    let mut bench = Bench::new(vec![slow; 4]);
    bench.offer(800, 5_000);
    told += &bench.summary("all endpoints are slow");

    let losing = Habit { takes_ms: 20, exchange: Exchange::Lost };
    let mut bench = Bench::new(vec![GOOD, GOOD, GOOD, losing]);
    bench.repeatable = false;
    bench.offer(400, 5_000);
    told += &bench.summary("one endpoint loses answers to calls that must not be repeated");

    let mut bench = Bench::new(vec![GOOD, GOOD, GOOD, losing]);
    bench.offer(400, 5_000);
    told += &bench.summary("one endpoint loses answers to calls that may be repeated");

    let refusing = Habit { takes_ms: 1, exchange: Exchange::Refused };
    let mut bench = Bench::new(vec![refusing; 4]);
    bench.repeatable = false;
    bench.offer(400, 5_000);
    told += &bench.summary("all endpoints refuse");

    expect_file!["golden/routing.txt"].assert_eq(&told);
}

/// P7: from the moment an endpoint is known to leave it gets nothing, not even what
/// waited.
#[test]
fn a_leaving_endpoint_gets_nothing() {
    let mut bench = Bench::new(vec![GOOD; 2]);
    bench.offer(3_000, 500);
    bench.publish(2, &[0]);
    let before = bench.sends_to[&0];
    bench.offer(3_000, 2_000);
    assert_eq!(bench.sends_to[&0], before);
    bench.publish(3, &[]);
    bench.offer(3_000, 500);
    assert!(bench.sends_to[&0] > before, "it gets requests again when it stays after all");
}

/// The shares of all boxes add up to an endpoint's slots.
#[test]
fn shares_add_up() {
    for boxes in 1..=8u32 {
        let mut bench = Bench::new(vec![GOOD; 5]);
        let mut sums = [0.0; 5];
        for place in 0..boxes {
            bench.router.set_boxes(boxes, place);
            for (number, sum) in sums.iter_mut().enumerate() {
                *sum += bench.router.endpoint(EndpointId(number)).share();
            }
        }
        assert_eq!(sums, [f64::from(SLOTS); 5], "{boxes} boxes");
    }
}

/// An older word about endpoints never replaces a newer one.
#[test]
fn an_older_set_is_ignored() {
    let mut bench = Bench::new(vec![GOOD; 2]);
    bench.publish(5, &[0]);
    bench.publish(4, &[]);
    bench.offer(100, 1_000);
    assert_eq!(bench.sends_to.get(&0), None);
}
