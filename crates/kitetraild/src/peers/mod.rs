//! What daemons say to each other.

mod client;
mod server;

pub use client::PeerClients;
pub use server::serve;
