//! Answers to holds: what workers run, compared with what is believed.

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
    incarnations::ToldBy,
    tails::ImageNo,
};
use crate::Time;

impl Scheduler {
    /// Takes note of what came back to a hold.
    pub(super) fn held(
        &mut self,
        no: LifeNo,
        hold: Hold,
        sent_at: Time,
        answer: Result<Report, HoldFailure>,
    ) {
        let Some(life) = self.lives.get_mut(no) else { return };
        life.hold_sent = false;
        match answer {
            Ok(report) => match self.told_by(no, sent_at, &report) {
                ToldBy::ThisLife => self.heard(no, hold, sent_at, &report),
                ToldBy::Another(incarnation) => self.heard_another(no, incarnation, sent_at),
                ToldBy::Earlier => self.note_ends_of_earlier(no, &report.ended),
                ToldBy::Unknown => {}
            },
            Err(HoldFailure::LifeOver) => {
                return self.end_life(no, LifeEnd::AnotherAnswers);
            }
            Err(HoldFailure::Fenced) => self.hold_fenced(no, hold.token),
            Err(HoldFailure::Unhealthy) => {
                life.silent += 1;
                self.set_aside_unhealthy(no);
            }
            Err(HoldFailure::Unanswered) => self.note_silence(no),
        }
        self.schedule_hold(no);
        self.send_next_order(no);
    }

    /// Takes note of runs that ended, as a late answer says.
    pub(super) fn note_late_ends(
        &mut self,
        no: LifeNo,
        incarnation: Option<Incarnation>,
        ended: &[RunEnd],
    ) {
        let Some(life) = self.lives.get(no) else { return };
        if incarnation.is_some() && incarnation != life.entry.incarnation {
            return self.note_ends_of_earlier(no, ended);
        }
        for end in ended {
            self.run_ended(no, end);
        }
    }

    fn note_silence(&mut self, no: LifeNo) {
        if self.lives.get(no).is_some_and(|life| life.silent == 0) {
            self.note_belief(no, "silent");
        }
        self.raise_token(no);
        self.copy_from_silent(no);
    }

    fn heard(&mut self, no: LifeNo, hold: Hold, sent_at: Time, report: &Report) {
        let now = self.now;
        if self.lives.get(no).is_some_and(|life| life.silent > 0 && life.known) {
            self.note_belief(no, "heard again");
        }
        let Some(life) = self.lives.get_mut(no) else { return };
        let first = !life.known;
        life.known = true;
        life.note_heard(report.clock_ms, sent_at, now);
        self.resume_leasing(no);
        let Some(life) = self.lives.get_mut(no) else { return };
        life.ends_told = life.ends_told.max(hold.ends_kept);
        let contested = life.contested;
        life.note_running(report);
        self.unheard.remove(&no);
        if first || contested {
            self.end_earlier_lives(no, sent_at, report);
        }
        if first {
            self.forget_begun(no, report);
        }
        for end in &report.ended {
            self.run_ended(no, end);
        }
        for running in &report.running {
            self.compare_running(no, running);
        }
        self.compare_missing(no, hold, sent_at, report);
        self.check_suspects(no);
        self.check_progress(no);
        self.control_pace(no);
        if first {
            self.replan = true;
        }
    }

    /// A run that the worker reports: as believed, inherited, or one that should not be.
    fn compare_running(&mut self, no: LifeNo, running: &RunningTask) {
        let now = self.now;
        let (name, run) = (running.task, running.run);
        let placement = Placement { life: no, run };
        let wanted = self.wants(name, placement);
        let Some(life) = self.lives.get_mut(no) else { return };
        match life.runs().get(&name).map(|there| there.run) {
            Some(believed) if believed != run => return,
            Some(_) => life.note_confirmed(name, run, now),
            None => self.adopt(no, running),
        }
        match wanted {
            true => self.note_runs(name, placement, running.checkpoint.as_deref()),
            false => self.stop_run(no, name, run),
        }
    }

    /// A worker that earlier owners used answers: what it does not run of what they were about to start there never ran.
    fn forget_begun(&mut self, no: LifeNo, report: &Report) {
        let Some(life) = self.lives.get_mut(no) else { return };
        for name in mem::take(&mut life.begun_before) {
            let runs = report.running.iter().any(|running| running.task == name);
            let Some(task) = self.task_mut(name).filter(|_| !runs) else { continue };
            task.crashes.begun = None;
            self.pending.note(name.job);
        }
    }

    /// Whether a run may go on: its job is open, its task not done and not placed elsewhere.
    fn wants(&self, name: TaskName, placement: Placement) -> bool {
        let Some(job) = self.jobs.get(&name.job).filter(|job| job.is_open()) else { return false };
        let copies = job.step_spec(name.step).is_some_and(|step| step.copies_allowed);
        job.task(name).is_some_and(|task| {
            let here = task.placed.contains(&placement);
            !task.done && (here || task.placed.is_empty() || copies)
        })
    }

    fn note_runs(&mut self, name: TaskName, placement: Placement, checkpoint: Option<&str>) {
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

    /// Takes over a run that an earlier owner started.
    fn adopt(&mut self, no: LifeNo, running: &RunningTask) {
        let now = self.now;
        let name = running.task;
        let image = self.image_of(name);
        // Of what is not known, its job having ended, all that can be said is that it fits.
        let size = self.lives.get(no).map(|life| life.entry.capacity).unwrap_or_default();
        let unknown = StepSpec { size, ..StepSpec::default() };
        let spec = self.step_spec(name).unwrap_or(&unknown);
        let there = RunThere {
            phase: Phase::Running(now),
            percent: running.percent,
            progress: Progress { from_percent: running.percent, ..Progress::new(now) },
            gauge: running.gauge,
            paced_percent: UNKNOWN_PACE_PERCENT,
            adopted: true,
            ..RunThere::new(running.run, spec, image, now)
        };
        if let Some(life) = self.lives.get_mut(no) {
            life.insert_run(name, there);
        }
    }

    /// The image of a task; the one without a name for a task of no known job.
    fn image_of(&mut self, name: TaskName) -> ImageNo {
        let known = self.jobs.get(&name.job).and_then(|job| job.images.get(name.step as usize));
        known.copied().unwrap_or_else(|| self.tails.number(None))
    }

    /// Gives up runs that are believed there and not reported.
    fn compare_missing(&mut self, no: LifeNo, hold: Hold, sent_at: Time, report: &Report) {
        let Some(life) = self.lives.get(no) else { return };
        let reported = |name: TaskName, run: u32| {
            report.running.iter().any(|running| running.task == name && running.run == run)
        };
        let missing = life.runs().iter().filter(|&(&name, there)| {
            let settled = match there.phase {
                Phase::Unkept | Phase::Ordered => false,
                Phase::Doubtful { settled_by } => hold.token >= settled_by,
                Phase::Running(since) => since < sent_at,
            };
            settled && !reported(name, there.run)
        });
        let why = "its worker does not run it and would not start it any more";
        let missing = missing.map(|(&name, there)| (name, there.run)).collect::<Vec<_>>();
        for (task, run) in missing {
            self.note_given_up(no, task, why);
            self.drop_run(no, task, run);
        }
    }
}
