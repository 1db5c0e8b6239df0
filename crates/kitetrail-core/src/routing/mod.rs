//! The routing of requests to endpoints, with queueing, retries and load shedding.

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
pub use request::{
    Exchange, IncomingRequest, Outcome, Rejection, RejectionReason, RequestId, RoutingDecision,
};
pub use router::{Router, ServiceView};
pub use settings::RouterSettings;
