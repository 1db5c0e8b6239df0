//! The endpoints known to the router, and the division of their slots among boxes.

use std::collections::BTreeSet;

use super::{KnownSet, Router};
use crate::{
    Time, WorkerId,
    routing::{Balancer, EndpointId, EndpointState, service::Service},
    shard::{EndpointSet, PlacedEndpoint},
};

impl<B: Balancer> Router<B> {
    /// Updates the number of boxes that share the endpoints, and the index of this box among
    /// them.
    pub fn set_boxes(&mut self, boxes: u32, box_index: u32) {
        let (boxes, box_index) = (boxes.max(1), box_index.min(boxes.saturating_sub(1)));
        if (boxes, box_index) == (self.boxes, self.box_index) {
            return;
        }
        (self.boxes, self.box_index) = (boxes, box_index);
        for index in 0..self.endpoints.len() {
            self.set_share(EndpointId(index));
        }
    }

    fn set_share(&mut self, id: EndpointId) {
        let share = self.share_of(id);
        let slots = f64::from(self.settings.slots_per_endpoint);
        let ceiling = f64::from(self.max_idle_connections());
        self.endpoints[id.0].set_share(share, slots, ceiling);
    }

    /// Returns the number of an endpoint's slots that are reserved for this box, at least one.
    ///
    /// The shares of all boxes add up to all slots, unless there are more boxes than slots. The
    /// boxes that get one slot more differ between endpoints, and all boxes agree on them.
    fn share_of(&self, id: EndpointId) -> f64 {
        let slots = self.settings.slots_per_endpoint;
        let address = self.endpoints[id.0].address.to_string();
        let start = xxhash_rust::xxh3::xxh3_64(address.as_bytes()) % u64::from(self.boxes);
        let offset = (start as u32 + self.box_index) % self.boxes;
        let share = slots / self.boxes + u32::from(offset < slots % self.boxes);
        f64::from(share.max(1))
    }

    /// Updates the workers that are leaving or dead according to the box list.
    pub fn set_leaving(&mut self, leaving: BTreeSet<WorkerId>, now: Time) {
        if self.leaving != leaving {
            self.leaving = leaving;
            self.rebuild_services(now);
        }
    }

    /// Updates the endpoints of a shard's services unless a newer set is known.
    pub fn set_endpoints(&mut self, set: EndpointSet, now: Time) {
        let known = self.sets.get(&set.shard);
        let newest = known.map(|known| (known.epoch, known.sequence)).unwrap_or_default();
        if (set.epoch, set.sequence) <= newest {
            return;
        }
        let unchanged = known.is_some_and(|known| known.endpoints == set.endpoints);
        let EndpointSet { shard, epoch, sequence, endpoints } = set;
        self.sets.insert(shard, KnownSet { epoch, sequence, endpoints });
        if !unchanged {
            self.rebuild_services(now);
        }
    }

    /// Rebuilds the endpoint lists of all services. The state of each endpoint is kept.
    fn rebuild_services(&mut self, now: Time) {
        for service in self.services.values_mut() {
            service.local.clear();
            service.remote.clear();
        }
        for endpoint in &mut self.endpoints {
            endpoint.leaving = true;
        }
        let mut seen = BTreeSet::new();
        let placed: Vec<PlacedEndpoint> =
            self.sets.values().flat_map(|set| set.endpoints.iter().cloned()).collect();
        for placed in placed {
            if !seen.insert((placed.service.clone(), placed.address)) {
                continue;
            }
            let key = (placed.service.clone(), placed.address);
            let id = *self.by_address.entry(key).or_insert_with(|| {
                let PlacedEndpoint { service, worker, zone, address, .. } = placed.clone();
                self.endpoints.push(EndpointState::new(service, worker, zone, address));
                EndpointId(self.endpoints.len() - 1)
            });
            self.set_share(id);
            let retry_percent = self.settings.retry_percent;
            let service = self.services.entry(placed.service.clone());
            let service = service.or_insert_with(|| Service::new(retry_percent, now));
            if placed.leaving || self.leaving.contains(&placed.worker) {
                continue;
            }
            self.endpoints[id.0].leaving = false;
            let zone_endpoints = match placed.zone == self.settings.zone {
                true => &mut service.local,
                false => &mut service.remote,
            };
            zone_endpoints.push(id);
        }
    }
}
