//! A worker on virtual time, which leases what it runs.

use std::{
    collections::{BTreeMap, VecDeque},
    mem,
    time::Duration,
};

use kitetrail_core::{
    Resources, Time,
    jobs::{
        Hold, HoldFailure, HowEnded, LifeNo, Order, OrderAnswer, Refusal, Report, RunEnd,
        RunningTask, StartOrder, TaskName, WorkerEntry,
    },
};

use super::STEP;

/// How much longer than it may wait a hold may take before the owner gives it up.
const HOLD_SLACK: Duration = Duration::from_millis(700);
/// How much later than that an answer comes that counts as missing.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// A task that lasts is at work after so long, and tells 100 percent from then on.
const STARTS_WITHIN_MS: u64 = 300;
/// A member of a gang ends once it has waited so long for the others.
const GANG_WAITS_MS: u64 = 3_000;
/// A room that shrank counts so much later: what the platform calls being in touch, and a heartbeat.
const SHRINKS_COUNT_AFTER: Duration = Duration::from_millis(4_100);
/// A run that fails does so after this much work.
const FAILS_AFTER_MS: u64 = 100;
/// The longest lease that a worker grants, on its own clock.
const LONGEST_LEASE_MS: u64 = 6_000;
/// How much later a worker that is late carries an order out, unless it is told otherwise.
const LATE: Duration = Duration::from_millis(1_000);

/// How a worker behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    /// It answers and works.
    Well,
    /// It crashed and is not back: what is sent to it fails at once.
    Down,
    /// Nothing reaches it and nothing comes back; it works on.
    Cut,
    /// It answers, and what it runs stands still.
    Hanging,
    /// It answers, and all that it starts fails after 100 ms.
    Failing,
    /// It does not answer orders to start; it carries them out later unless they are void.
    Late,
    /// Orders to start reach it later, nothing else reaches it and nothing comes back; it works on.
    Delayed,
    /// It does not answer orders to stop, and does not carry them out.
    Unstoppable,
    /// It does what it is told, and its answers to holds come so late that they count as missing.
    Unread,
}

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct Running {
    /// The run.
    pub run: u32,
    /// How much of its work is done, in milliseconds.
    pub done_ms: u64,
    /// How much there is, in milliseconds.
    pub work_ms: u64,
    /// Its share of its speed, in percent.
    pub percent: u8,
    /// What it uses at full speed, in thousandths of a core.
    pub cpu_millis: u32,
    /// It serves users: its gauge tells its tail.
    pub serves: bool,
    /// It runs until it is stopped.
    pub lasts: bool,
    /// It waits for other members of its gang.
    pub waits: bool,
    /// For how long it has, in milliseconds.
    pub waited_ms: u64,
}

impl Running {
    fn new(run: u32, Work { work_ms, cpu_millis, serves, lasts }: Work) -> Self {
        Self {
            run,
            done_ms: 0,
            work_ms,
            percent: 100,
            cpu_millis,
            serves,
            lasts,
            waits: false,
            waited_ms: 0,
        }
    }

    /// What its worker tells of how far it is, in percent.
    pub fn told_percent(&self) -> u32 {
        let whole_ms = if self.lasts { STARTS_WITHIN_MS } else { self.work_ms };
        (self.done_ms * 100 / whole_ms).min(100) as u32
    }
}

/// What a task is to the worker that runs it.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    pub work_ms: u64,
    pub cpu_millis: u32,
    pub serves: bool,
    pub lasts: bool,
}

/// An order that is carried out later.
#[derive(Debug)]
struct LateOrder {
    at: Time,
    token: u64,
    lease_until_ms: u64,
    order: Order,
    work: Work,
}

/// A worker.
#[derive(Debug)]
pub struct FakeWorker {
    pub entry: WorkerEntry,
    /// How it behaves.
    pub mood: Mood,
    /// It left the list.
    pub gone: bool,
    /// What it had before, in thousandths of a core, each with the moment at which that changed.
    pub had_cores: Vec<(Time, u32)>,
    pub running: BTreeMap<TaskName, Running>,
    pub ended: Vec<RunEnd>,
    pub token: u64,
    /// How far its clock is ahead of the owner's, in milliseconds.
    pub clock_ahead_ms: u64,
    /// Its answers to orders tell when it started, as its reports do.
    pub answers_tell_start: bool,
    /// On its own clock.
    pub leased_until_ms: u64,
    /// Ends that it was told are kept, by when they came, but for those after which its lease lapsed first.
    pub told_kept: Vec<(Time, RunEnd)>,
    /// The hold that waits for an answer, and when it was sent.
    pub held: Option<(LifeNo, Hold, Time)>,
    /// Holds that came before it and wait still: an owner asks two lives of a worker at a time.
    pub held_before: Vec<(LifeNo, Hold, Time)>,
    /// How much later it carries orders out when it is late.
    pub late_by: Duration,
    late: VecDeque<LateOrder>,
    /// What an answer that comes late says has ended, by when it comes, and for which life.
    pub late_ends: Option<(Time, LifeNo, Vec<RunEnd>)>,
    /// The tasks that ran to their end here, and how many runs lost their lease.
    pub done: Vec<TaskName>,
    pub lapsed: u32,
    next_end: u64,
    /// When each end came that it was not told is kept.
    ended_at: BTreeMap<u64, Time>,
    /// The number of the last end that was told.
    told_end: u64,
}

impl FakeWorker {
    /// The worker with a number, well and idle.
    pub fn new(no: u32) -> Self {
        let entry = WorkerEntry {
            id: format!("w{no}").as_str().into(),
            incarnation: None,
            machine: Some(format!("m{no}")),
            service: "desk".to_owned(),
            address: format!("10.0.0.{no}:80"),
            zone: "a".to_owned(),
            rack: format!("r{}", no / 4),
            draining: false,
            remaining_ms: None,
            capacity: Resources::new(4_000, 8_192, 0),
            labels: vec!["plain".to_owned(), format!("r{}", no / 4)],
        };
        Self::with_entry(entry)
    }

    /// The worker of an entry, well and idle.
    pub fn with_entry(entry: WorkerEntry) -> Self {
        Self {
            entry,
            mood: Mood::Well,
            gone: false,
            had_cores: Vec::new(),
            running: BTreeMap::new(),
            ended: Vec::new(),
            token: 0,
            clock_ahead_ms: 0,
            answers_tell_start: false,
            leased_until_ms: 0,
            told_kept: Vec::new(),
            held: None,
            held_before: Vec::new(),
            late_by: LATE,
            late: VecDeque::new(),
            late_ends: None,
            done: Vec::new(),
            lapsed: 0,
            next_end: 1,
            ended_at: BTreeMap::new(),
            told_end: 0,
        }
    }

    /// Loses all that runs here and all that has ended, and answers nothing any more.
    pub fn crash(&mut self) {
        self.mood = Mood::Down;
        self.running.clear();
        self.ended.clear();
    }

    /// What its clock shows.
    fn clock_ms(&self, now: Time) -> u64 {
        now.as_ms() + self.clock_ahead_ms
    }

    /// Leases what runs here until a moment on its own clock, as far as it grants.
    fn lease(&mut self, now: Time, until_ms: u64) {
        let granted_ms = until_ms.min(self.clock_ms(now) + LONGEST_LEASE_MS);
        self.leased_until_ms = self.leased_until_ms.max(granted_ms);
    }

    /// Carries an order out, or refuses it.
    pub fn take(
        &mut self,
        now: Time,
        token: u64,
        lease_until_ms: u64,
        order: &Order,
        work: Work,
    ) -> OrderAnswer {
        if token < self.token {
            return OrderAnswer::Refused(Refusal::Fenced);
        }
        self.token = token;
        let clock_ms = self.clock_ms(now);
        match order {
            Order::Start(_) if lease_until_ms <= clock_ms => {
                return OrderAnswer::Refused(Refusal::Late);
            }
            Order::Start(start) => {
                self.lease(now, lease_until_ms);
                self.running.insert(start.task, Running::new(start.run, work));
                self.check_room(now);
            }
            Order::Stop { task, run } => {
                if self.running.get(task).is_some_and(|running| running.run == *run) {
                    self.end(now, *task, HowEnded::Stopped);
                }
            }
            Order::Pace { task, percent, .. } => {
                if let Some(running) = self.running.get_mut(task) {
                    running.percent = *percent;
                }
            }
        }
        let incarnation = self.entry.incarnation.filter(|_| self.answers_tell_start);
        OrderAnswer::Done { clock_ms, incarnation }
    }

    /// Panics if what runs takes more than the worker has said to have of late.
    fn check_room(&self, now: Time) {
        if self.had_cores.is_empty() {
            return;
        }
        let of_late =
            self.had_cores.iter().filter(|(until, _)| now.since(*until) <= SHRINKS_COUNT_AFTER);
        let most = of_late.map(|(_, cores)| *cores).chain([self.entry.capacity.cpu_millis.0]).max();
        let taken = self.running.values().map(|running| running.cpu_millis).sum::<u32>();
        assert!(Some(taken) <= most, "{} takes {taken} of {most:?} at {now}", self.entry.id);
    }

    /// Keeps an order to carry it out at a later moment.
    pub fn take_later(
        &mut self,
        at: Time,
        token: u64,
        lease_until_ms: u64,
        order: &Order,
        work: Work,
    ) {
        let order = order.clone();
        self.late.push_back(LateOrder { at, token, lease_until_ms, order, work });
    }

    /// Whether there are orders that it has not carried out yet.
    pub fn has_late_orders(&self) -> bool {
        !self.late.is_empty()
    }

    /// Carries out the late orders whose moment has come. Returns what was started.
    pub fn take_late(&mut self, now: Time) -> Vec<StartOrder> {
        let mut started = Vec::new();
        while let Some(late) = self.late.pop_front_if(|late| late.at <= now) {
            let answer = self.take(now, late.token, late.lease_until_ms, &late.order, late.work);
            if let (OrderAnswer::Done { .. }, Order::Start(start)) = (answer, late.order) {
                started.push(start);
            }
        }
        started
    }

    /// Answers a hold, or `None` while it may wait.
    pub fn answer_hold(
        &mut self,
        now: Time,
        (life, hold, sent_at): (LifeNo, Hold, Time),
        tail_ms: fn(&FakeWorker) -> u32,
    ) -> Option<Result<Report, HoldFailure>> {
        if self.mood == Mood::Down {
            return Some(Err(HoldFailure::Unanswered));
        }
        let waited = now.since(sent_at);
        if matches!(self.mood, Mood::Cut | Mood::Delayed | Mood::Unread) {
            if !is_given_up(&hold, waited) {
                return None;
            }
            if self.mood == Mood::Unread {
                self.late_ends = Some((now + LATE_ANSWER, life, self.ended.clone()));
            }
            return Some(Err(HoldFailure::Unanswered));
        }
        if hold.token < self.token {
            return Some(Err(HoldFailure::Fenced));
        }
        self.token = hold.token;
        if let Some(until_ms) = hold.lease_until_ms {
            self.lease(now, until_ms);
        }
        self.note_kept(hold.ends_kept);
        if self.ended.is_empty() && waited < Duration::from_millis(hold.wait_ms.into()) {
            return None;
        }
        Some(Ok(self.report(now, tail_ms(self))))
    }

    /// Drops the ends up to a number, which are kept.
    fn note_kept(&mut self, last: u64) {
        let (kept, left) = mem::take(&mut self.ended).into_iter().partition(|it| it.number <= last);
        self.ended = left;
        let kept: Vec<RunEnd> = kept;
        let at = |end: RunEnd| Some((self.ended_at.remove(&end.number)?, end));
        self.told_kept.extend(kept.into_iter().filter_map(at));
    }

    /// Whether an answer tells of ends, and of none that was not told before.
    pub fn tells_nothing_new(&mut self, answer: &Result<Report, HoldFailure>) -> bool {
        let Some(last) = answer.as_ref().ok().and_then(|report| report.ended.last()) else {
            return false;
        };
        let is_stale = last.number <= self.told_end;
        self.told_end = last.number;
        is_stale
    }

    fn report(&self, now: Time, tail_ms: u32) -> Report {
        let running = self.running.iter().map(|(&task, running)| RunningTask {
            task,
            run: running.run,
            checkpoint: Some(format!("{task}@{}", running.done_ms)),
            percent: running.told_percent(),
            gauge: Some(match running.serves {
                true => tail_ms,
                false => running.cpu_millis * u32::from(running.percent) / 100,
            }),
        });
        Report {
            incarnation: self.entry.incarnation,
            clock_ms: self.clock_ms(now),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }

    /// Lets the worker work for one step of the clock.
    pub fn work(&mut self, now: Time) {
        let lapsed = self.leased_until_ms <= self.clock_ms(now);
        if lapsed {
            self.ended_at.clear();
        }
        if !self.running.is_empty() && lapsed {
            for task in self.running.keys().copied().collect::<Vec<_>>() {
                self.end(now, task, HowEnded::Lapsed);
            }
        }
        let mood = self.mood;
        for running in self.running.values_mut().filter(|run| mood != Mood::Hanging && !run.waits) {
            running.done_ms += STEP.as_millis() as u64 * u64::from(running.percent) / 100;
        }
        for running in self.running.values_mut().filter(|running| running.waits) {
            running.waited_ms += STEP.as_millis() as u64;
        }
        let over = self.running.iter().filter_map(|(&task, running)| match mood {
            _ if running.waited_ms >= GANG_WAITS_MS => Some((task, HowEnded::Alone)),
            Mood::Failing if running.done_ms >= FAILS_AFTER_MS => Some((task, HowEnded::Failed)),
            _ if running.done_ms >= running.work_ms => Some((task, HowEnded::Done)),
            _ => None,
        });
        for (task, how) in over.collect::<Vec<_>>() {
            self.end(now, task, how);
        }
    }

    /// Ends the runs of a gang that lost a member.
    pub fn break_step(&mut self, now: Time, lost: TaskName) {
        let of_gang = |task: &TaskName| TaskName { index: lost.index, ..*task } == lost;
        let members = self.running.keys().copied().filter(of_gang);
        for task in members.collect::<Vec<_>>() {
            self.end(now, task, HowEnded::Broken);
        }
    }

    fn end(&mut self, now: Time, task: TaskName, how: HowEnded) {
        let Some(running) = self.running.remove(&task) else { return };
        match how {
            HowEnded::Done => self.done.push(task),
            HowEnded::Lapsed => self.lapsed += 1,
            _ => {}
        }
        let checkpoint = Some(format!("{task}@{}", running.done_ms));
        let number = self.next_end;
        self.next_end += 1;
        self.ended_at.insert(number, now);
        self.ended.push(RunEnd { number, task, run: running.run, how, checkpoint });
    }
}

/// What comes of a hold that does not reach its worker: nothing, until its owner takes it for unanswered.
pub(super) fn hold_across_cut(
    now: Time,
    hold: &Hold,
    sent_at: Time,
) -> Option<Result<Report, HoldFailure>> {
    is_given_up(hold, now.since(sent_at)).then_some(Err(HoldFailure::Unanswered))
}

fn is_given_up(hold: &Hold, waited: Duration) -> bool {
    waited >= Duration::from_millis(hold.wait_ms.into()) + HOLD_SLACK
}
