//! Workers that crash, by a task's doing or by themselves, and come back under another id or the same one.

use std::{collections::BTreeMap, mem, time::Duration};

use kitetrail_core::{
    Time,
    jobs::{Discovery, Event, Note, TaskName},
};

use super::{Mood, World};

/// How long a worker that crashed takes to come back, unless it is told otherwise.
const BACK_AFTER: Duration = Duration::from_millis(3_000);
/// When the entry of a worker that crashed lapses, after the crash.
const LAPSES_AFTER: Duration = Duration::from_millis(3_300);

/// Tasks that crash their workers, and what came of it.
#[derive(Debug)]
pub struct Crashes {
    /// After how much of its work a task crashes its worker.
    pub tasks: BTreeMap<TaskName, Duration>,
    /// How long a worker that crashed takes to come back.
    pub back_after: Duration,
    /// A worker that crashed comes back under its id, not under another one.
    pub same_id: bool,
    /// Crashes by a task's doing, in order: when, by which task, which worker.
    pub by_tasks: Vec<(Time, TaskName, String)>,
    /// How many runs of other tasks were lost in crashes.
    pub lost_beside: u32,
    /// Workers that are to come back, and when.
    down: Vec<(Time, String)>,
    /// Entries that are to lapse, and when.
    lapsing: Vec<(Time, String)>,
    lives: u32,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            tasks: BTreeMap::new(),
            back_after: BACK_AFTER,
            same_id: false,
            by_tasks: Vec::new(),
            lost_beside: 0,
            down: Vec::new(),
            lapsing: Vec::new(),
            lives: 0,
        }
    }
}

impl World {
    /// Makes a task crash each worker that starts it, 10 ms later.
    pub fn make_crashing(&mut self, name: TaskName) {
        self.make_crashing_after(name, Duration::from_millis(10));
    }

    /// Makes a task crash each worker that starts it, after some of its work.
    pub fn make_crashing_after(&mut self, name: TaskName, after: Duration) {
        self.crashes.tasks.insert(name, after);
    }

    /// A worker crashes, whatever it runs. It comes back under another id.
    pub fn crash(&mut self, id: &str) {
        let (now, back_after) = (self.now, self.crashes.back_after);
        self.worker(id).crash();
        self.crashes.down.push((now + back_after, id.to_owned()));
        self.crashes.lapsing.push((now + LAPSES_AFTER, id.to_owned()));
    }

    /// How often a task crashed its worker.
    pub fn crashes_of(&self, name: TaskName) -> usize {
        self.crashes.by_tasks.iter().filter(|(_, task, _)| *task == name).count()
    }

    /// How often a task was started after it had crashed a worker for the third time.
    pub fn starts_after_third_crash(&self, name: TaskName) -> usize {
        let mut crashes = self.crashes.by_tasks.iter().filter(|(_, task, _)| *task == name);
        let Some(third) = crashes.nth(2).map(|(at, ..)| *at) else { return 0 };
        self.starts.iter().filter(|(at, task, ..)| *task == name && *at > third).count()
    }

    /// How often the scheduler counted a crash against a task.
    pub fn crashes_noticed(&self) -> usize {
        let counted = |note: &Note| matches!(note, Note::CrashedUnder { .. });
        self.notes.iter().filter(|(_, note)| counted(note)).count()
    }

    pub(super) fn step_crashes(&mut self) {
        self.crash_by_tasks();
        let now = self.now;
        for id in take_due(&mut self.crashes.down, now) {
            self.crashes.lives += 1;
            let again = match self.crashes.same_id {
                true => id.clone(),
                false => format!("{id}+{}", self.crashes.lives),
            };
            match self.crashes.same_id {
                true => drop(self.restart(&id)),
                false => drop(self.reborn(&id, &again)),
            }
            let entry = self.worker(&again).entry.clone();
            self.list(entry);
        }
        for id in take_due(&mut self.crashes.lapsing, now) {
            let is_back = self.workers.get(&id).is_some_and(|worker| worker.mood != Mood::Down);
            if is_back {
                continue;
            }
            let silent_for = Some(LAPSES_AFTER);
            let gone = Discovery::Gone { id: id.as_str().into(), silent_for };
            self.tell(Event::Discovered(vec![gone]));
        }
    }

    /// The other members of a gang end where one of them is lost.
    fn break_gang(&mut self, name: TaskName) {
        let spec = self.specs.get(&name.job).and_then(|spec| spec.steps.get(name.step as usize));
        if !spec.is_some_and(|step| step.gang) {
            return;
        }
        let now = self.now;
        for worker in self.workers.values_mut() {
            worker.break_step(now, name);
        }
    }

    fn crash_by_tasks(&mut self) {
        let mut crashed = Vec::new();
        for (id, worker) in &self.workers {
            let mut by = worker.running.iter().filter_map(|(name, running)| {
                let after = self.crashes.tasks.get(name)?;
                (u128::from(running.done_ms) >= after.as_millis()).then_some(*name)
            });
            if let Some(name) = by.next() {
                crashed.push((name, id.clone(), worker.running.len() as u32 - 1));
            }
        }
        for (name, id, beside) in crashed {
            self.crashes.by_tasks.push((self.now, name, id.clone()));
            self.crashes.lost_beside += beside;
            self.crash(&id);
            self.break_gang(name);
        }
    }
}

/// Takes out what is due.
fn take_due(waiting: &mut Vec<(Time, String)>, now: Time) -> Vec<String> {
    let (due, later) = mem::take(waiting).into_iter().partition(|(at, _)| *at <= now);
    *waiting = later;
    let due: Vec<(Time, String)> = due;
    due.into_iter().map(|(_, id)| id).collect()
}
