//! Tests of forecasts of a service's load.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{f64::consts::TAU, time::Duration};

use kitetrail_core::{
    Time,
    jobs::{LoadForecast, LoadSeries, Periods},
};

/// The interval of the observations.
const INTERVAL_MS: u64 = 150;
/// The noise of an observation, at most.
const NOISE: f64 = 0.08;

/// A service whose load is observed, with noise from a fixed sequence.
struct Service {
    series: LoadSeries,
    periods: Periods,
    now: Time,
    random: u64,
}

impl Service {
    fn new(seed: u64) -> Self {
        let now = Time::from_ms(1_000);
        Self { series: LoadSeries::new(now), periods: Periods::default(), now, random: seed }
    }

    /// Observes a load for some time, and calls `check` with each forecast.
    fn observe(
        &mut self,
        duration_ms: u64,
        load: impl Fn(Time) -> f64,
        mut check: impl FnMut(Time, Option<LoadForecast>),
    ) {
        let until = self.now + Duration::from_millis(duration_ms);
        while self.now < until {
            self.now = self.now + Duration::from_millis(INTERVAL_MS);
            let observed = load(self.now) + NOISE * self.noise();
            self.series.observe(observed, self.now, &mut self.periods);
            check(self.now, self.series.forecast(&self.periods));
        }
    }

    fn forecast(&self) -> Option<LoadForecast> {
        self.series.forecast(&self.periods)
    }

    /// Returns the next number of the sequence, from -1 to 1.
    fn noise(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random >> 33) as f64 / f64::from(1_u32 << 30) - 1.0
    }
}

/// Returns a load that swings by 0.2 around 0.5.
fn swing(now: Time, period_s: f64) -> f64 {
    0.5 + 0.2 * (TAU * now.as_ms() as f64 / 1_000.0 / period_s).sin()
}

#[test]
fn swing_is_forecast_better_than_by_its_present_value() {
    for period_s in [6.0, 9.0, 14.0, 17.0, 30.0] {
        let mut service = Service::new(1);
        let mut forecasts = Vec::new();
        let load = |now| swing(now, period_s);
        service.observe(60_000, load, |now, forecast| forecasts.push((now, forecast)));
        let last = forecasts.iter().filter(|(now, _)| now.as_ms() > 30_000);
        let (mut error, mut present_error, mut given, mut all) = (0.0, 0.0, 0, 0);
        for (now, forecast) in last {
            all += 1;
            let Some(forecast) = forecast else { continue };
            let later = load(*now + Duration::from_secs(2));
            given += 1;
            error += (forecast.level_after(Duration::from_secs(2)) - later).abs();
            present_error += (load(*now) - later).abs();
        }
        assert!(given * 10 >= all * 9, "period {period_s} s: {given} of {all} forecast");
        assert!(
            error < 0.5 * present_error,
            "period {period_s} s: error {error:.1}, that of the present value {present_error:.1}"
        );
    }
}

#[test]
fn rise_covers_the_peak_within_the_window() {
    let mut service = Service::new(2);
    // The load is at its level and rises at 42 s, and is at its peak at 45.5 s.
    service.observe(41_000, |now| swing(now, 14.0), |_, _| {});
    let forecast = service.forecast().unwrap();
    let rise = |seconds| forecast.rise_within(service.now, Duration::from_secs(seconds)).unwrap();
    assert!((rise(5) - 0.2).abs() < 0.08, "up to the peak: {}", rise(5));
    assert!(rise(1) < 0.6 * rise(5), "after 1 s {}, after 5 s {}", rise(1), rise(5));
}

#[test]
fn noise_alone_is_not_forecast() {
    for seed in 1..20 {
        let mut service = Service::new(seed);
        let (mut given, mut all) = (0, 0);
        service.observe(
            60_000,
            |_| 0.5,
            |_, forecast| {
                all += 1;
                given += u32::from(forecast.is_some());
            },
        );
        assert_eq!(given, 0, "seed {seed}: {given} of {all} forecast");
    }
}

#[test]
fn load_that_jumps_is_not_forecast_at_once() {
    let mut service = Service::new(3);
    let load = |now: Time| swing(now, 14.0) + if now.as_ms() > 41_000 { 0.4 } else { 0.0 };
    service.observe(40_000, load, |_, _| {});
    assert!(service.forecast().is_some());
    let mut given = Vec::new();
    service.observe(2_000, load, |now, forecast| given.push((now.as_ms(), forecast.is_some())));
    let right_after = given.iter().filter(|(at_ms, _)| (41_500..41_800).contains(at_ms));
    let right_after = right_after.collect::<Vec<_>>();
    assert!(!right_after.is_empty() && right_after.iter().all(|(_, given)| !given), "{given:?}");
    service.observe(30_000, load, |_, _| {});
    assert!(service.forecast().is_some(), "the load swings as before");
}

#[test]
fn reports_missing_for_seconds_end_the_forecast_until_it_proves_right_again() {
    let mut service = Service::new(4);
    let load = |now| swing(now, 14.0);
    service.observe(40_000, load, |_, _| {});
    let before = service.forecast().unwrap();
    let rise_after = |silence_s| {
        let now = service.now + Duration::from_secs(silence_s);
        before.rise_within(now, Duration::from_secs(2))
    };
    assert!(rise_after(1).is_some());
    assert_eq!(rise_after(4), None, "the forecast is too old");
    service.now = service.now + Duration::from_secs(6);
    service.observe(2_000, load, |_, forecast| {
        assert!(forecast.is_none(), "no forecast was compared since the reports came back");
    });
    service.observe(8_000, load, |_, _| {});
    assert!(service.forecast().is_some(), "the swing is known from before");
}

#[test]
fn load_without_a_period_in_range_is_not_forecast() {
    // One swing is shorter than any best-effort task, the other changes its period all the time.
    let short = |now| swing(now, 1.1);
    let irregular = |now: Time| {
        let at_s = now.as_ms() as f64 / 1_000.0;
        0.5 + 0.2 * (TAU * (at_s / 9.0 + 0.9 * (at_s * 0.7).sin() + (at_s * 0.31).cos())).sin()
    };
    let loads: [(&str, &dyn Fn(Time) -> f64); 2] = [("short", &short), ("irregular", &irregular)];
    for (name, load) in loads {
        let mut service = Service::new(5);
        let (mut given, mut all) = (0, 0);
        service.observe(120_000, load, |_, forecast| {
            all += 1;
            given += u32::from(forecast.is_some());
        });
        assert!(given * 20 <= all, "{name}: {given} of {all} forecast");
    }
}
