//! Defines the audit log: one row for each change, written in the transaction that makes the change.

use serde::{Deserialize, Serialize};

/// A change made by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The time when a box accepted the change, by that box's clock, in milliseconds since the
    /// Unix epoch.
    pub at_unix_ms: u64,
    /// The operator who made the change.
    pub who: String,
    /// The id of the change.
    pub change: String,
    /// A short description of the change.
    pub action: String,
}
