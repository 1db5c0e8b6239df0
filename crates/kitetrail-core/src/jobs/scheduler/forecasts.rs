//! Reports how well the loads of services can be forecast.

use super::{
    super::{event::Action, log_entry::LogEntry},
    Scheduler,
};

impl Scheduler {
    /// Logs how well the loads of the services of one image can be forecast, each image in turn.
    pub(super) fn report_forecasts_if_due(&mut self) {
        let now = self.now;
        let summary = self.service_loads.as_mut().and_then(|loads| loads.summary_if_due(now));
        let Some(summary) = summary else { return };
        self.actions.push(Action::Log(LogEntry::LoadForecast {
            image: self.tails.name(summary.image).to_owned(),
            period_ms: (summary.period_s * 1_000.0) as u64,
            services: summary.services,
            forecasts: summary.forecasts,
            all_services: summary.all_services,
            all_forecasts: summary.all_forecasts,
            level_percent: (summary.level * 100.0) as u32,
            error_permille: (summary.error * 1_000.0) as u32,
        }));
    }
}
