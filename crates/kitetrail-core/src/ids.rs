//! Defines identifiers. Each has its own type, so that one can't be used in place of another.

use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The maximum length of a name, in characters.
pub const MAX_NAME_LEN: usize = 63;

/// A name that does not follow the rules for names.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "`{0}` is not a valid name: use 1 to {MAX_NAME_LEN} lower-case letters, digits, dots and dashes, starting with a letter or digit"
)]
pub struct InvalidId(pub String);

/// Declares a newtype over a validated string that is cheap to clone.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidId;

            fn from_str(s: &str) -> Result<Self, InvalidId> {
                if is_valid_name(s) { Ok(Self(s.into())) } else { Err(InvalidId(s.to_owned())) }
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidId;

            fn try_from(s: String) -> Result<Self, InvalidId> {
                s.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.as_ref().to_owned()
            }
        }
    };
}

name_type! {
    /// The name of one of kitetrail's own boxes.
    BoxId
}
name_type! {
    /// The name of a worker.
    WorkerId
}
name_type! {
    /// The name of an availability zone.
    ZoneId
}
name_type! {
    /// The name of a team, to which a quota can apply.
    TeamId
}
name_type! {
    /// The name of a service, batch job or watcher.
    SpecName
}
name_type! {
    /// The class of a task. Tasks of the same class are expected to behave alike.
    TaskClass
}

/// Declares a newtype over a counter.
macro_rules! counter_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the next value.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                s.parse().map(Self)
            }
        }
    };
}

counter_type! {
    /// The epoch of a shard's owner. It increases with each takeover.
    Epoch(u64)
}
counter_type! {
    /// The number of a task's run. It increases each time the task returns to the queue.
    Attempt(u32)
}
counter_type! {
    /// The version of a row in the table service. Zero means that the row is absent.
    Version(u64)
}

/// Implements the text form `first:second`, also used for serialization, for a type of two parts.
macro_rules! colon_pair {
    ($name:ident { $first:ident, $second:ident }) => {
        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                write!(f, "{}:{}", self.$first, self.$second)
            }
        }

        impl FromStr for $name {
            type Err = InvalidId;

            fn from_str(s: &str) -> Result<Self, InvalidId> {
                let invalid = || InvalidId(s.to_owned());
                let (first, second) = s.split_once(':').ok_or_else(invalid)?;
                Ok(Self { $first: first.parse()?, $second: second.parse().map_err(|_| invalid())? })
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidId;

            fn try_from(s: String) -> Result<Self, InvalidId> {
                s.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.to_string()
            }
        }
    };
}

colon_pair!(ShardId { zone, index });
colon_pair!(TaskId { spec, index });

/// A set of racks in one availability zone that has one owner at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ShardId {
    /// The availability zone of the racks.
    pub zone: ZoneId,
    /// The position among the zone's shards, counted from zero.
    pub index: u16,
}

/// One task of a service, batch job or watcher.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskId {
    /// The service, job or watcher the task belongs to.
    pub spec: SpecName,
    /// The position among its tasks, counted from zero.
    pub index: u32,
}

/// The id of one write to the table, stored in each row that the write changes.
///
/// If the answer to a write is lost, reading one of its rows back and comparing the ids shows whether
/// it took effect.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct OpId(Arc<str>);

impl OpId {
    /// Returns the id of a writer's `sequence`th write.
    ///
    /// `incarnation` distinguishes the runs of a writer.
    pub fn new(writer: &BoxId, incarnation: u64, sequence: u64) -> Self {
        Self(format!("{writer}/{incarnation:x}/{sequence}").into())
    }

    /// Returns the id for a change whose id was chosen by an operator's tool.
    pub fn from_change(change: &str) -> Self {
        Self(change.into())
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<String> for OpId {
    fn from(s: String) -> Self {
        Self(s.into())
    }
}

impl From<OpId> for String {
    fn from(id: OpId) -> String {
        id.0.as_ref().to_owned()
    }
}

impl Display for OpId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn is_valid_name(s: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    (1..=MAX_NAME_LEN).contains(&s.len())
        && s.chars().all(allowed)
        && s.starts_with(|c: char| c.is_ascii_alphanumeric())
}
