//! The platform's services: small traits, and one adapter to each over HTTP.
//!
//! This is the only place that changes when kitetrail meets other services than the
//! ones its adapters speak to.

mod connections;
mod error;
pub mod fleet;
pub mod headers;
mod http;
mod json_client;
mod patience;
mod services;

pub use connections::SilenceCounts;
pub use error::PlatformError;
pub use http::{HttpBoxList, HttpObjectStore, HttpTable, HttpWorkers};
pub use json_client::{CallLimits, JsonClient};
pub use patience::within;
pub use services::{BoxList, ObjectStore, TableService, Worker};
