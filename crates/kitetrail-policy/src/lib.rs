//! The policy language: compiles, checks and evaluates the policies of operators.
//!
//! A policy is a short program that defines functions, all of them optional: `rank(task)`,
//! `may_share(one, other)`, `sacrifice(task)`, `max_slowdown(task)` and `tail_weight()`. A function has
//! access to its parameters only and runs under a cost limit. The results are stored in a
//! [`PolicyTable`](kitetrail_core::placement::PolicyTable), so that requests and placements never wait
//! for the interpreter.

mod error;
mod evaluate;
mod program;

pub use error::{PolicyError, PolicyFault};
pub use evaluate::{Evaluation, evaluate};
pub use program::{Program, TaskFacts};
