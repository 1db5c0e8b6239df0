//! Implements the scheduler of one fleet: it takes job events and issues orders to workers.
//!
//! A worker that restarts keeps its id but gets a new incarnation. Each instance has its own
//! runs, leases and counters here.

mod accepted_memory;
mod backlog;
mod claimants;
mod commit;
mod confirmation;
pub(super) mod crash_attribution;
mod deferred_starts;
mod ends;
mod evacuation;
pub(super) mod filter;
mod first_polls;
mod fit;
mod fleet_health;
mod forecasts;
pub(super) mod free_capacity;
mod gaps;
mod gauges;
mod hand_in;
mod headroom;
mod health_checks;
mod incarnations;
mod inherit;
mod instance_rows;
mod lateness;
mod lease_length;
mod leasing;
mod length_model;
mod load_forecast;
mod losses;
mod occupancy;
mod operator_holds;
mod orders;
mod overload;
mod pace;
mod pass;
mod pending;
mod place;
mod poll_answers;
mod polls;
mod preempting;
mod quarantine;
mod ranking;
mod refused_progress;
mod refused_records;
mod requests;
mod response_delay;
mod run_lengths;
pub(super) mod run_pace;
mod short_tasks;
mod shrunk;
mod slowed;
pub(super) mod step_length;
mod stragglers;
pub(super) mod tails;
mod turnarounds;
mod unique_queue;
mod unlisted;
mod unpersisted_ends;
mod unusable;
pub(super) mod worker_health;
mod workers;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    mem,
    time::Duration,
};

use self::{
    accepted_memory::AcceptedMemory,
    backlog::StartedTasks,
    claimants::Claimants,
    crash_attribution::{LostWorker, Silences},
    deferred_starts::DeferredStarts,
    evacuation::ZoneEvacuation,
    first_polls::FirstPolls,
    fleet_health::FleetHealth,
    gaps::Gaps,
    lease_length::MIN_LEASE,
    load_forecast::ServiceLoads,
    losses::{Losses, UnreportedWorkers},
    overload::Overload,
    pending::PendingRecords,
    preempting::Preemptions,
    response_delay::ResponseDelay,
    run_lengths::RunLengths,
    short_tasks::ShortTasks,
    tails::TailModel,
    turnarounds::Turnarounds,
};
pub use self::{
    inherit::InheritedState,
    leasing::MAX_RENEWAL_WITHOUT_STORE,
    load_forecast::{LoadForecast, LoadSeries, Periods},
};
use super::{
    event::{Action, Event, JobState},
    instance::InstanceNo,
    instances::Instances,
    job::Job,
    load_parts::{LoadPart, LoadParts},
    log_entry::LogEntry,
    names::{JobId, QueueName, TaskName, WorkerName},
    operator_rows::OperatorRows,
    record::Outcome,
    spec::{QueueTerms, StepSpec},
    steps::Task,
    worker_entry::WorkerEntry,
};
use crate::{ByteSize, Time};

/// The most by which a worker's clock may run slower than ours, in percent, as guaranteed by the
/// platform.
pub(super) const MAX_CLOCK_SLOWDOWN_PERCENT: u32 = 2;
/// The margin added to the end of every lease to cover delays on the owner's side.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(100);
/// The minimum interval between two placement passes over all pending jobs. Newly accepted jobs are
/// placed without waiting for it.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(20);
/// The number of bits of a fencing token below the owner's epoch. They allow a million increments,
/// far more than one owner makes.
const TOKEN_COUNTER_BITS: u32 = 20;

/// The settings that the scheduler gets from its environment.
#[derive(Debug, Clone)]
pub struct SchedulerSettings {
    /// The longest lease that workers grant.
    pub max_lease: Duration,
    /// How long the state of an ended job remains available.
    pub ended_job_retention: Duration,
    /// The interval at which workers renew their entries in the worker list.
    pub worker_heartbeat: Duration,
    /// The parts of scheduling under load that are in use.
    pub parts: LoadParts,
    /// The memory that accepted jobs may take.
    pub job_memory: ByteSize,
}

/// Makes the scheduling decisions for one fleet.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    /// The length of the leases that this owner grants.
    lease: Duration,
    /// The stored upper bound of the leases that this owner and earlier ones granted.
    longest_lease: Duration,
    epoch: u64,
    now: Time,
    unix_ms: u64,
    jobs: BTreeMap<JobId, Job>,
    accepted_memory: AcceptedMemory,
    /// Open jobs in scheduling order.
    open_jobs: BTreeSet<(u32, Time, JobId)>,
    /// The outcomes of ended jobs whose end is persisted.
    ended_jobs: HashMap<JobId, Outcome>,
    /// The same jobs, ordered by end time.
    ended_by_time: BTreeSet<(u64, JobId)>,
    queues: BTreeMap<QueueName, QueueTerms>,
    instances: Instances,
    /// The number of instances that run something, as of the last tick.
    busy_workers: usize,
    /// Entries whose service no queue uses. Their workers are not contacted.
    unused_service_entries: BTreeMap<WorkerName, WorkerEntry>,
    /// Worker instances used by an earlier owner that have neither listed all of their runs and ends
    /// nor outlasted their lease yet.
    unconfirmed_instances: BTreeSet<InstanceNo>,
    unreported_workers: UnreportedWorkers,
    losses: Losses,
    silences: Silences,
    /// Workers whose instance ended recently.
    lost_workers: Vec<LostWorker>,
    /// The end of the last known store outage, if there was one.
    store_outage_until: Option<Time>,
    pending: PendingRecords,
    deferred_starts: DeferredStarts,
    tails: TailModel,
    /// The loads of services, if they are forecast.
    service_loads: Option<ServiceLoads>,
    short_tasks: ShortTasks,
    gaps: Gaps,
    claimants: Claimants,
    preemptions: Preemptions,
    run_lengths: RunLengths,
    fleet_health: FleetHealth,
    evacuation: ZoneEvacuation,
    operator_rows: OperatorRows,
    overload: Overload,
    response_delay: ResponseDelay,
    first_polls: FirstPolls,
    /// How late the last tick was.
    tick_lag: Duration,
    start_counts: StartedTasks,
    turnarounds: Turnarounds,
    /// Whether something changed that may allow pending tasks to be placed.
    placement_needed: bool,
    /// The time of the last placement pass over all jobs.
    last_placement_at: Time,
    /// The actions to take, in order, collected while one event is handled.
    actions: Vec<Action>,
}

impl Scheduler {
    /// Creates the scheduler of the owner with the given epoch.
    pub fn new(
        settings: SchedulerSettings,
        epoch: u64,
        inheritance: InheritedState,
        now: Time,
        unix_ms: u64,
    ) -> Self {
        let mut scheduler = Self {
            lease: settings.max_lease.min(MIN_LEASE),
            longest_lease: settings.max_lease.min(MIN_LEASE),
            service_loads: settings.parts.has(LoadPart::LoadForecast).then(ServiceLoads::default),
            accepted_memory: AcceptedMemory::new(settings.job_memory),
            settings,
            epoch,
            now,
            unix_ms,
            jobs: BTreeMap::new(),
            open_jobs: BTreeSet::new(),
            ended_jobs: HashMap::new(),
            ended_by_time: BTreeSet::new(),
            queues: BTreeMap::new(),
            instances: Instances::default(),
            busy_workers: 0,
            unused_service_entries: BTreeMap::new(),
            unconfirmed_instances: BTreeSet::new(),
            unreported_workers: UnreportedWorkers::default(),
            losses: Losses::default(),
            silences: Silences::default(),
            lost_workers: Vec::new(),
            store_outage_until: None,
            pending: PendingRecords::default(),
            deferred_starts: DeferredStarts::default(),
            tails: TailModel::default(),
            short_tasks: ShortTasks::default(),
            gaps: Gaps::default(),
            claimants: Claimants::default(),
            preemptions: Preemptions::default(),
            run_lengths: RunLengths::default(),
            fleet_health: FleetHealth::default(),
            evacuation: ZoneEvacuation::default(),
            operator_rows: OperatorRows::default(),
            overload: Overload::default(),
            response_delay: ResponseDelay::default(),
            first_polls: FirstPolls::default(),
            tick_lag: Duration::ZERO,
            start_counts: StartedTasks::default(),
            turnarounds: Turnarounds::default(),
            placement_needed: true,
            last_placement_at: Time::ZERO,
            actions: Vec::new(),
        };
        scheduler.pending.prefers_new_jobs = scheduler.settings.parts.has(LoadPart::HandIn);
        scheduler.inherit(inheritance);
        scheduler
    }

    /// Handles an event and returns the actions to take.
    pub fn handle(&mut self, event: Event, now: Time, unix_ms: u64) -> Vec<Action> {
        self.now = self.now.max(now);
        self.unix_ms = unix_ms;
        match event {
            Event::Submit { request, job, queue, spec, answer_by } => {
                self.submit(request, job, queue, *spec, answer_by);
            }
            Event::Cancel { request, job } => self.cancel(request, job),
            Event::QueuesChanged(queues) => self.update_queues(queues),
            Event::EvacuatedZonesChanged(zones) => self.set_evacuated_zones(zones),
            Event::OperatorRowsChanged(rows) => self.set_operator_rows(rows),
            Event::WorkerListChanged(changes) => self.handle_discovery(changes),
            Event::EarlierOwnersStopped { at } => self.handle_earlier_owners_stopped(at),
            Event::OwnershipConfirmed { sent_at } => self.pending.record_confirmation(sent_at),
            Event::StoreUnavailable { until } => self.record_store_outage(until),
            Event::OrderAnswered { instance, order, answer } => {
                self.handle_order_answer(instance, order, answer)
            }
            Event::PollAnswered { instance, poll, sent_at, answer } => {
                self.handle_poll_answer(instance, poll, sent_at, answer)
            }
            Event::LateReport { instance, incarnation, ended } => {
                self.handle_late_ends(instance, incarnation, &ended)
            }
            Event::Committed(batch) => self.handle_committed(batch),
            Event::RecordsRefused(subjects) => self.handle_refused_records(subjects),
            Event::OwnerLagged(lag) => self.record_lag(lag),
            Event::Tick => self.tick(),
            Event::ClaimantTermsChanged(terms) => self.set_claimant_terms(terms),
        }
        self.place_jobs_if_due();
        self.commit_if_due();
        mem::take(&mut self.actions)
    }

    /// Returns the job state that callers see, or `None` if the job is unknown.
    pub fn state(&self, job: JobId) -> Option<JobState> {
        match self.ended_jobs.get(&job) {
            Some(Outcome::Completed) => Some(JobState::Completed),
            Some(Outcome::Failed) => Some(JobState::Failed),
            Some(Outcome::Cancelled) => Some(JobState::Cancelled),
            Some(Outcome::Open) | None => {
                self.jobs.get(&job).filter(|job| job.is_persisted).map(Job::state)
            }
        }
    }

    /// Returns how far the owner lags behind its events: the recent maximum, which decays over
    /// time.
    pub fn lag(&self) -> Duration {
        self.overload.lag()
    }

    /// Returns the number of accepted jobs of each queue that have not started. Queues without any
    /// are omitted.
    pub fn unstarted_jobs_by_queue(&self) -> BTreeMap<QueueName, u64> {
        let mut counts = BTreeMap::new();
        for job in self.open_jobs.iter().filter_map(|(_, _, id)| self.jobs.get(id)) {
            if job.is_persisted && !job.has_started {
                *counts.entry(job.queue.name.clone()).or_insert(0) += 1;
            }
        }
        counts
    }

    fn record_lag(&mut self, lag: Duration) {
        self.tick_lag = lag;
        if let Some(accepts_jobs) = self.overload.record_lag(lag, self.now) {
            let lag_ms = self.overload.lag().as_millis() as u64;
            self.actions.push(Action::Log(LogEntry::Overload { accepts_jobs, lag_ms }));
        }
    }

    fn insert_job(&mut self, mut job: Job) {
        let images = job.spec.steps.iter().map(|step| self.tails.image_no(step.image.as_deref()));
        job.images = images.collect();
        let id = job.id;
        self.open_jobs.insert((job.queue.priority, job.due_at, id));
        self.accepted_memory.add(&job);
        self.jobs.insert(id, job);
        self.placement_needed = true;
    }

    fn remove_job(&mut self, id: JobId) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.accepted_memory.remove(&job);
        Some(job)
    }

    /// Records the outcome of a job whose end is persisted.
    fn record_ended_job(&mut self, id: JobId, outcome: Outcome, ended_unix_ms: Option<u64>) {
        self.ended_jobs.insert(id, outcome);
        self.ended_by_time.insert((ended_unix_ms.unwrap_or(self.unix_ms), id));
    }

    fn place_jobs_if_due(&mut self) {
        let due =
            self.placement_needed && self.now.since(self.last_placement_at) >= PLACEMENT_INTERVAL;
        if due && self.overload.starts_per_pass() > 0 {
            self.placement_needed = false;
            self.last_placement_at = self.now;
            self.place_all();
        }
    }

    fn task_mut(&mut self, name: TaskName) -> Option<&mut Task> {
        self.jobs.get_mut(&name.job)?.task_mut(name)
    }

    /// Returns whether runs of an earlier owner may be on workers that have not reported yet.
    fn awaits_workers(&self) -> bool {
        !self.unconfirmed_instances.is_empty()
    }

    /// Records new progress of a task, to be persisted soon.
    fn record_task_progress(&mut self, name: TaskName) {
        if let Some(job) = self.jobs.get(&name.job) {
            self.pending.record_progress(job.progress_key(name));
        }
    }

    /// Returns the specification of a task's step.
    fn step_spec(&self, name: TaskName) -> Option<&StepSpec> {
        self.jobs.get(&name.job)?.step_spec(name.step)
    }

    /// Keeps the next placement of a task off a worker.
    fn avoid(&mut self, name: TaskName, instance_no: InstanceNo) {
        if let Some(task) = self.task_mut(name) {
            task.avoided_instance = Some(instance_no);
        }
    }

    /// Logs the current assumption about a worker's state.
    fn log_worker_state(&mut self, instance_no: InstanceNo, state: &'static str) {
        let Some(instance) = self.instances.get(instance_no) else { return };
        let worker = instance.id().clone();
        let last_answer_age_ms = instance.last_answer_age_ms(self.now);
        self.actions.push(Action::Log(LogEntry::Worker { worker, state, last_answer_age_ms }));
    }

    /// Returns the fencing token that a worker instance starts with under this owner.
    fn initial_token(&self) -> u64 {
        self.epoch << TOKEN_COUNTER_BITS
    }

    /// Returns the delay after the last renewal until a lease has certainly expired.
    fn lease_expiry_delay(&self) -> Duration {
        expiry_delay(self.lease)
    }

    /// Returns the same delay for the longest lease that an owner granted.
    fn longest_lease_expiry_delay(&self) -> Duration {
        expiry_delay(self.longest_lease)
    }

    /// Returns the same delay for the longest lease that workers grant.
    fn max_lease_expiry_delay(&self) -> Duration {
        expiry_delay(self.settings.max_lease)
    }

    fn tick(&mut self) {
        self.first_polls.begin_tick(self.tick_lag);
        self.response_delay.update(self.now);
        self.update_lease();
        self.refuse_unsent_jobs();
        self.retry_refused_records();
        self.review_waiting_jobs();
        self.start_due_occurrences();
        self.remove_expired_jobs();
        let (mut due, mut busy_workers) = (Vec::new(), 0);
        for (instance_no, instance) in self.instances.iter() {
            busy_workers += usize::from(!instance.runs().is_empty());
            if instance.needs_check(self.now) {
                due.push(instance_no);
            }
        }
        self.busy_workers = busy_workers;
        for instance_no in due {
            self.check_instance(instance_no);
        }
        self.confirm_suspects();
        self.evacuate_zones_if_due();
        self.report_backlog_if_due();
        self.report_forecasts_if_due();
        // Back-offs and quarantines end without an event of their own.
        self.placement_needed = true;
    }
}

/// Returns the delay after which a lease of this length has certainly expired.
fn expiry_delay(lease: Duration) -> Duration {
    lease + lease * MAX_CLOCK_SLOWDOWN_PERCENT / 100 + LEASE_EXPIRY_MARGIN
}
