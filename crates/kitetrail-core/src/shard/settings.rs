//! The times and limits of shard ownership.

use std::time::Duration;

use bon::Builder;

/// The times and limits of shard ownership.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct ShardSettings {
    /// The time that a shard's row must stay unchanged before another box takes the shard over.
    #[builder(default = Duration::from_secs(3))]
    pub shard_lease: Duration,
    /// The shortest time between two commits of an owner.
    #[builder(default = Duration::from_millis(250))]
    pub commit_interval: Duration,
    /// The interval at which an owner rewrites its row when nothing else changes.
    #[builder(default = Duration::from_secs(1))]
    pub lease_refresh: Duration,
    /// The interval at which the row and the inbox are read.
    #[builder(default = Duration::from_millis(500))]
    pub poll_interval: Duration,
    /// The time that a task may run on a worker without a renewal.
    #[builder(default = Duration::from_secs(10))]
    pub task_lease: Duration,
    /// The interval between sync requests to a worker.
    #[builder(default = Duration::from_secs(1))]
    pub sync_interval: Duration,
    /// The time for which an owner that cannot reach the table keeps renewing jobs and watchers.
    ///
    /// A new owner waits this long before it starts the jobs and watchers of an unreachable
    /// worker elsewhere. Services are renewed without limit.
    #[builder(default = Duration::from_secs(600))]
    pub detached_renewal: Duration,
    /// The time without a reply from a worker after which its services are started elsewhere.
    #[builder(default = Duration::from_secs(3))]
    pub service_failover: Duration,
    /// The largest difference between the rates of two clocks, in thousandths.
    #[builder(default = 1)]
    pub clock_drift_permille: u32,
    /// The time for which the row of an ended task is kept.
    #[builder(default = Duration::from_secs(24 * 60 * 60))]
    pub ended_retention: Duration,
    /// The largest number of task rows in one transaction.
    #[builder(default = 500)]
    pub max_commit_rows: usize,
    /// The number of failed runs that ends a job.
    #[builder(default = 3)]
    pub max_failures: u32,
    /// The duration of a worker's first quarantine, doubled for each further one.
    #[builder(default = Duration::from_secs(10))]
    pub quarantine: Duration,
    /// The longest quarantine.
    #[builder(default = Duration::from_secs(300))]
    pub quarantine_max: Duration,
    /// The largest share of a shard's workers that may be quarantined at once, in percent.
    #[builder(default = 20)]
    pub quarantine_share_percent: u32,
    /// The lowest priority that counts as urgent. Urgent tasks may preempt other tasks.
    #[builder(default = 200)]
    pub urgent_priority: u8,
}

impl ShardSettings {
    /// Returns the longest time that `span` on one clock can take on another.
    pub fn with_drift(&self, span: Duration) -> Duration {
        span + span * self.clock_drift_permille / 1_000
    }

    /// Returns the time after an owner's last contact with a worker at which the worker's
    /// tasks have certainly stopped.
    pub fn task_lease_bound(&self) -> Duration {
        self.with_drift(self.task_lease)
    }

    /// Returns the time after a takeover at which every lease granted by an older owner has
    /// certainly expired.
    pub fn older_owner_lease_bound(&self) -> Duration {
        self.with_drift(self.detached_renewal + self.task_lease)
    }
}

impl Default for ShardSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
