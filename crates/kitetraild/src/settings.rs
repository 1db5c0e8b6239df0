//! The settings of a daemon, read from TOML and checked before anything starts.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use kitetrail_core::{BoxId, TeamId, ZoneId, routing::RouterSettings, shard::ShardSettings};
use serde::{Deserialize, Deserializer, de};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

use crate::logging::{Format, Level};

/// The longest time a setting may give, in milliseconds: one day.
const MAX_MS: u64 = 24 * 60 * 60 * 1_000;

/// Settings that can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {cause}; give the path of a readable file with --settings", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        cause: io::Error,
    },
    /// The text is wrong.
    #[error("{}: {cause}\nMend the line shown; docs/operators/settings.md lists every setting.", .path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong, with its line.
        cause: String,
    },
}

/// A span of time, given in milliseconds, that is neither zero nor absurd.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Millis(Duration);

impl Millis {
    /// The span.
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
    /// Where to listen.
    pub listen: Listen,
    /// Where the platform's services are.
    pub platform: Platform,
    /// How shards are owned.
    #[serde(default)]
    pub shards: Shards,
    /// How requests are served.
    #[serde(default)]
    pub requests: Requests,
    /// Who may change what.
    #[serde(default)]
    pub operators: Operators,
    /// The log.
    #[serde(default)]
    pub log: Log,
}

/// Where to listen.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For the other daemons.
    pub peers: SocketAddr,
}

/// Where the platform's services are.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The table service.
    pub table: SocketAddr,
    /// The box list.
    pub box_list: SocketAddr,
    /// How long an answer of the table may take.
    #[serde(default = "default_table_timeout")]
    pub table_timeout_ms: Millis,
    /// How often the box list is read.
    #[serde(default = "default_box_list_poll")]
    pub box_list_poll_ms: Millis,
    /// How long an answer of a worker may take.
    #[serde(default = "default_worker_timeout")]
    pub worker_timeout_ms: Millis,
}

/// How shards are owned. What isn't given has the default of the core.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Shards {
    /// How a task's worker is chosen.
    pub placer: PlacerChoice,
    /// How many racks make up a shard.
    pub racks_per_shard: u16,
    /// How long a shard's row must stay unchanged before another box takes over.
    pub shard_lease_ms: Option<Millis>,
    /// How long a task may run without a renewal.
    pub task_lease_ms: Option<Millis>,
    /// How often a worker is spoken to.
    pub sync_interval_ms: Option<Millis>,
    /// The least time between two commits of an owner.
    pub commit_interval_ms: Option<Millis>,
    /// How long jobs and watchers are renewed without the table.
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

/// How a task's worker is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacerChoice {
    /// By the least expected harm, with relief under pressure.
    #[default]
    InterferenceAware,
    /// The first with room, without relief, as a baseline.
    FirstFit,
}

/// How requests are served.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Requests {
    /// How a request's endpoint is chosen.
    pub balancer: BalancerChoice,
    /// Whether limits, the queue and ejection are in force. Off for a baseline only.
    pub limits: bool,
    /// How long a request may take if its caller doesn't say.
    pub default_timeout_ms: Millis,
    /// The longest a caller may ask for.
    pub max_timeout_ms: Millis,
    /// The longest a request may wait for an endpoint.
    pub max_queue_wait_ms: Millis,
    /// The most connections of callers.
    pub max_connections: usize,
    /// How long a caller may take to send its headers.
    pub header_timeout_ms: Millis,
    /// The most bytes of a request's headers.
    pub max_header_bytes: usize,
    /// The most bytes of a request's body.
    pub max_body_bytes: u64,
    /// How many requests an endpoint runs at a time.
    pub slots_per_endpoint: u32,
    /// How many connections an endpoint accepts from all boxes together.
    pub connections_per_endpoint: u32,
    /// How long the answer to a call with a key is kept for repeats.
    pub call_retention_ms: Millis,
    /// How long a planned stop may take.
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
            slots_per_endpoint: 8,
            connections_per_endpoint: 60,
            call_retention_ms: ms(3_600_000),
            drain_timeout_ms: ms(30_000),
        }
    }
}

/// Who may change what. Without tokens anyone who reaches the address may do anything.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operators {
    /// The tokens that are taken.
    pub tokens: Vec<Token>,
}

/// A token, known by its digest alone.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Token {
    /// Whose it is, for the record.
    pub name: String,
    /// The SHA-256 of the token, as 64 hexadecimal digits.
    pub sha256: Digest,
    /// What its bearer may do.
    pub role: OperatorRole,
    /// The team whose specs its bearer may change. All, if left out.
    pub team: Option<TeamId>,
}

/// What a token's bearer may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRole {
    /// Look and change.
    Operator,
    /// Look.
    ReadOnly,
}

/// A SHA-256 digest in lower-case hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest(String);

impl Digest {
    /// The digest of a token.
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

/// How a request's endpoint is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BalancerChoice {
    /// By the shortest expected wait among a few random ones.
    #[default]
    PowerOfTwo,
    /// One after the other, as a baseline.
    RoundRobin,
}

/// The log.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// From which severity on lines are written.
    pub level: Level,
    /// How lines are written.
    pub format: Format,
}

impl Settings {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path)
            .map_err(|cause| SettingsError::Unreadable { path: path.to_owned(), cause })?;
        Self::parse(&text).map_err(|cause| SettingsError::Invalid { path: path.to_owned(), cause })
    }

    /// Reads and checks a text. The error names the line.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    /// The core's settings for shards.
    pub fn shard_settings(&self) -> ShardSettings {
        let defaults = ShardSettings::default();
        let or = |given: Option<Millis>, default| given.map_or(default, Millis::get);
        let given = &self.shards;
        ShardSettings {
            shard_lease: or(given.shard_lease_ms, defaults.shard_lease),
            task_lease: or(given.task_lease_ms, defaults.task_lease),
            sync_interval: or(given.sync_interval_ms, defaults.sync_interval),
            commit_interval: or(given.commit_interval_ms, defaults.commit_interval),
            detached_renewal: or(given.detached_renewal_ms, defaults.detached_renewal),
            ..defaults
        }
    }

    /// The core's settings for routing.
    pub fn router_settings(&self) -> RouterSettings {
        RouterSettings::builder()
            .zone(self.zone.clone())
            .slots_per_endpoint(self.requests.slots_per_endpoint)
            .connections_per_endpoint(self.requests.connections_per_endpoint)
            .max_queue_wait(self.requests.max_queue_wait_ms.get())
            .limits(self.requests.limits)
            .build()
    }

    /// Checks what no single setting shows.
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
