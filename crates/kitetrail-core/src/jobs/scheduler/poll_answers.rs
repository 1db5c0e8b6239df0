//! Handles answers to polls: reconciles what workers run with the scheduler's state.

use std::{mem, time::Duration};

use super::{
    super::{
        instance::{InstanceEnd, InstanceNo},
        names::{Incarnation, TaskName},
        report::{Poll, PollFailure, Report, RunEnd, RunningTask},
        run::{Phase, PlacedRun, Progress, UNKNOWN_PACE_PERCENT},
        spec::StepSpec,
        steps::Placement,
    },
    Scheduler,
    incarnations::ReportSource,
    polls::MAX_POLL_WAIT,
    tails::ImageNo,
};
use crate::Time;

/// The time on a worker's clock after its first report by which all polls of earlier owners are
/// answered: the longest wait of a poll, and a margin for the answer.
const EARLIER_POLLS_TIMEOUT: Duration = MAX_POLL_WAIT.saturating_add(Duration::from_millis(100));

impl Scheduler {
    /// Handles the answer to a poll, or its failure.
    pub(super) fn handle_poll_answer(
        &mut self,
        instance_no: InstanceNo,
        poll: Poll,
        sent_at: Time,
        answer: Result<Report, PollFailure>,
    ) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        instance.poll_in_flight = false;
        match answer {
            Ok(report) => match self.report_source(instance_no, sent_at, &report) {
                ReportSource::ThisInstance => {
                    self.handle_report(instance_no, poll, sent_at, &report)
                }
                ReportSource::Another(incarnation) => {
                    self.handle_other_incarnation(instance_no, incarnation, sent_at)
                }
                ReportSource::Earlier => {
                    self.handle_ends_of_earlier_incarnation(instance_no, &report.ended)
                }
                ReportSource::Unknown => {}
            },
            Err(PollFailure::InstanceOver) => {
                return self.end_instance(instance_no, InstanceEnd::AnotherAnswers);
            }
            Err(PollFailure::Fenced) => self.handle_fenced_poll(instance_no, poll.token),
            Err(PollFailure::Unhealthy) => {
                instance.unanswered_polls += 1;
                self.quarantine_unhealthy(instance_no);
            }
            Err(PollFailure::Unanswered) => self.handle_silence(instance_no),
        }
        self.schedule_poll(instance_no);
        self.renew_leases_if_late(instance_no, poll);
        self.send_next_order(instance_no);
    }

    /// Handles ends of runs reported in a late answer.
    pub(super) fn handle_late_ends(
        &mut self,
        instance_no: InstanceNo,
        incarnation: Option<Incarnation>,
        ended: &[RunEnd],
    ) {
        let Some(instance) = self.instances.get(instance_no) else { return };
        if incarnation.is_some() && incarnation != instance.entry.incarnation {
            return self.handle_ends_of_earlier_incarnation(instance_no, ended);
        }
        for end in ended {
            self.handle_run_end(instance_no, end);
        }
    }

    fn handle_silence(&mut self, instance_no: InstanceNo) {
        if self.instances.get(instance_no).is_some_and(|instance| instance.unanswered_polls == 0) {
            self.log_worker_state(instance_no, "silent");
        }
        self.raise_token_after_silence(instance_no);
        self.copy_runs_of_silent_worker(instance_no);
    }

    fn handle_report(
        &mut self,
        instance_no: InstanceNo,
        poll: Poll,
        sent_at: Time,
        report: &Report,
    ) {
        let now = self.now;
        if self
            .instances
            .get(instance_no)
            .is_some_and(|instance| instance.unanswered_polls > 0 && instance.has_reported())
        {
            self.log_worker_state(instance_no, "answers again");
        }
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let first = !instance.has_reported();
        instance.first_report_clock_ms.get_or_insert(report.clock_ms);
        instance.record_report(report.clock_ms, sent_at, now);
        instance.record_answer(report.clock_ms, sent_at, now);
        self.dismiss_losses_of_answering(instance_no);
        self.resume_leasing(instance_no);
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        instance.last_end_acknowledged = instance.last_end_acknowledged.max(poll.acknowledged_end);
        let contested = instance.contested;
        instance.update_running(report);
        self.record_unlisted_ends(instance_no, !report.lists_all_ends);
        if first || contested {
            self.end_earlier_instances(instance_no, sent_at, report);
            self.confirm_losses_at_place(instance_no, sent_at);
        }
        if first {
            self.clear_unstarted(instance_no, report);
        }
        for end in &report.ended {
            self.handle_run_end(instance_no, end);
        }
        for running in &report.running {
            self.reconcile_running(instance_no, running);
        }
        self.account_for_runs(instance_no, report);
        if report.lists_all_ends {
            self.unconfirmed_instances.remove(&instance_no);
            self.reconcile_missing(instance_no, poll, sent_at, report);
        }
        self.check_suspects(instance_no);
        self.assess_worker(instance_no, report.clock_ms);
        // Runs whose ends are not listed yet would seem stalled.
        if report.lists_all_ends {
            self.check_progress(instance_no);
        }
        self.learn_and_update_paces(instance_no);
        if first {
            self.placement_needed = true;
        }
    }

    /// Records whether a worker has ends that its report did not list.
    fn record_unlisted_ends(&mut self, instance_no: InstanceNo, has_unlisted_ends: bool) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let had_unlisted_ends = mem::replace(&mut instance.has_unlisted_ends, has_unlisted_ends);
        match (had_unlisted_ends, has_unlisted_ends) {
            (false, true) => self.log_worker_state(instance_no, "lists only some of its ends"),
            (true, false) => self.log_worker_state(instance_no, "lists all of its ends"),
            _ => {}
        }
    }

    /// Reconciles a reported run, which may be expected, inherited or unwanted.
    fn reconcile_running(&mut self, instance_no: InstanceNo, running: &RunningTask) {
        let now = self.now;
        let (name, run) = (running.task, running.run);
        let placement = Placement { instance: instance_no, run };
        let is_wanted = self.should_run(name, placement);
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        match instance.runs().get(&name).map(|run_state| run_state.run) {
            Some(expected) if expected != run => return,
            Some(_) => instance.mark_running(name, run, now),
            None => self.adopt(instance_no, running),
        }
        match is_wanted {
            true => self.record_running(name, placement, running.checkpoint.as_deref()),
            false => self.stop_run(instance_no, name, run),
        }
    }

    /// Accounts for the tasks that a worker runs: none of them runs elsewhere, or will.
    ///
    /// A task has one run at a time, so the previous owner starts another one only once it knows that
    /// this one ended. From the worker's first report to this owner on, it refuses the previous one,
    /// but it may still answer a poll that was waiting before. A run that is reported after all such
    /// polls are answered ends unnoticed by the previous owner. The end of a run shows less: the
    /// previous owner may have known of it and started the next run on a worker that has not reported.
    fn account_for_runs(&mut self, instance_no: InstanceNo, report: &Report) {
        let first_clock_ms =
            self.instances.get(instance_no).and_then(|instance| instance.first_report_clock_ms);
        let earlier_polls_are_over = first_clock_ms.is_some_and(|first_clock_ms| {
            report.clock_ms >= first_clock_ms + EARLIER_POLLS_TIMEOUT.as_millis() as u64
        });
        if !self.awaits_workers() || !earlier_polls_are_over {
            return;
        }
        for RunningTask { task, run, .. } in &report.running {
            let placement = Placement { instance: instance_no, run: *run };
            let task = self.task_mut(*task);
            if let Some(task) = task.filter(|task| task.placed.contains(&placement)) {
                task.is_unaccounted = false;
            }
        }
    }

    /// Clears recorded starts when a worker used by an earlier owner answers: tasks recorded as
    /// about to start there that it does not run never ran.
    fn clear_unstarted(&mut self, instance_no: InstanceNo, report: &Report) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        for name in mem::take(&mut instance.inherited_starts) {
            let runs = report.running.iter().any(|running| running.task == name);
            let Some(task) = self.task_mut(name).filter(|_| !runs) else { continue };
            task.crashes.begun = None;
            self.record_task_progress(name);
        }
    }

    /// Returns whether a run may continue: its job is open, and its task is neither done nor placed
    /// elsewhere.
    fn should_run(&self, name: TaskName, placement: Placement) -> bool {
        let Some(job) = self.jobs.get(&name.job).filter(|job| job.is_open()) else { return false };
        let copies = job.step_spec(name.step).is_some_and(|step| step.copies_allowed);
        job.task(name).is_some_and(|task| {
            let placed_here = task.placed.contains(&placement);
            !task.done && (placed_here || task.placed.is_empty() || copies)
        })
    }

    fn record_running(&mut self, name: TaskName, placement: Placement, checkpoint: Option<&str>) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        job.has_started = true;
        let Some(task) = job.task_mut(name) else { return };
        if !task.placed.contains(&placement) {
            task.placed.push(placement);
        }
        task.last_run = task.last_run.max(placement.run);
        task.maybe_started_before = false;
        // An earlier owner let the task start: it has waited for long enough.
        task.proof_due_at = None;
        if checkpoint.is_some() && checkpoint != task.checkpoint.as_deref() {
            task.checkpoint = checkpoint.map(str::to_owned);
        }
    }

    /// Adopts a run that an earlier owner started.
    fn adopt(&mut self, instance_no: InstanceNo, running: &RunningTask) {
        let now = self.now;
        let name = running.task;
        let image = self.image_of(name);
        // If the job has ended its spec is unknown. All that is certain is that the task fits the
        // worker.
        let size = self
            .instances
            .get(instance_no)
            .map(|instance| instance.entry.capacity)
            .unwrap_or_default();
        let unknown = StepSpec { size, ..StepSpec::default() };
        let spec = self.step_spec(name).unwrap_or(&unknown);
        let run_state = PlacedRun {
            phase: Phase::Running(now),
            percent: running.percent,
            progress: Progress { from_percent: running.percent, ..Progress::new(now) },
            gauge: running.gauge,
            paced_percent: UNKNOWN_PACE_PERCENT,
            started_by_predecessor: true,
            ..PlacedRun::new(running.run, spec, image, now)
        };
        if let Some(instance) = self.instances.get_mut(instance_no) {
            instance.insert_run(name, run_state);
        }
    }

    /// Returns the image of a task, or the unnamed image if its job is unknown.
    fn image_of(&mut self, name: TaskName) -> ImageNo {
        let known = self.jobs.get(&name.job).and_then(|job| job.images.get(name.step as usize));
        known.copied().unwrap_or_else(|| self.tails.image_no(None))
    }

    /// Drops runs that the scheduler expects on a worker but the worker does not report, given a
    /// report that lists all ends.
    fn reconcile_missing(
        &mut self,
        instance_no: InstanceNo,
        poll: Poll,
        sent_at: Time,
        report: &Report,
    ) {
        let Some(instance) = self.instances.get(instance_no) else { return };
        let reported = |name: TaskName, run: u32| {
            report.running.iter().any(|running| running.task == name && running.run == run)
        };
        let missing = instance.runs().iter().filter(|&(&name, run_state)| {
            let is_settled = match run_state.phase {
                Phase::Unpersisted | Phase::Ordered => false,
                Phase::StartUnanswered { settling_token } => poll.token >= settling_token,
                Phase::Running(since) => since < sent_at,
            };
            is_settled && !reported(name, run_state.run)
        });
        let why = "its worker does not run it and can no longer start it";
        let missing = missing.map(|(&name, run_state)| (name, run_state.run)).collect::<Vec<_>>();
        for (task, run) in missing {
            self.log_dropped_run(instance_no, task, why);
            self.drop_run(instance_no, task, run);
        }
    }
}
