//! The rows by which operators change how the fleet is scheduled, beside its configuration.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::worker_entry::WorkerEntry;

/// The maximum length of a key, in bytes. The store accepts 200, with the table's part.
const MAX_KEY_BYTES: usize = 160;
/// The prefix of the keys of workers.
const WORKER_PREFIX: &str = "worker/";

/// How operators take a worker out of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerHold {
    /// Nothing is started there. What runs there ends by itself.
    Cordoned,
    /// The same, and long tasks move to other workers as these have room.
    Drained,
}

impl WorkerHold {
    /// Returns the state as shown in logs.
    pub(super) fn state(self) -> &'static str {
        match self {
            Self::Cordoned => "cordoned by operators",
            Self::Drained => "drained by operators",
        }
    }
}

/// The contents of the row of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerRow {
    /// How the worker is taken out of use.
    pub hold: WorkerHold,
}

/// A row that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidOperatorRow {
    /// The key names nothing that has rows.
    #[error(
        "`{0}` is not the key of an operators' row: write worker/ID with 1 to 150 printable characters"
    )]
    Key(String),
    /// The contents can't be read.
    #[error("the row `{key}` can't be read: {cause}")]
    Contents {
        /// The key.
        key: String,
        /// Why the contents can't be read.
        cause: String,
    },
}

/// All operators' rows in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OperatorRows {
    /// The rows of workers, by the id of the worker or the name of its machine.
    workers: BTreeMap<String, WorkerHold>,
}

impl OperatorRows {
    /// Returns how a worker is taken out of use: by its own row, or by that of its machine, which
    /// also applies to the workers that start there later.
    pub(super) fn hold_of(&self, entry: &WorkerEntry) -> Option<WorkerHold> {
        let by_id = self.workers.get(entry.id.as_str());
        let by_machine = entry.machine.as_ref().and_then(|machine| self.workers.get(machine));
        by_id.into_iter().chain(by_machine).max().copied()
    }

    /// Returns whether any worker is drained.
    pub(super) fn drains_workers(&self) -> bool {
        self.workers.values().any(|&hold| hold == WorkerHold::Drained)
    }

    /// Returns the number of rows.
    pub fn count(&self) -> usize {
        self.workers.len()
    }

    /// Checks a row before it is stored.
    pub fn check(key: &str, contents: &[u8]) -> Result<(), InvalidOperatorRow> {
        Self::default().apply(key, Some(contents)).map(|_| ())
    }

    /// Applies a row, or the removal of one. Returns whether that changed anything.
    pub fn apply(
        &mut self,
        key: &str,
        contents: Option<&[u8]>,
    ) -> Result<bool, InvalidOperatorRow> {
        let name = key.strip_prefix(WORKER_PREFIX).filter(|name| is_valid_name(name));
        let name = name.ok_or_else(|| InvalidOperatorRow::Key(key.to_owned()))?;
        let Some(contents) = contents else { return Ok(self.workers.remove(name).is_some()) };
        let row = serde_json::from_slice::<WorkerRow>(contents);
        let row = row.map_err(|error| InvalidOperatorRow::Contents {
            key: key.to_owned(),
            cause: error.to_string(),
        })?;
        Ok(self.workers.insert(name.to_owned(), row.hold) != Some(row.hold))
    }
}

fn is_valid_name(name: &str) -> bool {
    let is_valid_char = |c: char| c.is_ascii_graphic() && !matches!(c, '/' | '?' | '&' | '#' | '%');
    !name.is_empty()
        && name.len() + WORKER_PREFIX.len() <= MAX_KEY_BYTES
        && name.chars().all(is_valid_char)
}
