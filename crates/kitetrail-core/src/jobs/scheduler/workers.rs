//! The list of workers and their lives.

use std::{sync::Arc, time::Duration};

use super::{
    super::{
        event::{Action, Discovery, Hold, Note, Order},
        life::{Life, LifeNo, Phase, RunThere, WorkerEntry},
        names::LifeId,
        record::LifeRecord,
    },
    Scheduler,
};
use crate::{Resources, Time};

/// How long a worker may wait for an end before it answers a hold. Bounds how late we learn of
/// slow tasks; the platform takes up to 2,000 ms.
const HOLD_WAIT_MS: u32 = 1_500;
/// The same where something serves beside something that fills: tails change within seconds.
const HOLD_WAIT_SHARED_MS: u32 = 500;
/// How long to wait before the next hold, so that ends that come together are told together.
const HOLD_PAUSE: Duration = Duration::from_millis(120);
/// The same for a worker that runs nothing: only its health is of interest.
const HOLD_PAUSE_IDLE: Duration = Duration::from_millis(5_000);
/// The same after a hold that brought nothing, for each one in a row.
const HOLD_RETRY: Duration = Duration::from_millis(150);
/// The longest of these.
const HOLD_RETRY_MAX: Duration = Duration::from_millis(1_000);

/// What is done so far is not moved off a worker that is about to leave, in percent: it has two
/// seconds at least.
const STAYS_ABOVE_PERCENT: u32 = 70;

impl Scheduler {
    pub(super) fn discover(&mut self, changes: Vec<Discovery>) {
        for change in changes {
            match change {
                Discovery::Listed(entry) => self.listed(*entry),
                Discovery::Gone(id) => self.unlisted(&id),
            }
        }
        self.replan = true;
    }

    /// A life that an earlier owner used; where it answers is all we know.
    pub(super) fn inherit_life(&mut self, record: LifeRecord, lapses_at: Time) {
        let entry = WorkerEntry {
            id: record.id,
            machine: None,
            service: record.service,
            address: record.address,
            zone: String::new(),
            rack: String::new(),
            draining: false,
            remaining_ms: None,
            capacity: Resources::default(),
            labels: Vec::new(),
        };
        let no = self.insert_life(entry, lapses_at);
        if let Some(life) = self.lives.get_mut(&no) {
            life.listed = false;
            life.recorded = true;
        }
        self.unheard.insert(no);
    }

    /// Everything that ran in this life is over for good.
    pub(super) fn end_life(&mut self, no: LifeNo, why: &'static str) {
        let Some(life) = self.lives.get(&no) else { return };
        let note = Note::Worker {
            worker: life.id().clone(),
            belief: why,
            heard_ago_ms: life.heard_ago_ms(self.now),
        };
        self.out.push(Action::Note(note));
        self.give_up_runs(no, why);
        let Some(life) = self.lives.remove(&no) else { return };
        self.life_by_id.remove(life.id());
        self.unheard.remove(&no);
        self.pending.end_life(no, life.id().clone());
        self.replan = true;
    }

    /// What time alone changes in a life: leases that ran out, holds that are due.
    pub(super) fn check_life(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get_mut(&no) else { return };
        let lapsed = life.lapses_at <= self.now;
        let forgotten = !life.listed && life.silent > 0;
        match (lapsed, forgotten) {
            (true, true) => {
                return self.end_life(no, "gone: not listed, silent, its lease is over");
            }
            (true, false) if life.silent > 0 => {
                self.unheard.remove(&no);
                self.give_up_runs(no, "its worker is silent and its lease is over");
            }
            _ => {}
        }
        self.hold_if_due(no);
        self.evacuate(no);
    }

    /// Moves what would die with a worker that is about to leave, where there is room for it.
    fn evacuate(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get(&no).filter(|life| life.entry.draining) else { return };
        let leaves = |run: &RunThere| {
            let saved = run.keeps_progress && run.percent < STAYS_ABOVE_PERCENT;
            !run.stopping && matches!(run.phase, Phase::Running(_)) && (run.lasts || saved)
        };
        let runs = life.runs().iter().filter(|(_, run)| leaves(run));
        for (task, run) in runs.map(|(&task, run)| (task, run.run)).collect::<Vec<_>>() {
            let Some(spec) = self.step_of(task).cloned() else { continue };
            if self.choose(task, &spec, &[]).is_none() {
                continue;
            }
            let Some(worker) = self.lives.get(&no).map(|life| life.id().clone()) else { return };
            let why = "moved: its worker is about to leave";
            self.out.push(Action::Note(Note::RunMoved { task, run, worker, why }));
            self.stop_run(no, Order::Stop { task, run });
        }
    }

    pub(super) fn hold_if_due(&mut self, no: LifeNo) {
        let (now, lease, lapse_after) = (self.now, self.lease, self.lapse_after());
        let Some(life) = self.lives.get_mut(&no) else { return };
        if life.hold_sent || life.next_hold_at.is_none_or(|at| at > now) {
            return;
        }
        let quick = life.silent > 0 || !life.known || life.runs().is_empty();
        let shared = life.serves() && life.fills();
        let wait_ms = match (quick, shared) {
            (true, _) => 0,
            (false, true) => HOLD_WAIT_SHARED_MS,
            (false, false) => HOLD_WAIT_MS,
        };
        // A silent worker's lease is left to run out: a renewal that is not answered may count.
        let renews = life.clock_ms(now).filter(|_| life.silent == 0);
        let lease_until_ms = renews.map(|clock_ms| clock_ms + lease.as_millis() as u64);
        if lease_until_ms.is_some() {
            life.note_leased(lapse_after, now);
        }
        life.hold_sent = true;
        life.ends_told = life.ends_kept;
        let hold = Hold { token: life.token, lease_until_ms, ends_kept: life.ends_kept, wait_ms };
        self.out.push(Action::Hold { life: no, entry: Arc::clone(&life.entry), hold });
    }

    /// Says when the worker is asked again.
    pub(super) fn schedule_hold(&mut self, no: LifeNo) {
        let now = self.now;
        let Some(life) = self.lives.get_mut(&no) else { return };
        let pause = match life.silent {
            0 if life.runs().is_empty() && life.ends_told >= life.ends_seen => HOLD_PAUSE_IDLE,
            0 if life.runs().is_empty() => HOLD_PAUSE * 5,
            0 => HOLD_PAUSE,
            times => (HOLD_RETRY * times).min(HOLD_RETRY_MAX),
        };
        life.next_hold_at = Some(now + pause);
    }

    /// Asks the worker soon, since something is expected of it.
    pub(super) fn hold_soon(&mut self, no: LifeNo, pause: Duration) {
        let at = self.now + pause;
        if let Some(life) = self.lives.get_mut(&no) {
            life.next_hold_at = Some(life.next_hold_at.map_or(at, |due| due.min(at)));
        }
    }

    fn listed(&mut self, entry: WorkerEntry) {
        let known = self.life_by_id.get(&entry.id).copied();
        if let Some((no, life)) = known.and_then(|no| Some((no, self.lives.get_mut(&no)?))) {
            let draining_now = entry.draining && !life.entry.draining;
            if draining_now || !life.listed {
                let belief = if draining_now { "draining" } else { "listed again" };
                let worker = entry.id.clone();
                let heard_ago_ms = life.heard_ago_ms(self.now);
                self.out.push(Action::Note(Note::Worker { worker, belief, heard_ago_ms }));
            }
            if !life.listed && self.unheard.contains(&no) {
                // It lives, so the owner before may reach it still. One that is not listed is to
                // be taken for gone once its lease is over.
                life.lapses_at = life.lapses_at + self.may_be_renewed_for;
            }
            life.listed = true;
            life.entry = Arc::new(entry);
            life.room = None;
            return;
        }
        let same_place = |there: &WorkerEntry| {
            there.address == entry.address
                || (entry.machine.is_some() && there.machine == entry.machine)
        };
        let before = self.lives.iter().filter(|(_, life)| same_place(&life.entry));
        for no in before.map(|(&no, _)| no).collect::<Vec<_>>() {
            self.end_life(no, "over: its machine lives anew");
        }
        let worker = entry.id.clone();
        // A worker that is new to the list has been leased by nobody else, or its record says so.
        let no = self.insert_life(entry, self.now);
        self.pending.add_life(no);
        self.out.push(Action::Note(Note::Worker { worker, belief: "listed", heard_ago_ms: None }));
        self.hold_if_due(no);
    }

    fn unlisted(&mut self, id: &LifeId) {
        let Some(&no) = self.life_by_id.get(id) else { return };
        let Some(life) = self.lives.get_mut(&no) else { return };
        life.listed = false;
        let heard_ago_ms = life.heard_ago_ms(self.now);
        self.out.push(Action::Note(Note::Worker {
            worker: id.clone(),
            belief: "not listed",
            heard_ago_ms,
        }));
        self.hold_soon(no, Duration::ZERO);
    }

    fn insert_life(&mut self, entry: WorkerEntry, lapses_at: Time) -> LifeNo {
        let no = LifeNo(self.next_life);
        self.next_life += 1;
        self.life_by_id.insert(entry.id.clone(), no);
        self.lives.insert(no, Life::new(entry, self.first_token(), lapses_at, self.now));
        no
    }
}
