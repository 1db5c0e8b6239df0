use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_core::jobs::{JobId, JobSpec, JobState, QueueTerms, RetryDelay};
use kitetrail_proto::jobs::{CallAnswer, CallRequest, Submit, call_answer::Outcome, call_request};

use super::{
    super::super::calls::{Answer, Call},
    decode_answer, decode_call, encode_answer, encode_call, encode_retry_after,
};

fn queue() -> QueueTerms {
    QueueTerms {
        name: "checks".into(),
        config_version: 1,
        service: "desk".to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.5,
        target_latency_ms: 250,
    }
}

fn submission(answer_by: Option<Instant>) -> Call {
    let spec = Rc::new(JobSpec { payload: "work".to_owned(), steps: Vec::new(), schedule: None });
    Call::Submit { job: JobId(7), queue: queue(), spec, answer_by }
}

fn encode_submission(answer_by: Option<Instant>) -> Submit {
    match encode_call(&submission(answer_by)).and_then(|request| request.call) {
        Some(call_request::Call::Submit(submit)) => submit,
        other => panic!("not a submission: {other:?}"),
    }
}

fn decode_submission(submit: Submit) -> Call {
    let call = Some(call_request::Call::Submit(submit));
    decode_call(CallRequest { call }).unwrap_or_else(|| panic!("the submission is well-formed"))
}

#[test]
fn time_left_of_a_submission_is_sent_to_the_owner() {
    let submit = encode_submission(Some(Instant::now() + Duration::from_millis(2_500)));
    assert!(submit.time_left_ms.is_some_and(|left_ms| (2_000..=2_500).contains(&left_ms)));
    let time_left = decode_submission(submit).time_left();
    assert!(time_left.is_some_and(|left| left > Duration::from_millis(1_500)), "{time_left:?}");
}

#[test]
fn submission_whose_time_is_over_has_no_time_left() {
    let submit = encode_submission(Some(Instant::now()));
    assert_eq!(submit.time_left_ms, Some(0));
}

#[test]
fn submission_of_a_box_of_an_older_version_has_no_time() {
    let submit = Submit { time_left_ms: None, ..encode_submission(Some(Instant::now())) };
    assert_eq!(decode_submission(submit).time_left(), None);
    assert_eq!(encode_submission(None).time_left_ms, None);
}

#[test]
fn time_left_that_is_out_of_range_is_limited() {
    let submit = Submit { time_left_ms: Some(u64::MAX), ..encode_submission(None) };
    let time_left = decode_submission(submit).time_left();
    assert!(time_left.is_some_and(|left| left <= Duration::from_secs(15)), "{time_left:?}");
}

#[test]
fn refusal_is_sent_with_the_time_to_return() {
    for retry_after in [None, Some(RetryDelay::from_secs(2))] {
        let refused = Answer::Refused(retry_after);
        let answer = CallAnswer {
            outcome: encode_answer(refused).into(),
            retry_after_s: encode_retry_after(refused),
            ..CallAnswer::default()
        };
        assert_eq!(decode_answer(&answer), refused);
    }
}

#[test]
fn refusal_of_an_owner_of_an_older_version_has_no_time_to_return() {
    let answer = CallAnswer { outcome: Outcome::Refused.into(), ..CallAnswer::default() };
    assert_eq!(decode_answer(&answer), Answer::Refused(None));
}

fn exchange(answer: Answer) -> Answer {
    let outcome = encode_answer(answer).into();
    decode_answer(&CallAnswer { outcome, ..CallAnswer::default() })
}

#[test]
fn state_of_a_job_is_exchanged_unchanged() {
    let states = [
        JobState::Queued,
        JobState::Running,
        JobState::Completed,
        JobState::Failed,
        JobState::Cancelled,
    ];
    for state in states {
        assert_eq!(exchange(Answer::State(state)), Answer::State(state));
    }
}

#[test]
fn no_other_answer_becomes_the_state_of_a_job() {
    let answers = [
        Answer::Accepted,
        Answer::Cancelled,
        Answer::UnknownJob,
        Answer::Refused(None),
        Answer::NotRun,
        Answer::InDoubt,
        Answer::NotOwner,
    ];
    for answer in answers {
        assert!(!matches!(exchange(answer), Answer::State(_)), "{answer:?}");
    }
    for outcome in [0, 99, -1] {
        let answer = CallAnswer { outcome, ..CallAnswer::default() };
        assert_eq!(decode_answer(&answer), Answer::InDoubt, "outcome {outcome} of a later version");
    }
}
