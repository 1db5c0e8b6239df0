//! The scheduler of one fleet: jobs in, orders out.

mod backlog;
mod commit;
mod confirmation;
pub(super) mod crashed;
mod ends;
mod evacuation;
pub(super) mod filter;
mod fit;
mod gauges;
mod headroom;
mod hear;
mod holds;
mod incarnations;
mod inherit;
mod kept_starts;
mod lateness;
mod leasing;
mod orders;
mod overload;
mod pace;
mod pass;
mod pending;
mod place;
mod ranking;
mod requests;
pub(super) mod room;
mod set_aside;
mod short_work;
mod shrunk;
mod slowed;
mod stragglers;
pub(super) mod tails;
mod unique_queue;
mod unkept_ends;
mod unlisted;
mod unusable;
mod workers;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    mem,
    time::Duration,
};

pub use self::inherit::Inheritance;
use self::{
    backlog::Started, crashed::Fallen, evacuation::ZoneEvacuation, kept_starts::KeptStarts,
    overload::Overload, pending::Pending, short_work::ShortWork, tails::TailModel,
};
use super::{
    event::{Action, Event, JobState},
    job::Job,
    life::LifeNo,
    lives::Lives,
    names::{JobId, LifeId, QueueName, TaskName},
    note::Note,
    record::Outcome,
    spec::{QueueTerms, StepSpec},
    steps::Task,
    worker_entry::WorkerEntry,
};
use crate::Time;

/// Longest time that runs are leased. Long enough that a killed owner is replaced (about 2.5 s)
/// and every worker heard before leases end; short, because what ran on a silent worker waits
/// for it.
const LEASE: Duration = Duration::from_millis(4_000);
/// How much slower than ours a worker's clock may run, in percent, as the platform promises.
pub(super) const CLOCK_SLOW_PERCENT: u32 = 2;
/// Added to the end of every lease before it counts as over: delays on our side.
const LEASE_SLACK: Duration = Duration::from_millis(100);
/// How often all jobs that wait are looked at, at most. A job that was just accepted does not wait
/// for it.
const PLACE_EVERY: Duration = Duration::from_millis(20);
/// How many bits of a fencing token lie below the owner's epoch: room for a million raises, far
/// more than one owner makes.
const TOKEN_COUNTER_BITS: u32 = 20;

/// What the scheduler is told of its surroundings.
#[derive(Debug, Clone, Copy)]
pub struct SchedulerSettings {
    /// The longest lease that workers grant.
    pub longest_lease: Duration,
    /// How long the state of a job that ended is told.
    pub remember_ended: Duration,
    /// How often workers renew their entries in the list.
    pub worker_heartbeat: Duration,
}

/// Decides for one fleet.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    lease: Duration,
    epoch: u64,
    now: Time,
    unix_ms: u64,
    jobs: BTreeMap<JobId, Job>,
    /// Open jobs, in the order in which they are served.
    open: BTreeSet<(u32, Time, JobId)>,
    /// How jobs ended whose end is kept.
    ended_jobs: HashMap<JobId, Outcome>,
    /// The same jobs, in the order of their end.
    ended_in_order: BTreeSet<(u64, JobId)>,
    queues: BTreeMap<QueueName, QueueTerms>,
    lives: Lives,
    /// Entries that name a service which no queue uses: nothing is asked of their workers.
    of_unused_services: BTreeMap<LifeId, WorkerEntry>,
    /// Lives that the owner before used and that have not been heard or outwaited yet.
    unheard: BTreeSet<LifeNo>,
    /// Some of those were found crashed: tasks of which nobody knows whether they ran there may have caused it.
    inherited_crashed: bool,
    /// Workers whose lives are over of late.
    fallen: Vec<Fallen>,
    /// Until when the store was in trouble last, if it ever was.
    store_trouble_until: Option<Time>,
    pending: Pending,
    kept_starts: KeptStarts,
    tails: TailModel,
    short_work: ShortWork,
    evacuation: ZoneEvacuation,
    overload: Overload,
    started: Started,
    /// Something changed, so that tasks that wait may find a worker.
    replan: bool,
    /// When all jobs were looked at last.
    placed_at: Time,
    /// What is to be done, in order, gathered over one event.
    out: Vec<Action>,
}

impl Scheduler {
    /// A scheduler for the owner with the given epoch.
    pub fn new(
        settings: SchedulerSettings,
        epoch: u64,
        inheritance: Inheritance,
        now: Time,
        unix_ms: u64,
    ) -> Self {
        let mut scheduler = Self {
            settings,
            lease: settings.longest_lease.min(LEASE),
            epoch,
            now,
            unix_ms,
            jobs: BTreeMap::new(),
            open: BTreeSet::new(),
            ended_jobs: HashMap::new(),
            ended_in_order: BTreeSet::new(),
            queues: BTreeMap::new(),
            lives: Lives::default(),
            of_unused_services: BTreeMap::new(),
            unheard: BTreeSet::new(),
            inherited_crashed: false,
            fallen: Vec::new(),
            store_trouble_until: None,
            pending: Pending::default(),
            kept_starts: KeptStarts::default(),
            tails: TailModel::default(),
            short_work: ShortWork::default(),
            evacuation: ZoneEvacuation::default(),
            overload: Overload::default(),
            started: Started::default(),
            replan: true,
            placed_at: Time::ZERO,
            out: Vec::new(),
        };
        scheduler.inherit(inheritance);
        scheduler
    }

    /// Takes note of an event and returns what is to be done.
    pub fn handle(&mut self, event: Event, now: Time, unix_ms: u64) -> Vec<Action> {
        self.now = self.now.max(now);
        self.unix_ms = unix_ms;
        match event {
            Event::Submit { request, job, queue, spec } => self.submit(request, job, queue, *spec),
            Event::Cancel { request, job } => self.cancel(request, job),
            Event::Queues(queues) => self.set_queues(queues),
            Event::Evacuated(zones) => self.set_evacuated(zones),
            Event::Discovered(changes) => self.discover(changes),
            Event::EarlierOwnersStopped { at } => self.note_earlier_owners_stopped(at),
            Event::StoreTrouble { until } => self.note_store_trouble(until),
            Event::OrderAnswered { life, order, answer } => {
                self.order_answered(life, order, answer)
            }
            Event::Held { life, hold, sent_at, answer } => self.held(life, hold, sent_at, answer),
            Event::LateEnds { life, incarnation, ended } => {
                self.note_late_ends(life, incarnation, &ended)
            }
            Event::Committed(batch) => self.committed(batch),
            Event::Lagged(lag) => self.note_lag(lag),
            Event::Tick => self.tick(),
        }
        self.place_if_due();
        self.commit_if_due();
        mem::take(&mut self.out)
    }

    /// What callers are told of a job, `None` if there is none.
    pub fn state(&self, job: JobId) -> Option<JobState> {
        match self.ended_jobs.get(&job) {
            Some(Outcome::Completed) => Some(JobState::Completed),
            Some(Outcome::Failed) => Some(JobState::Failed),
            Some(Outcome::Cancelled) => Some(JobState::Cancelled),
            Some(Outcome::Open) | None => {
                self.jobs.get(&job).filter(|job| job.kept).map(Job::state)
            }
        }
    }

    /// How far its owner lags behind its events: the longest of late, fading.
    pub fn lag(&self) -> Duration {
        self.overload.lag()
    }

    /// How many accepted jobs of each queue have not begun; queues with none are left out.
    pub fn pending_by_queue(&self) -> BTreeMap<QueueName, u64> {
        let mut counts = BTreeMap::new();
        for job in self.open.iter().filter_map(|(_, _, id)| self.jobs.get(id)) {
            if job.kept && !job.begun {
                *counts.entry(job.queue.name.clone()).or_insert(0) += 1;
            }
        }
        counts
    }

    fn note_lag(&mut self, lag: Duration) {
        if let Some(takes_jobs) = self.overload.note_lag(lag, self.now) {
            let lag_ms = self.overload.lag().as_millis() as u64;
            self.out.push(Action::Note(Note::Overload { takes_jobs, lag_ms }));
        }
    }

    fn insert_job(&mut self, mut job: Job) {
        let images = job.spec.steps.iter().map(|step| self.tails.number(step.image.as_deref()));
        job.images = images.collect();
        let id = job.id;
        self.open.insert((job.queue.priority, job.due_at, id));
        self.jobs.insert(id, job);
        self.replan = true;
    }

    /// Remembers how a job ended, which is kept for good.
    fn insert_ended(&mut self, id: JobId, outcome: Outcome, ended_unix_ms: Option<u64>) {
        self.ended_jobs.insert(id, outcome);
        self.ended_in_order.insert((ended_unix_ms.unwrap_or(self.unix_ms), id));
    }

    fn place_if_due(&mut self) {
        let due = self.replan && self.now.since(self.placed_at) >= PLACE_EVERY;
        if due && self.overload.starts_per_pass() > 0 {
            self.replan = false;
            self.placed_at = self.now;
            self.place_all();
        }
    }

    fn task_mut(&mut self, name: TaskName) -> Option<&mut Task> {
        self.jobs.get_mut(&name.job)?.task_mut(name)
    }

    /// What was asked for of a task's step.
    fn step_spec(&self, name: TaskName) -> Option<&StepSpec> {
        self.jobs.get(&name.job)?.step_spec(name.step)
    }

    /// Makes a task avoid a worker when it is placed next.
    fn avoid(&mut self, name: TaskName, no: LifeNo) {
        if let Some(task) = self.task_mut(name) {
            task.avoid = Some(no);
        }
    }

    /// Writes to the log what is believed of a worker now.
    fn note_belief(&mut self, no: LifeNo, belief: &'static str) {
        let Some(life) = self.lives.get(no) else { return };
        let worker = life.id().clone();
        let heard_ago_ms = life.heard_ago_ms(self.now);
        self.out.push(Action::Note(Note::Worker { worker, belief, heard_ago_ms }));
    }

    /// The fencing token that a worker's life starts with under this owner.
    fn first_token(&self) -> u64 {
        self.epoch << TOKEN_COUNTER_BITS
    }

    /// How long after the last renewal a lease is certainly over.
    fn lapse_after(&self) -> Duration {
        self.lease + self.lease * CLOCK_SLOW_PERCENT / 100 + LEASE_SLACK
    }

    /// The same for the longest lease that workers grant.
    fn lapse_after_longest(&self) -> Duration {
        let longest = self.settings.longest_lease;
        longest + longest * CLOCK_SLOW_PERCENT / 100 + LEASE_SLACK
    }

    fn tick(&mut self) {
        self.refuse_unsent();
        self.begin_due_occurrences();
        self.forget_old_jobs();
        let due = self.lives.iter().filter(|(_, life)| life.needs_check(self.now));
        for no in due.map(|(no, _)| no).collect::<Vec<_>>() {
            self.check_life(no);
        }
        self.move_out_if_due();
        self.tell_backlog_if_due();
        // Back-offs and times set aside end without an event of their own.
        self.replan = true;
    }
}
