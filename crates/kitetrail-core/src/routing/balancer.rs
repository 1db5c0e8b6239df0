//! Load balancing among the endpoints of a service.

use rand::Rng;

use super::{EndpointId, EndpointState};
use crate::Time;

/// The largest number of random endpoints that are sampled before the search.
const RANDOM_SAMPLES: usize = 4;
/// The largest number of endpoints that the search examines. It bounds the time in a large
/// fleet.
const MAX_SEARCHED: usize = 24;

/// A strategy for choosing among endpoints.
pub trait Balancer {
    /// Returns an endpoint with capacity for a request, or `None` if none was found.
    ///
    /// `endpoints` holds the state of every id in `among`.
    fn pick(
        &mut self,
        among: &[EndpointId],
        endpoints: &[EndpointState],
        rng: &mut impl Rng,
        now: Time,
    ) -> Option<EndpointId>;
}

/// Samples random endpoints and chooses the better of two by expected wait.
#[derive(Debug, Clone, Copy, Default)]
pub struct PowerOfTwo;

impl Balancer for PowerOfTwo {
    fn pick(
        &mut self,
        among: &[EndpointId],
        endpoints: &[EndpointState],
        rng: &mut impl Rng,
        now: Time,
    ) -> Option<EndpointId> {
        if among.is_empty() {
            return None;
        }
        let mut best: Option<(EndpointId, f64)> = None;
        let mut compared = 0;
        for _ in 0..RANDOM_SAMPLES {
            let id = among[rng.random_range(0..among.len())];
            let state = &endpoints[id.0];
            if !state.has_capacity(now) || best.is_some_and(|(known, _)| known == id) {
                continue;
            }
            let cost = state.cost(now);
            if best.is_none_or(|(_, lowest)| cost < lowest) {
                best = Some((id, cost));
            }
            compared += 1;
            if compared == 2 {
                break;
            }
        }
        best.map(|(id, _)| id).or_else(|| search(among, endpoints, rng, now))
    }
}

/// Chooses the endpoints in turn.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Balancer for RoundRobin {
    fn pick(
        &mut self,
        among: &[EndpointId],
        _endpoints: &[EndpointState],
        _rng: &mut impl Rng,
        _now: Time,
    ) -> Option<EndpointId> {
        self.next = self.next.wrapping_add(1);
        among.get(self.next % among.len().max(1)).copied()
    }
}

/// Returns the first endpoint with capacity, searching from a random start.
fn search(
    among: &[EndpointId],
    endpoints: &[EndpointState],
    rng: &mut impl Rng,
    now: Time,
) -> Option<EndpointId> {
    let start = rng.random_range(0..among.len());
    let ids = among.iter().cycle().skip(start).take(among.len().min(MAX_SEARCHED));
    ids.copied().find(|id| endpoints[id.0].has_capacity(now))
}
