//! Clients for calls to other boxes.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_platform::{SilenceCounts, within};
use kitetrail_proto::jobs::{
    Config, FetchConfigRequest, PingAnswer, PingRequest, ReachStoreRequest, TakeOverAnswer,
    TakeOverRequest,
};
use tokio::{sync::Semaphore, time};
use tonic::{Response, Status};

use super::{
    super::{
        ConnectionLimits,
        calls::{Answer, Call},
        shared::OwnerView,
    },
    channel::{PeerChannel, PeerChannels},
    codec::{call_bytes, decode_answer, encode_call},
};

/// The size up to which a call is short, in bytes.
const SHORT_CALL_BYTES: usize = 16 * 1_024;
/// The number of long calls that are sent at the same time. The owner holds a part of each from each box before it can
/// refuse any.
const MAX_LONG_CALLS: usize = 4;

/// The clients for all other boxes.
#[derive(Debug)]
pub(in crate::fleet) struct PeerClients {
    limits: ConnectionLimits,
    channels: PeerChannels,
    /// Limits the long calls that are sent at the same time.
    long_calls: Semaphore,
}

impl PeerClients {
    /// Creates the clients. Silent connections are counted in `silences`.
    pub(in crate::fleet) fn new(limits: ConnectionLimits, silences: SilenceCounts) -> Self {
        let channels = PeerChannels::new(limits.peer_max_idle, silences);
        Self { limits, channels, long_calls: Semaphore::new(MAX_LONG_CALLS) }
    }

    /// Forwards a caller's request to the owner. Also returns the owner that the called box knows.
    ///
    /// A slow answer does not show that the connection is silent, since the owner may have to wait for
    /// the store; pings detect that. When they do, this call returns [`Answer::InDoubt`] at once, so
    /// that it can be retried.
    pub(in crate::fleet) async fn call(
        &self,
        peer: SocketAddr,
        call: &Call,
        timeout: Duration,
    ) -> (Answer, OwnerView) {
        let not_run = (Answer::NotRun, OwnerView::default());
        let started = Instant::now();
        let Some(request) = encode_call(call) else { return not_run };
        let turn = match call_bytes(&request) > SHORT_CALL_BYTES {
            true => time::timeout(timeout, self.long_calls.acquire()).await.map(Some),
            false => Ok(None),
        };
        let Ok(_turn) = turn else { return not_run };
        let timeout = timeout.saturating_sub(started.elapsed());
        let Ok(channel) = self.channels.get_or_open(peer) else { return not_run };
        let mut client = channel.client();
        let answer = tokio::select! {
            answer = await_response(timeout, client.call(request)) => answer,
            () = channel.discarded() => Err(timed_out()),
        };
        match answer {
            Ok(answer) => {
                channel.record_response();
                let view = OwnerView::from_report(answer.epoch, &answer.owner_address);
                (decode_answer(&answer), view)
            }
            Err(status) => {
                log::debug!(peer = peer.to_string(); "peer: a call failed: {status}");
                (Answer::InDoubt, OwnerView::default())
            }
        }
    }

    /// Requests the status of a box.
    pub(in crate::fleet) async fn ping(
        &self,
        peer: SocketAddr,
        request: PingRequest,
    ) -> Result<PingAnswer, Status> {
        let channel = self.channels.get_or_open(peer)?;
        let mut client = channel.client();
        self.await_or_discard(&channel, self.limits.ping_timeout, client.ping(request)).await
    }

    /// Returns whether a box answers in time that it reaches the store.
    pub(in crate::fleet) async fn reaches_store(
        &self,
        peer: SocketAddr,
        timeout: Duration,
    ) -> bool {
        let Ok(channel) = self.channels.get_or_open(peer) else { return false };
        let mut client = channel.client();
        match await_response(timeout, client.reach_store(ReachStoreRequest {})).await {
            Ok(answer) => {
                channel.record_response();
                answer.reached
            }
            Err(status) => {
                log::debug!(
                    peer = peer.to_string();
                    "peer: the check whether a box reaches the store failed: {status}"
                );
                false
            }
        }
    }

    /// Asks a box to take the fleet over from the owner of an epoch, which has stopped.
    pub(in crate::fleet) async fn take_over(
        &self,
        peer: SocketAddr,
        epoch: u64,
        timeout: Duration,
    ) -> Result<TakeOverAnswer, Status> {
        let channel = self.channels.get_or_open(peer)?;
        let mut client = channel.client();
        let request = TakeOverRequest { epoch, relief_pause_ms: None };
        let answer = await_response(timeout, client.take_over(request)).await;
        answer.inspect(|_| channel.record_response())
    }

    /// Fetches the configuration of a box.
    pub(in crate::fleet) async fn fetch_config(&self, peer: SocketAddr) -> Result<Config, Status> {
        let channel = self.channels.get_or_open(peer)?;
        let mut client = channel.client();
        let call = client.fetch_config(FetchConfigRequest {});
        self.await_or_discard(&channel, self.limits.peer_timeout, call).await
    }

    /// Sends a configuration to a box.
    pub(in crate::fleet) async fn offer_config(
        &self,
        peer: SocketAddr,
        config: Config,
    ) -> Result<(), Status> {
        let channel = self.channels.get_or_open(peer)?;
        let mut client = channel.client();
        let call = client.offer_config(config);
        self.await_or_discard(&channel, self.limits.peer_timeout, call).await.map(|_| ())
    }

    /// Awaits a call that a box answers at once. If it times out, the connection is discarded as silent.
    async fn await_or_discard<T>(
        &self,
        channel: &Rc<PeerChannel>,
        timeout: Duration,
        call: impl Future<Output = Result<Response<T>, Status>>,
    ) -> Result<T, Status> {
        match within(timeout, call).await {
            Some(answer) => {
                channel.record_response();
                answer.map(Response::into_inner)
            }
            None => {
                self.channels.discard(channel, timeout);
                Err(timed_out())
            }
        }
    }
}

/// Awaits a call, with an error if it times out.
async fn await_response<T>(
    timeout: Duration,
    call: impl Future<Output = Result<Response<T>, Status>>,
) -> Result<T, Status> {
    match within(timeout, call).await {
        Some(answer) => answer.map(Response::into_inner),
        None => Err(timed_out()),
    }
}

/// Returns the error for a call without a response in time.
fn timed_out() -> Status {
    Status::deadline_exceeded("no response in time")
}
