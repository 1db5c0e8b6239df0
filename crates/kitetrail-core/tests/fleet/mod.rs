//! A fleet on virtual time: workers, a store, and the scheduler.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod crashes;
mod listing;
mod owners;
mod predecessor;
mod processor;
mod restarts;
mod specs;
mod worker;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    mem,
    time::{Duration, Instant},
};

use kitetrail_core::{
    Time,
    jobs::{
        Action, EffectsRecord, Event, Hold, HoldFailure, HowEnded, Inheritance, JobId, JobRecord,
        JobSpec, JobState, LifeNo, LifeRecord, Note, Order, OrderAnswer, Outcome, ProgressRecord,
        Record, RequestNo, Scheduler, SubmitAnswer, TaskName, WorkerEntry,
    },
};

pub use crashes::Crashes;
use owners::scheduler;
pub use predecessor::{InFlight, Predecessor};
pub use processor::Processor;
use restarts::ToldKept;
pub use specs::{job, queue, step, task};
pub use worker::{FakeWorker, Mood};
use worker::{Work, hold_across_cut};

/// The time of day when the virtual clock stands at zero, in milliseconds since 1970.
pub const DAY_UNIX_MS: u64 = 1_780_000_000_000;
/// A fencing token of the owner with epoch 9: owners count above 2^20 times their epoch.
pub const TOKEN_OF_LATER_OWNER: u64 = 9 << 20;
/// One step of the virtual clock.
pub const STEP: Duration = Duration::from_millis(10);
/// The most records that the store takes in one batch: of 100 entries the owner's own rows need a few.
const MOST_RECORDS: usize = 95;
/// How long the store takes, unless it is told otherwise.
const STORE: Duration = Duration::from_millis(10);

/// The fleet.
pub struct World {
    pub now: Time,
    pub scheduler: Scheduler,
    pub workers: BTreeMap<String, FakeWorker>,
    pub notes: Vec<(Time, Note)>,
    pub answers: Vec<(Time, Action)>,
    /// Starts, in order: when, which task and run, on which worker.
    pub starts: Vec<(Time, TaskName, u32, String)>,
    /// Orders to start that left the scheduler, in order: when, which task, to which worker.
    pub start_orders: Vec<(Time, TaskName, String)>,
    /// What the store keeps.
    pub jobs: BTreeMap<JobId, JobRecord>,
    pub progress: BTreeMap<JobId, ProgressRecord>,
    pub lives: BTreeMap<String, LifeRecord>,
    pub effects: EffectsRecord,
    /// Tasks that crash their workers, and what came of it.
    pub crashes: Crashes,
    /// Workers' lives that crashed and whose machines live anew: there another life answers.
    over: BTreeSet<String>,
    /// Holds that reached such a machine.
    held_by_another: Vec<(LifeNo, Hold, Time)>,
    /// Holds whose connection broke as their worker crashed.
    broken_holds: Vec<(LifeNo, Hold, Time)>,
    /// How long answers to orders are on their way back.
    pub order_answers_take: Duration,
    order_answers: VecDeque<(Time, Event)>,
    /// How often workers started again under their ids.
    restarts: u64,
    /// What workers were told is kept, by task.
    told_kept: ToldKept,
    /// The store answers nothing.
    pub store_down: bool,
    /// How long it takes over a batch.
    pub store_takes: Duration,
    /// Work of a task, in milliseconds, if it is not its estimate.
    pub work_ms: Option<u64>,
    /// After how long a task that lasts ends by itself, in milliseconds.
    pub lasting_ms: u64,
    /// The tail that a serving task on a worker reports, in milliseconds, by what fills there.
    pub tail_ms: fn(&FakeWorker) -> u32,
    pub deposed: bool,
    /// Workers that the owner does not reach.
    pub cut_from: BTreeSet<String>,
    /// The owner before, while it does not know that it was succeeded.
    pub predecessor: Option<Predecessor>,
    /// The processor time of the owner, if it has a bounded one.
    pub processor: Option<Processor>,
    /// How many events the scheduler took.
    pub events: u64,
    /// How many holds it asked for.
    pub holds: u64,
    holds_by_worker: BTreeMap<String, u64>,
    /// How many of their answers told of nothing but ends that were told before.
    pub stale_answers: u64,
    /// The time that it took over them, by the machine's clock.
    pub spent: Duration,
    /// How often it allocated memory over them.
    pub allocations: u64,
    batches: VecDeque<(Time, u64, Vec<Record>)>,
    next_request: u64,
    specs: BTreeMap<JobId, JobSpec>,
    /// Which job a request handed in.
    handed_in: BTreeMap<RequestNo, JobId>,
}

impl World {
    /// A fleet of workers with four cores each, and a scheduler that knows them.
    pub fn new(workers: u32) -> Self {
        Self::with_workers((0..workers).map(FakeWorker::new))
    }

    /// A fleet of given workers, and a scheduler that knows them.
    pub fn with_workers(workers: impl IntoIterator<Item = FakeWorker>) -> Self {
        let by_id = |worker: FakeWorker| (worker.entry.id.to_string(), worker);
        let mut world = Self {
            now: Time::from_ms(1_000),
            scheduler: scheduler(1, Inheritance::default(), Time::from_ms(1_000)),
            workers: workers.into_iter().map(by_id).collect(),
            notes: Vec::new(),
            answers: Vec::new(),
            starts: Vec::new(),
            start_orders: Vec::new(),
            jobs: BTreeMap::new(),
            progress: BTreeMap::new(),
            lives: BTreeMap::new(),
            effects: EffectsRecord::default(),
            crashes: Crashes::default(),
            over: BTreeSet::new(),
            held_by_another: Vec::new(),
            broken_holds: Vec::new(),
            order_answers_take: Duration::ZERO,
            order_answers: VecDeque::new(),
            restarts: 0,
            told_kept: ToldKept::default(),
            store_down: false,
            store_takes: STORE,
            work_ms: None,
            lasting_ms: 600_000,
            tail_ms: |_| 10,
            deposed: false,
            cut_from: BTreeSet::new(),
            predecessor: None,
            processor: None,
            events: 0,
            holds: 0,
            holds_by_worker: BTreeMap::new(),
            stale_answers: 0,
            spent: Duration::ZERO,
            allocations: 0,
            batches: VecDeque::new(),
            next_request: 0,
            specs: BTreeMap::new(),
            handed_in: BTreeMap::new(),
        };
        world.list_all();
        world.run_ms(200);
        world
    }

    /// Hands a job in.
    pub fn submit(&mut self, id: u64, spec: JobSpec) -> RequestNo {
        let request = self.request();
        if self.state(id).is_none() {
            self.told_kept.forget(JobId(id));
        }
        self.specs.insert(JobId(id), spec.clone());
        self.handed_in.insert(request, JobId(id));
        let (job, queue) = (JobId(id), queue());
        self.tell(Event::Submit { request, job, queue, spec: Box::new(spec) });
        request
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: u64) -> RequestNo {
        let request = self.request();
        self.tell(Event::Cancel { request, job: JobId(id) });
        request
    }

    /// What callers are told of a job.
    pub fn state(&self, id: u64) -> Option<JobState> {
        self.scheduler.state(JobId(id))
    }

    /// How a job ended, as the log says, also after it was forgotten.
    pub fn ended_as(&self, id: u64) -> Option<JobState> {
        self.notes.iter().rev().find_map(|(_, note)| match note {
            Note::JobEnded { job, state, .. } if *job == JobId(id) => Some(*state),
            _ => None,
        })
    }

    /// How long after a moment a job was completed, `None` if it was not.
    pub fn completed_after(&self, id: u64, moment: Time) -> Option<Duration> {
        let is_it = |note: &Note| matches!(note, Note::JobEnded { job, state: JobState::Completed, .. } if *job == JobId(id));
        let ended = self.notes.iter().find(|(_, note)| is_it(note));
        ended.map(|(at, _)| at.since(moment))
    }

    /// When a request was answered.
    pub fn answered(&self, request: RequestNo) -> Option<Time> {
        let is_it = |action: &Action| match action {
            Action::AnswerSubmit(no, _) | Action::AnswerCancel(no, _) => *no == request,
            _ => false,
        };
        self.answers.iter().find(|(_, action)| is_it(action)).map(|(at, _)| *at)
    }

    /// Whether a job that was handed in was refused, `None` if there is no answer yet.
    pub fn refused(&self, request: RequestNo) -> Option<bool> {
        self.answers.iter().find_map(|(_, action)| match action {
            Action::AnswerSubmit(no, answer) if *no == request => {
                Some(*answer == SubmitAnswer::Refused)
            }
            _ => None,
        })
    }

    /// How many holds went to a worker.
    pub fn holds_of(&self, id: &str) -> u64 {
        self.holds_by_worker.get(id).copied().unwrap_or(0)
    }

    /// Lets time pass.
    pub fn run_ms(&mut self, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        while self.now < until {
            self.now = self.now + STEP;
            self.step_workers();
            self.step_crashes();
            self.step_store();
            self.step_predecessor();
            match self.processor.is_some() {
                true => self.work_off(),
                false => self.tell(Event::Tick),
            }
        }
    }

    /// Lets time pass until something holds; panics if it does not within a minute.
    pub fn run_until(&mut self, what: &str, holds: impl Fn(&World) -> bool) {
        let until = self.now + Duration::from_secs(60);
        while !holds(self) {
            assert!(self.now < until, "not within a minute: {what}");
            self.run_ms(10);
        }
    }

    /// A worker, to change how it behaves.
    pub fn worker(&mut self, id: &str) -> &mut FakeWorker {
        self.workers.get_mut(id).expect("the fleet has this worker")
    }

    /// Changes how all workers behave.
    pub fn set_moods(&mut self, mood: Mood) {
        self.workers.values_mut().for_each(|worker| worker.mood = mood);
    }

    /// The worker that runs a task; panics if none does.
    pub fn worker_of(&self, name: TaskName) -> String {
        self.where_runs(name)[0].to_owned()
    }

    /// Where a task runs.
    pub fn where_runs(&self, name: TaskName) -> Vec<&str> {
        let runs = self.workers.iter().filter(|(_, worker)| worker.running.contains_key(&name));
        runs.map(|(id, _)| id.as_str()).collect()
    }

    /// Tells the scheduler of an event and does what it asks for, once it has the time.
    pub fn tell(&mut self, event: Event) {
        match &mut self.processor {
            Some(processor) => processor.wait(event),
            None => self.decide(event),
        }
    }

    /// Lets the scheduler take as many events as it has processor time for in a step of the clock.
    fn work_off(&mut self) {
        while let Some(event) = self.processor.as_mut().and_then(|it| it.next(self.now)) {
            self.decide(event);
        }
    }

    fn decide(&mut self, event: Event) {
        let unix_ms = DAY_UNIX_MS + self.now.as_ms();
        let started = Instant::now();
        let mut actions = Vec::new();
        let allocated = allocation_counter::measure(|| {
            actions = self.scheduler.handle(event, self.now, unix_ms);
        });
        self.spent += started.elapsed();
        self.allocations += allocated.count_total;
        self.events += 1;
        for action in actions {
            self.act(action);
        }
    }

    fn request(&mut self) -> RequestNo {
        self.next_request += 1;
        RequestNo(self.next_request)
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Order { life, entry, token, lease_until_ms, order } => {
                let answer =
                    match self.answers_at(&entry) && !self.cut_from.contains(entry.id.as_str()) {
                        true => self.order(entry.id.as_str(), token, lease_until_ms, &order),
                        false => OrderAnswer::Unanswered,
                    };
                let answered = Event::OrderAnswered { life, order, answer };
                match self.order_answers_take.is_zero() {
                    true => self.tell(answered),
                    false => {
                        let at = self.now + self.order_answers_take;
                        self.order_answers.push_back((at, answered));
                    }
                }
            }
            Action::Hold { life, entry, hold } => {
                self.holds += 1;
                *self.holds_by_worker.entry(entry.id.to_string()).or_default() += 1;
                match self.answers_at(&entry) {
                    true => self.hold(life, entry.id.as_str(), hold),
                    false => self.broken_holds.push((life, hold, self.now)),
                }
            }
            Action::Commit { batch, records } => {
                assert!(records.len() <= MOST_RECORDS, "{} records in a batch", records.len());
                self.batches.push_back((self.now + self.store_takes, batch, records));
            }
            Action::Note(note) => self.notes.push((self.now, note)),
            Action::Deposed => self.deposed = true,
            answer => {
                self.check_kept(&answer);
                self.answers.push((self.now, answer));
            }
        }
    }

    /// Whether a worker answers where an entry says: it may have started again elsewhere.
    fn answers_at(&self, entry: &WorkerEntry) -> bool {
        let worker = self.workers.get(entry.id.as_str());
        worker.is_none_or(|worker| worker.entry.address == entry.address)
    }

    /// Panics if a job is said to be accepted of which nothing is kept.
    fn check_kept(&self, answer: &Action) {
        if let Action::AnswerSubmit(request, SubmitAnswer::Accepted) = answer {
            let id = self.handed_in[request];
            let kept = self.jobs.contains_key(&id) || self.progress.contains_key(&id);
            assert!(kept, "{id} is accepted, and nothing of it is kept");
        }
    }

    fn order(&mut self, id: &str, token: u64, lease_until_ms: u64, order: &Order) -> OrderAnswer {
        let now = self.now;
        let work = self.work(order.run().0);
        if let Order::Start(start) = order {
            self.start_orders.push((now, start.task, id.to_owned()));
        }
        if self.over.contains(id) {
            return OrderAnswer::LifeOver;
        }
        let worker = self.workers.get_mut(id).expect("orders go to workers of the fleet");
        match (worker.mood, order) {
            (Mood::Late | Mood::Delayed, Order::Start(_)) => {
                worker.take_later(now + worker.late_by, token, lease_until_ms, order, work);
                OrderAnswer::Unanswered
            }
            (Mood::Cut | Mood::Delayed | Mood::Down, _)
            | (Mood::Unstoppable, Order::Stop { .. }) => OrderAnswer::Unanswered,
            _ => {
                let answer = worker.take(now, token, lease_until_ms, order, work);
                if let (OrderAnswer::Done { .. }, Order::Start(start)) = (answer, order) {
                    self.starts.push((now, start.task, start.run, id.to_owned()));
                }
                answer
            }
        }
    }

    fn work(&self, name: TaskName) -> Work {
        let spec = self.specs.get(&name.job).map(|spec| &spec.steps[name.step as usize]);
        Work {
            work_ms: match spec.is_some_and(|step| step.lasts) {
                true => self.lasting_ms,
                false => self.work_ms.or(spec.map(|step| step.estimate_ms)).unwrap_or(1_000),
            },
            cpu_millis: spec.map_or(0, |step| step.size.cpu_millis.0),
            serves: spec.is_some_and(|step| step.tail_target_ms.is_some()),
            lasts: spec.is_some_and(|step| step.lasts),
        }
    }

    fn hold(&mut self, life: LifeNo, id: &str, hold: Hold) {
        let now = self.now;
        if self.over.contains(id) {
            self.held_by_another.push((life, hold, now));
        }
        self.check_ends_kept(id, hold.ends_kept);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.held_before.extend(worker.held.replace((life, hold, now)));
        }
    }

    /// Panics if a worker is told that an end is kept which the store does not hold.
    fn check_ends_kept(&self, id: &str, told: u64) {
        let ends = self.workers.get(id).into_iter().flat_map(|worker| &worker.ended);
        for end in ends.filter(|end| end.number <= told && end.how == HowEnded::Done) {
            let name = end.task;
            if self.work(name).lasts {
                // It is to run until its job is cancelled: its end changes nothing.
                continue;
            }
            // A job that was forgotten, or never kept, holds nothing.
            let Some(kept) = self.progress.get(&name.job) else {
                assert!(!self.jobs.contains_key(&name.job), "nothing is kept of the end of {name}");
                continue;
            };
            let step = kept.occurrences.get(&name.occurrence);
            let step = step.and_then(|occurrence| occurrence.steps.get(name.step as usize));
            let is_done = step.is_none_or(|step| step.is_done(name.index));
            assert!(is_done || kept.outcome != Outcome::Open, "the end of {name} is not kept");
        }
    }

    fn step_workers(&mut self) {
        let (now, tail_ms) = (self.now, self.tail_ms);
        let mut answers = Vec::new();
        while let Some((_, answered)) = self.order_answers.pop_front_if(|(at, _)| *at <= now) {
            answers.push(answered);
        }
        for (life, hold, sent_at) in self.held_by_another.drain(..) {
            answers.push(Event::Held { life, hold, sent_at, answer: Err(HoldFailure::LifeOver) });
        }
        for (life, hold, sent_at) in self.broken_holds.drain(..) {
            let answer = Err(HoldFailure::Unanswered);
            answers.push(Event::Held { life, hold, sent_at, answer });
        }
        self.mark_gangs();
        for (id, worker) in &mut self.workers {
            let is_cut = self.cut_from.contains(id);
            worker.work(now);
            for start in worker.take_late(now) {
                self.starts.push((now, start.task, start.run, id.clone()));
            }
            if let Some((_, life, ended)) = worker.late_ends.take_if(|(at, ..)| *at <= now) {
                let incarnation = worker.entry.incarnation;
                answers.push(Event::LateEnds { life, incarnation, ended });
            }
            let held = mem::take(&mut worker.held_before).into_iter().chain(worker.held.take());
            for (life, hold, sent_at) in held.collect::<Vec<_>>() {
                let answer = match is_cut {
                    true => hold_across_cut(now, &hold, sent_at),
                    false => worker.answer_hold(now, (life, hold, sent_at), tail_ms),
                };
                if let Some(answer) = answer {
                    self.stale_answers += u64::from(worker.tells_nothing_new(&answer));
                    answers.push(Event::Held { life, hold, sent_at, answer });
                } else {
                    worker.held_before.extend(worker.held.replace((life, hold, sent_at)));
                }
            }
        }
        for answer in answers {
            self.tell(answer);
        }
        self.check_once();
        self.check_told_kept();
    }

    /// Members of a gang stand still until all of one run are there.
    fn mark_gangs(&mut self) {
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
                running.waits = present[&(first(name), running.run)] < count;
            }
        }
    }

    /// Panics if a task runs in two places, unless its step allows copies.
    fn check_once(&self) {
        let copied = |name: &TaskName| {
            let spec =
                self.specs.get(&name.job).and_then(|spec| spec.steps.get(name.step as usize));
            spec.is_some_and(|step| step.copies_allowed)
        };
        let mut seen = BTreeSet::new();
        for name in self.workers.values().flat_map(|worker| worker.running.keys()) {
            let twice = !seen.insert(*name) && !copied(name);
            assert!(!twice, "{name} runs twice at {}", self.now);
        }
    }
}
