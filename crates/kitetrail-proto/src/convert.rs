//! Conversions between messages and the types of `kitetrail-core`.

use std::net::{AddrParseError, SocketAddr};

use kitetrail_core::{
    Epoch, InvalidId,
    config::Revision,
    membership::Heartbeat,
    shard::{EndpointSet, PlacedEndpoint},
};
use thiserror::Error;

use crate::peer;

/// The error of a message that can't be converted.
#[derive(Debug, Error)]
pub enum MessageError {
    /// A name is invalid.
    #[error("a peer sent a bad name: {0}")]
    Name(#[from] InvalidId),
    /// An address is invalid.
    #[error("a peer sent a bad address: {0}")]
    Address(#[from] AddrParseError),
    /// A configuration can't be converted from or to JSON.
    #[error("a peer sent a configuration that can't be read: {0}")]
    Configuration(#[from] serde_json::Error),
}

impl From<Heartbeat> for peer::Heartbeat {
    fn from(heartbeat: Heartbeat) -> Self {
        let Heartbeat { id, incarnation, beat, leaving, revision } = heartbeat;
        Self { box_id: id.to_string(), incarnation, beat, leaving, revision }
    }
}

impl TryFrom<peer::Heartbeat> for Heartbeat {
    type Error = MessageError;

    fn try_from(message: peer::Heartbeat) -> Result<Self, MessageError> {
        let peer::Heartbeat { box_id, incarnation, beat, leaving, revision } = message;
        Ok(Self { id: box_id.parse()?, incarnation, beat, leaving, revision })
    }
}

impl From<EndpointSet> for peer::EndpointSet {
    fn from(set: EndpointSet) -> Self {
        let endpoints = set.endpoints.into_iter().map(|endpoint| peer::Endpoint {
            service: endpoint.service.to_string(),
            worker: endpoint.worker.to_string(),
            zone: endpoint.zone.to_string(),
            address: endpoint.address.to_string(),
            leaving: endpoint.leaving,
        });
        Self {
            shard: set.shard.to_string(),
            epoch: set.epoch.0,
            sequence: set.sequence,
            endpoints: endpoints.collect(),
        }
    }
}

impl TryFrom<peer::EndpointSet> for EndpointSet {
    type Error = MessageError;

    fn try_from(message: peer::EndpointSet) -> Result<Self, MessageError> {
        let endpoints = message.endpoints.into_iter().map(|endpoint| {
            Ok(PlacedEndpoint {
                service: endpoint.service.parse()?,
                worker: endpoint.worker.parse()?,
                zone: endpoint.zone.parse()?,
                address: endpoint.address.parse::<SocketAddr>()?,
                leaving: endpoint.leaving,
            })
        });
        Ok(Self {
            shard: message.shard.parse()?,
            epoch: Epoch(message.epoch),
            sequence: message.sequence,
            endpoints: endpoints.collect::<Result<_, MessageError>>()?,
        })
    }
}

impl TryFrom<&Revision> for peer::Revision {
    type Error = MessageError;

    fn try_from(revision: &Revision) -> Result<Self, MessageError> {
        Ok(Self {
            number: revision.number,
            author: revision.author.clone(),
            change: revision.change.clone(),
            configuration_json: serde_json::to_string(&revision.configuration)?,
        })
    }
}

impl TryFrom<peer::Revision> for Revision {
    type Error = MessageError;

    fn try_from(message: peer::Revision) -> Result<Self, MessageError> {
        let peer::Revision { number, author, change, configuration_json } = message;
        let configuration = serde_json::from_str(&configuration_json)?;
        Ok(Self { number, author, change, configuration })
    }
}
