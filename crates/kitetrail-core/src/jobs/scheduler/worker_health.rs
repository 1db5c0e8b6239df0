//! Tracks whether a worker is slower, or fails more often, than its peers.

use std::{collections::VecDeque, time::Duration};

use super::{fleet_health::FleetHealth, run_pace::RunVerdict};
use crate::Time;

/// The age from which ended runs no longer count.
const EVIDENCE_AGE: Duration = Duration::from_millis(4_000);
/// The most ended runs that are kept as evidence.
const MAX_EVIDENCE: usize = 8;
/// How long a worker must look slow before it is suspected. Its peers report within that time, so
/// that a slowdown of all of them is recognised.
const CONFIRMATION: Duration = Duration::from_millis(400);
/// The number of slow runs, without normal ones, from which a worker is put on probation. Three in
/// a hundred tasks take many times as long as others, so one says little.
const PROBATION_SLOW_RUNS: usize = 2;
/// The number of slow runs for each normal one at which a worker still looks slow.
const SLOW_PER_SOUND: usize = 3;
/// The least failed runs, and the least share of the last ended runs, for which a worker is put on
/// probation. One in 20 tasks fails by its own fault.
const PROBATION_FAILED_RUNS: usize = 3;
const PROBATION_FAILED_SHARE: f64 = 0.4;
/// How long a suspected worker is avoided without further evidence.
const SUSPICION_DURATION: Duration = Duration::from_millis(3_000);
/// The first pause before a worker on probation gets a task as a probe. It doubles each time.
const PROBE_PAUSE: Duration = Duration::from_millis(1_500);
/// The longest pause. A worker that has recovered is in use again after this and one task.
const MAX_PROBE_PAUSE: Duration = Duration::from_millis(3_000);
/// How long a worker stays on probation without further evidence, for example because no task suits
/// as a probe.
const PROBATION_DURATION: Duration = Duration::from_millis(8_000);
/// Weight of a suspected worker in scores. A task takes several times as long there, more than away
/// from its data.
const SUSPECTED_WEIGHT: f64 = 6.0;
/// Weight of a worker on probation for tasks that are placed there nevertheless.
const PROBATION_WEIGHT: f64 = 12.0;
/// Weight of a worker that is to get a probe: it is preferred to workers that are equally full.
const PROBE_WEIGHT: f64 = -1.0;

/// The assessment of a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::jobs) enum HealthState {
    /// It works like its peers.
    #[default]
    Sound,
    /// One run is slow and none is normal: other workers are preferred.
    Suspected,
    /// Several runs are slow: it gets single tasks as probes.
    Probation,
}

impl HealthState {
    /// Returns the name in logs and metrics.
    pub(in crate::jobs) fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::Suspected => "suspected",
            Self::Probation => "probation",
        }
    }
}

/// What a task means for a worker on probation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::jobs) enum Suitability {
    /// Its progress shows whether the worker has recovered.
    Probe,
    /// It is placed here rather than nowhere.
    NeedsRoom,
    /// Both.
    ProbeOrRoom,
    /// It waits for another worker.
    CanWait,
}

/// The verdicts on the runs that a worker has at present.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::jobs) struct PresentRuns {
    pub(in crate::jobs) slow: usize,
    pub(in crate::jobs) sound: usize,
    /// The lowest ratio by which one of them is slower than others of its kind.
    pub(in crate::jobs) least_ratio: f64,
}

/// The verdict on a run that ended.
#[derive(Debug, Clone, Copy)]
struct EndedRun {
    at: Time,
    verdict: RunVerdict,
    /// How many times slower it was than others of its kind; 0 if unknown.
    slowdown: f64,
}

/// The evidence for a change of state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(in crate::jobs) struct HealthChange {
    pub(in crate::jobs) state: HealthState,
    /// The least factor by which a run is slower than others of its kind; 0 if none is known.
    pub(in crate::jobs) slowdown: f64,
    pub(in crate::jobs) slow_runs: usize,
    pub(in crate::jobs) sound_runs: usize,
    pub(in crate::jobs) failed_runs: usize,
    /// How long the worker was in its previous state.
    pub(in crate::jobs) after: Duration,
}

/// Whether a worker is slower, or fails more often, than its peers.
///
/// The load it answers: some workers run many times slower than others, stand still or fail a
/// large part of what they start, for seconds to minutes.
#[derive(Debug, Default)]
pub(in crate::jobs) struct WorkerHealth {
    state: HealthState,
    since: Option<Time>,
    /// The time since which it looks slow while its state says otherwise.
    looks_slow_since: Option<Time>,
    /// The verdicts on ended runs, oldest first.
    ended: VecDeque<EndedRun>,
    last_evidence_at: Option<Time>,
    next_probe_at: Option<Time>,
    probes: u32,
}

impl WorkerHealth {
    pub(in crate::jobs) fn is_sound(&self) -> bool {
        self.state == HealthState::Sound
    }

    /// Returns whether several runs are slow, be it confirmed or not.
    pub(in crate::jobs) fn looks_slow(&self) -> bool {
        self.state == HealthState::Probation || self.looks_slow_since.is_some()
    }

    /// Returns the cost that is added to the worker's score for a task, or `None` if the task must
    /// not be started here.
    pub(in crate::jobs) fn cost(&self, suitability: Suitability, now: Time) -> Option<f64> {
        let probe_is_due = self.next_probe_at.is_none_or(|at| at <= now);
        match (self.state, suitability) {
            (HealthState::Sound, _) => Some(0.0),
            (HealthState::Suspected, _) => Some(SUSPECTED_WEIGHT),
            (HealthState::Probation, Suitability::Probe | Suitability::ProbeOrRoom)
                if probe_is_due =>
            {
                Some(PROBE_WEIGHT)
            }
            (HealthState::Probation, Suitability::NeedsRoom | Suitability::ProbeOrRoom) => {
                Some(PROBATION_WEIGHT)
            }
            (HealthState::Probation, _) => None,
        }
    }

    /// Records that a run was started.
    pub(in crate::jobs) fn record_start(&mut self, now: Time) {
        if self.state == HealthState::Probation {
            self.probes += 1;
            self.next_probe_at = Some(now + self.probe_pause());
        }
    }

    /// Records the last verdict on a run that ended or was stopped.
    pub(in crate::jobs) fn record_end(&mut self, verdict: RunVerdict, slowdown: f64, now: Time) {
        if self.ended.len() == MAX_EVIDENCE {
            self.ended.pop_front();
        }
        self.ended.push_back(EndedRun { at: now, verdict, slowdown });
        self.last_evidence_at = Some(now);
    }

    /// Updates the state. Returns the evidence if it changed.
    pub(in crate::jobs) fn update(
        &mut self,
        present: PresentRuns,
        fleet: &FleetHealth,
        now: Time,
    ) -> Option<HealthChange> {
        while self.ended.front().is_some_and(|run| now.since(run.at) > EVIDENCE_AGE) {
            self.ended.pop_front();
        }
        if present.slow + present.sound > 0 {
            self.last_evidence_at = Some(now);
        }
        let apparent = self.apparent_state(present, now);
        let next = self.confirmed_state(apparent, fleet, now);
        (next != self.state).then(|| self.change_to(next, present, now))
    }

    /// Returns the state that the evidence suggests.
    fn apparent_state(&self, present: PresentRuns, now: Time) -> HealthState {
        let slow = present.slow + self.trailing_slow(present).count();
        let mostly_slow = slow >= PROBATION_SLOW_RUNS && slow >= SLOW_PER_SOUND * present.sound;
        let has_evidence_within =
            |age| self.last_evidence_at.is_some_and(|at| now.since(at) <= age);
        let ended_soundly = self.ended.back().is_some_and(|run| run.verdict == RunVerdict::Sound);
        match self.state {
            _ if mostly_slow || self.fails_often() => HealthState::Probation,
            HealthState::Probation if present.sound > present.slow => HealthState::Sound,
            HealthState::Probation if present.slow == 0 && ended_soundly => HealthState::Sound,
            HealthState::Probation if has_evidence_within(PROBATION_DURATION) => {
                HealthState::Probation
            }
            HealthState::Probation => HealthState::Sound,
            _ if slow > 0 && present.sound == 0 => HealthState::Suspected,
            HealthState::Suspected
                if present.sound == 0
                    && !ended_soundly
                    && has_evidence_within(SUSPICION_DURATION) =>
            {
                HealthState::Suspected
            }
            _ => HealthState::Sound,
        }
    }

    /// Returns whether a large part of the last runs failed by the worker's fault.
    fn fails_often(&self) -> bool {
        let failed = self.failed_runs();
        failed >= PROBATION_FAILED_RUNS
            && failed as f64 >= PROBATION_FAILED_SHARE * self.ended.len() as f64
    }

    /// Returns the slow runs that ended last, unless a present run is normal.
    fn trailing_slow(&self, present: PresentRuns) -> impl Iterator<Item = &EndedRun> {
        let recent =
            self.ended.iter().rev().take(if present.sound == 0 { MAX_EVIDENCE } else { 0 });
        recent.take_while(|run| run.verdict == RunVerdict::Slow)
    }

    /// Returns the least factor by which a slow run is slower than others of its kind; 0 if none is
    /// known.
    fn slowdown(&self, present: PresentRuns) -> f64 {
        let ended = self.trailing_slow(present).map(|run| run.slowdown);
        let known = ended.chain([present.least_ratio]).filter(|slowdown| *slowdown > 0.0);
        known.min_by(f64::total_cmp).unwrap_or(0.0)
    }

    fn ended_with(&self, verdict: RunVerdict) -> usize {
        self.ended.iter().filter(|run| run.verdict == verdict).count()
    }

    fn failed_runs(&self) -> usize {
        self.ended_with(RunVerdict::Failed)
    }

    /// Returns the state to take: a worse one only once it is confirmed and not shared by too many
    /// peers.
    fn confirmed_state(
        &mut self,
        apparent: HealthState,
        fleet: &FleetHealth,
        now: Time,
    ) -> HealthState {
        let is_worse = matches!(
            (self.state, apparent),
            (HealthState::Sound, HealthState::Suspected | HealthState::Probation)
                | (HealthState::Suspected, HealthState::Probation)
        );
        if !is_worse {
            self.looks_slow_since = None;
            return apparent;
        }
        let looks_slow_since = *self.looks_slow_since.get_or_insert(now);
        let is_confirmed = now.since(looks_slow_since) >= CONFIRMATION;
        match is_confirmed && fleet.blames_worker(self.is_sound()) {
            true => apparent,
            false => self.state,
        }
    }

    fn change_to(&mut self, state: HealthState, present: PresentRuns, now: Time) -> HealthChange {
        let change = HealthChange {
            state,
            slowdown: self.slowdown(present),
            slow_runs: present.slow + self.ended_with(RunVerdict::Slow),
            sound_runs: present.sound + self.ended_with(RunVerdict::Sound),
            failed_runs: self.failed_runs(),
            after: self.since.map_or(Duration::ZERO, |since| now.since(since)),
        };
        self.state = state;
        self.since = Some(now);
        self.looks_slow_since = None;
        self.probes = 0;
        self.next_probe_at = Some(now + self.probe_pause());
        if state == HealthState::Sound {
            self.ended.clear();
        }
        change
    }

    fn probe_pause(&self) -> Duration {
        (PROBE_PAUSE * 2_u32.pow(self.probes.min(4))).min(MAX_PROBE_PAUSE)
    }
}
