//! Keeps what serves below its target by slowing what fills beside it, and no more than needed.

use std::{collections::BTreeMap, time::Duration};

use super::{
    super::{
        event::{Action, Note, Order},
        life::{Life, LifeNo, Phase, RunThere},
        names::TaskName,
        spec::StepSpec,
    },
    Scheduler,
    room::{SLIGHT_EFFECT, capacity_millis, full_loads, loads_by},
    tails::{ImageNo, Load, Tail, TailModel},
};

/// The share of its target that a tail is to stay below. Less than all of it: gauges are rough,
/// tell of the last half second, and loads swing.
pub(super) const AIM: f64 = 0.7;
/// The time that a gauge tells of, as the platform says.
const GAUGE_WINDOW: Duration = Duration::from_millis(500);
/// How much a task's own stress may rise while what is placed beside it runs. Loads swing by some
/// two tenths within seconds; where a task may go matters most at the top.
pub(super) const SWING: f64 = 0.1;
/// Paces are multiples of this, in percent, so that small changes cost no orders.
const PACE_STEP: u8 = 20;
/// How long a pace holds at least before it is raised: the gauges tell of the last half second.
const RAISE_AFTER: Duration = Duration::from_millis(600);
/// While a tail is above its target, what may cause it loses at least this share of its pace,
/// whatever the model says.
const CUT_WHEN_OVER: f64 = 0.6;
/// A tail that is above its target for so long, two reports or more, makes all that fills there
/// suspect, whatever the model says.
const DOUBT_WHEN_OVER_FOR: Duration = Duration::from_millis(900);
/// After so long all that fills there is halted. Well below the time that the platform forgives.
const HALT_WHEN_OVER_FOR: Duration = Duration::from_millis(1_700);

/// What works at no more than this share of its speed is moved if it can be, in percent.
const SLOWED_PERCENT: u8 = 40;
/// After so long: a load that swings comes back by itself within seconds.
const SLOWED_FOR: Duration = Duration::from_millis(700);
/// The share of its speed that makes a move worth the time to stop and to start again, 0 to 1.
const WORTH_MOVING: f64 = 0.85;
/// What is done so far is not moved, in percent.
const NEARLY_DONE_PERCENT: u32 = 85;
/// How many tasks a worker is relieved of after one report.
const MOVES_AT_ONCE: usize = 2;

impl Scheduler {
    /// Learns from the newest report of a worker and paces what fills there.
    pub(super) fn control_pace(&mut self, no: LifeNo) {
        let now = self.now;
        let Some(life) = self.lives.get_mut(&no) else { return };
        let loads = loads_in_use(life, now);
        learn(&mut self.tails, life, &loads, now);
        self.repace(no);
        self.move_slowed(no);
    }

    /// Paces what fills on a worker by what is known now, and tells it.
    pub(super) fn repace(&mut self, no: LifeNo) {
        let now = self.now;
        let Some(life) = self.lives.get_mut(&no) else { return };
        let before = std::mem::take(&mut life.paces);
        if !life.fills() {
            return;
        }
        let mut lowest_change = None;
        for (image, pace) in paces(&self.tails, life, &before, now) {
            let (percent, changed_at) = before.get(&image).copied().unwrap_or((100, now));
            let target = quantise(pace);
            let raise = target > percent && now.since(changed_at) >= RAISE_AFTER;
            let entry =
                if target < percent || raise { (target, now) } else { (percent, changed_at) };
            if entry.0 != percent {
                lowest_change =
                    Some(lowest_change.map_or(entry.0, |lowest: u8| lowest.min(entry.0)));
            }
            life.paces.insert(image, entry);
        }
        if let Some(percent) = lowest_change {
            let worker = life.id().clone();
            let tail_of_target_percent = worst_tail_percent(life).unwrap_or(0);
            self.out.push(Action::Note(Note::Paced { worker, percent, tail_of_target_percent }));
        }
        self.tell_pace(no);
    }

    /// Stops what fills and is slowed for long, if it keeps its progress and would be let work
    /// faster elsewhere.
    fn move_slowed(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get(&no) else { return };
        let slowed = |image: ImageNo| {
            let held = life.paces.get(&image);
            held.is_some_and(|&(percent, since)| {
                percent <= SLOWED_PERCENT && self.now.since(since) >= SLOWED_FOR
            })
        };
        let worth_it = |run: &RunThere| {
            run.fills && run.keeps_progress && !run.stopping && run.percent < NEARLY_DONE_PERCENT
        };
        let runs = life.runs().iter().filter(|(_, run)| worth_it(run) && slowed(run.image));
        let runs = runs.map(|(&task, run)| (task, run.run)).take(MOVES_AT_ONCE);
        for (task, run) in runs.collect::<Vec<_>>() {
            let Some(spec) = self.step_of(task).cloned() else { continue };
            let better = self.choose(task, &spec, &[]).filter(|&other| other != no);
            let pace = better.and_then(|other| self.expected_pace(other, task, &spec));
            if pace.is_none_or(|pace| pace < WORTH_MOVING) {
                continue;
            }
            let job = self.jobs.get_mut(&task.job);
            if let Some(task) =
                job.and_then(|job| job.task_mut(task.occurrence, task.step, task.index))
            {
                task.avoid = Some(no);
            }
            let why = "moved: what it fills beside leaves it little";
            let Some(worker) = self.lives.get(&no).map(|life| life.id().clone()) else { return };
            self.out.push(Action::Note(Note::RunMoved { task, run, worker, why }));
            self.stop_run(no, Order::Stop { task, run });
        }
    }

    /// Tells filling runs their share where it is not what they were told.
    pub(super) fn tell_pace(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get_mut(&no) else { return };
        let mut orders = Vec::new();
        let paces = life.paces.clone();
        for (task, there) in life.runs_mut() {
            let percent = paces.get(&there.image).map_or(100, |(percent, _)| *percent);
            let differs = there.fills && !there.stopping && there.paced_percent != percent;
            if differs && matches!(there.phase, Phase::Running(_)) {
                there.paced_percent = percent;
                orders.push(Order::Pace { task, run: there.run, percent });
            }
        }
        for order in orders {
            self.order(no, order);
        }
    }

    /// The share of its full speed that a task that fills would be let work at on a worker, 0 to 1.
    fn expected_pace(&mut self, no: LifeNo, name: TaskName, spec: &StepSpec) -> Option<f64> {
        self.refresh_rooms();
        let life = self.lives.get(&no)?;
        let image = *self.jobs.get(&name.job)?.images.get(name.step as usize)?;
        let load = f64::from(spec.size.cpu_millis.0) / capacity_millis(life);
        Some(life.room.as_ref()?.expected_pace(&self.tails, image, load, 0.0))
    }
}

fn learn(tails: &mut TailModel, life: &mut Life, loads: &[Load], now: crate::Time) {
    life.room = None;
    for (_, run) in life.runs_mut().filter(|(_, run)| run.serves) {
        let (Some(tail_ms), Some(target_ms)) = (run.gauge, run.tail_target_ms) else { continue };
        if tail_ms == 0 {
            continue;
        }
        let over = u64::from(tail_ms) > target_ms;
        run.over_since = if over { run.over_since.or(Some(now)) } else { None };
        let gap_s = run.learned_at.map_or(0.0, |at| now.since(at).as_secs_f64());
        run.learned_at = Some(now);
        let tail =
            Tail { tail_ms: f64::from(tail_ms), target_ms: target_ms as f64, gap_s, at: now };
        tails.learn(run.image, &mut run.own_stress, loads, tail);
    }
}

/// The pace of each image that fills, so that everything that serves stays below its aim.
fn paces(
    tails: &TailModel,
    life: &Life,
    before: &BTreeMap<ImageNo, (u8, crate::Time)>,
    now: crate::Time,
) -> BTreeMap<ImageNo, f64> {
    let full = full_loads(life);
    let mut paces = full.iter().map(|&(image, _)| (image, 1.0)).collect::<BTreeMap<_, _>>();
    for run in life.runs().values().filter(|run| run.serves) {
        let serves = run.image;
        let target_ms = run.tail_target_ms.unwrap_or(1) as f64;
        let causes = full.iter().filter(|(fills, _)| tails.effect(*fills, serves) >= SLIGHT_EFFECT);
        let causes = causes.collect::<Vec<_>>();
        let limit = tails.stress_at(serves, target_ms, AIM);
        let stress =
            causes.iter().map(|(fills, load)| tails.effect(*fills, serves) * load * paces[fills]);
        let (stress, left) = (stress.sum::<f64>(), limit - run.own_stress.mean);
        if stress > left {
            let share = (left / stress).max(0.0);
            for (fills, _) in &causes {
                if let Some(pace) = paces.get_mut(fills) {
                    *pace *= share;
                }
            }
        }
        let Some(over_for) = run.over_since.map(|since| now.since(since)) else { continue };
        for (fills, _) in &full {
            let blamed = causes.is_empty() || causes.iter().any(|(cause, _)| cause == fills);
            let held = f64::from(before.get(fills).map_or(100, |(percent, _)| *percent)) / 100.0;
            let most = match over_for {
                over_for if over_for >= HALT_WHEN_OVER_FOR => 0.0,
                over_for if over_for >= DOUBT_WHEN_OVER_FOR || blamed => held * CUT_WHEN_OVER,
                _ => continue,
            };
            if let Some(pace) = paces.get_mut(fills) {
                *pace = pace.min(most);
            }
        }
    }
    paces
}

/// What the tasks that fill used over the time that gauges tell of, by image.
fn loads_in_use(life: &mut Life, now: crate::Time) -> Vec<Load> {
    life.just_ended.retain(|(_, _, at)| now.since(*at) < GAUGE_WINDOW);
    let mut loads = loads_by(life, |run| f64::from(run.gauge.unwrap_or(0)));
    let capacity = capacity_millis(life);
    for (image, used, at) in &life.just_ended {
        let share = 1.0 - now.since(*at).as_secs_f64() / GAUGE_WINDOW.as_secs_f64();
        let load = f64::from(*used) * share / capacity;
        match loads.iter_mut().find(|(known, _)| known == image) {
            Some((_, sum)) => *sum += load,
            None => loads.push((*image, load)),
        }
    }
    loads
}

fn quantise(pace: f64) -> u8 {
    let percent = (pace.clamp(0.0, 1.0) * 100.0) as u8;
    percent / PACE_STEP * PACE_STEP
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
