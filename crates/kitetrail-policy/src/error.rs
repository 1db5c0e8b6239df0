//! Errors of policies.

use kitetrail_core::TaskClass;
use thiserror::Error;

/// The error of a policy that can't be compiled.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PolicyError {
    /// The policy has a syntax error.
    #[error("line {line}: {cause}; mend the line and check again")]
    Syntax {
        /// The line number, starting at 1.
        line: usize,
        /// The syntax error.
        cause: String,
    },
    /// The policy defines a function that kitetrail does not call.
    #[error(
        "line {line}: no one asks `{name}` with {parameters} parameters; the functions are rank(task), may_share(one, other), sacrifice(task), max_slowdown(task) and tail_weight(), and helpers must start with an underscore"
    )]
    UnknownFunction {
        /// The line number, starting at 1.
        line: usize,
        /// The name of the function.
        name: String,
        /// The number of its parameters.
        parameters: usize,
    },
}

/// A failed call of a policy function. The last valid result stays in force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("policy {function} failed for class {class}: {cause}; the last good answer stays")]
pub struct PolicyFault {
    /// The name of the function.
    pub function: &'static str,
    /// The class of the task that the function was called with.
    pub class: String,
    /// The reason of the failure.
    pub cause: String,
}

impl PolicyFault {
    /// Creates the fault of a function that was called for a class.
    pub(crate) fn new(function: &'static str, class: &TaskClass, cause: String) -> Self {
        Self { function, class: class.to_string(), cause }
    }
}
