//! Calls that must not run twice, also when they are repeated through another box.
//!
//! A box claims a call's key in the table before any byte leaves for an endpoint. Only
//! the box whose write put the claim there sends the call, so a repeat finds the claim
//! whichever box it enters. Claims of many calls share one transaction.

use serde::{Deserialize, Serialize};

use crate::{
    BoxId, OpId, SpecName, Version,
    table::{Condition, Key, Record, Row, Transaction, Write},
};

/// The largest answer that is kept for repeats, in bytes.
pub const MAX_KEPT_ANSWER_BYTES: usize = 4_096;

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallState {
    /// A box holds it and may have sent it.
    Claimed,
    /// It ran; this was the answer, if it was small enough to keep.
    Done {
        /// The HTTP status.
        status: u16,
        /// The body, if it was small enough and text.
        body: Option<String>,
    },
}

/// The durable row of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRow {
    /// The box that claimed it.
    pub holder: BoxId,
    /// The run of that box.
    pub incarnation: u64,
    /// What became of it.
    pub state: CallState,
}

/// A key a caller chose for a call, within one service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey {
    /// The service.
    pub service: SpecName,
    /// The caller's key.
    pub key: String,
}

impl CallKey {
    /// The name of its row.
    pub fn row(&self) -> Key {
        Key::call(&self.service, &self.key)
    }
}

/// What is to be done with a call whose claim was tried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// It is ours: send it.
    Granted,
    /// Another holds it and may still be running it.
    Held,
    /// It ran before; this was the answer.
    Ran {
        /// The HTTP status.
        status: u16,
        /// The body, if it was kept.
        body: Option<String>,
    },
    /// The table can't say. Nothing was sent.
    NoTable,
}

/// A change to one call's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallChange {
    /// Claim it.
    Claim,
    /// Keep its answer.
    Finish {
        /// The HTTP status.
        status: u16,
        /// The body, if it is to be kept.
        body: Option<String>,
    },
    /// Give the claim back: it was not sent.
    Release,
}

/// The transaction that makes the given changes together.
///
/// A claim demands that there is no row. The other changes are made by the holder
/// alone and demand the version its claim gave the row.
pub fn transaction(
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
        let name = key.row();
        transaction.conditions.push(Condition { key: name.clone(), version: *version });
        transaction.writes.push(Write { key: name, record });
    }
    transaction
}

/// What a row that was read back says of a claim made by the write `op`.
pub fn judge_claim(row: Option<&Row>, op: &OpId) -> Option<ClaimAnswer> {
    let row = row?;
    let Record::Call(call) = &row.record else { return Some(ClaimAnswer::NoTable) };
    Some(match &call.state {
        CallState::Claimed if row.op == *op => ClaimAnswer::Granted,
        CallState::Claimed => ClaimAnswer::Held,
        CallState::Done { status, body } => {
            ClaimAnswer::Ran { status: *status, body: body.clone() }
        }
    })
}
