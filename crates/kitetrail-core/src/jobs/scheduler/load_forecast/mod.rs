//! Forecasts the load of services that swings regularly.

mod cycle;
mod forecast;
mod periods;
mod series;
mod swing;

pub use self::{forecast::LoadForecast, periods::Periods, series::LoadSeries};
