//! Places waiting long-running tasks as soon as a report shows room for one of them.
//!
//! The platform counts room as unused from the moment at which a worker lists the end that freed it.
//! While many long-running tasks wait, room for the smaller ones becomes free all the time, and would
//! seem to be there for them all the time if it waited for the next regular pass.

use std::time::Duration;

use super::{super::instance::InstanceNo, Scheduler, free_capacity::FreeCapacity};
use crate::Resources;

/// The minimum interval between two passes where room for a waiting long-running task became free.
const MIN_INTERVAL: Duration = Duration::from_millis(2);
/// The owner's lag from which such room waits for the next regular pass, because passes take
/// processor time that the owner lacks.
const MAX_LAG: Duration = Duration::from_millis(10);

/// The long-running tasks that wait for room, and whether some became free for one of them.
#[derive(Debug, Default)]
pub(super) struct FreedRoom {
    /// The sizes of the tasks that found no room in the last pass, without those that need at least
    /// as much as another.
    wanted: Vec<Resources>,
    is_free: bool,
}

impl FreedRoom {
    /// Records the sizes of the long-running tasks that found no room in a pass.
    pub(super) fn record_pass(&mut self, wanted: Vec<Resources>) {
        *self = Self { wanted, is_free: false };
    }
}

impl Scheduler {
    /// Records whether a worker has room for a waiting long-running task after it listed ends.
    pub(super) fn record_freed_room(&mut self, instance_no: InstanceNo) {
        if self.freed_room.is_free || self.freed_room.wanted.is_empty() {
            return;
        }
        let now = self.now;
        let Some(instance) =
            self.instances.get_mut(instance_no).filter(|instance| instance.accepts_work(now))
        else {
            return;
        };
        if instance.free_capacity.is_none() {
            instance.free_capacity = Some(FreeCapacity::of(instance));
        }
        let free = instance.free_capacity.as_ref().map(|free_capacity| free_capacity.free.free);
        self.freed_room.is_free =
            free.is_some_and(|free| self.freed_room.wanted.iter().any(|size| size.fits_in(&free)));
    }

    /// Returns whether a pass is due because room for a waiting long-running task became free.
    pub(super) fn is_freed_room_due(&self) -> bool {
        self.freed_room.is_free
            && self.overload.lag() < MAX_LAG
            && self.now.since(self.last_placement_at) >= MIN_INTERVAL
    }
}
