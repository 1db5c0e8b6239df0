//! What the crash of a worker says of the tasks that ran there, and which of them are given up.
//!
//! Answers a load in which some tasks crash each worker that starts them. A crash takes all runs of its worker with it, and
//! nothing is reported, so such a task would be started for ever. Who did it is told apart by what had just been started, by how long
//! runs had run each time, and by running suspects alone.

use std::{mem, time::Duration};

use super::{
    super::{
        crashes::{CrashEvidence, RanFor},
        event::Action,
        life::{Life, LifeEnd, LifeNo, Listing},
        names::{LifeId, LifeKey, TaskName},
        note::Note,
        record::Outcome,
        run::{Phase, RunThere},
    },
    Scheduler,
};
use crate::Time;

/// A run that is not known to have run for longer may have crashed its worker by its start: answers that tell of a sound start
/// come 100 ms after it, later from an owner that lags.
const JUST_STARTED: Duration = Duration::from_millis(500);
/// A worker that falls silent within so long of a start may have been crashed by it. A worker that crashes by itself every 30 s
/// does so in this time after one start in a hundred.
const AT_ONCE: Duration = Duration::from_millis(300);
/// A suspect that is known to have run for so long lets others run beside it again.
const ALONE_FOR: Duration = Duration::from_millis(1_000);
/// The pause before the next start, after the first crash; it doubles with each. Short: a worker that crashed is noticed after
/// 3 s, and jobs that wait for 3 s beside room for them count as lost.
const CRASH_PAUSE: Duration = Duration::from_millis(200);
/// Workers that fall silent within so long of each other fell together.
const TOGETHER: Duration = Duration::from_millis(1_000);
/// Where more others than this fall together with a worker, a rack, a zone or a wave may be the cause, and no task of its own.
const MOST_TOGETHER: usize = 2;
/// How long a machine is remembered for having crashed. Longer than the pauses of workers that go down and up by turns.
const REMEMBERED_FOR: Duration = Duration::from_millis(20_000);

/// A run that may have crashed its worker.
#[derive(Debug, Clone)]
pub(in crate::jobs) struct Suspect {
    task: TaskName,
    evidence: CrashEvidence,
    /// Unknown if an earlier owner started it.
    ran: Option<RanFor>,
}

impl Suspect {
    /// A task that an earlier owner was about to start there, as it kept.
    pub(super) fn begun(task: TaskName) -> Self {
        Self { task, evidence: CrashEvidence::FellAtOnce, ran: None }
    }
}

/// A worker that fell silent and whose life is over.
#[derive(Debug)]
pub(super) struct Fallen {
    at: Time,
    worker: LifeId,
    address: String,
    /// The highest fencing token that it was sent, or was to be.
    token: u64,
}

impl Scheduler {
    /// The runs that may have crashed a worker whose life is over. None if it did not crash.
    pub(super) fn crash_suspects(&self, no: LifeNo, end: LifeEnd) -> Vec<Suspect> {
        let Some(life) = self.lives.get(no).filter(|life| !life.entry.draining) else {
            return Vec::new();
        };
        let begun = life.begun_before.iter().copied().map(Suspect::begun);
        let mut suspects = begun.chain(life.suspects.iter().cloned()).collect::<Vec<_>>();
        suspects.extend(suspects_among(life, self.now));
        let together = self.fell_together(life);
        // A worker that left, that is only cut off, or that fell with others says nothing of what had run there for a while.
        let tells_of_all = end != LifeEnd::Gone
            && !matches!(life.listing, Listing::Gone { .. })
            && !life.zone_evacuated
            && !together;
        suspects.retain(|suspect| tells_of_all || suspect.evidence != CrashEvidence::RanThere);
        for suspect in &mut suspects {
            if together && suspect.evidence == CrashEvidence::FellAtOnce {
                suspect.evidence = CrashEvidence::OthersFell;
            }
        }
        suspects
    }

    /// Gives up the runs of a worker that is silent and whose lease is over.
    ///
    /// Whether it crashed shows once another life answers or its entry has lapsed. Tasks whose starts are kept since they may
    /// crash workers don't wait for that: a worker may take longer to be back than two more tries.
    pub(super) fn give_up_silent(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get_mut(no) else { return };
        let worker = life.entry.key();
        let begun = mem::take(&mut life.begun_before).into_iter().map(Suspect::begun);
        let suspects = begun.chain(suspects_among(life, self.now)).collect::<Vec<_>>();
        let is_watched = |suspect: &Suspect| {
            let job = self.jobs.get(&suspect.task.job);
            job.and_then(|job| job.task(suspect.task)).is_some_and(|task| task.watched)
        };
        let (watched, others) = suspects.into_iter().partition::<Vec<_>, _>(is_watched);
        if let Some(life) = self.lives.get_mut(no) {
            life.suspects.extend(others);
        }
        self.give_up_runs(no, "its worker is silent and its lease is over");
        self.note_crash(&worker, watched);
    }

    /// Counts a crash against the tasks that may have caused it. Called once the runs of that life are given up.
    pub(super) fn note_crash(&mut self, worker: &LifeKey, suspects: Vec<Suspect>) {
        for suspect in suspects {
            self.count_crash(worker, &suspect);
        }
    }

    fn count_crash(&mut self, worker: &LifeKey, suspect: &Suspect) {
        let now = self.now;
        let name = suspect.task;
        let Some(job) = self.jobs.get_mut(&name.job).filter(|job| job.is_open()) else { return };
        let Some(task) = job.task_mut(name).filter(|task| !task.done) else { return };
        task.crashes.note(worker, suspect.evidence, suspect.ran);
        task.watched = true;
        let crashes = task.crashes.workers.len() as u32;
        if task.crashes.runs_alone() {
            task.not_before = Some(now + CRASH_PAUSE * 2_u32.pow(crashes - 1));
        }
        let given_up = task.crashes.is_given_up();
        if task.crashes.drops_checkpoint() {
            job.drop_checkpoint(name);
        }
        self.out.push(Action::Note(Note::CrashedUnder {
            task: name,
            worker: worker.id.clone(),
            evidence: suspect.evidence,
            crashes,
        }));
        self.pending.note(name.job);
        if given_up {
            self.give_up_crashing(name);
        }
    }

    /// Gives a job up for a task that crashes workers.
    fn give_up_crashing(&mut self, name: TaskName) {
        let task = self.task_mut(name);
        let workers = task.map(|task| task.crashes.workers.clone()).unwrap_or_default();
        self.out.push(Action::Note(Note::CrashingTaskGivenUp { task: name, workers }));
        self.end_job(name.job, Outcome::Failed);
    }

    /// Looks at the suspects that a worker reports: those that run on may have others beside them, then are none any more.
    pub(super) fn check_suspects(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get(no) else { return };
        let suspects = life.runs().iter().filter(|(_, run)| run.suspected);
        let known =
            suspects.filter_map(|(&task, run)| Some((task, run.run, life.known_to_run(run)?)));
        for (task, run, ran) in known.collect::<Vec<_>>() {
            let cleared = self.clear_suspect(task, ran);
            let Some(life) = self.lives.get_mut(no) else { return };
            let Some(there) = life.run_mut(task, run) else { continue };
            there.suspected &= !cleared;
            there.alone &= ran < ALONE_FOR && !cleared;
            life.room = None;
            self.replan = true;
        }
    }

    /// Forgets the crashes of a task that has run for so long; whether it did.
    fn clear_suspect(&mut self, name: TaskName, ran: Duration) -> bool {
        let Some(task) = self.task_mut(name) else { return false };
        if !task.crashes.is_cleared_by(ran.as_millis() as u64) {
            return false;
        }
        task.crashes.clear();
        self.out.push(Action::Note(Note::NoMoreSuspected { task: name }));
        self.pending.note(name.job);
        true
    }

    /// Whether some other workers fell silent about when this one did.
    fn fell_together(&self, life: &Life) -> bool {
        let fell_at = life.silent_since.unwrap_or(self.now);
        let together = |at: Time| at.since(fell_at) < TOGETHER && fell_at.since(at) < TOGETHER;
        let others = self.lives.values().filter(|other| other.id() != life.id());
        let silent = others.filter_map(|other| other.silent_since).filter(|&at| together(at));
        let over = self.fallen.iter().filter(|fallen| together(fallen.at));
        silent.count() + over.count() > MOST_TOGETHER
    }

    /// Remembers a worker whose life is over, for those that fell with it and for those that come after it.
    pub(super) fn note_fallen(&mut self, life: &Life) {
        let now = self.now;
        self.fallen.retain(|fallen| now.since(fallen.at) < REMEMBERED_FOR);
        let at = life.silent_since.unwrap_or(now);
        let (worker, address) = (life.id().clone(), life.entry.address.clone());
        self.fallen.push(Fallen { at, worker, address, token: life.token });
    }

    /// The highest fencing token of a worker's lives that are over of late.
    pub(super) fn token_of_fallen(&self, worker: &LifeId) -> Option<u64> {
        let lives = self.fallen.iter().filter(|fallen| fallen.worker == *worker);
        lives.map(|fallen| fallen.token).max()
    }

    /// Whether a worker crashed of late where another life answers now.
    pub(super) fn has_fallen(&self, address: &str) -> bool {
        self.fallen.iter().any(|fallen| fallen.address == address)
    }
}

/// The runs on a worker that may be what made it fall silent: those that were just started, else all.
pub(super) fn suspects_among(life: &Life, now: Time) -> Vec<Suspect> {
    let sent = life.runs().iter().filter(|&(&task, run)| life.was_sent(task, run));
    let sent = sent.collect::<Vec<_>>();
    let any_started = sent.iter().any(|(_, run)| is_just_started(life, run));
    let suspects = sent.into_iter().filter(|(_, run)| !any_started || is_just_started(life, run));
    let suspect = |(&task, run): (&TaskName, &RunThere)| {
        let ran = ran_for(life, run, now);
        let evidence = match any_started {
            false => CrashEvidence::RanThere,
            true if !run.is_running() => CrashEvidence::Unconfirmed,
            true if u128::from(ran.most_ms) <= AT_ONCE.as_millis() => CrashEvidence::FellAtOnce,
            true => CrashEvidence::JustStarted,
        };
        Suspect { task, evidence, ran: Some(ran) }
    };
    suspects.map(suspect).collect()
}

/// Whether a run may have been started just before its worker fell silent.
fn is_just_started(life: &Life, run: &RunThere) -> bool {
    !run.adopted && life.known_to_run(run).is_none_or(|ran| ran < JUST_STARTED)
}

/// For how long a run had run when its worker fell silent.
fn ran_for(life: &Life, run: &RunThere, now: Time) -> RanFor {
    let Phase::Running(since) = run.phase else { return RanFor::UNKNOWN };
    let least = life.known_to_run(run).unwrap_or_default();
    let most = life.silent_since.unwrap_or(now).since(since).max(least);
    RanFor { least_ms: least.as_millis() as u64, most_ms: most.as_millis() as u64 }
}
