//! Communication between daemons.

mod client;
mod server;

pub use client::PeerClients;
pub use server::serve;
