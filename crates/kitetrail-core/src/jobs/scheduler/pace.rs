//! Keeps what serves below its target by slowing what fills beside it, and no more than needed.

use std::{collections::BTreeMap, mem, time::Duration};

use super::{
    super::{
        event::Action,
        life::{Life, LifeNo, Pace},
        note::Note,
        order::Order,
        run::{FULL_PACE_PERCENT, RunThere},
    },
    Scheduler, gauges,
    room::{SLIGHT_EFFECT, full_loads},
    tails::{ImageNo, Load, TailModel},
};
use crate::Time;

/// The share of its target that a tail is to stay below before what fills beside it is slowed. All of
/// it: where a task would do much harm it is not started, so slowing is for what was not foreseen.
pub(super) const AIM: f64 = 1.0;
/// How much a task's own stress may rise while what is placed beside it runs. Loads swing by some
/// two tenths within seconds; where a task may go matters most at the top.
pub(super) const SWING: f64 = 0.1;
/// Paces are multiples of this, in percent, so that small changes cost no orders.
const PACE_STEP_PERCENT: u8 = 20;
/// How long a pace holds at least before it is raised: the gauges tell of the last half second.
const RAISE_AFTER: Duration = Duration::from_millis(600);
/// After so long above its target, two reports or more, all that fills beside a tail is halted,
/// whatever the model says. Well below the time that the platform forgives.
const HALT_WHEN_OVER_FOR: Duration = Duration::from_millis(1_700);

/// A pace for each image that fills on a worker, as a share of its speed, 0 to 1.
type Shares = BTreeMap<ImageNo, f64>;

impl Scheduler {
    /// Learns from the newest report of a worker and paces what fills there.
    pub(super) fn control_pace(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get_mut(no) else { return };
        gauges::learn(&mut self.tails, life, self.now);
        self.repace(no);
        self.move_slowed(no);
    }

    /// Paces what fills on a worker by what is known now, and tells it.
    pub(super) fn repace(&mut self, no: LifeNo) {
        let now = self.now;
        let Some(life) = self.lives.get_mut(no) else { return };
        let before = mem::take(&mut life.paces);
        if !life.fills() {
            return;
        }
        let mut changed = Vec::new();
        for (image, share) in shares(&self.tails, life, now) {
            let held = before.get(&image).copied();
            let held = held.unwrap_or(Pace { percent: FULL_PACE_PERCENT, since: now });
            let pace = next_pace(held, share, now);
            if pace.percent != held.percent {
                changed.push(pace.percent);
            }
            life.paces.insert(image, pace);
        }
        if let Some(percent) = changed.into_iter().min() {
            let worker = life.id().clone();
            let tail_of_target_percent = worst_tail_percent(life).unwrap_or(0);
            self.out.push(Action::Note(Note::Paced { worker, percent, tail_of_target_percent }));
        }
        self.tell_pace(no);
    }

    /// Tells filling runs their share where it is not what they were told.
    fn tell_pace(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get_mut(no) else { return };
        let mut orders = Vec::new();
        let paces = life.paces.clone();
        for (task, there) in life.runs_mut() {
            let percent = paces.get(&there.image).map_or(FULL_PACE_PERCENT, |pace| pace.percent);
            let differs = there.fills && !there.stopping && there.paced_percent != percent;
            if differs && there.is_running() {
                there.paced_percent = percent;
                orders.push(Order::Pace { task, run: there.run, percent });
            }
        }
        for order in orders {
            self.order_before_starts(no, order);
        }
    }
}

/// The pace of an image that should have a share of its speed: lowered at once, raised after a
/// while.
fn next_pace(held: Pace, share: f64, now: Time) -> Pace {
    let percent = quantise(share);
    let raise = percent > held.percent && now.since(held.since) >= RAISE_AFTER;
    if percent < held.percent || raise { Pace { percent, since: now } } else { held }
}

/// The pace of each image that fills, so that everything that serves stays below its aim.
fn shares(tails: &TailModel, life: &Life, now: Time) -> Shares {
    let full = full_loads(life);
    let mut shares = full.iter().map(|&(image, _)| (image, 1.0)).collect::<Shares>();
    for run in life.runs().values().filter(|run| run.serves()) {
        let is_cause = |&&(fills, _): &&Load| tails.effect(fills, run.image) >= SLIGHT_EFFECT;
        let causes = full.iter().filter(is_cause).copied().collect::<Vec<_>>();
        slow_to_aim(tails, run, &causes, &mut shares);
        if run.over_since.is_some_and(|since| now.since(since) >= HALT_WHEN_OVER_FOR) {
            shares.values_mut().for_each(|share| *share = 0.0);
        }
    }
    shares
}

/// Slows the causes of a task's stress until the model says that its tail stays below its aim.
fn slow_to_aim(tails: &TailModel, run: &RunThere, causes: &[Load], shares: &mut Shares) {
    let target_ms = run.tail_target_ms.unwrap_or(1) as f64;
    let left = tails.stress_at(run.image, target_ms, AIM) - run.own_stress.mean;
    let added =
        causes.iter().map(|(fills, load)| tails.effect(*fills, run.image) * load * shares[fills]);
    let stress = added.sum::<f64>();
    let kept = if stress > left { (left / stress).max(0.0) } else { 1.0 };
    for (fills, _) in causes {
        if let Some(share) = shares.get_mut(fills) {
            *share *= kept;
        }
    }
}

fn quantise(share: f64) -> u8 {
    let percent = (share.clamp(0.0, 1.0) * 100.0) as u8;
    percent / PACE_STEP_PERCENT * PACE_STEP_PERCENT
}

/// The worst tail of what serves there, in percent of its target.
fn worst_tail_percent(life: &Life) -> Option<u32> {
    let percents = life.runs().values().filter_map(|run| {
        let target_ms = run.tail_target_ms.filter(|&target_ms| target_ms > 0)?;
        let tail_ms = u64::from(run.gauge?);
        u32::try_from(tail_ms * 100 / target_ms).ok()
    });
    percents.max()
}
