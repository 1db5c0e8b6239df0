//! What other boxes said of their speed.

use std::collections::BTreeMap;

use super::WorkTime;
use crate::{Time, succession::BoxStrength};

/// What a box said of its speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoxSpeed {
    /// The number of workers that the box can own.
    pub strength: BoxStrength,
    /// The time that the box takes for the reference work.
    pub work_time: WorkTime,
    /// The time when the box said so.
    pub reported_at: Time,
}

/// The speeds of other boxes, by address.
#[derive(Debug)]
pub struct BoxSpeeds<K> {
    boxes: BTreeMap<K, BoxSpeed>,
}

impl<K> Default for BoxSpeeds<K> {
    fn default() -> Self {
        Self { boxes: BTreeMap::new() }
    }
}

impl<K: Ord + Copy> BoxSpeeds<K> {
    /// Returns what a box said last, if it said anything.
    pub fn get(&self, key: K) -> Option<BoxSpeed> {
        self.boxes.get(&key).copied()
    }

    /// Records what a box said. A box that says nothing has no known speed any more.
    pub fn record(&mut self, key: K, speed: Option<BoxSpeed>) {
        match speed {
            Some(speed) => self.boxes.insert(key, speed),
            None => self.boxes.remove(&key),
        };
    }
}
