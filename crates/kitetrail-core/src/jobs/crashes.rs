//! Workers that crashed under a task, and what they weigh against it.

use serde::{Deserialize, Serialize};

use super::names::{Incarnation, LifeId, LifeKey};

/// What a crash weighs against a task whose worker fell silent right after it had started there.
const FELL_AT_ONCE: u32 = 20;
/// What it weighs against a task whose worker fell later, or with others.
const FELL: u32 = 15;
/// What it weighs against a task whose start was not confirmed. Its worker may have fallen before.
const UNCONFIRMED: u32 = 12;
/// A task of this weight is given up: after three crashes at once, four others, five that are not confirmed. The platform bears
/// five, two after the third.
const GIVEN_UP_AT: u32 = 60;
/// The same where an owner was lost that may have known of others: one, or two if it had started a copy.
const GIVEN_UP_AT_AFTER_LOSS: u32 = 45;
/// After so many crashes in a row, one of them at once, it starts without its checkpoint, which may be what crashes the worker: it
/// has one or two tries left.
const WITHOUT_CHECKPOINT_AFTER: usize = 2;
/// After so many it runs alone, also if it had run for a while each time.
const ALONE_AFTER: usize = 2;
/// Two runs that lasted this much longer or shorter than each other, in milliseconds, were not lost by the same task's doing.
/// Moments of starts and crashes are known to some 100 ms, and later from an owner that lags.
const SIMILAR_MS: u64 = 300;
/// A task that has run for so much longer than its last run that was lost is no suspect any more, in milliseconds.
const CLEARED_AFTER_MS: u64 = 1_000;
/// For how long a run is taken to have run at most, in milliseconds, if its start was kept and nothing else is known of it.
const UNKNOWN_RAN_MS: u64 = 500;

/// How strongly a crash speaks against a task that ran on the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEvidence {
    /// Its worker fell silent right after it had started there.
    FellAtOnce,
    /// The same, and other workers fell at that moment.
    OthersFell,
    /// It is not known to have run there for long.
    JustStarted,
    /// It is not known to have begun: its worker may have fallen before.
    Unconfirmed,
    /// It had run there for a while, and nothing had just been started.
    RanThere,
}

impl CrashEvidence {
    /// The word for it in log lines and on the metrics page.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FellAtOnce => "fell-at-once",
            Self::OthersFell => "others-fell",
            Self::JustStarted => "just-started",
            Self::Unconfirmed => "unconfirmed",
            Self::RanThere => "ran-there",
        }
    }
}

/// For how long a run had run when its worker fell: what is known for sure, and what is possible.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RanFor {
    /// At least, in milliseconds.
    pub least_ms: u64,
    /// At most, in milliseconds.
    pub most_ms: u64,
}

impl RanFor {
    /// Of a run whose start was kept, and of which nothing else is known.
    pub const UNKNOWN: Self = Self { least_ms: 0, most_ms: UNKNOWN_RAN_MS };

    /// Whether both may have run equally long.
    fn is_similar(self, other: Self) -> bool {
        self.least_ms <= other.most_ms + SIMILAR_MS && other.least_ms <= self.most_ms + SIMILAR_MS
    }
}

/// A run whose start was kept before it was ordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunRun {
    /// Its number.
    pub run: u32,
    /// The worker that was to run it.
    pub worker: LifeId,
    /// Which of the worker's starts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
}

impl BegunRun {
    /// A run that is about to be started in a life.
    pub fn new(run: u32, LifeKey { id, incarnation }: LifeKey) -> Self {
        Self { run, worker: id, incarnation }
    }

    /// The life that was to run it.
    pub fn life(&self) -> LifeKey {
        LifeKey { id: self.worker.clone(), incarnation: self.incarnation }
    }
}

/// Workers that crashed under a task, one run after the other, each time after it had run equally long.
///
/// A task that crashes its workers does so at the same point of its work; one that was in the way of crashes is hit at any.
/// Kept with the job, so that the count outlasts its owner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// The workers that crashed, in order. One that started again under its id and crashed again stands here twice.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workers: Vec<LifeId>,
    /// What these crashes weigh together.
    #[serde(default)]
    pub weight: u32,
    /// In one of them its worker fell at once, and no other.
    #[serde(default)]
    pub fell_at_once: bool,
    /// An owner was lost that may have known of others.
    #[serde(default)]
    pub may_miss_some: bool,
    /// For how long the last of these runs had run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ran: Option<RanFor>,
    /// The run that may crash its worker next. An owner that finds it begun, and its worker crashed, counts it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub begun: Option<BegunRun>,
}

impl TaskCrashes {
    /// Whether nothing is known against the task, and none of its starts was kept.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty() && self.begun.is_none()
    }

    /// Whether the task is to run alone.
    pub fn runs_alone(&self) -> bool {
        self.fell_at_once || self.workers.len() >= ALONE_AFTER
    }

    /// Whether it starts without its checkpoint.
    pub fn drops_checkpoint(&self) -> bool {
        self.fell_at_once && self.workers.len() >= WITHOUT_CHECKPOINT_AFTER
    }

    /// Whether the task is not to be started again.
    pub fn is_given_up(&self) -> bool {
        let most = if self.may_miss_some { GIVEN_UP_AT_AFTER_LOSS } else { GIVEN_UP_AT };
        self.weight >= most
    }

    /// Whether a run that is known to have run for so long shows that the task does not crash its workers.
    pub fn is_cleared_by(&self, ran_ms: u64) -> bool {
        let lost_after_ms = self.ran.map_or(0, |ran| ran.most_ms);
        !self.workers.is_empty() && ran_ms >= lost_after_ms + CLEARED_AFTER_MS
    }

    /// Counts a crash.
    pub fn note(&mut self, life: &LifeKey, evidence: CrashEvidence, ran: Option<RanFor>) {
        let differs = |(last, ran): (RanFor, RanFor)| !last.is_similar(ran);
        if self.ran.zip(ran).is_some_and(differs) {
            self.clear();
        }
        // Another run of it may be on its way since.
        self.begun.take_if(|begun| begun.life() == *life);
        self.workers.push(life.id.clone());
        self.ran = ran.or(self.ran).or(Some(RanFor::UNKNOWN));
        self.fell_at_once |= evidence == CrashEvidence::FellAtOnce;
        self.weight += match evidence {
            CrashEvidence::FellAtOnce => FELL_AT_ONCE,
            CrashEvidence::OthersFell | CrashEvidence::JustStarted | CrashEvidence::RanThere => {
                FELL
            }
            CrashEvidence::Unconfirmed => UNCONFIRMED,
        };
    }

    /// Forgets all crashes.
    pub fn clear(&mut self) {
        let begun = self.begun.take();
        *self = Self { begun, ..Self::default() };
    }
}
