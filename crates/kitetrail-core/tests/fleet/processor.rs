//! Simulates the limited processor time of an owner: events wait in a queue until it handles them.

use std::{collections::VecDeque, time::Duration};

use kitetrail_core::{Time, jobs::Event};

use super::STEP;

/// The interval between ticks of an owner that is not overloaded.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The processor time of an owner. As in the owner's loop, each tick is followed by all events that wait by then.
#[derive(Debug)]
pub struct Processor {
    /// The processor time of an event.
    pub event_cost: Duration,
    /// The additional processor time for each end of a run in a report.
    pub end_cost: Duration,
    /// The tasks of the owner's process that each event passes, of which each waits for its turn.
    /// The processor time of an event is spread over them.
    pub tasks_passed: u32,
    /// Whether the scheduler is informed of its lag.
    pub reports_lag: bool,
    /// The events that pass other tasks, each with the number of those that are left, and the tick.
    run_queue: VecDeque<(u32, Option<Event>)>,
    tick_is_queued: bool,
    inbox: VecDeque<Event>,
    /// The number of events before the next tick.
    events_before_tick: usize,
    /// Whether the next event is a tick, after its lag was reported.
    tick_is_next: bool,
    last_tick_at: Time,
    busy_until: Time,
    /// The longest lag up to now.
    pub longest_lag: Duration,
}

impl Processor {
    /// Creates a processor on which each event takes `event_cost`.
    pub fn new(event_cost: Duration, now: Time) -> Self {
        Self {
            event_cost,
            end_cost: Duration::ZERO,
            tasks_passed: 1,
            reports_lag: true,
            run_queue: VecDeque::new(),
            tick_is_queued: false,
            inbox: VecDeque::new(),
            events_before_tick: 0,
            tick_is_next: false,
            last_tick_at: now,
            busy_until: now,
            longest_lag: Duration::ZERO,
        }
    }

    /// Returns the number of queued events.
    pub fn waiting(&self) -> usize {
        self.run_queue.len() + self.inbox.len()
    }

    /// Queues an event.
    pub fn enqueue(&mut self, event: Event) {
        match self.tasks_passed {
            0 | 1 => self.inbox.push_back(event),
            tasks => self.run_queue.push_back((tasks, Some(event))),
        }
    }

    /// Returns the next event, or `None` if no processor time is left in this step of the clock.
    pub fn next(&mut self, now: Time) -> Option<Event> {
        self.busy_until = self.busy_until.max(now);
        if self.tasks_passed > 1 {
            return self.next_in_run_queue(now);
        }
        if self.busy_until >= now + STEP {
            return None;
        }
        let event = match self.events_before_tick {
            0 => self.next_at_tick(now)?,
            _ => {
                self.events_before_tick -= 1;
                self.inbox.pop_front()?
            }
        };
        self.busy_until = self.busy_until + self.event_cost + self.end_cost * reported_ends(&event);
        Some(event)
    }

    /// Returns the next event that has passed all tasks, the lag, or the tick. The timer takes one
    /// turn, so the lag is the time of one round of the queue.
    fn next_in_run_queue(&mut self, now: Time) -> Option<Event> {
        if self.tick_is_next {
            self.tick_is_next = false;
            return Some(Event::Tick);
        }
        while self.busy_until < now + STEP {
            let is_due = self.busy_until.since(self.last_tick_at) >= TICK_INTERVAL;
            if is_due && !self.tick_is_queued {
                self.tick_is_queued = true;
                self.run_queue.push_back((1, None));
            }
            let (tasks_left, event) = self.run_queue.pop_front()?;
            let Some(event) = event else {
                let elapsed = self.busy_until.since(self.last_tick_at);
                self.last_tick_at = self.busy_until;
                (self.tick_is_queued, self.tick_is_next) = (false, true);
                return Some(self.lag_after(elapsed));
            };
            self.busy_until = self.busy_until + self.event_cost / self.tasks_passed;
            match tasks_left {
                0 | 1 => return Some(event),
                _ => self.run_queue.push_back((tasks_left - 1, Some(event))),
            }
        }
        None
    }

    /// Returns the lag and then the tick if one is due, otherwise the next queued event.
    fn next_at_tick(&mut self, now: Time) -> Option<Event> {
        if self.tick_is_next {
            self.tick_is_next = false;
            self.events_before_tick = self.inbox.len();
            return Some(Event::Tick);
        }
        let elapsed = now.since(self.last_tick_at);
        if elapsed < TICK_INTERVAL {
            self.events_before_tick = self.inbox.len();
            return self.inbox.pop_front().inspect(|_| self.events_before_tick -= 1);
        }
        self.last_tick_at = now;
        self.tick_is_next = true;
        Some(self.lag_after(elapsed))
    }

    /// Returns the lag of a tick, given the time since the one before.
    fn lag_after(&mut self, elapsed: Duration) -> Event {
        let lag = elapsed.saturating_sub(TICK_INTERVAL);
        self.longest_lag = self.longest_lag.max(lag);
        Event::OwnerLagged(if self.reports_lag { lag } else { Duration::ZERO })
    }
}

/// Returns the number of ends of runs that an event reports.
fn reported_ends(event: &Event) -> u32 {
    match event {
        Event::PollAnswered { answer: Ok(report), .. } => report.ended.len() as u32,
        _ => 0,
    }
}
