//! Interfaces to the platform's services: small traits, with one HTTP adapter for each.
//!
//! Only this crate needs to change to support a platform with other services.

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
