//! A request from its arrival to its final answer.

use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

use super::EndpointId;
use crate::{SpecName, Time};

/// The number of a request within one run of one box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// A request that has just come in.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its number.
    pub number: RequestNumber,
    /// The service it calls.
    pub service: SpecName,
    /// Whether it may safely run more than once.
    pub repeatable: bool,
    /// How much it matters. Higher goes first.
    pub rank: u8,
    /// When its caller stops waiting.
    pub deadline: Time,
}

/// What an answer means to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The answer is the endpoint's, whole.
    Done,
    /// The request was not run and will not be.
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

/// Why a request was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No service of that name answers anywhere.
    NoEndpoint,
    /// It could not have been served in time.
    Overload,
    /// Its time ran out.
    Deadline,
    /// No endpoint took it within the sends it may have.
    Refused,
    /// The exchange broke off.
    Lost,
}

impl Display for Reason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::NoEndpoint => "no endpoint",
            Reason::Overload => "overload",
            Reason::Deadline => "deadline passed",
            Reason::Refused => "refused by endpoints",
            Reason::Lost => "exchange with the endpoint broke off",
        })
    }
}

/// The final answer to a request that was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GivenUp {
    /// What the caller may conclude.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Duration,
}

/// What is to be done with a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to an endpoint.
    Send(EndpointId),
    /// Hold it: it will come up in [`Router::take_ready`](super::Router::take_ready).
    Wait,
    /// Answer it: it is given up.
    GiveUp(GivenUp),
    /// Pass on the endpoint's answer.
    Deliver,
}

/// How an exchange with an endpoint went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exchange {
    /// An answer came, which the endpoint calls a success or the caller's fault.
    Answered,
    /// An answer came that reports a failure of the endpoint.
    Failed,
    /// The endpoint says that it refused before running.
    Refused,
    /// No byte of the request reached the endpoint.
    NotSent,
    /// The request may have run; no whole answer came.
    Lost,
    /// The caller went away, which says nothing about the endpoint.
    CallerGone,
}
