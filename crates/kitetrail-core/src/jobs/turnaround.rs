//! How long runs hold their room, stage by stage.

use super::spec::WorkKind;

/// The time that a run held its room, and the stages of it that the owner can tell apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turnaround {
    /// The time from the placement to the end's application, in milliseconds.
    pub held_ms: u64,
    /// The part of it that the start order waited before it was sent, in milliseconds.
    pub queued_ms: u64,
    /// The time from the start to the report of the end, both read from the worker's clock, in
    /// milliseconds. The rest of `held_ms` is spent on the way to the worker and back.
    pub worked_ms: u64,
    /// The part of `worked_ms` in which no poll waited at the worker, if the run ended in it, in
    /// milliseconds: the end was reported late by as much at most.
    pub unobserved_ms: u64,
}

impl Turnaround {
    /// Returns the time spent on the way to the worker and back, in milliseconds.
    pub fn transit_ms(&self) -> u64 {
        self.held_ms.saturating_sub(self.queued_ms + self.worked_ms)
    }
}

/// The median and the 99th percentile of some durations, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Percentiles {
    /// The median.
    pub p50_ms: u64,
    /// The 99th percentile.
    pub p99_ms: u64,
}

impl Percentiles {
    /// Returns the percentiles of some durations in any order; zero if there are none.
    pub fn of(durations_ms: impl IntoIterator<Item = u64>) -> Self {
        let mut sorted_ms = durations_ms.into_iter().collect::<Vec<_>>();
        sorted_ms.sort_unstable();
        let at = |percent: usize| {
            let index = sorted_ms.len() * percent / 100;
            sorted_ms.get(index).copied().unwrap_or_default()
        };
        Self { p50_ms: at(50), p99_ms: at(99) }
    }
}

/// The turnarounds of the runs of one kind that ended in one second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnaroundSummary {
    /// The kind of work.
    pub kind: WorkKind,
    /// The number of runs.
    pub runs: u32,
    /// See [`Turnaround::held_ms`].
    pub held: Percentiles,
    /// See [`Turnaround::queued_ms`].
    pub queued: Percentiles,
    /// See [`Turnaround::worked_ms`].
    pub worked: Percentiles,
    /// See [`Turnaround::unobserved_ms`].
    pub unobserved: Percentiles,
    /// See [`Turnaround::transit_ms`].
    pub transit: Percentiles,
}

impl TurnaroundSummary {
    /// Summarises the turnarounds of some runs of one kind.
    pub fn of(kind: WorkKind, turnarounds: &[Turnaround]) -> Self {
        let percentiles = |ms: fn(&Turnaround) -> u64| Percentiles::of(turnarounds.iter().map(ms));
        Self {
            kind,
            runs: turnarounds.len() as u32,
            held: percentiles(|turnaround| turnaround.held_ms),
            queued: percentiles(|turnaround| turnaround.queued_ms),
            worked: percentiles(|turnaround| turnaround.worked_ms),
            unobserved: percentiles(|turnaround| turnaround.unobserved_ms),
            transit: percentiles(Turnaround::transit_ms),
        }
    }
}
