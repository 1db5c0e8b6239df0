//! What the end of a run means for its task, its job and its worker.

use std::time::Duration;

use super::{
    super::{
        event::Action,
        life::{JustEnded, LifeNo},
        names::TaskName,
        note::Note,
        record::Outcome,
        report::{HowEnded, RunEnd},
        run::{FULL_PACE_PERCENT, Phase, RunThere},
        steps::Placement,
    },
    Scheduler,
};
use crate::Time;

/// How long a task waits after a failed run, for each that failed. Short: most failures are the
/// worker's, and the next run goes elsewhere.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

impl Scheduler {
    /// Takes note of an end that a worker reports, once.
    pub(super) fn run_ended(&mut self, no: LifeNo, end: &RunEnd) {
        let now = self.now;
        let Some(life) = self.lives.get_mut(no) else { return };
        if end.number <= life.ends_seen {
            return self.note_passed_over(no, end);
        }
        life.ends_seen = end.number;
        let ended = life.remove_run(end.task, end.run);
        let done = ended.as_ref().filter(|_| end.how == HowEnded::Done);
        let took_ms = done.and_then(|run| took_ms(run, now));
        if let Some(run) = ended.filter(|run| run.fills) {
            let cpu_millis = run.gauge.unwrap_or(run.size.cpu_millis.0);
            life.just_ended.push(JustEnded { image: run.image, cpu_millis, at: now });
        }
        self.pending.note_end(no, end.number);
        self.note_time(end.task, took_ms);
        self.settle_end(no, end);
    }

    /// Takes note of ends that an earlier life under a worker's id told, in an answer that came late.
    ///
    /// What ended has ended, whoever tells; the numbers are those of that life and count for no other.
    pub(super) fn note_ends_of_earlier(&mut self, no: LifeNo, ended: &[RunEnd]) {
        for end in ended {
            self.settle_end(no, end);
        }
    }

    /// What the end of a run means for its task and its job.
    fn settle_end(&mut self, no: LifeNo, end: &RunEnd) {
        let Some(worker) = self.lives.get(no).map(|life| life.id().clone()) else { return };
        let note = Note::RunEnded { task: end.task, run: end.run, worker, how: end.how };
        self.out.push(Action::Note(note));
        self.replan = true;
        self.unplace(end.task, Placement { life: no, run: end.run });
        self.note_checkpoint(end);
        match end.how {
            HowEnded::Done => self.task_done(no, end.task),
            HowEnded::Failed => self.task_failed(no, end),
            HowEnded::Stopped | HowEnded::Lapsed | HowEnded::Broken | HowEnded::Alone => {}
        }
    }

    /// Writes to the log that the end of a run which is believed to run was told under a number heard before. An end that
    /// is repeated was taken out when it was heard first.
    fn note_passed_over(&mut self, no: LifeNo, end: &RunEnd) {
        let Some(life) = self.lives.get(no) else { return };
        if life.runs().get(&end.task).is_some_and(|there| there.run == end.run) {
            let RunEnd { task, run, number, .. } = *end;
            let (worker, seen) = (life.id().clone(), life.ends_seen);
            self.out.push(Action::Note(Note::EndPassedOver { task, run, worker, number, seen }));
        }
    }

    fn note_checkpoint(&mut self, end: &RunEnd) {
        let Some(task) = self.task_mut(end.task) else { return };
        task.last_run = task.last_run.max(end.run);
        task.unaccounted = false;
        if end.checkpoint.is_some() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
    }

    fn note_time(&mut self, name: TaskName, took_ms: Option<u64>) {
        let Some(took_ms) = took_ms else { return };
        let job = self.jobs.get_mut(&name.job);
        if let Some(step) = job.and_then(|job| job.step_mut(name.step_name())) {
            step.timed += 1;
            step.timed_ms += took_ms;
        }
    }

    fn task_done(&mut self, no: LifeNo, name: TaskName) {
        if let Some(life) = self.lives.get_mut(no) {
            life.failures = 0;
            life.set_aside_times = 0;
        }
        let Some(job) = self.jobs.get_mut(&name.job).filter(|job| job.is_open()) else { return };
        let Some(spec) = job.step_spec(name.step) else { return };
        let gang = spec.gang;
        if spec.lasts {
            // It was to run until its job is cancelled: it waits for a worker again.
            return;
        }
        let Some(step) = job.step_mut(name.step_name()) else { return };
        let copies = step.mark_done(name, gang);
        // Steps that depend on this one may be due now.
        job.may_wait = true;
        let all_done = job.all_done();
        job.forget_done_occurrences();
        self.pending.note(name.job);
        // The other members of a gang end by themselves; other copies of a task don't.
        for placed in copies.into_iter().filter(|_| !gang) {
            self.stop_run(placed.life, name, placed.run);
        }
        if all_done {
            self.end_job(name.job, Outcome::Completed);
        }
    }

    fn task_failed(&mut self, no: LifeNo, end: &RunEnd) {
        let now = self.now;
        let name = end.task;
        self.blame(no);
        let Some(job) = self.jobs.get_mut(&name.job).filter(|job| job.is_open()) else { return };
        let Some(spec) = job.step_spec(name.step) else { return };
        let (gang, lasts, max_attempts) = (spec.gang, spec.lasts, job.queue.max_attempts);
        let Some(task) = job.task_mut(name).filter(|task| !task.done) else { return };
        if !lasts {
            task.failed_runs.insert(end.run);
        }
        task.avoid = Some(no);
        let failed = task.failed_runs.len() as u32;
        task.not_before = Some(now + RETRY_PAUSE * failed.max(1));
        let failed = if gang { job.failed_runs_of_gang(name.step_name()) } else { failed };
        self.pending.note(name.job);
        if !lasts && failed >= max_attempts.max(1) {
            self.end_job(name.job, Outcome::Failed);
        }
    }
}

/// How long a run that is done took, in milliseconds. `None` if that does not tell how long the
/// task takes: it went on from a checkpoint, or was paced.
fn took_ms(run: &RunThere, now: Time) -> Option<u64> {
    let Phase::Running(since) = run.phase else { return None };
    let paced = run.fills && run.paced_percent < FULL_PACE_PERCENT;
    let whole = run.progress.from_percent == 0 && !paced;
    whole.then(|| now.since(since).as_millis() as u64)
}
