//! What can be wrong with a policy.

use kitetrail_core::TaskClass;
use thiserror::Error;

/// A policy that can't be compiled.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PolicyError {
    /// The text is not a program.
    #[error("line {line}: {cause}; mend the line and check again")]
    Syntax {
        /// The line, from 1.
        line: usize,
        /// What is wrong.
        cause: String,
    },
    /// A function that kitetrail does not ask.
    #[error(
        "line {line}: no one asks `{name}` with {parameters} parameters; the functions are rank(task), may_share(one, other), sacrifice(task), max_slowdown(task) and tail_weight(), and helpers must start with an underscore"
    )]
    UnknownFunction {
        /// The line, from 1.
        line: usize,
        /// The function.
        name: String,
        /// How many parameters it has.
        parameters: usize,
    },
}

/// A question that a policy failed to answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("policy {function} failed for class {class}: {cause}; the last good answer stays")]
pub struct PolicyFault {
    /// The function.
    pub function: &'static str,
    /// The class it was asked about.
    pub class: String,
    /// What happened.
    pub cause: String,
}

impl PolicyFault {
    /// A fault in the answer about a class.
    pub(crate) fn new(function: &'static str, class: &TaskClass, cause: String) -> Self {
        Self { function, class: class.to_string(), cause }
    }
}
