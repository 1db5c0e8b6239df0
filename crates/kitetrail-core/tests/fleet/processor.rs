//! The processor time of an owner: what happens waits until it gets round to it.

use std::{collections::VecDeque, time::Duration};

use kitetrail_core::{Time, jobs::Event};

use super::STEP;

/// The owner looks at the clock so often, if it has the time.
const TICK: Duration = Duration::from_millis(20);

/// The processor time of an owner, as its loop spends it: all that waits, then a look at the clock.
#[derive(Debug)]
pub struct Processor {
    /// What an event costs.
    pub event_cost: Duration,
    /// What it costs more to read an end that a report tells.
    pub end_cost: Duration,
    /// It is told how late it is.
    pub told_its_lag: bool,
    inbox: VecDeque<Event>,
    /// How many events go before the next look at the clock.
    before_tick: usize,
    /// It looks at the clock now, having said how late that is.
    ticks: bool,
    ticked_at: Time,
    busy_until: Time,
    /// The longest lag so far.
    pub longest_lag: Duration,
}

impl Processor {
    /// The processor of an owner, of which each event takes so much.
    pub fn new(event_cost: Duration, now: Time) -> Self {
        Self {
            event_cost,
            end_cost: Duration::ZERO,
            told_its_lag: true,
            inbox: VecDeque::new(),
            before_tick: 0,
            ticks: false,
            ticked_at: now,
            busy_until: now,
            longest_lag: Duration::ZERO,
        }
    }

    /// How many events wait.
    pub fn waiting(&self) -> usize {
        self.inbox.len()
    }

    /// Lets an event wait for its turn.
    pub fn wait(&mut self, event: Event) {
        self.inbox.push_back(event);
    }

    /// The next event that there is time for in this step of the clock.
    pub fn next(&mut self, now: Time) -> Option<Event> {
        self.busy_until = self.busy_until.max(now);
        if self.busy_until >= now + STEP {
            return None;
        }
        let event = match self.before_tick {
            0 => self.look_at_clock(now)?,
            _ => {
                self.before_tick -= 1;
                self.inbox.pop_front()?
            }
        };
        self.busy_until = self.busy_until + self.event_cost + self.end_cost * ends_told(&event);
        Some(event)
    }

    /// The lag, then the tick; after it all that waits by then has its turn.
    fn look_at_clock(&mut self, now: Time) -> Option<Event> {
        if self.ticks {
            self.ticks = false;
            self.before_tick = self.inbox.len();
            return Some(Event::Tick);
        }
        let since = now.since(self.ticked_at);
        if since < TICK {
            self.before_tick = self.inbox.len();
            return self.inbox.pop_front().inspect(|_| self.before_tick -= 1);
        }
        let lag = since.saturating_sub(TICK);
        self.longest_lag = self.longest_lag.max(lag);
        self.ticked_at = now;
        self.ticks = true;
        Some(Event::Lagged(if self.told_its_lag { lag } else { Duration::ZERO }))
    }
}

/// How many ends of runs an event tells.
fn ends_told(event: &Event) -> u32 {
    match event {
        Event::Held { answer: Ok(report), .. } => report.ended.len() as u32,
        _ => 0,
    }
}
