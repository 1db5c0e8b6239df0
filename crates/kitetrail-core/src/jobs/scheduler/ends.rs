//! Applies the end of a run to its task, its job and its worker.

use std::time::Duration;

use super::{
    super::{
        end_cause::EndCause,
        event::Action,
        instance::{InstanceNo, JustEnded},
        log_entry::LogEntry,
        names::TaskName,
        report::{RunEnd, RunResult},
        run::{FULL_PACE_PERCENT, Phase, PlacedRun},
        steps::Placement,
        turnaround::Turnaround,
    },
    Scheduler,
    turnarounds::turnaround,
};
use crate::Time;

/// The pause after a failed run, multiplied by the number of failed runs. Short, because most
/// failures are caused by the worker and the next run goes elsewhere.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);

impl Scheduler {
    /// Handles an end that a worker reports. Repeated reports are ignored.
    pub(super) fn handle_run_end(&mut self, instance_no: InstanceNo, end: &RunEnd) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        if end.number <= instance.last_end_received {
            return self.log_ignored_end(instance_no, end);
        }
        instance.last_end_received = end.number;
        let ended = instance.remove_run(end.task, end.run);
        let done = ended.as_ref().filter(|_| end.how == RunResult::Done);
        let run_duration_ms = done.and_then(|run| run_duration_ms(run, now));
        let turnaround = ended.as_ref().and_then(|run| turnaround(run, instance, now));
        if let Some((run, turnaround)) = done.zip(turnaround) {
            self.turnarounds.record(run.kind(), turnaround);
        }
        match &ended {
            Some(run) => self.learn_from_end(instance_no, end.task, run, end.how, run_duration_ms),
            // An earlier owner started the run. It still shows on which workers its job fails.
            None if end.how == RunResult::Failed => {
                self.fleet_health.record_failure(end.task.job, instance_no, now);
            }
            None => {}
        }
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        if let Some(run) = ended.filter(|run| run.is_best_effort) {
            let cpu_millis = run.gauge.unwrap_or(run.size.cpu_millis.0);
            instance.just_ended.push(JustEnded { image: run.image, cpu_millis, at: now });
        }
        self.pending.record_end(instance_no, end.number);
        self.record_duration(end.task, run_duration_ms);
        self.apply_run_end(instance_no, end, turnaround);
    }

    /// Handles ends of an earlier instance of a worker that arrive in a late answer.
    ///
    /// The ends are valid regardless of who reports them, but their numbers belong to the earlier
    /// instance only.
    pub(super) fn handle_ends_of_earlier_incarnation(
        &mut self,
        instance_no: InstanceNo,
        ended: &[RunEnd],
    ) {
        for end in ended {
            self.apply_run_end(instance_no, end, None);
        }
    }

    /// Applies the end of a run to its task and its job.
    fn apply_run_end(
        &mut self,
        instance_no: InstanceNo,
        end: &RunEnd,
        turnaround: Option<Turnaround>,
    ) {
        let Some(worker) = self.instances.get(instance_no).map(|instance| instance.id().clone())
        else {
            return;
        };
        let RunEnd { task, run, how, .. } = *end;
        let entry = LogEntry::RunEnded { task, run, worker, how, turnaround };
        self.actions.push(Action::Log(entry));
        self.placement_needed = true;
        self.remove_placement(end.task, Placement { instance: instance_no, run: end.run });
        self.update_checkpoint(end);
        match end.how {
            RunResult::Done => self.complete_task(instance_no, end.task),
            RunResult::Failed => self.record_failed_run(instance_no, end),
            RunResult::Stopped | RunResult::Lapsed | RunResult::Broken | RunResult::Alone => {}
        }
    }

    /// Logs an end whose number was already seen although its run is considered active. A run whose
    /// end is merely repeated was removed when the end was first reported.
    fn log_ignored_end(&mut self, instance_no: InstanceNo, end: &RunEnd) {
        let Some(instance) = self.instances.get(instance_no) else { return };
        if instance.runs().get(&end.task).is_some_and(|active_run| active_run.run == end.run) {
            let RunEnd { task, run, number, .. } = *end;
            let (worker, seen) = (instance.id().clone(), instance.last_end_received);
            self.actions.push(Action::Log(LogEntry::DuplicateEndIgnored {
                task,
                run,
                worker,
                number,
                seen,
            }));
        }
    }

    fn update_checkpoint(&mut self, end: &RunEnd) {
        let Some(task) = self.task_mut(end.task) else { return };
        task.last_run = task.last_run.max(end.run);
        task.maybe_started_before = false;
        if end.checkpoint.is_some() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
    }

    fn record_duration(&mut self, name: TaskName, run_duration_ms: Option<u64>) {
        let Some(run_duration_ms) = run_duration_ms else { return };
        let job = self.jobs.get_mut(&name.job);
        if let Some(step) = job.and_then(|job| job.step_mut(name.step_name())) {
            step.completed_runs += 1;
            step.completed_runs_ms += run_duration_ms;
        }
    }

    fn complete_task(&mut self, instance_no: InstanceNo, name: TaskName) {
        if let Some(instance) = self.instances.get_mut(instance_no) {
            instance.failures = 0;
            instance.quarantine_count = 0;
        }
        let Some(job) = self.jobs.get_mut(&name.job).filter(|job| job.is_open()) else { return };
        let Some(spec) = job.step_spec(name.step) else { return };
        let gang = spec.gang;
        if spec.long_running {
            // The task was to run until its job is cancelled, so it waits for a worker again.
            return;
        }
        let progress = match gang {
            true => job.progress_keys_of_step(name.step_name()).collect(),
            false => vec![job.progress_key(name)],
        };
        let Some(step) = job.step_mut(name.step_name()) else { return };
        let copies = step.mark_done(name, gang);
        // Steps that depend on this one may now be ready.
        job.may_have_waiting_tasks = true;
        let all_done = job.all_done();
        job.remove_done_occurrences();
        progress.into_iter().for_each(|key| self.pending.record_progress(key));
        // Other members of a gang end on their own; speculative copies of a task must be stopped.
        for placed in copies.into_iter().filter(|_| !gang) {
            self.stop_run(placed.instance, name, placed.run);
        }
        if all_done {
            self.end_job(name.job, EndCause::Completed);
        }
    }

    fn record_failed_run(&mut self, instance_no: InstanceNo, end: &RunEnd) {
        let now = self.now;
        let name = end.task;
        if self.blames_worker_for_failure(instance_no, name) {
            self.record_run_failure(instance_no);
        }
        let Some(job) = self.jobs.get_mut(&name.job).filter(|job| job.is_open()) else { return };
        let Some(spec) = job.step_spec(name.step) else { return };
        let (gang, long_running) = (spec.gang, spec.long_running);
        let max_attempts = job.queue.max_attempts.max(1);
        let Some(task) = job.task_mut(name).filter(|task| !task.done) else { return };
        if !long_running {
            task.failed_runs.insert(end.run);
        }
        task.avoided_instance = Some(instance_no);
        let failed = task.failed_runs.len() as u32;
        task.not_before = Some(now + RETRY_BACKOFF * failed.max(1));
        let failed_runs = if gang { job.failed_runs_of_gang(name.step_name()) } else { failed };
        self.record_task_progress(name);
        if !long_running && failed_runs >= max_attempts {
            self.end_job(name.job, EndCause::FailedRuns { task: name, failed_runs, max_attempts });
        }
    }
}

/// Returns the duration of a completed run, in milliseconds, or `None` if it does not represent the
/// whole task: the run resumed from a checkpoint or was throttled.
fn run_duration_ms(run: &PlacedRun, now: Time) -> Option<u64> {
    let Phase::Running(since) = run.phase else { return None };
    let paced = run.is_best_effort && run.paced_percent < FULL_PACE_PERCENT;
    let is_representative = run.progress.from_percent == 0 && !paced;
    is_representative.then(|| now.since(since).as_millis() as u64)
}
