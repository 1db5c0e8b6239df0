//! A worker and its endpoint.

mod control;
mod effects;
mod endpoint;
mod model;

pub use control::run;
pub use effects::Effects;
pub use endpoint::expected_body;
pub use model::{WorkerModel, WorkerSettings};
