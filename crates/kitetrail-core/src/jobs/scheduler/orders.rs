//! Orders to workers, one at a time each, and what comes back.

use std::{sync::Arc, time::Duration};

use super::{
    super::{
        event::Action,
        life::{Leasing, LifeEnd, LifeNo, Listing, SentOrder},
        names::TaskName,
        note::Note,
        order::{Order, OrderAnswer, Refusal},
        run::{Phase, UNKNOWN_PACE_PERCENT},
        steps::Placement,
    },
    Scheduler,
    incarnations::DoneBy,
};
use crate::Time;

/// How soon a worker is asked what runs, after a start was confirmed. Most tasks take longer.
const HOLD_AFTER_START: Duration = Duration::from_millis(100);
/// How long a task whose order a worker can't read waits before it is tried again.
const MALFORMED_PAUSE: Duration = Duration::from_millis(2_000);

impl Scheduler {
    /// Queues an order and sends it if nothing is on its way to the worker.
    pub(super) fn order(&mut self, no: LifeNo, order: Order) {
        let Some(life) = self.lives.get_mut(no) else { return };
        life.orders.push_back(order);
        self.send_next_order(no);
    }

    /// Queues an order before all starts that wait, and sends it if nothing is on its way to the worker.
    ///
    /// Each order waits for the answer to the one before, twice the owner's lag if it is late. A halt behind
    /// 24 starts came after all of them; the platform bears a tail above its target for 4 s.
    pub(super) fn order_before_starts(&mut self, no: LifeNo, order: Order) {
        let Some(life) = self.lives.get_mut(no) else { return };
        let is_start = |waiting: &Order| matches!(waiting, Order::Start(_));
        let at = life.orders.iter().position(is_start).unwrap_or(life.orders.len());
        life.orders.insert(at, order);
        self.send_next_order(no);
    }

    /// Stops a run, or takes back the order to start it if it has not left.
    pub(super) fn stop_run(&mut self, no: LifeNo, task: TaskName, run: u32) {
        let Some(life) = self.lives.get_mut(no) else { return };
        if !life.runs().get(&task).is_some_and(|there| there.run == run && !there.stopping) {
            return;
        }
        if life.runs().get(&task).is_some_and(|there| there.phase == Phase::Unkept) {
            return self.drop_run(no, task, run);
        }
        let waiting = life.orders.iter().position(|waiting| {
            matches!(waiting, Order::Start(start) if start.task == task && start.run == run)
        });
        match waiting {
            Some(at) => {
                life.orders.remove(at);
                self.drop_run(no, task, run);
            }
            None => {
                if let Some(there) = life.run_mut(task, run) {
                    there.stopping = true;
                }
                life.orders.push_front(Order::Stop { task, run });
                self.send_next_order(no);
            }
        }
    }

    /// Stops a run so that its task goes on elsewhere.
    pub(super) fn move_run(&mut self, no: LifeNo, task: TaskName, run: u32, why: &'static str) {
        let Some(life) = self.lives.get(no) else { return };
        let worker = life.id().clone();
        self.out.push(Action::Note(Note::RunMoved { task, run, worker, why }));
        self.stop_run(no, task, run);
    }

    /// Sends the order that waits longest, if the worker can take one.
    pub(super) fn send_next_order(&mut self, no: LifeNo) {
        let (now, lease, lapse_after) = (self.now, self.lease, self.lapse_after());
        let Some(life) = self.lives.get_mut(no) else { return };
        if life.order_sent.is_some() || life.silent > 0 || life.contested {
            return;
        }
        let Some(clock_ms) = life.clock_ms(now) else { return };
        let starts = matches!(life.orders.front(), Some(Order::Start(_)));
        if starts && life.leasing != Leasing::Allowed {
            return;
        }
        let Some(order) = life.orders.pop_front() else { return };
        if let Order::Start(start) = &order
            && (life.entry.draining || life.zone_evacuated || life.listing == Listing::Unusable)
        {
            // It was placed before the worker said that it leaves, its zone was to be evacuated, or somebody else
            // wrote its entry.
            self.drop_run(no, start.task, start.run);
            return self.send_next_order(no);
        }
        if starts {
            life.note_leased(lapse_after, now);
        }
        life.order_sent = Some(SentOrder { at: now, starts });
        let action = Action::Order {
            life: no,
            entry: Arc::clone(&life.entry),
            token: life.token,
            lease_until_ms: clock_ms + lease.as_millis() as u64,
            order,
        };
        self.out.push(action);
    }

    /// Takes note of what came back to an order.
    pub(super) fn order_answered(&mut self, no: LifeNo, order: Order, answer: OrderAnswer) {
        let now = self.now;
        let Some(life) = self.lives.get_mut(no) else { return };
        let sent_at = life.order_sent.take().map_or(now, |order| order.at);
        if !matches!(answer, OrderAnswer::Done { .. }) {
            let (task, run) = order.run();
            let worker = life.id().clone();
            self.out.push(Action::Note(Note::OrderFailed { task, run, worker, answer }));
        }
        match answer {
            OrderAnswer::LifeOver => return self.end_life(no, LifeEnd::AnotherAnswers),
            OrderAnswer::Unanswered => self.doubt(no, &order),
            OrderAnswer::Done { clock_ms, incarnation } => {
                match self.done_by(no, clock_ms, incarnation, sent_at) {
                    DoneBy::ThisLife => self.order_done(no, &order),
                    DoneBy::Another(incarnation) => {
                        self.doubt(no, &order);
                        self.heard_another(no, incarnation, sent_at);
                    }
                    DoneBy::Unknown => self.doubt(no, &order),
                }
            }
            OrderAnswer::Refused(refusal) => self.order_refused(no, &order, refusal),
        }
        // A hold goes before the next start: see `hold_if_due`.
        self.hold_if_due(no);
        self.send_next_order(no);
    }

    /// Voids every order that was sent so far and asks what really runs.
    pub(super) fn raise_token(&mut self, no: LifeNo) {
        self.raise_shared_token(no);
        if let Some(life) = self.lives.get_mut(no) {
            life.silent += 1;
            life.silent_since.get_or_insert(self.now);
            life.silent_for_sure |= self.overload.silence_proves();
        }
    }

    /// Forgets a run that certainly is not there; its task waits again.
    pub(super) fn drop_run(&mut self, no: LifeNo, task: TaskName, run: u32) {
        let Some(life) = self.lives.get_mut(no) else { return };
        life.remove_run(task, run);
        self.unplace(task, Placement { life: no, run });
        self.replan = true;
    }

    /// Takes a run out of the places of its task.
    pub(super) fn unplace(&mut self, name: TaskName, placement: Placement) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        job.may_wait = true;
        let Some(task) = job.task_mut(name) else { return };
        task.placed.retain(|placed| *placed != placement);
        if task.crashes.begun.take_if(|begun| begun.run == placement.run).is_some() {
            self.pending.note(name.job);
        }
    }

    /// Gives up all runs of a worker that can't be running them any more.
    pub(super) fn give_up_runs(&mut self, no: LifeNo, why: &'static str) {
        let Some(life) = self.lives.get(no) else { return };
        for task in life.runs().keys().copied().collect::<Vec<_>>() {
            self.note_given_up(no, task, why);
        }
        let Some(life) = self.lives.get_mut(no) else { return };
        life.orders.clear();
        for (task, there) in life.take_runs() {
            self.unplace(task, Placement { life: no, run: there.run });
            self.replan = true;
        }
    }

    /// Writes to the log that a run is given up, with how long it ran and what was lost beside it.
    pub(super) fn note_given_up(&mut self, no: LifeNo, task: TaskName, why: &'static str) {
        let Some(life) = self.lives.get(no) else { return };
        let Some(there) = life.runs().get(&task) else { return };
        let (run, worker) = (there.run, life.id().clone());
        let ran_ms = life.known_to_run(there).map(|ran| ran.as_millis() as u64);
        let beside = life.runs().len().saturating_sub(1) as u32;
        self.out.push(Action::Note(Note::RunGivenUp { task, run, worker, why, ran_ms, beside }));
    }

    /// An order was not answered: it may have been done, or be done later.
    fn doubt(&mut self, no: LifeNo, order: &Order) {
        self.raise_token(no);
        let (task, run) = order.run();
        let Some(life) = self.lives.get_mut(no) else { return };
        let settled_by = life.token;
        if let Some(there) = life.run_mut(task, run) {
            match order {
                Order::Start(_) => there.phase = Phase::Doubtful { settled_by },
                Order::Stop { .. } => there.stopping = false,
                Order::Pace { .. } => there.paced_percent = UNKNOWN_PACE_PERCENT,
            }
        }
        self.hold_soon(no, Duration::ZERO);
        self.hold_if_due(no);
    }

    fn order_done(&mut self, no: LifeNo, order: &Order) {
        let now = self.now;
        let Order::Start(start) = order else { return };
        let life = self.lives.get_mut(no);
        if let Some(there) = life.and_then(|life| life.run_mut(start.task, start.run)) {
            there.phase = Phase::Running(now);
            there.progress.rose_at = now;
        }
        if let Some(job) = self.jobs.get_mut(&start.task.job) {
            job.begun = true;
        }
        self.repace(no);
        self.hold_soon(no, HOLD_AFTER_START);
    }

    /// The worker has done nothing.
    fn order_refused(&mut self, no: LifeNo, order: &Order, refusal: Refusal) {
        let (task, run) = order.run();
        match order {
            Order::Start(_) => self.drop_run(no, task, run),
            Order::Stop { .. } | Order::Pace { .. } => {
                let life = self.lives.get_mut(no);
                if let Some(there) = life.and_then(|life| life.run_mut(task, run)) {
                    there.stopping = false;
                }
            }
        }
        match refusal {
            Refusal::Fenced => self.fenced(no),
            Refusal::Unhealthy => self.set_aside_unhealthy(no),
            Refusal::Malformed => self.hold_back(task, self.now + MALFORMED_PAUSE),
            Refusal::Old | Refusal::Late | Refusal::Room | Refusal::Ticket => {}
        }
        // Something is not as believed: look.
        self.hold_soon(no, Duration::ZERO);
    }

    /// The worker has seen a higher token: ours from another channel, or another owner's.
    fn fenced(&mut self, no: LifeNo) {
        let first = self.first_token();
        if self.lives.get(no).is_some_and(|life| life.token == first) {
            self.out.push(Action::Deposed);
        }
    }

    /// The worker has seen a higher token than that of a hold.
    pub(super) fn hold_fenced(&mut self, no: LifeNo, token: u64) {
        if self.lives.get(no).is_some_and(|life| life.token <= token) {
            self.out.push(Action::Deposed);
        }
    }

    /// Places a task no earlier than a moment.
    fn hold_back(&mut self, name: TaskName, until: Time) {
        if let Some(task) = self.task_mut(name) {
            task.not_before = Some(until);
        }
    }
}
