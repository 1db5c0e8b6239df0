//! A transaction whose effect isn't known yet.

use crate::{OpId, Time, Version, table::Transaction};

/// A transaction whose effect isn't known yet.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub transaction: Transaction,
    pub base: Version,
    pub sent: Time,
    pub stage: PendingStage,
    pub odd_conflicts: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PendingStage {
    /// Its answer is awaited.
    Sent,
    /// The answer was lost or was a conflict: the row is to be read back.
    ReadBack,
}

/// What reading a row back says of a pending transaction.
pub(super) enum Resolution {
    /// It took effect and gave its rows this version.
    Applied(Version),
    /// It did not take effect so far.
    NotApplied,
    /// Someone else has written the row since.
    Superseded,
}

impl Pending {
    /// A transaction that was sent at `sent` and rests on version `base`.
    pub fn new(transaction: Transaction, base: Version, sent: Time) -> Self {
        Self { transaction, base, sent, stage: PendingStage::Sent, odd_conflicts: 0 }
    }

    /// What the row as read back says of this transaction.
    ///
    /// If the row is unchanged the transaction may still arrive; sending the same one
    /// again is safe because at most one of them can meet the condition.
    pub fn resolve(&self, version: Version, op: Option<&OpId>) -> Resolution {
        match op {
            Some(op) if *op == self.transaction.op => Resolution::Applied(version),
            _ if version == self.base => Resolution::NotApplied,
            _ => Resolution::Superseded,
        }
    }
}
