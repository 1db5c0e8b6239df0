//! Forecasts the load of services that swings regularly.

mod cycle;
mod forecast;
mod periods;
mod series;
mod services;
mod swing;

pub(super) use self::services::ServiceLoads;
pub use self::{forecast::LoadForecast, periods::Periods, series::LoadSeries};
