//! Evacuates availability zones: nothing starts there, and long-running work moves elsewhere as
//! capacity allows. See `docs/design/evacuation.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    super::{
        event::Action,
        instance::{InstanceNo, Listing, WorkerInstance},
        log_entry::LogEntry,
        names::{JobId, StepName, TaskName},
        order::Order,
        run::PlacedRun,
        spec::StepSpec,
    },
    Scheduler,
    free_capacity::{added_stress, full_speed_loads},
    stragglers::remaining_ms,
};
use crate::Time;

/// The interval between two moves out of evacuated zones, across all workers. It empties a zone
/// with 600 long-running tasks within a minute.
const MOVE_INTERVAL: Duration = Duration::from_millis(100);
/// The most workers searched for a run to move in one round. Each candidate run is checked against
/// every worker.
const MAX_WORKERS_PER_SEARCH: usize = 4;
/// A run that saves its progress and will finish within this time is left to finish, in
/// milliseconds. Stopping and restarting it takes about a second.
const MIN_REMAINING_TO_MOVE_MS: f64 = 5_000.0;

/// The zones being evacuated and the progress of the evacuation.
#[derive(Debug, Default)]
pub(super) struct ZoneEvacuation {
    zones: BTreeSet<String>,
    /// When the last run was moved.
    last_move_at: Time,
    /// The worker searched last; the next search continues after it.
    last_searched: Option<InstanceNo>,
    /// The steps already checked for whether any worker outside the evacuated zones can run their
    /// tasks.
    checked_steps: BTreeMap<JobId, BTreeSet<u32>>,
}

impl Scheduler {
    /// Replaces the set of zones being evacuated.
    pub(super) fn set_evacuated_zones(&mut self, zones: BTreeSet<String>) {
        if self.evacuation.zones == zones {
            return;
        }
        self.evacuation.zones = zones;
        self.evacuation.checked_steps.clear();
        for instance_no in self.instances.numbers() {
            self.update_zone_status(instance_no);
        }
        self.placement_needed = true;
    }

    /// Updates whether a worker is in an evacuated zone.
    pub(super) fn update_zone_status(&mut self, instance_no: InstanceNo) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let was_evacuated = instance.zone_evacuated;
        instance.zone_evacuated = self.evacuation.zones.contains(&instance.entry.zone);
        if instance.zone_evacuated && !was_evacuated {
            self.cancel_unsent_starts(instance_no);
        }
    }

    /// Returns the number of runs that remain on workers in evacuated zones.
    pub fn runs_in_evacuated_zones(&self) -> u64 {
        if self.evacuation.zones.is_empty() {
            return 0;
        }
        let instances = self.instances.values().filter(|instance| instance.zone_evacuated);
        instances.map(|instance| instance.runs().len() as u64).sum()
    }

    /// Cancels orders to start that have not been sent.
    pub(super) fn cancel_unsent_starts(&mut self, instance_no: InstanceNo) {
        let Some(instance) = self.instances.get(instance_no) else { return };
        let start = |order: &Order| match order {
            Order::Start(start) => Some((start.task, start.run)),
            Order::Stop { .. } | Order::Pace { .. } => None,
        };
        for (task, run) in instance.orders.iter().filter_map(start).collect::<Vec<_>>() {
            self.stop_run(instance_no, task, run);
            if self.step_spec(task).is_some_and(|spec| spec.gang) {
                self.stop_gang_members(task, run);
            }
        }
    }

    /// Stops the remaining members of a gang, which can't work after one was cancelled.
    fn stop_gang_members(&mut self, name: TaskName, run: u32) {
        let Some(step) = self.jobs.get(&name.job).and_then(|job| job.step(name.step_name())) else {
            return;
        };
        let members = (0..).zip(&step.tasks).flat_map(|(index, task)| {
            task.placed.iter().map(move |placed| (placed.instance, name.step_name().task(index)))
        });
        for (instance_no, member) in members.collect::<Vec<_>>() {
            self.stop_run(instance_no, member, run);
        }
    }

    /// Moves one run out of an evacuated zone if a move is due and there is capacity elsewhere.
    pub(super) fn evacuate_zones_if_due(&mut self) {
        let due = self.now.since(self.evacuation.last_move_at) >= MOVE_INTERVAL;
        let is_idle = self.evacuation.zones.is_empty() && !self.operator_rows.drains_workers();
        if is_idle || !due || self.short_tasks.has_waiting_tasks() {
            return;
        }
        self.evacuation.last_move_at = self.now;
        for instance_no in self.workers_to_evacuate().into_iter().take(MAX_WORKERS_PER_SEARCH) {
            self.evacuation.last_searched = Some(instance_no);
            if let Some((task, run)) = self.find_run_to_move(instance_no) {
                let is_drained =
                    self.instances.get(instance_no).is_some_and(|it| !it.zone_evacuated);
                let why = match is_drained {
                    true => "moved: its worker is drained by operators",
                    false => "moved: its zone is being evacuated",
                };
                return self.move_run(instance_no, task, run, why);
            }
        }
    }

    /// Returns the workers to evacuate, in round-robin order.
    fn workers_to_evacuate(&self) -> Vec<InstanceNo> {
        let last = self.evacuation.last_searched;
        let leaves =
            |instance: &WorkerInstance| instance.must_be_emptied() && !instance.runs().is_empty();
        let instances = self
            .instances
            .iter()
            .filter(|(_, instance)| leaves(instance) && instance.unanswered_polls == 0);
        let mut instances = instances.map(|(instance_no, _)| instance_no).collect::<Vec<_>>();
        instances.sort_by_key(|&instance_no| {
            (last.is_some_and(|last| instance_no <= last), instance_no)
        });
        instances
    }

    /// Returns a run of a worker that must move and for which there is capacity elsewhere.
    fn find_run_to_move(&mut self, instance_no: InstanceNo) -> Option<(TaskName, u32)> {
        let now = self.now;
        let instance = self.instances.get(instance_no)?;
        let runs = instance.runs().iter().filter(|(_, run)| must_move(run, now));
        let runs = runs.map(|(&task, run)| (task, run.run)).collect::<Vec<_>>();
        runs.into_iter().find(|&(task, _)| {
            let spec = self.step_spec(task).filter(|spec| !spec.gang).cloned();
            spec.is_some_and(|spec| {
                self.may_interrupt(task, &spec)
                    && !self.takes_capacity_of_short_tasks(&spec)
                    && self.has_undisturbed_placement(task, &spec)
            })
        })
    }

    /// Returns whether a task can be placed elsewhere. A serving task must also not be
    /// disturbed by best-effort tasks there, since it will soon be alone where it is.
    fn has_undisturbed_placement(&mut self, name: TaskName, spec: &StepSpec) -> bool {
        let Some(instance_no) = self.choose_worker(name, spec, &[]) else { return false };
        let image = self.jobs.get(&name.job).and_then(|job| job.images.get(name.step as usize));
        let Some((instance, &image)) = self.instances.get(instance_no).zip(image) else {
            return false;
        };
        spec.tail_target_ms.is_none()
            || added_stress(&self.tails, &full_speed_loads(instance), image) == 0.0
    }

    /// Returns whether a task may be interrupted for a move. Tasks of a long-running step move one
    /// at a time, even if the step tolerates more missing tasks.
    fn may_interrupt(&self, name: TaskName, spec: &StepSpec) -> bool {
        match spec.long_running {
            true => spec.max_unavailable != Some(0) && self.all_tasks_working(name.step_name()),
            false => true,
        }
    }

    /// Returns whether all tasks of a step are known to be working.
    fn all_tasks_working(&self, step: StepName) -> bool {
        let Some(tasks) = self.jobs.get(&step.job).and_then(|job| job.step(step)) else {
            return false;
        };
        (0..).zip(&tasks.tasks).all(|(index, task)| {
            task.placed.iter().any(|placed| {
                let instance = self
                    .instances
                    .get(placed.instance)
                    .filter(|instance| instance.unanswered_polls == 0);
                instance
                    .and_then(|instance| instance.runs().get(&step.task(index)))
                    .is_some_and(PlacedRun::reports_ready)
            })
        })
    }

    /// Logs once for each step with pending tasks if only evacuated zones have workers that could
    /// run them.
    pub(super) fn log_if_zone_required(&mut self, step: StepName) {
        if self.evacuation.zones.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(spec) = job.step_spec(step.step) else { return };
        if !self.evacuation.checked_steps.entry(step.job).or_default().insert(step.step) {
            return;
        }
        let capable = |instance: &&WorkerInstance| {
            instance.listing == Listing::Listed && could_run(instance, &job.queue.service, spec)
        };
        let mut capable = self.instances.values().filter(capable).peekable();
        if capable.peek().is_some() && capable.all(|instance| instance.zone_evacuated) {
            let (job, step) = (step.job, step.step);
            self.actions.push(Action::Log(LogEntry::WaitsForZone { job, step }));
        }
    }

    /// Clears the evacuation state of an ended job.
    pub(super) fn clear_zone_checks(&mut self, job: JobId) {
        self.evacuation.checked_steps.remove(&job);
    }
}

/// Returns whether a run must leave an evacuated zone: it is long-running, or it saves its progress
/// and has long to go.
fn must_move(run: &PlacedRun, now: Time) -> bool {
    let is_active = !run.stopping && run.is_running();
    let is_long =
        remaining_ms(run, now).is_some_and(|remaining_ms| remaining_ms > MIN_REMAINING_TO_MOVE_MS);
    is_active && (run.is_long_running || (run.keeps_progress && is_long))
}

/// Returns whether a worker could run a task if it ran nothing else.
fn could_run(instance: &WorkerInstance, service: &str, spec: &StepSpec) -> bool {
    let labelled = spec.label.as_ref().is_none_or(|label| instance.entry.labels.contains(label));
    instance.entry.service == service && labelled && spec.size.fits_in(&instance.entry.capacity)
}
