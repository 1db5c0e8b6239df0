//! The operators' API over HTTP with JSON bodies.

mod access;
mod api;

pub use api::start;
