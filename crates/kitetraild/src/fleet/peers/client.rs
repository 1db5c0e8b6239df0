//! Calls to other boxes.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

use kitetrail_proto::jobs::{
    Config, FetchConfigRequest, PingAnswer, PingRequest, ReachStoreRequest, TakeOverAnswer,
    TakeOverRequest, jobs_client::JobsClient,
};
use tokio::time;
use tonic::{
    Response, Status,
    transport::{Channel, Endpoint},
};

use super::{
    super::{
        calls::{Answer, Call},
        shared::OwnerView,
    },
    CALL_LIMIT,
    codec::{call_request, decode_answer},
};

/// How long a connection to a box may take to be made. Chosen, not measured.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Connections to other boxes, made when first needed.
#[derive(Debug, Default)]
pub(in crate::fleet) struct PeerClients {
    channels: RefCell<HashMap<SocketAddr, Channel>>,
}

impl PeerClients {
    /// Brings a caller's request to the owner. Returns also which owner the asked box believes in.
    pub(in crate::fleet) async fn call(
        &self,
        peer: SocketAddr,
        call: &Call,
        within: Duration,
    ) -> (Answer, OwnerView) {
        let (Some(request), Ok(mut client)) = (call_request(call), self.client(peer)) else {
            return (Answer::NotRun, OwnerView::default());
        };
        match time::timeout(within, client.call(request)).await {
            Ok(Ok(answer)) => {
                let answer = answer.into_inner();
                let view = OwnerView::told(answer.epoch, &answer.owner_address);
                (decode_answer(answer.outcome()), view)
            }
            Ok(Err(status)) => {
                log::debug!(peer = peer.to_string(); "peer: a call failed: {status}");
                (Answer::InDoubt, OwnerView::default())
            }
            Err(_) => (Answer::InDoubt, OwnerView::default()),
        }
    }

    /// Asks a box how it stands.
    pub(in crate::fleet) async fn ping(
        &self,
        peer: SocketAddr,
        request: PingRequest,
        within: Duration,
    ) -> Result<PingAnswer, Status> {
        let mut client = self.client(peer)?;
        answer_within(within, client.ping(request)).await
    }

    /// Whether a box reaches the store, as it says in time.
    pub(in crate::fleet) async fn reaches_store(&self, peer: SocketAddr, within: Duration) -> bool {
        let Ok(mut client) = self.client(peer) else { return false };
        match time::timeout(within, client.reach_store(ReachStoreRequest {})).await {
            Ok(Ok(answer)) => answer.into_inner().reached,
            Ok(Err(status)) => {
                log::debug!(peer = peer.to_string(); "peer: can't be asked for the store: {status}");
                false
            }
            Err(_) => false,
        }
    }

    /// Asks a box to own the fleet after the owner of an epoch, which has stopped.
    pub(in crate::fleet) async fn take_over(
        &self,
        peer: SocketAddr,
        epoch: u64,
        within: Duration,
    ) -> Result<TakeOverAnswer, Status> {
        let mut client = self.client(peer)?;
        answer_within(within, client.take_over(TakeOverRequest { epoch })).await
    }

    /// Asks a box for its configuration.
    pub(in crate::fleet) async fn fetch_config(&self, peer: SocketAddr) -> Result<Config, Status> {
        self.client(peer)?.fetch_config(FetchConfigRequest {}).await.map(Response::into_inner)
    }

    /// Tells a box a configuration.
    pub(in crate::fleet) async fn offer_config(
        &self,
        peer: SocketAddr,
        config: Config,
    ) -> Result<(), Status> {
        self.client(peer)?.offer_config(config).await.map(|_| ())
    }

    fn client(&self, peer: SocketAddr) -> Result<JobsClient<Channel>, Status> {
        let mut channels = self.channels.borrow_mut();
        if let Some(channel) = channels.get(&peer) {
            return Ok(JobsClient::new(channel.clone()));
        }
        let endpoint = Endpoint::from_shared(format!("http://{peer}"))
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_LIMIT);
        let channel = endpoint.tcp_nodelay(true).connect_lazy();
        channels.insert(peer, channel.clone());
        Ok(JobsClient::new(channel))
    }
}

/// What a call brings within a time; an error that says so if that is nothing.
async fn answer_within<T>(
    limit: Duration,
    call: impl Future<Output = Result<Response<T>, Status>>,
) -> Result<T, Status> {
    match time::timeout(limit, call).await {
        Ok(answer) => answer.map(Response::into_inner),
        Err(_) => Err(Status::deadline_exceeded("nothing came in time")),
    }
}
