//! Answers operators' requests from the control loop's state or by starting an operation.

use std::rc::Rc;

use kitetrail_core::{ShardId, Time, config::Revision};
use kitetrail_proto::peer;
use tokio::sync::mpsc;

use super::Control;
use crate::{
    control::{
        ControlMessage, OperatorRequest, PeerMessage,
        operations::Operations,
        requests::{Author, BoxRevision, BoxStatus, OperatorError},
    },
    peers::PeerClients,
};

impl Control {
    pub(super) fn handle_operator(&mut self, request: OperatorRequest) {
        let now = self.clock.now();
        match request {
            OperatorRequest::Ready(reply) => {
                let _ = reply.send(self.is_ready());
            }
            OperatorRequest::Status(reply) => {
                let _ = reply.send(Ok(self.status(now)));
            }
            OperatorRequest::Boxes(reply) => {
                let message = "the box list was not read yet; try again".to_owned();
                let fleet = self.fleet.clone();
                let _ = reply.send(fleet.ok_or(OperatorError::Unavailable { message }));
            }
            OperatorRequest::Configuration(reply) => {
                let message = "no configuration was accepted yet".to_owned();
                let revision = self.configuration.revision().cloned();
                let _ = reply.send(revision.ok_or(OperatorError::NotFound { message }));
            }
            OperatorRequest::ConfigurationStatus(reply) => {
                let _ = reply.send(Ok(self.box_revisions(now)));
            }
            request => self.start_operation(request),
        }
    }

    /// Starts a request that accesses the table.
    pub(super) fn start_operation(&self, request: OperatorRequest) {
        let operations = Operations {
            table: self.table.clone(),
            fleet: self.fleet.clone().unwrap_or_default(),
            racks_per_shard: self.settings.shards.racks_per_shard,
        };
        let (peers, sender) = (Rc::clone(&self.peers), self.sender.clone());
        let addresses: Vec<_> = self.membership.peers().map(|info| info.peer).collect();
        tokio::task::spawn_local(async move {
            let wake_shard_owners = |shards: Vec<ShardId>| {
                wake_shard_owners(peers.clone(), addresses.clone(), sender.clone(), shards)
            };
            match request {
                OperatorRequest::List(kind, reply) => {
                    let _ = reply.send(operations.list(kind).await);
                }
                OperatorRequest::Show(name, reply) => {
                    let _ = reply.send(operations.show(&name).await);
                }
                OperatorRequest::History(reply) => {
                    let _ = reply.send(operations.history().await);
                }
                OperatorRequest::Audit(reply) => {
                    let _ = reply.send(operations.audit().await);
                }
                OperatorRequest::Create(author, spec, reply) => {
                    let result = operations.create(&author, spec).await;
                    if let Ok(row) = &result {
                        let Author { who, change, .. } = &author;
                        log::info!("operator: {who} created {} by {change}", row.spec.name);
                        wake_shard_owners(row.shards.clone());
                    }
                    let _ = reply.send(result);
                }
                OperatorRequest::Cancel(author, name, reply) => {
                    let result = operations.cancel(&author, &name).await;
                    if let Ok(row) = &result {
                        let Author { who, change, .. } = &author;
                        log::info!("operator: {who} cancelled {name} by {change}");
                        wake_shard_owners(row.shards.clone());
                    }
                    let _ = reply.send(result);
                }
                OperatorRequest::Configure(new, reply) => {
                    let result = operations.configure(new).await;
                    if let Ok(revision) = &result {
                        announce_revision(&peers, &addresses, &sender, revision).await;
                    }
                    let _ = reply.send(result);
                }
                OperatorRequest::Ready(_)
                | OperatorRequest::Status(_)
                | OperatorRequest::Boxes(_)
                | OperatorRequest::Configuration(_)
                | OperatorRequest::ConfigurationStatus(_) => {}
            }
        });
    }

    pub(super) fn status(&self, now: Time) -> BoxStatus {
        let members = self.membership.members().map(|member| &member.heartbeat.id);
        BoxStatus {
            box_id: self.settings.box_id.clone(),
            revision: self.configuration.number(),
            shards: self.shards.values().map(|shard| shard.view(now)).collect(),
            services: self.router.borrow().service_views(now),
            boxes_up: members.filter(|id| self.membership.is_up(id, now)).cloned().collect(),
            requests: self.router.borrow().request_count(),
        }
    }

    pub(super) fn box_revisions(&self, now: Time) -> Vec<BoxRevision> {
        let members = self.membership.members();
        let box_revisions = members.map(|member| {
            let box_id = member.heartbeat.id.clone();
            let is_self = box_id == self.settings.box_id;
            BoxRevision {
                revision: if is_self {
                    self.configuration.number()
                } else {
                    member.heartbeat.revision
                },
                age_ms: if is_self {
                    0
                } else {
                    now.since(member.heartbeat_advanced_at).as_millis() as u64
                },
                up: self.membership.is_up(&box_id, now),
                box_id,
            }
        });
        box_revisions.collect()
    }
}

/// Notifies the owners of shards that their inboxes hold new items.
fn wake_shard_owners(
    peers: Rc<PeerClients>,
    addresses: Vec<std::net::SocketAddr>,
    sender: mpsc::Sender<ControlMessage>,
    shards: Vec<ShardId>,
) {
    tokio::task::spawn_local(async move {
        for shard in shards {
            let message = ControlMessage::Peer(PeerMessage::Wake(shard.to_string()));
            let _ = sender.send(message).await;
            for address in &addresses {
                let _ = peers.wake(*address, shard.to_string()).await;
            }
        }
    });
}

/// Announces an accepted revision to all boxes.
async fn announce_revision(
    peers: &Rc<PeerClients>,
    addresses: &[std::net::SocketAddr],
    sender: &mpsc::Sender<ControlMessage>,
    revision: &Revision,
) {
    let _ = sender.send(ControlMessage::Configuration(Some(revision.clone()))).await;
    let Ok(message) = peer::Revision::try_from(revision) else { return };
    for address in addresses.iter().copied() {
        let (peers, message) = (Rc::clone(peers), message.clone());
        tokio::task::spawn_local(async move { peers.announce(address, message).await });
    }
}
