//! Defines resource sizes: processor time, memory, accelerators and combinations of them.

use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The error returned when a size can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{text}` is not a valid size: write {expected}")]
pub struct InvalidSize {
    /// The text that could not be parsed.
    pub text: String,
    /// The expected form.
    pub expected: &'static str,
}

/// Processor time, in thousandths of a core.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CpuMillis(pub u32);

impl Display for CpuMillis {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}m", self.0)
    }
}

impl FromStr for CpuMillis {
    type Err = InvalidSize;

    fn from_str(s: &str) -> Result<Self, InvalidSize> {
        let invalid = || InvalidSize {
            text: s.to_owned(),
            expected: "cores as `2` or thousandths as `500m`",
        };
        let millis = match s.strip_suffix('m') {
            Some(millis) => millis.parse::<u32>().ok(),
            None => s.parse::<u32>().ok().and_then(|cores| cores.checked_mul(1_000)),
        };
        millis.map(Self).ok_or_else(invalid)
    }
}

/// Memory, in mebibytes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemoryMb(pub u32);

impl Display for MemoryMb {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}MiB", self.0)
    }
}

impl FromStr for MemoryMb {
    type Err = InvalidSize;

    fn from_str(s: &str) -> Result<Self, InvalidSize> {
        let invalid = || InvalidSize { text: s.to_owned(), expected: "`512MiB` or `4GiB`" };
        let (digits, factor) = match s.strip_suffix("GiB") {
            Some(digits) => (digits, 1_024),
            None => (s.strip_suffix("MiB").ok_or_else(invalid)?, 1),
        };
        let count = digits.parse::<u32>().map_err(|_| invalid())?;
        count.checked_mul(factor).map(Self).ok_or_else(invalid)
    }
}

/// A number of bytes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ByteSize(pub u64);

impl ByteSize {
    /// The units and their sizes in bytes, the largest first.
    const UNITS: [(&str, u64); 3] = [("MiB", 1_024 * 1_024), ("KiB", 1_024), ("B", 1)];
}

impl Display for ByteSize {
    /// Writes the size in the largest unit of which it is a whole multiple.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let whole =
            Self::UNITS.iter().find(|(_, bytes)| self.0.is_multiple_of(*bytes) && self.0 > 0);
        let (unit, bytes) = whole.unwrap_or(&("B", 1));
        write!(f, "{}{unit}", self.0 / bytes)
    }
}

impl FromStr for ByteSize {
    type Err = InvalidSize;

    fn from_str(s: &str) -> Result<Self, InvalidSize> {
        let parse = |(unit, bytes): &(&str, u64)| {
            let count = s.strip_suffix(unit)?.parse::<u64>().ok()?;
            count.checked_mul(*bytes).map(Self)
        };
        let invalid =
            || InvalidSize { text: s.to_owned(), expected: "`64MiB`, `512KiB` or `100B`" };
        Self::UNITS.iter().find_map(parse).ok_or_else(invalid)
    }
}

/// A number of whole accelerators.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Accelerators(pub u16);

impl Display for Accelerators {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Accelerators {
    type Err = InvalidSize;

    fn from_str(s: &str) -> Result<Self, InvalidSize> {
        let expected = "a whole number of accelerators as `1`";
        s.parse().map(Self).map_err(|_| InvalidSize { text: s.to_owned(), expected })
    }
}

/// The resources of a worker, or those that a task needs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time.
    pub cpu_millis: CpuMillis,
    /// Memory.
    pub memory_mb: MemoryMb,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: Accelerators,
}

impl Resources {
    /// Returns resources of the given sizes.
    pub const fn new(cpu_millis: u32, memory_mb: u32, accelerators: u16) -> Self {
        Self {
            cpu_millis: CpuMillis(cpu_millis),
            memory_mb: MemoryMb(memory_mb),
            accelerators: Accelerators(accelerators),
        }
    }

    /// Returns whether `self` is no larger than `available` in every dimension.
    pub fn fits_in(&self, available: &Resources) -> bool {
        self.cpu_millis <= available.cpu_millis
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// Returns the rest of `self` without `used`, or `None` if `used` does not fit.
    pub fn checked_sub(&self, used: &Resources) -> Option<Resources> {
        Some(Resources {
            cpu_millis: CpuMillis(self.cpu_millis.0.checked_sub(used.cpu_millis.0)?),
            memory_mb: MemoryMb(self.memory_mb.0.checked_sub(used.memory_mb.0)?),
            accelerators: Accelerators(self.accelerators.0.checked_sub(used.accelerators.0)?),
        })
    }

    /// Returns the sum of both, saturating in each dimension.
    pub fn saturating_add(&self, other: &Resources) -> Resources {
        Resources {
            cpu_millis: CpuMillis(self.cpu_millis.0.saturating_add(other.cpu_millis.0)),
            memory_mb: MemoryMb(self.memory_mb.0.saturating_add(other.memory_mb.0)),
            accelerators: Accelerators(self.accelerators.0.saturating_add(other.accelerators.0)),
        }
    }
}

impl Display for Resources {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "cpu={} memory={} acc={}", self.cpu_millis, self.memory_mb, self.accelerators)
    }
}

#[cfg(test)]
mod tests;
