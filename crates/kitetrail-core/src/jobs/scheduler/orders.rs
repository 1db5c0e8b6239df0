//! Sends orders to workers, one at a time each, and handles the answers.

use std::{sync::Arc, time::Duration};

use super::{
    super::{
        event::Action,
        instance::{InstanceEnd, InstanceNo, Leasing, Listing, SentOrder},
        log_entry::LogEntry,
        names::TaskName,
        order::{Order, OrderAnswer, OrderRefusal},
        run::{Phase, UNKNOWN_PACE_PERCENT},
        spec::WorkKind,
        steps::Placement,
    },
    Scheduler,
    incarnations::Executor,
};
use crate::Time;

/// The delay from a confirmed start to the next poll. Most tasks run longer.
const POLL_AFTER_START: Duration = Duration::from_millis(100);
/// The pause before a task is retried whose order the worker could not parse.
const MALFORMED_ORDER_BACKOFF: Duration = Duration::from_millis(2_000);

impl Scheduler {
    /// Queues an order and sends it if no other order to the worker is in flight.
    pub(super) fn queue_order(&mut self, instance_no: InstanceNo, order: Order) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        instance.orders.push_back(order);
        self.send_next_order(instance_no);
    }

    /// Queues the start of a short task ahead of waiting starts of other kinds, and sends it if no
    /// other order is in flight.
    ///
    /// A short task holds reserved room while its start waits, and its job has the least time. A
    /// worker's orders are sent one at a time, so behind the starts of a wide best-effort step it
    /// would wait for as many answers.
    pub(super) fn queue_short_start(&mut self, instance_no: InstanceNo, order: Order) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let is_other_start = |waiting: &Order| match waiting {
            Order::Start(start) => start.kind != WorkKind::Short,
            Order::Stop { .. } | Order::Pace { .. } => false,
        };
        let index = instance.orders.iter().position(is_other_start);
        instance.orders.insert(index.unwrap_or(instance.orders.len()), order);
        self.send_next_order(instance_no);
    }

    /// Queues an order ahead of all waiting starts, and sends it if no other order is in flight.
    ///
    /// Each order waits for the answer to the previous one, which takes twice the owner's lag when
    /// it is overloaded. Without priority, a halt queued behind 24 starts was sent after all of
    /// them, while the platform tolerates a tail latency above target for only 4 s.
    pub(super) fn queue_before_starts(&mut self, instance_no: InstanceNo, order: Order) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let is_start = |waiting: &Order| matches!(waiting, Order::Start(_));
        let index = instance.orders.iter().position(is_start).unwrap_or(instance.orders.len());
        instance.orders.insert(index, order);
        self.send_next_order(instance_no);
    }

    /// Stops a run, or cancels its start order if that has not been sent.
    pub(super) fn stop_run(&mut self, instance_no: InstanceNo, task: TaskName, run: u32) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        if !instance.runs().get(&task).is_some_and(|state| state.run == run && !state.stopping) {
            return;
        }
        if instance.runs().get(&task).is_some_and(|run_state| run_state.phase == Phase::Unpersisted)
        {
            return self.drop_run(instance_no, task, run);
        }
        let waiting = instance.orders.iter().position(|waiting| {
            matches!(waiting, Order::Start(start) if start.task == task && start.run == run)
        });
        match waiting {
            Some(index) => {
                instance.orders.remove(index);
                self.drop_run(instance_no, task, run);
            }
            None => {
                if let Some(run_state) = instance.run_mut(task, run) {
                    run_state.stopping = true;
                }
                instance.orders.push_front(Order::Stop { task, run });
                self.send_next_order(instance_no);
            }
        }
    }

    /// Stops a run so that its task continues elsewhere, unless the task would have to wait for workers
    /// that have not reported yet.
    pub(super) fn move_run(
        &mut self,
        instance_no: InstanceNo,
        task: TaskName,
        run: u32,
        why: &'static str,
    ) {
        if self.awaits_workers() && self.task_mut(task).is_some_and(|task| task.is_unaccounted) {
            return;
        }
        let Some(instance) = self.instances.get(instance_no) else { return };
        let worker = instance.id().clone();
        self.actions.push(Action::Log(LogEntry::RunMoved { task, run, worker, why }));
        self.stop_run(instance_no, task, run);
    }

    /// Sends the oldest waiting order if the worker can take one.
    pub(super) fn send_next_order(&mut self, instance_no: InstanceNo) {
        let (now, lease_expiry_delay) = (self.now, self.lease_expiry_delay());
        // Only starts need a lease.
        let lease = self.grantable_lease();
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        if instance.order_in_flight.is_some() || instance.unanswered_polls > 0 || instance.contested
        {
            return;
        }
        let Some(clock_ms) = instance.clock_ms(now) else { return };
        let starts = matches!(instance.orders.front(), Some(Order::Start(_)));
        if starts && (instance.leasing != Leasing::Allowed || lease.is_none()) {
            return;
        }
        let Some(order) = instance.orders.pop_front() else { return };
        if let Order::Start(start) = &order
            && (instance.entry.draining
                || instance.is_closed_to_starts()
                || instance.listing == Listing::Unusable)
        {
            // The run was placed before the worker began to drain, before operators closed it to
            // starts, or before its entry was overwritten by another party.
            self.drop_run(instance_no, start.task, start.run);
            return self.send_next_order(instance_no);
        }
        if starts {
            instance.extend_leases(lease_expiry_delay, now);
        }
        instance.order_in_flight = Some(SentOrder { at: now, starts });
        let action = Action::Order {
            instance: instance_no,
            entry: Arc::clone(&instance.entry),
            token: instance.token,
            lease_until_ms: clock_ms + lease.unwrap_or_default().as_millis() as u64,
            order,
        };
        self.actions.push(action);
    }

    /// Handles the answer to an order, or its failure.
    pub(super) fn handle_order_answer(
        &mut self,
        instance_no: InstanceNo,
        order: Order,
        answer: OrderAnswer,
    ) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let sent_at = instance.order_in_flight.take().map_or(now, |order| order.at);
        if !matches!(answer, OrderAnswer::Done { .. }) {
            let (task, run) = order.run();
            let worker = instance.id().clone();
            self.actions.push(Action::Log(LogEntry::OrderFailed { task, run, worker, answer }));
        }
        match answer {
            OrderAnswer::LifeOver => {
                return self.end_instance(instance_no, InstanceEnd::AnotherAnswers);
            }
            OrderAnswer::Unanswered => self.handle_unanswered_order(instance_no, &order),
            OrderAnswer::Done { clock_ms, incarnation } => {
                match self.executor_of(instance_no, clock_ms, incarnation, sent_at) {
                    Executor::ThisInstance => {
                        self.response_delay.record(now.since(sent_at), now);
                        self.handle_executed_order(instance_no, &order, clock_ms, sent_at)
                    }
                    Executor::Another(incarnation) => {
                        self.handle_unanswered_order(instance_no, &order);
                        self.handle_other_incarnation(instance_no, incarnation, sent_at);
                    }
                    Executor::Unknown => self.handle_unanswered_order(instance_no, &order),
                }
            }
            OrderAnswer::Refused(refusal) => {
                self.handle_refused_order(instance_no, &order, refusal)
            }
        }
        // A poll must be sent before the next start: see `send_poll_if_due`.
        self.send_poll_if_due(instance_no);
        self.send_next_order(instance_no);
    }

    /// Invalidates all orders sent so far and counts the worker as silent.
    pub(super) fn raise_token_after_silence(&mut self, instance_no: InstanceNo) {
        self.raise_shared_token(instance_no);
        if let Some(instance) = self.instances.get_mut(instance_no) {
            instance.unanswered_polls += 1;
            instance.unanswered_since.get_or_insert(self.now);
            instance.silent_while_owner_on_time |= self.overload.silence_is_conclusive();
        }
    }

    /// Removes a run that certainly does not exist on the worker; its task becomes pending again.
    pub(super) fn drop_run(&mut self, instance_no: InstanceNo, task: TaskName, run: u32) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        instance.remove_run(task, run);
        self.remove_placement(task, Placement { instance: instance_no, run });
        self.placement_needed = true;
    }

    /// Removes a run from the placements of its task.
    pub(super) fn remove_placement(&mut self, name: TaskName, placement: Placement) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        job.may_have_waiting_tasks = true;
        let Some(task) = job.task_mut(name) else { return };
        task.placed.retain(|placed| *placed != placement);
        if task.crashes.begun.take_if(|begun| begun.run == placement.run).is_some() {
            self.record_task_progress(name);
        }
    }

    /// Drops all runs of a worker that can no longer be running them.
    pub(super) fn drop_all_runs(&mut self, instance_no: InstanceNo, why: &'static str) {
        let Some(instance) = self.instances.get(instance_no) else { return };
        for task in instance.runs().keys().copied().collect::<Vec<_>>() {
            self.log_dropped_run(instance_no, task, why);
        }
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        instance.orders.clear();
        for (task, run_state) in instance.take_runs() {
            self.remove_placement(task, Placement { instance: instance_no, run: run_state.run });
            self.placement_needed = true;
        }
    }

    /// Logs a dropped run, with its known duration and the number of other runs on the worker.
    pub(super) fn log_dropped_run(
        &mut self,
        instance_no: InstanceNo,
        task: TaskName,
        why: &'static str,
    ) {
        let Some(instance) = self.instances.get(instance_no) else { return };
        let Some(run_state) = instance.runs().get(&task) else { return };
        let (run, worker) = (run_state.run, instance.id().clone());
        let ran_ms = instance.confirmed_run_time(run_state).map(|ran| ran.as_millis() as u64);
        let beside = instance.runs().len().saturating_sub(1) as u32;
        self.actions.push(Action::Log(LogEntry::RunLost {
            task,
            run,
            worker,
            why,
            ran_ms,
            beside,
        }));
    }

    /// Handles an order without an answer: it may have been executed, or may be later.
    fn handle_unanswered_order(&mut self, instance_no: InstanceNo, order: &Order) {
        self.raise_token_after_silence(instance_no);
        let (task, run) = order.run();
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let settling_token = instance.token;
        if let Some(run_state) = instance.run_mut(task, run) {
            match order {
                Order::Start(_) => run_state.phase = Phase::StartUnanswered { settling_token },
                Order::Stop { .. } => run_state.stopping = false,
                Order::Pace { .. } => run_state.paced_percent = UNKNOWN_PACE_PERCENT,
            }
        }
        self.schedule_poll_within(instance_no, Duration::ZERO);
        self.send_poll_if_due(instance_no);
    }

    fn handle_executed_order(
        &mut self,
        instance_no: InstanceNo,
        order: &Order,
        clock_ms: u64,
        sent_at: Time,
    ) {
        let now = self.now;
        let Order::Start(start) = order else { return };
        let instance = self.instances.get_mut(instance_no);
        if let Some(run_state) =
            instance.and_then(|instance| instance.run_mut(start.task, start.run))
        {
            run_state.phase = Phase::Running(now);
            run_state.queued = Some(sent_at.since(run_state.placed_at));
            run_state.started_clock_ms = Some(clock_ms);
            run_state.progress.rose_at = now;
        }
        self.begin_pace(instance_no, start.task, start.run);
        if let Some(job) = self.jobs.get_mut(&start.task.job) {
            job.has_started = true;
        }
        self.update_paces(instance_no);
        self.schedule_poll_within(instance_no, POLL_AFTER_START);
    }

    /// Handles a refusal: the worker has not executed the order.
    fn handle_refused_order(
        &mut self,
        instance_no: InstanceNo,
        order: &Order,
        refusal: OrderRefusal,
    ) {
        let (task, run) = order.run();
        match order {
            Order::Start(_) => self.drop_run(instance_no, task, run),
            Order::Stop { .. } | Order::Pace { .. } => {
                let instance = self.instances.get_mut(instance_no);
                if let Some(run_state) = instance.and_then(|instance| instance.run_mut(task, run)) {
                    run_state.stopping = false;
                }
            }
        }
        match refusal {
            OrderRefusal::Fenced => self.handle_fenced_order(instance_no),
            OrderRefusal::Unhealthy => self.quarantine_unhealthy(instance_no),
            OrderRefusal::Malformed => self.delay_task(task, self.now + MALFORMED_ORDER_BACKOFF),
            OrderRefusal::Old | OrderRefusal::Late | OrderRefusal::Room | OrderRefusal::Ticket => {}
        }
        // The worker's state differs from the expected one, so it is polled at once.
        self.schedule_poll_within(instance_no, Duration::ZERO);
    }

    /// Handles an order refused for its token. The worker has seen a higher one, sent by us over
    /// another connection or by another owner.
    fn handle_fenced_order(&mut self, instance_no: InstanceNo) {
        let first = self.initial_token();
        if self.instances.get(instance_no).is_some_and(|instance| instance.token == first) {
            self.actions.push(Action::Deposed);
        }
    }

    /// Handles a poll refused for its token, since the worker has seen a higher one.
    pub(super) fn handle_fenced_poll(&mut self, instance_no: InstanceNo, token: u64) {
        if self.instances.get(instance_no).is_some_and(|instance| instance.token <= token) {
            self.actions.push(Action::Deposed);
        }
    }

    /// Delays the placement of a task until a given time.
    fn delay_task(&mut self, name: TaskName, until: Time) {
        if let Some(task) = self.task_mut(name) {
            task.not_before = Some(until);
        }
    }
}
