//! The balancer that is selected in the settings.

use kitetrail_core::{
    Time,
    routing::{Balancer, EndpointId, EndpointState, PowerOfTwo, RoundRobin},
};
use rand::Rng;

use crate::settings::BalancerChoice;

/// The balancer that is selected in the settings.
#[derive(Debug, Clone, Copy)]
pub enum ChosenBalancer {
    /// Chooses the endpoint with the shortest expected wait among a few random ones.
    PowerOfTwo(PowerOfTwo),
    /// Chooses the endpoints in turn.
    RoundRobin(RoundRobin),
}

impl ChosenBalancer {
    /// Creates the balancer for a setting.
    pub fn new(choice: BalancerChoice) -> Self {
        match choice {
            BalancerChoice::PowerOfTwo => Self::PowerOfTwo(PowerOfTwo),
            BalancerChoice::RoundRobin => Self::RoundRobin(RoundRobin::default()),
        }
    }
}

impl Balancer for ChosenBalancer {
    fn pick(
        &mut self,
        among: &[EndpointId],
        endpoints: &[EndpointState],
        rng: &mut impl Rng,
        now: Time,
    ) -> Option<EndpointId> {
        match self {
            Self::PowerOfTwo(balancer) => balancer.pick(among, endpoints, rng, now),
            Self::RoundRobin(balancer) => balancer.pick(among, endpoints, rng, now),
        }
    }
}
