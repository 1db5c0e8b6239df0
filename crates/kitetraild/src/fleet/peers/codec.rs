//! Encodes and decodes calls, answers and configurations that boxes exchange.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_core::{
    fleet_config::FleetConfig,
    jobs::{JobId, JobState, RetryDelay},
};
use kitetrail_proto::jobs::{
    CallAnswer, CallRequest, Cancel, Config, State, Submit, call_answer::Outcome, call_request,
};
use serde::Serialize;

use super::super::{
    Platform,
    call_times::MAX_SUBMISSION_WAIT,
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
        Ok(config) => shared.apply_if_newer(config.with_versioned_terms(), "peer"),
        Err(error) => {
            log::warn!("config: the configuration of another box can't be decoded: {error}")
        }
    }
}

/// Encodes a call. Returns `None` if this fails.
pub(super) fn encode_call(call: &Call) -> Option<CallRequest> {
    let call = match call {
        Call::Submit { job, queue, spec, answer_by } => call_request::Call::Submit(Submit {
            job: job.to_string(),
            queue_json: encode(queue)?,
            spec_json: encode(&**spec)?,
            time_left_ms: answer_by.map(time_left_ms),
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

/// Returns the approximate size of an encoded call, in bytes.
pub(super) fn call_bytes(request: &CallRequest) -> usize {
    let contents = match &request.call {
        Some(call_request::Call::Submit(submit)) => {
            submit.queue_json.len() + submit.spec_json.len()
        }
        Some(call_request::Call::Cancel(_) | call_request::Call::State(_)) | None => 0,
    };
    size_of::<CallRequest>() + contents
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
    let answer_by = submit.time_left_ms.map(|time_left_ms| {
        Instant::now() + Duration::from_millis(time_left_ms).min(MAX_SUBMISSION_WAIT)
    });
    Ok(Call::Submit { job, queue, spec: Rc::new(spec), answer_by })
}

fn time_left_ms(answer_by: Instant) -> u64 {
    answer_by.saturating_duration_since(Instant::now()).as_millis() as u64
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
        Answer::Refused(_) => Outcome::Refused,
        Answer::NotOwner | Answer::NotRun => Outcome::NotOwner,
        Answer::InDoubt => Outcome::InDoubt,
    }
}

/// Returns the seconds after which the caller of a refused job is to return, zero if none are given.
pub(super) fn encode_retry_after(answer: Answer) -> u32 {
    match answer {
        Answer::Refused(Some(delay)) => delay.as_secs() as u32,
        _ => 0,
    }
}

/// Decodes an answer.
pub(super) fn decode_answer(answer: &CallAnswer) -> Answer {
    match answer.outcome() {
        Outcome::Accepted => Answer::Accepted,
        Outcome::Cancelled => Answer::Cancelled,
        Outcome::UnknownJob => Answer::UnknownJob,
        Outcome::Queued => Answer::State(JobState::Queued),
        Outcome::Running => Answer::State(JobState::Running),
        Outcome::Completed => Answer::State(JobState::Completed),
        Outcome::Failed => Answer::State(JobState::Failed),
        Outcome::JobCancelled => Answer::State(JobState::Cancelled),
        Outcome::Refused => Answer::Refused(match answer.retry_after_s {
            0 => None,
            retry_after_s => Some(RetryDelay::from_secs(retry_after_s.into())),
        }),
        Outcome::NotOwner => Answer::NotOwner,
        Outcome::InDoubt | Outcome::Unspecified => Answer::InDoubt,
    }
}

#[cfg(test)]
mod tests;
