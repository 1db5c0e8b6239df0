//! A simulated fleet on virtual time: workers, a store and the scheduler.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod crashes;
mod listing;
mod owners;
mod predecessor;
mod processor;
mod restarts;
mod specs;
pub mod steady_load;
mod worker;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    mem,
    time::{Duration, Instant},
};

use kitetrail_core::{
    Time,
    jobs::{
        Action, EffectsRecord, Event, InheritedState, InstanceNo, InstanceRecord, JobId, JobRecord,
        JobRequestId, JobSpec, JobState, LeaseRecord, LoadParts, LogEntry, OperatorRows, Order,
        OrderAnswer, Outcome, Poll, PollFailure, ProgressKey, ProgressRecord, QueueTerms, Record,
        RunResult, Scheduler, SubmitAnswer, TaskName, WorkerEntry,
    },
};

pub use crashes::Crashes;
pub use owners::EARLIER_LEASES_EXPIRE_AFTER_MS;
use owners::{check_batch, scheduler};
pub use predecessor::{InFlight, Predecessor};
pub use processor::Processor;
use restarts::AcknowledgedEnds;
pub use specs::{job, queue, step, task};
pub use worker::{Behaviour, FakeWorker};
use worker::{Work, answer_unreachable_poll};

/// The Unix time at which the virtual clock is zero, in milliseconds.
pub const CLOCK_ZERO_UNIX_MS: u64 = 1_780_000_000_000;
/// A fencing token of the owner with epoch 9. Tokens of an owner start at 2^20 times its epoch.
pub const TOKEN_OF_LATER_OWNER: u64 = 9 << 20;
/// One step of the virtual clock.
pub const STEP: Duration = Duration::from_millis(10);
/// The default time that the store takes to commit a batch.
const DEFAULT_STORE_LATENCY: Duration = Duration::from_millis(10);

/// A simulated fleet.
pub struct SimulatedFleet {
    pub now: Time,
    pub scheduler: Scheduler,
    /// The parts of scheduling under load that each owner uses.
    pub parts: LoadParts,
    pub workers: BTreeMap<String, FakeWorker>,
    pub log_entries: Vec<(Time, LogEntry)>,
    pub answers: Vec<(Time, Action)>,
    /// The starts of runs, in order: the time, the task, the run and the worker.
    pub starts: Vec<(Time, TaskName, u32, String)>,
    /// The start orders that the scheduler sent, in order: the time, the task and the worker.
    pub start_orders: Vec<(Time, TaskName, String)>,
    /// The contents of the store: this field and the next four.
    pub jobs: BTreeMap<JobId, JobRecord>,
    pub progress: BTreeMap<ProgressKey, ProgressRecord>,
    pub instances: BTreeMap<String, InstanceRecord>,
    pub effects: EffectsRecord,
    pub longest_lease: Option<LeaseRecord>,
    /// The operators' rows.
    pub operator_rows: OperatorRows,
    /// The tasks that crash their workers, and a record of the crashes.
    pub crashes: Crashes,
    /// The jobs whose tasks fail on every worker.
    pub failing_jobs: BTreeSet<JobId>,
    /// Instances that crashed and were replaced: on their machines a new instance answers.
    replaced_instances: BTreeSet<String>,
    /// The polls to replaced instances, which reached the new instance.
    polls_to_replaced_instances: Vec<(InstanceNo, Poll, Time)>,
    /// The polls whose connection broke when their worker crashed.
    interrupted_polls: Vec<(InstanceNo, Poll, Time)>,
    /// The delay of answers to orders.
    pub order_answer_delay: Duration,
    order_answers: VecDeque<(Time, Event)>,
    /// The number of restarts of workers under their ids.
    restarts: u64,
    /// The ends of runs that were acknowledged to workers, by task.
    acknowledged_ends: AcknowledgedEnds,
    /// Whether the store is unavailable.
    pub store_down: bool,
    /// The time that the store takes to commit a batch.
    pub store_latency: Duration,
    /// Whether the store permanently refuses a record: then it takes none about the same subject.
    pub refuses_record: fn(&Record) -> bool,
    /// The work of a task, in milliseconds, if it differs from its estimate.
    pub task_duration_ms: Option<u64>,
    /// The time after which a long-running task ends on its own, in milliseconds.
    pub long_running_ms: u64,
    /// The tail latency that a serving task reports, in milliseconds, depending on the best-effort tasks on its worker.
    pub tail_ms: fn(&FakeWorker) -> u32,
    pub deposed: bool,
    /// The workers that the owner can't reach.
    pub unreachable_workers: BTreeSet<String>,
    /// Whether the owner's polls of such workers fail at once, as when the network resets their connections.
    pub refuses_unreachable_polls: bool,
    /// The previous owner, while it does not know that it was replaced.
    pub predecessor: Option<Predecessor>,
    /// The processor time of the owner, if it is limited.
    pub processor: Option<Processor>,
    /// The number of events that the scheduler handled.
    pub events: u64,
    /// The number of polls that the scheduler requested.
    pub polls: u64,
    polls_by_worker: BTreeMap<String, u64>,
    /// The number of answers to polls that reported only ends reported before.
    pub stale_answers: u64,
    /// The real time that the scheduler spent on events.
    pub handling_time: Duration,
    /// The number of memory allocations of the scheduler.
    pub allocations: u64,
    batches: VecDeque<(Time, u64, Vec<Record>)>,
    next_request: u64,
    specs: BTreeMap<JobId, JobSpec>,
    /// The jobs submitted by requests.
    submitted_jobs: BTreeMap<JobRequestId, JobId>,
}

impl SimulatedFleet {
    /// Creates a fleet of workers with four cores each, and a scheduler that knows them.
    pub fn new(workers: u32) -> Self {
        Self::with_workers((0..workers).map(FakeWorker::new))
    }

    /// Creates a fleet of the given workers, and a scheduler that knows them.
    pub fn with_workers(workers: impl IntoIterator<Item = FakeWorker>) -> Self {
        Self::with_parts(workers, LoadParts::default())
    }

    /// Creates a fleet of the given workers, and a scheduler that uses the given parts of scheduling under load.
    pub fn with_parts(workers: impl IntoIterator<Item = FakeWorker>, parts: LoadParts) -> Self {
        let by_id = |worker: FakeWorker| (worker.entry.id.to_string(), worker);
        let mut fleet = Self {
            now: Time::from_ms(1_000),
            scheduler: scheduler(1, InheritedState::default(), Time::from_ms(1_000), &parts),
            parts,
            workers: workers.into_iter().map(by_id).collect(),
            log_entries: Vec::new(),
            answers: Vec::new(),
            starts: Vec::new(),
            start_orders: Vec::new(),
            jobs: BTreeMap::new(),
            progress: BTreeMap::new(),
            instances: BTreeMap::new(),
            effects: EffectsRecord::default(),
            longest_lease: None,
            operator_rows: OperatorRows::default(),
            crashes: Crashes::default(),
            failing_jobs: BTreeSet::new(),
            replaced_instances: BTreeSet::new(),
            polls_to_replaced_instances: Vec::new(),
            interrupted_polls: Vec::new(),
            order_answer_delay: Duration::ZERO,
            order_answers: VecDeque::new(),
            restarts: 0,
            acknowledged_ends: AcknowledgedEnds::default(),
            store_down: false,
            store_latency: DEFAULT_STORE_LATENCY,
            refuses_record: |_| false,
            task_duration_ms: None,
            long_running_ms: 600_000,
            tail_ms: |_| 10,
            deposed: false,
            unreachable_workers: BTreeSet::new(),
            refuses_unreachable_polls: false,
            predecessor: None,
            processor: None,
            events: 0,
            polls: 0,
            polls_by_worker: BTreeMap::new(),
            stale_answers: 0,
            handling_time: Duration::ZERO,
            allocations: 0,
            batches: VecDeque::new(),
            next_request: 0,
            specs: BTreeMap::new(),
            submitted_jobs: BTreeMap::new(),
        };
        fleet.report_all_listed();
        fleet.advance_ms(200);
        fleet
    }

    /// Submits a job.
    pub fn submit(&mut self, id: u64, spec: JobSpec) -> JobRequestId {
        self.submit_with(queue(), id, spec, None)
    }

    /// Submits a job for a caller that has this much time left, if it says so.
    pub fn submit_within(
        &mut self,
        id: u64,
        spec: JobSpec,
        time_left: Option<Duration>,
    ) -> JobRequestId {
        self.submit_with(queue(), id, spec, time_left)
    }

    /// Submits a job to a queue.
    pub fn submit_to(&mut self, queue: QueueTerms, id: u64, spec: JobSpec) -> JobRequestId {
        self.submit_with(queue, id, spec, None)
    }

    fn submit_with(
        &mut self,
        queue: QueueTerms,
        id: u64,
        spec: JobSpec,
        time_left: Option<Duration>,
    ) -> JobRequestId {
        let request = self.request();
        if self.state(id).is_none() {
            self.acknowledged_ends.remove_job(JobId(id));
        }
        self.specs.insert(JobId(id), spec.clone());
        self.submitted_jobs.insert(request, JobId(id));
        let (job, spec) = (JobId(id), Box::new(spec));
        let answer_by = time_left.map(|time_left| self.now + time_left);
        self.send_event(Event::Submit { request, job, queue, spec, answer_by });
        request
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: u64) -> JobRequestId {
        let request = self.request();
        self.send_event(Event::Cancel { request, job: JobId(id) });
        request
    }

    /// Returns the state of a job that callers see.
    pub fn state(&self, id: u64) -> Option<JobState> {
        self.scheduler.state(JobId(id))
    }

    /// Returns the final state of a job from the scheduler's log entries, even if the scheduler has dropped the job.
    pub fn final_state(&self, id: u64) -> Option<JobState> {
        self.log_entries.iter().rev().find_map(|(_, entry)| match entry {
            LogEntry::JobEnded { job, state, .. } if *job == JobId(id) => Some(*state),
            _ => None,
        })
    }

    /// Returns the time from a moment until a job was completed, `None` if it was not.
    pub fn completed_after(&self, id: u64, moment: Time) -> Option<Duration> {
        let completes_job = |entry: &LogEntry| matches!(entry, LogEntry::JobEnded { job, state: JobState::Completed, .. } if *job == JobId(id));
        let ended = self.log_entries.iter().find(|(_, entry)| completes_job(entry));
        ended.map(|(at, _)| at.since(moment))
    }

    /// Returns when a request was answered.
    pub fn answered_at(&self, request: JobRequestId) -> Option<Time> {
        let answers_request = |action: &Action| match action {
            Action::AnswerSubmit(no, _) | Action::AnswerCancel(no, _) => *no == request,
            _ => false,
        };
        self.answers.iter().find(|(_, action)| answers_request(action)).map(|(at, _)| *at)
    }

    /// Returns whether a submission was refused, `None` if it has no answer yet.
    pub fn is_refused(&self, request: JobRequestId) -> Option<bool> {
        self.answers.iter().find_map(|(_, action)| match action {
            Action::AnswerSubmit(no, answer) if *no == request => {
                Some(matches!(answer, SubmitAnswer::Refused { .. }))
            }
            _ => None,
        })
    }

    /// Returns the number of polls sent to a worker.
    pub fn polls_of(&self, id: &str) -> u64 {
        self.polls_by_worker.get(id).copied().unwrap_or(0)
    }

    /// Advances the clock.
    pub fn advance_ms(&mut self, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        while self.now < until {
            self.now = self.now + STEP;
            self.step_workers();
            self.step_crashes();
            self.step_store();
            self.step_predecessor();
            match self.processor.is_some() {
                true => self.handle_queued_events(),
                false => self.send_event(Event::Tick),
            }
        }
    }

    /// Advances the clock until a condition holds. Panics if it does not hold within a minute.
    pub fn advance_until(&mut self, condition: &str, holds: impl Fn(&SimulatedFleet) -> bool) {
        let until = self.now + Duration::from_secs(60);
        while !holds(self) {
            assert!(self.now < until, "not within a minute: {condition}");
            self.advance_ms(10);
        }
    }

    /// Returns a worker, for example to change its behaviour.
    pub fn worker(&mut self, id: &str) -> &mut FakeWorker {
        self.workers.get_mut(id).expect("the fleet has this worker")
    }

    /// Sets the behaviour of all workers.
    pub fn set_behaviours(&mut self, behaviour: Behaviour) {
        self.workers.values_mut().for_each(|worker| worker.behaviour = behaviour);
    }

    /// Returns the worker that runs a task. Panics if no worker does.
    pub fn worker_of(&self, name: TaskName) -> String {
        self.workers_running(name)[0].to_owned()
    }

    /// Returns the workers that run a task.
    pub fn workers_running(&self, name: TaskName) -> Vec<&str> {
        let runs = self.workers.iter().filter(|(_, worker)| worker.running.contains_key(&name));
        runs.map(|(id, _)| id.as_str()).collect()
    }

    /// Sends an event to the scheduler, which handles it at once or when its processor time allows.
    pub fn send_event(&mut self, event: Event) {
        match &mut self.processor {
            Some(processor) => processor.enqueue(event),
            None => self.handle_event(event),
        }
    }

    /// Handles as many queued events as the processor time of one step of the clock allows.
    fn handle_queued_events(&mut self) {
        while let Some(event) =
            self.processor.as_mut().and_then(|processor| processor.next(self.now))
        {
            self.handle_event(event);
        }
    }

    /// Lets the scheduler handle an event and performs its actions.
    fn handle_event(&mut self, event: Event) {
        let unix_ms = CLOCK_ZERO_UNIX_MS + self.now.as_ms();
        let started = Instant::now();
        let mut actions = Vec::new();
        let measured = allocation_counter::measure(|| {
            actions = self.scheduler.handle(event, self.now, unix_ms);
        });
        self.handling_time += started.elapsed();
        self.allocations += measured.count_total;
        self.events += 1;
        for action in actions {
            self.perform(action);
        }
    }

    fn request(&mut self) -> JobRequestId {
        self.next_request += 1;
        JobRequestId(self.next_request)
    }

    /// Performs an action of the scheduler.
    fn perform(&mut self, action: Action) {
        match action {
            Action::Order { instance, entry, token, lease_until_ms, order } => {
                let answer = match self.listens_at(&entry)
                    && !self.unreachable_workers.contains(entry.id.as_str())
                {
                    true => self.deliver_order(entry.id.as_str(), token, lease_until_ms, &order),
                    false => OrderAnswer::Unanswered,
                };
                let answered = Event::OrderAnswered { instance, order, answer };
                match self.order_answer_delay.is_zero() {
                    true => self.send_event(answered),
                    false => {
                        let at = self.now + self.order_answer_delay;
                        self.order_answers.push_back((at, answered));
                    }
                }
            }
            Action::Poll { instance, entry, poll } => {
                self.polls += 1;
                *self.polls_by_worker.entry(entry.id.to_string()).or_default() += 1;
                match self.listens_at(&entry) {
                    true => self.deliver_poll(instance, entry.id.as_str(), poll),
                    false => self.interrupted_polls.push((instance, poll, self.now)),
                }
            }
            Action::Commit { batch, records } => {
                check_batch(&records);
                self.batches.push_back((self.now + self.store_latency, batch, records));
            }
            Action::Log(entry) => self.log_entries.push((self.now, entry)),
            Action::Deposed => self.deposed = true,
            answer => {
                self.check_accepted_is_stored(&answer);
                self.answers.push((self.now, answer));
            }
        }
    }

    /// Returns whether a worker still listens at the address of an entry. A restarted worker may not.
    fn listens_at(&self, entry: &WorkerEntry) -> bool {
        let worker = self.workers.get(entry.id.as_str());
        worker.is_none_or(|worker| worker.entry.address == entry.address)
    }

    /// Panics if a job is reported as accepted without a record in the store.
    fn check_accepted_is_stored(&self, answer: &Action) {
        if let Action::AnswerSubmit(request, SubmitAnswer::Accepted) = answer {
            let id = self.submitted_jobs[request];
            let is_stored =
                self.jobs.contains_key(&id) || self.progress.contains_key(&ProgressKey::first(id));
            assert!(is_stored, "{id} is accepted without a record in the store");
        }
    }

    /// Delivers an order to a worker and returns its answer.
    fn deliver_order(
        &mut self,
        id: &str,
        token: u64,
        lease_until_ms: u64,
        order: &Order,
    ) -> OrderAnswer {
        let now = self.now;
        let work = self.work_of(order.run().0);
        if let Order::Start(start) = order {
            self.start_orders.push((now, start.task, id.to_owned()));
        }
        if self.replaced_instances.contains(id) {
            return OrderAnswer::LifeOver;
        }
        let worker = self.workers.get_mut(id).expect("orders go to workers of the fleet");
        match (worker.behaviour, order) {
            (Behaviour::AnswersStartsLate | Behaviour::PartitionedAfterStart, Order::Start(_)) => {
                worker.defer(now + worker.order_delay, token, lease_until_ms, order, work);
                OrderAnswer::Unanswered
            }
            (Behaviour::Partitioned | Behaviour::PartitionedAfterStart | Behaviour::Crashed, _)
            | (Behaviour::IgnoresStops, Order::Stop { .. }) => OrderAnswer::Unanswered,
            _ => {
                let answer = worker.carry_out(now, token, lease_until_ms, order, work);
                if let (OrderAnswer::Done { .. }, Order::Start(start)) = (answer, order) {
                    self.starts.push((now, start.task, start.run, id.to_owned()));
                }
                answer
            }
        }
    }

    /// Returns the work of a task.
    fn work_of(&self, name: TaskName) -> Work {
        let spec = self.specs.get(&name.job).map(|spec| &spec.steps[name.step as usize]);
        Work {
            work_ms: match spec.is_some_and(|step| step.long_running) {
                true => self.long_running_ms,
                false => {
                    self.task_duration_ms.or(spec.map(|step| step.estimate_ms)).unwrap_or(1_000)
                }
            },
            cpu_millis: spec.map_or(0, |step| step.size.cpu_millis.0),
            is_serving: spec.is_some_and(|step| step.tail_target_ms.is_some()),
            is_long_running: spec.is_some_and(|step| step.long_running),
            fails: self.failing_jobs.contains(&name.job),
        }
    }

    /// Delivers a poll to a worker.
    fn deliver_poll(&mut self, instance: InstanceNo, id: &str, poll: Poll) {
        let now = self.now;
        if self.replaced_instances.contains(id) {
            self.polls_to_replaced_instances.push((instance, poll, now));
        }
        self.check_acknowledged_are_stored(id, poll.acknowledged_end);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.earlier_polls.extend(worker.current_poll.replace((instance, poll, now)));
        }
    }

    /// Panics if an end is acknowledged to a worker that is not stored.
    fn check_acknowledged_are_stored(&self, id: &str, last_acknowledged: u64) {
        let ends = self.workers.get(id).into_iter().flat_map(|worker| &worker.ended);
        for end in ends.filter(|end| end.number <= last_acknowledged && end.how == RunResult::Done)
        {
            let name = end.task;
            if self.work_of(name).is_long_running {
                // A long-running task runs until its job is cancelled, so its end changes nothing.
                continue;
            }
            // A dropped job, or one that was never stored, has no records.
            let stored = self.progress_of(name.job).collect::<Vec<_>>();
            if stored.is_empty() {
                assert!(
                    !self.jobs.contains_key(&name.job),
                    "the store holds no record of the end of {name}"
                );
                continue;
            }
            let is_done = |part: &&ProgressRecord| {
                let step = part.occurrences.get(&name.occurrence);
                let step = step.and_then(|occurrence| occurrence.steps.get(name.step as usize));
                step.is_some_and(|step| step.is_done(name.index))
            };
            let is_over = |part: &&ProgressRecord| {
                part.outcome != Outcome::Open || part.done_before > name.occurrence
            };
            let is_stored = stored.iter().any(|part| is_done(part) || is_over(part));
            assert!(is_stored, "the end of {name} is not stored");
        }
    }

    /// Advances the workers by one step of the clock and sends their answers to the scheduler.
    fn step_workers(&mut self) {
        let (now, tail_ms) = (self.now, self.tail_ms);
        let mut answers = Vec::new();
        while let Some((_, answered)) = self.order_answers.pop_front_if(|(at, _)| *at <= now) {
            answers.push(answered);
        }
        for (instance, poll, sent_at) in self.polls_to_replaced_instances.drain(..) {
            answers.push(Event::PollAnswered {
                instance,
                poll,
                sent_at,
                answer: Err(PollFailure::InstanceOver),
            });
        }
        for (instance, poll, sent_at) in self.interrupted_polls.drain(..) {
            let answer = Err(PollFailure::Unanswered);
            answers.push(Event::PollAnswered { instance, poll, sent_at, answer });
        }
        self.mark_waiting_gangs();
        for (id, worker) in &mut self.workers {
            let is_cut = self.unreachable_workers.contains(id);
            worker.work(now);
            for start in worker.carry_out_deferred(now) {
                self.starts.push((now, start.task, start.run, id.clone()));
            }
            if let Some((_, instance, ended)) = worker.late_answer.take_if(|(at, ..)| *at <= now) {
                let incarnation = worker.entry.incarnation;
                answers.push(Event::LateReport { instance, incarnation, ended });
            }
            let open_polls =
                mem::take(&mut worker.earlier_polls).into_iter().chain(worker.current_poll.take());
            for (instance, poll, sent_at) in open_polls.collect::<Vec<_>>() {
                let answer = match is_cut {
                    true if self.refuses_unreachable_polls => Some(Err(PollFailure::Unanswered)),
                    true => answer_unreachable_poll(now, &poll, sent_at),
                    false => worker.answer_poll(now, (instance, poll, sent_at), tail_ms),
                };
                if let Some(answer) = answer {
                    self.stale_answers += u64::from(worker.repeats_known_ends(&answer));
                    answers.push(Event::PollAnswered { instance, poll, sent_at, answer });
                } else {
                    worker
                        .earlier_polls
                        .extend(worker.current_poll.replace((instance, poll, sent_at)));
                }
            }
        }
        for answer in answers {
            self.send_event(answer);
        }
        self.check_single_runs();
        self.check_acknowledged_ends();
        self.check_used_workers_are_stored();
    }

    /// Makes the members of a gang wait until all of the same run are present.
    fn mark_waiting_gangs(&mut self) {
        let mut present = BTreeMap::<(TaskName, u32), u32>::new();
        let first = |name: &TaskName| TaskName { index: 0, ..*name };
        for (name, running) in self.workers.values().flat_map(|worker| &worker.running) {
            *present.entry((first(name), running.run)).or_default() += 1;
        }
        let specs = &self.specs;
        for worker in self.workers.values_mut() {
            for (name, running) in &mut worker.running {
                let spec = specs.get(&name.job).and_then(|spec| spec.steps.get(name.step as usize));
                let count = spec.filter(|step| step.gang).map_or(0, |step| step.count);
                running.waits_for_gang = present[&(first(name), running.run)] < count;
            }
        }
    }

    /// Panics if a worker that runs a task, or is still to carry out an order, has no row in the store: a new owner would
    /// not ask it.
    fn check_used_workers_are_stored(&self) {
        let is_used =
            |worker: &&FakeWorker| !worker.running.is_empty() || worker.has_deferred_orders();
        for worker in self.workers.values().filter(is_used) {
            let WorkerEntry { id, address, .. } = &worker.entry;
            // A new instance that got an order for the one before it is reached by the row of that one.
            let has_row_at_address =
                || self.instances.values().any(|row| row.id == *id && row.address == *address);
            let is_stored = self.instances.contains_key(&worker.entry.key().to_string());
            assert!(
                is_stored || has_row_at_address(),
                "{id} is in use and has no row at {}",
                self.now
            );
        }
    }

    /// Panics if a task runs on two workers, unless its step allows copies.
    fn check_single_runs(&self) {
        let copied = |name: &TaskName| {
            let spec =
                self.specs.get(&name.job).and_then(|spec| spec.steps.get(name.step as usize));
            spec.is_some_and(|step| step.copies_allowed)
        };
        let mut seen = BTreeSet::new();
        for name in self.workers.values().flat_map(|worker| worker.running.keys()) {
            let is_duplicate = !seen.insert(*name) && !copied(name);
            assert!(!is_duplicate, "{name} runs twice at {}", self.now);
        }
    }
}
