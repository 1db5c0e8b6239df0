//! The settings of a box of the fleet.

use std::{net::SocketAddr, time::Duration};

use kitetrail_core::{jobs::LoadParts, succession::BoxStrength};

use super::ConnectionLimits;
use crate::admission::MachineLimits;

/// The addresses on which a box listens.
#[derive(Debug, Clone)]
pub struct Listen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address of the readiness check.
    pub ready: SocketAddr,
    /// The address for other boxes.
    pub peers: SocketAddr,
    /// The address of the metrics.
    pub metrics: SocketAddr,
}

/// The settings of a box of the fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// The box's name.
    pub box_name: String,
    /// The addresses on which the box listens.
    pub listen: Listen,
    /// The path of the readiness check.
    pub ready_path: String,
    /// The interval at which workers renew their entries in the list.
    pub worker_heartbeat: Duration,
    /// The longest lease that workers grant.
    pub max_lease: Duration,
    /// The time for which the state of an ended job remains available.
    pub ended_job_retention: Duration,
    /// The number of workers that the box can manage as the owner.
    pub strength: BoxStrength,
    /// The limits of the machine.
    pub machine: MachineLimits,
    /// The timeouts of connections.
    pub limits: ConnectionLimits,
    /// The time within which a box must stop after it was asked to.
    pub stop_timeout: Duration,
    /// The parts of scheduling under load that are in use.
    pub parts: LoadParts,
}
