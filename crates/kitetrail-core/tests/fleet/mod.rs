//! A fleet on virtual time: workers that lease what they run, a store, and the scheduler.
#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use kitetrail_core::{
    Resources, Time,
    jobs::{
        Action, Discovery, EffectsRecord, Event, Hold, HoldFailure, HowEnded, Inheritance, JobId,
        JobRecord, JobSpec, JobState, LifeNo, LifeRecord, Note, Order, OrderAnswer, ProgressRecord,
        QueueTerms, Record, Refusal, Report, RequestNo, RunEnd, RunningTask, Scheduler,
        SchedulerSettings, StepSpec, SubmitAnswer, TaskName, WorkerEntry,
    },
};

/// The time of day when the virtual clock stands at zero, in milliseconds since 1970.
const DAY_UNIX_MS: u64 = 1_780_000_000_000;
/// One step of the virtual clock.
const STEP: Duration = Duration::from_millis(10);
/// How long the store takes.
const STORE: Duration = Duration::from_millis(10);

/// How a worker behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    /// It answers and works.
    Well,
    /// Nothing reaches it and nothing comes back; it works on.
    Cut,
    /// It answers, and what it runs stands still.
    Hanging,
    /// It answers, and all that it starts fails after 100 ms.
    Failing,
    /// It does not answer orders to start; it carries them out after 1 s unless they are void.
    Late,
}

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct Running {
    /// The run.
    pub run: u32,
    /// How much of its work is done, in milliseconds.
    pub done_ms: u64,
    /// How much there is, in milliseconds.
    pub work_ms: u64,
    /// Its share of its speed, in percent.
    pub percent: u8,
    /// What it uses at full speed, in thousandths of a core.
    pub cpu_millis: u32,
    /// It serves users: its gauge tells its tail.
    pub serves: bool,
}

/// What a task is to the worker that runs it.
#[derive(Debug, Clone, Copy)]
struct Work {
    work_ms: u64,
    cpu_millis: u32,
    serves: bool,
}

/// A worker.
#[derive(Debug)]
pub struct FakeWorker {
    pub entry: WorkerEntry,
    pub mood: Mood,
    /// It left the list.
    pub gone: bool,
    pub running: BTreeMap<TaskName, Running>,
    pub ended: Vec<RunEnd>,
    pub token: u64,
    pub leased_until_ms: u64,
    late: VecDeque<(Time, u64, u64, Order, Work)>,
    next_end: u64,
    held: Option<(LifeNo, Hold, Time)>,
}

/// The fleet.
pub struct World {
    pub now: Time,
    pub scheduler: Scheduler,
    pub workers: BTreeMap<String, FakeWorker>,
    pub notes: Vec<(Time, Note)>,
    pub answers: Vec<(Time, Action)>,
    /// Starts, in order: when, which task and run, on which worker.
    pub starts: Vec<(Time, TaskName, u32, String)>,
    /// What the store keeps.
    pub jobs: BTreeMap<JobId, JobRecord>,
    pub progress: BTreeMap<JobId, ProgressRecord>,
    pub lives: BTreeMap<String, LifeRecord>,
    pub effects: EffectsRecord,
    /// The store answers nothing.
    pub store_down: bool,
    /// Work of a task, in milliseconds, if it is not its estimate.
    pub work_ms: Option<u64>,
    /// After how long a task that lasts ends by itself, in milliseconds.
    pub lasting_ms: u64,
    /// The tail that a serving task on a worker reports, in milliseconds, by what fills there.
    pub tail_ms: fn(&FakeWorker) -> u32,
    pub deposed: bool,
    batches: VecDeque<(Time, u64, Vec<Record>)>,
    next_request: u64,
    specs: BTreeMap<JobId, JobSpec>,
}

/// A queue with usual terms.
pub fn queue() -> QueueTerms {
    QueueTerms {
        name: "checks".into(),
        service: "desk".to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch: 2.0,
        target_latency_ms: 500,
    }
}

/// A step of tasks that take a second on a core.
pub fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        size: Resources::new(1_000, 512, 0),
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

/// A job of some steps.
pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec { payload: "work".to_owned(), steps, schedule: None }
}

/// The name of a task of a job without a schedule.
pub fn task(job: u64, step: u32, index: u32) -> TaskName {
    TaskName { job: JobId(job), occurrence: 0, step, index }
}

impl World {
    /// A fleet of workers with four cores each, and a scheduler that knows them.
    pub fn new(workers: u32) -> Self {
        let mut world = Self {
            now: Time::from_ms(1_000),
            scheduler: scheduler(1, Inheritance::default(), Time::from_ms(1_000)),
            workers: (0..workers).map(|no| (format!("w{no}"), FakeWorker::new(no))).collect(),
            notes: Vec::new(),
            answers: Vec::new(),
            starts: Vec::new(),
            jobs: BTreeMap::new(),
            progress: BTreeMap::new(),
            lives: BTreeMap::new(),
            effects: EffectsRecord::default(),
            store_down: false,
            work_ms: None,
            lasting_ms: 600_000,
            tail_ms: |_| 10,
            deposed: false,
            batches: VecDeque::new(),
            next_request: 0,
            specs: BTreeMap::new(),
        };
        world.list_all();
        world.run_ms(200);
        world
    }

    /// Tells the scheduler of all workers.
    pub fn list_all(&mut self) {
        let entry = |worker: &FakeWorker| Discovery::Listed(Box::new(worker.entry.clone()));
        let all = self.workers.values().filter(|worker| !worker.gone).map(entry).collect();
        self.tell(Event::Discovered(all));
    }

    /// Replaces the scheduler by one of a new owner, as after the death of the one before.
    pub fn take_over(&mut self, epoch: u64, predecessor_stopped: bool) {
        self.batches.clear();
        for worker in self.workers.values_mut() {
            worker.held = None;
        }
        let inherit = |job: &JobRecord| (job.clone(), self.progress.get(&job.id).cloned());
        let inheritance = Inheritance {
            jobs: self.jobs.values().map(inherit).collect(),
            lives: self.lives.values().cloned().collect(),
            effects: self.effects.clone(),
            predecessor_stopped,
        };
        self.scheduler = scheduler(epoch, inheritance, self.now);
        self.list_all();
    }

    /// Hands a job in.
    pub fn submit(&mut self, id: u64, spec: JobSpec) -> RequestNo {
        let request = self.request();
        self.specs.insert(JobId(id), spec.clone());
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

    /// Lets time pass.
    pub fn run_ms(&mut self, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        while self.now < until {
            self.now = self.now + STEP;
            self.step_workers();
            self.step_store();
            self.tell(Event::Tick);
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

    /// Where a task runs.
    pub fn where_runs(&self, name: TaskName) -> Vec<&str> {
        let runs = self.workers.iter().filter(|(_, worker)| worker.running.contains_key(&name));
        runs.map(|(id, _)| id.as_str()).collect()
    }

    /// Panics if a task runs in two places.
    pub fn check_once(&self) {
        let mut seen = BTreeSet::new();
        for name in self.workers.values().flat_map(|worker| worker.running.keys()) {
            assert!(seen.insert(*name), "{name} runs twice at {}", self.now);
        }
    }

    pub fn tell(&mut self, event: Event) {
        let unix_ms = DAY_UNIX_MS + self.now.as_ms();
        let actions = self.scheduler.handle(event, self.now, unix_ms);
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
                let answer = self.order(entry.id.as_str(), token, lease_until_ms, &order);
                self.tell(Event::OrderAnswered { life, order, answer });
            }
            Action::Hold { life, entry, hold } => self.hold(life, entry.id.as_str(), hold),
            Action::Commit { batch, records } => {
                self.batches.push_back((self.now + STORE, batch, records));
            }
            Action::Note(note) => self.notes.push((self.now, note)),
            Action::Deposed => self.deposed = true,
            answer => self.answers.push((self.now, answer)),
        }
    }

    fn order(&mut self, id: &str, token: u64, lease_until_ms: u64, order: &Order) -> OrderAnswer {
        let now = self.now;
        let work = self.work(order.run().0);
        let worker = self.workers.get_mut(id).expect("orders go to workers of the fleet");
        match (worker.mood, order) {
            (Mood::Cut, _) => OrderAnswer::Unanswered,
            (Mood::Late, Order::Start(_)) => {
                let at = now + Duration::from_millis(1_000);
                worker.late.push_back((at, token, lease_until_ms, order.clone(), work));
                OrderAnswer::Unanswered
            }
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
                false => self.work_ms.unwrap_or(1_000),
            },
            cpu_millis: spec.map_or(0, |step| step.size.cpu_millis.0),
            serves: spec.is_some_and(|step| step.tail_target_ms.is_some()),
        }
    }

    fn hold(&mut self, life: LifeNo, id: &str, hold: Hold) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.held = Some((life, hold, now));
        }
    }

    fn step_workers(&mut self) {
        let (now, tail_ms) = (self.now, self.tail_ms);
        let mut answers = Vec::new();
        for (id, worker) in &mut self.workers {
            worker.work(now);
            while let Some((at, token, until_ms, order, work)) = worker.late.pop_front() {
                if at > now {
                    worker.late.push_front((at, token, until_ms, order, work));
                    break;
                }
                let answer = worker.take(now, token, until_ms, &order, work);
                if let (OrderAnswer::Done { .. }, Order::Start(start)) = (answer, &order) {
                    self.starts.push((now, start.task, start.run, id.clone()));
                }
            }
            let Some((life, hold, sent_at)) = worker.held else { continue };
            let answer = worker.answer_hold(now, hold, sent_at, tail_ms);
            if let Some(answer) = answer {
                worker.held = None;
                answers.push(Event::Held { life, hold, sent_at, answer });
            }
        }
        for answer in answers {
            self.tell(answer);
        }
        self.check_once_unless_copied();
    }

    fn check_once_unless_copied(&self) {
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

    fn step_store(&mut self) {
        while !self.store_down && self.batches.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, batch, records)) = self.batches.pop_front() else { return };
            for record in records {
                self.keep(record);
            }
            self.tell(Event::Committed(batch));
        }
    }

    fn keep(&mut self, record: Record) {
        match record {
            Record::Job(job) => drop(self.jobs.insert(job.id, job)),
            Record::Progress(progress) => drop(self.progress.insert(progress.id, progress)),
            Record::LifeUsed(life) => drop(self.lives.insert(life.id.to_string(), life)),
            Record::LifeOver(id) => drop(self.lives.remove(id.as_str())),
            Record::Effects(effects) => self.effects = effects,
            Record::Forget(id) => {
                self.jobs.remove(&id);
                self.progress.remove(&id);
            }
        }
    }
}

impl FakeWorker {
    fn new(no: u32) -> Self {
        let entry = WorkerEntry {
            id: format!("w{no}").as_str().into(),
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
        Self {
            entry,
            mood: Mood::Well,
            gone: false,
            running: BTreeMap::new(),
            ended: Vec::new(),
            token: 0,
            leased_until_ms: 0,
            late: VecDeque::new(),
            next_end: 1,
            held: None,
        }
    }

    fn take(
        &mut self,
        now: Time,
        token: u64,
        lease_until_ms: u64,
        order: &Order,
        work: Work,
    ) -> OrderAnswer {
        if token < self.token {
            return OrderAnswer::Refused(Refusal::Fenced);
        }
        self.token = token;
        let clock_ms = now.as_ms();
        match order {
            Order::Start(_) if lease_until_ms <= clock_ms => {
                return OrderAnswer::Refused(Refusal::Late);
            }
            Order::Start(start) => {
                self.leased_until_ms = self.leased_until_ms.max(lease_until_ms);
                let Work { work_ms, cpu_millis, serves } = work;
                let run = Running {
                    run: start.run,
                    done_ms: 0,
                    work_ms,
                    percent: 100,
                    cpu_millis,
                    serves,
                };
                self.running.insert(start.task, run);
            }
            Order::Stop { task, run } => {
                if self.running.get(task).is_some_and(|running| running.run == *run) {
                    self.end(*task, HowEnded::Stopped);
                }
            }
            Order::Pace { task, percent, .. } => {
                if let Some(running) = self.running.get_mut(task) {
                    running.percent = *percent;
                }
            }
        }
        OrderAnswer::Done { clock_ms }
    }

    fn answer_hold(
        &mut self,
        now: Time,
        hold: Hold,
        sent_at: Time,
        tail_ms: fn(&FakeWorker) -> u32,
    ) -> Option<Result<Report, HoldFailure>> {
        let waited = now.since(sent_at);
        if self.mood == Mood::Cut {
            let gives_up = Duration::from_millis(u64::from(hold.wait_ms) + 700);
            return (waited >= gives_up).then_some(Err(HoldFailure::Unanswered));
        }
        if hold.token < self.token {
            return Some(Err(HoldFailure::Fenced));
        }
        self.token = hold.token;
        if let Some(until_ms) = hold.lease_until_ms {
            self.leased_until_ms = self.leased_until_ms.max(until_ms);
        }
        self.ended.retain(|end| end.number > hold.ends_kept);
        if self.ended.is_empty() && waited < Duration::from_millis(hold.wait_ms.into()) {
            return None;
        }
        let tail_ms = tail_ms(self);
        let running = self.running.iter().map(|(&task, running)| RunningTask {
            task,
            run: running.run,
            checkpoint: Some(format!("{task}@{}", running.done_ms)),
            percent: (running.done_ms * 100 / running.work_ms) as u32,
            gauge: Some(match running.serves {
                true => tail_ms,
                false => running.cpu_millis * u32::from(running.percent) / 100,
            }),
        });
        let running = running.collect();
        Some(Ok(Report { clock_ms: now.as_ms(), running, ended: self.ended.clone() }))
    }

    fn work(&mut self, now: Time) {
        if !self.running.is_empty() && self.leased_until_ms <= now.as_ms() {
            for task in self.running.keys().copied().collect::<Vec<_>>() {
                self.end(task, HowEnded::Lapsed);
            }
        }
        let mood = self.mood;
        for running in self.running.values_mut().filter(|_| mood != Mood::Hanging) {
            running.done_ms += STEP.as_millis() as u64 * u64::from(running.percent) / 100;
        }
        let over = self.running.iter().filter_map(|(&task, running)| match mood {
            Mood::Failing if running.done_ms >= 100 => Some((task, HowEnded::Failed)),
            _ if running.done_ms >= running.work_ms => Some((task, HowEnded::Done)),
            _ => None,
        });
        for (task, how) in over.collect::<Vec<_>>() {
            self.end(task, how);
        }
    }

    fn end(&mut self, task: TaskName, how: HowEnded) {
        let Some(running) = self.running.remove(&task) else { return };
        let checkpoint = Some(format!("{task}@{}", running.done_ms));
        let number = self.next_end;
        self.next_end += 1;
        self.ended.push(RunEnd { number, task, run: running.run, how, checkpoint });
    }
}

fn scheduler(epoch: u64, inheritance: Inheritance, now: Time) -> Scheduler {
    let settings = SchedulerSettings {
        longest_lease: Duration::from_secs(6),
        remember_ended: Duration::from_secs(120),
        renew_without_store: Duration::from_secs(12),
    };
    Scheduler::new(settings, epoch, inheritance, now, DAY_UNIX_MS + now.as_ms())
}
