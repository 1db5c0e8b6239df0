//! The messages exchanged between kitetrail daemons.
//!
//! The message types are generated from the files in `proto/`, and the generated code is committed. The
//! test `generated_code_is_current` explains how to regenerate it.

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
