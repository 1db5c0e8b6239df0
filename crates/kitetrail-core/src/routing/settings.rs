//! The settings of routing.

use std::time::Duration;

use bon::Builder;

use crate::ZoneId;

/// The settings of routing.
#[derive(Debug, Clone, PartialEq, Builder)]
pub struct RouterSettings {
    /// The availability zone of this box.
    pub zone: ZoneId,
    /// The number of requests that an endpoint runs at a time.
    #[builder(default = 8)]
    pub slots_per_endpoint: u32,
    /// The number of connections that an endpoint accepts from all boxes together.
    #[builder(default = 60)]
    pub connections_per_endpoint: u32,
    /// Whether limits, queueing and ejection are enabled. They are disabled only for baselines.
    #[builder(default = true)]
    pub limits: bool,
    /// The additional cost of an endpoint in another availability zone.
    #[builder(default = Duration::from_micros(1_000))]
    pub cross_zone_cost: Duration,
    /// The longest time that a request may wait in the queue.
    #[builder(default = Duration::from_millis(200))]
    pub max_queue_wait: Duration,
    /// The largest number of queued requests for one service.
    #[builder(default = 1_024)]
    pub max_queued: usize,
    /// The number of consecutive failures after which an endpoint is ejected.
    #[builder(default = 5)]
    pub eject_after_failures: u32,
    /// The duration of the first ejection. Each further one lasts twice as long.
    #[builder(default = Duration::from_secs(2))]
    pub ejection: Duration,
    /// The longest ejection.
    #[builder(default = Duration::from_secs(30))]
    pub ejection_max: Duration,
    /// The largest share of a service's endpoints that may be ejected at once, in percent.
    #[builder(default = 30)]
    pub max_ejected_percent: usize,
    /// The number of retries and hedged requests allowed for each hundred requests.
    #[builder(default = 10)]
    pub retry_percent: u32,
    /// The largest number of sends of one request.
    #[builder(default = 3)]
    pub max_sends: u32,
}
