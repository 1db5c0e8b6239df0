//! Decides whether the owner of a fleet that has too little processor time hands the fleet over.
//!
//! The load it answers: the owner's machine runs several times slower for seconds, while other boxes are
//! idle. See `docs/design/hard-load.md`, "Owner relief".

mod box_speeds;
mod lag_window;
mod pause;
mod work_time;

use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

pub use self::{
    box_speeds::{BoxSpeed, BoxSpeeds},
    lag_window::LagWindow,
    pause::ReliefPause,
    work_time::{WorkTime, WorkTimes},
};
use crate::{Time, succession::BoxStrength};

/// The time after any takeover in which an owner is not relieved. It reads the stored state and polls all workers
/// first, which makes it late for up to 1.5 s on the largest fleet.
const TAKEOVER_GRACE: Duration = Duration::from_millis(2_000);
/// How many times faster a successor must be. A handover costs callers some 0.3 s, so that a small gain is not
/// worth it, and a lag that remains must be below half of the present one.
const MIN_SPEED_GAIN: u32 = 2;
/// The age from which what a box said of its speed is not used: two pings, which are 0.4 s apart, and their delay.
const MAX_SPEED_AGE: Duration = Duration::from_millis(1_000);
/// The longest read of the store by the successor. A takeover makes some five calls one after the other, and callers
/// of short jobs have 0.5 s left.
const MAX_STORE_READ_TIME: Duration = Duration::from_millis(150);
/// The time until a box is asked again after one did not qualify: one ping interval.
const ASK_INTERVAL: Duration = Duration::from_millis(400);

/// What the decision depends on, besides the owner's lag.
#[derive(Debug)]
pub struct ReliefInput<'a, K> {
    /// The time the owner's box takes for the reference work; `None` if not known yet.
    pub own_work_time: Option<WorkTime>,
    /// Whether runs are being moved out of evacuated zones. A new owner would poll all workers first.
    pub is_evacuating: bool,
    /// The boxes that could succeed the owner, the best one first.
    pub successors: &'a [K],
    /// What boxes said of their speed.
    pub speeds: &'a BoxSpeeds<K>,
}

/// What a box answers when it is asked whether it can take over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuccessorAnswer {
    /// How long its read of the store took.
    pub store_read_time: Duration,
    /// How long it takes for the reference work now.
    pub work_time: WorkTime,
}

/// Why an owner keeps the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepReason {
    /// It is not late for long.
    InTime,
    /// It took over too recently.
    TookOverRecently,
    /// A box is being asked, or was asked recently.
    Asked,
    /// Runs are being moved out of evacuated zones.
    Evacuating,
    /// Its own speed is not known.
    OwnSpeedUnknown,
    /// No box that is at least as strong is much faster.
    NobodyFaster,
}

impl Display for KeepReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InTime => "in time",
            Self::TookOverRecently => "took over recently",
            Self::Asked => "a box was asked",
            Self::Evacuating => "runs leave evacuated zones",
            Self::OwnSpeedUnknown => "own speed unknown",
            Self::NobodyFaster => "no strong box is much faster",
        })
    }
}

/// What an owner does about its lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReliefDecision<K> {
    /// It keeps the fleet.
    Keep(KeepReason),
    /// It asks a box whether that one reaches the store, and hands the fleet over if so.
    Ask {
        /// The box.
        successor: K,
        /// What the box said of its speed.
        speed: BoxSpeed,
    },
}

/// Decides when an owner hands the fleet over to a faster box.
#[derive(Debug)]
pub struct OwnerRelief {
    strength: BoxStrength,
    took_over_at: Time,
    /// The pause that began with the takeover, if it was a relief.
    pause: Option<ReliefPause>,
    lags: LagWindow,
    is_asking: bool,
    asked_at: Option<Time>,
}

impl OwnerRelief {
    /// Creates the decision for a box that takes over now, with the pause that came with the request if that is a relief.
    pub fn new(strength: BoxStrength, pause: Option<ReliefPause>, now: Time) -> Self {
        Self {
            strength,
            took_over_at: now,
            pause,
            lags: LagWindow::default(),
            is_asking: false,
            asked_at: None,
        }
    }

    /// Returns the owner's mean lag over the recent past.
    pub fn mean_lag(&self) -> Duration {
        self.lags.mean_lag()
    }

    /// Returns the pause that the successor has to keep before it may be relieved.
    pub fn next_pause(&self, now: Time) -> ReliefPause {
        let owned_for = now.since(self.took_over_at);
        self.pause.map_or(ReliefPause::SHORTEST, |pause| pause.after_another_relief(owned_for))
    }

    /// Records how much later than due the owner's timer fired.
    pub fn record_lag(&mut self, lag: Duration, now: Time) {
        self.lags.record(lag, now);
    }

    /// Returns what to do now. After [`ReliefDecision::Ask`], [`Self::record_answer`] must follow.
    pub fn decide<K: Ord + Copy>(
        &mut self,
        input: &ReliefInput<'_, K>,
        now: Time,
    ) -> ReliefDecision<K> {
        let pause = self.pause.map_or(TAKEOVER_GRACE, |pause| pause.duration().max(TAKEOVER_GRACE));
        let asked_recently = self.asked_at.is_some_and(|at| now.since(at) < ASK_INTERVAL);
        let keep_reason = match input.own_work_time {
            _ if !self.lags.is_late(now) => KeepReason::InTime,
            _ if now.since(self.took_over_at) < pause => KeepReason::TookOverRecently,
            _ if self.is_asking || asked_recently => KeepReason::Asked,
            _ if input.is_evacuating => KeepReason::Evacuating,
            None => KeepReason::OwnSpeedUnknown,
            Some(own) => match self.find_successor(own, input, now) {
                Some((successor, speed)) => {
                    self.is_asking = true;
                    return ReliefDecision::Ask { successor, speed };
                }
                None => KeepReason::NobodyFaster,
            },
        };
        ReliefDecision::Keep(keep_reason)
    }

    /// Records the answer of the box that was asked; `None` if there is none. Returns whether the fleet is handed over
    /// to that box.
    ///
    /// Both boxes measure their speed again for it, since what the other one reported may be from before its machine
    /// became slow as well, and the owner's machine may be fast again.
    pub fn record_answer(
        &mut self,
        answer: Option<SuccessorAnswer>,
        own_work_time: WorkTime,
        now: Time,
    ) -> bool {
        self.is_asking = false;
        self.asked_at = Some(now);
        answer.is_some_and(|answer| {
            answer.store_read_time <= MAX_STORE_READ_TIME
                && own_work_time.is_slower_by(MIN_SPEED_GAIN, answer.work_time)
        })
    }

    fn find_successor<K: Ord + Copy>(
        &self,
        own: WorkTime,
        input: &ReliefInput<'_, K>,
        now: Time,
    ) -> Option<(K, BoxSpeed)> {
        let speed_of = |&successor: &K| {
            let speed = input.speeds.get(successor)?;
            let qualifies = speed.strength >= self.strength
                && now.since(speed.reported_at) <= MAX_SPEED_AGE
                && own.is_slower_by(MIN_SPEED_GAIN, speed.work_time);
            qualifies.then_some((successor, speed))
        };
        input.successors.iter().find_map(speed_of)
    }
}
