//! A simulated worker on virtual time, which runs tasks while their lease lasts.

use std::{
    collections::{BTreeMap, VecDeque},
    mem,
    time::Duration,
};

use kitetrail_core::{
    Resources, Time,
    jobs::{
        InstanceNo, Order, OrderAnswer, OrderRefusal, Poll, PollFailure, Report, RunEnd, RunResult,
        RunningTask, StartOrder, TaskName, WorkerEntry,
    },
};

use super::STEP;

/// The time beyond its wait after which the owner considers a poll unanswered.
const POLL_MARGIN: Duration = Duration::from_millis(700);
/// The further delay of an answer that arrives after the owner considered it missing.
const LATE_ANSWER_DELAY: Duration = Duration::from_millis(500);
/// The startup time of a long-running task, which reports 100 percent from then on.
const STARTUP_MS: u64 = 300;
/// The time after which a member of a gang ends if the other members are missing.
const GANG_TIMEOUT_MS: u64 = 3_000;
/// The time after which a smaller capacity must be respected: the platform's recovery time plus a heartbeat.
const SHRINK_GRACE: Duration = Duration::from_millis(4_100);
/// The amount of work after which a failing run ends.
const FAILS_AFTER_MS: u64 = 100;
/// The longest lease that a worker grants, on its own clock.
const LONGEST_LEASE_MS: u64 = 6_000;
/// The most ends that a worker lists at once, the earliest ones.
const MAX_LISTED_ENDS: usize = 500;
/// The default delay after which a late worker carries out an order.
const DEFAULT_ORDER_DELAY: Duration = Duration::from_millis(1_000);

/// The behaviour of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// The worker answers and works.
    Healthy,
    /// The worker has crashed and not returned. Calls to it fail at once.
    Crashed,
    /// The worker continues to work, but no call reaches it and no answer comes back.
    Partitioned,
    /// The worker answers, but its runs make no progress.
    Hanging,
    /// The worker answers, but each of its runs fails after 100 ms.
    Failing,
    /// The worker answers, but its runs take several times as long as elsewhere.
    Slow { factor: u32 },
    /// The worker does not answer start orders, but carries them out later unless they are no longer valid.
    AnswersStartsLate,
    /// The worker continues to work. Start orders reach it late, other calls do not, and no answer comes back.
    PartitionedAfterStart,
    /// The worker neither answers nor carries out stop orders.
    IgnoresStops,
    /// The worker carries out orders, but its answers to polls arrive so late that they are considered missing.
    AnswersPollsLate,
}

impl Behaviour {
    /// Returns whether runs progress in the step of the clock that ends now.
    fn progresses_at(self, now: Time) -> bool {
        match self {
            Self::Hanging => false,
            Self::Slow { factor } => {
                (now.as_ms() / STEP.as_millis() as u64).is_multiple_of(factor.into())
            }
            _ => true,
        }
    }
}

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct Running {
    /// The number of the run.
    pub run: u32,
    /// The completed work, in milliseconds.
    pub done_ms: u64,
    /// The total work, in milliseconds.
    pub work_ms: u64,
    /// The pace, in percent of full speed.
    pub percent: u8,
    /// The processor use at full speed, in thousandths of a core.
    pub cpu_millis: u32,
    /// Whether the task serves users, so that its gauge is its tail latency.
    pub is_serving: bool,
    /// Whether the task is long-running, until it is stopped.
    pub is_long_running: bool,
    /// Whether the run fails on any worker.
    pub fails: bool,
    /// Whether the run waits for other members of its gang.
    pub waits_for_gang: bool,
    /// The time that the run has waited for its gang, in milliseconds.
    pub waited_ms: u64,
}

impl Running {
    fn new(
        run: u32,
        Work { work_ms, cpu_millis, is_serving, is_long_running, fails }: Work,
    ) -> Self {
        Self {
            run,
            done_ms: 0,
            work_ms,
            percent: 100,
            cpu_millis,
            is_serving,
            is_long_running,
            fails,
            waits_for_gang: false,
            waited_ms: 0,
        }
    }

    /// Returns the progress that the worker reports, in percent.
    pub fn reported_percent(&self) -> u32 {
        let total_ms = if self.is_long_running { STARTUP_MS } else { self.work_ms };
        (self.done_ms * 100 / total_ms).min(100) as u32
    }
}

/// The properties of a task that matter to its worker.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    pub work_ms: u64,
    pub cpu_millis: u32,
    pub is_serving: bool,
    pub is_long_running: bool,
    pub fails: bool,
}

/// An order that is carried out at a later time.
#[derive(Debug)]
struct DeferredOrder {
    at: Time,
    token: u64,
    lease_until_ms: u64,
    order: Order,
    work: Work,
}

/// A simulated worker.
#[derive(Debug)]
pub struct FakeWorker {
    pub entry: WorkerEntry,
    /// The behaviour of the worker.
    pub behaviour: Behaviour,
    /// Whether the worker has left the list.
    pub unlisted: bool,
    /// The earlier capacities, in thousandths of a core, each with the time at which it changed.
    pub earlier_cores: Vec<(Time, u32)>,
    pub running: BTreeMap<TaskName, Running>,
    pub ended: Vec<RunEnd>,
    pub token: u64,
    /// When the fencing token rose.
    token_raised_at: Time,
    /// The lead of the worker's clock over the owner's, in milliseconds.
    pub clock_ahead_ms: u64,
    /// Whether answers to orders contain the incarnation, as reports do.
    pub answers_contain_incarnation: bool,
    /// The end of the lease on the worker's clock, in milliseconds.
    pub leased_until_ms: u64,
    /// The acknowledged ends with the times at which they occurred, except those after which the lease expired before
    /// the acknowledgement.
    pub acknowledged_ends: Vec<(Time, RunEnd)>,
    /// The poll that waits for an answer, with the time at which it was sent.
    pub current_poll: Option<(InstanceNo, Poll, Time)>,
    /// Earlier polls that still wait: an owner may hold two instances of a worker at the same time.
    pub earlier_polls: Vec<(InstanceNo, Poll, Time)>,
    /// The delay after which a late worker carries out orders.
    pub order_delay: Duration,
    deferred: VecDeque<DeferredOrder>,
    /// The ends in a late answer, with the time of its arrival and the instance to which it belongs.
    pub late_answer: Option<(Time, InstanceNo, Vec<RunEnd>)>,
    /// The tasks that this worker completed.
    pub completed: Vec<TaskName>,
    /// The number of runs whose lease expired.
    pub expired_runs: u32,
    next_end_number: u64,
    /// The times of the ends that are not acknowledged, by number.
    end_times: BTreeMap<u64, Time>,
    /// The number of the last end that was reported.
    last_reported_end: u64,
}

impl FakeWorker {
    /// Creates a healthy and idle worker with a number.
    pub fn new(no: u32) -> Self {
        let entry = WorkerEntry {
            id: format!("w{no}").as_str().into(),
            incarnation: None,
            machine: Some(format!("m{no}")),
            service: "desk".to_owned(),
            address: format!("10.0.0.{no}:80"),
            zone: "a".to_owned(),
            rack: format!("r{}", no / 4),
            draining: false,
            remaining_ms: None,
            capacity: Resources::new(4_000, 8_192, 0),
            labels: vec!["plain".to_owned(), format!("r{}", no / 4)],
        };
        Self::with_entry(entry)
    }

    /// Creates a healthy and idle worker with an entry.
    pub fn with_entry(entry: WorkerEntry) -> Self {
        Self {
            entry,
            behaviour: Behaviour::Healthy,
            unlisted: false,
            earlier_cores: Vec::new(),
            running: BTreeMap::new(),
            ended: Vec::new(),
            token: 0,
            token_raised_at: Time::ZERO,
            clock_ahead_ms: 0,
            answers_contain_incarnation: false,
            leased_until_ms: 0,
            acknowledged_ends: Vec::new(),
            current_poll: None,
            earlier_polls: Vec::new(),
            order_delay: DEFAULT_ORDER_DELAY,
            deferred: VecDeque::new(),
            late_answer: None,
            completed: Vec::new(),
            expired_runs: 0,
            next_end_number: 1,
            end_times: BTreeMap::new(),
            last_reported_end: 0,
        }
    }

    /// Crashes the worker: it loses its runs and ends, and no longer answers.
    pub fn crash(&mut self) {
        self.behaviour = Behaviour::Crashed;
        self.running.clear();
        self.ended.clear();
    }

    /// Returns the time on the worker's clock, in milliseconds.
    fn clock_ms(&self, now: Time) -> u64 {
        now.as_ms() + self.clock_ahead_ms
    }

    /// Extends the lease up to a time on the worker's clock, limited by the longest lease that it grants.
    fn lease(&mut self, now: Time, until_ms: u64) {
        let granted_ms = until_ms.min(self.clock_ms(now) + LONGEST_LEASE_MS);
        self.leased_until_ms = self.leased_until_ms.max(granted_ms);
    }

    fn raise_token(&mut self, now: Time, token: u64) {
        if token > self.token {
            self.token = token;
            self.token_raised_at = now;
        }
    }

    /// Carries out an order, or refuses it.
    pub fn carry_out(
        &mut self,
        now: Time,
        token: u64,
        lease_until_ms: u64,
        order: &Order,
        work: Work,
    ) -> OrderAnswer {
        if token < self.token {
            return OrderAnswer::Refused(OrderRefusal::Fenced);
        }
        self.raise_token(now, token);
        let clock_ms = self.clock_ms(now);
        match order {
            Order::Start(_) if lease_until_ms <= clock_ms => {
                return OrderAnswer::Refused(OrderRefusal::Late);
            }
            Order::Start(start) => {
                self.lease(now, lease_until_ms);
                self.running.insert(start.task, Running::new(start.run, work));
                self.check_capacity(now);
            }
            Order::Stop { task, run } => {
                if self.running.get(task).is_some_and(|running| running.run == *run) {
                    self.end(now, *task, RunResult::Stopped);
                }
            }
            Order::Pace { task, percent, .. } => {
                if let Some(running) = self.running.get_mut(task) {
                    running.percent = *percent;
                }
            }
        }
        let incarnation = self.entry.incarnation.filter(|_| self.answers_contain_incarnation);
        OrderAnswer::Done { clock_ms, incarnation }
    }

    /// Panics if the runs use more than the largest capacity that the worker had recently.
    fn check_capacity(&self, now: Time) {
        if self.earlier_cores.is_empty() {
            return;
        }
        let recent =
            self.earlier_cores.iter().filter(|(until, _)| now.since(*until) <= SHRINK_GRACE);
        let max_cores =
            recent.map(|(_, cores)| *cores).chain([self.entry.capacity.cpu_millis.0]).max();
        let used = self.running.values().map(|running| running.cpu_millis).sum::<u32>();
        assert!(Some(used) <= max_cores, "{} uses {used} of {max_cores:?} at {now}", self.entry.id);
    }

    /// Defers an order to a later time.
    pub fn defer(&mut self, at: Time, token: u64, lease_until_ms: u64, order: &Order, work: Work) {
        let order = order.clone();
        self.deferred.push_back(DeferredOrder { at, token, lease_until_ms, order, work });
    }

    /// Returns whether deferred orders remain.
    pub fn has_deferred_orders(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Carries out the deferred orders that are due. Returns the start orders that succeeded.
    pub fn carry_out_deferred(&mut self, now: Time) -> Vec<StartOrder> {
        let mut started = Vec::new();
        while let Some(due) = self.deferred.pop_front_if(|due| due.at <= now) {
            let answer = self.carry_out(now, due.token, due.lease_until_ms, &due.order, due.work);
            if let (OrderAnswer::Done { .. }, Order::Start(start)) = (answer, due.order) {
                started.push(start);
            }
        }
        started
    }

    /// Answers a poll. Returns `None` while the poll may wait.
    pub fn answer_poll(
        &mut self,
        now: Time,
        (instance, poll, sent_at): (InstanceNo, Poll, Time),
        tail_ms: fn(&FakeWorker) -> u32,
    ) -> Option<Result<Report, PollFailure>> {
        if self.behaviour == Behaviour::Crashed {
            return Some(Err(PollFailure::Unanswered));
        }
        let waited = now.since(sent_at);
        if matches!(
            self.behaviour,
            Behaviour::Partitioned | Behaviour::PartitionedAfterStart | Behaviour::AnswersPollsLate
        ) {
            if !is_timed_out(&poll, waited) {
                return None;
            }
            if self.behaviour == Behaviour::AnswersPollsLate {
                self.late_answer = Some((now + LATE_ANSWER_DELAY, instance, self.ended.clone()));
            }
            return Some(Err(PollFailure::Unanswered));
        }
        match poll.token < self.token {
            true if !self.is_waiting(&poll, sent_at) => return Some(Err(PollFailure::Fenced)),
            true => {}
            false => {
                self.raise_token(now, poll.token);
                if let Some(until_ms) = poll.lease_until_ms {
                    self.lease(now, until_ms);
                }
                self.acknowledge_ends(poll.acknowledged_end);
            }
        }
        if self.ended.is_empty() && waited < Duration::from_millis(poll.wait_ms.into()) {
            return None;
        }
        Some(Ok(self.report(now, tail_ms(self))))
    }

    /// Returns whether a poll arrived before a higher token, and waits for an end.
    fn is_waiting(&self, poll: &Poll, sent_at: Time) -> bool {
        poll.token < self.token && sent_at < self.token_raised_at
    }

    /// Returns whether the worker answers such a poll now.
    pub fn answers_waiting_poll(&self, now: Time, poll: &Poll, sent_at: Time) -> bool {
        let wait_is_over = now.since(sent_at) >= Duration::from_millis(poll.wait_ms.into());
        self.is_waiting(poll, sent_at) && (wait_is_over || !self.ended.is_empty())
    }

    /// Removes the ends up to a number, which are acknowledged.
    fn acknowledge_ends(&mut self, last: u64) {
        let (acknowledged, remaining) =
            mem::take(&mut self.ended).into_iter().partition(|end| end.number <= last);
        self.ended = remaining;
        let acknowledged: Vec<RunEnd> = acknowledged;
        let at = |end: RunEnd| Some((self.end_times.remove(&end.number)?, end));
        self.acknowledged_ends.extend(acknowledged.into_iter().filter_map(at));
    }

    /// Returns whether an answer reports ends, all of which have been reported before.
    pub fn repeats_known_ends(&mut self, answer: &Result<Report, PollFailure>) -> bool {
        let Some(last) = answer.as_ref().ok().and_then(|report| report.ended.last()) else {
            return false;
        };
        let is_stale = last.number <= self.last_reported_end;
        self.last_reported_end = last.number;
        is_stale
    }

    /// Returns a report of the runs and ends.
    fn report(&self, now: Time, tail_ms: u32) -> Report {
        let running = self.running.iter().map(|(&task, running)| RunningTask {
            task,
            run: running.run,
            checkpoint: Some(format!("{task}@{}", running.done_ms)),
            percent: running.reported_percent(),
            gauge: Some(match running.is_serving {
                true => tail_ms,
                false => running.cpu_millis * u32::from(running.percent) / 100,
            }),
        });
        Report {
            incarnation: self.entry.incarnation,
            clock_ms: self.clock_ms(now),
            running: running.collect(),
            ended: self.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            lists_all_ends: self.ended.len() < MAX_LISTED_ENDS,
        }
    }

    /// Advances the worker by one step of the clock.
    pub fn work(&mut self, now: Time) {
        let expired = self.leased_until_ms <= self.clock_ms(now);
        if expired {
            self.end_times.clear();
        }
        if !self.running.is_empty() && expired {
            for task in self.running.keys().copied().collect::<Vec<_>>() {
                self.end(now, task, RunResult::Lapsed);
            }
        }
        let behaviour = self.behaviour;
        for running in self
            .running
            .values_mut()
            .filter(|run| behaviour.progresses_at(now) && !run.waits_for_gang)
        {
            running.done_ms += STEP.as_millis() as u64 * u64::from(running.percent) / 100;
        }
        for running in self.running.values_mut().filter(|running| running.waits_for_gang) {
            running.waited_ms += STEP.as_millis() as u64;
        }
        let ended_runs = self.running.iter().filter_map(|(&task, running)| match behaviour {
            _ if running.waited_ms >= GANG_TIMEOUT_MS => Some((task, RunResult::Alone)),
            Behaviour::Failing if running.done_ms >= FAILS_AFTER_MS => {
                Some((task, RunResult::Failed))
            }
            _ if running.fails && running.done_ms >= FAILS_AFTER_MS => {
                Some((task, RunResult::Failed))
            }
            _ if running.done_ms >= running.work_ms => Some((task, RunResult::Done)),
            _ => None,
        });
        for (task, how) in ended_runs.collect::<Vec<_>>() {
            self.end(now, task, how);
        }
    }

    /// Ends the runs of a gang after one of its members was lost.
    pub fn end_gang_members(&mut self, now: Time, lost: TaskName) {
        let is_member = |task: &TaskName| TaskName { index: lost.index, ..*task } == lost;
        let members = self.running.keys().copied().filter(is_member);
        for task in members.collect::<Vec<_>>() {
            self.end(now, task, RunResult::Broken);
        }
    }

    /// Ends a run.
    fn end(&mut self, now: Time, task: TaskName, how: RunResult) {
        let Some(running) = self.running.remove(&task) else { return };
        match how {
            RunResult::Done => self.completed.push(task),
            RunResult::Lapsed => self.expired_runs += 1,
            _ => {}
        }
        let checkpoint = Some(format!("{task}@{}", running.done_ms));
        let number = self.next_end_number;
        self.next_end_number += 1;
        self.end_times.insert(number, now);
        self.ended.push(RunEnd { number, task, run: running.run, how, checkpoint });
    }
}

/// Returns the outcome of a poll that does not reach its worker: `None` until the owner considers it unanswered.
pub(super) fn answer_unreachable_poll(
    now: Time,
    poll: &Poll,
    sent_at: Time,
) -> Option<Result<Report, PollFailure>> {
    is_timed_out(poll, now.since(sent_at)).then_some(Err(PollFailure::Unanswered))
}

/// Returns whether the owner considers a poll unanswered.
fn is_timed_out(poll: &Poll, waited: Duration) -> bool {
    waited >= Duration::from_millis(poll.wait_ms.into()) + POLL_MARGIN
}
