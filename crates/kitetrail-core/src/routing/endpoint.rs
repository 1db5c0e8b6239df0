//! What this box knows of one endpoint.

use std::{net::SocketAddr, time::Duration};

use super::RouterSettings;
use crate::{SpecName, Time, WorkerId, ZoneId};

/// The weight of a new latency in the smoothed one.
const LATENCY_WEIGHT: f64 = 0.2;
/// How long it takes a latency that isn't renewed to fall by half.
const LATENCY_HALF_LIFE_S: f64 = 3.0;
/// The factor by which the limit shrinks when the endpoint refuses or slows down.
const BACK_OFF: f64 = 0.8;
/// By how much the limit grows with each good answer while it is used up.
const GROWTH: f64 = 0.15;
/// The latency, relative to the lowest seen, from which the limit shrinks.
const CONGESTED: f64 = 1.5;
/// By how much the lowest latency grows with each answer that is well above it.
const LOWEST_DRIFT: f64 = 1.001;

/// An endpoint within one run of one box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub usize);

/// What this box knows of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// The service it answers for.
    pub service: SpecName,
    /// The worker it is on.
    pub worker: WorkerId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it answers.
    pub address: SocketAddr,
    /// Whether it takes no new requests.
    pub leaving: bool,
    outstanding: u32,
    /// The slots that are this box's when all boxes want them.
    share: f64,
    /// How many requests this box may have on their way: its share, and what it borrows.
    limit: f64,
    latency_us: f64,
    lowest_us: f64,
    measured_at: Time,
    backed_off_at: Option<Time>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Time>,
}

impl EndpointState {
    /// An endpoint of which nothing is known yet.
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
            lowest_us: f64::MAX,
            measured_at: Time::ZERO,
            backed_off_at: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        }
    }

    /// How many requests of this box are on their way.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// The slots that are this box's when all boxes want them.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// How many requests this box may have on their way at a time.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether it is ejected and its rest isn't over.
    pub fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether its rest is over and no request has succeeded since.
    fn is_probing(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| until <= now)
    }

    /// Whether it may take one more request.
    pub fn is_free(&self, now: Time) -> bool {
        let limit = if self.is_probing(now) { 1.0 } else { self.limit.max(1.0) };
        !self.leaving && !self.is_ejected(now) && f64::from(self.outstanding) + 1.0 <= limit
    }

    /// The expected wait of one more request, in microseconds.
    pub fn cost(&self, now: Time) -> f64 {
        let age_s = now.since(self.measured_at).as_secs_f64();
        let latency_us = self.latency_us * 0.5f64.powf(age_s / LATENCY_HALF_LIFE_S);
        (f64::from(self.outstanding) + 1.0) * latency_us.max(1.0)
    }

    /// Takes in that a request is on its way.
    pub fn note_sent(&mut self) {
        self.outstanding += 1;
    }

    /// Takes in that an exchange is over, whatever came of it.
    pub fn note_over(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Takes in a good answer. The limit grows while it is used up and answers are swift.
    pub fn note_success(&mut self, took: Duration, ceiling: f64, now: Time) {
        self.failures = 0;
        if self.ejected_until.take().is_some() {
            self.limit = self.share;
        }
        let took_us = took.as_micros() as f64;
        self.lowest_us = self.lowest_us.min(took_us).max(1.0);
        self.latency_us = match self.latency_us {
            0.0 => took_us,
            known => known + (took_us - known) * LATENCY_WEIGHT,
        };
        self.measured_at = now;
        let used_up = f64::from(self.outstanding) + 1.0 >= self.limit.floor();
        if self.latency_us > self.lowest_us * CONGESTED {
            self.back_off(now);
            // The lowest latency drifts up, so that a lasting change is learned in time.
            self.lowest_us *= LOWEST_DRIFT;
        } else if used_up {
            self.limit = (self.limit + GROWTH).min(ceiling);
        }
    }

    /// Takes in that the endpoint refused a request.
    pub fn note_refusal(&mut self, now: Time) {
        self.back_off(now);
    }

    /// Takes in a failure. Returns whether the endpoint should be ejected.
    pub fn note_failure(&mut self, settings: &RouterSettings, now: Time) -> bool {
        self.failures += 1;
        self.failures >= settings.eject_after_failures || self.is_probing(now)
    }

    /// Gives the endpoint no requests for a while.
    pub fn eject(&mut self, settings: &RouterSettings, now: Time) {
        let rest = settings.ejection * 2u32.pow(self.ejections.min(8));
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + rest.min(settings.ejection_max));
    }

    /// Follows a change of the share and of the most that may be borrowed.
    ///
    /// A new endpoint's slots are all borrowed until it refuses or slows down: while the
    /// other boxes are idle, waiting for answers to grow would waste them.
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
        if self.backed_off_at.is_some_and(|at| now.since(at) < round_trip) {
            return;
        }
        self.backed_off_at = Some(now);
        self.limit = (self.limit * BACK_OFF).max(self.share);
    }
}
