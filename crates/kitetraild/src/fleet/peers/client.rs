//! Calls to other boxes.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use kitetrail_platform::{SilenceCounts, within};
use kitetrail_proto::jobs::{
    Config, FetchConfigRequest, PingAnswer, PingRequest, ReachStoreRequest, TakeOverAnswer,
    TakeOverRequest,
};
use tokio::time;
use tonic::{Response, Status};

use super::{
    super::{
        ConnectionLimits,
        calls::{Answer, Call},
        shared::OwnerView,
    },
    channel::{PeerChannel, PeerChannels},
    codec::{call_request, decode_answer},
};

/// Speaks to other boxes.
#[derive(Debug)]
pub(in crate::fleet) struct PeerClients {
    limits: ConnectionLimits,
    channels: PeerChannels,
}

impl PeerClients {
    /// A client to all boxes, which counts connections that were found silent.
    pub(in crate::fleet) fn new(limits: ConnectionLimits, silences: SilenceCounts) -> Self {
        let channels = PeerChannels::new(limits.peer_trusted_for, silences);
        Self { limits, channels }
    }

    /// Brings a caller's request to the owner. Returns also which owner the asked box believes in.
    ///
    /// Pings tell whether a connection is silent, since the owner may have to wait for the store. Then
    /// the call ends in doubt at once, so that it can be made again.
    pub(in crate::fleet) async fn call(
        &self,
        peer: SocketAddr,
        call: &Call,
        within: Duration,
    ) -> (Answer, OwnerView) {
        let (Some(request), Ok(channel)) = (call_request(call), self.channels.to(peer)) else {
            return (Answer::NotRun, OwnerView::default());
        };
        let mut client = channel.client();
        let answer = tokio::select! {
            answer = answer_within(within, client.call(request)) => answer,
            () = channel.replaced() => Err(silent()),
        };
        match answer {
            Ok(answer) => {
                channel.note_heard();
                let view = OwnerView::told(answer.epoch, &answer.owner_address);
                (decode_answer(answer.outcome()), view)
            }
            Err(status) => {
                log::debug!(peer = peer.to_string(); "peer: a call failed: {status}");
                (Answer::InDoubt, OwnerView::default())
            }
        }
    }

    /// Asks a box how it stands.
    pub(in crate::fleet) async fn ping(
        &self,
        peer: SocketAddr,
        request: PingRequest,
    ) -> Result<PingAnswer, Status> {
        let channel = self.channels.to(peer)?;
        let mut client = channel.client();
        self.prompt(&channel, self.limits.ping_timeout, client.ping(request)).await
    }

    /// Whether a box reaches the store, as it says in time.
    pub(in crate::fleet) async fn reaches_store(&self, peer: SocketAddr, within: Duration) -> bool {
        let Ok(channel) = self.channels.to(peer) else { return false };
        let mut client = channel.client();
        match answer_within(within, client.reach_store(ReachStoreRequest {})).await {
            Ok(answer) => {
                channel.note_heard();
                answer.reached
            }
            Err(status) => {
                log::debug!(peer = peer.to_string(); "peer: can't be asked for the store: {status}");
                false
            }
        }
    }

    /// Asks a box to own the fleet after the owner of an epoch, which has stopped.
    pub(in crate::fleet) async fn take_over(
        &self,
        peer: SocketAddr,
        epoch: u64,
        within: Duration,
    ) -> Result<TakeOverAnswer, Status> {
        let channel = self.channels.to(peer)?;
        let mut client = channel.client();
        let answer = answer_within(within, client.take_over(TakeOverRequest { epoch })).await;
        answer.inspect(|_| channel.note_heard())
    }

    /// Asks a box for its configuration.
    pub(in crate::fleet) async fn fetch_config(&self, peer: SocketAddr) -> Result<Config, Status> {
        let channel = self.channels.to(peer)?;
        let mut client = channel.client();
        let fetched = client.fetch_config(FetchConfigRequest {});
        self.prompt(&channel, self.limits.peer_timeout, fetched).await
    }

    /// Tells a box a configuration.
    pub(in crate::fleet) async fn offer_config(
        &self,
        peer: SocketAddr,
        config: Config,
    ) -> Result<(), Status> {
        let channel = self.channels.to(peer)?;
        let mut client = channel.client();
        let offered = client.offer_config(config);
        self.prompt(&channel, self.limits.peer_timeout, offered).await.map(|_| ())
    }

    /// What a call brings that a box answers at once. If nothing comes in time, its connection is
    /// taken for silent.
    async fn prompt<T>(
        &self,
        channel: &Rc<PeerChannel>,
        limit: Duration,
        call: impl Future<Output = Result<Response<T>, Status>>,
    ) -> Result<T, Status> {
        match within(limit, call).await {
            Some(answer) => {
                channel.note_heard();
                answer.map(Response::into_inner)
            }
            None => {
                self.channels.distrust(channel, limit);
                Err(silent())
            }
        }
    }
}

/// What a call brings within a time; an error that says so if that is nothing.
async fn answer_within<T>(
    limit: Duration,
    call: impl Future<Output = Result<Response<T>, Status>>,
) -> Result<T, Status> {
    match time::timeout(limit, call).await {
        Ok(answer) => answer.map(Response::into_inner),
        Err(_) => Err(silent()),
    }
}

/// What stands for an answer that did not come.
fn silent() -> Status {
    Status::deadline_exceeded("nothing came in time")
}
