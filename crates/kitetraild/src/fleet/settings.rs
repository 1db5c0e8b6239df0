//! What a box of the fleet is told at its start.

use std::{net::SocketAddr, time::Duration};

use kitetrail_core::succession::BoxStrength;

use super::ConnectionLimits;

/// Where a box answers.
#[derive(Debug, Clone)]
pub struct Listen {
    /// Callers.
    pub callers: SocketAddr,
    /// The question whether it takes new connections.
    pub ready: SocketAddr,
    /// Other boxes.
    pub peers: SocketAddr,
    /// Counters, and how things stand.
    pub metrics: SocketAddr,
}

/// What a box of the fleet is told at its start.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// The box's name.
    pub box_name: String,
    /// Where it answers.
    pub listen: Listen,
    /// The path of the question whether it takes new connections.
    pub ready_path: String,
    /// How often workers renew their entries in the list.
    pub worker_heartbeat: Duration,
    /// The longest lease that workers grant.
    pub longest_lease: Duration,
    /// How long the state of a job that ended is told.
    pub remember_ended: Duration,
    /// How many workers the box can own.
    pub strength: BoxStrength,
    /// How long connections may be silent.
    pub limits: ConnectionLimits,
    /// How long a box that is told to stop may take.
    pub stop_within: Duration,
}
