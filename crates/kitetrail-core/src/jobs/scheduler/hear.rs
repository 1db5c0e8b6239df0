//! Reports of workers: what they run and what ended there, against what is believed.

use std::time::Duration;

use super::{
    super::{
        event::{Action, Hold, HoldFailure, Note, Order, Report, RunningTask},
        job::{Job, Placement},
        life::{LifeNo, Phase, Progress, RunThere},
        names::TaskName,
    },
    Scheduler,
    tails::{Estimate, ImageNo, TailModel},
};
use crate::Time;

/// How long a worker that says it is not well gets no new work.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(1_000);

impl Scheduler {
    pub(super) fn held(
        &mut self,
        no: LifeNo,
        hold: Hold,
        sent_at: Time,
        answer: Result<Report, HoldFailure>,
    ) {
        let Some(life) = self.lives.get_mut(&no) else { return };
        life.hold_sent = false;
        match answer {
            Ok(report) => self.heard(no, hold, sent_at, &report),
            Err(HoldFailure::LifeOver) => {
                return self.end_life(no, "over: it answers as another life");
            }
            Err(HoldFailure::Fenced) => self.hold_fenced(no, hold.token),
            Err(HoldFailure::Unhealthy) => {
                life.set_aside_until = Some(self.now + UNHEALTHY_PAUSE);
                life.silent += 1;
            }
            Err(HoldFailure::Unanswered) => self.note_silence(no),
        }
        self.schedule_hold(no);
        self.send_next_order(no);
    }

    fn note_silence(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get(&no) else { return };
        if life.silent == 0 {
            let worker = life.id().clone();
            let heard_ago_ms = life.heard_ago_ms(self.now);
            let belief = "silent";
            self.out.push(Action::Note(Note::Worker { worker, belief, heard_ago_ms }));
        }
        self.raise_token(no);
        self.copy_from_silent(no);
    }

    fn heard(&mut self, no: LifeNo, hold: Hold, sent_at: Time, report: &Report) {
        let now = self.now;
        let Some(life) = self.lives.get_mut(&no) else { return };
        if life.silent > 0 && life.known {
            let worker = life.id().clone();
            let heard_ago_ms = life.heard_ago_ms(now);
            let belief = "heard again";
            self.out.push(Action::Note(Note::Worker { worker, belief, heard_ago_ms }));
        }
        life.note_heard(report.clock_ms, now);
        let first = !life.known;
        life.known = true;
        life.note_running(report);
        self.unheard.remove(&no);
        for end in &report.ended {
            self.run_ended(no, end);
        }
        for running in &report.running {
            self.compare_running(no, running);
        }
        self.compare_missing(no, hold, sent_at, report);
        self.check_progress(no);
        self.control_pace(no);
        if first {
            self.replan = true;
        }
    }

    /// A run that the worker reports: as believed, inherited, or one that should not be.
    fn compare_running(&mut self, no: LifeNo, running: &RunningTask) {
        let now = self.now;
        let name = running.task;
        let placement = Placement { life: no, run: running.run };
        let wanted = self.wants(name, placement);
        let Some(life) = self.lives.get_mut(&no) else { return };
        match life.run_mut(name) {
            Some(there) if there.run == running.run => {
                if !matches!(there.phase, Phase::Running(_)) {
                    there.phase = Phase::Running(now);
                }
            }
            Some(_) => return,
            None => self.adopt(no, running),
        }
        match wanted {
            true => self.note_runs(name, placement, running.checkpoint.as_deref()),
            false => self.stop_run(no, Order::Stop { task: name, run: running.run }),
        }
    }

    /// Whether a run may go on: its job is open, its task not done and not placed elsewhere.
    fn wants(&self, name: TaskName, placement: Placement) -> bool {
        let Some(job) = self.jobs.get(&name.job).filter(|job| job.is_open()) else { return false };
        let task = job.task(name.occurrence, name.step, name.index);
        let copies = job.spec.steps.get(name.step as usize).is_some_and(|step| step.copies_allowed);
        task.is_some_and(|task| {
            let here = task.placed.contains(&placement);
            !task.done && (here || task.placed.is_empty() || copies)
        })
    }

    fn note_runs(&mut self, name: TaskName, placement: Placement, checkpoint: Option<&str>) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        job.begun = true;
        let Some(task) = job.task_mut(name.occurrence, name.step, name.index) else { return };
        if !task.placed.contains(&placement) {
            task.placed.push(placement);
        }
        task.last_run = task.last_run.max(placement.run);
        if let Some(checkpoint) =
            checkpoint.filter(|&text| task.checkpoint.as_deref() != Some(text))
        {
            task.checkpoint = Some(checkpoint.to_owned());
        }
    }

    /// Enters a run that an earlier owner started into the books.
    fn adopt(&mut self, no: LifeNo, running: &RunningTask) {
        let name = running.task;
        let now = self.now;
        let image = step_image(&mut self.tails, self.jobs.get(&name.job), name.step);
        let step = self.jobs.get(&name.job).and_then(|job| job.spec.steps.get(name.step as usize));
        let there = RunThere {
            run: running.run,
            phase: Phase::Running(now),
            size: step.map(|step| step.size).unwrap_or_default(),
            fills: step.is_some_and(|step| step.fills),
            serves: step.is_some_and(|step| step.tail_target_ms.is_some()),
            stopping: false,
            lasts: step.is_some_and(|step| step.lasts),
            keeps_progress: step.is_some_and(|step| step.keeps_progress),
            tail_target_ms: step.and_then(|step| step.tail_target_ms),
            image,
            percent: running.percent,
            progress: Progress { from_percent: running.percent, ..Progress::new(now) },
            gauge: running.gauge,
            paced_percent: u8::MAX,
            own_stress: Estimate::own(),
            learned_at: None,
            over_since: None,
        };
        if let Some(life) = self.lives.get_mut(&no) {
            life.insert_run(name, there);
        }
    }

    /// Runs that are believed there and not reported.
    fn compare_missing(&mut self, no: LifeNo, hold: Hold, sent_at: Time, report: &Report) {
        let Some(life) = self.lives.get(&no) else { return };
        let reported = |name: &TaskName, run: u32| {
            report.running.iter().any(|running| running.task == *name && running.run == run)
        };
        let missing = life.runs().iter().filter(|(name, there)| {
            let settled = match there.phase {
                Phase::Ordered => false,
                Phase::Doubtful { settled_by } => hold.token >= settled_by,
                Phase::Running(since) => since < sent_at,
            };
            settled && !reported(name, there.run)
        });
        let missing = missing.map(|(&name, there)| (name, there.run)).collect::<Vec<_>>();
        let worker = life.id().clone();
        for (task, run) in missing {
            let why = "its worker does not run it and would not start it any more";
            let worker = worker.clone();
            self.out.push(Action::Note(Note::RunGivenUp { task, run, worker, why }));
            self.drop_run(no, task, run);
        }
    }
}

fn step_image(tails: &mut TailModel, job: Option<&Job>, step: u32) -> ImageNo {
    let known = job.and_then(|job| job.images.get(step as usize)).copied();
    known.unwrap_or_else(|| tails.number(None))
}
