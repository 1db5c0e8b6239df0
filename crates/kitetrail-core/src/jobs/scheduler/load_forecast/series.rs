//! The load of one service over time.

use std::{array, time::Duration};

use super::{
    cycle::LoadCycle,
    forecast::LoadForecast,
    periods::{PERIODS, Periods, period_s},
};
use crate::Time;

/// The times ahead whose forecasts are compared with what came.
const AHEAD: [Duration; 3] =
    [Duration::from_secs(1), Duration::from_secs(2), Duration::from_secs(5)];
/// The index in `AHEAD` that selects the period: the time that a best-effort task usually takes.
const SELECTING: usize = 1;
/// The time over which observations are averaged, so that the cost does not grow with the number
/// of tasks of a service.
const BIN: Duration = Duration::from_millis(250);
/// The time constant of the recent average. It follows the estimate of a task's own stress, which
/// decides without a forecast.
const PRESENT_TIME_S: f64 = 0.7;
/// The time without observations after which earlier comparisons no longer count.
const MAX_GAP: Duration = Duration::from_secs(3);
/// The time after which an observation is too late to be compared with a forecast.
const MAX_LATENESS: Duration = Duration::from_millis(400);
/// The comparisons of 1 s and 2 s ahead that a forecast requires: it then covers some seconds, in
/// which a swing that matters has changed the load.
const MIN_COMPARISONS: u32 = 5;
/// The largest error of forecasts, as a share of the errors of the recent average and of the level
/// alone, with which they are used. On noise alone these are equal, after a burst the level is best.
const MAX_ERROR_SHARE: f64 = 0.75;
/// The least mean difference between these errors, as a stress: less changes no placement.
const MIN_GAIN: f64 = 0.02;
/// The share of the past that each comparison keeps, 0 to 1.
const RETAINED_SHARE: f64 = 0.9;
/// The distance between a load and its estimate beyond which the load has jumped, as a multiple of
/// the error 1 s ahead.
const JUMP_ERRORS: f64 = 4.0;
/// The least such distance, as a stress: bumps of this size are usual.
const MIN_JUMP: f64 = 0.15;

/// The load of one service over time, and how well it could be forecast so far.
#[derive(Debug)]
pub struct LoadSeries {
    bin: Bin,
    /// The estimate for each of the compared periods.
    cycles: [LoadCycle; PERIODS],
    /// The recent average.
    present: Option<f64>,
    observed_at: Time,
    /// Forecasts that can't be compared yet, for each of `AHEAD`.
    pending: [Option<Pending>; AHEAD.len()],
    accuracies: [Accuracy; AHEAD.len()],
    /// Whether the last observation was far from every forecast.
    jumped: bool,
}

/// Observations that are averaged.
#[derive(Debug, Default)]
struct Bin {
    opened_at: Time,
    load_sum: f64,
    observations: u32,
}

/// A forecast that is compared with the load once it is due.
#[derive(Debug)]
struct Pending {
    due_at: Time,
    /// The forecast with each period.
    levels: [f64; PERIODS],
    /// The index of the period that was the best.
    best: usize,
    /// The recent average at that time.
    present: f64,
    /// The level around which the load was estimated to swing.
    level: f64,
}

/// The errors of forecasts, of the recent average and of the level without a swing, each a sum in which older ones weigh less.
#[derive(Debug, Clone, Copy, Default)]
struct Accuracy {
    forecast_error: f64,
    present_error: f64,
    level_error: f64,
    weight: f64,
    comparisons: u32,
}

impl LoadSeries {
    /// Creates a series without observations.
    pub fn new(now: Time) -> Self {
        Self {
            bin: Bin { opened_at: now, ..Bin::default() },
            cycles: array::from_fn(|index| LoadCycle::new(period_s(index), now)),
            present: None,
            observed_at: now,
            pending: array::from_fn(|_| None),
            accuracies: Default::default(),
            jumped: false,
        }
    }

    /// Records an observed load, and what it says about the periods of services of this image.
    pub fn observe(&mut self, load: f64, now: Time, periods: &mut Periods) {
        let is_over = now.since(self.bin.opened_at) >= BIN;
        if is_over && self.bin.observations > 0 {
            let mean = self.bin.load_sum / f64::from(self.bin.observations);
            self.bin = Bin { opened_at: now, ..Bin::default() };
            self.observe_mean(mean, now, periods);
        }
        self.bin.load_sum += load;
        self.bin.observations += 1;
    }

    /// Returns the forecast, or `None` if forecasts were no better so far than the recent average
    /// or the level alone.
    pub fn forecast(&self, periods: &Periods) -> Option<LoadForecast> {
        let [one_s, two_s, _] = &self.accuracies;
        let forecast_error = one_s.forecast_error + two_s.forecast_error;
        let present_error = one_s.present_error + two_s.present_error;
        let simple_error = present_error.min(one_s.level_error + two_s.level_error);
        let min_gain = MIN_GAIN * (one_s.weight + two_s.weight);
        let is_useful = one_s.comparisons + two_s.comparisons >= MIN_COMPARISONS
            && forecast_error < MAX_ERROR_SHARE * simple_error
            && simple_error - forecast_error >= min_gain;
        let cycle = self.cycles.get(periods.best()?).filter(|_| is_useful && !self.jumped)?;
        Some(LoadForecast {
            swing: cycle.swing(),
            present: self.present?,
            observed_at: self.observed_at,
            errors: self.accuracies.map(|accuracy| accuracy.mean_error()),
        })
    }

    /// Returns when the load was last observed.
    pub fn observed_at(&self) -> Time {
        self.observed_at
    }

    fn observe_mean(&mut self, load: f64, now: Time, periods: &mut Periods) {
        let gap = now.since(self.observed_at);
        self.observed_at = now;
        if gap > MAX_GAP {
            self.pending = array::from_fn(|_| None);
            self.accuracies = Default::default();
        }
        self.compare(load, now, periods);
        let estimate =
            self.cycles[periods.best().unwrap_or(0)].swing().level_after(gap.as_secs_f64());
        let usual_error = self.accuracies[0].mean_error().unwrap_or(0.0);
        self.jumped = (load - estimate).abs() > MIN_JUMP.max(JUMP_ERRORS * usual_error);
        for cycle in &mut self.cycles {
            cycle.observe(load, now);
        }
        let weight = 1.0 - (-gap.as_secs_f64() / PRESENT_TIME_S).exp();
        let present = self.present.map_or(load, |present| present + weight * (load - present));
        self.present = Some(present);
        let best = periods.best().unwrap_or(PERIODS - 1);
        for (pending, ahead) in self.pending.iter_mut().zip(AHEAD) {
            pending.get_or_insert_with(|| Pending {
                due_at: now + ahead,
                levels: array::from_fn(|index| {
                    self.cycles[index].swing().level_after(ahead.as_secs_f64())
                }),
                best,
                present,
                level: self.cycles[best].swing().level(),
            });
        }
    }

    /// Compares the forecasts that are due with the load.
    fn compare(&mut self, load: f64, now: Time, periods: &mut Periods) {
        for (index, slot) in self.pending.iter_mut().enumerate() {
            let Some(due) = slot.take_if(|pending| pending.due_at <= now) else { continue };
            if now.since(due.due_at) > MAX_LATENESS {
                continue;
            }
            self.accuracies[index].record(&due, load);
            if index == SELECTING {
                periods.record(&due.levels, load);
            }
        }
    }
}

impl Accuracy {
    fn record(&mut self, due: &Pending, load: f64) {
        self.comparisons += 1;
        self.weight = RETAINED_SHARE * self.weight + 1.0;
        self.forecast_error =
            RETAINED_SHARE * self.forecast_error + (due.levels[due.best] - load).abs();
        self.present_error = RETAINED_SHARE * self.present_error + (due.present - load).abs();
        self.level_error = RETAINED_SHARE * self.level_error + (due.level - load).abs();
    }

    fn mean_error(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.forecast_error / self.weight)
    }
}
