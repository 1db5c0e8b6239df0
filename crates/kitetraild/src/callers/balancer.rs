//! The balancer that the settings choose.

use kitetrail_core::{
    Time,
    routing::{Balancer, EndpointId, EndpointState, PowerOfTwo, RoundRobin},
};
use rand::Rng;

use crate::settings::BalancerChoice;

/// The balancer that the settings choose.
#[derive(Debug, Clone, Copy)]
pub enum ChosenBalancer {
    /// By the shortest expected wait.
    PowerOfTwo(PowerOfTwo),
    /// One after the other.
    RoundRobin(RoundRobin),
}

impl ChosenBalancer {
    /// The balancer of a choice.
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
