//! The policy language: compile, check and evaluate operators' policies.
//!
//! A policy is a short program of functions, each of which may be left out:
//! `rank(task)`, `may_share(one, other)`, `sacrifice(task)`, `max_slowdown(task)` and
//! `tail_weight()`. It sees the task it is asked about and nothing else, and runs under
//! a cost limit. Its answers become a [`PolicyTable`](kitetrail_core::placement::PolicyTable),
//! so that no interpreter stands on the path of a request or a placement.

mod error;
mod evaluate;
mod program;

pub use error::{PolicyError, PolicyFault};
pub use evaluate::{Evaluation, evaluate};
pub use program::{Program, TaskFacts};
