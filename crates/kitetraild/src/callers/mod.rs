//! Serves callers: accepts their requests, exchanges them with endpoints and returns the answers.

mod answer;
mod balancer;
mod body;
mod call;
mod claims;
mod entry;
mod exchange;
mod in_flight;
mod pool;

pub use balancer::ChosenBalancer;
pub use entry::{CallerServer, CallerServerParts};

use std::{cell::RefCell, rc::Rc};

use kitetrail_core::routing::Router;

/// The router, which the caller server and the control loop share on one thread.
pub type SharedRouter = Rc<RefCell<Router<ChosenBalancer>>>;
