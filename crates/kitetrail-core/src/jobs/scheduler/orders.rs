//! Sends orders to workers, one at a time each, and handles the answers.

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
    incarnations::Executor,
};
use crate::Time;

/// The delay from a confirmed start to the next hold. Most tasks run longer.
const HOLD_AFTER_START: Duration = Duration::from_millis(100);
/// The pause before a task is retried whose order the worker could not parse.
const MALFORMED_ORDER_BACKOFF: Duration = Duration::from_millis(2_000);

impl Scheduler {
    /// Queues an order and sends it if no other order to the worker is in flight.
    pub(super) fn order(&mut self, life_no: LifeNo, order: Order) {
        let Some(life) = self.lives.get_mut(life_no) else { return };
        life.orders.push_back(order);
        self.send_next_order(life_no);
    }

    /// Queues an order ahead of all waiting starts, and sends it if no other order is in flight.
    ///
    /// Each order waits for the answer to the previous one, which takes twice the owner's lag when
    /// it is overloaded. Without priority, a halt queued behind 24 starts was sent after all of
    /// them, while the platform tolerates a tail latency above target for only 4 s.
    pub(super) fn order_before_starts(&mut self, life_no: LifeNo, order: Order) {
        let Some(life) = self.lives.get_mut(life_no) else { return };
        let is_start = |waiting: &Order| matches!(waiting, Order::Start(_));
        let index = life.orders.iter().position(is_start).unwrap_or(life.orders.len());
        life.orders.insert(index, order);
        self.send_next_order(life_no);
    }

    /// Stops a run, or cancels its start order if that has not been sent.
    pub(super) fn stop_run(&mut self, life_no: LifeNo, task: TaskName, run: u32) {
        let Some(life) = self.lives.get_mut(life_no) else { return };
        if !life.runs().get(&task).is_some_and(|state| state.run == run && !state.stopping) {
            return;
        }
        if life.runs().get(&task).is_some_and(|run_state| run_state.phase == Phase::Unkept) {
            return self.drop_run(life_no, task, run);
        }
        let waiting = life.orders.iter().position(|waiting| {
            matches!(waiting, Order::Start(start) if start.task == task && start.run == run)
        });
        match waiting {
            Some(index) => {
                life.orders.remove(index);
                self.drop_run(life_no, task, run);
            }
            None => {
                if let Some(run_state) = life.run_mut(task, run) {
                    run_state.stopping = true;
                }
                life.orders.push_front(Order::Stop { task, run });
                self.send_next_order(life_no);
            }
        }
    }

    /// Stops a run so that its task continues elsewhere.
    pub(super) fn move_run(
        &mut self,
        life_no: LifeNo,
        task: TaskName,
        run: u32,
        why: &'static str,
    ) {
        let Some(life) = self.lives.get(life_no) else { return };
        let worker = life.id().clone();
        self.out.push(Action::Note(Note::RunMoved { task, run, worker, why }));
        self.stop_run(life_no, task, run);
    }

    /// Sends the oldest waiting order if the worker can take one.
    pub(super) fn send_next_order(&mut self, life_no: LifeNo) {
        let (now, lease, lease_expiry_delay) = (self.now, self.lease, self.lease_expiry_delay());
        let Some(life) = self.lives.get_mut(life_no) else { return };
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
            // The run was placed before the worker began to drain, before its zone was evacuated,
            // or before its entry was overwritten by another party.
            self.drop_run(life_no, start.task, start.run);
            return self.send_next_order(life_no);
        }
        if starts {
            life.note_leased(lease_expiry_delay, now);
        }
        life.order_sent = Some(SentOrder { at: now, starts });
        let action = Action::Order {
            life: life_no,
            entry: Arc::clone(&life.entry),
            token: life.token,
            lease_until_ms: clock_ms + lease.as_millis() as u64,
            order,
        };
        self.out.push(action);
    }

    /// Handles the answer to an order, or its failure.
    pub(super) fn handle_order_answer(
        &mut self,
        life_no: LifeNo,
        order: Order,
        answer: OrderAnswer,
    ) {
        let now = self.now;
        let Some(life) = self.lives.get_mut(life_no) else { return };
        let sent_at = life.order_sent.take().map_or(now, |order| order.at);
        if !matches!(answer, OrderAnswer::Done { .. }) {
            let (task, run) = order.run();
            let worker = life.id().clone();
            self.out.push(Action::Note(Note::OrderFailed { task, run, worker, answer }));
        }
        match answer {
            OrderAnswer::LifeOver => return self.end_life(life_no, LifeEnd::AnotherAnswers),
            OrderAnswer::Unanswered => self.handle_unanswered_order(life_no, &order),
            OrderAnswer::Done { clock_ms, incarnation } => {
                match self.executor_of(life_no, clock_ms, incarnation, sent_at) {
                    Executor::ThisLife => self.handle_executed_order(life_no, &order),
                    Executor::Another(incarnation) => {
                        self.handle_unanswered_order(life_no, &order);
                        self.handle_other_incarnation(life_no, incarnation, sent_at);
                    }
                    Executor::Unknown => self.handle_unanswered_order(life_no, &order),
                }
            }
            OrderAnswer::Refused(refusal) => self.handle_refused_order(life_no, &order, refusal),
        }
        // A hold must be sent before the next start: see `send_hold_if_due`.
        self.send_hold_if_due(life_no);
        self.send_next_order(life_no);
    }

    /// Invalidates all orders sent so far and counts the worker as silent.
    pub(super) fn raise_token_after_silence(&mut self, life_no: LifeNo) {
        self.raise_shared_token(life_no);
        if let Some(life) = self.lives.get_mut(life_no) {
            life.silent += 1;
            life.silent_since.get_or_insert(self.now);
            life.silent_for_sure |= self.overload.silence_proves();
        }
    }

    /// Removes a run that certainly does not exist on the worker; its task becomes pending again.
    pub(super) fn drop_run(&mut self, life_no: LifeNo, task: TaskName, run: u32) {
        let Some(life) = self.lives.get_mut(life_no) else { return };
        life.remove_run(task, run);
        self.remove_placement(task, Placement { life: life_no, run });
        self.placement_needed = true;
    }

    /// Removes a run from the placements of its task.
    pub(super) fn remove_placement(&mut self, name: TaskName, placement: Placement) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        job.may_wait = true;
        let Some(task) = job.task_mut(name) else { return };
        task.placed.retain(|placed| *placed != placement);
        if task.crashes.begun.take_if(|begun| begun.run == placement.run).is_some() {
            self.pending.note(name.job);
        }
    }

    /// Drops all runs of a worker that can no longer be running them.
    pub(super) fn drop_all_runs(&mut self, life_no: LifeNo, why: &'static str) {
        let Some(life) = self.lives.get(life_no) else { return };
        for task in life.runs().keys().copied().collect::<Vec<_>>() {
            self.log_dropped_run(life_no, task, why);
        }
        let Some(life) = self.lives.get_mut(life_no) else { return };
        life.orders.clear();
        for (task, run_state) in life.take_runs() {
            self.remove_placement(task, Placement { life: life_no, run: run_state.run });
            self.placement_needed = true;
        }
    }

    /// Logs a dropped run, with its known duration and the number of other runs on the worker.
    pub(super) fn log_dropped_run(&mut self, life_no: LifeNo, task: TaskName, why: &'static str) {
        let Some(life) = self.lives.get(life_no) else { return };
        let Some(run_state) = life.runs().get(&task) else { return };
        let (run, worker) = (run_state.run, life.id().clone());
        let ran_ms = life.known_to_run(run_state).map(|ran| ran.as_millis() as u64);
        let beside = life.runs().len().saturating_sub(1) as u32;
        self.out.push(Action::Note(Note::RunGivenUp { task, run, worker, why, ran_ms, beside }));
    }

    /// Handles an order without an answer: it may have been executed, or may be later.
    fn handle_unanswered_order(&mut self, life_no: LifeNo, order: &Order) {
        self.raise_token_after_silence(life_no);
        let (task, run) = order.run();
        let Some(life) = self.lives.get_mut(life_no) else { return };
        let settled_by = life.token;
        if let Some(run_state) = life.run_mut(task, run) {
            match order {
                Order::Start(_) => run_state.phase = Phase::Doubtful { settled_by },
                Order::Stop { .. } => run_state.stopping = false,
                Order::Pace { .. } => run_state.paced_percent = UNKNOWN_PACE_PERCENT,
            }
        }
        self.schedule_hold_within(life_no, Duration::ZERO);
        self.send_hold_if_due(life_no);
    }

    fn handle_executed_order(&mut self, life_no: LifeNo, order: &Order) {
        let now = self.now;
        let Order::Start(start) = order else { return };
        let life = self.lives.get_mut(life_no);
        if let Some(run_state) = life.and_then(|life| life.run_mut(start.task, start.run)) {
            run_state.phase = Phase::Running(now);
            run_state.progress.rose_at = now;
        }
        if let Some(job) = self.jobs.get_mut(&start.task.job) {
            job.begun = true;
        }
        self.repace(life_no);
        self.schedule_hold_within(life_no, HOLD_AFTER_START);
    }

    /// Handles a refusal: the worker has not executed the order.
    fn handle_refused_order(&mut self, life_no: LifeNo, order: &Order, refusal: Refusal) {
        let (task, run) = order.run();
        match order {
            Order::Start(_) => self.drop_run(life_no, task, run),
            Order::Stop { .. } | Order::Pace { .. } => {
                let life = self.lives.get_mut(life_no);
                if let Some(run_state) = life.and_then(|life| life.run_mut(task, run)) {
                    run_state.stopping = false;
                }
            }
        }
        match refusal {
            Refusal::Fenced => self.handle_fenced_order(life_no),
            Refusal::Unhealthy => self.set_aside_unhealthy(life_no),
            Refusal::Malformed => self.delay_task(task, self.now + MALFORMED_ORDER_BACKOFF),
            Refusal::Old | Refusal::Late | Refusal::Room | Refusal::Ticket => {}
        }
        // The worker's state differs from the expected one, so it is polled at once.
        self.schedule_hold_within(life_no, Duration::ZERO);
    }

    /// Handles an order refused for its token. The worker has seen a higher one, sent by us over
    /// another connection or by another owner.
    fn handle_fenced_order(&mut self, life_no: LifeNo) {
        let first = self.initial_token();
        if self.lives.get(life_no).is_some_and(|life| life.token == first) {
            self.out.push(Action::Deposed);
        }
    }

    /// Handles a hold refused for its token, since the worker has seen a higher one.
    pub(super) fn handle_fenced_hold(&mut self, life_no: LifeNo, token: u64) {
        if self.lives.get(life_no).is_some_and(|life| life.token <= token) {
            self.out.push(Action::Deposed);
        }
    }

    /// Delays the placement of a task until a given time.
    fn delay_task(&mut self, name: TaskName, until: Time) {
        if let Some(task) = self.task_mut(name) {
            task.not_before = Some(until);
        }
    }
}
