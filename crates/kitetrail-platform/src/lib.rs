//! The platform's services: small traits, and one adapter to each over HTTP.
//!
//! This is the only place that changes when kitetrail meets other services than the
//! ones its adapters speak to.

mod error;
pub mod fleet;
pub mod headers;
mod http;
mod patience;
mod services;

pub use error::PlatformError;
pub use http::{HttpBoxList, HttpObjectStore, HttpTable, HttpWorkers, JsonClient};
pub use patience::within;
pub use services::{BoxList, ObjectStore, TableService, Worker};
