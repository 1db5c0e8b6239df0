//! Which endpoint takes a request, which requests wait, and which are given up.

mod balancer;
mod endpoint;
mod queue;
mod request;
mod retry_budget;
mod router;
mod service;
mod settings;

pub use balancer::{Balancer, PowerOfTwo, RoundRobin};
pub use endpoint::{EndpointId, EndpointState};
pub use request::{Arrival, Exchange, GivenUp, Outcome, Reason, RequestNumber, Verdict};
pub use router::{Router, ServiceView};
pub use settings::RouterSettings;
