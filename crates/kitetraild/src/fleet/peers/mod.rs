//! The protocol between boxes: clients, the server and the message encoding.

mod channel;
mod client;
mod codec;
mod direct;
mod server;
mod status;

use std::time::Duration;

pub(super) use client::PeerClients;
pub(super) use codec::{apply_config, encode_config};
pub(super) use direct::call_directly;
pub(super) use server::serve;
pub(super) use status::PublishedStatus;

/// The timeout of a call that another box forwards to the owner, longer than callers wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
