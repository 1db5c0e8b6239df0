//! Compares the progress of one run with that of others of its kind.

/// A run is slow if it advances more than this many times slower than others of its kind. Callers
/// notice it: a queue allows a job about twice its critical path.
const SLOW_RATIO: f64 = 3.0;
/// A run advances normally up to this ratio. In between it says nothing about its worker.
const SOUND_RATIO: f64 = 2.0;
/// The shortest interval over which progress is compared, in milliseconds of the worker's clock.
/// Runs need up to 200 ms to start.
const MIN_INTERVAL_MS: u64 = 300;

/// How a run compares with others of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::jobs) enum RunVerdict {
    Sound,
    Slow,
    /// It failed, and other tasks of its job do not fail on other workers.
    Failed,
}

/// The progress of a run at one reading of the worker's clock. The worker's own clock makes
/// intervals independent of a late owner.
#[derive(Debug, Clone, Copy)]
struct Reading {
    percent: u32,
    clock_ms: u64,
}

/// How long a run is expected to take at full speed.
#[derive(Debug, Clone, Copy)]
pub(in crate::jobs) struct ExpectedRun {
    /// From the other runs of its step, which share its worker's slowdown if all workers are slow, in
    /// milliseconds.
    pub(in crate::jobs) in_step_ms: f64,
    /// From all completed runs of its kind, in milliseconds.
    pub(in crate::jobs) of_kind_ms: f64,
}

/// The recent progress of a run, compared with others of its kind.
#[derive(Debug, Clone, Default)]
pub(in crate::jobs) struct RunPace {
    since: Option<Reading>,
    verdict: Option<RunVerdict>,
    /// Its predicted length after the first interval, in milliseconds.
    first_total_ms: Option<f64>,
    /// How many times slower the run advances than others of its kind.
    ratio: f64,
    /// The same for all others of its kind, also those that ended long ago.
    kind_ratio: f64,
    /// The time that the rest of its work takes at the present speed, in milliseconds.
    remaining_ms: f64,
}

impl RunPace {
    pub(in crate::jobs) fn verdict(&self) -> Option<RunVerdict> {
        self.verdict
    }

    pub(in crate::jobs) fn ratio(&self) -> f64 {
        self.ratio
    }

    pub(in crate::jobs) fn kind_ratio(&self) -> f64 {
        self.kind_ratio
    }

    pub(in crate::jobs) fn remaining_ms(&self) -> f64 {
        self.remaining_ms
    }

    /// Returns its predicted length after the first interval, in milliseconds.
    pub(in crate::jobs) fn first_total_ms(&self) -> Option<f64> {
        self.first_total_ms
    }

    /// Begins an interval in which the run works at full speed.
    pub(in crate::jobs) fn begin(&mut self, percent: u32, clock_ms: u64) {
        self.since = Some(Reading { percent, clock_ms });
    }

    /// Ends the interval, for example because the run is throttled.
    pub(in crate::jobs) fn interrupt(&mut self) {
        self.since = None;
    }

    /// Judges a run whose worker tells how well it does.
    pub(in crate::jobs) fn judge(&mut self, verdict: Option<RunVerdict>) {
        self.verdict = verdict;
    }

    /// Compares the progress since the last report with the expected length. Returns whether there
    /// is a new verdict.
    pub(in crate::jobs) fn observe(
        &mut self,
        percent: u32,
        clock_ms: u64,
        expected: ExpectedRun,
    ) -> bool {
        let Some(since) = self.since else {
            self.begin(percent, clock_ms);
            return false;
        };
        let interval_ms = clock_ms.saturating_sub(since.clock_ms);
        if interval_ms < MIN_INTERVAL_MS {
            return false;
        }
        // Percents are rounded down, so up to one more may have been gained.
        let gained_percent = f64::from(percent.saturating_sub(since.percent)) + 1.0;
        let total_ms = interval_ms as f64 * 100.0 / gained_percent;
        self.first_total_ms.get_or_insert(total_ms);
        self.ratio = total_ms / expected.in_step_ms.max(1.0);
        self.kind_ratio = total_ms / expected.of_kind_ms.max(1.0);
        self.remaining_ms = total_ms * f64::from(100 - percent.min(100)) / 100.0;
        self.verdict = verdict_of(self.ratio);
        self.begin(percent, clock_ms);
        true
    }
}

/// Returns what the ratio of a run's length to that of others of its kind says about its worker.
pub(in crate::jobs) fn verdict_of(ratio: f64) -> Option<RunVerdict> {
    match ratio {
        ratio if ratio > SLOW_RATIO => Some(RunVerdict::Slow),
        ratio if ratio < SOUND_RATIO => Some(RunVerdict::Sound),
        _ => None,
    }
}
