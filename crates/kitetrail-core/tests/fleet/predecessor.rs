//! Simulates an owner that has been replaced without knowing, beside its successor.

use std::{
    collections::{BTreeSet, VecDeque},
    mem,
    time::Duration,
};

use kitetrail_core::{
    Time,
    jobs::{Action, Event, InstanceNo, JobId, JobState, OrderAnswer, Poll, Scheduler, WorkerEntry},
};

use super::{
    CLOCK_ZERO_UNIX_MS, SimulatedFleet, owners::MAX_UNCONFIRMED, worker::answer_unreachable_poll,
};

/// The outcome of a batch that was in flight during a takeover.
#[derive(Debug, Clone, Copy)]
pub enum InFlight {
    /// The batch never reached the store.
    Lost,
    /// The store committed the batch before the takeover, and its answer arrives this long after it.
    Committed(Duration),
}

/// An owner that has been replaced without knowing.
#[derive(Debug)]
pub struct Predecessor {
    scheduler: Scheduler,
    /// The workers that this owner can't reach.
    pub unreachable_workers: BTreeSet<String>,
    /// Whether this owner can't reach the store. Once it can, its next write shows that it was replaced.
    pub store_unreachable: bool,
    /// The time until which this owner is suspended.
    pub suspended_until: Option<Time>,
    /// When this owner was replaced: none of its later writes was committed.
    replaced_at: Time,
    polls: Vec<(InstanceNo, WorkerEntry, Poll, Time)>,
    /// The polls whose answers were lost, which this owner does not know yet.
    unanswered_polls: Vec<(InstanceNo, Poll, Time)>,
    events: VecDeque<(Time, Event)>,
}

impl Predecessor {
    /// Returns the state of a job that this owner shows to callers.
    pub fn state(&self, id: u64) -> Option<JobState> {
        self.scheduler.state(JobId(id))
    }

    fn reaches(&self, entry: &WorkerEntry) -> bool {
        !self.unreachable_workers.contains(entry.id.as_str())
    }

    /// Removes the events that are due and returns them in order.
    fn take_due(&mut self, now: Time) -> Vec<Event> {
        let (due, later): (Vec<_>, Vec<_>) =
            mem::take(&mut self.events).into_iter().partition(|(at, _)| *at <= now);
        self.events = later.into();
        due.into_iter().map(|(_, event)| event).collect()
    }

    /// Returns whether this owner must stop: it learned of its successor, or was without the store for too long.
    fn must_stop(&self, now: Time) -> bool {
        !self.store_unreachable || now.since(self.replaced_at) > MAX_UNCONFIRMED
    }
}

impl SimulatedFleet {
    /// Starts a new owner while the previous one continues without the store, disconnected from some workers.
    pub fn take_over_beside_predecessor(
        &mut self,
        epoch: u64,
        in_flight: InFlight,
        unreachable_workers: &[&str],
    ) {
        let mut events = mem::take(&mut self.order_answers);
        let batches = mem::take(&mut self.batches);
        if let InFlight::Committed(answered_after) = in_flight {
            for (_, batch, records) in batches {
                records.into_iter().for_each(|record| self.apply_record(record));
                events.push_back((self.now + answered_after, Event::Committed(batch)));
            }
        }
        let mut polls = Vec::new();
        for worker in self.workers.values_mut() {
            let open_polls =
                mem::take(&mut worker.earlier_polls).into_iter().chain(worker.current_poll.take());
            let entry = &worker.entry;
            polls.extend(
                open_polls
                    .map(|(instance, poll, sent_at)| (instance, entry.clone(), poll, sent_at)),
            );
        }
        let successor = super::owners::scheduler(epoch, Default::default(), self.now, &self.parts);
        let scheduler = mem::replace(&mut self.scheduler, successor);
        self.predecessor = Some(Predecessor {
            scheduler,
            unreachable_workers: unreachable_workers.iter().map(|&id| id.to_owned()).collect(),
            store_unreachable: true,
            suspended_until: None,
            replaced_at: self.now,
            polls,
            unanswered_polls: Vec::new(),
            events,
        });
        self.take_over(epoch, false);
    }

    /// Advances the previous owner by one step of the clock.
    pub(super) fn step_predecessor(&mut self) {
        let now = self.now;
        let Some(mut owner) = self.predecessor.take() else { return };
        self.answer_predecessor(&mut owner);
        if owner.suspended_until.is_some_and(|until| now < until) {
            self.predecessor = Some(owner);
            return;
        }
        if owner.must_stop(now) {
            return;
        }
        let mut events = owner.take_due(now);
        events.push(Event::Tick);
        for event in events {
            let actions = owner.scheduler.handle(event, now, CLOCK_ZERO_UNIX_MS + now.as_ms());
            if !actions.into_iter().all(|action| self.perform_for_predecessor(&mut owner, action)) {
                return;
            }
        }
        self.predecessor = Some(owner);
    }

    /// Lets the workers answer the polls of the previous owner. It reads the answers later if it is suspended.
    fn answer_predecessor(&mut self, owner: &mut Predecessor) {
        let now = self.now;
        for (instance, entry, poll, sent_at) in mem::take(&mut owner.polls) {
            let is_reached = owner.reaches(&entry) && self.listens_at(&entry);
            let worker = self.workers.get_mut(entry.id.as_str());
            let answer = match (is_reached, worker) {
                (true, Some(worker)) => {
                    worker.answer_poll(now, (instance, poll, sent_at), self.tail_ms)
                }
                // The worker answers a poll that waits when a run ends, not when it is reached again.
                (false, Some(worker)) if worker.answers_waiting_poll(now, &poll, sent_at) => {
                    owner.unanswered_polls.push((instance, poll, sent_at));
                    continue;
                }
                (false, _) => answer_unreachable_poll(now, &poll, sent_at),
                (true, None) => None,
            };
            match answer {
                Some(answer) => {
                    let answered = Event::PollAnswered { instance, poll, sent_at, answer };
                    owner.events.push_back((now, answered));
                }
                None => owner.polls.push((instance, entry, poll, sent_at)),
            }
        }
        for (instance, poll, sent_at) in mem::take(&mut owner.unanswered_polls) {
            match answer_unreachable_poll(now, &poll, sent_at) {
                Some(answer) => {
                    let answered = Event::PollAnswered { instance, poll, sent_at, answer };
                    owner.events.push_back((now, answered));
                }
                None => owner.unanswered_polls.push((instance, poll, sent_at)),
            }
        }
    }

    /// Performs an action of the previous owner. Returns `false` if it was deposed.
    fn perform_for_predecessor(&mut self, owner: &mut Predecessor, action: Action) -> bool {
        match action {
            Action::Order { instance, entry, token, lease_until_ms, order } => {
                let answer = match owner.reaches(&entry) && self.listens_at(&entry) {
                    true => self.deliver_order(entry.id.as_str(), token, lease_until_ms, &order),
                    false => OrderAnswer::Unanswered,
                };
                let answered = Event::OrderAnswered { instance, order, answer };
                owner.events.push_back((self.now + self.order_answer_delay, answered));
            }
            Action::Poll { instance, entry, poll } => {
                owner.polls.push((instance, (*entry).clone(), poll, self.now));
            }
            Action::Deposed => return false,
            // The store no longer answers this owner, so it can't answer callers.
            Action::Commit { .. }
            | Action::AnswerSubmit(..)
            | Action::AnswerCancel(..)
            | Action::Log(_) => {}
        }
        true
    }
}
