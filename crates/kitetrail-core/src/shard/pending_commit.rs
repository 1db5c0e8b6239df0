//! A transaction whose outcome is not known yet.

use crate::{OpId, Time, Version, table::Transaction};

/// A transaction whose outcome is not known yet.
#[derive(Debug, Clone)]
pub(super) struct PendingCommit {
    pub transaction: Transaction,
    pub base: Version,
    pub sent_at: Time,
    pub stage: PendingStage,
    pub unchanged_conflicts: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PendingStage {
    /// The transaction was sent and is not answered yet.
    Sent,
    /// The answer was lost or was a conflict, so the row has to be read back.
    ReadBack,
}

/// The state of a pending transaction as shown by reading its row back.
pub(super) enum Resolution {
    /// The transaction took effect and gave its rows this version.
    Applied(Version),
    /// The transaction has not taken effect so far.
    NotApplied,
    /// Another transaction has written the row since.
    Superseded,
}

impl PendingCommit {
    /// Creates the record of a transaction that was sent at `sent_at` on condition of version
    /// `base`.
    pub fn new(transaction: Transaction, base: Version, sent_at: Time) -> Self {
        Self { transaction, base, sent_at, stage: PendingStage::Sent, unchanged_conflicts: 0 }
    }

    /// Compares the transaction with the row as read back.
    ///
    /// If the row is unchanged, the transaction may still arrive. Sending it again is safe
    /// because at most one copy can meet the condition.
    pub fn resolve(&self, version: Version, op: Option<&OpId>) -> Resolution {
        match op {
            Some(op) if *op == self.transaction.op => Resolution::Applied(version),
            _ if version == self.base => Resolution::NotApplied,
            _ => Resolution::Superseded,
        }
    }
}
