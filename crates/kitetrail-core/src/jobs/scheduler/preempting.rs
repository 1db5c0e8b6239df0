//! Stops less urgent tasks for more urgent ones that found no room, and keeps the room for them.

use std::{collections::BTreeMap, time::Duration};

use super::{
    super::{
        event::Action,
        instance::{InstanceNo, WorkerInstance},
        load_parts::LoadPart,
        log_entry::LogEntry,
        names::{JobId, StepName, TaskName},
        preemption::{CrowdedWorker, Need, Preemption, STOP_TIME, StoppableRun, choose_stops},
        room::Room,
        run::{Phase, PlacedRun},
        spec::StepSpec,
    },
    Scheduler,
    stragglers::remaining_ms,
};
use crate::Time;

/// The interval between two searches for tasks to stop. Each weighs every worker.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// The most waiting tasks for which one search is made.
const MAX_NEEDS_PER_SEARCH: usize = 2;
/// The most tasks stopped within [`STOP_WINDOW`]. More would throw away work faster than a burst of
/// a second or two could use its room.
const MAX_STOPS_PER_WINDOW: usize = 8;
const STOP_WINDOW: Duration = Duration::from_millis(1_000);
/// The time for which a task is not stopped again. Most tasks end within it.
const REPEAT_AFTER: Duration = Duration::from_millis(10_000);
/// The time for which room is kept: a worker's time to stop a task, and the poll that reports it.
const HOLD_TIME: Duration = Duration::from_millis(1_500);
/// The time from one save of progress to the next, and the time to restore it.
const SAVE_INTERVAL: Duration = Duration::from_millis(1_000);
const RESTORE_TIME: Duration = Duration::from_millis(600);
/// The share of a best-effort task's processor time that must be free where it starts, in percent.
const MIN_CPU_PERCENT: u64 = 80;

/// Room on a worker that is kept for the job that it was freed for.
#[derive(Debug, Clone, Copy)]
struct Hold {
    job: JobId,
    until: Time,
}

/// The tasks stopped for more urgent ones, and the room kept for those.
#[derive(Debug, Default)]
pub(super) struct Preemptions {
    /// When this owner handled its first event: what its predecessor stopped is not known.
    owner_since: Option<Time>,
    searched_at: Time,
    /// When each task was stopped.
    stopped_at: BTreeMap<TaskName, Time>,
    holds: BTreeMap<InstanceNo, Hold>,
}

impl Preemptions {
    /// Returns whether room on a worker is kept for another job.
    pub(super) fn is_held_from(&self, instance_no: InstanceNo, job: JobId, now: Time) -> bool {
        let hold = self.holds.get(&instance_no);
        hold.is_some_and(|hold| hold.job != job && now < hold.until)
    }

    /// Ends the hold of a worker for a job, one of whose tasks starts there.
    pub(super) fn record_start(&mut self, instance_no: InstanceNo, job: JobId) {
        if self.holds.get(&instance_no).is_some_and(|hold| hold.job == job) {
            self.holds.remove(&instance_no);
        }
    }

    /// Returns how many more tasks may be stopped now.
    fn stops_left(&self, now: Time) -> usize {
        let recent = |at: &&Time| now.since(**at) < STOP_WINDOW;
        MAX_STOPS_PER_WINDOW.saturating_sub(self.stopped_at.values().filter(recent).count())
    }

    /// Returns whether a task may be stopped: neither this owner nor, as far as can be known, an
    /// earlier one stopped it recently.
    fn may_stop(&self, task: TaskName, is_inherited: bool, now: Time) -> bool {
        let is_new_owner = self.owner_since.is_none_or(|since| now.since(since) < REPEAT_AFTER);
        !(self.stopped_at.contains_key(&task) || is_inherited && is_new_owner)
    }

    fn forget_old(&mut self, now: Time) {
        self.stopped_at.retain(|_, at| now.since(*at) < REPEAT_AFTER);
        self.holds.retain(|_, hold| now < hold.until);
    }
}

impl Scheduler {
    /// Stops less urgent tasks for the first of the waiting jobs, if a search is due.
    pub(super) fn preempt_if_due(&mut self, waiting: &[JobId]) {
        let now = self.now;
        self.preemptions.owner_since.get_or_insert(now);
        let is_due = now.since(self.preemptions.searched_at) >= SEARCH_INTERVAL;
        if !self.settings.parts.has(LoadPart::Preemption) || !is_due || !self.overload.may_move() {
            return;
        }
        self.preemptions.searched_at = now;
        self.preemptions.forget_old(now);
        let jobs = &self.jobs;
        self.preemptions.holds.retain(|_, hold| {
            jobs.get(&hold.job).is_some_and(|job| job.is_open() && job.has_due_unplaced())
        });
        let needs = waiting.iter().filter_map(|&id| self.unplaced_step(id));
        for step in needs.take(MAX_NEEDS_PER_SEARCH).collect::<Vec<_>>() {
            self.preempt_for(step);
        }
    }

    /// Returns a step of a job that waits for room and for which none is kept yet.
    fn unplaced_step(&self, id: JobId) -> Option<StepName> {
        let job = self.jobs.get(&id).filter(|job| job.is_open() && job.is_persisted)?;
        if self.is_paused(job) || self.preemptions.holds.values().any(|hold| hold.job == id) {
            return None;
        }
        let steps = job.occurrences.iter().flat_map(|(&occurrence, state)| {
            (0..).zip(&job.spec.steps).map(move |(step, spec)| (occurrence, state, step, spec))
        });
        steps
            .filter(|(_, state, step, spec)| {
                let tasks = &state.steps[*step as usize].tasks;
                let is_plain = !spec.gang && spec.max_per_worker.is_none();
                let waits =
                    tasks.iter().any(|task| task.waits(self.now) && !task.crashes.runs_alone());
                is_plain && spec.size.accelerators.0 == 0 && state.is_due(spec) && waits
            })
            .map(|(occurrence, _, step, _)| StepName { job: id, occurrence, step })
            .next()
    }

    fn preempt_for(&mut self, step: StepName) {
        let now = self.now;
        let Some((need, spec)) = self.need_of(step) else { return };
        self.refresh_rooms();
        let workers = self.crowded_workers(step, &spec, &need);
        let stops_left = self.preemptions.stops_left(now);
        let Some(preemption) = choose_stops(&need, &workers, stops_left) else { return };
        let Preemption { instance, stops } = preemption;
        self.preemptions.holds.insert(instance, Hold { job: step.job, until: now + HOLD_TIME });
        for run in stops {
            self.preemptions.stopped_at.insert(run.task, now);
            let Some(worker) = self.instances.get(instance).map(|each| each.id().clone()) else {
                continue;
            };
            self.actions.push(Action::Log(LogEntry::Preempted {
                task: run.task,
                run: run.run,
                worker,
                for_job: step.job,
                lost_core_ms: run.lost_core_ms,
            }));
            self.stop_run(instance, run.task, run.run);
        }
    }

    fn need_of(&self, step: StepName) -> Option<(Need, StepSpec)> {
        let job = self.jobs.get(&step.job)?;
        let spec = job.step_spec(step.step)?;
        let work_ms =
            if spec.long_running { REPEAT_AFTER.as_millis() as u64 } else { spec.estimate_ms };
        let need = Need {
            priority: job.queue.priority,
            room: start_room(spec),
            work_core_ms: work_ms.saturating_mul(spec.size.cpu_millis.0.into()) / 1_000,
            spare_time: if job.can_be_in_time(self.now + STOP_TIME) {
                STOP_TIME
            } else {
                Duration::ZERO
            },
        };
        Some((need, spec.clone()))
    }

    /// Returns the workers that could run a task of a step, with their tasks that may be stopped.
    fn crowded_workers(&self, step: StepName, spec: &StepSpec, need: &Need) -> Vec<CrowdedWorker> {
        let Some(job) = self.jobs.get(&step.job) else { return Vec::new() };
        let is_suitable = |instance_no: InstanceNo, instance: &WorkerInstance| {
            let label = spec.label.as_ref();
            instance.accepts_work(self.now)
                && instance.entry.service == job.queue.service
                && label.is_none_or(|label| instance.entry.labels.contains(label))
                && !self.preemptions.is_held_from(instance_no, step.job, self.now)
        };
        let crowded = |(instance_no, instance): (InstanceNo, &WorkerInstance)| {
            let free_capacity = instance.free_capacity.as_ref()?;
            if free_capacity.has_lone_suspect || !is_suitable(instance_no, instance) {
                return None;
            }
            let runs = instance.runs().iter();
            let runs = runs.filter_map(|(&task, run)| self.stoppable(task, run, need.priority));
            let free = free_capacity.free.room();
            Some(CrowdedWorker { instance: instance_no, free, runs: runs.collect() })
        };
        self.instances.iter().filter_map(crowded).filter(|worker| !worker.runs.is_empty()).collect()
    }

    /// Returns what stopping a run costs, or `None` if it must not be stopped.
    fn stoppable(&self, task: TaskName, run: &PlacedRun, below: u32) -> Option<StoppableRun> {
        let Phase::Running(since) = run.phase else { return None };
        let is_kind = run.is_best_effort || run.keeps_progress;
        if run.is_long_running || run.stopping || !is_kind {
            return None;
        }
        let job = self.jobs.get(&task.job).filter(|job| job.queue.priority > below)?;
        let is_gang = job.step_spec(task.step).is_none_or(|spec| spec.gang);
        if is_gang || !self.preemptions.may_stop(task, job.inherited, self.now) {
            return None;
        }
        let ran = self.now.since(since);
        let unsaved = if run.keeps_progress { ran.min(SAVE_INTERVAL) } else { ran };
        let lost_ms = (unsaved + RESTORE_TIME).as_millis() as u64;
        let cpu_millis = u64::from(run.size.cpu_millis.0);
        Some(StoppableRun {
            task,
            run: run.run,
            priority: job.queue.priority,
            room: freed_room(run),
            lost_core_ms: lost_ms * cpu_millis / 1_000,
            left: Duration::from_millis(remaining_ms(run, self.now)? as u64),
        })
    }
}

/// Returns the room that must be free where a task starts.
fn start_room(spec: &StepSpec) -> Room {
    let room = Room::of_tasks(spec, 1);
    Room { best_effort_millis: room.best_effort_millis * MIN_CPU_PERCENT / 100, ..room }
}

/// Returns the room that is free once a run has ended. The processor time that it reserved is then
/// left for best-effort tasks as well.
fn freed_room(run: &PlacedRun) -> Room {
    let millis = u64::from(run.size.cpu_millis.0);
    Room {
        cpu_millis: if run.is_best_effort { 0 } else { millis },
        best_effort_millis: millis,
        memory_mb: run.size.memory_mb.0.into(),
    }
}
