//! Who changed what: a row for each change, written in the change's own transaction.

use serde::{Deserialize, Serialize};

/// One change that an operator made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// When it was accepted, by the clock of the accepting box, since 1970.
    pub at_unix_ms: u64,
    /// Who made it.
    pub who: String,
    /// The id of the change.
    pub change: String,
    /// What was done, in a few words.
    pub action: String,
}
