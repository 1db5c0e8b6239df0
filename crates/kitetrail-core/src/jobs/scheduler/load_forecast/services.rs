//! The loads of all services of a fleet.

use std::{collections::HashMap, time::Duration};

use super::{
    super::{super::names::StepName, tails::ImageNo},
    LoadForecast, LoadSeries, Periods,
};
use crate::Time;

/// The time without reports after which a service is forgotten.
const RETENTION: Duration = Duration::from_secs(10);
/// The most services whose loads are followed, to bound the memory: each takes about 3 KB.
const MAX_SERVICES: usize = 4_000;
/// The interval between two summaries, which take the images in turn.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// The loads of all services of a fleet. The tasks of a step share their callers, so their load
/// swings together; steps of one image swing alike, but not at the same time.
#[derive(Debug, Default)]
pub(in crate::jobs::scheduler) struct ServiceLoads {
    services: HashMap<StepName, Service>,
    /// The periods of the services of each image.
    periods: HashMap<ImageNo, Periods>,
    /// The images in the order in which they are summarized.
    images: Vec<ImageNo>,
    next_image: usize,
    summarized_at: Time,
}

#[derive(Debug)]
struct Service {
    image: ImageNo,
    loads: LoadSeries,
}

/// How well the loads of the services of an image can be forecast.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::jobs::scheduler) struct Summary {
    pub(in crate::jobs::scheduler) image: ImageNo,
    pub(in crate::jobs::scheduler) period_s: f64,
    /// The number of services of the image.
    pub(in crate::jobs::scheduler) services: u32,
    /// The number of services with a forecast.
    pub(in crate::jobs::scheduler) forecasts: u32,
    /// The number of services of all images.
    pub(in crate::jobs::scheduler) all_services: u32,
    /// The number of these with a forecast.
    pub(in crate::jobs::scheduler) all_forecasts: u32,
    /// The mean load expected in 2 s, over the services with a forecast.
    pub(in crate::jobs::scheduler) level: f64,
    /// The mean error of forecasts 2 s ahead, over the same services.
    pub(in crate::jobs::scheduler) error: f64,
}

impl ServiceLoads {
    /// Records the load of a task's service, and returns the forecast of its load.
    pub(in crate::jobs::scheduler) fn observe(
        &mut self,
        step: StepName,
        image: ImageNo,
        load: f64,
        now: Time,
    ) -> Option<LoadForecast> {
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(&step) {
            return None;
        }
        let periods = self.periods.entry(image).or_insert_with(|| {
            self.images.push(image);
            Periods::default()
        });
        let service = self
            .services
            .entry(step)
            .or_insert_with(|| Service { image, loads: LoadSeries::new(now) });
        service.loads.observe(load, now, periods);
        service.loads.forecast(periods)
    }

    /// Returns the summary of the next image if one is due, and forgets services that ended.
    pub(in crate::jobs::scheduler) fn summary_if_due(&mut self, now: Time) -> Option<Summary> {
        if now.since(self.summarized_at) < SUMMARY_INTERVAL {
            return None;
        }
        self.summarized_at = now;
        self.services.retain(|_, service| now.since(service.loads.observed_at()) < RETENTION);
        self.next_image = (self.next_image + 1) % self.images.len().max(1);
        let image = *self.images.get(self.next_image)?;
        let period_s = self.periods.get(&image)?.best_s()?;
        let mut summary = Summary { image, period_s, ..Summary::default() };
        for service in self.services.values() {
            let periods = self.periods.get(&service.image);
            let forecast = periods.and_then(|periods| service.loads.forecast(periods));
            summary.count(service.image, forecast);
        }
        let forecasts = f64::from(summary.forecasts.max(1));
        Some(Summary {
            level: summary.level / forecasts,
            error: summary.error / forecasts,
            ..summary
        })
    }
}

impl Summary {
    /// Counts a service.
    fn count(&mut self, image: ImageNo, forecast: Option<LoadForecast>) {
        let is_counted = image == self.image;
        self.all_services += 1;
        self.services += u32::from(is_counted);
        let Some(forecast) = forecast else { return };
        self.all_forecasts += 1;
        if is_counted {
            self.forecasts += 1;
            self.level += forecast.level_after(Duration::from_secs(2));
            self.error += forecast.errors()[1].unwrap_or(0.0);
        }
    }
}
