//! The choice of one endpoint among those of a service.

use rand::Rng;

use super::{EndpointId, EndpointState};
use crate::Time;

/// How many random endpoints are looked at before a short search.
const SAMPLES: usize = 4;
/// How many endpoints the search looks at, so that its time doesn't grow with the fleet.
const MAX_SEARCH: usize = 24;

/// A way to choose among endpoints.
pub trait Balancer {
    /// An endpoint with room, or `None` if none was found.
    ///
    /// `endpoints` holds the state of each id in `among`.
    fn pick(
        &mut self,
        among: &[EndpointId],
        endpoints: &[EndpointState],
        rng: &mut impl Rng,
        now: Time,
    ) -> Option<EndpointId>;
}

/// Looks at a few random endpoints and takes the one with the shortest expected wait.
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
        let mut seen = 0;
        for _ in 0..SAMPLES {
            let id = among[rng.random_range(0..among.len())];
            let state = &endpoints[id.0];
            if !state.is_free(now) || best.is_some_and(|(known, _)| known == id) {
                continue;
            }
            let cost = state.cost(now);
            if best.is_none_or(|(_, lowest)| cost < lowest) {
                best = Some((id, cost));
            }
            seen += 1;
            if seen == 2 {
                break;
            }
        }
        best.map(|(id, _)| id).or_else(|| search(among, endpoints, rng, now))
    }
}

/// Takes one endpoint after the other.
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

/// The first endpoint with room from a random start.
fn search(
    among: &[EndpointId],
    endpoints: &[EndpointState],
    rng: &mut impl Rng,
    now: Time,
) -> Option<EndpointId> {
    let start = rng.random_range(0..among.len());
    let ids = among.iter().cycle().skip(start).take(among.len().min(MAX_SEARCH));
    ids.copied().find(|id| endpoints[id.0].is_free(now))
}
