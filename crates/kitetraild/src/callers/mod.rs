//! The callers' side: requests in, answers out, and the exchanges with endpoints between.

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
pub use entry::{Entry, EntryParts};

use std::{cell::RefCell, rc::Rc};

use kitetrail_core::routing::Router;

/// The router as the callers' side and the control loop share it on their one thread.
pub type SharedRouter = Rc<RefCell<Router<ChosenBalancer>>>;
