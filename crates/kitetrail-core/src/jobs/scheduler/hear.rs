//! Handles answers to holds: reconciles what workers run with the scheduler's state.

use std::mem;

use super::{
    super::{
        life::{LifeEnd, LifeNo},
        names::{Incarnation, TaskName},
        report::{Hold, HoldFailure, Report, RunEnd, RunningTask},
        run::{Phase, Progress, RunThere, UNKNOWN_PACE_PERCENT},
        spec::StepSpec,
        steps::Placement,
    },
    Scheduler,
    incarnations::ReportSource,
    tails::ImageNo,
};
use crate::Time;

impl Scheduler {
    /// Handles the answer to a hold, or its failure.
    pub(super) fn handle_hold_answer(
        &mut self,
        life_no: LifeNo,
        hold: Hold,
        sent_at: Time,
        answer: Result<Report, HoldFailure>,
    ) {
        let Some(life) = self.lives.get_mut(life_no) else { return };
        life.hold_sent = false;
        match answer {
            Ok(report) => match self.report_source(life_no, sent_at, &report) {
                ReportSource::ThisLife => self.handle_report(life_no, hold, sent_at, &report),
                ReportSource::Another(incarnation) => {
                    self.handle_other_incarnation(life_no, incarnation, sent_at)
                }
                ReportSource::Earlier => {
                    self.handle_ends_of_earlier_incarnation(life_no, &report.ended)
                }
                ReportSource::Unknown => {}
            },
            Err(HoldFailure::LifeOver) => {
                return self.end_life(life_no, LifeEnd::AnotherAnswers);
            }
            Err(HoldFailure::Fenced) => self.handle_fenced_hold(life_no, hold.token),
            Err(HoldFailure::Unhealthy) => {
                life.silent += 1;
                self.set_aside_unhealthy(life_no);
            }
            Err(HoldFailure::Unanswered) => self.handle_silence(life_no),
        }
        self.schedule_hold(life_no);
        self.send_next_order(life_no);
    }

    /// Handles ends of runs reported in a late answer.
    pub(super) fn handle_late_ends(
        &mut self,
        life_no: LifeNo,
        incarnation: Option<Incarnation>,
        ended: &[RunEnd],
    ) {
        let Some(life) = self.lives.get(life_no) else { return };
        if incarnation.is_some() && incarnation != life.entry.incarnation {
            return self.handle_ends_of_earlier_incarnation(life_no, ended);
        }
        for end in ended {
            self.handle_run_end(life_no, end);
        }
    }

    fn handle_silence(&mut self, life_no: LifeNo) {
        if self.lives.get(life_no).is_some_and(|life| life.silent == 0) {
            self.log_worker_state(life_no, "silent");
        }
        self.raise_token_after_silence(life_no);
        self.copy_from_silent(life_no);
    }

    fn handle_report(&mut self, life_no: LifeNo, hold: Hold, sent_at: Time, report: &Report) {
        let now = self.now;
        if self.lives.get(life_no).is_some_and(|life| life.silent > 0 && life.known) {
            self.log_worker_state(life_no, "answers again");
        }
        let Some(life) = self.lives.get_mut(life_no) else { return };
        let first = !life.known;
        life.known = true;
        life.note_heard(report.clock_ms, sent_at, now);
        self.resume_leasing(life_no);
        let Some(life) = self.lives.get_mut(life_no) else { return };
        life.ends_told = life.ends_told.max(hold.ends_kept);
        let contested = life.contested;
        life.note_running(report);
        self.unheard.remove(&life_no);
        if first || contested {
            self.end_earlier_lives(life_no, sent_at, report);
        }
        if first {
            self.clear_unstarted(life_no, report);
        }
        for end in &report.ended {
            self.handle_run_end(life_no, end);
        }
        for running in &report.running {
            self.reconcile_running(life_no, running);
        }
        self.reconcile_missing(life_no, hold, sent_at, report);
        self.check_suspects(life_no);
        self.check_progress(life_no);
        self.control_pace(life_no);
        if first {
            self.placement_needed = true;
        }
    }

    /// Reconciles a reported run, which may be expected, inherited or unwanted.
    fn reconcile_running(&mut self, life_no: LifeNo, running: &RunningTask) {
        let now = self.now;
        let (name, run) = (running.task, running.run);
        let placement = Placement { life: life_no, run };
        let is_wanted = self.should_run(name, placement);
        let Some(life) = self.lives.get_mut(life_no) else { return };
        match life.runs().get(&name).map(|run_state| run_state.run) {
            Some(expected) if expected != run => return,
            Some(_) => life.note_confirmed(name, run, now),
            None => self.adopt(life_no, running),
        }
        match is_wanted {
            true => self.record_running(name, placement, running.checkpoint.as_deref()),
            false => self.stop_run(life_no, name, run),
        }
    }

    /// Clears recorded starts when a worker used by an earlier owner answers: tasks recorded as
    /// about to start there that it does not run never ran.
    fn clear_unstarted(&mut self, life_no: LifeNo, report: &Report) {
        let Some(life) = self.lives.get_mut(life_no) else { return };
        for name in mem::take(&mut life.begun_before) {
            let runs = report.running.iter().any(|running| running.task == name);
            let Some(task) = self.task_mut(name).filter(|_| !runs) else { continue };
            task.crashes.begun = None;
            self.pending.note(name.job);
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
        job.begun = true;
        let Some(task) = job.task_mut(name) else { return };
        if !task.placed.contains(&placement) {
            task.placed.push(placement);
        }
        task.last_run = task.last_run.max(placement.run);
        task.unaccounted = false;
        if checkpoint.is_some() && checkpoint != task.checkpoint.as_deref() {
            task.checkpoint = checkpoint.map(str::to_owned);
        }
    }

    /// Adopts a run that an earlier owner started.
    fn adopt(&mut self, life_no: LifeNo, running: &RunningTask) {
        let now = self.now;
        let name = running.task;
        let image = self.image_of(name);
        // If the job has ended its spec is unknown. All that is certain is that the task fits the
        // worker.
        let size = self.lives.get(life_no).map(|life| life.entry.capacity).unwrap_or_default();
        let unknown = StepSpec { size, ..StepSpec::default() };
        let spec = self.step_spec(name).unwrap_or(&unknown);
        let run_state = RunThere {
            phase: Phase::Running(now),
            percent: running.percent,
            progress: Progress { from_percent: running.percent, ..Progress::new(now) },
            gauge: running.gauge,
            paced_percent: UNKNOWN_PACE_PERCENT,
            adopted: true,
            ..RunThere::new(running.run, spec, image, now)
        };
        if let Some(life) = self.lives.get_mut(life_no) {
            life.insert_run(name, run_state);
        }
    }

    /// Returns the image of a task, or the unnamed image if its job is unknown.
    fn image_of(&mut self, name: TaskName) -> ImageNo {
        let known = self.jobs.get(&name.job).and_then(|job| job.images.get(name.step as usize));
        known.copied().unwrap_or_else(|| self.tails.number(None))
    }

    /// Drops runs that the scheduler expects on a worker but the worker does not report.
    fn reconcile_missing(&mut self, life_no: LifeNo, hold: Hold, sent_at: Time, report: &Report) {
        let Some(life) = self.lives.get(life_no) else { return };
        let reported = |name: TaskName, run: u32| {
            report.running.iter().any(|running| running.task == name && running.run == run)
        };
        let missing = life.runs().iter().filter(|&(&name, run_state)| {
            let is_settled = match run_state.phase {
                Phase::Unkept | Phase::Ordered => false,
                Phase::Doubtful { settled_by } => hold.token >= settled_by,
                Phase::Running(since) => since < sent_at,
            };
            is_settled && !reported(name, run_state.run)
        });
        let why = "its worker does not run it and can no longer start it";
        let missing = missing.map(|(&name, run_state)| (name, run_state.run)).collect::<Vec<_>>();
        for (task, run) in missing {
            self.log_dropped_run(life_no, task, why);
            self.drop_run(life_no, task, run);
        }
    }
}
