//! An owner that was succeeded and does not know, beside its successor.

use std::{
    collections::{BTreeSet, VecDeque},
    mem,
    time::Duration,
};

use kitetrail_core::{
    Time,
    jobs::{Action, Event, Hold, LifeNo, OrderAnswer, Scheduler, WorkerEntry},
};

use super::{DAY_UNIX_MS, World, owners::RENEW_WITHOUT_STORE, worker::hold_across_cut};

/// What became of the batch that was on its way as another owner took over.
#[derive(Debug, Clone, Copy)]
pub enum InFlight {
    /// It never reached the store.
    Lost,
    /// The store kept it before the takeover, and its answer comes so long after that.
    Kept(Duration),
}

/// An owner that was succeeded and does not know.
#[derive(Debug)]
pub struct Predecessor {
    scheduler: Scheduler,
    /// Workers that it does not reach.
    pub cut_from: BTreeSet<String>,
    /// It does not reach the store. Once it does, its next write shows that it was succeeded.
    pub store_cut: bool,
    /// It stands still until then.
    pub suspended_until: Option<Time>,
    /// When it was succeeded: no write of its own was kept after this.
    succeeded_at: Time,
    holds: Vec<(LifeNo, WorkerEntry, Hold, Time)>,
    events: VecDeque<(Time, Event)>,
}

impl Predecessor {
    fn reaches(&self, entry: &WorkerEntry) -> bool {
        !self.cut_from.contains(entry.id.as_str())
    }

    /// What has come by now, in order.
    fn take_due(&mut self, now: Time) -> Vec<Event> {
        let (due, later): (Vec<_>, Vec<_>) =
            mem::take(&mut self.events).into_iter().partition(|(at, _)| *at <= now);
        self.events = later.into();
        due.into_iter().map(|(_, event)| event).collect()
    }

    /// Whether it gives the fleet up: it hears that it was succeeded, or was without the store for too long.
    fn gives_up(&self, now: Time) -> bool {
        !self.store_cut || now.since(self.succeeded_at) > RENEW_WITHOUT_STORE
    }
}

impl World {
    /// Another owner takes over, and the one before goes on without the store, cut off from some workers.
    pub fn take_over_beside(&mut self, epoch: u64, in_flight: InFlight, cut_from: &[&str]) {
        let mut events = mem::take(&mut self.order_answers);
        let batches = mem::take(&mut self.batches);
        if let InFlight::Kept(answered_after) = in_flight {
            for (_, batch, records) in batches {
                records.into_iter().for_each(|record| self.keep(record));
                events.push_back((self.now + answered_after, Event::Committed(batch)));
            }
        }
        let mut holds = Vec::new();
        for worker in self.workers.values_mut() {
            let held = mem::take(&mut worker.held_before).into_iter().chain(worker.held.take());
            let entry = &worker.entry;
            holds.extend(held.map(|(life, hold, sent_at)| (life, entry.clone(), hold, sent_at)));
        }
        let successor = super::owners::scheduler(epoch, Default::default(), self.now);
        let scheduler = mem::replace(&mut self.scheduler, successor);
        self.predecessor = Some(Predecessor {
            scheduler,
            cut_from: cut_from.iter().map(|&id| id.to_owned()).collect(),
            store_cut: true,
            suspended_until: None,
            succeeded_at: self.now,
            holds,
            events,
        });
        self.take_over(epoch, false);
    }

    /// Lets the owner before do what it has to in one step of the clock.
    pub(super) fn step_predecessor(&mut self) {
        let now = self.now;
        let Some(mut owner) = self.predecessor.take() else { return };
        if owner.suspended_until.is_some_and(|until| now < until) {
            self.predecessor = Some(owner);
            return;
        }
        if owner.gives_up(now) {
            return;
        }
        let mut events = owner.take_due(now);
        for (life, entry, hold, sent_at) in mem::take(&mut owner.holds) {
            let answer = match owner.reaches(&entry) && self.answers_at(&entry) {
                true => self.workers.get_mut(entry.id.as_str()).and_then(|worker| {
                    worker.answer_hold(now, (life, hold, sent_at), self.tail_ms)
                }),
                false => hold_across_cut(now, &hold, sent_at),
            };
            match answer {
                Some(answer) => events.push(Event::Held { life, hold, sent_at, answer }),
                None => owner.holds.push((life, entry, hold, sent_at)),
            }
        }
        events.push(Event::Tick);
        for event in events {
            let actions = owner.scheduler.handle(event, now, DAY_UNIX_MS + now.as_ms());
            if !actions.into_iter().all(|action| self.act_for(&mut owner, action)) {
                return;
            }
        }
        self.predecessor = Some(owner);
    }

    /// Does what the owner before asks for. `false`: it was deposed.
    fn act_for(&mut self, owner: &mut Predecessor, action: Action) -> bool {
        match action {
            Action::Order { life, entry, token, lease_until_ms, order } => {
                let answer = match owner.reaches(&entry) && self.answers_at(&entry) {
                    true => self.order(entry.id.as_str(), token, lease_until_ms, &order),
                    false => OrderAnswer::Unanswered,
                };
                let answered = Event::OrderAnswered { life, order, answer };
                owner.events.push_back((self.now + self.order_answers_take, answered));
            }
            Action::Hold { life, entry, hold } => {
                owner.holds.push((life, (*entry).clone(), hold, self.now));
            }
            Action::Deposed => return false,
            // The store does not answer it any more, so neither are callers.
            Action::Commit { .. }
            | Action::AnswerSubmit(..)
            | Action::AnswerCancel(..)
            | Action::Note(_) => {}
        }
        true
    }
}
