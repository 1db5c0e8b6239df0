//! The times and limits of shard ownership.

use std::time::Duration;

use bon::Builder;

/// The times and limits of shard ownership.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct ShardSettings {
    /// How long a shard's row must stay unchanged before another box takes it over.
    #[builder(default = Duration::from_secs(3))]
    pub shard_lease: Duration,
    /// The least time between two commits of an owner.
    #[builder(default = Duration::from_millis(250))]
    pub commit_interval: Duration,
    /// How often an owner writes its row when nothing else changes.
    #[builder(default = Duration::from_secs(1))]
    pub lease_refresh: Duration,
    /// How often the row and the inbox are read.
    #[builder(default = Duration::from_millis(500))]
    pub poll_interval: Duration,
    /// How long a task may run on a worker without a renewal.
    #[builder(default = Duration::from_secs(10))]
    pub task_lease: Duration,
    /// How often a worker is spoken to.
    #[builder(default = Duration::from_secs(1))]
    pub sync_interval: Duration,
    /// How long an owner cut off from the table goes on renewing jobs and watchers.
    ///
    /// A new owner waits this long before it runs the jobs and watchers of a worker it
    /// can't reach elsewhere. Services are renewed without limit.
    #[builder(default = Duration::from_secs(600))]
    pub detached_renewal: Duration,
    /// How long a worker may be silent before its services are started elsewhere.
    #[builder(default = Duration::from_secs(3))]
    pub service_failover: Duration,
    /// By how many thousandths two clocks may run apart.
    #[builder(default = 1)]
    pub clock_drift_permille: u32,
    /// How long a task at rest is remembered.
    #[builder(default = Duration::from_secs(24 * 60 * 60))]
    pub ended_retention: Duration,
    /// The most task rows in one transaction.
    #[builder(default = 500)]
    pub max_commit_rows: usize,
    /// How many failed runs end a job.
    #[builder(default = 3)]
    pub max_failures: u32,
    /// How long a worker rests after failures of its own, doubled each time.
    #[builder(default = Duration::from_secs(10))]
    pub quarantine: Duration,
    /// The longest such rest.
    #[builder(default = Duration::from_secs(300))]
    pub quarantine_max: Duration,
    /// The largest part of a shard's workers that may rest at once, in percent.
    #[builder(default = 20)]
    pub quarantine_share_percent: u32,
    /// The priority from which work counts as urgent and may displace other work.
    #[builder(default = 200)]
    pub urgent_priority: u8,
}

impl ShardSettings {
    /// `span` as it may appear on a slower clock.
    pub fn with_drift(&self, span: Duration) -> Duration {
        span + span * self.clock_drift_permille / 1_000
    }

    /// How long after an owner's last contact a worker's tasks have certainly stopped.
    pub fn certain_lapse(&self) -> Duration {
        self.with_drift(self.task_lease)
    }

    /// How long after a takeover no older owner's grant can be alive.
    pub fn certain_lapse_of_older_owner(&self) -> Duration {
        self.with_drift(self.detached_renewal + self.task_lease)
    }
}

impl Default for ShardSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
