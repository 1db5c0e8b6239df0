//! Encodes and decodes calls, answers and configurations that boxes exchange.

use std::rc::Rc;

use kitetrail_core::{
    fleet_config::FleetConfig,
    jobs::{JobId, JobState},
};
use kitetrail_proto::jobs::{
    CallRequest, Cancel, Config, State, Submit, call_answer::Outcome, call_request,
};
use serde::Serialize;

use super::super::{
    Platform,
    calls::{Answer, Call},
    shared::Shared,
};

/// Encodes the configuration in force for another box, as an empty message if there is none.
pub(in crate::fleet) fn encode_config<P: Platform>(shared: &Shared<P>) -> Config {
    let config = shared.config().map(|config| serde_json::to_vec(&*config));
    match config.transpose() {
        Ok(config_json) => Config { config_json: config_json.unwrap_or_default() },
        Err(error) => {
            log::error!("config: the configuration can't be encoded: {error}");
            Config::default()
        }
    }
}

/// Applies a configuration from another box, if it is newer than the one in force.
pub(in crate::fleet) fn apply_config<P: Platform>(shared: &Shared<P>, config: &Config) {
    if config.config_json.is_empty() {
        return;
    }
    match serde_json::from_slice::<FleetConfig>(&config.config_json) {
        Ok(config) => shared.apply_if_newer(config, "peer"),
        Err(error) => {
            log::warn!("config: the configuration of another box can't be decoded: {error}")
        }
    }
}

/// Encodes a call. Returns `None` if this fails.
pub(super) fn encode_call(call: &Call) -> Option<CallRequest> {
    let call = match call {
        Call::Submit { job, queue, spec } => call_request::Call::Submit(Submit {
            job: job.to_string(),
            queue_json: encode(queue)?,
            spec_json: encode(&**spec)?,
        }),
        Call::Cancel { job } => call_request::Call::Cancel(Cancel { job: job.to_string() }),
        Call::State { job } => call_request::Call::State(State { job: job.to_string() }),
    };
    Some(CallRequest { call: Some(call) })
}

fn encode(value: &impl Serialize) -> Option<Vec<u8>> {
    let encoded = serde_json::to_vec(value);
    encoded.inspect_err(|error| log::error!("peer: a call can't be encoded: {error}")).ok()
}

/// Decodes a call. Returns `None` if it is malformed.
pub(super) fn decode_call(request: CallRequest) -> Option<Call> {
    let decoded = match request.call? {
        call_request::Call::Submit(submit) => decode_submit(&submit),
        call_request::Call::Cancel(cancel) => {
            decode_job(&cancel.job).map(|job| Call::Cancel { job })
        }
        call_request::Call::State(state) => decode_job(&state.job).map(|job| Call::State { job }),
    };
    decoded.inspect_err(|error| log::warn!("peer: a call can't be decoded: {error}")).ok()
}

fn decode_submit(submit: &Submit) -> Result<Call, String> {
    let job = decode_job(&submit.job)?;
    let queue = serde_json::from_slice(&submit.queue_json).map_err(|error| error.to_string())?;
    let spec = serde_json::from_slice(&submit.spec_json).map_err(|error| error.to_string())?;
    Ok(Call::Submit { job, queue, spec: Rc::new(spec) })
}

fn decode_job(text: &str) -> Result<JobId, String> {
    text.parse::<JobId>().map_err(|error| error.to_string())
}

/// Encodes an answer.
pub(super) fn encode_answer(answer: Answer) -> Outcome {
    match answer {
        Answer::Accepted => Outcome::Accepted,
        Answer::Cancelled => Outcome::Cancelled,
        Answer::UnknownJob => Outcome::UnknownJob,
        Answer::State(JobState::Queued) => Outcome::Queued,
        Answer::State(JobState::Running) => Outcome::Running,
        Answer::State(JobState::Completed) => Outcome::Completed,
        Answer::State(JobState::Failed) => Outcome::Failed,
        Answer::State(JobState::Cancelled) => Outcome::JobCancelled,
        Answer::Refused => Outcome::Refused,
        Answer::NotOwner | Answer::NotRun => Outcome::NotOwner,
        Answer::InDoubt => Outcome::InDoubt,
    }
}

/// Decodes an answer.
pub(super) fn decode_answer(outcome: Outcome) -> Answer {
    match outcome {
        Outcome::Accepted => Answer::Accepted,
        Outcome::Cancelled => Answer::Cancelled,
        Outcome::UnknownJob => Answer::UnknownJob,
        Outcome::Queued => Answer::State(JobState::Queued),
        Outcome::Running => Answer::State(JobState::Running),
        Outcome::Completed => Answer::State(JobState::Completed),
        Outcome::Failed => Answer::State(JobState::Failed),
        Outcome::JobCancelled => Answer::State(JobState::Cancelled),
        Outcome::Refused => Answer::Refused,
        Outcome::NotOwner => Answer::NotOwner,
        Outcome::InDoubt | Outcome::Unspecified => Answer::InDoubt,
    }
}
