//! The limits of routing.

use std::time::Duration;

use bon::Builder;

use crate::ZoneId;

/// The limits of routing.
#[derive(Debug, Clone, PartialEq, Builder)]
pub struct RouterSettings {
    /// The availability zone of this box.
    pub zone: ZoneId,
    /// How many requests an endpoint runs at a time.
    #[builder(default = 8)]
    pub slots_per_endpoint: u32,
    /// How many connections an endpoint accepts from all boxes together.
    #[builder(default = 60)]
    pub connections_per_endpoint: u32,
    /// Whether limits, the queue and ejection are in force. Off for a baseline only.
    #[builder(default = true)]
    pub limits: bool,
    /// The added cost of an endpoint in another availability zone.
    #[builder(default = Duration::from_micros(1_000))]
    pub other_zone_cost: Duration,
    /// The longest a request may wait in the queue.
    #[builder(default = Duration::from_millis(200))]
    pub max_queue_wait: Duration,
    /// The most requests that wait for one service.
    #[builder(default = 1_024)]
    pub max_queued: usize,
    /// How many failures in a row eject an endpoint.
    #[builder(default = 5)]
    pub eject_after_failures: u32,
    /// How long the first ejection lasts; each further one lasts twice as long.
    #[builder(default = Duration::from_secs(2))]
    pub ejection: Duration,
    /// The longest ejection.
    #[builder(default = Duration::from_secs(30))]
    pub ejection_max: Duration,
    /// The largest part of a service's endpoints that may be ejected, in percent.
    #[builder(default = 30)]
    pub ejected_share_percent: usize,
    /// How many retries and hedges there may be for each hundred requests.
    #[builder(default = 10)]
    pub retry_percent: u32,
    /// How many times one request may be sent in all.
    #[builder(default = 3)]
    pub max_sends: u32,
}
