//! The operators' API over HTTP with JSON bodies.

mod api;

pub use api::start;
