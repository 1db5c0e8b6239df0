//! Keeps serving tasks below their target latency by slowing the best-effort tasks beside them, no
//! more than needed.

use std::{collections::BTreeMap, mem, time::Duration};

use super::{
    super::{
        event::Action,
        instance::{InstanceNo, Pace, WorkerInstance},
        log_entry::LogEntry,
        order::Order,
        run::{FULL_PACE_PERCENT, PlacedRun},
    },
    Scheduler,
    free_capacity::{NEGLIGIBLE_EFFECT, full_speed_loads},
    gauges,
    tails::{ImageNo, Load, TailModel},
};
use crate::Time;

/// The share of its target below which a tail latency is kept by slowing best-effort tasks. All of
/// it: a task with a high predicted penalty is not started, so slowing is only for unforeseen
/// effects.
pub(super) const TARGET_SHARE: f64 = 1.0;
/// The assumed rise of a task's own stress while a best-effort task placed beside it runs. Loads
/// vary by about 0.2 within seconds, and the placement matters most when they are high.
pub(super) const OWN_STRESS_RISE: f64 = 0.1;
/// The granularity of paces in percent, so that small changes cause no orders.
const PACE_STEP_PERCENT: u8 = 20;
/// The least time for which a pace is held before it is raised: gauges cover the last half second.
const RAISE_DELAY: Duration = Duration::from_millis(600);
/// The time above its target, at least two reports, after which all best-effort tasks beside a
/// serving task are halted, whatever the model predicts. Well below the time that the platform
/// tolerates.
const HALT_AFTER_OVER_TARGET: Duration = Duration::from_millis(1_700);

/// The pace of each best-effort image on a worker, as a share of its full speed, 0 to 1.
type Shares = BTreeMap<ImageNo, f64>;

impl Scheduler {
    /// Learns from the latest report of a worker, and adjusts the pace of its best-effort runs.
    pub(super) fn learn_and_update_paces(&mut self, instance_no: InstanceNo) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        gauges::learn_interference(
            &mut self.tails,
            self.service_loads.as_mut(),
            instance,
            self.now,
        );
        self.update_paces(instance_no);
        self.move_slowed(instance_no);
    }

    /// Computes the pace of the best-effort runs on a worker from the current state, and orders it.
    pub(super) fn update_paces(&mut self, instance_no: InstanceNo) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let previous_paces = mem::take(&mut instance.paces);
        if !instance.has_best_effort() {
            return;
        }
        let mut changed_percents = Vec::new();
        for (image, share) in shares(&self.tails, instance, now) {
            let current = previous_paces.get(&image).copied();
            let current = current.unwrap_or(Pace { percent: FULL_PACE_PERCENT, since: now });
            let pace = next_pace(current, share, now);
            if pace.percent != current.percent {
                changed_percents.push(pace.percent);
            }
            instance.paces.insert(image, pace);
        }
        if let Some(percent) = changed_percents.into_iter().min() {
            let worker = instance.id().clone();
            let tail_of_target_percent = worst_tail_percent(instance).unwrap_or(0);
            self.actions.push(Action::Log(LogEntry::Paced {
                worker,
                percent,
                tail_of_target_percent,
            }));
        }
        self.order_paces(instance_no);
    }

    /// Orders the pace of best-effort runs where it differs from the last order.
    fn order_paces(&mut self, instance_no: InstanceNo) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let mut orders = Vec::new();
        let paces = instance.paces.clone();
        for (task, run) in instance.runs_mut() {
            let percent = paces.get(&run.image).map_or(FULL_PACE_PERCENT, |pace| pace.percent);
            let differs_from_order =
                run.is_best_effort && !run.stopping && run.paced_percent != percent;
            if differs_from_order && run.is_running() {
                run.paced_percent = percent;
                orders.push(Order::Pace { task, run: run.run, percent });
            }
        }
        for order in orders {
            self.queue_before_starts(instance_no, order);
        }
    }
}

/// Returns the next pace of an image that should run at a share of its full speed. Paces are
/// lowered at once and raised after a delay.
fn next_pace(current: Pace, share: f64, now: Time) -> Pace {
    let percent = round_down_to_step(share);
    let raise = percent > current.percent && now.since(current.since) >= RAISE_DELAY;
    if percent < current.percent || raise { Pace { percent, since: now } } else { current }
}

/// Returns the pace of each best-effort image with which every serving task stays below its target.
fn shares(tails: &TailModel, instance: &WorkerInstance, now: Time) -> Shares {
    let full_loads_by_image = full_speed_loads(instance);
    let mut shares = full_loads_by_image.iter().map(|&(image, _)| (image, 1.0)).collect::<Shares>();
    for run in instance.runs().values().filter(|run| run.is_serving()) {
        let is_cause = |&&(best_effort_image, _): &&Load| {
            tails.effect(best_effort_image, run.image) >= NEGLIGIBLE_EFFECT
        };
        let causes = full_loads_by_image.iter().filter(is_cause).copied().collect::<Vec<_>>();
        slow_to_target(tails, run, &causes, &mut shares);
        if run.above_target_since.is_some_and(|since| now.since(since) >= HALT_AFTER_OVER_TARGET) {
            shares.values_mut().for_each(|share| *share = 0.0);
        }
    }
    shares
}

/// Slows the causes of a serving task's stress until the model predicts a tail latency below its
/// target.
fn slow_to_target(tails: &TailModel, run: &PlacedRun, causes: &[Load], shares: &mut Shares) {
    let target_ms = run.tail_target_ms.unwrap_or(1) as f64;
    let available_stress =
        tails.stress_at(run.image, target_ms, TARGET_SHARE) - run.own_stress.mean;
    let added = causes.iter().map(|(best_effort_image, load)| {
        tails.effect(*best_effort_image, run.image) * load * shares[best_effort_image]
    });
    let stress = added.sum::<f64>();
    let factor = if stress > available_stress { (available_stress / stress).max(0.0) } else { 1.0 };
    for (best_effort_image, _) in causes {
        if let Some(share) = shares.get_mut(best_effort_image) {
            *share *= factor;
        }
    }
}

fn round_down_to_step(share: f64) -> u8 {
    let percent = (share.clamp(0.0, 1.0) * 100.0) as u8;
    percent / PACE_STEP_PERCENT * PACE_STEP_PERCENT
}

/// Returns the worst tail latency of the serving tasks on a worker, in percent of its target.
fn worst_tail_percent(instance: &WorkerInstance) -> Option<u32> {
    let percents = instance.runs().values().filter_map(|run| {
        let target_ms = run.tail_target_ms.filter(|&target_ms| target_ms > 0)?;
        let tail_ms = u64::from(run.gauge?);
        u32::try_from(tail_ms * 100 / target_ms).ok()
    });
    percents.max()
}
