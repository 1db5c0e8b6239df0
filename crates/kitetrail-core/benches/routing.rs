//! Measures the time of one routing decision at several fleet sizes.

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use kitetrail_core::{
    Epoch, SpecName, Time, ZoneId,
    routing::{
        Exchange, IncomingRequest, PowerOfTwo, RequestId, Router, RouterSettings, RoutingDecision,
    },
    shard::{EndpointSet, PlacedEndpoint},
};

/// The numbers of endpoints.
const ENDPOINT_COUNTS: [usize; 3] = [65, 300, 1_200];
const ZONE_COUNT: usize = 4;

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text} must be a name"))
}

/// Returns a router with a number of endpoints, spread over four availability zones.
fn router(endpoints: usize) -> Router<PowerOfTwo> {
    let settings = RouterSettings::builder().zone(name::<ZoneId>("zone-0")).build();
    let mut router = Router::new(settings, PowerOfTwo, 1);
    let placed = (0..endpoints).map(|number| PlacedEndpoint {
        service: name("validate"),
        worker: name(&format!("worker-{number}")),
        zone: name(&format!("zone-{}", number % ZONE_COUNT)),
        address: ([127, 0, (number / 250) as u8, (number % 250) as u8], 80).into(),
        leaving: false,
    });
    let endpoint_set = EndpointSet {
        shard: name("zone-0:0"),
        epoch: Epoch(1),
        sequence: 1,
        endpoints: placed.collect(),
    };
    router.set_endpoints(endpoint_set, Time::from_ms(1));
    router
}

fn routing(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("routing_decision");
    let service: SpecName = name("validate");
    for endpoints in ENDPOINT_COUNTS {
        let mut router = router(endpoints);
        let mut number = 0;
        let id = BenchmarkId::from_parameter(endpoints);
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                number += 1;
                let now = Time::from_us(1_000_000 + number * 10);
                let incoming = IncomingRequest {
                    number: RequestId(number),
                    service: service.clone(),
                    repeatable: true,
                    rank: 100,
                    deadline: now + Duration::from_secs(1),
                };
                let decision = router.route(incoming, now);
                if let RoutingDecision::Send(endpoint) = decision {
                    let answered = now + Duration::from_millis(2);
                    let number = RequestId(number);
                    black_box(router.on_exchange_end(
                        number,
                        endpoint,
                        Exchange::Answered,
                        answered,
                    ));
                }
                black_box(decision)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, routing);
criterion_main!(benches);
