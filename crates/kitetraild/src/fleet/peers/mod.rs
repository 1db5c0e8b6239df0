//! What boxes say to each other.

mod channel;
mod client;
mod codec;
mod server;
mod status;

use std::time::Duration;

pub(super) use client::PeerClients;
pub(super) use codec::{encode_config, take_config};
pub(super) use server::serve;
pub(super) use status::BoxStatus;

/// How long the owner may take over a call from another box. Callers have given up by then.
const CALL_LIMIT: Duration = Duration::from_millis(2_000);
