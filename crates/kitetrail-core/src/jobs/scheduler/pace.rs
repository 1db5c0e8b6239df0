//! Keeps what serves below its target by slowing what fills beside it.

use std::time::Duration;

use super::{
    super::{
        event::{Action, Note, Order},
        life::{Life, LifeNo},
    },
    Scheduler,
};

/// Above so much of its target, in percent, a tail slows what fills beside it. Below 100, since a
/// gauge is rough and tells of the last half second.
const SLOW_ABOVE_PERCENT: u32 = 90;
/// Below so much, what fills is let go faster.
const FASTER_BELOW_PERCENT: u32 = 65;
/// How much faster at a time, in percentage points.
const FASTER_STEP: u8 = 20;
/// Below this share what fills is halted: it would hold memory for next to no work.
const LEAST_PACE_PERCENT: u8 = 12;
/// How long a change of pace takes to show in the gauges: 100 ms until it holds, and half a second
/// of measuring.
const SETTLE: Duration = Duration::from_millis(550);

impl Scheduler {
    pub(super) fn control_pace(&mut self, no: LifeNo) {
        let now = self.now;
        let Some(life) = self.lives.get_mut(&no) else { return };
        if !life.fills() {
            life.pace_percent = 100;
            return;
        }
        let worst = worst_tail_percent(life).unwrap_or(0);
        let settled = now.since(life.pace_changed_at) >= SETTLE;
        let before = life.pace_percent;
        let after = match worst {
            worst if worst > SLOW_ABOVE_PERCENT && settled => before / 2,
            worst if worst < FASTER_BELOW_PERCENT && settled => (before + FASTER_STEP).min(100),
            _ => before,
        };
        let halted = worst > SLOW_ABOVE_PERCENT && after < LEAST_PACE_PERCENT;
        life.pace_percent = if halted { 0 } else { after };
        if life.pace_percent != before {
            life.pace_changed_at = now;
            let worker = life.id().clone();
            let (percent, tail_of_target_percent) = (life.pace_percent, worst);
            self.out.push(Action::Note(Note::Paced { worker, percent, tail_of_target_percent }));
        }
        self.tell_pace(no);
    }

    /// Tells filling runs their share where it is not what they were told.
    fn tell_pace(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get_mut(&no) else { return };
        let percent = life.pace_percent;
        let mut orders = Vec::new();
        for (&task, there) in &mut life.runs {
            let differs = there.fills && !there.stopping && there.paced_percent != percent;
            if differs && matches!(there.phase, super::super::life::Phase::Running(_)) {
                there.paced_percent = percent;
                orders.push(Order::Pace { task, run: there.run, percent });
            }
        }
        for order in orders {
            self.order(no, order);
        }
    }
}

/// The worst tail of what serves there, in percent of its target.
fn worst_tail_percent(life: &Life) -> Option<u32> {
    let percents = life.runs.values().filter_map(|run| {
        let target_ms = run.tail_target_ms.filter(|&target_ms| target_ms > 0)?;
        let tail_ms = u64::from(run.gauge?);
        u32::try_from(tail_ms * 100 / target_ms).ok()
    });
    percents.max()
}
