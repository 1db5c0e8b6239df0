//! The state that this box keeps for one endpoint.

use std::{net::SocketAddr, time::Duration};

use super::RouterSettings;
use crate::{SpecName, Time, WorkerId, ZoneId};

/// The weight of a new sample in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// The time in which the smoothed latency halves without new samples, in seconds.
const LATENCY_HALF_LIFE_S: f64 = 3.0;
/// The factor by which the limit shrinks when the endpoint refuses a request or slows down.
const BACKOFF_FACTOR: f64 = 0.8;
/// The increase of the limit with each successful answer while the limit is used up.
const LIMIT_GROWTH: f64 = 0.15;
/// The ratio of the smoothed to the lowest latency above which the limit shrinks.
const CONGESTION_RATIO: f64 = 1.5;
/// The factor by which the lowest latency grows with each answer above `CONGESTION_RATIO`.
const LOWEST_LATENCY_DRIFT: f64 = 1.001;

/// The index of an endpoint within one process of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub usize);

/// The state that this box keeps for one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// The service that the endpoint belongs to.
    pub service: SpecName,
    /// The worker that the endpoint runs on.
    pub worker: WorkerId,
    /// The availability zone of the worker.
    pub zone: ZoneId,
    /// The address that the endpoint accepts requests on.
    pub address: SocketAddr,
    /// Whether the endpoint accepts no new requests.
    pub leaving: bool,
    outstanding: u32,
    /// The number of slots that are reserved for this box when all boxes need them.
    share: f64,
    /// The largest number of requests in flight: the share plus borrowed slots.
    limit: f64,
    latency_us: f64,
    lowest_latency_us: f64,
    latency_measured_at: Time,
    last_backoff: Option<Time>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Time>,
}

impl EndpointState {
    /// Creates the state of an endpoint without samples.
    pub fn new(service: SpecName, worker: WorkerId, zone: ZoneId, address: SocketAddr) -> Self {
        Self {
            service,
            worker,
            zone,
            address,
            leaving: false,
            outstanding: 0,
            share: 1.0,
            limit: f64::MAX,
            latency_us: 0.0,
            lowest_latency_us: f64::MAX,
            latency_measured_at: Time::ZERO,
            last_backoff: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        }
    }

    /// Returns the number of this box's requests in flight.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Returns the number of slots that are reserved for this box when all boxes need them.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the largest number of requests that this box may have in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns whether the endpoint is ejected at present.
    pub fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the ejection is over and no request has succeeded since.
    fn is_probing(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| until <= now)
    }

    /// Returns whether the endpoint may receive one more request.
    pub fn has_capacity(&self, now: Time) -> bool {
        let limit = if self.is_probing(now) { 1.0 } else { self.limit.max(1.0) };
        !self.leaving && !self.is_ejected(now) && f64::from(self.outstanding) + 1.0 <= limit
    }

    /// Returns the expected wait of one more request, in microseconds.
    pub fn cost(&self, now: Time) -> f64 {
        let age_s = now.since(self.latency_measured_at).as_secs_f64();
        let latency_us = self.latency_us * 0.5f64.powf(age_s / LATENCY_HALF_LIFE_S);
        (f64::from(self.outstanding) + 1.0) * latency_us.max(1.0)
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self) {
        self.outstanding += 1;
    }

    /// Records that an exchange is over, with any result.
    pub fn record_finished(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Records a successful answer. The limit grows while it is used up and latency is low.
    pub fn record_success(&mut self, latency: Duration, ceiling: f64, now: Time) {
        self.failures = 0;
        if self.ejected_until.take().is_some() {
            self.limit = self.share;
        }
        let sample_us = latency.as_micros() as f64;
        self.lowest_latency_us = self.lowest_latency_us.min(sample_us).max(1.0);
        self.latency_us = match self.latency_us {
            0.0 => sample_us,
            known => known + (sample_us - known) * LATENCY_WEIGHT,
        };
        self.latency_measured_at = now;
        let used_up = f64::from(self.outstanding) + 1.0 >= self.limit.floor();
        if self.latency_us > self.lowest_latency_us * CONGESTION_RATIO {
            self.back_off(now);
            // The lowest latency drifts upwards, so that a lasting increase is learned over time.
            self.lowest_latency_us *= LOWEST_LATENCY_DRIFT;
        } else if used_up {
            self.limit = (self.limit + LIMIT_GROWTH).min(ceiling);
        }
    }

    /// Records that the endpoint refused a request.
    pub fn record_refusal(&mut self, now: Time) {
        self.back_off(now);
    }

    /// Records a failure. Returns whether the endpoint should be ejected.
    pub fn record_failure(&mut self, settings: &RouterSettings, now: Time) -> bool {
        self.failures += 1;
        self.failures >= settings.eject_after_failures || self.is_probing(now)
    }

    /// Ejects the endpoint: it receives no requests for a while.
    pub fn eject(&mut self, settings: &RouterSettings, now: Time) {
        let duration = settings.ejection * 2u32.pow(self.ejections.min(8));
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + duration.min(settings.ejection_max));
    }

    /// Updates the share and the largest limit.
    ///
    /// The limit of a new endpoint starts at all of its slots, and shrinks when the endpoint
    /// refuses a request or slows down. Growing the limit from the share would waste slots while
    /// the other boxes are idle.
    pub fn set_share(&mut self, share: f64, slots: f64, ceiling: f64) {
        self.share = share;
        self.limit = match self.limit {
            f64::MAX => slots.min(ceiling).max(share),
            known => known.clamp(share, ceiling.max(share)),
        };
    }

    /// Shrinks the limit towards the share, at most once per round trip.
    fn back_off(&mut self, now: Time) {
        let round_trip = Duration::from_micros(self.latency_us as u64);
        if self.last_backoff.is_some_and(|at| now.since(at) < round_trip) {
            return;
        }
        self.last_backoff = Some(now);
        self.limit = (self.limit * BACKOFF_FACTOR).max(self.share);
    }
}
