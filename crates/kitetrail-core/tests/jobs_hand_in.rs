//! Tests of submissions to an owner whose store is slow or silent: what callers with limited time
//! get.

mod fleet;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fleet::{FakeWorker, Processor, SimulatedFleet, job, step};
use kitetrail_core::{
    Time,
    jobs::{
        Action, Event, JobRequestId, JobState, LoadPart, LoadParts, LogEntry, RetryDelay,
        SubmitAnswer,
    },
};

/// The time that callers usually have for a submission.
const CALLER_TIME: Duration = Duration::from_millis(3_000);
/// The part of it that a box keeps for its response.
const BOX_RESERVE: Duration = Duration::from_millis(60);
/// The most times that a caller submits its job.
const MAX_TRIES: u32 = 5;

fn new_fleet(parts: impl IntoIterator<Item = LoadPart>) -> SimulatedFleet {
    let workers = (0..60).map(FakeWorker::new);
    SimulatedFleet::with_parts(workers, parts.into_iter().collect::<LoadParts>())
}

/// Submits a job for a caller that has this much time left.
fn submit(fleet: &mut SimulatedFleet, id: u64, time_left: Option<Duration>) -> JobRequestId {
    fleet.submit_within(id, job(vec![step(1)]), time_left)
}

/// Returns the answer to a submission.
fn answer(fleet: &SimulatedFleet, request: JobRequestId) -> Option<SubmitAnswer> {
    fleet.answers.iter().find_map(|(_, action)| match action {
        Action::AnswerSubmit(no, answer) if *no == request => Some(*answer),
        _ => None,
    })
}

/// A caller that submits its job again when it is asked to, while it has time.
struct Caller {
    id: u64,
    deadline: Time,
    tries: u32,
    next_at: Option<Time>,
    request: Option<JobRequestId>,
    /// All submissions, with the time at which the box stops waiting.
    requests: Vec<(JobRequestId, Time)>,
    accepted: bool,
}

impl Caller {
    fn new(id: u64, now: Time) -> Self {
        let deadline = now + CALLER_TIME;
        Self {
            id,
            deadline,
            tries: 0,
            next_at: Some(now),
            request: None,
            requests: Vec::new(),
            accepted: false,
        }
    }

    fn step(&mut self, fleet: &mut SimulatedFleet) {
        if self.next_at.is_some_and(|at| at <= fleet.now) {
            self.next_at = None;
            self.tries += 1;
            let time_left = self.deadline.since(fleet.now).saturating_sub(BOX_RESERVE);
            let request = submit(fleet, self.id, Some(time_left));
            self.request = Some(request);
            self.requests.push((request, fleet.now + time_left));
        }
        let Some(answer) = self.request.and_then(|request| answer(fleet, request)) else { return };
        self.request = None;
        match answer {
            SubmitAnswer::Accepted => self.accepted = fleet.now <= self.deadline,
            SubmitAnswer::Refused { retry_after } => {
                let delay = retry_after.expect("the caller's time is known");
                let return_at = fleet.now + delay.duration();
                let returns = return_at < self.deadline && self.tries < MAX_TRIES;
                self.next_at = returns.then_some(return_at);
            }
        }
    }
}

/// Runs callers that arrive every 50 ms for 9 s, with a store that is silent for 4.2 s from 2 s on.
/// Returns them with their arrival relative to the start of the silence, in milliseconds.
fn run_with_silent_store() -> (SimulatedFleet, Vec<(i64, Caller)>) {
    let mut fleet = new_fleet([LoadPart::HandIn]);
    let mut callers = Vec::new();
    for at_ms in (0..13_000_i64).step_by(10) {
        fleet.store_down = (2_000..6_200).contains(&at_ms);
        if at_ms % 50 == 0 && at_ms < 9_000 {
            callers.push((at_ms - 2_000, Caller::new(1 + at_ms as u64 / 50, fleet.now)));
        }
        callers.iter_mut().for_each(|(_, caller)| caller.step(&mut fleet));
        fleet.advance_ms(10);
    }
    (fleet, callers)
}

#[test]
fn no_job_is_refused_while_a_slow_store_answers_within_the_callers_time() {
    for latency_ms in [300, 400, 500] {
        let mut fleet = new_fleet([LoadPart::HandIn]);
        fleet.store_latency = Duration::from_millis(latency_ms);
        let mut requests = Vec::new();
        for id in 1..=200 {
            requests.push((submit(&mut fleet, id, Some(Duration::from_millis(2_500))), fleet.now));
            fleet.advance_ms(50);
        }
        fleet.advance_ms(3_000);
        for (request, at) in requests {
            assert_eq!(answer(&fleet, request), Some(SubmitAnswer::Accepted), "{latency_ms} ms");
            let answered = fleet.answered_at(request).map(|answered| answered.since(at));
            assert!(answered <= Some(Duration::from_millis(2_500)), "{answered:?}");
        }
    }
}

#[test]
fn callers_whose_time_outlasts_a_silent_store_are_served() {
    let (_, callers) = run_with_silent_store();
    // The silence ends after 4.2 s; the last 0.3 s of a caller's time are for the answer. Those of
    // the first moments wait in the batch in flight, whose outcome nobody knows.
    let outlasts = |arrived_ms: i64| arrived_ms + 2_700 >= 4_200 || arrived_ms < 0;
    for (arrived_ms, caller) in callers.iter().filter(|(arrived_ms, _)| outlasts(*arrived_ms)) {
        assert!(caller.accepted, "arrived at {arrived_ms} ms, {} tries", caller.tries);
    }
}

#[test]
fn callers_of_a_silent_store_know_before_their_time_is_over() {
    let (fleet, callers) = run_with_silent_store();
    for (arrived_ms, caller) in callers.iter().filter(|(_, caller)| !caller.accepted) {
        let in_batch_sent = fleet.state(caller.id).is_some();
        // A job that was sent has an unknown outcome until the store answers; all others are refused in time.
        assert!(
            in_batch_sent || caller.request.is_none(),
            "arrived at {arrived_ms} ms: neither sent nor answered"
        );
    }
    for (request, deadline) in callers.iter().flat_map(|(_, caller)| &caller.requests) {
        let answered =
            fleet.answered_at(*request).filter(|_| fleet.is_refused(*request) == Some(true));
        assert!(
            answered.is_none_or(|at| at < *deadline),
            "refused at {answered:?}, due at {deadline}"
        );
    }
}

#[test]
fn refused_jobs_never_run() {
    let (fleet, callers) = run_with_silent_store();
    let is_refused = |(request, _): &(JobRequestId, Time)| fleet.is_refused(*request) == Some(true);
    let refused = callers.iter().filter(|(_, caller)| caller.requests.iter().all(is_refused));
    let refused = refused.map(|(_, caller)| caller.id).collect::<Vec<_>>();
    assert!(!refused.is_empty(), "the silence is longer than a caller's time");
    for id in refused {
        let started = fleet.starts.iter().any(|(_, task, ..)| task.job.0 == id);
        assert!(!started && fleet.state(id).is_none(), "job {id} was refused and runs");
    }
}

#[test]
fn callers_that_return_are_spread_while_the_store_is_silent() {
    let (fleet, _) = run_with_silent_store();
    let mut refused_at_once = BTreeMap::<(Time, RetryDelay), u32>::new();
    for (at, action) in &fleet.answers {
        if let Action::AnswerSubmit(_, SubmitAnswer::Refused { retry_after: Some(delay) }) = action
        {
            *refused_at_once.entry((*at, *delay)).or_default() += 1;
        }
    }
    // 20 callers arrive in the second before the store counts as silent.
    let most = refused_at_once.values().max().copied().unwrap_or(0);
    assert!((1..=12).contains(&most), "{most} callers return at the same moment");
}

#[test]
fn callers_are_refused_at_once_when_an_owner_lacks_processor_time() {
    let mut fleet = new_fleet([LoadPart::HandIn]);
    fleet.send_event(Event::OwnerLagged(Duration::from_millis(900)));
    let request = submit(&mut fleet, 1, Some(Duration::from_millis(2_900)));
    assert!(matches!(
        answer(&fleet, request),
        Some(SubmitAnswer::Refused { retry_after: Some(_) })
    ));
}

#[test]
fn job_is_persisted_in_time_by_an_owner_with_little_processor_time() {
    let mut fleet = new_fleet([LoadPart::HandIn]);
    fleet.store_latency = Duration::from_millis(600);
    fleet.processor = Some(Processor::new(Duration::from_millis(2), fleet.now));
    let mut requests = Vec::new();
    for id in 1..=100 {
        requests.push((submit(&mut fleet, id, Some(Duration::from_millis(2_900))), fleet.now));
        fleet.advance_ms(100);
    }
    fleet.advance_ms(5_000);
    for (request, at) in requests {
        let answered = fleet.answered_at(request).map(|answered| answered.since(at));
        assert!(answered.is_some_and(|time| time <= Duration::from_millis(2_900)), "{answered:?}");
    }
}

/// A lost owner leaves its waiting callers without an answer: no job is reported as refused,
/// and the new owner accepts the job under the same id once.
#[test]
fn job_that_waited_for_a_lost_owner_is_accepted_by_the_next_one() {
    let mut fleet = new_fleet([LoadPart::HandIn]);
    fleet.store_down = true;
    fleet.submit(1, job(vec![step(1)]));
    let time_left = Some(Duration::from_millis(1_000));
    fleet.advance_ms(1_100);
    let waiting = submit(&mut fleet, 2, time_left);
    fleet.advance_ms(300);
    assert_eq!(answer(&fleet, waiting), None);
    fleet.take_over(2, true);
    fleet.store_down = false;
    let again = submit(&mut fleet, 2, time_left);
    fleet.advance_ms(5_000);
    assert_eq!(answer(&fleet, waiting), None, "the lost owner gives no answer");
    assert_eq!(answer(&fleet, again), Some(SubmitAnswer::Accepted));
    assert_eq!(fleet.state(2), Some(JobState::Completed));
    let starts = fleet.starts.iter().filter(|(_, task, ..)| task.job.0 == 2).count();
    assert_eq!(starts, 1);
}

#[test]
fn sent_job_is_never_refused() {
    let mut fleet = new_fleet([LoadPart::HandIn]);
    fleet.store_down = true;
    let sent = submit(&mut fleet, 1, Some(Duration::from_millis(2_900)));
    fleet.advance_ms(4_000);
    assert_eq!(answer(&fleet, sent), None, "its batch is in flight");
    fleet.store_down = false;
    fleet.advance_ms(1_000);
    assert_eq!(answer(&fleet, sent), Some(SubmitAnswer::Accepted));
}

#[test]
fn repeated_submission_extends_the_wait() {
    let mut fleet = new_fleet([LoadPart::HandIn]);
    fleet.store_down = true;
    submit(&mut fleet, 1, Some(Duration::from_millis(2_900)));
    fleet.advance_ms(1_500);
    let first = submit(&mut fleet, 2, Some(Duration::from_millis(400)));
    fleet.advance_ms(200);
    let second = submit(&mut fleet, 2, Some(Duration::from_millis(1_100)));
    fleet.advance_ms(600);
    assert_eq!((answer(&fleet, first), answer(&fleet, second)), (None, None));
    fleet.store_down = false;
    fleet.advance_ms(200);
    assert_eq!(answer(&fleet, second), Some(SubmitAnswer::Accepted));
}

/// A batch that a silent store left unanswered for seconds must not count as the usual time: all
/// callers would be refused after the store has recovered.
#[test]
fn jobs_are_accepted_at_once_after_a_silence() {
    let mut fleet = new_fleet([LoadPart::HandIn]);
    for id in 1..=5 {
        submit(&mut fleet, id, Some(CALLER_TIME));
        fleet.advance_ms(100);
    }
    fleet.store_down = true;
    submit(&mut fleet, 6, Some(CALLER_TIME));
    fleet.advance_ms(4_200);
    fleet.store_down = false;
    fleet.store_latency = Duration::from_millis(300);
    fleet.advance_ms(20);
    let request = submit(&mut fleet, 7, Some(Duration::from_millis(2_900)));
    fleet.advance_ms(700);
    assert_eq!(answer(&fleet, request), Some(SubmitAnswer::Accepted));
}

#[test]
fn decisions_are_logged() {
    let (fleet, _) = run_with_silent_store();
    let decisions = fleet.log_entries.iter().filter_map(|(_, entry)| match entry {
        LogEntry::HandIn { decision, waited, .. } => Some((decision.as_str(), *waited)),
        _ => None,
    });
    let decisions = decisions.collect::<BTreeSet<_>>();
    let expected = [("refuse", false), ("refuse", true), ("wait", false), ("wait-last", false)];
    assert_eq!(decisions, expected.into());
}

/// Runs a load with a store that is slow and then silent, and returns all answers.
fn answers_under_load(
    parts: impl IntoIterator<Item = LoadPart>,
    time_left: Option<Duration>,
) -> Vec<(Time, Action)> {
    let mut fleet = new_fleet(parts);
    for at_ms in (0..8_000).step_by(50) {
        fleet.store_latency = Duration::from_millis(if at_ms < 4_000 { 400 } else { 10 });
        fleet.store_down = (5_000..7_500).contains(&at_ms);
        submit(&mut fleet, 1 + at_ms / 50, time_left);
        fleet.advance_ms(50);
    }
    fleet.advance_ms(3_000);
    fleet.answers
}

#[test]
fn without_the_part_the_callers_time_changes_no_answer() {
    let without_time = answers_under_load([], None);
    assert_eq!(answers_under_load([], Some(Duration::from_millis(2_500))), without_time);
    assert_ne!(
        answers_under_load([LoadPart::HandIn], Some(Duration::from_millis(2_500))),
        without_time
    );
}

/// Boxes of an older version don't send their callers' time.
#[test]
fn submission_without_a_time_is_decided_as_without_the_part() {
    let answers = answers_under_load([LoadPart::HandIn], None);
    assert_eq!(answers, answers_under_load([], None));
}

/// A batch holds a limited number of jobs, so the order matters while the store is slow.
#[test]
fn callers_with_the_least_time_left_go_first() {
    let mut fleet = new_fleet([LoadPart::HandIn]);
    fleet.store_latency = Duration::from_millis(400);
    submit(&mut fleet, 1, Some(CALLER_TIME));
    let patient = (2..=60).map(|id| submit(&mut fleet, id, Some(Duration::from_millis(2_900))));
    let patient = patient.collect::<Vec<_>>();
    let urgent = submit(&mut fleet, 61, Some(Duration::from_millis(1_100)));
    fleet.advance_ms(2_900);
    for request in patient.into_iter().chain([urgent]) {
        assert_eq!(answer(&fleet, request), Some(SubmitAnswer::Accepted));
    }
    let answered = fleet.answered_at(urgent).map(Time::as_ms);
    assert!(answered < Some(1_200 + 1_100), "answered at {answered:?} ms");
}
