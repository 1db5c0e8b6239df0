//! The stages of a request, from its arrival to its final answer.

use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

use super::EndpointId;
use crate::{SpecName, Time};

/// The number of a request within one process of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A newly received request.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// The number of the request.
    pub number: RequestId,
    /// The service that the request calls.
    pub service: SpecName,
    /// Whether the request may safely run more than once.
    pub repeatable: bool,
    /// The importance of the request. Higher ranks go first.
    pub rank: u8,
    /// The time at which the caller stops waiting.
    pub deadline: Time,
}

/// What the caller may conclude from an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The answer is the complete answer of the endpoint.
    Done,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Display for Outcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Done => "done",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        })
    }
}

/// The reason for rejecting a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionReason {
    /// The service has no endpoint.
    NoEndpoint,
    /// The request would not have been served in time.
    Overload,
    /// The deadline has passed.
    Deadline,
    /// No endpoint accepted the request within the allowed number of sends.
    Refused,
    /// The exchange with the endpoint failed before a complete answer arrived.
    Lost,
}

impl Display for RejectionReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RejectionReason::NoEndpoint => "no endpoint",
            RejectionReason::Overload => "overload",
            RejectionReason::Deadline => "deadline passed",
            RejectionReason::Refused => "refused by endpoints",
            RejectionReason::Lost => "exchange with the endpoint broke off",
        })
    }
}

/// The final answer to a rejected request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// What the caller may conclude.
    pub outcome: Outcome,
    /// The reason.
    pub reason: RejectionReason,
    /// The time after which the caller should retry.
    pub retry_after: Duration,
}

/// The next action for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingDecision {
    /// Send the request to an endpoint.
    Send(EndpointId),
    /// Hold the request until [`Router::take_ready`](super::Router::take_ready) returns it.
    Wait,
    /// Reject the request with this answer.
    Reject(Rejection),
    /// Forward the endpoint's answer.
    Forward,
}

/// The result of an exchange with an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exchange {
    /// An answer arrived that reports success or an error of the caller.
    Answered,
    /// An answer arrived that reports a failure of the endpoint.
    Failed,
    /// The endpoint reported that it refused the request before running it.
    Refused,
    /// No byte of the request reached the endpoint.
    NotSent,
    /// The request may have run, but no complete answer arrived.
    Lost,
    /// The caller disconnected, which shows nothing about the endpoint.
    CallerDisconnected,
}
