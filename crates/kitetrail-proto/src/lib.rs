//! The messages between kitetrail's daemons.
//!
//! The code is generated from the files in `proto/` and committed. The test
//! `generated_code_is_current` says how to write it anew.

mod convert;

#[allow(missing_docs, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
#[path = "generated/kitetrail.peer.v1.rs"]
pub mod peer;

#[allow(missing_docs, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
#[path = "generated/kitetrail.jobs.v1.rs"]
pub mod jobs;

pub use convert::MessageError;
