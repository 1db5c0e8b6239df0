//! Ensures that a call runs at most once, even when the caller repeats it through another box.
//!
//! A box claims a call's key in the table before it sends any byte to an endpoint. Only
//! the box that wrote the claim sends the call, so a repeated call finds the claim
//! whichever box receives it. The claims of several calls share one transaction.

use serde::{Deserialize, Serialize};

use crate::{
    BoxId, OpId, SpecName, Version,
    table::{Condition, Record, Row, RowKey, Transaction, Write},
};

/// The size of the largest answer that is stored for repeated calls, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 4_096;

/// The durable state of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallState {
    /// A box holds the claim and may have sent the call.
    Claimed,
    /// The call ran and was answered.
    Done {
        /// The HTTP status of the answer.
        status: u16,
        /// The body of the answer, if it was text and small enough to store.
        body: Option<String>,
    },
}

/// The durable row of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRow {
    /// The box that claimed the call.
    pub holder: BoxId,
    /// The incarnation of that box.
    pub incarnation: u64,
    /// The state of the call.
    pub state: CallState,
}

/// The idempotency key that a caller chose for a call to a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey {
    /// The service.
    pub service: SpecName,
    /// The key that the caller chose.
    pub key: String,
}

impl CallKey {
    /// Returns the key of the call's row in the table.
    pub fn row_key(&self) -> RowKey {
        RowKey::call(&self.service, &self.key)
    }
}

/// The result of an attempt to claim a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// This box holds the claim and is to send the call.
    Granted,
    /// Another claim exists, and the call may still be running.
    AlreadyClaimed,
    /// The call ran before and was answered.
    AlreadyRan {
        /// The HTTP status of the earlier answer.
        status: u16,
        /// The body of the earlier answer, if it was stored.
        body: Option<String>,
    },
    /// The table did not show who holds the claim. The call was not sent.
    TableUnavailable,
}

/// A change to the row of one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallChange {
    /// Claims the call.
    Claim,
    /// Stores the answer to the call.
    Finish {
        /// The HTTP status of the answer.
        status: u16,
        /// The body of the answer, if it is to be stored.
        body: Option<String>,
    },
    /// Releases the claim of a call that was not sent.
    Release,
}

/// Builds a transaction that makes the given changes atomically.
///
/// A claim requires that the row is absent. Only the holder makes the other changes, and
/// they require the row version that its claim produced.
pub fn build_transaction(
    op: OpId,
    holder: &BoxId,
    incarnation: u64,
    changes: &[(CallKey, Version, CallChange)],
) -> Transaction {
    let row = |state| Some(Record::Call(CallRow { holder: holder.clone(), incarnation, state }));
    let mut transaction = Transaction { op, conditions: Vec::new(), writes: Vec::new() };
    for (key, version, change) in changes {
        let record = match change {
            CallChange::Claim => row(CallState::Claimed),
            CallChange::Finish { status, body } => {
                row(CallState::Done { status: *status, body: body.clone() })
            }
            CallChange::Release => None,
        };
        let row_key = key.row_key();
        transaction.conditions.push(Condition { key: row_key.clone(), version: *version });
        transaction.writes.push(Write { key: row_key, record });
    }
    transaction
}

/// Returns the result of the claim made by the write `op`, as shown by the row read back, or
/// `None` if there is no row.
pub fn claim_result(row: Option<&Row>, op: &OpId) -> Option<ClaimResult> {
    let row = row?;
    let Record::Call(call) = &row.record else { return Some(ClaimResult::TableUnavailable) };
    Some(match &call.state {
        CallState::Claimed if row.op == *op => ClaimResult::Granted,
        CallState::Claimed => ClaimResult::AlreadyClaimed,
        CallState::Done { status, body } => {
            ClaimResult::AlreadyRan { status: *status, body: body.clone() }
        }
    })
}
