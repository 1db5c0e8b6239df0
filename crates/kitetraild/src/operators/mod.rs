//! The HTTP API for operators, with JSON bodies.

mod access;
mod api;

pub use api::start;
