//! What the end of a run means for its task, its job and its worker.

use std::{collections::BTreeSet, time::Duration};

use super::{
    super::{
        event::{Action, HowEnded, Note, Order, RunEnd},
        job::Placement,
        life::{LifeNo, Phase},
        names::TaskName,
        record::Outcome,
    },
    Scheduler,
};

/// How long a task waits after a failed run, for each that failed. Short: most failures are the
/// worker's, and the next run goes elsewhere.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// After so many failed runs in a row a worker gets no new work for a while. One in 20 tasks fails
/// by its own fault, so three in a row on a sound worker are rare.
const FAILURES_TO_SET_ASIDE: u32 = 3;
/// For how long, at first; it doubles each time.
const SET_ASIDE: Duration = Duration::from_millis(2_000);
/// At most.
const SET_ASIDE_MAX: Duration = Duration::from_millis(16_000);

impl Scheduler {
    pub(super) fn run_ended(&mut self, no: LifeNo, end: &RunEnd) {
        let Some(life) = self.lives.get_mut(&no) else { return };
        if end.number <= life.ends_seen {
            return;
        }
        life.ends_seen = end.number;
        let there = life.runs().get(&end.task).filter(|there| there.run == end.run);
        let ended = there.is_some().then(|| life.remove_run(end.task)).flatten();
        let took_ms = ended.as_ref().filter(|_| end.how == HowEnded::Done).and_then(|run| {
            let Phase::Running(since) = run.phase else { return None };
            let whole = run.progress.from_percent == 0 && !(run.fills && run.paced_percent < 100);
            whole.then(|| self.now.since(since).as_millis() as u64)
        });
        if let Some(run) = ended.filter(|run| run.fills) {
            let used = run.gauge.unwrap_or(run.size.cpu_millis.0);
            life.just_ended.push((run.image, used, self.now));
        }
        let note = Note::RunEnded {
            task: end.task,
            run: end.run,
            worker: life.id().clone(),
            how: end.how,
        };
        self.out.push(Action::Note(note));
        self.pending.note_ends(no);
        self.replan = true;
        self.unplace(end.task, Placement { life: no, run: end.run });
        self.note_checkpoint(end);
        match end.how {
            HowEnded::Done => {
                self.note_time(end.task, took_ms);
                self.task_done(no, end.task);
            }
            HowEnded::Failed => self.task_failed(no, end),
            HowEnded::Stopped | HowEnded::Lapsed | HowEnded::Broken | HowEnded::Alone => {}
        }
    }

    fn note_checkpoint(&mut self, end: &RunEnd) {
        let name = end.task;
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let Some(task) = job.task_mut(name.occurrence, name.step, name.index) else { return };
        task.last_run = task.last_run.max(end.run);
        if end.checkpoint.is_some() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
    }

    fn note_time(&mut self, name: TaskName, took_ms: Option<u64>) {
        let Some(took_ms) = took_ms else { return };
        let job = self.jobs.get_mut(&name.job);
        let occurrence = job.and_then(|job| job.occurrences.get_mut(&name.occurrence));
        if let Some(step) = occurrence.and_then(|it| it.steps.get_mut(name.step as usize)) {
            step.timed += 1;
            step.timed_ms += took_ms;
        }
    }

    fn task_done(&mut self, no: LifeNo, name: TaskName) {
        if let Some(life) = self.lives.get_mut(&no) {
            life.failures = 0;
            life.set_aside_times = 0;
        }
        let Some(job) = self.jobs.get_mut(&name.job).filter(|job| job.is_open()) else { return };
        let Some(spec) = job.spec.steps.get(name.step as usize) else { return };
        let gang = spec.gang;
        if spec.lasts {
            // It was to run until its job is cancelled: it waits for a worker again.
            return;
        }
        let Some(step) = job
            .occurrences
            .get_mut(&name.occurrence)
            .and_then(|occurrence| occurrence.steps.get_mut(name.step as usize))
        else {
            return;
        };
        let mut copies = Vec::new();
        for (index, task) in (0..).zip(&mut step.tasks) {
            if (gang || index == name.index) && !task.done {
                task.done = true;
                step.done += 1;
                copies
                    .extend(task.placed.iter().map(|&placed| (TaskName { index, ..name }, placed)));
            }
        }
        let all_done = job.all_done();
        self.pending.note(name.job);
        // The other members of a gang end by themselves; other copies of a task don't.
        for (task, placed) in copies.into_iter().filter(|_| !gang) {
            self.stop_run(placed.life, Order::Stop { task, run: placed.run });
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
        let Some(spec) = job.spec.steps.get(name.step as usize) else { return };
        let (gang, lasts, max_attempts) = (spec.gang, spec.lasts, job.queue.max_attempts);
        let Some(task) = job.task_mut(name.occurrence, name.step, name.index) else { return };
        if task.done {
            return;
        }
        if !lasts {
            task.failed_runs.insert(end.run);
        }
        task.avoid = Some(no);
        let failed = task.failed_runs.len() as u32;
        task.not_before = Some(now + RETRY_PAUSE * failed.max(1));
        let failed =
            if gang { job.failed_runs_of_gang(name.occurrence, name.step) } else { failed };
        self.pending.note(name.job);
        if !lasts && failed >= max_attempts.max(1) {
            self.end_job(name.job, Outcome::Failed);
        }
    }

    /// Counts a failed run against its worker, and gives it no new work after too many.
    fn blame(&mut self, no: LifeNo) {
        let now = self.now;
        let Some(life) = self.lives.get_mut(&no) else { return };
        life.failures += 1;
        if life.failures < FAILURES_TO_SET_ASIDE {
            return;
        }
        let times = life.set_aside_times.min(8);
        let pause = (SET_ASIDE * 2_u32.pow(times)).min(SET_ASIDE_MAX);
        life.set_aside_times = times + 1;
        // One more failure after the pause is enough to set it aside again.
        life.failures = FAILURES_TO_SET_ASIDE - 1;
        life.set_aside_until = Some(now + pause);
        let worker = life.id().clone();
        let heard_ago_ms = life.heard_ago_ms(now);
        let belief = "set aside: its runs fail";
        self.out.push(Action::Note(Note::Worker { worker, belief, heard_ago_ms }));
    }
}

impl super::super::job::Job {
    fn failed_runs_of_gang(&self, occurrence: u32, step: u32) -> u32 {
        let step = self.occurrences.get(&occurrence).and_then(|it| it.steps.get(step as usize));
        let runs = step.into_iter().flat_map(|step| &step.tasks).flat_map(|task| &task.failed_runs);
        runs.collect::<BTreeSet<_>>().len() as u32
    }
}
