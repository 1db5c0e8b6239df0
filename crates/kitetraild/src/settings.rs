//! The settings of a daemon, which are read from TOML and validated before anything starts.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use kitetrail_core::{
    BoxId, ByteSize, TeamId, ZoneId, routing::RouterSettings, shard::ShardSettings,
};
use serde::{Deserialize, Deserializer, de};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

use crate::logging::{Format, Level};

/// The longest duration of a setting, in milliseconds: one day.
const MAX_MS: u64 = 24 * 60 * 60 * 1_000;

/// The least memory for bodies that are received before they are sent on. Several of the longest ones fit.
const MIN_BUFFERED_MEMORY: ByteSize = ByteSize(1024 * 1024);

/// An error in the settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {cause}; give the path of a readable file with --settings", .path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The system's error.
        cause: io::Error,
    },
    /// The file's contents are invalid.
    #[error("{}: {cause}\nFix the line shown; docs/operators/settings.md lists every setting.", .path.display())]
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// The problem and its line.
        cause: String,
    },
}

/// A duration, given in milliseconds, from 1 millisecond to one day.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Millis(Duration);

impl Millis {
    /// Returns the duration.
    pub fn get(self) -> Duration {
        self.0
    }
}

impl<'de> Deserialize<'de> for Millis {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let ms = u64::deserialize(deserializer)?;
        match ms {
            1..=MAX_MS => Ok(Self(Duration::from_millis(ms))),
            _ => Err(de::Error::custom(format!("{ms} must be from 1 to {MAX_MS} milliseconds"))),
        }
    }
}

/// The settings of a daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this box.
    pub box_id: BoxId,
    /// The availability zone of this box.
    pub zone: ZoneId,
    /// The addresses on which the daemon listens.
    pub listen: Listen,
    /// The platform's services.
    pub platform: Platform,
    /// The ownership of shards.
    #[serde(default)]
    pub shards: Shards,
    /// The handling of requests.
    #[serde(default)]
    pub requests: Requests,
    /// The access of operators.
    #[serde(default)]
    pub operators: Operators,
    /// The log output.
    #[serde(default)]
    pub log: Log,
}

/// The addresses on which the daemon listens.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address for other daemons.
    pub peers: SocketAddr,
}

/// The addresses and timeouts of the platform's services.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The address of the table service.
    pub table: SocketAddr,
    /// The address of the box list.
    pub box_list: SocketAddr,
    /// The timeout of requests to the table.
    #[serde(default = "default_table_timeout")]
    pub table_timeout_ms: Millis,
    /// The interval at which the box list is read.
    #[serde(default = "default_box_list_poll")]
    pub box_list_poll_ms: Millis,
    /// The timeout of requests to a worker.
    #[serde(default = "default_worker_timeout")]
    pub worker_timeout_ms: Millis,
}

/// The ownership of shards. Settings that are left out take the core's defaults.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Shards {
    /// The strategy that chooses a task's worker.
    pub placer: PlacerChoice,
    /// The number of racks in a shard.
    pub racks_per_shard: u16,
    /// How long a shard's lease row must stay unchanged before another box takes the shard over.
    pub shard_lease_ms: Option<Millis>,
    /// How long a task may run without a lease renewal.
    pub task_lease_ms: Option<Millis>,
    /// The interval at which the owner syncs with a worker.
    pub sync_interval_ms: Option<Millis>,
    /// The minimum time between two commits of an owner.
    pub commit_interval_ms: Option<Millis>,
    /// How long leases of jobs and watchers are renewed while the table is unreachable.
    pub detached_renewal_ms: Option<Millis>,
}

impl Default for Shards {
    fn default() -> Self {
        Self {
            placer: PlacerChoice::InterferenceAware,
            racks_per_shard: 10,
            shard_lease_ms: None,
            task_lease_ms: None,
            sync_interval_ms: None,
            commit_interval_ms: None,
            detached_renewal_ms: None,
        }
    }
}

/// The strategy that chooses a task's worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacerChoice {
    /// Chooses the worker with the least expected interference, and relieves overloaded workers.
    #[default]
    InterferenceAware,
    /// Chooses the first worker with free capacity, without relief. Serves as a baseline.
    FirstFit,
}

/// The handling of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Requests {
    /// The strategy that chooses a request's endpoint.
    pub balancer: BalancerChoice,
    /// Whether concurrency limits, the queue and ejection are enabled. Disabled only for a
    /// baseline.
    pub limits: bool,
    /// The timeout of a request whose caller does not give one.
    pub default_timeout_ms: Millis,
    /// The longest timeout that a caller may request.
    pub max_timeout_ms: Millis,
    /// The longest time for which a request may wait for an endpoint.
    pub max_queue_wait_ms: Millis,
    /// The maximum number of connections from callers.
    pub max_connections: usize,
    /// The timeout for reading a request's headers.
    pub header_timeout_ms: Millis,
    /// The maximum size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// The memory for all bodies that are received before they are sent on.
    pub max_buffered_memory_bytes: ByteSize,
    /// The number of requests that an endpoint runs concurrently.
    pub slots_per_endpoint: u32,
    /// The number of connections that an endpoint accepts from all boxes together.
    pub connections_per_endpoint: u32,
    /// How long the answer to a call with an idempotency key is stored for repeats.
    pub call_retention_ms: Millis,
    /// The longest time for which a graceful shutdown waits for requests.
    pub drain_timeout_ms: Millis,
}

impl Default for Requests {
    fn default() -> Self {
        let ms = |ms| Millis(Duration::from_millis(ms));
        Self {
            balancer: BalancerChoice::PowerOfTwo,
            limits: true,
            default_timeout_ms: ms(10_000),
            max_timeout_ms: ms(300_000),
            max_queue_wait_ms: ms(200),
            max_connections: 4_000,
            header_timeout_ms: ms(5_000),
            max_header_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024 * 1024,
            max_buffered_memory_bytes: ByteSize(16 * 1024 * 1024),
            slots_per_endpoint: 8,
            connections_per_endpoint: 60,
            call_retention_ms: ms(3_600_000),
            drain_timeout_ms: ms(30_000),
        }
    }
}

/// The access of operators. Without tokens, anyone who can connect to the address has full access.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operators {
    /// The tokens that are accepted.
    pub tokens: Vec<Token>,
}

/// A token, identified by its digest only.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Token {
    /// The name of the token's holder, for the audit log.
    pub name: String,
    /// The SHA-256 digest of the token, as 64 hexadecimal digits.
    pub sha256: Digest,
    /// The role of the token's bearer.
    pub role: OperatorRole,
    /// The team whose specs the bearer may change. If left out, the bearer may change all teams'
    /// specs.
    pub team: Option<TeamId>,
}

/// The permissions of a token's bearer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRole {
    /// May read and change.
    Operator,
    /// May only read.
    ReadOnly,
}

/// A SHA-256 digest in lower-case hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest(String);

impl Digest {
    /// Computes the digest of a token.
    pub fn of(token: &str) -> Self {
        let digest = Sha256::digest(token.as_bytes());
        Self(digest.iter().map(|byte| format!("{byte:02x}")).collect())
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        match text.len() == 64 && text.chars().all(is_hex) {
            true => Ok(Self(text)),
            false => {
                let help = "write the SHA-256 of the token as 64 lower-case hexadecimal digits";
                Err(de::Error::custom(help))
            }
        }
    }
}

/// The strategy that chooses a request's endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BalancerChoice {
    /// Chooses the endpoint with the shortest expected wait among a few random ones.
    #[default]
    PowerOfTwo,
    /// Chooses the endpoints in turn. Serves as a baseline.
    RoundRobin,
}

/// The log output.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// The lowest severity of the lines that are written.
    pub level: Level,
    /// The format of the lines.
    pub format: Format,
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path)
            .map_err(|cause| SettingsError::Unreadable { path: path.to_owned(), cause })?;
        Self::parse(&text).map_err(|cause| SettingsError::Invalid { path: path.to_owned(), cause })
    }

    /// Parses and validates settings in TOML. The error names the line.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the core's settings for shards.
    pub fn shard_settings(&self) -> ShardSettings {
        let defaults = ShardSettings::default();
        let value_or = |given: Option<Millis>, default| given.map_or(default, Millis::get);
        let given = &self.shards;
        ShardSettings {
            shard_lease: value_or(given.shard_lease_ms, defaults.shard_lease),
            task_lease: value_or(given.task_lease_ms, defaults.task_lease),
            sync_interval: value_or(given.sync_interval_ms, defaults.sync_interval),
            commit_interval: value_or(given.commit_interval_ms, defaults.commit_interval),
            detached_renewal: value_or(given.detached_renewal_ms, defaults.detached_renewal),
            ..defaults
        }
    }

    /// Returns the core's settings for routing.
    pub fn router_settings(&self) -> RouterSettings {
        RouterSettings::builder()
            .zone(self.zone.clone())
            .slots_per_endpoint(self.requests.slots_per_endpoint)
            .connections_per_endpoint(self.requests.connections_per_endpoint)
            .max_queue_wait(self.requests.max_queue_wait_ms.get())
            .limits(self.requests.limits)
            .build()
    }

    /// Checks constraints that involve several settings or can't be expressed by a type.
    fn check(&self) -> Result<(), String> {
        let shards = self.shard_settings();
        if shards.task_lease < shards.sync_interval * 3 {
            return Err(format!(
                "[shards] task_lease_ms is {} but must be at least three times sync_interval_ms, which is {}",
                shards.task_lease.as_millis(),
                shards.sync_interval.as_millis()
            ));
        }
        if self.shards.racks_per_shard == 0 {
            return Err("[shards] racks_per_shard is 0 but must be at least 1".to_owned());
        }
        if self.requests.default_timeout_ms.get() > self.requests.max_timeout_ms.get() {
            return Err("[requests] default_timeout_ms is above max_timeout_ms".to_owned());
        }
        if self.requests.max_header_bytes < 8 * 1024 {
            return Err("[requests] max_header_bytes must be at least 8192".to_owned());
        }
        if self.requests.max_buffered_memory_bytes < MIN_BUFFERED_MEMORY {
            return Err("[requests] max_buffered_memory_bytes must be at least 1048576".to_owned());
        }
        Ok(())
    }
}

fn default_table_timeout() -> Millis {
    Millis(Duration::from_millis(1_000))
}

fn default_box_list_poll() -> Millis {
    Millis(Duration::from_millis(1_000))
}

fn default_worker_timeout() -> Millis {
    Millis(Duration::from_millis(1_000))
}
