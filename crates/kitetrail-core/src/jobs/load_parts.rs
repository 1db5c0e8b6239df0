//! Selects the optional parts of scheduling under load.

use std::{
    collections::BTreeSet,
    fmt::{self, Display, Formatter},
    str::FromStr,
};

use thiserror::Error;

/// An optional part of scheduling under load. See `docs/design/hard-load.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadPart {
    /// Submissions wait for a slow store as long as their callers can.
    HandIn,
    /// With [`Self::HandIn`]: callers that can't return are refused at once while the store is
    /// silent.
    QuickRefusal,
    /// An owner that lags hands the fleet over to a box that does not.
    OwnerRelief,
    /// Workers that are slower or fail more often than their peers get less work.
    WorkerHealth,
    /// The durations of tasks are learned from those that ended.
    RunLengths,
    /// The load of services is predicted for the time that a best-effort task runs beside them.
    LoadForecast,
    /// Scarce room is divided among queues by weight.
    Shares,
    /// Best-effort tasks are stopped for tasks of more urgent queues.
    Preemption,
    /// Operators pause queues and take workers out of use.
    OperatorRows,
}

impl LoadPart {
    /// All parts.
    pub const ALL: [Self; 9] = [
        Self::HandIn,
        Self::QuickRefusal,
        Self::OwnerRelief,
        Self::WorkerHealth,
        Self::RunLengths,
        Self::LoadForecast,
        Self::Shares,
        Self::Preemption,
        Self::OperatorRows,
    ];

    /// Returns the name of the part in settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::HandIn => "hand-in",
            Self::QuickRefusal => "quick-refusal",
            Self::OwnerRelief => "owner-relief",
            Self::WorkerHealth => "worker-health",
            Self::RunLengths => "run-lengths",
            Self::LoadForecast => "load-forecast",
            Self::Shares => "shares",
            Self::Preemption => "preemption",
            Self::OperatorRows => "operator-rows",
        }
    }
}

impl Display for LoadPart {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The name of a part that does not exist.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{0}` is not a part of scheduling under load: use names from docs/operators/settings.md")]
pub struct UnknownLoadPart(pub String);

impl FromStr for LoadPart {
    type Err = UnknownLoadPart;

    fn from_str(text: &str) -> Result<Self, UnknownLoadPart> {
        let named = Self::ALL.into_iter().find(|part| part.name() == text);
        named.ok_or_else(|| UnknownLoadPart(text.to_owned()))
    }
}

/// The parts of scheduling under load that are in use: none by default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadParts(BTreeSet<LoadPart>);

impl LoadParts {
    /// Returns all parts.
    pub fn all() -> Self {
        LoadPart::ALL.into_iter().collect()
    }

    /// Returns whether a part is in use.
    pub fn has(&self, part: LoadPart) -> bool {
        self.0.contains(&part)
    }
}

impl FromIterator<LoadPart> for LoadParts {
    fn from_iter<I: IntoIterator<Item = LoadPart>>(parts: I) -> Self {
        Self(parts.into_iter().collect())
    }
}

impl Display for LoadParts {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let names = self.0.iter().map(|part| part.name()).collect::<Vec<_>>();
        f.write_str(&names.join(","))
    }
}

impl FromStr for LoadParts {
    type Err = UnknownLoadPart;

    /// Parses names separated by commas.
    fn from_str(text: &str) -> Result<Self, UnknownLoadPart> {
        let names = text.split(',').map(str::trim).filter(|name| !name.is_empty());
        names.map(str::parse).collect()
    }
}
