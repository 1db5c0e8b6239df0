use kitetrail_core::jobs::{JobId, JobState, Outcome, ProgressRecord};
use kitetrail_platform::fleet::StoredRow;

use super::{super::rows::PARTITION, Answer, state_from_progress};

fn progress(outcome: Outcome) -> Vec<u8> {
    let record = ProgressRecord {
        id: JobId(7),
        part: 0,
        accepted_unix_ms: None,
        outcome,
        ended_unix_ms: None,
        done_before: 0,
        occurrences: Default::default(),
    };
    serde_json::to_vec(&record).unwrap_or_default()
}

fn state(value: Vec<u8>) -> Option<Answer> {
    let (part, key) = (PARTITION.to_owned(), JobId(7).to_string());
    state_from_progress(&StoredRow { part, key, value, version: 1 })
}

#[test]
fn a_stored_outcome_is_shown_as_it_is() {
    let states = [
        (Outcome::Open, JobState::Running),
        (Outcome::Completed, JobState::Completed),
        (Outcome::Failed, JobState::Failed),
        (Outcome::Cancelled, JobState::Cancelled),
    ];
    for (outcome, shown) in states {
        assert_eq!(state(progress(outcome)), Some(Answer::State(shown)));
    }
}

#[test]
fn a_row_without_an_outcome_is_of_a_job_that_runs() {
    assert_eq!(
        state(b"{\"id\":\"0000000000000007\"}".to_vec()),
        Some(Answer::State(JobState::Running))
    );
}

#[test]
fn nothing_is_shown_of_a_row_that_cannot_be_read() {
    for value in ["", "{", "null", "{\"id\":\"0000000000000007\",\"outcome\":\"unheard-of\"}"] {
        assert_eq!(state(value.into()), None, "{value}");
    }
}
